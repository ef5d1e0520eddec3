#pragma once

#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/coordination/shardcontroller.h"
#include "clementinebeam/ledger/requestledger.h"

namespace clementinebeam {

/// Keeps a shard's ledger in step with this instance's role.
///
/// A ledger stays valid while its holder goes on as leader, or turns from a standby that its leader
/// copied to into the leader. In all other cases it starts anew, and ids created before that count
/// as unknown.
class ledger_keeper
{
public:
    /// @param self this process.
    /// @param settings the daemon's settings.
    ledger_keeper(incarnation_id self, const daemon_settings &settings);

    /// Takes the controller's newest role and term.
    /// @param controller the shard's controller.
    /// @param wall the current wall-clock time.
    void update(const shard_controller &controller, wall_time wall);

    /// Takes a copy from the leader.
    /// @param from the leader.
    /// @param copy the copy.
    /// @param now the current time.
    void store(const incarnation_id &from, const ledger_copy &copy, instant now);

    /// @return whether requests may be admitted in the present term.
    bool mayAdmit(const shard_controller &controller) const;

    /// @return whether the standby has to be sent all entries.
    bool needsSync() const
    {
        return m_role == shard_role::Leader && !m_isSynced && !m_needsSettled;
    }
    void setSynced(bool synced) { m_isSynced = synced; }

    request_ledger &ledger() { return m_ledger; }
    const request_ledger &ledger() const { return m_ledger; }

private:
    bool hasUncoveredLeadership(const shard_controller &controller) const;

    incarnation_id m_self;
    std::chrono::milliseconds m_clockSkewLimit;
    request_ledger m_ledger;
    shard_role m_role = shard_role::Observer;
    term_number m_term = 0;
    bool m_isSynced = false;
    bool m_hasHeardLeader = false;  ///< As a standby: the leader entered the present term.
    incarnation_id m_coveredLeader; ///< The leader that copied to this instance at last.
    term_number m_coveredTerm = 0;  ///< Its term then.
    bool m_needsSettled = false;    ///< An earlier pair may still be admitting requests.
};

} // namespace clementinebeam
