#pragma once

#include "clementinebeam/dispatch/crashrecord.h"
#include "clementinebeam/gateway/iclusterstore.h"
#include "clementinebeam/gateway/routetable.h"
#include "internal/candidacy.h"
#include "internal/coordinatedservice.h"
#include "internal/takeoverpolicy.h"

#include <deque>
#include <optional>
#include <set>

namespace clementinebeam {

/// Decides which services this instance coordinates, using the store for leader election.
///
/// The store divides a fixed number of parts among the members of a group of instances, and each
/// service belongs to one part. The instance that holds the part claims the service by appending an
/// ownership record. The store accepts the record only if the claimer has read the stream up to its
/// end. Of two concurrent claims one therefore fails, and a coordinator that was replaced can store
/// nothing more.
class coordination
{
public:
    /// An instance may replace a live coordinator of a lower rank.
    enum class coordinator_rank : std::uint8_t {
        Leaving, ///< The process is ending.
        Small,   ///< The instance has a small share of a processor.
        Large,
    };

    struct environment {
        boost::asio::io_context &context;
        i_cluster_store &store;
        const i_message_format &format;
        const target_directory &targets;
        gateway_metrics &metrics;
        service_bounds bounds;
        std::string peerAddress;      ///< Where other instances send placement requests.
        std::uint64_t processRun = 0; ///< Unique to this run of the process.
        double processorShare = 1.0;  ///< Processors that the instance may use.
        double linkMbps = 1000.0;     ///< Speed of the instance's network link in Mbit/s.
        /// Receives decisions about requests of a service.
        std::function<void(const service_name &, const dispatch_decision &)> onDecision;
        /// Called when the coordinator of a service has changed.
        std::function<void(const service_name &)> onCoordinatorChanged;
        /// Called when the ownership stream should be read at once.
        std::function<void()> onOwnershipReadNeeded;
        /// Called when the list of targets should be read at once.
        std::function<void()> onTargetReadNeeded;
        /// @return the time since this instance's list of targets was known to be up to date.
        std::function<std::chrono::milliseconds()> targetListAge;
        /// Called when the coordinator of a service should be asked whether it is alive.
        std::function<void(const service_name &)> onCoordinatorQueryNeeded;
        /// @return the crash record of a service that has to be stored now, if there is one.
        std::function<std::optional<crash_record>(const service_name &)> takeCrashRecord;
        /// Called when a crash record has been stored.
        std::function<void(const crash_record &)> onCrashRecordStored;
        /// The system was started for the first time together with this process, so that a service
        /// without a record has never had a coordinator.
        bool isFirstStart = true;
    };

    explicit coordination(environment env);

    /// Joins the group of candidates if the instance should be in it.
    void start();

    /// Leaves the group, so that others take over. The instance goes on coordinating its services
    /// until they have.
    void leave();

    /// Sets the services of a new configuration.
    void setServices(const std::vector<routed_service> &services);

    /// Called when the target directory has changed.
    void onTargetsChanged();

    /// Called when the store names a later era. All that rests on what earlier eras have
    /// acknowledged has to be proved again: membership, positions, and the right to coordinate.
    /// Services that are coordinated here are claimed again with the state that is known here.
    /// @param era the era.
    /// @param now the present time, at which the store has returned.
    void beginEra(store_era era, instant now);

    /// Called when the ownership stream is read from its newest records again. Nothing is stored
    /// until onOwnership() tells where it stands.
    void onStreamRestarted();

    /// Called with the result of a read of the ownership stream.
    /// @param records the records read, oldest first.
    /// @param end the position up to which the stream has been read.
    /// @param requestedAt when the read was sent.
    void onOwnership(const std::vector<ownership_record> &records, store_position end,
                     instant requestedAt);
    void setStoreReachable(bool isReachable);

    /// @return what the services that are coordinated here still have in evacuated data centres.
    std::vector<evacuation_remainder> evacuationRemainders() const;

    /// Gives up services that make no steps, so that they are claimed anew, here or by another
    /// instance. To be called regularly.
    void restartStalledServices();

    /// Stores the crash record of a service that is coordinated here, if one has to be stored and
    /// no ownership record is waiting. To be called regularly.
    void storeCrashRecords();

    /// Records that the coordinator of a service did not answer or is disconnected from the store.
    void noteCoordinatorMissing(const service_name &service);

    /// Records that the coordinator of a service answered and is connected to the store.
    /// @param service the service.
    /// @param rank the rank of its coordinator.
    void noteCoordinatorAnswer(const service_name &service, coordinator_rank rank);

    /// @return this instance's rank as a coordinator.
    coordinator_rank rank() const;

    /// Joins the group of candidates or leaves it, as candidacy decides. To be called regularly.
    void updateCandidacy();

    bool isCoordinating() const { return !m_coordinated.empty(); }

    /// @return the service as coordinated by this instance, or null if another instance coordinates
    ///     it.
    coordinated_service *coordinated(const service_name &service);

    /// @return the service if this instance is to place its requests, or null if another instance
    ///     coordinates it, also if that one is not known yet.
    coordinated_service *placing(const service_name &service);

    /// @return the newest ownership record of a service, or null.
    const ownership_record *record(const service_name &service) const;

    /// @return whether the record names this run of the process as coordinator.
    bool isOwn(const ownership_record &record) const
    {
        return record.coordinatorRun == m_environment.processRun;
    }

private:
    void join();
    void leaveGroup();
    bool hasTargets(const service_name &service) const;
    bool mayClaimByList() const;
    void scheduleJoin(std::chrono::milliseconds delay);
    void updateClaims();
    bool mayReplace(const ownership_record &known);
    bool isOfPresentEra(const ownership_record &record) const;
    std::uint64_t nextTerm(const service_name &service) const;
    void append(const store_record &record, i_cluster_store::append_handler done);
    void noteAppended(store_position end);
    ownership_record makeClaim(const routed_service &service) const;
    bool isResponsibleFor(const service_name &service) const;
    bool isBehindStream() const;
    bool isReadOutdated() const;
    void storeNextRecord();
    void onAppended(const ownership_record &record, bool isClaim, instant sentAt,
                    const append_outcome &outcome);
    void storeCrashRecord(const crash_record &record);
    void retryAfterFailure(const append_outcome &outcome);
    void applyRecord(const ownership_record &record, instant confirmedAt);
    void stopCoordinating(const service_name &service, const ownership_record &successor);

    environment m_environment;
    std::string m_memberName;
    candidacy m_candidacy;
    takeover_policy m_takeoverPolicy;
    bool m_isCandidate = false; ///< In the group of candidates or joining it.
    boost::asio::steady_timer m_joinTimer;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_claimTimer;
    std::vector<routed_service> m_services;
    std::set<std::uint32_t> m_parts;
    std::uint64_t m_generation = 0;
    std::map<service_name, ownership_record> m_records;
    std::map<service_name, term_end_times> m_termEndTimes;
    std::map<service_name, std::unique_ptr<coordinated_service>> m_coordinated;
    std::set<service_name> m_servicesToStore; ///< Services whose record is to be stored.
    store_era m_era{};
    instant m_eraBegunAt{}; ///< When this instance learned of the era.
    /// Position up to which the ownership stream was applied; nothing while that is not known.
    std::optional<store_position> m_appliedEnd;
    store_position m_reportedEnd; ///< End that the store reported when it refused an append.
    instant m_reportedAt{};
    instant m_readAt{}; ///< When the last read of the stream was answered.
    bool m_isAppending = false;
    bool m_isApplyingRecords = false; ///< onOwnership() is applying records.
    bool m_isStoreReachable = true;
    bool m_isLeaving = false;
};

} // namespace clementinebeam
