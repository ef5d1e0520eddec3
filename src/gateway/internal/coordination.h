#pragma once

#include "clementinebeam/gateway/iclusterstore.h"
#include "clementinebeam/gateway/routetable.h"
#include "internal/candidacy.h"
#include "internal/coordinatedservice.h"
#include "internal/incumbentwatch.h"

#include <deque>
#include <set>

namespace clementinebeam {

/// Decides with the store's help which services this instance coordinates.
///
/// The store divides parts of a group among the instances that stay in it, and each service belongs
/// to one part. The holder of the part claims the service with a record that is appended only if
/// the stream ends where the claimer has read it to; so of two claimers one fails, and a
/// coordinator that was replaced can store nothing more.
class coordination
{
public:
    /// Which instances may replace a coordinator that lives: those of a higher rank.
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
        std::string peerAddress;      ///< Where other instances ask this one for places.
        std::uint64_t processRun = 0; ///< Tells runs of this process apart.
        double processorShare = 1.0;
        /// Takes decisions about requests of a service.
        std::function<void(const service_name &, const dispatch_decision &)> onDecision;
        /// Called when the coordinator of a service has changed.
        std::function<void(const service_name &)> onCoordinatorChanged;
        /// Called when the ownership stream should be read at once.
        std::function<void()> onProofWanted;
        /// Called when the list of targets has to be fresh.
        std::function<void()> onTargetsWanted;
        /// Tells how long ago the list of targets was up to date.
        std::function<std::chrono::milliseconds()> targetAge;
        /// Called when the coordinator of a service is to be asked whether it lives.
        std::function<void(const service_name &)> onQueryWanted;
    };

    explicit coordination(environment around);

    void start();

    /// Leaves the group, so that others take over; goes on coordinating until they did.
    void leave();

    /// Takes the services of a new configuration.
    void setServices(const std::vector<routed_service> &services);

    void onTargetsChanged();
    void onOwnership(const std::vector<ownership_record> &records, std::uint64_t end,
                     instant askedAt);
    void setStoreReachable(bool isReachable);

    /// Takes that the coordinator of a service did not answer or is cut from the store.
    void noteCoordinatorMissing(const service_name &service);

    /// Takes that the coordinator of a service answered and is in contact with the store.
    /// @param rank the coordinator's.
    void noteCoordinatorAnswer(const service_name &service, coordinator_rank rank);

    /// @return this instance's rank as a coordinator.
    coordinator_rank rank() const;

    /// Joins the group of candidates or leaves it, as the instance is needed there.
    void updateCandidacy();

    bool isCoordinating() const { return !m_coordinated.empty(); }

    /// @return the service's coordination by this instance, or null.
    coordinated_service *coordinated(const service_name &service);

    /// @return the newest ownership record of a service, or null.
    const ownership_record *record(const service_name &service) const;

    /// @return whether the newest record of a service names this process.
    bool isOwn(const ownership_record &record) const
    {
        return record.coordinatorRun == m_around.processRun;
    }

private:
    void join();
    void leaveGroup();
    bool hasTargets(const service_name &service) const;
    bool isListFresh() const;
    void scheduleJoin(std::chrono::milliseconds delay);
    void considerClaims();
    bool mayReplace(const ownership_record &known);
    ownership_record claimOf(const routed_service &service) const;
    bool isResponsibleFor(const service_name &service) const;
    bool isBehind() const;
    void storeNext();
    void onAppended(const ownership_record &record, bool isClaim, instant sentAt,
                    const append_outcome &outcome);
    void take(const ownership_record &record, instant claimedAt);
    void resign(const service_name &service, const ownership_record &successor);

    environment m_around;
    std::string m_memberName;
    candidacy m_candidacy;
    incumbent_watch m_incumbents;
    bool m_isStanding = false; ///< In the group of candidates, or joining it.
    boost::asio::steady_timer m_joinTimer;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_claimTimer;
    std::vector<routed_service> m_services;
    std::set<std::uint32_t> m_parts;
    std::uint64_t m_generation = 0;
    std::map<service_name, ownership_record> m_records;
    std::map<service_name, succession> m_succession;
    std::map<service_name, std::unique_ptr<coordinated_service>> m_coordinated;
    std::set<service_name> m_unstored; ///< Services whose record is to be stored.
    std::uint64_t m_end = 0;           ///< Up to where the ownership stream was taken in.
    std::uint64_t m_toldEnd = 0;       ///< End that the store named when it refused an append.
    instant m_toldAt{};
    bool m_isEndKnown = false;
    bool m_isAppending = false;
    bool m_isTakingIn = false; ///< Records up to a new end are being taken in.
    bool m_isStoreReachable = true;
    bool m_isLeaving = false;
};

} // namespace clementinebeam
