#include "internal/actionrunner.h"

#include "clementinebeam/kernel/binarycodec.h"
#include "internal/admissionservice.h"

namespace clementinebeam {

action_runner::action_runner(shard_table &shards, std::shared_ptr<i_log_client> log,
                             std::shared_ptr<i_peer_transport> peers,
                             std::shared_ptr<i_target_client> targets,
                             const daemon_settings &settings)
    : m_shards(shards)
    , m_log(std::move(log))
    , m_peers(std::move(peers))
    , m_targets(std::move(targets))
    , m_controlTimeout(settings.coordination.heartbeatInterval)
{ }

void action_runner::run(const shard_id &shard, const action_list &actions)
{
    for (const auto &action : actions.peers)
        m_peers->send(action.to, coordination_message(action.message));
    for (const auto &action : actions.targets)
        sendControl(shard, action);
    for (const auto &action : actions.appends)
        append(action.record);
}

void action_runner::append(const ownership_record &record)
{
    m_log->append(OWNERSHIP_STREAM, encodeBinary(record), m_onAppended);
}

void action_runner::sendControl(const shard_id &shard, const target_action &action)
{
    bool checksGrants = true;
    {
        const ordered_lock lock(m_shards.mutex());
        if (const auto *entry = m_shards.find(shard))
            checksGrants = entry->checksGrants;
    }
    if (!checksGrants) {
        m_targets->probe(action.to, m_controlTimeout, [this, shard, action](const auto &health) {
            onProbeReply(shard, action, health);
        });
        return;
    }
    const auto sequence = action.request.sequence;
    m_targets->control(action.to, action.request, m_controlTimeout,
                       [this, shard, target = action.to, sequence](const auto &reply) {
                           onControlReply(shard, target, sequence, reply);
                       });
}

void action_runner::onControlReply(const shard_id &shard, const target_id &target,
                                   std::uint64_t sequence, const result<control_reply> &reply)
{
    action_list actions;
    {
        const ordered_lock lock(m_shards.mutex());
        auto *entry = m_shards.find(shard);
        if (!entry)
            return;
        if (reply)
            entry->controller.onTargetReply(target, sequence, reply.value(), boot_clock::now(),
                                            actions);
        else
            entry->controller.onTargetFailure(target, sequence);
    }
    run(shard, actions);
}

void action_runner::onProbeReply(const shard_id &shard, const target_action &action,
                                 const result<control_reply> &health)
{
    action_list actions;
    {
        const ordered_lock lock(m_shards.mutex());
        auto *entry = m_shards.find(shard);
        if (!entry)
            return;
        const auto now = boot_clock::now();
        auto &controller = entry->controller;
        if (controller.role() != shard_role::Leader || controller.term() != action.request.term)
            return controller.onTargetFailure(action.to, action.request.sequence);
        auto reply = health ? health.value() : control_reply{};
        reply.isUnreachable = !health;
        auto &proxy = proxyFor(*entry, action.to, now);
        const auto isRunning = [entry](slot_index slot) {
            return entry->keeper.ledger().countRunning(slot) > 0;
        };
        reply = proxy.apply(action.request, reply, isRunning, now);
        controller.onTargetReply(action.to, action.request.sequence, reply, now, actions);
    }
    run(shard, actions);
}

} // namespace clementinebeam
