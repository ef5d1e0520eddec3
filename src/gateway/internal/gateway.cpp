#include "internal/gateway.h"

#include "clementinebeam/kernel/randomsource.h"
#include "clementinebeam/observability/boundedlog.h"
#include "clementinebeam/observability/logline.h"

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

constexpr unsigned HTTP_OK = 200;
constexpr unsigned HTTP_NOT_FOUND = 404;
constexpr unsigned HTTP_UNAVAILABLE = 503;
/// Time between two rounds of upkeep: log, idle connections, readiness.
constexpr milliseconds UPKEEP_INTERVAL{500};
constexpr milliseconds REPORT_INTERVAL{5000};
/// Calls to the store are summed up in one log line an instance.
constexpr milliseconds STORE_REPORT_INTERVAL{10000};
/// The balancer asks once a second and takes an instance out after two misses.
constexpr milliseconds BALANCER_NOTICE_TIME{2600};
constexpr milliseconds STOP_POLL{100};
/// Left of the grace time for the process to end.
constexpr milliseconds STOP_RESERVE{400};
constexpr milliseconds NOT_READY_RETRY{300};
/// Part of the process's memory that answers of targets may take while they come in.
constexpr std::size_t ANSWER_MEMORY_PARTS = 4;

} // namespace

page_server::page_server(std::string path, page_maker maker)
    : m_path(std::move(path))
    , m_maker(std::move(maker))
{ }

void page_server::handle(http_call &&call, const std::shared_ptr<server_connection> &connection)
{
    const bool isKnown = call.target() == m_path;
    connection->respond(isKnown ? m_maker() : makeOwnAnswer(HTTP_NOT_FOUND));
}

gateway::gateway(boost::asio::io_context &context, const gateway_settings &settings,
                 i_cluster_store &store, const i_message_format &format)
    : m_settings(settings)
    , m_format(format)
    , m_targets(settings.bounds.drain)
    , m_pool(context, settings.memory / ANSWER_MEMORY_PARTS)
    , m_channel(context)
    , m_placement(context, m_channel, m_targets)
    , m_coordination(
              {context, store, format, m_targets, m_metrics, m_settings.bounds,
               settings.peerListener.text(), makeSystemSeededSource()(), settings.processorShare,
               [this](const service_name &service, const dispatch_decision &decision) {
                   m_placement.onDecision(service, decision);
               },
               [this](const service_name &service) { m_placement.onCoordinatorChanged(service); },
               [this] { m_feeds.prove(); }, [this] { m_feeds.followTargets(); },
               [this] { return m_feeds.age(store_stream::Targets, boot_clock::now()); },
               [this](const service_name &service) { m_placement.queryCoordinator(service); }})
    , m_feeds(context, store, format, m_targets, *this, m_metrics)
    , m_lag(context)
    , m_exchangeEnvironment{context,   format, m_placement,        m_pool,
                            m_metrics, m_lag,  settings.dataCentre}
    , m_readiness(format.readinessPath(), [this] { return readinessPage(); })
    , m_metricsPages("/metrics", [this] { return metricsPage(); })
    , m_callers(context, *this)
    , m_readinessListener(context, m_readiness)
    , m_metricsListener(context, m_metricsPages)
    , m_upkeepTimer(context)
    , m_stopTimer(context)
{
    m_placement.setCoordination(&m_coordination);
    m_placement.setStalenessHandler([this](store_stream stream) { onStale(stream); });
    m_placement.setStreamAge(
            [this](store_stream stream) { return m_feeds.age(stream, boot_clock::now()); });
}

std::error_code gateway::start()
{
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
        error = m_callers.listen(endpointOf(m_settings.callerListener));
    if (error)
        return error;
    m_feeds.start();
    m_coordination.start();
    m_lag.start();
    scheduleUpkeep();
    return {};
}

bool gateway::isReady() const
{
    return m_routes && m_feeds.isComplete() && m_stopBegin == instant{};
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

void gateway::scheduleUpkeep()
{
    m_upkeepTimer.expires_after(UPKEEP_INTERVAL);
    m_upkeepTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        upkeep();
        scheduleUpkeep();
    });
}

void gateway::upkeep()
{
    const auto now = boot_clock::now();
    m_pool.closeIdle(now);
    m_coordination.setStoreReachable(m_feeds.isStoreReachable());
    m_coordination.updateCandidacy();
    m_placement.keepInformed();
    if (isReady() != m_wasReady) {
        m_wasReady = isReady();
        log_line(log_level::Info, "readiness_changed")
                .add("ready", m_wasReady ? 1 : 0)
                .add("targets", m_targets.targets().size());
    }
    if (now >= m_nextReport && droppedLogLines() != m_reportedDrops) {
        m_nextReport = now + REPORT_INTERVAL;
        log_line(log_level::Warning, "log_lines_dropped")
                .add("count", droppedLogLines() - m_reportedDrops);
        m_reportedDrops = droppedLogLines();
    }
    if (now >= m_nextStoreReport)
        reportStoreCalls(now);
    flushBoundedLog();
}

void gateway::reportStoreCalls(instant now)
{
    m_nextStoreReport = now + STORE_REPORT_INTERVAL;
    const auto calls = m_metrics.takeStoreCalls();
    if (calls.empty())
        return;
    log_line line(log_level::Info, "store_calls");
    line.add("coordinating", m_coordination.isCoordinating() ? 1 : 0);
    for (const auto &[kind, count] : calls)
        line.add(kind, count);
}

void gateway::answerAtOnce(const std::shared_ptr<server_connection> &connection,
                           const std::string &requestId, unsigned status, const char *reason)
{
    auto answer = makeOwnAnswer(status, std::string(reason) + '\n');
    const auto retryAfter = status == HTTP_UNAVAILABLE ? std::optional(NOT_READY_RETRY)
                                                       : std::optional<milliseconds>();
    m_format.finishOwnAnswer(answer, requestId, retryAfter);
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

void gateway::handle(http_call &&call, const std::shared_ptr<server_connection> &connection)
{
    const auto requestId = m_format.readCaller(call).requestId;
    if (!m_routes) {
        answerAtOnce(connection, requestId, HTTP_UNAVAILABLE, "no_configuration");
        return;
    }
    const auto host = call[boost::beast::http::field::host];
    auto *entry = m_routes->find({host.data(), host.size()},
                                 {call.target().data(), call.target().size()});
    if (!entry) {
        answerAtOnce(connection, requestId, HTTP_NOT_FOUND, "no_route");
        return;
    }
    const auto &service = entry->nextService();
    const auto *rule = m_routes->service(service);
    const auto exchange = std::make_shared<request_exchange>(m_exchangeEnvironment, entry->rule,
                                                             service, rule && rule->isKeyed,
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
            .add("services", configuration.services.size());
    m_metrics.setConfiguration(configuration.version);
    m_routes = std::make_unique<route_table>(std::move(configuration));
    m_placement.setConfigurationVersion(m_routes->configuration().version);
    m_coordination.setServices(m_routes->configuration().services);
}

void gateway::onStale(store_stream stream)
{
    if (stream == store_stream::Targets)
        m_feeds.followTargets();
    else
        m_feeds.refresh(stream);
}

void gateway::onTargetsChanged()
{
    m_placement.updateTargets();
    m_coordination.onTargetsChanged();
}

void gateway::onOwnership(const std::vector<ownership_record> &records, std::uint64_t end,
                          instant askedAt)
{
    m_coordination.onOwnership(records, end, askedAt);
    m_placement.updateTargets();
}

void gateway::stop(std::function<void()> done)
{
    if (m_stopBegin != instant{})
        return;
    m_stopBegin = boot_clock::now();
    m_exchangeEnvironment.isStopping = true;
    log_line(log_level::Info, "stopping").add("connections", m_callers.connectionCount());
    m_coordination.leave();
    m_stopTimer.expires_after(BALANCER_NOTICE_TIME);
    m_stopTimer.async_wait([this, done = std::move(done)](boost::system::error_code error) {
        if (error)
            return;
        m_callers.stopAccepting();
        m_callers.finishAll();
        waitForIdle(done);
    });
}

void gateway::waitForIdle(std::function<void()> done)
{
    const bool isOver = boot_clock::now() > m_stopBegin + m_settings.bounds.grace - STOP_RESERVE;
    // While the store is away, nobody can take over: keys would be left without renewals.
    const bool isNeeded = m_coordination.isCoordinating() && m_placement.knowsPeers();
    if (isOver || !(m_callers.isBusy() || isNeeded)) {
        log_line(log_level::Info, "stopped")
                .add("connections", m_callers.connectionCount())
                .add("coordinating", isNeeded ? 1 : 0)
                .add("waiting", m_placement.waitingCount());
        flushBoundedLog();
        done();
        return;
    }
    m_stopTimer.expires_after(STOP_POLL);
    m_stopTimer.async_wait([this, done = std::move(done)](boost::system::error_code error) {
        if (!error)
            waitForIdle(done);
    });
}

} // namespace clementinebeam
