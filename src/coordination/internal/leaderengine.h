#pragma once

#include "clementinebeam/assignment/iassignmentpolicy.h"
#include "clementinebeam/coordination/coordinationtypes.h"
#include "clementinebeam/kernel/randomsource.h"
#include "internal/leadershipauthority.h"
#include "internal/moveplanner.h"
#include "internal/predecessorfence.h"
#include "internal/proposals.h"
#include "internal/targetsession.h"

#include <map>
#include <memory>

namespace clementinebeam {

/// Work of a leader during its term: renews leases, plans moves, grants and revokes slots.
///
/// Each control request is derived from the shard's state and the target's last reply, so a lost
/// message needs no special handling.
class leader_engine
{
public:
    leader_engine(shard_id shard, incarnation_id self, const coordination_settings &settings,
                  std::unique_ptr<i_assignment_policy> policy);

    void setTargets(std::vector<listed_target> targets, instant now);
    void setSlots(std::vector<slot_index> slots) { m_slots = std::move(slots); }
    void setPolicy(std::unique_ptr<i_assignment_policy> policy) { m_policy = std::move(policy); }
    void setLoad(std::map<slot_index, double> load) { m_load = std::move(load); }

    /// Starts to lead a term.
    /// @param state the shard's state in the term to lead.
    /// @param isContinuation whether this process also led the previous term.
    /// @param now the current time.
    void begin(const shard_state &state, bool isContinuation, instant now);

    /// Takes over the current term from a leader that stopped.
    /// @param state the shard's state.
    /// @param sequenceFloor highest sequence that the stopped leader used.
    /// @param now the current time.
    void takeOver(const shard_state &state, std::uint64_t sequenceFloor, instant now);

    /// Notes that no earlier leader is active any more. The fence then ends now; without earlier
    /// leaderships it does not matter whether the term is a continuation.
    /// @param now the current time.
    void clearEarlierLeaderships(instant now) { m_fence.begin(m_self, true, {}, now); }

    /// Stops leading and discards the sessions of all targets.
    void end();

    void onTargetReply(const target_id &from, std::uint64_t sequence, const control_reply &reply,
                       const shard_state &state, instant now, action_list &actions);
    void onTargetFailure(const target_id &from, std::uint64_t sequence);

    /// Performs the leader's periodic work while its authority is valid.
    /// @param state the shard's state.
    /// @param random source of record ids.
    /// @param pending records that are not read back yet.
    /// @param now the current time.
    /// @param actions receives the resulting actions.
    void tick(const shard_state &state, random_source &random, proposals &pending, instant now,
              action_list &actions);

    leadership_authority &authority() { return m_authority; }
    const leadership_authority &authority() const { return m_authority; }
    predecessor_fence &fence() { return m_fence; }

    /// @return the highest sequence of the control requests to any target so far.
    std::uint64_t highestSequence() const;

    /// @return whether the owner confirmed that it holds the slot at its current epoch.
    bool isServed(slot_index slot, const shard_state &state) const;

    std::vector<target_status> status(instant now) const;

    /// Sends a control request to each target that has none outstanding, if its renewal is due, or
    /// if it is alive and needs grants or revokes. Does nothing without a valid authority.
    void reconcile(const shard_state &state, instant now, action_list &actions);

private:
    void addSessions(const shard_state &state, instant now);
    target_session &findOrAddSession(const target_id &id, instant now);
    const target_session *findSession(const target_id &id) const;
    bool isDraining(const target_id &id, const target_session &session) const;
    bool isLost(const target_id &id, instant now) const;
    /// @return whether the slot's previous owner can no longer serve it.
    bool isReleasedByPreviousOwner(const slot_state &slot, slot_index index, instant now) const;
    /// @return whether each target has accepted a request of this leader or counts as lost.
    bool isInitialContactDone(instant now) const;
    /// @return whether a slot has no owner or its owner is lost or draining.
    bool needsPlacement(const shard_state &state, instant now) const;
    assignment_input makeAssignmentInput(const shard_state &state, instant now) const;
    void planMoves(const shard_state &state, instant now);
    void proposeMoves(const shard_state &state, random_source &random, proposals &pending,
                      instant now, action_list &actions);
    void proposeSettled(const shard_state &state, random_source &random, proposals &pending,
                        instant now, action_list &actions);
    control_request makeControlRequest(const target_id &id, const target_session &session,
                                       const shard_state &state, instant now) const;

    shard_id m_shard;
    incarnation_id m_self;
    coordination_settings m_settings;
    std::unique_ptr<i_assignment_policy> m_policy;
    leadership_authority m_authority;
    predecessor_fence m_fence;
    move_planner m_planner;
    std::map<target_id, target_session> m_sessions;
    std::map<target_id, listed_target> m_targets;
    std::vector<slot_index> m_slots;
    std::map<slot_index, double> m_load;
    instant m_nextPlan{};
};

/// @param state a shard's state.
/// @param slot a slot index.
/// @return the slot's state; empty if it was never assigned.
const slot_state &slotIn(const shard_state &state, slot_index slot);

} // namespace clementinebeam
