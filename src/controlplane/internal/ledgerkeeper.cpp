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
    // Until it has read the claim of this term, the leader may still admit requests that it copies
    // only to its former standby.
    const bool awaitsLeaderCopy = m_role == shard_role::Standby && !m_hasLeaderCopy;
    if (awaitsLeaderCopy)
        m_ledger.setHorizon(wall + m_clockSkewLimit);
    m_mayEarlierLeaderAdmit = isLeader && mayEarlierLeaderAdmit(controller);
    if (m_mayEarlierLeaderAdmit)
        m_ledger.setHorizon(wall + m_clockSkewLimit);
    if (role == m_role && controller.term() == m_term)
        return;
    const bool keepsEntries = isLeader && m_role != shard_role::Observer && !awaitsLeaderCopy;
    if (isLeader && !keepsEntries) {
        // In a shard's first term no request can have been admitted before.
        const bool isFirst = controller.state().previousTerm == 0;
        m_ledger.reset(isFirst ? wall_time{} : wall + m_clockSkewLimit);
    }
    if (role == shard_role::Standby)
        m_ledger.setHorizon(wall + m_clockSkewLimit);
    if (role == shard_role::Observer)
        m_ledger.reset(wall);
    m_isSynced = false;
    m_hasLeaderCopy = false;
    m_role = role;
    m_term = controller.term();
}

/// Tells whether an earlier leader and its standby may still admit requests that are not copied to
/// this ledger.
bool ledger_keeper::mayEarlierLeaderAdmit(const shard_controller &controller) const
{
    const auto &earlier = controller.state().earlier;
    return std::any_of(earlier.begin(), earlier.end(), [this](const earlier_leadership &item) {
        // Having taken over from its leader, this instance refuses the copies without which that
        // leader cannot admit requests.
        const bool wasOwnLeader = item.leader == m_lastCopyLeader && item.term <= m_lastCopyTerm;
        return !item.standbyTookOver && !wasOwnLeader && item.leader != m_self;
    });
}

void ledger_keeper::store(const incarnation_id &from, const ledger_copy &copy, instant now)
{
    m_lastCopyLeader = from;
    m_lastCopyTerm = copy.term;
    m_hasLeaderCopy = true;
    for (const auto &entry : copy.entries)
        m_ledger.store(entry, now);
    if (copy.isComplete)
        m_ledger.setHorizon(wall_time(std::chrono::milliseconds(copy.horizon)));
}

bool ledger_keeper::mayAdmit(const shard_controller &controller) const
{
    return m_role == shard_role::Leader && m_term == controller.term() && !m_mayEarlierLeaderAdmit
            && !controller.state().standby.empty();
}

} // namespace clementinebeam
