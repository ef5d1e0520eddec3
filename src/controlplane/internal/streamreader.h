#pragma once

#include "clementinebeam/configuration/configurationreplay.h"
#include "clementinebeam/nativelog/ilogclient.h"
#include "clementinebeam/observability/iaudittrail.h"
#include "clementinebeam/observability/imetrics.h"
#include "clementinebeam/ownership/ownershipreplay.h"
#include "internal/actionrunner.h"
#include "internal/shardtable.h"

namespace clementinebeam {

/// Reads the configuration and ownership streams and passes their records to the replays, the shard
/// controllers and the audit trail.
///
/// The shard table's mutex guards the replays.
class stream_reader
{
public:
    stream_reader(shard_table &shards, action_runner &runner, std::shared_ptr<i_log_client> log,
                  std::shared_ptr<i_audit_trail> audit, std::shared_ptr<i_metrics> metrics,
                  const incarnation_id &self);

    /// Result of one call of read().
    struct round_result {
        bool isReachable = false; ///< The last read of the log succeeded.
        bool hasChanged = false;  ///< A record was read.
        bool hasConfigurationChanged = false;
        bool isAtEnd = false;       ///< Both streams were read to their end.
        bool hasOwnRecords = false; ///< A record of this instance was read.
    };

    /// Reads the next batch of records of both streams.
    round_result read();

    /// Replaces the state of the replays by another instance's state.
    /// @param state the other instance's full state.
    void adopt(const state_reply &state);

    /// Passes the replayed state to each shard controller that has an older term.
    void seedControllers();

    /// The caller holds the shard table's mutex.
    /// @return whether both replays have a usable state.
    bool isKnown() const { return m_configuration.isKnown() && m_ownershipReadOnce; }

    /// The caller holds the shard table's mutex.
    const configuration_replay &configuration() const { return m_configuration; }

    /// The caller holds the shard table's mutex.
    const ownership_replay &ownership() const { return m_ownership; }

private:
    bool readConfiguration(round_result &round);
    bool readOwnership(round_result &round);
    void applyConfiguration(const log_entry &entry, round_result &round);
    void applyOwnership(const log_entry &entry, round_result &round);
    void auditRecord(log_offset offset, const ownership_record &record, replay_verdict verdict);

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
