#include "internal/ledgerkeeper.h"

#include <algorithm>

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

ledger_keeper::ledger_keeper(incarnation_id self, const daemon_settings &settings)
    : m_self(std::move(self))
    , m_clockSkewLimit(settings.clockSkewLimit)
    , m_ledger(ledgerSettings(settings))
{ }

void ledger_keeper::update(const shard_controller &controller, wall_time wall)
{
    const auto role = controller.role();
    const bool isLeader = role == shard_role::Leader;
    // Before the leader enters the term it may admit requests that only its former standby knows.
    const bool waits = m_role == shard_role::Standby && !m_hasHeardLeader;
    if (waits)
        m_ledger.setHorizon(wall + m_clockSkewLimit);
    m_needsSettled = isLeader && hasUncoveredLeadership(controller);
    if (m_needsSettled)
        m_ledger.setHorizon(wall + m_clockSkewLimit);
    if (role == m_role && controller.term() == m_term)
        return;
    const bool continues = isLeader && m_role != shard_role::Observer && !waits;
    if (isLeader && !continues) {
        // In a shard's first term no request can have been admitted before.
        const bool isFirst = controller.state().previousTerm == 0;
        m_ledger.reset(isFirst ? wall_time{} : wall + m_clockSkewLimit);
    }
    if (role == shard_role::Standby)
        m_ledger.setHorizon(wall + m_clockSkewLimit);
    if (role == shard_role::Observer)
        m_ledger.reset(wall);
    m_isSynced = false;
    m_hasHeardLeader = false;
    m_role = role;
    m_term = controller.term();
}

/// Tells whether an earlier pair may still be admitting requests that this ledger never sees.
bool ledger_keeper::hasUncoveredLeadership(const shard_controller &controller) const
{
    const auto &earlier = controller.state().earlier;
    return std::any_of(earlier.begin(), earlier.end(), [this](const earlier_leadership &item) {
        // A standby that took over refuses the copies of its former leader.
        const bool hasCopied = item.leader == m_coveredLeader && item.term <= m_coveredTerm;
        return !item.bounded && !hasCopied && item.leader != m_self;
    });
}

void ledger_keeper::store(const incarnation_id &from, const ledger_copy &copy, instant now)
{
    m_coveredLeader = from;
    m_coveredTerm = copy.term;
    m_hasHeardLeader = true;
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
