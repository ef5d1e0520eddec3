#pragma once

#include "clementinebeam/keyspace/keyload.h"
#include "clementinebeam/keyspace/keyspacetypes.h"
#include "clementinebeam/keyspace/rangeplanner.h"

#include <map>

namespace clementinebeam {

/// Times and limits of a coordinator.
struct coordinator_settings {
    /// Longest hold time of a grant. Must be equal for all coordinators, as each relies on the
    /// others' value. Longer than a takeover after the loss of a coordinator, but short, as the
    /// keys of an unreachable target have no owner until its hold ends.
    std::chrono::milliseconds hold{3000};
    std::chrono::milliseconds renewInterval{1200}; ///< Time between renewals of a grant.
    std::chrono::milliseconds retryInterval{250};  ///< Delay before a failed order is repeated.
    /// Delay before a deferred grant is repeated.
    std::chrono::milliseconds deferredRetryInterval{30};
    /// How long the authority of a coordinator lasts: the time for which it may issue orders after
    /// the store last confirmed that it is the newest. Must be equal for all coordinators, as
    /// each derives the end of its predecessors' holds from its own value.
    std::chrono::milliseconds authorityDuration{10000};
    /// Longest time from the issue of a grant to its arrival; later, its bytes are lost. Holds run
    /// from the arrival and end within the authority.
    std::chrono::milliseconds longestDelivery{600};
    std::chrono::milliseconds planInterval{250}; ///< Time between two rounds of planning.
    /// Delay before a release is repeated to a target that can't be reached.
    std::chrono::milliseconds unreachableInterval{1000};
    /// Largest lag of a target's clock behind this instance's, as a share of the hold time.
    double clockDrift = 0.02;
    std::chrono::milliseconds transmissionMargin{150}; ///< Allowance for transmission delays.
    /// Average number of ranges per target above which idle ranges are merged.
    std::size_t rangesPerTarget = 5;
    /// Time within which a coordinator whose grant was superseded is usually confirmed, if it is
    /// the newest.
    std::chrono::milliseconds confirmationTimeout{250};
    /// Longest time that a store call may take without holding up the planning of moves: a range
    /// that was released has no owner until its move is stored.
    std::chrono::milliseconds maxStoreTime{100};
    /// How long a target that could not be reached gets no keys.
    std::chrono::milliseconds unreachableCooldown{3000};
};

/// For each coordinator term, when this instance saw that a successor had replaced it.
using term_end_times = std::map<std::uint64_t, instant>;

/// Assigns each key of a service to at most one target at a time.
///
/// A target owns a range of keys under a hold, which is a lease: it is granted for a limited time
/// and renewed. A range changes its owner in this order: the old owner confirms its release, or all
/// holds that it may have been granted run out; the new assignment is stored; the new owner gets
/// its grant, with a higher fencing token. Holds of an earlier coordinator count until its
/// authority has expired, or until the target accepted a grant of this coordinator, whose fencing
/// token is higher.
///
/// After the store has come back from an older copy, a record may lack the last grants, and a
/// coordinator may have been replaced by another one of which no trace is left. A new coordinator
/// therefore waits until the holds of all earlier ones have run out. One that goes on knows its own
/// grants: a range is proved once its target, after the return, accepts a renewal with the present
/// token, as another coordinator would have raised the token there before it moved the range.
/// Others wait as well. Does no I/O and reads no clock.
class key_coordinator
{
public:
    /// @param settings times and limits.
    /// @param record the record with which this coordinator claimed the service, as stored. Ranges
    ///     whose grantTerm is the record's term are granted to their targets again with the stored
    ///     tokens; assigned ranges with another grantTerm are released. Those that are not proved
    ///     are assigned to their targets again after the holds of earlier eras.
    /// @param claimedAt when the claim was sent to the store.
    /// @param now the present time.
    /// @param termEndTimes when this instance saw that the coordinator of a term had been replaced.
    /// @param eraBegunAt when this instance learned of the present era of the store; coordinators
    /// of
    ///     earlier eras were not confirmed after that.
    key_coordinator(const coordinator_settings &settings, ownership_record record,
                    instant claimedAt, instant now, const term_end_times &termEndTimes = {},
                    instant eraBegunAt = {});

    /// Goes on in a later era of the store, in which the service has to be claimed again: until
    /// onStored(), holds are renewed and nothing is moved.
    /// @param term the term of the claim.
    /// @param now the present time, at which the store has returned.
    void claimAgain(std::uint64_t term, instant now);

    /// Replaces the targets that may own keys.
    void setHolders(const std::vector<key_holder> &holders);

    /// Extends the authority of this coordinator.
    /// @param confirmedAt send time of a store call whose answer showed this coordinator as the
    ///     newest.
    void confirmAuthority(instant confirmedAt)
    {
        m_authorityConfirmedAt = std::max(m_authorityConfirmedAt, confirmedAt);
        if (m_supersededAt && confirmedAt > *m_supersededAt)
            m_supersededAt.reset();
    }

    /// Tells whether a successor has probably taken over: targets refused a grant for a higher
    /// fencing token, and the store has not confirmed since then that this coordinator is the
    /// newest. A coordinator that the store refuses learns of its successor only in this way.
    /// @param now the present time.
    /// @return whether requests should go to another coordinator.
    bool isSuperseded(instant now) const
    {
        return m_supersededAt && now >= *m_supersededAt + m_settings.confirmationTimeout;
    }

    /// A target that restarts forgets all tokens, so a coordinator that was replaced meanwhile
    /// could renew a hold at the restarted target. A connection that was made before the authority
    /// was last confirmed excludes this: the target has not restarted since, and the coordinator
    /// had not been replaced then.
    /// @param connectedAt when the connection to the target was made.
    /// @return whether a grant may be sent on the connection.
    bool mayGrantOn(instant connectedAt) const { return connectedAt <= m_authorityConfirmedAt; }

    /// @return whether the authority has expired; then no order may be issued.
    bool isExpired(instant now) const
    {
        return now >= m_authorityConfirmedAt + m_settings.authorityDuration;
    }

    /// @return the remaining time of the authority; negative if it has expired.
    std::chrono::milliseconds remainingAuthority(instant now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                m_authorityConfirmedAt + m_settings.authorityDuration - now);
    }

    /// Tells whether the store can be reached. While it can't, no moves are planned, ranges without
    /// an owner are not assigned, and nothing is stored.
    void setStoreReachable(bool isReachable) { m_isStoreReachable = isReachable; }

    /// Counts a request for a key.
    void noteRequest(key_number key) { m_load.addRequest(key); }

    /// Handles the result of a grant from advance().
    void onGrantResult(const grant_order &order, order_result result, instant now);
    /// Handles the result of a release from advance().
    /// @param handover state reference: text from the target's answer, passed unchanged to the next
    ///     owner with its grant.
    void onReleaseResult(const release_order &order, order_result result,
                         const std::string &handover, instant now);

    /// Handles the end of a successful store call in the era of the present term.
    /// @param nextFence the token counter of the record that was stored.
    void onStored(fence_number nextFence);

    /// Updates the state and plans moves; to be called regularly.
    /// @param now the present time.
    /// @return the orders to send now and whether to store; empty once the authority has expired.
    coordinator_actions advance(instant now);

    /// @return the state to be stored.
    ownership_record record() const;

    /// @return the ranges that are served: their owner accepted a grant and its hold still runs.
    std::vector<range_assignment> served(instant now) const;

    /// @return the keys that no target serves, and when they are expected to be served.
    std::vector<unserved_range> unserved(instant now) const;

    /// @return a number that increases whenever a target may have started or stopped to serve keys,
    ///     except when a hold runs out, or is renewed after it ran out.
    std::uint64_t revision() const { return m_revision; }

    /// @return the number of ranges by state.
    key_summary summary(instant now) const;

    /// @return the number of ranges that the key space is split into.
    std::size_t rangeCount() const { return m_ranges.size(); }
    /// @return the number of ranges moved for balancing or merging since the construction.
    std::uint64_t moveCount() const { return m_moveCount; }

private:
    enum class range_state {
        Unowned, ///< No target holds or is assigned the range.
        /// The target is granted the range once the assignment is stored, and keeps it by renewals.
        Assigned,
        Releasing, ///< The target is to release the range.
        /// The target released the range, but a delayed grant may still reach it, or a hold under
        /// another token may still be in force.
        Expiring,
    };

    struct owned_range {
        range_assignment assignment;
        range_state state = range_state::Unowned;
        std::string handover;
        bool isStored = false;
        /// The target accepted a grant of this assignment; the token may have been replaced since
        /// (see acceptedFence).
        bool isAccepted = false;
        bool isFenced = false;          ///< The target rejects orders of earlier coordinators.
        fence_number acceptedFence = 0; ///< Token of the last accepted grant; 0 if none.
        bool isOrderPending = false;    ///< An order was sent and has no result yet.
        std::uint32_t failures = 0;     ///< Failed grants since the last accepted one.
        instant heldUntil{};            ///< Latest end of any hold of the target.
        instant servedUntil{};          ///< Earliest end of the last accepted hold.
        instant heldUntilBeforeOrder{}; ///< heldUntil without the pending grant.
        instant unansweredUntil{};      ///< Latest end of holds from unanswered grants.
        instant nextOrderAt{};
        target_id destination; ///< Next owner of a range that is being released.
    };

    using range_list = std::vector<owned_range>;

    bool mayBeMoved(const owned_range &range, instant now) const;
    void awaitEarlierEras(owned_range &range);
    void awaitRenewal(owned_range &range);
    instant holdEnd(instant sent, std::chrono::milliseconds hold) const;
    const key_holder *holder(const target_id &id) const;
    void splitAt(key_number first);
    void fenceBeforeRelease(owned_range &range);
    void markReleasing(const range_move &move);
    void releaseLeaving(instant now);
    void evacuate(instant now);
    void reassignRestarted(instant now);
    void unassignExpired(instant now);
    void plan(instant now);
    std::vector<key_holder> availableHolders(instant now) const;
    void assignUnowned(instant now);
    bool unifyFences();
    static fence_number fenceToRelease(const owned_range &range);
    bool isMoving() const;
    bool isStoreResponsive(instant now) const;
    bool isFragmented() const;
    bool isUnifiable(const owned_range &range) const;
    bool isAvailable(const key_holder &target, instant now) const;
    void assign(owned_range &range, const key_holder &target);
    void issueGrants(instant now, coordinator_actions &actions);
    void issueReleases(instant now, coordinator_actions &actions);
    void mergeNeighbours();
    static bool isServed(const owned_range &range, instant now);
    static bool isMergeable(const owned_range &left, const owned_range &right);
    std::chrono::milliseconds holdTime(instant now) const;
    std::vector<range_assignment> assignments() const;
    bool isSettled(const owned_range &range) const;
    std::vector<range_assignment> settledAssignments() const;
    std::vector<range_assignment> movingAssignments() const;

    coordinator_settings m_settings;
    ownership_record m_record; ///< Without ranges; these are in m_ranges.
    range_list m_ranges;
    std::map<target_id, key_holder> m_holders;
    std::map<target_id, instant> m_cooldownUntil; ///< Targets that were recently unreachable.
    instant m_predecessorHoldsUntil; ///< Latest end of holds granted by earlier coordinators.
    instant m_eraBegunAt;            ///< When this instance learned of the present era.
    instant m_earlierErasUntil;      ///< Latest end of holds granted in earlier eras.
    bool m_isClaimStored = true;     ///< The service was claimed in the present era.
    key_load m_load;
    range_planner m_planner;
    instant m_authorityConfirmedAt;
    std::optional<instant> m_supersededAt; ///< First refusal that the store has not refuted.
    instant m_nextPlan{};
    instant m_nextEvacuation{};
    bool m_isStoreReachable = true;
    bool m_isStoring = false;
    instant m_storingSince{}; ///< When the store call that has not ended was requested.
    bool m_isDirty = false;
    std::uint64_t m_revision = 1;
    std::uint64_t m_moveCount = 0;
};

} // namespace clementinebeam
