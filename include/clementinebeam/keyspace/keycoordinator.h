#pragma once

#include "clementinebeam/keyspace/keyload.h"
#include "clementinebeam/keyspace/keyspacetypes.h"
#include "clementinebeam/keyspace/rangeplanner.h"

#include <map>

namespace clementinebeam {

/// Times that a coordinator keeps to.
struct coordinator_settings {
    /// Longest hold time of a grant; equal for all coordinators, as each counts on the others' too.
    /// Long enough for a takeover after a coordinator's loss, short for the keys of silent targets.
    std::chrono::milliseconds hold{3000};
    std::chrono::milliseconds renewInterval{1200}; ///< Time between renewals of a grant.
    std::chrono::milliseconds retryInterval{250};  ///< Time before a failed order is repeated.
    std::chrono::milliseconds deferral{30};        ///< Time before a deferred grant is repeated.
    /// How long a coordinator may act after it last saw in the store that it is the newest.
    std::chrono::milliseconds rightDuration{10000};
    std::chrono::milliseconds planInterval{250};
    /// Time before a release is repeated to a target that can't be reached.
    std::chrono::milliseconds unreachableInterval{1000};
    /// Time that a target may measure less than we do, as a share of the hold time.
    double clockDrift = 0.02;
    std::chrono::milliseconds clockMargin{150}; ///< For delays on the way to a target.
    /// Ranges for each target above which the key space is made whole again.
    std::size_t rangesPerTarget = 5;
    /// How long a target that could not be reached is given no keys.
    std::chrono::milliseconds avoidance{3000};
};

/// When coordinators had successors, by their term.
using succession = std::map<std::uint64_t, instant>;

/// Keeps the keys of one service owned by one target each.
///
/// A range changes its owner in this order: the old owner confirms its release, or all holds that
/// it may have been granted run out; the new assignment is stored; the new owner gets its grant,
/// with a higher fencing token. Holds of an earlier coordinator count until its right has run out,
/// or until the target accepted a grant with this coordinator's token. Does no I/O and reads no
/// clock.
class key_coordinator
{
public:
    /// @param settings times to keep to.
    /// @param record the record with which this coordinator claimed the service, as stored; all its
    ///     ranges are granted again with new tokens.
    /// @param claimedAt when the claim was sent to the store.
    /// @param now the present time.
    /// @param succeeded when this instance saw that the coordinator of a term had a successor.
    key_coordinator(const coordinator_settings &settings, ownership_record record,
                    instant claimedAt, instant now, const succession &succeeded = {});

    void setHolders(const std::vector<key_holder> &holders);

    /// Tells which coordinator's right is proved.
    /// @param seenAt send time of the last store call that showed this coordinator as the newest.
    void confirmRight(instant seenAt) { m_rightSeenAt = std::max(m_rightSeenAt, seenAt); }

    /// A target that restarts forgets all tokens, so a coordinator that was replaced meanwhile
    /// could renew a hold in the target's next life. A connection that stands since before the
    /// right was last proved shows that neither has happened.
    /// @param connectedAt when the connection to the target was made.
    /// @return whether a grant may be sent on the connection.
    bool mayGrantOn(instant connectedAt) const { return connectedAt <= m_rightSeenAt; }

    /// @return whether the right to act has run out.
    bool isExpired(instant now) const { return now >= m_rightSeenAt + m_settings.rightDuration; }

    /// @return the remaining time of the right to act; negative if it has run out.
    std::chrono::milliseconds rightLeft(instant now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                m_rightSeenAt + m_settings.rightDuration - now);
    }

    void setStoreReachable(bool isReachable) { m_isStoreReachable = isReachable; }

    /// Counts a request for a key.
    void noteRequest(key_number key) { m_load.note(key); }

    void onGrantResult(const grant_order &order, order_result result, instant now);
    void onReleaseResult(const release_order &order, order_result result,
                         const std::string &handover, instant now);

    /// @param nextFence the token counter of the record that was stored.
    void onStored(fence_number nextFence);

    /// @param now the present time.
    /// @return what is to be done now.
    coordinator_actions advance(instant now);

    /// @return the state to be stored.
    ownership_record record() const;

    /// @return owners that requests may be sent to: ranges with an accepted grant.
    std::vector<range_assignment> served(instant now) const;

    /// @return keys that no target serves, and when they are expected to be served.
    std::vector<unserved_range> unserved(instant now) const;

    /// @return a number that rises whenever served() may have changed.
    std::uint64_t revision() const { return m_revision; }

    /// @return how many ranges are in which state.
    key_summary summary(instant now) const;

    std::size_t rangeCount() const { return m_ranges.size(); }
    std::uint64_t moveCount() const { return m_moveCount; }

private:
    enum class phase {
        Unowned,   ///< No target can hold the range.
        Assigned,  ///< The target is granted the range once the assignment is stored.
        Releasing, ///< The target is to give the range back.
        Expiring,  ///< The target gave the range back, but a late grant may still reach it.
    };

    struct owned_range {
        range_assignment assignment;
        phase state = phase::Unowned;
        std::string handover;
        bool isStored = false;
        bool isAccepted = false; ///< The target accepted a grant with the present token.
        bool isFenced = false; ///< Orders of earlier coordinators can't reach the target any more.
        fence_number heldFence = 0; ///< Token of the last grant that the target accepted.
        bool isCalling = false;     ///< An order is on its way.
        std::uint32_t failures = 0; ///< Grants without success since the last accepted one.
        instant heldUntil{};        ///< Latest end of any hold of the target.
        instant servedUntil{};      ///< Earliest end of the hold that the target accepted last.
        instant heldBeforeCall{};   ///< The same without the order on its way.
        instant unansweredUntil{};  ///< Latest end of a hold from grants without an answer.
        instant nextCall{};
        target_id destination; ///< Who is to own a range that is being released.
    };

    using range_list = std::vector<owned_range>;

    instant holdEnd(instant sent, std::chrono::milliseconds hold) const;
    const key_holder *holder(const target_id &id) const;
    void splitAt(key_number first);
    void fenceFirst(owned_range &range);
    void markReleasing(const range_move &move);
    void releaseLeaving(instant now);
    void reassignRestarted();
    void expire(instant now);
    void plan(instant now);
    std::vector<key_holder> availableHolders(instant now) const;
    void placeUnowned(instant now);
    bool unifyFences();
    static fence_number releaseFence(const owned_range &range);
    bool isFragmented() const;
    bool isAvailable(const key_holder &target, instant now) const;
    void assign(owned_range &range, const key_holder &target);
    void issueGrants(instant now, coordinator_actions &actions);
    void issueReleases(instant now, coordinator_actions &actions);
    void mergeNeighbours();
    static bool isServed(const owned_range &range, instant now);
    static bool isMergeable(const owned_range &left, const owned_range &right);
    std::chrono::milliseconds holdTime(instant now) const;
    std::vector<range_assignment> assignments() const;
    std::vector<range_assignment> settledAssignments() const;

    coordinator_settings m_settings;
    ownership_record m_record; ///< Without ranges; these are in m_ranges.
    range_list m_ranges;
    std::map<target_id, key_holder> m_holders;
    std::map<target_id, instant> m_avoidUntil; ///< Targets that were not reachable lately.
    instant m_earlierHolds; ///< Latest end of holds that earlier coordinators granted.
    key_load m_load;
    range_planner m_planner;
    instant m_rightSeenAt;
    instant m_nextPlan{};
    bool m_isStoreReachable = true;
    bool m_isStoring = false;
    bool m_isDirty = false;
    std::uint64_t m_revision = 1;
    std::uint64_t m_moveCount = 0;
};

} // namespace clementinebeam
