#pragma once

#include "clementinebeam/controlplane/icontrolplane.h"
#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/nativelog/iinstancelist.h"
#include "clementinebeam/routing/iquarantine.h"
#include "internal/admissionservice.h"
#include "internal/streamreader.h"
#include "internal/viewpublisher.h"

#include <atomic>
#include <condition_variable>
#include <thread>

namespace clementinebeam {

/// Services of other modules that the control plane uses.
struct control_plane_services {
    std::shared_ptr<i_log_client> log;
    std::shared_ptr<i_instance_list> instances;
    std::shared_ptr<i_peer_transport> peers;
    std::shared_ptr<i_target_client> targets;
    std::shared_ptr<i_audit_trail> audit;
    std::shared_ptr<i_metrics> metrics;
    std::shared_ptr<i_quarantine> quarantine;
};

/// Connects shard controllers, stream replays and ledgers to the log, the peers and the targets,
/// and runs the threads that drive them.
class control_plane : public i_control_plane
{
public:
    control_plane(const incarnation_id &self, const daemon_settings &settings);
    ~control_plane() override;

    /// Sets the handlers of the peer transport and starts the threads.
    /// @param services the services to use.
    void start(const control_plane_services &services);

    /// Hands the leadership of each shard over to its standby. Returns when all standbys have taken
    /// over or the timeout has passed.
    void handOver();

    /// Stops and joins the threads. Later calls have no effect.
    void stop();

    result<patch_result> submitPatch(const patch_record &record,
                                     std::chrono::milliseconds timeout) override;
    std::vector<patch_result> history() const override;
    std::vector<shard_status> shards() const override;
    state_reply position() const override;
    std::vector<listing> listings() const override;
    std::error_code confirmEarlierLeadersLost(const shard_id &shard) override;
    bool isReady() const override { return m_ready; }
    void addLoad(const shard_id &shard, slot_index slot, double seconds) override;

    /// @return the routing table, which the read thread updates.
    std::shared_ptr<i_routing_table> routes() const { return m_routes; }

private:
    void readLoop();
    void listingLoop();
    void tickLoop();
    void readOnce();
    void askPeersForState();
    void askPeersForCrashes();
    void fetchListings();
    void updateShards();
    void publishView();
    void notifyPeers();
    void tickShards();
    void writeCheckpoint(const shard_id &shard);
    void writeConfigurationCheckpoint();
    void reportLoad();
    void updateControllerLoads();
    void reportMetrics();
    void wakeReader();
    void handleMessage(const incarnation_id &from, const peer_message &message);
    void handleCoordination(const incarnation_id &from, const coordination_message &message);
    void handleRequest(const incarnation_id &from, const peer_message &message,
                       const peer_responder &respond);
    state_reply fullState() const;

    incarnation_id m_self;
    daemon_settings m_settings;
    mutable shard_table m_shards;
    control_plane_services m_services;
    std::unique_ptr<action_runner> m_runner;
    std::unique_ptr<stream_reader> m_reader;
    std::unique_ptr<admission_service> m_admissions;

    mutable ordered_mutex m_listingMutex{lock_rank::PeerTable};
    std::vector<listing> m_listings;

    std::shared_ptr<view_publisher> m_routes = std::make_shared<view_publisher>();

    std::mutex m_wakeReaderMutex;
    std::condition_variable m_wakeReader;
    bool m_wakeReaderRequested = false;

    std::atomic<bool> m_ready{false};
    bool m_hasCrashHistory = false; ///< Another instance has told it; only for the listing thread.
    std::atomic<bool> m_stopping{false};
    std::thread m_readThread;
    std::thread m_listingThread;
    std::thread m_tickThread;
    instant m_nextLoadReport{};
    instant m_nextExpiry{};
    instant m_nextConfigurationCheckpoint{};
};

} // namespace clementinebeam
