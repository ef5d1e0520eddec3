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

/// Services of other modules that the control plane works with.
struct control_plane_services {
    std::shared_ptr<i_log_client> log;
    std::shared_ptr<i_instance_list> instances;
    std::shared_ptr<i_peer_transport> peers;
    std::shared_ptr<i_target_client> targets;
    std::shared_ptr<i_audit_trail> audit;
    std::shared_ptr<i_metrics> metrics;
    std::shared_ptr<i_quarantine> quarantine;
};

/// Runs shard controllers, replays and ledgers on this instance's threads and connections.
class control_plane : public i_control_plane
{
public:
    control_plane(const incarnation_id &self, const daemon_settings &settings);
    ~control_plane() override;

    /// @param services what the control plane works with.
    void start(const control_plane_services &services);

    /// Passes all leaderships on; returns after they were taken over or the limit passed.
    void handOver();
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

    /// @return the table that this control plane keeps up to date.
    std::shared_ptr<i_routing_table> routes() const { return m_routes; }

private:
    void readLoop();
    void listLoop();
    void tickLoop();
    void readOnce();
    void askPeersForState();
    void fetchListings();
    void updateShards();
    void publishView();
    void notifyPeers();
    void tickShards();
    void writeCheckpoint(const shard_id &shard);
    void writeConfigurationCheckpoint();
    void reportLoad();
    void planWithLoad();
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

    std::mutex m_wakeMutex;
    std::condition_variable m_wake;
    bool m_wakeRequested = false;

    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_readThread;
    std::thread m_listThread;
    std::thread m_tickThread;
    instant m_nextLoadReport{};
    instant m_nextExpiry{};
    instant m_nextConfigurationCheckpoint{};
};

} // namespace clementinebeam
