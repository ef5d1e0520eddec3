#include "callers.h"

#include "clementinebeam/http/httpconnection.h"
#include "clementinebeam/kernel/randomsource.h"

namespace clementinebeam::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds DEADLINE{1500};
constexpr milliseconds PATIENCE{3000};
constexpr std::size_t KEYS = 200;
constexpr int MAX_COPIES = 3;
constexpr milliseconds PAUSE{2};

std::int64_t nowUs()
{
    return boot_clock::now().time_since_epoch().count();
}

} // namespace

callers::callers(const cluster &system, std::vector<std::size_t> instances, std::size_t threads)
    : m_system(system)
    , m_instances(std::move(instances))
{
    for (std::size_t thread = 0; thread < threads; ++thread)
        m_threads.emplace_back([this, thread] { run(thread); });
}

callers::~callers()
{
    m_stopping = true;
    for (auto &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void callers::stop(history::history &events)
{
    m_stopping = true;
    for (auto &thread : m_threads)
        thread.join();
    events.calls.insert(events.calls.end(), m_calls.begin(), m_calls.end());
}

bool callers::waitAnswered(std::size_t count, milliseconds limit)
{
    const auto wanted = m_answered + count;
    const auto end = boot_clock::now() + limit;
    while (m_answered < wanted && boot_clock::now() < end)
        std::this_thread::sleep_for(milliseconds(5));
    return m_answered >= wanted;
}

void callers::run(std::size_t thread)
{
    random_source random(thread + 1);
    std::uint64_t number = 0;
    while (!m_stopping) {
        std::this_thread::sleep_for(PAUSE);
        history::call request;
        request.key = "key" + std::to_string(random() % KEYS);
        request.body = std::to_string(thread) + '.' + std::to_string(++number);
        const bool isOrder = random() % 2 == 0;
        if (isOrder)
            request.requestId =
                    std::to_string(wallNow().time_since_epoch().count()) + '-' + request.body;
        std::vector<history::call> copies;
        do {
            const auto instance = m_instances[random() % m_instances.size()];
            copies.push_back(send(instance, request, copies.empty()));
        } while (isOrder && copies.back().outcome != "answered" && copies.size() < MAX_COPIES);
        const std::lock_guard lock(m_mutex);
        for (auto &copy : copies) {
            copy.isOnlyCopy = copies.size() == 1;
            m_answered += copy.outcome == "answered" ? 1 : 0;
            m_calls.push_back(std::move(copy));
        }
    }
}

history::call callers::send(std::size_t instance, const history::call &request, bool isFirst)
{
    auto result = request;
    result.invoked = nowUs();
    result.outcome = "none";
    http_request message;
    message.method = "POST";
    message.path = std::string("/v1/services/") + cluster::SERVICE
            + (request.requestId.empty() ? "/status/" : "/order/") + request.key;
    message.body = request.body;
    message.headers.add("X-Deadline-Ms", std::to_string(DEADLINE.count()));
    if (!request.requestId.empty())
        message.headers.add("X-Request-Id", request.requestId);
    if (!request.requestId.empty() && isFirst)
        message.headers.add("X-Request-Attempt", "1");
    http_connection connection;
    if (!connection.open(m_system.callerAddress(instance))) {
        const auto response = connection.exchange(message, boot_clock::now() + PATIENCE);
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
