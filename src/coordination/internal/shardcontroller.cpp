#include "clementinebeam/coordination/shardcontroller.h"

#include "internal/instanceranking.h"
#include "internal/leaderengine.h"
#include "internal/leadermonitor.h"
#include "internal/proposals.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Number of observers, first in the ranking, to which a leader sends heartbeats besides its
/// standby. Other observers receive no heartbeats and probe instead.
constexpr std::size_t MAX_HEARTBEAT_OBSERVERS = 15;

/// How long a stopping leader repeats its handover message without a reply.
constexpr std::chrono::milliseconds HANDOVER_TIMEOUT{1000};

} // namespace

class shard_controller::implementation
{
public:
    implementation(shard_id shard, const incarnation_id &self,
                   const coordination_settings &settings,
                   std::unique_ptr<i_assignment_policy> policy, std::uint64_t randomSeed)
        : m_shard(shard)
        , m_self(self)
        , m_settings(settings)
        , m_random(randomSeed)
        , m_ranking(shard)
        , m_engine(shard, self, settings, std::move(policy))
        , m_proposals(settings)
        , m_monitor(settings)
    {
        m_state.shard = std::move(shard);
    }

    void onRecord(const ownership_record &record, const shard_state &state, instant now,
                  action_list &actions)
    {
        m_proposals.resolve(record.id);
        adoptState(state, now);
        const auto *settled = std::get_if<settled_record>(&record.body);
        if (settled && settled->byOperator)
            m_engine.fence().extendByOneLease(now);
        if (isLeader())
            m_engine.reconcile(m_state, now, actions);
    }

    void adoptState(const shard_state &state, instant now)
    {
        const bool wasLeader = isLeader();
        const bool isNewTerm = state.term != m_state.term;
        const bool becameSettled = state.earlier.empty() && !m_state.earlier.empty();
        m_state = state;
        if (becameSettled && wasLeader)
            m_engine.clearEarlierLeaderships(now);
        if (!isNewTerm)
            return;
        m_isActingLeader = false;
        m_handover.reset();
        m_termStart = now;
        m_nextHeartbeat = now;
        // A shard without a checkpoint gets its first one after the append retry interval.
        const auto wait = state.checkpointOffset == 0 ? m_settings.appendRetryInterval
                                                      : m_settings.checkpointInterval;
        m_nextCheckpoint = now + wait;
        m_monitor.begin(now);
        if (isLeader())
            m_engine.begin(m_state, wasLeader, now);
        else
            m_engine.end();
    }

    void onLogRead(instant readStart, log_offset nextOffset)
    {
        m_nextOffset = nextOffset;
        if (!m_hasReadLog)
            m_monitor.begin(readStart);
        m_hasReadLog = true;
        if (isLeader())
            m_engine.authority().confirmByLog(readStart);
    }

    bool onMessage(const incarnation_id &from, const coordination_message &message, instant now,
                   action_list &actions)
    {
        return std::visit([&](const auto &body) { return handle(from, body, now, actions); },
                          message);
    }

    void noteSender(const incarnation_id &from, instant now)
    {
        m_incarnations[from.instance] = from.incarnation;
        m_lastHeardAt[from.instance] = now;
    }

    void tick(instant now, action_list &actions)
    {
        if (m_stopping) {
            sendHandover(now, actions);
            return;
        }
        m_proposals.retry(m_state.term, now, actions);
        if (isLeader())
            runLeader(now, actions);
        else
            monitorLeader(now, actions);
    }

    void beginStop(instant now, action_list &actions)
    {
        const bool handsOver = isLeader() && !m_state.standby.empty() && !m_isActingLeader;
        if (handsOver)
            m_handover = handover{m_shard, m_state.term, m_engine.highestSequence(), m_nextOffset};
        m_stopping = true;
        m_stopStart = now;
        m_minActiveTerm = m_state.term + 1;
        m_engine.end();
        sendHandover(now, actions);
    }

    bool isStopped(instant now) const
    {
        return m_stopping && (!m_handover || now - m_stopStart >= HANDOVER_TIMEOUT);
    }

    bool isLeader() const
    {
        if (m_stopping || m_state.term == 0 || m_state.term < m_minActiveTerm)
            return false;
        return m_state.leader == m_self || m_isActingLeader;
    }

    bool isStandby() const
    {
        return !m_stopping && m_state.term >= m_minActiveTerm && m_state.standby == m_self
                && !isLeader();
    }

    shard_status status(instant now) const
    {
        shard_status result;
        result.shard = m_shard;
        result.role = isLeader() ? shard_role::Leader
                : isStandby()    ? shard_role::Standby
                                 : shard_role::Observer;
        result.term = m_state.term;
        result.leader = m_state.leader;
        result.standby = m_state.standby;
        result.authorityValid = isLeader() && m_engine.authority().isValid(now);
        result.settled = m_state.earlier.empty();
        if (isLeader()) {
            result.targets = m_engine.status(now);
            for (const auto slot : m_slots)
                result.unservedSlots += m_engine.isServed(slot, m_state) ? 0 : 1;
        }
        return result;
    }

    void confirmEarlierLeadersLost(instant now, action_list &actions)
    {
        if (!isLeader() || m_state.earlier.empty())
            return;
        settled_record body{m_shard, m_state.term, true};
        m_proposals.add({newRecordId(m_random), m_self.instance, body}, now, actions);
    }

    shard_id m_shard;
    incarnation_id m_self;
    coordination_settings m_settings;
    random_source m_random;
    instance_ranking m_ranking;
    leader_engine m_engine;
    proposals m_proposals;
    leader_monitor m_monitor;
    shard_state m_state;
    std::vector<slot_index> m_slots;
    term_number m_minActiveTerm = 0; ///< Lowest term in which this instance may lead or stand by.

private:
    bool handle(const incarnation_id &from, const heartbeat &body, instant now,
                action_list &actions)
    {
        const bool isCurrent =
                body.term == m_state.term && from == m_state.leader && !m_isActingLeader;
        if (isCurrent) {
            m_monitor.noteHeartbeat(now);
            m_engine.fence().noteHeardLeader(from, body.term, now);
        }
        const bool confirmed = isCurrent && isStandby();
        // Instances other than the standby reply too: the leader picks a new standby among the
        // instances that it heard recently.
        if (body.term == m_state.term || confirmed)
            send(from.instance, heartbeat_reply{m_shard, body.term, body.sequence, confirmed},
                 actions);
        return body.term > m_state.term || body.nextOffset > m_nextOffset;
    }

    bool handle(const incarnation_id &from, const heartbeat_reply &body, instant, action_list &)
    {
        const bool isCurrent = isLeader() && body.term == m_state.term;
        if (isCurrent && body.confirmed && from == m_state.standby)
            m_engine.authority().confirmByStandby(body.sequence);
        return false;
    }

    bool handle(const incarnation_id &from, const probe_request &body, instant now,
                action_list &actions)
    {
        const bool alive = isLeader() || m_monitor.hearsLeader(now);
        if (body.term == m_state.term)
            send(from.instance, probe_reply{m_shard, body.term, alive}, actions);
        return body.term > m_state.term;
    }

    bool handle(const incarnation_id &, const probe_reply &body, instant now, action_list &)
    {
        if (body.term == m_state.term && body.alive)
            m_monitor.noteLeaderAlive(now);
        return false;
    }

    bool handle(const incarnation_id &from, const predecessor_query &body, instant,
                action_list &actions)
    {
        // After a handover the standby may still act in the earlier term, so a stopping leader must
        // not state that the term is inactive.
        if (m_stopping)
            return false;
        if (body.term > m_state.term && body.term > m_minActiveTerm) {
            m_minActiveTerm = body.term;
            m_isActingLeader = false;
            m_engine.end();
        }
        send(from.instance, predecessor_statement{m_shard, body.term}, actions);
        return body.term > m_state.term;
    }

    bool handle(const incarnation_id &from, const predecessor_statement &body, instant now,
                action_list &)
    {
        if (isLeader() && body.term == m_state.term)
            m_engine.fence().addStatement(from, body.term, now);
        return false;
    }

    bool handle(const incarnation_id &from, const handover &body, instant now, action_list &actions)
    {
        if (body.term != m_state.term || from != m_state.leader)
            return body.term > m_state.term;
        if (!m_isActingLeader && !isStandby())
            return false;
        // With an older state this instance could grant slots that have been reassigned since.
        if (body.nextOffset > m_nextOffset)
            return true;
        send(from.instance, handover_reply{m_shard, body.term}, actions);
        if (m_isActingLeader)
            return false;
        m_isActingLeader = true;
        m_engine.takeOver(m_state, body.sequenceFloor, now);
        // The handover counts as the leader's statement that it is inactive in this term.
        m_engine.fence().addStatement(from, body.term + 1, now);
        proposeClaim(now, actions);
        m_engine.reconcile(m_state, now, actions);
        return false;
    }

    bool handle(const incarnation_id &from, const handover_reply &body, instant, action_list &)
    {
        if (m_handover && m_handover->term == body.term && from == m_state.standby)
            m_handover.reset();
        return false;
    }

    void sendHandover(instant now, action_list &actions)
    {
        if (m_handover && now - m_stopStart < HANDOVER_TIMEOUT)
            send(m_state.standby.instance, *m_handover, actions);
    }

    void runLeader(instant now, action_list &actions)
    {
        if (now >= m_nextHeartbeat) {
            m_nextHeartbeat = now + m_settings.heartbeatInterval;
            sendHeartbeats(now, actions);
            for (const auto &instance : m_engine.fence().instancesToQuery())
                send(instance, predecessor_query{m_shard, m_state.term}, actions);
        }
        renewClaimIfNeeded(now, actions);
        requestCheckpoint(now, actions);
        m_engine.tick(m_state, m_random, m_proposals, now, actions);
    }

    void sendHeartbeats(instant now, action_list &actions)
    {
        const heartbeat message{m_shard, m_state.term, ++m_heartbeatSequence, m_nextOffset};
        m_engine.authority().noteHeartbeat(message.sequence, now);
        if (!m_state.standby.empty())
            send(m_state.standby.instance, message, actions);
        std::size_t observerCount = 0;
        for (const auto &view : m_ranking.all()) {
            if (view.id == m_self.instance || view.id == m_state.standby.instance)
                continue;
            if (observerCount++ == MAX_HEARTBEAT_OBSERVERS)
                break;
            send(view.id, message, actions);
        }
    }

    bool isRecentlyHeard(const instance_id &id, instant now) const
    {
        const auto heard = m_lastHeardAt.find(id);
        return heard != m_lastHeardAt.end() && now - heard->second < m_settings.silenceLimit();
    }

    /// Claims the shard again if the standby is missing, leaving or silent, or if this instance
    /// leads after a handover and the log does not name it as leader yet.
    void renewClaimIfNeeded(instant now, action_list &actions)
    {
        const auto *listed = m_ranking.find(m_state.standby.instance);
        const bool leaving = listed && listed->leaving;
        const bool isGracePeriod =
                now - m_termStart < m_settings.silenceLimit() + m_settings.claimStagger;
        const bool isClaimNeeded = m_isActingLeader || m_state.standby.empty() || leaving
                || (!isGracePeriod && !isRecentlyHeard(m_state.standby.instance, now));
        if (isClaimNeeded && !m_proposals.has<claim_record>())
            proposeClaim(now, actions);
    }

    /// Appends a claim that names this instance as leader, with a standby that was heard recently,
    /// if there is one. Does nothing if the log names this instance as leader already and there is
    /// no candidate for the standby or the candidate is the current standby.
    void proposeClaim(instant now, action_list &actions)
    {
        const auto isCandidate = [&](const instance_id &id) { return isRecentlyHeard(id, now); };
        const auto *standby = m_ranking.pickStandby(m_self.instance, isCandidate);
        const bool isReplacement = isLeader() && !m_isActingLeader;
        if (isReplacement && !standby)
            return;
        claim_record body{m_shard, m_state.term, m_self, {}};
        if (standby)
            body.standby = incarnationOf(standby->id);
        if (isReplacement && body.standby == m_state.standby)
            return;
        m_proposals.add({newRecordId(m_random), m_self.instance, std::move(body)}, now, actions);
    }

    incarnation_id incarnationOf(const instance_id &id) const
    {
        const auto found = m_incarnations.find(id);
        return found == m_incarnations.end() ? incarnation_id{} : incarnation_id{id, found->second};
    }

    void requestCheckpoint(instant now, action_list &actions)
    {
        if (now < m_nextCheckpoint)
            return;
        m_nextCheckpoint = now + m_settings.checkpointInterval;
        actions.wantsCheckpoint = true;
    }

    /// Claims the shard if this instance is eligible and the leader has been silent for too long.
    void monitorLeader(instant now, action_list &actions)
    {
        if (!m_hasReadLog)
            return;
        const auto *self = m_ranking.find(m_self.instance);
        if (!self || self->leaving)
            return;
        if (m_monitor.hearsLeader(now)) {
            m_proposals.drop<claim_record>();
            return;
        }
        if (m_proposals.has<claim_record>())
            return;
        const auto claimPosition = isStandby() ? 0 : m_ranking.rankOf(m_self.instance) + 1;
        switch (m_monitor.decide(claimPosition, now)) {
        case leader_monitor::decision::Wait:
            return;
        case leader_monitor::decision::Probe:
            if (m_state.term != 0)
                probe(actions);
            return;
        case leader_monitor::decision::Claim:
            proposeClaim(now, actions);
        }
    }

    void probe(action_list &actions)
    {
        for (const auto &view : m_ranking.all()) {
            if (view.id != m_self.instance)
                send(view.id, probe_request{m_shard, m_state.term}, actions);
        }
    }

    template <class message_type>
    static void send(const instance_id &to, const message_type &message, action_list &actions)
    {
        actions.peers.push_back({to, message});
    }

    friend class shard_controller;

    bool m_hasReadLog = false;     ///< The end of the ownership stream was reached once.
    bool m_isActingLeader = false; ///< Leads after a handover; the log names another leader.
    bool m_stopping = false;
    std::optional<handover> m_handover;
    instant m_stopStart{};
    instant m_termStart{};
    instant m_nextHeartbeat{};
    instant m_nextCheckpoint{};
    std::uint64_t m_heartbeatSequence = 0;
    log_offset m_nextOffset = 0;
    std::map<instance_id, instant> m_lastHeardAt;
    std::map<instance_id, std::uint64_t> m_incarnations;
};

shard_controller::shard_controller(shard_id shard, const incarnation_id &self,
                                   const coordination_settings &settings,
                                   std::unique_ptr<i_assignment_policy> policy,
                                   std::uint64_t randomSeed)
    : m_impl(std::make_unique<implementation>(std::move(shard), self, settings, std::move(policy),
                                              randomSeed))
{ }

shard_controller::~shard_controller() = default;

void shard_controller::setInstances(std::vector<instance_view> instances)
{
    m_impl->m_ranking.setInstances(std::move(instances));
}

void shard_controller::setTargets(std::vector<listed_target> targets, instant now)
{
    m_impl->m_engine.setTargets(std::move(targets), now);
}

void shard_controller::setSlots(std::vector<slot_index> slots)
{
    m_impl->m_slots = slots;
    m_impl->m_engine.setSlots(std::move(slots));
}

void shard_controller::setPolicy(std::unique_ptr<i_assignment_policy> policy)
{
    m_impl->m_engine.setPolicy(std::move(policy));
}

void shard_controller::setLoad(std::map<slot_index, double> load)
{
    m_impl->m_engine.setLoad(std::move(load));
}

void shard_controller::onRecord(const ownership_record &record, const shard_state &state,
                                instant now, action_list &actions)
{
    m_impl->onRecord(record, state, now, actions);
}

void shard_controller::onState(const shard_state &state, instant now)
{
    m_impl->adoptState(state, now);
}

void shard_controller::onLogRead(instant readStart, log_offset nextOffset)
{
    m_impl->onLogRead(readStart, nextOffset);
}

bool shard_controller::onMessage(const incarnation_id &from, const coordination_message &message,
                                 instant now, action_list &actions)
{
    m_impl->noteSender(from, now);
    return m_impl->onMessage(from, message, now, actions);
}

void shard_controller::onTargetReply(const target_id &from, std::uint64_t sequence,
                                     const control_reply &reply, instant now, action_list &actions)
{
    if (m_impl->isLeader())
        m_impl->m_engine.onTargetReply(from, sequence, reply, m_impl->m_state, now, actions);
}

void shard_controller::onTargetFailure(const target_id &from, std::uint64_t sequence)
{
    m_impl->m_engine.onTargetFailure(from, sequence);
}

void shard_controller::tick(instant now, action_list &actions)
{
    m_impl->tick(now, actions);
}

void shard_controller::beginStop(instant now, action_list &actions)
{
    m_impl->beginStop(now, actions);
}

bool shard_controller::isStopped(instant now) const
{
    return m_impl->isStopped(now);
}

void shard_controller::confirmEarlierLeadersLost(instant now, action_list &actions)
{
    m_impl->confirmEarlierLeadersLost(now, actions);
}

shard_role shard_controller::role() const
{
    if (m_impl->isLeader())
        return shard_role::Leader;
    return m_impl->isStandby() ? shard_role::Standby : shard_role::Observer;
}

bool shard_controller::leads(instant now) const
{
    return m_impl->isLeader() && m_impl->m_engine.authority().isValid(now);
}

bool shard_controller::acceptsCopyFrom(const incarnation_id &from, term_number term) const
{
    return m_impl->isStandby() && m_impl->m_state.term == term && m_impl->m_state.leader == from;
}

bool shard_controller::isServed(slot_index slot) const
{
    return m_impl->isLeader() && m_impl->m_engine.isServed(slot, m_impl->m_state);
}

term_number shard_controller::term() const
{
    return m_impl->m_state.term;
}

const shard_state &shard_controller::state() const
{
    return m_impl->m_state;
}

shard_status shard_controller::status(instant now) const
{
    return m_impl->status(now);
}

} // namespace clementinebeam
