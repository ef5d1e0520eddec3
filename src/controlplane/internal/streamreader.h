#pragma once

#include "clementinebeam/configuration/configurationreplay.h"
#include "clementinebeam/nativelog/ilogclient.h"
#include "clementinebeam/observability/iaudittrail.h"
#include "clementinebeam/observability/imetrics.h"
#include "clementinebeam/ownership/ownershipreplay.h"
#include "internal/actionrunner.h"
#include "internal/shardtable.h"

namespace clementinebeam {

/// Reads both streams and feeds replay, shard controllers and the audit trail.
///
/// The replays are guarded by the shard table's mutex.
class stream_reader
{
public:
    stream_reader(shard_table &shards, action_runner &runner, std::shared_ptr<i_log_client> log,
                  std::shared_ptr<i_audit_trail> audit, std::shared_ptr<i_metrics> metrics,
                  const incarnation_id &self);

    /// What one round of reading brought.
    struct round_result {
        bool isReachable = false;
        bool hasChanged = false;
        bool hasConfigurationChanged = false;
        bool isAtEnd = false;
        bool hasOwnRecords = false; ///< A record of this instance was read.
    };

    /// Reads what is new in both streams.
    round_result read();

    /// Takes over another instance's state.
    void adopt(const state_reply &state);

    /// Gives each shard controller the state that replay has for it.
    void seedControllers();

    /// @return whether both replays are usable. The shard table's mutex is held.
    bool isKnown() const { return m_configuration.isKnown() && m_ownershipReadOnce; }

    /// The shard table's mutex is held.
    const configuration_replay &configuration() const { return m_configuration; }

    /// The shard table's mutex is held.
    const ownership_replay &ownership() const { return m_ownership; }

private:
    bool readConfiguration(round_result &round);
    bool readOwnership(round_result &round);
    void applyConfiguration(const log_entry &entry, round_result &round);
    void applyOwnership(const log_entry &entry, round_result &round);
    void auditMoves(log_offset offset, const ownership_record &record, replay_verdict verdict);

    shard_table &m_shards;
    action_runner &m_runner;
    std::shared_ptr<i_log_client> m_log;
    std::shared_ptr<i_audit_trail> m_audit;
    std::shared_ptr<i_metrics> m_metrics;
    instance_id m_self;
    configuration_replay m_configuration;
    ownership_replay m_ownership;
    bool m_ownershipReadOnce = false;
};

} // namespace clementinebeam
