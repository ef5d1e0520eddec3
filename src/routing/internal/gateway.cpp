#include "internal/gateway.h"

#include "clementinebeam/observability/logline.h"

#include <thread>

namespace clementinebeam {

namespace {

constexpr std::chrono::milliseconds DRAIN_POLL{5};
constexpr std::size_t CONNECTIONS_PER_HANDLER = 4;
constexpr std::chrono::milliseconds HEAD_TIMEOUT{3000};

server_settings callerServerSettings(const daemon_settings &settings)
{
    server_settings server;
    server.address = settings.callerListener;
    // A connection needs a thread even if it sends nothing.
    server.threads = settings.callerThreads * CONNECTIONS_PER_HANDLER;
    server.handlers = settings.callerThreads;
    server.maxTotalBodyBytes = settings.callerThreads * server.maxBodyBytes;
    server.requestTimeout = HEAD_TIMEOUT;
    server.certificateFile = settings.certificateFile;
    return server;
}

http_response toResponse(const routed_answer &answer)
{
    http_response response;
    response.headers.add("X-Outcome", std::string(outcomeName(answer.result)));
    if (answer.reason == error_kind::None) {
        response.status = answer.status;
        response.body = answer.body;
        response.headers.add("Content-Type",
                             answer.contentType.empty() ? "application/octet-stream"
                                                        : answer.contentType);
        if (answer.isRecorded)
            response.headers.add("X-Recorded", "true");
        response.headers.add("X-Owner", answer.owner);
        response.headers.add("X-Epoch", std::to_string(answer.epoch));
        return response;
    }
    const auto &description = answerFor(answer.reason);
    response.status = description.httpStatus;
    response.headers.add("X-Reason", std::string(description.reason));
    response.headers.add("Content-Type", "text/plain");
    response.body = std::string(description.text) + '\n';
    return response;
}

class in_flight_guard
{
public:
    explicit in_flight_guard(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~in_flight_guard() { --m_count; }
    in_flight_guard(const in_flight_guard &) = delete;
    in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
    std::atomic<int> &m_count;
};

} // namespace

gateway::gateway(const daemon_settings &settings, request_router &router,
                 std::shared_ptr<i_control_plane> plane, std::shared_ptr<i_metrics> metrics)
    : m_settings(settings)
    , m_router(router)
    , m_plane(std::move(plane))
    , m_metrics(std::move(metrics))
    , m_server(callerServerSettings(settings),
               [this](const http_request &request) { return handle(request); })
{ }

void gateway::drain()
{
    m_draining = true;
    const auto limit = boot_clock::now() + m_settings.stopLimit;
    while (m_inFlight > 0 && boot_clock::now() < limit)
        std::this_thread::sleep_for(DRAIN_POLL);
    log_line(log_level::Info, "gateway_drained").add("in_flight", m_inFlight.load());
}

http_response gateway::handle(const http_request &request)
{
    if (request.path == "/health")
        return health();
    const in_flight_guard guard(m_inFlight);
    auto response = handleRequest(request);
    if (m_draining)
        response.headers.add("Connection", "close");
    return response;
}

http_response gateway::health() const
{
    http_response response;
    const bool usable = m_plane->isReady() && !m_draining;
    response.status = usable ? 200 : 503;
    response.headers.add("Content-Type", "text/plain");
    response.body = m_draining ? "draining\n" : usable ? "ready\n" : "not ready\n";
    return response;
}

http_response gateway::handleRequest(const http_request &request)
{
    const auto now = boot_clock::now();
    if (m_draining) {
        routed_answer answer;
        answer.reason = error_kind::ShuttingDown;
        const bool isFirst = request.headers.find("X-Request-Attempt") == "1"
                || request.headers.find("X-Request-Id").empty();
        answer.result = isFirst ? outcome::NotRun : outcome::Unknown;
        return toResponse(answer);
    }
    const auto parsed = parseCallerRequest(request, m_settings, now);
    if (!parsed) {
        routed_answer answer;
        answer.reason = kindOf(parsed.error());
        answer.result = outcome::NotRun;
        return toResponse(answer);
    }
    const auto answer = m_router.route(parsed.value());
    const auto duration = boot_clock::now() - now;
    const bool isKnown =
            answer.reason != error_kind::UnknownService && answer.reason != error_kind::UnknownKind;
    // Unknown names from callers must not become metric labels: their number is unbounded.
    m_metrics->countRequest(isKnown ? parsed.value().service : "unknown",
                            isKnown ? parsed.value().kind : "unknown", answer.reason, duration);
    return toResponse(answer);
}

} // namespace clementinebeam
