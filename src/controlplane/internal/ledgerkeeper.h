#pragma once

#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/coordination/shardcontroller.h"
#include "clementinebeam/ledger/requestledger.h"

namespace clementinebeam {

/// Resets or keeps a shard's ledger when this instance's role changes.
///
/// The ledger stays valid while the instance remains leader, and when the instance becomes leader
/// after it was a standby that received copies from its leader. In all other cases the ledger is
/// cleared, and requests created before that are refused as expired.
class ledger_keeper
{
public:
    /// @param self this process.
    /// @param settings the daemon's settings.
    ledger_keeper(incarnation_id self, const daemon_settings &settings);

    /// Applies the current role and term of the controller. To be called whenever they may have
    /// changed.
    /// @param controller the shard's controller.
    /// @param wall the current wall-clock time.
    void update(const shard_controller &controller, wall_time wall);

    /// Stores entries that the leader copied to this standby.
    /// @param from the leader.
    /// @param copy the entries and the horizon.
    /// @param now the current time.
    void store(const incarnation_id &from, const ledger_copy &copy, instant now);

    /// @param controller the shard's controller.
    /// @return whether this instance may admit requests in the current term.
    bool mayAdmit(const shard_controller &controller) const;

    /// @return whether all entries have to be sent to the standby.
    bool needsSync() const
    {
        return m_role == shard_role::Leader && !m_isSynced && !m_mayEarlierLeaderAdmit;
    }

    /// @param synced whether all entries were sent to the standby, or are being sent.
    void setSynced(bool synced) { m_isSynced = synced; }

    request_ledger &ledger() { return m_ledger; }
    const request_ledger &ledger() const { return m_ledger; }

private:
    bool mayEarlierLeaderAdmit(const shard_controller &controller) const;

    incarnation_id m_self;
    std::chrono::milliseconds m_clockSkewLimit;
    request_ledger m_ledger;
    shard_role m_role = shard_role::Observer;
    term_number m_term = 0;
    bool m_isSynced = false;
    bool m_hasLeaderCopy = false;    ///< As a standby: the leader sent a copy in the current term.
    incarnation_id m_lastCopyLeader; ///< The leader that sent the last copy.
    term_number m_lastCopyTerm = 0;  ///< Term of the last copy.
    bool m_mayEarlierLeaderAdmit = false; ///< If so, this instance admits nothing.
};

} // namespace clementinebeam
