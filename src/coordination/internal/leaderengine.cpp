#include "internal/leaderengine.h"

#include <algorithm>
#include <set>

namespace clementinebeam {

namespace {

/// Minimum time between two control requests to a target. Keeps the leader from sending requests in
/// a busy loop while it waits for the target to release a slot.
constexpr std::chrono::milliseconds MIN_CONTROL_INTERVAL{10};

} // namespace

const slot_state &slotIn(const shard_state &state, slot_index slot)
{
    static const slot_state UNASSIGNED;
    return slot < state.slots.size() ? state.slots[slot] : UNASSIGNED;
}

leader_engine::leader_engine(shard_id shard, incarnation_id self,
                             const coordination_settings &settings,
                             std::unique_ptr<i_assignment_policy> policy)
    : m_shard(std::move(shard))
    , m_self(std::move(self))
    , m_settings(settings)
    , m_policy(std::move(policy))
    , m_authority(settings)
    , m_fence(settings)
    , m_planner(settings)
{ }

void leader_engine::setTargets(std::vector<listed_target> targets, instant now)
{
    m_targets.clear();
    for (auto &target : targets) {
        findOrAddSession(target.id, now);
        m_targets[target.id] = std::move(target);
    }
}

void leader_engine::begin(const shard_state &state, bool isContinuation, instant now)
{
    if (!isContinuation)
        m_sessions.clear();
    m_authority.begin(state.term);
    m_fence.begin(m_self, isContinuation, state.earlier, now);
    m_planner.clear();
    m_nextPlan = now;
    addSessions(state, now);
}

void leader_engine::takeOver(const shard_state &state, std::uint64_t sequenceFloor, instant now)
{
    begin(state, false, now);
    // The stopped leader renews no more leases, so targets hold its grants for one lease at most.
    m_fence.extendByOneLease(now);
    // The handover transfers the authority, so it starts now.
    m_authority.confirmByLog(now);
    for (auto &[id, session] : m_sessions)
        session.raiseSequence(sequenceFloor);
}

void leader_engine::end()
{
    m_authority.begin(0);
    m_sessions.clear();
    m_planner.clear();
}

void leader_engine::addSessions(const shard_state &state, instant now)
{
    for (const auto &[id, target] : m_targets)
        findOrAddSession(id, now);
    for (const auto &slot : state.slots) {
        if (!slot.owner.empty())
            findOrAddSession(slot.owner, now);
        if (!slot.previous.empty())
            findOrAddSession(slot.previous, now);
    }
}

target_session &leader_engine::findOrAddSession(const target_id &id, instant now)
{
    return m_sessions.try_emplace(id, id, m_settings, now).first->second;
}

const target_session *leader_engine::findSession(const target_id &id) const
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : &found->second;
}

bool leader_engine::isDraining(const target_id &id, const target_session &session) const
{
    const auto listed = m_targets.find(id);
    // The instance list may be out of date, so an unlisted target that still answers is used.
    if (listed == m_targets.end())
        return session.isDraining();
    return session.isDraining() || listed->second.leaving || listed->second.drained;
}

bool leader_engine::isLost(const target_id &id, instant now) const
{
    const auto *session = findSession(id);
    return !session || now - session->lastReply() >= m_settings.silenceLimit();
}

bool leader_engine::isReleasedByPreviousOwner(const slot_state &slot, slot_index index,
                                              instant now) const
{
    if (slot.previous.empty() || slot.previous == slot.owner)
        return true;
    const auto *previous = findSession(slot.previous);
    if (!previous)
        return now >= m_fence.earlierLeasesEnd();
    return !previous->mayHold(index, now, m_fence.earlierLeasesEnd());
}

bool leader_engine::isServed(slot_index slot, const shard_state &state) const
{
    const auto &owned = slotIn(state, slot);
    const auto *owner = findSession(owned.owner);
    return owner && owner->holds({slot, owned.epoch});
}

void leader_engine::onTargetReply(const target_id &from, std::uint64_t sequence,
                                  const control_reply &reply, const shard_state &state, instant now,
                                  action_list &actions)
{
    const auto found = m_sessions.find(from);
    if (found == m_sessions.end())
        return;
    if (found->second.completeRequest(sequence, state.term, reply, now))
        reconcile(state, now, actions);
}

void leader_engine::onTargetFailure(const target_id &from, std::uint64_t sequence)
{
    if (const auto found = m_sessions.find(from); found != m_sessions.end())
        found->second.failRequest(sequence);
}

std::uint64_t leader_engine::highestSequence() const
{
    std::uint64_t highest = 0;
    for (const auto &[id, session] : m_sessions)
        highest = std::max(highest, session.sequence());
    return highest;
}

void leader_engine::tick(const shard_state &state, random_source &random, proposals &pending,
                         instant now, action_list &actions)
{
    if (!m_authority.isValid(now))
        return;
    addSessions(state, now);
    proposeSettled(state, random, pending, now, actions);
    planMoves(state, now);
    proposeMoves(state, random, pending, now, actions);
    reconcile(state, now, actions);
}

bool leader_engine::isInitialContactDone(instant now) const
{
    return std::all_of(m_sessions.begin(), m_sessions.end(), [&](const auto &entry) {
        return entry.second.hasAcceptedRequest() || isLost(entry.first, now);
    });
}

bool leader_engine::needsPlacement(const shard_state &state, instant now) const
{
    std::set<target_id> unavailable;
    for (const auto &[id, session] : m_sessions) {
        if (isLost(id, now) || isDraining(id, session))
            unavailable.insert(id);
    }
    return std::any_of(m_slots.begin(), m_slots.end(), [&](slot_index slot) {
        const auto &owner = slotIn(state, slot).owner;
        return owner.empty() || unavailable.contains(owner);
    });
}

assignment_input leader_engine::makeAssignmentInput(const shard_state &state, instant now) const
{
    assignment_input input;
    for (const auto &[id, session] : m_sessions) {
        const bool draining = isDraining(id, session);
        const bool available = session.isAlive(now) && !draining;
        input.targets.push_back({id, 1.0, available, draining && !isLost(id, now)});
    }
    for (const auto slot : m_slots) {
        const auto &owned = slotIn(state, slot);
        const auto load = m_load.find(slot);
        input.slots.push_back({slot, owned.owner, load == m_load.end() ? 0.0 : load->second,
                               isReleasedByPreviousOwner(owned, slot, now)});
    }
    return input;
}

void leader_engine::planMoves(const shard_state &state, instant now)
{
    if (!isInitialContactDone(now))
        return;
    if (now < m_nextPlan && !needsPlacement(state, now))
        return;
    m_nextPlan = now + m_settings.planInterval;
    m_planner.setPlan(m_policy->plan(makeAssignmentInput(state, now)), now);
}

void leader_engine::proposeMoves(const shard_state &state, random_source &random,
                                 proposals &pending, instant now, action_list &actions)
{
    // A pending claim starts a new term, which would make the moves void.
    if (m_planner.empty() || pending.has<move_record>() || pending.has<claim_record>())
        return;
    const auto isPrepared = [this](const target_id &target, slot_index slot) {
        const auto *session = findSession(target);
        return session && session->isPrepared(slot);
    };
    move_record body{m_shard, state.term, {}};
    for (const auto &move : m_planner.takeReadyMoves(isPrepared, now)) {
        const auto &owned = slotIn(state, move.slot);
        if (owned.owner == move.owner || !isReleasedByPreviousOwner(owned, move.slot, now))
            continue;
        body.moves.push_back({move.slot, owned.epoch, move.owner, move.cause});
    }
    if (!body.moves.empty())
        pending.add({newRecordId(random), m_self.instance, std::move(body)}, now, actions);
}

void leader_engine::proposeSettled(const shard_state &state, random_source &random,
                                   proposals &pending, instant now, action_list &actions)
{
    if (state.earlier.empty() || pending.has<settled_record>())
        return;
    if (now >= m_fence.earlierLeasesEnd())
        pending.add(
                {newRecordId(random), m_self.instance, settled_record{m_shard, state.term, false}},
                now, actions);
}

control_request leader_engine::makeControlRequest(const target_id &id,
                                                  const target_session &session,
                                                  const shard_state &state, instant now) const
{
    control_request request;
    request.shard = m_shard;
    request.term = state.term;
    request.holder = m_self.instance;
    for (const auto &[slot, epoch] : session.held()) {
        if (slotIn(state, slot).owner != id)
            request.revokes.push_back(slot);
    }
    request.prepares = m_planner.slotsToPrepare(id);
    if (!session.hasAcceptedRequest())
        return request;
    for (const auto slot : m_slots) {
        const auto &owned = slotIn(state, slot);
        if (owned.owner == id && !session.holds({slot, owned.epoch})
            && isReleasedByPreviousOwner(owned, slot, now))
            request.grants.push_back({slot, owned.epoch});
    }
    return request;
}

void leader_engine::reconcile(const shard_state &state, instant now, action_list &actions)
{
    if (!m_authority.isValid(now))
        return;
    for (auto &[id, session] : m_sessions) {
        if (!session.isIdle() || !session.isSendAllowed(now, MIN_CONTROL_INTERVAL))
            continue;
        auto request = makeControlRequest(id, session, state, now);
        const bool hasChange = !request.grants.empty() || !request.revokes.empty();
        if (!session.isRenewalDue(now) && !(hasChange && session.isAlive(now)))
            continue;
        session.beginRequest(request, now);
        actions.targets.push_back({id, std::move(request)});
    }
}

std::vector<target_status> leader_engine::status(instant now) const
{
    std::vector<target_status> all;
    for (const auto &[id, session] : m_sessions) {
        all.push_back({id, session.hasAcceptedRequest(), session.isAlive(now),
                       isDraining(id, session), session.held().size(), now - session.lastReply()});
    }
    return all;
}

} // namespace clementinebeam
