#pragma once

#include "clementinebeam/gateway/gatewaytypes.h"
#include "clementinebeam/kernel/storeera.h"
#include "clementinebeam/warmup/warmuppacer.h"
#include "clementinebeam/warmup/warmuptime.h"

#include <map>

namespace clementinebeam {

/// The targets that the platform's store lists.
///
/// A target whose entry was removed is kept for a while as a leaving one, because its keys may have
/// to be released. The store also drops the entries of live targets that could not write for some
/// heartbeats. After an outage that was long enough for that, an entry that was removed and has not
/// been written since is kept until live targets had time to register again. The same holds after
/// the store has come back from an older copy. What a target has said before the loss stands:
/// entries that are older than the known one are ignored. Does no I/O.
class target_directory
{
public:
    /// What a target stated about itself in an answer.
    struct received_statement {
        target_statement statement;
        instant requestedAt{}; ///< When the request was sent that it answered.
        instant receivedAt{};  ///< When its answer was received.
    };

    struct listed_target {
        target_entry entry;
        bool isGone = false;    ///< Its entry was removed from the store.
        instant leavingSince{}; ///< When it was first known to leave; zero if it does not.
        /// Time after leavingSince in which it may still get requests for keys that it owns.
        std::chrono::milliseconds ownerGraceTime{0};

        received_statement stated;  ///< What is known of it from answers, but for its pause.
        instant pausedUntil{};      ///< It asked for no requests until then.
        instant writtenAt{};        ///< When a new write of its entry was last read.
        std::uint64_t sequence = 0; ///< Highest one of the entries of this incarnation.
        warm_up_time warmUp;        ///< Until when it is cold.
        std::optional<warm_up_limit> warmUpLimit; ///< Of its service.

        bool isEvacuated = false; ///< Operators evacuate its data centre.
        instant evacuatedUntil{}; ///< Until then, it may get requests for keys that it owns.

        /// @return whether its process is ending or has ended.
        bool isShuttingDown() const
        {
            return isGone || entry.isDraining || stated.statement.isLeaving;
        }

        bool isLeaving() const { return isShuttingDown() || isEvacuated; }

        /// @return until when a leaving target may get requests for keys that it owns, while the
        /// keys are moved; instant::max() if it is not leaving.
        instant ownerUntil() const;

        /// @param isKeyed whether only the owner of the request's key may run it.
        /// @return whether a request may be sent to the target.
        bool mayTake(bool isKeyed, instant now) const
        {
            return now >= pausedUntil && (!isLeaving() || (isKeyed && now < ownerUntil()));
        }

        /// @return its rate limit, or nothing if it has none, or has not repeated it for
        /// STATEMENT_LIFETIME.
        std::optional<double> rateLimit(instant now) const;

        /// @return what it states now; a pause counts from the time of receipt.
        received_statement statementInForce(instant now) const;

        /// @return the target as a dispatcher takes it.
        dispatch_target toDispatchTarget(instant now) const;
    };

    /// How long a statement holds if no answer repeats it. A target that gets no requests can't
    /// withdraw it.
    static constexpr std::chrono::seconds STATEMENT_LIFETIME{10};

    /// Live targets register again within this time after an outage of the store.
    static constexpr std::chrono::milliseconds REGISTRATION_TIME = REWRITE_TIME;

    using target_map = std::map<target_id, listed_target>;

    /// @param drain longest time after a target announced that it is leaving in which it may still
    /// get requests.
    /// @param heartbeat interval at which targets write their entries.
    explicit target_directory(std::chrono::milliseconds drain = std::chrono::milliseconds(2000),
                              std::chrono::milliseconds heartbeat = std::chrono::seconds(1));

    /// Sets which services have a warm-up limit.
    /// @param bounds what applies to the limits of all services.
    void setServices(const std::vector<routed_service> &services, const service_bounds &bounds);

    /// Adds or updates a target.
    /// @return whether anything changed. A remaining warm-up time counts only if it makes a warm
    /// target cold.
    bool update(const target_entry &entry, instant now);

    /// Records that a write of a target's entry has been read, not only its newest state.
    void noteWritten(const target_id &id, instant now);

    /// Marks a target whose entry was removed as gone. If the entry may have lapsed in an outage of
    /// the store, this is deferred to advance().
    /// @return whether the target was marked as gone.
    bool remove(const target_id &id, instant now);

    /// Notes what a target stated about itself in an answer; ignored if the target is unknown or a
    /// later statement is known. Answers may overtake each other, so only the answer to a request
    /// that was sent after a statement had been received withdraws it.
    /// @return whether what is known of the target has changed.
    bool noteStatement(const target_id &id, const received_statement &received);

    /// Sets which data centres are evacuated.
    /// @param ownerUntil for each of them, until when its targets may get requests for keys that
    ///     they own, while the keys are moved.
    void setEvacuated(std::map<std::string, instant> ownerUntil);

    /// Replaces all entries by a complete list: updates those in it and removes the others.
    void replaceAll(const std::vector<target_entry> &entries, instant now);

    /// @param isReachable whether the last read of the target stream succeeded; Forgotten counts as
    /// success.
    /// @param since for a success, the time of the read's end; for the first failure, the time at
    ///     which the store last answered.
    void setStoreReachable(bool isReachable, instant since);

    /// Records that the store has come back from an older copy.
    /// @param now the present time, at which the store has returned.
    void noteStoreRestored(instant now);

    /// Records that the store has served another instance without a longer outage, so that the
    /// outage that this instance saw was its own, or ended earlier: an entry that was still missing
    /// REGISTRATION_TIME after that is gone. Ignored while the store does not serve this instance.
    /// @param since since when the store has served it.
    /// @return whether a target was marked as gone.
    bool noteStoreServing(instant since);

    /// @return how long the store has served this instance without an outage in which entries of
    ///     live targets may have lapsed; zero if it does not serve it now.
    std::chrono::milliseconds storeServedFor(instant now) const;

    /// @return whether a removal is deferred, so that the stream has to be read again soon.
    bool hasDeferredRemovals() const { return !m_pendingRemovals.empty(); }

    /// @return whether the last read of the target stream succeeded.
    bool isStoreReachable() const { return m_isStoreReachable; }

    /// Applies deferred removals and drops targets that have been gone for long.
    /// @return whether a target was marked as gone; dropping one doesn't count.
    bool advance(instant now);

    /// @return the target, or null if it is unknown; valid until the next change.
    const listed_target *find(const target_id &id) const;

    const target_map &targets() const { return m_targets; }

    /// @return a number that increases when a target is added, changes or is marked as gone;
    /// dropping one doesn't count.
    std::uint64_t revision() const { return m_revision; }

private:
    bool mayHaveLapsed(const listed_target &target, instant now) const;
    bool isOutdated(const target_entry &entry, instant now) const;
    void markGone(listed_target &target, instant now);
    std::optional<warm_up_limit> warmUpLimitOf(const service_name &service) const;
    static void updateLeaving(listed_target &target, instant now);
    void updateEvacuated(listed_target &target) const;
    static bool updateStatement(listed_target &target, const received_statement &received);

    const std::chrono::milliseconds m_ownerGraceTime;
    const std::chrono::milliseconds m_lapseTime; ///< Shortest outage in which live entries lapse.
    target_map m_targets;
    std::map<std::string, instant> m_evacuated; ///< See setEvacuated().
    std::map<service_name, warm_up_limit> m_warmUpLimits;
    std::map<target_id, instant> m_pendingRemovals;
    bool m_isStoreReachable = true;
    instant m_outageStart{}; ///< Of the present outage or the last one.
    instant m_outageEnd{};   ///< Of the last outage in which entries may have lapsed; zero if none.
    instant m_servedSince{}; ///< First successful read after that outage, or at all; zero if none.
    instant m_readAt{};      ///< Last successful read.
    /// Until then, a complete list may hold entries that were written before those that are known.
    instant m_mayListOutdatedUntil{};
    std::uint64_t m_revision = 1;
};

} // namespace clementinebeam
