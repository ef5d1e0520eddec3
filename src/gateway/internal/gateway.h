#pragma once

#include "clementinebeam/asynchttp/serverlistener.h"
#include "clementinebeam/gateway/gatewaysettings.h"
#include "clementinebeam/gateway/iclusterstore.h"
#include "clementinebeam/gateway/imessageformat.h"
#include "clementinebeam/kernel/randomsource.h"
#include "internal/coordination.h"
#include "internal/gatewaymetrics.h"
#include "internal/peerchannel.h"
#include "internal/placementclient.h"
#include "internal/requestexchange.h"
#include "internal/storefeeds.h"

#include <functional>

namespace clementinebeam {

/// Serves one path with a page that is generated for each request; others get 404.
class page_server : public i_request_handler
{
public:
    using page_maker = std::function<http_answer()>;

    /// Largest body of a request; pages are requested without one.
    static constexpr std::uint64_t MAX_BODY_BYTES = 4096;

    /// @param account the process's account for memory.
    /// @param metrics counts refusals.
    page_server(std::string path, page_maker maker, std::shared_ptr<memory_account> account,
                gateway_metrics &metrics);

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override;
    const server_limits &limits() const override { return m_limits; }
    std::shared_ptr<memory_account> memory() override { return m_account; }
    http_answer refuse(const http_call &head, unsigned status, std::string_view reason) override;
    void onClosedForLimit(std::string_view reason) override;

private:
    std::string m_path;
    page_maker m_maker;
    std::shared_ptr<memory_account> m_account;
    gateway_metrics &m_metrics;
    server_limits m_limits;
};

/// One gateway instance: accepts callers' requests and forwards them to targets.
class gateway : public i_request_handler, public i_feed_listener
{
public:
    /// @param context the event loop; outlives the gateway, as do store and format.
    /// @param settings the settings; copied.
    /// @param store the platform's store.
    /// @param format the message formats of the platform.
    gateway(boost::asio::io_context &context, const gateway_settings &settings,
            i_cluster_store &store, const i_message_format &format);

    /// Opens the listeners and begins to follow the store.
    /// @return an error if an address can't be bound.
    std::error_code start();

    /// Shuts down in steps: reports itself as not ready at once, later stops accepting connections,
    /// then completes the requests in progress within the grace time. Requests that come later and
    /// may not end in that time are rejected; those that still run at its end get an answer.
    /// Further calls do nothing.
    /// @param done called on the event loop when the gateway has stopped.
    void stop(std::function<void()> done);

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override;
    const server_limits &limits() const override;
    std::shared_ptr<memory_account> memory() override { return m_account; }
    http_answer refuse(const http_call &head, unsigned status, std::string_view reason) override;
    void onClosedForLimit(std::string_view reason) override;

    void onConfiguration(routing_configuration configuration) override;
    void onEvacuations(const std::vector<evacuation_change> &changes, store_position version,
                       bool isComplete) override;
    void onTargetsChanged() override;
    void onOwnershipRestarted() override;
    void onOwnership(const std::vector<ownership_record> &records, store_position end,
                     instant requestedAt) override;
    void onCrashRecord(const crash_record &record) override { m_quarantine.onStored(record); }
    bool isCoordinating() const override { return m_coordination.isCoordinating(); }
    bool isRelayedViewFresh() const override { return m_placement.isRelayedViewFresh(); }

private:
    /// Part of the grace time that is left for the process to exit.
    static constexpr std::chrono::milliseconds STOP_MARGIN{400};

    bool isReady() const;
    void onEra(store_era era);
    void applyEvacuations();
    void reportEvacuations(instant now);
    void onStreamStale(store_stream stream);
    void scheduleMaintenance();
    void runMaintenance();
    void logStoreCalls(instant now);
    void logLimits(instant now);
    instant stopEnd() const { return m_stopStart + m_settings.bounds.grace - STOP_MARGIN; }
    void finishWhenIdle(std::function<void()> done);
    void finish(const std::function<void()> &done);
    void rejectRequest(const std::shared_ptr<server_connection> &connection, const http_call &call,
                       unsigned status, const char *reason);
    http_answer readinessPage() const;
    http_answer metricsPage();

    const gateway_settings m_settings;
    const i_message_format &m_format;
    gateway_metrics m_metrics;
    const std::shared_ptr<memory_account> m_account; ///< For what callers and targets send.
    target_directory m_targets;
    evacuation_view m_evacuations;
    evacuation_progress m_evacuationProgress;
    evacuation_view::evacuation_map m_reportedEvacuations;
    random_source m_random;
    target_connection_pool m_pool;
    request_quarantine m_quarantine;
    peer_channel m_channel;
    placement_client m_placement;
    coordination m_coordination;
    store_feeds m_feeds;
    loop_lag m_lag;
    exchange_environment m_exchangeEnvironment;
    std::unique_ptr<route_table> m_routes;
    server_limits m_defaultLimits;
    page_server m_readinessServer;
    page_server m_metricsServer;
    server_listener m_callerListener;
    server_listener m_readinessListener;
    server_listener m_metricsListener;
    boost::asio::steady_timer m_maintenanceTimer;
    boost::asio::steady_timer m_stopTimer;
    instant m_stopStart{};
    instant m_nextDropReport{};
    instant m_nextStoreCallsLog{};
    instant m_nextLimitsLog{};
    std::uint64_t m_reportedDroppedLines = 0;
    bool m_wasReady = false;
};

} // namespace clementinebeam
