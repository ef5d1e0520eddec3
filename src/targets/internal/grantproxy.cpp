#include "clementinebeam/targets/grantproxy.h"

namespace clementinebeam {

namespace {

/// Constant, because a proxy exists for one term of the leader only.
constexpr std::uint64_t PROXY_NONCE = 1;

} // namespace

grant_proxy::grant_proxy(const target_id &target, const shard_state &state,
                         std::chrono::milliseconds permitLifetime, instant now)
    : m_permitLifetime(permitLifetime)
    , m_createdAt(now)
{
    for (slot_index slot = 0; slot < state.slots.size(); ++slot) {
        const auto &owned = state.slots[slot];
        if (owned.owner == target || owned.previous == target)
            m_held[slot] = owned.owner == target ? owned.epoch : 0;
    }
}

void grant_proxy::notePermit(slot_index slot, instant now)
{
    m_permitEndTimes[slot] = now + m_permitLifetime;
}

control_reply grant_proxy::apply(const control_request &request, const control_reply &health,
                                 const running_predicate &isRunning, instant now)
{
    for (const auto slot : request.revokes) {
        const auto permit = m_permitEndTimes.find(slot);
        const auto permitEnd =
                permit == m_permitEndTimes.end() ? m_createdAt + m_permitLifetime : permit->second;
        if (now >= permitEnd && !isRunning(slot))
            m_held.erase(slot);
    }
    for (const auto &grant : request.grants)
        m_held[grant.slot] = grant.epoch;
    auto reply = health;
    reply.accepted = true;
    reply.nonce = PROXY_NONCE;
    reply.term = request.term;
    reply.sequence = request.sequence;
    reply.prepared = request.prepares;
    reply.held.clear();
    for (const auto &[slot, epoch] : m_held)
        reply.held.push_back({slot, epoch});
    return reply;
}

} // namespace clementinebeam
