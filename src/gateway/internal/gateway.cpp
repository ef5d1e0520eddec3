#include "internal/gateway.h"

#include "clementinebeam/kernel/randomsource.h"
#include "clementinebeam/observability/boundedlog.h"
#include "clementinebeam/observability/logline.h"

#include <algorithm>
#include <sys/resource.h>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

constexpr unsigned HTTP_OK = 200;
constexpr unsigned HTTP_NOT_FOUND = 404;
constexpr unsigned HTTP_UNAVAILABLE = 503;
/// Interval of the periodic work: idle connections, coordination, readiness, log.
constexpr milliseconds MAINTENANCE_INTERVAL{500};
constexpr milliseconds DROPPED_LINES_LOG_INTERVAL{5000};
/// Each instance logs its calls to the store as one summary line per interval.
constexpr milliseconds STORE_CALLS_LOG_INTERVAL{10000};
/// The load balancer checks readiness once a second and removes an instance after two failed
/// checks.
constexpr milliseconds BALANCER_REMOVAL_TIME{2600};
constexpr milliseconds STOP_POLL_INTERVAL{100};
/// Time for the last answers to be sent.
constexpr milliseconds LAST_ANSWER_TIME{100};
constexpr milliseconds NOT_READY_RETRY_AFTER{300};
/// Part of the time that an evacuation may take in which evacuated targets still get requests for
/// keys that they own, until these are moved. The rest covers the delay until an instance knows of
/// the evacuation.
constexpr int OWNER_GRACE_PERCENT = 20;
/// Answers that are being received from targets may take up to 1/4 of the memory limit.
constexpr std::size_t ANSWER_MEMORY_DIVISOR = 4;
/// Refusals and closes for limits are logged as one summary line per interval.
constexpr milliseconds LIMITS_LOG_INTERVAL{5000};
/// After the store has come back from an older copy, instances that coordinate nothing read it
/// again after a random time up to this one, as all of them learn of it at about the same time.
constexpr milliseconds MAX_RESTART_DELAY{400};

/// @return the part of the process's memory for all that callers and targets send; the rest is for
/// the process itself.
std::size_t accountBytes(std::size_t memory)
{
    return memory / 8 * 5;
}

std::size_t descriptorLimit(const gateway_settings &settings)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return settings.descriptors;
    return std::min<std::size_t>(settings.descriptors, limit.rlim_cur);
}

} // namespace

page_server::page_server(std::string path, page_maker maker,
                         std::shared_ptr<memory_account> account, gateway_metrics &metrics)
    : m_path(std::move(path))
    , m_maker(std::move(maker))
    , m_account(std::move(account))
    , m_metrics(metrics)
{
    m_limits.bodyBytes = MAX_BODY_BYTES;
}

http_answer page_server::refuse(const http_call &head, unsigned status, std::string_view reason)
{
    m_metrics.countLimit(reason);
    return i_request_handler::refuse(head, status, reason);
}

void page_server::onClosedForLimit(std::string_view reason)
{
    m_metrics.countLimit(reason);
}

void page_server::handle(http_call &&call, const std::shared_ptr<server_connection> &connection)
{
    const bool isOwnPath = call.target() == m_path;
    connection->respond(isOwnPath ? m_maker() : makeOwnAnswer(HTTP_NOT_FOUND));
}

gateway::gateway(boost::asio::io_context &context, const gateway_settings &settings,
                 i_cluster_store &store, const i_message_format &format)
    : m_settings(settings)
    , m_format(format)
    , m_account(std::make_shared<memory_account>(accountBytes(settings.memory)))
    , m_targets(settings.bounds.drain, settings.targetHeartbeat)
    , m_random(makeSystemSeededSource())
    , m_pool(context, settings.memory / ANSWER_MEMORY_DIVISOR, m_account)
    , m_quarantine(m_pool)
    , m_channel(context)
    , m_placement(context, m_channel, m_targets, m_quarantine)
    , m_coordination(
              {context, store, format, m_targets, m_metrics, m_settings.bounds,
               settings.peerListener.text(), makeSystemSeededSource()(), settings.processorShare,
               settings.linkMbps,
               [this](const service_name &service, const dispatch_decision &decision) {
                   m_placement.onDecision(service, decision);
               },
               [this](const service_name &service) {
                   m_placement.onCoordinatorChanged(service);
                   if (m_coordination.isCoordinating())
                       m_feeds.onCoordinationTaken();
               },
               [this] { m_feeds.confirmOwnership(); }, [this] { m_feeds.pollTargetsOften(); },
               [this] { return m_feeds.age(store_stream::Targets, boot_clock::now()); },
               [this](const service_name &service) { m_placement.queryCoordinator(service); },
               [this](const service_name &service) {
                   return m_quarantine.takeRecordToStore(service);
               },
               [this](const crash_record &record) { m_quarantine.onStored(record); },
               settings.isFirstStart})
    , m_feeds(context, store, format, m_targets, *this, m_metrics)
    , m_lag(context)
    , m_exchangeEnvironment{context,      format,    m_placement, m_pool,
                            m_quarantine, m_metrics, m_lag,       settings.dataCentre}
    , m_readinessServer(
              format.readinessPath(), [this] { return readinessPage(); }, m_account, m_metrics)
    , m_metricsServer(
              "/metrics", [this] { return metricsPage(); }, m_account, m_metrics)
    , m_callerListener(context, *this)
    , m_readinessListener(context, m_readinessServer)
    , m_metricsListener(context, m_metricsServer)
    , m_maintenanceTimer(context)
    , m_stopTimer(context)
{
    m_pool.setBrokenAnswerHandler([this](const std::error_code &reason) {
        m_metrics.countBrokenAnswer("target", reason);
    });
    store.setBrokenAnswerHandler([this](const std::error_code &reason) {
        m_metrics.countBrokenAnswer("store", reason);
    });
    store.setEraHandler([this](store_era era) { onEra(era); });
    m_placement.setCoordination(&m_coordination);
    m_placement.setStalenessHandler([this](store_stream stream) { onStreamStale(stream); });
    m_placement.setEvacuations(
            m_evacuations,
            [this](store_position version, const std::vector<evacuation_note> &evacuations) {
                if (m_evacuations.merge(version, evacuations, boot_clock::now()))
                    applyEvacuations();
            });
    m_placement.setStreamAge(
            [this](store_stream stream) { return m_feeds.age(stream, boot_clock::now()); });
}

std::error_code gateway::start()
{
    const auto shares = shareDescriptors(descriptorLimit(m_settings));
    m_callerListener.setConnectionLimit(shares.callers);
    m_readinessListener.setConnectionLimit(shares.observers);
    m_metricsListener.setConnectionLimit(shares.observers);
    std::error_code error =
            m_channel.open(udpEndpointOf(m_settings.peerListener),
                           [this](const udp_endpoint &peer, const peer_message &message) {
                               m_placement.onMessage(peer, message);
                           });
    if (!error)
        error = m_readinessListener.listen(endpointOf(m_settings.readinessListener));
    if (!error)
        error = m_metricsListener.listen(endpointOf(m_settings.metricsListener));
    if (!error)
        error = m_callerListener.listen(endpointOf(m_settings.callerListener));
    if (error)
        return error;
    m_feeds.start();
    m_coordination.start();
    m_lag.start();
    scheduleMaintenance();
    return {};
}

bool gateway::isReady() const
{
    return m_routes && m_feeds.isComplete() && m_stopStart == instant{};
}

http_answer gateway::readinessPage() const
{
    return makeOwnAnswer(isReady() ? HTTP_OK : HTTP_UNAVAILABLE);
}

http_answer gateway::metricsPage()
{
    const auto now = boot_clock::now();
    for (const auto stream :
         {store_stream::Configuration, store_stream::Targets, store_stream::Coordination})
        m_metrics.setAge(nameOf(stream), m_feeds.age(stream, now));
    m_metrics.setTargets(m_targets.targets().size());
    auto answer = makeOwnAnswer(HTTP_OK, m_metrics.render());
    answer.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
    return answer;
}

const server_limits &gateway::limits() const
{
    return m_routes ? m_routes->configuration().limits : m_defaultLimits;
}

void gateway::scheduleMaintenance()
{
    m_maintenanceTimer.expires_after(MAINTENANCE_INTERVAL);
    m_maintenanceTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        scheduleMaintenance();
        runMaintenance();
    });
}

void gateway::runMaintenance()
{
    const auto now = boot_clock::now();
    m_pool.closeIdle(now);
    m_coordination.setStoreReachable(m_feeds.isStoreReachable());
    m_coordination.restartStalledServices();
    m_coordination.updateCandidacy();
    m_coordination.storeCrashRecords();
    m_placement.refreshRelayedView();
    reportEvacuations(now);
    if (isReady() != m_wasReady) {
        m_wasReady = isReady();
        log_line(log_level::Info, "readiness_changed")
                .add("ready", m_wasReady ? 1 : 0)
                .add("targets", m_targets.targets().size());
    }
    if (now >= m_nextDropReport && droppedLogLines() != m_reportedDroppedLines) {
        m_nextDropReport = now + DROPPED_LINES_LOG_INTERVAL;
        log_line(log_level::Warning, "log_lines_dropped")
                .add("count", droppedLogLines() - m_reportedDroppedLines);
        m_reportedDroppedLines = droppedLogLines();
    }
    if (now >= m_nextStoreCallsLog)
        logStoreCalls(now);
    if (now >= m_nextLimitsLog)
        logLimits(now);
    flushBoundedLog();
}

void gateway::logStoreCalls(instant now)
{
    m_nextStoreCallsLog = now + STORE_CALLS_LOG_INTERVAL;
    const auto calls = m_metrics.takeStoreCalls();
    if (calls.empty())
        return;
    log_line line(log_level::Info, "store_calls");
    line.add("coordinating", m_coordination.isCoordinating() ? 1 : 0);
    for (const auto &[kind, count] : calls)
        line.add(kind, count);
}

void gateway::rejectRequest(const std::shared_ptr<server_connection> &connection,
                            const http_call &call, unsigned status, const char *reason)
{
    const auto requestId = m_format.readCaller(call).requestId;
    auto answer = makeOwnAnswer(status, std::string(reason) + '\n');
    const auto retryAfter = status == HTTP_UNAVAILABLE ? std::optional(NOT_READY_RETRY_AFTER)
                                                       : std::optional<milliseconds>();
    m_format.setOwnAnswerHeaders(answer, requestId, retryAfter);
    m_metrics.countRequest({}, "rejected", reason, std::chrono::microseconds(0));
    log_line(log_level::Info, "request_ended")
            .add("request", requestId)
            .add("outcome", "rejected")
            .add("reason", reason)
            .add("status", status)
            .add("configuration", m_routes ? m_routes->configuration().version : 0);
    if (m_exchangeEnvironment.isStopping)
        connection->finish();
    connection->respond(std::move(answer));
}

http_answer gateway::refuse(const http_call &head, unsigned status, std::string_view reason)
{
    m_metrics.countLimit(reason);
    auto answer = makeOwnAnswer(status, std::string(reason) + '\n');
    const auto retryAfter = status == HTTP_UNAVAILABLE ? std::optional(NOT_READY_RETRY_AFTER)
                                                       : std::optional<milliseconds>();
    m_format.setOwnAnswerHeaders(answer, m_format.readCaller(head).requestId, retryAfter);
    return answer;
}

void gateway::onClosedForLimit(std::string_view reason)
{
    m_metrics.countLimit(reason);
}

void gateway::logLimits(instant now)
{
    m_nextLimitsLog = now + LIMITS_LOG_INTERVAL;
    const auto reasons = m_metrics.takeLimits();
    if (reasons.empty())
        return;
    log_line line(log_level::Warning, "limits_met");
    line.add("held_bytes", m_account->used())
            .add("connections", m_callerListener.connectionCount());
    for (const auto &[reason, count] : reasons)
        line.add(reason, count);
}

void gateway::handle(http_call &&call, const std::shared_ptr<server_connection> &connection)
{
    if (!m_routes) {
        rejectRequest(connection, call, HTTP_UNAVAILABLE, "no_configuration");
        return;
    }
    const auto host = call[boost::beast::http::field::host];
    auto *entry = m_routes->find({host.data(), host.size()},
                                 {call.target().data(), call.target().size()});
    if (!entry) {
        rejectRequest(connection, call, HTTP_NOT_FOUND, "no_route");
        return;
    }
    if (entry->rule.shares.empty()) {
        rejectRequest(connection, call, HTTP_UNAVAILABLE, "route_unreadable");
        return;
    }
    const auto &service = entry->nextService();
    const auto *routedService = m_routes->service(service);
    const auto exchange = std::make_shared<request_exchange>(
            m_exchangeEnvironment, entry->rule, service, routedService && routedService->isKeyed,
            m_routes->configuration().version);
    exchange->start(std::move(call), connection);
}

void gateway::onConfiguration(routing_configuration configuration)
{
    const auto current = m_routes ? m_routes->configuration().version : 0;
    if (m_routes && configuration.version <= current) {
        log_line(log_level::Info, "configuration_ignored")
                .add("version", configuration.version)
                .add("in_force", current);
        return;
    }
    log_line(log_level::Info, "configuration_taken")
            .add("version", configuration.version)
            .add("previous", current)
            .add("routes", configuration.routes.size())
            .add("services", configuration.services.size())
            .add("incomplete_rows", configuration.incompleteRows);
    m_metrics.setConfiguration(configuration.version);
    m_metrics.countIncompleteRows(configuration.incompleteRows);
    m_routes = std::make_unique<route_table>(std::move(configuration));
    m_placement.setConfigurationVersion(m_routes->configuration().version);
    m_targets.setServices(m_routes->configuration().services, m_settings.bounds);
    m_coordination.setServices(m_routes->configuration().services);
}

void gateway::onStreamStale(store_stream stream)
{
    if (stream == store_stream::Targets)
        m_feeds.pollTargetsOften();
    else
        m_feeds.refresh(stream);
}

/// Called when the store names a later era: at the start, and whenever it has come back from an
/// older copy.
void gateway::onEra(store_era era)
{
    const auto now = boot_clock::now();
    const bool isReturn = m_feeds.hasReadAny();
    log_line(isReturn ? log_level::Warning : log_level::Info,
             isReturn ? "store_restored" : "store_era_known")
            .add("era", numberOf(era))
            .add("configuration", m_routes ? m_routes->configuration().version : 0)
            .add("targets", m_targets.targets().size())
            .add("coordinating", m_coordination.isCoordinating() ? 1 : 0);
    m_metrics.setStoreEra(era, isReturn);
    m_placement.setEra(era);
    m_coordination.beginEra(era, now);
    if (!isReturn)
        return;
    m_targets.noteStoreRestored(now);
    m_quarantine.forgetStored();
    std::uniform_int_distribution<std::int64_t> delay(0, MAX_RESTART_DELAY.count());
    m_feeds.restart(m_coordination.isCoordinating() ? milliseconds(0)
                                                    : milliseconds(delay(m_random)));
}

void gateway::onEvacuations(const std::vector<evacuation_change> &changes, store_position version,
                            bool isComplete)
{
    if (m_evacuations.apply(changes, version, isComplete, boot_clock::now()))
        applyEvacuations();
}

void gateway::applyEvacuations()
{
    const auto &evacuated = m_evacuations.evacuated();
    for (const auto &[dataCentre, since] : evacuated) {
        if (!m_reportedEvacuations.contains(dataCentre))
            log_line(log_level::Info, "evacuation_begun")
                    .add("data_centre", dataCentre)
                    .add("era", numberOf(m_evacuations.version().era))
                    .add("version", m_evacuations.version().offset);
    }
    for (const auto &[dataCentre, since] : m_reportedEvacuations) {
        if (!evacuated.contains(dataCentre))
            log_line(log_level::Info, "evacuation_ended")
                    .add("data_centre", dataCentre)
                    .add("era", numberOf(m_evacuations.version().era))
                    .add("version", m_evacuations.version().offset);
    }
    m_reportedEvacuations = evacuated;
    std::map<std::string, instant> ownerUntil;
    for (const auto &[dataCentre, since] : m_evacuations.evacuated())
        ownerUntil.emplace(dataCentre,
                           since + m_settings.bounds.evacuation * OWNER_GRACE_PERCENT / 100);
    m_targets.setEvacuated(std::move(ownerUntil));
    onTargetsChanged();
}

void gateway::reportEvacuations(instant now)
{
    const auto &evacuated = m_evacuations.evacuated();
    const auto remainders = m_coordination.evacuationRemainders();
    m_metrics.setEvacuations(evacuated, remainders);
    for (const auto &item : m_evacuationProgress.update(evacuated, remainders)) {
        const auto since = evacuated.at(item.dataCentre);
        log_line line(log_level::Info, "evacuation_service_done");
        line.add("data_centre", item.dataCentre).add("service", item.service);
        if (since != instant{})
            line.add("after_ms", std::chrono::duration_cast<milliseconds>(now - since).count());
        else
            line.add("after_ms", "unknown");
    }
}

void gateway::onTargetsChanged()
{
    m_placement.updateTargets();
    m_coordination.onTargetsChanged();
}

void gateway::onOwnershipRestarted()
{
    m_coordination.onStreamRestarted();
}

void gateway::onOwnership(const std::vector<ownership_record> &records, store_position end,
                          instant requestedAt)
{
    m_coordination.onOwnership(records, end, requestedAt);
    m_placement.updateTargets();
}

void gateway::stop(std::function<void()> done)
{
    if (m_stopStart != instant{})
        return;
    m_stopStart = boot_clock::now();
    m_exchangeEnvironment.isStopping = true;
    log_line(log_level::Info, "stopping").add("connections", m_callerListener.connectionCount());
    m_coordination.leave();
    m_stopTimer.expires_after(BALANCER_REMOVAL_TIME);
    m_stopTimer.async_wait([this, done = std::move(done)](boost::system::error_code error) {
        if (error)
            return;
        m_callerListener.stopAccepting();
        m_callerListener.finishAll();
        m_exchangeEnvironment.latestDeadline = stopEnd();
        finishWhenIdle(done);
    });
}

void gateway::finishWhenIdle(std::function<void()> done)
{
    const bool isGraceOver = boot_clock::now() > stopEnd();
    // Another instance has to take over the coordination first, which is impossible while the store
    // is unreachable. If this one exited before that, nobody would renew the grants of its keys.
    const bool awaitsSuccessor = m_coordination.isCoordinating() && m_placement.knowsPeers();
    if (isGraceOver || !(m_callerListener.isBusy() || awaitsSuccessor)) {
        finish(done);
        return;
    }
    m_stopTimer.expires_after(STOP_POLL_INTERVAL);
    m_stopTimer.async_wait([this, done = std::move(done)](boost::system::error_code error) {
        if (!error)
            finishWhenIdle(done);
    });
}

void gateway::finish(const std::function<void()> &done)
{
    const auto exchanges = m_exchangeEnvironment.exchanges;
    for (auto *exchange : exchanges)
        exchange->giveUp("stopping");
    log_line(log_level::Info, "stopped")
            .add("connections", m_callerListener.connectionCount())
            .add("coordinating", m_coordination.isCoordinating() ? 1 : 0)
            .add("given_up", exchanges.size());
    flushBoundedLog();
    m_stopTimer.expires_after(exchanges.empty() ? milliseconds(0) : LAST_ANSWER_TIME);
    m_stopTimer.async_wait([done](boost::system::error_code error) {
        if (!error)
            done();
    });
}

} // namespace clementinebeam
