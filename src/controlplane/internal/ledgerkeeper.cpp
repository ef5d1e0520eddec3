#include "internal/ledgerkeeper.h"

namespace clementinebeam {

namespace {

ledger_settings ledgerSettings(const daemon_settings &settings)
{
    ledger_settings ledger;
    ledger.requestIdLife = settings.requestIdLife;
    ledger.clockSkewLimit = settings.clockSkewLimit;
    return ledger;
}

} // namespace

ledger_keeper::ledger_keeper(const daemon_settings &settings)
    : m_clockSkewLimit(settings.clockSkewLimit)
    , m_ledger(ledgerSettings(settings))
{
}

void ledger_keeper::update(const shard_controller &controller, wall_time wall)
{
    const auto role = controller.role();
    const bool isLeader = role == shard_role::Leader;
    if (isLeader && m_needsSettled) {
        // Until the earlier pair is fenced it may admit requests that this ledger never sees.
        m_ledger.setHorizon(wall + m_clockSkewLimit);
        m_needsSettled = !controller.state().earlier.empty();
    }
    if (role == m_role && controller.term() == m_term)
        return;
    const bool continues = isLeader && m_role != shard_role::Observer;
    if (isLeader && !continues) {
        // In a shard's first term no request can have been admitted before.
        const bool isFirst = controller.state().previousTerm == 0;
        m_ledger.reset(isFirst ? wall_time{} : wall + m_clockSkewLimit);
        m_needsSettled = !controller.state().earlier.empty();
    }
    if (role == shard_role::Standby)
        m_ledger.setHorizon(wall + m_clockSkewLimit);
    if (role == shard_role::Observer)
        m_ledger.reset(wall);
    m_isSynced = false;
    m_role = role;
    m_term = controller.term();
}

void ledger_keeper::store(const ledger_copy &copy, instant now)
{
    for (const auto &entry : copy.entries)
        m_ledger.store(entry, now);
    if (copy.isComplete)
        m_ledger.setHorizon(wall_time(std::chrono::milliseconds(copy.horizon)));
}

bool ledger_keeper::mayAdmit(const shard_controller &controller) const
{
    return m_role == shard_role::Leader && m_term == controller.term() && !m_needsSettled
            && !controller.state().standby.empty();
}

} // namespace clementinebeam
