#pragma once

#include "clementinebeam/nativelog/ilogclient.h"
#include "clementinebeam/ownership/ownershipreplay.h"
#include "clementinebeam/peering/ipeertransport.h"
#include "clementinebeam/targets/itargetclient.h"
#include "internal/shardtable.h"

namespace clementinebeam {

/// Names of the streams in the platform's log.
inline const std::string CONFIGURATION_STREAM = "configuration";
inline const std::string OWNERSHIP_STREAM = "ownership";

/// Carries out the actions that shard controllers return. Holds no lock during I/O.
class action_runner
{
public:
    action_runner(shard_table &shards, std::shared_ptr<i_log_client> log,
                  std::shared_ptr<i_peer_transport> peers, std::shared_ptr<i_target_client> targets,
                  const daemon_settings &settings);

    /// @param onAppended called each time the log has confirmed an append.
    void setAppendHandler(std::function<void()> onAppended)
    {
        m_onAppended = std::move(onAppended);
    }

    /// Carries out the actions of one shard.
    /// @param shard the shard.
    /// @param actions the actions; replies of targets go to the controller of the shard.
    void run(const shard_id &shard, const action_list &actions);

    /// Appends a record to the ownership stream. Does not wait for the confirmation of the log.
    void append(const ownership_record &record);

private:
    void sendControl(const shard_id &shard, const target_action &action);
    void onControlReply(const shard_id &shard, const target_id &target, std::uint64_t sequence,
                        const result<control_reply> &reply);
    void onProbeReply(const shard_id &shard, const target_action &action,
                      const result<control_reply> &health);

    shard_table &m_shards;
    std::shared_ptr<i_log_client> m_log;
    std::shared_ptr<i_peer_transport> m_peers;
    std::shared_ptr<i_target_client> m_targets;
    std::chrono::milliseconds m_controlTimeout;
    std::function<void()> m_onAppended;
};

} // namespace clementinebeam
