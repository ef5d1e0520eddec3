#include "callerload.h"

#include "clementinebeam/http/httpconnection.h"
#include "clementinebeam/kernel/randomsource.h"

namespace clementinebeam::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds REQUEST_DEADLINE{1500};
constexpr milliseconds RESPONSE_TIMEOUT{3000};
constexpr std::size_t KEY_COUNT = 200;
constexpr int MAX_ATTEMPTS = 3;
constexpr milliseconds REQUEST_INTERVAL{2};

std::int64_t nowUs()
{
    return boot_clock::now().time_since_epoch().count();
}

} // namespace

caller_load::caller_load(const cluster &system, std::vector<std::size_t> instances,
                         std::size_t threads)
    : m_system(system)
    , m_instances(std::move(instances))
{
    for (std::size_t thread = 0; thread < threads; ++thread)
        m_threads.emplace_back([this, thread] { run(thread); });
}

caller_load::~caller_load()
{
    m_stopping = true;
    for (auto &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void caller_load::stop(history::history &events)
{
    m_stopping = true;
    for (auto &thread : m_threads)
        thread.join();
    events.calls.insert(events.calls.end(), m_calls.begin(), m_calls.end());
}

bool caller_load::waitAnswered(std::size_t count, milliseconds limit)
{
    const auto threshold = m_answered + count;
    const auto end = boot_clock::now() + limit;
    while (m_answered < threshold && boot_clock::now() < end)
        std::this_thread::sleep_for(milliseconds(5));
    return m_answered >= threshold;
}

void caller_load::run(std::size_t thread)
{
    random_source random(thread + 1);
    std::uint64_t number = 0;
    while (!m_stopping) {
        std::this_thread::sleep_for(REQUEST_INTERVAL);
        history::call request;
        request.key = "key" + std::to_string(random() % KEY_COUNT);
        request.body = std::to_string(thread) + '.' + std::to_string(++number);
        const bool isOrder = random() % 2 == 0;
        if (isOrder)
            request.requestId =
                    std::to_string(wallNow().time_since_epoch().count()) + '-' + request.body;
        std::vector<history::call> attempts;
        do {
            const auto instance = m_instances[random() % m_instances.size()];
            attempts.push_back(send(instance, request, attempts.empty()));
        } while (isOrder && attempts.back().outcome != "answered"
                 && attempts.size() < MAX_ATTEMPTS);
        const std::lock_guard lock(m_mutex);
        for (auto &attempt : attempts) {
            attempt.isOnlyCopy = attempts.size() == 1;
            m_answered += attempt.outcome == "answered" ? 1 : 0;
            m_calls.push_back(std::move(attempt));
        }
    }
}

history::call caller_load::send(std::size_t instance, const history::call &request, bool isFirst)
{
    auto result = request;
    result.invoked = nowUs();
    result.outcome = "none";
    http_request message;
    message.method = "POST";
    message.path = std::string("/v1/services/") + cluster::SERVICE
            + (request.requestId.empty() ? "/status/" : "/order/") + request.key;
    message.body = request.body;
    message.headers.add("X-Deadline-Ms", std::to_string(REQUEST_DEADLINE.count()));
    if (!request.requestId.empty())
        message.headers.add("X-Request-Id", request.requestId);
    if (!request.requestId.empty() && isFirst)
        message.headers.add("X-Request-Attempt", "1");
    http_connection connection;
    if (!connection.open(m_system.callerAddress(instance))) {
        const auto response = connection.exchange(message, boot_clock::now() + RESPONSE_TIMEOUT);
        if (response) {
            result.outcome = response.value().headers.find("X-Outcome");
            const auto document = nlohmann::json::parse(response.value().body, nullptr, false);
            if (document.is_object()) {
                result.answerKey = document.value("key", "");
                result.answerBody = document.value("echo", "");
            }
        }
    }
    result.answered = nowUs();
    return result;
}

} // namespace clementinebeam::test
