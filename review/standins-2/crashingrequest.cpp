// Cases: a request that crashes each worker that begins to run it is sent to workers again and
// again, in the mode "roll" after the gateways were stopped and started in turn, in the mode
// "answer" because the workers end after the first bytes of their answer.
#include "kit.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr int GATEWAYS = 3;
constexpr int WORKERS = 6;
/// Other orders that are under way when the crashing request is sent.
constexpr int OTHERS = WORKERS;
constexpr int ROLLS = 3;
/// Repeats of the request between two rolls.
constexpr int REPEATS = 3;
constexpr milliseconds WORK{250};
/// A crashed worker is back after this time.
constexpr milliseconds RESTART{2000};
/// The caller repeats the request at this interval.
constexpr milliseconds REPEAT_INTERVAL{3300};
/// "stable-window" of the pages: how long a machine has to run before its sends count.
constexpr milliseconds STABLE_WINDOW{3000};
/// Retries that the rule allows after the third crash.
constexpr int ALLOWED_RETRIES = 3;
constexpr std::size_t ANSWER_BYTES = 30000;

struct crash_run {
    steady::time_point at;
    bool isCounted = false; ///< Sent by a machine that was in touch.
};

struct shared_state {
    recorder &record;
    bool endsInAnswer = false;
    std::mutex mutex;
    std::vector<crash_run> crashRuns;
    std::map<std::string, bool> isInTouchAtSend; ///< By request id.
    std::atomic<bool> isOver{false};
};

/// A worker that ends when it runs a request for /order/poison, and starts again.
class crashing_worker
{
public:
    crashing_worker(shared_state &state, store &platform, int number)
        : m_state(state)
        , m_platform(platform)
        , m_id("w" + std::to_string(number))
        , m_port(freePort())
        , m_server(m_port, [this](const auto &connection) { work(connection); })
    { }

    bool start()
    {
        if (!m_server.start())
            return false;
        m_platform.put("keyed.servers", m_id, jsonEntry(m_port, "orders", "ready", ++m_born));
        return true;
    }

private:
    void work(const std::shared_ptr<stream> &connection)
    {
        while (const auto call = connection->receive(std::chrono::minutes(1))) {
            const auto id = call->field("x-clementinebeam-request-id");
            const auto answer = makeAnswer(200,
                                           "X-Clementinebeam-Request-Id: " + id
                                                   + "\r\nX-Clementinebeam-Response-Signature: s-"
                                                   + id + "\r\n",
                                           std::string(ANSWER_BYTES, 'b'));
            if (call->target().find("poison") == std::string::npos) {
                m_state.record.line("run " + id + " at " + m_id);
                std::this_thread::sleep_for(WORK);
                connection->send(answer);
                continue;
            }
            noteCrash(id);
            if (m_state.endsInAnswer) {
                connection->send(answer.substr(0, answer.size() / 2));
                std::this_thread::sleep_for(milliseconds(20));
            }
            std::thread([this] {
                m_server.stop();
                std::this_thread::sleep_for(RESTART);
                if (!m_state.isOver)
                    start();
            }).detach();
            std::this_thread::sleep_for(milliseconds(50));
            return;
        }
    }

    void noteCrash(const std::string &id)
    {
        const std::lock_guard lock(m_state.mutex);
        const bool isInTouch = m_state.isInTouchAtSend[id];
        m_state.crashRuns.push_back({steady::now(), isInTouch});
        m_state.record.line("run " + id + " crashes " + m_id
                            + (isInTouch ? ", sent by a machine in touch" : ""));
    }

    shared_state &m_state;
    store &m_platform;
    std::string m_id;
    std::uint16_t m_port;
    long m_born = 0;
    server m_server;
};

class caller
{
public:
    caller(shared_state &state, std::vector<std::unique_ptr<gateway>> &gateways)
        : m_state(state)
        , m_gateways(gateways)
    { }

    /// @param startedAt when the last of the gateways started.
    void setStart(steady::time_point startedAt) { m_startedAt = startedAt; }

    /// Sends a request to the next gateway and waits for its answer.
    int call(const std::string &path)
    {
        const int number = ++m_sent;
        const auto id = "r" + std::to_string(number);
        {
            const std::lock_guard lock(m_state.mutex);
            m_state.isInTouchAtSend[id] = steady::now() - m_startedAt > STABLE_WINDOW;
        }
        const auto &chosen = *m_gateways[static_cast<std::size_t>(number) % m_gateways.size()];
        const auto connection = connectTo(chosen.port());
        int status = 0;
        if (connection) {
            const std::string body = "{\"jars\":12}";
            connection->send("POST " + path
                             + " HTTP/1.1\r\nHost: a.example\r\nX-Clementinebeam-Request-Id: " + id
                             + "\r\nX-Clementinebeam-Deadline-Ms: 1000\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body);
            const auto answer = connection->receive(milliseconds(1500));
            status = answer ? answer->status() : 0;
        }
        m_state.record.line("sent " + id + ' ' + path + " answered " + std::to_string(status));
        return status;
    }

    /// Sends the crashing request while other orders are under way.
    void callAmongOthers()
    {
        std::vector<std::thread> threads;
        for (int other = 0; other < OTHERS; ++other) {
            threads.emplace_back([this, other] {
                const auto status = call("/order/plain-" + std::to_string(other));
                ++(status == 200 ? served : status == 502 ? lost : refused);
            });
        }
        std::this_thread::sleep_for(milliseconds(80));
        call("/order/poison");
        for (auto &thread : threads)
            thread.join();
    }

    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::atomic<int> refused{0};

private:
    shared_state &m_state;
    std::vector<std::unique_ptr<gateway>> &m_gateways;
    steady::time_point m_startedAt{};
    std::atomic<int> m_sent{0};
};

/// @return the retries that the rule counts.
int countRetries(shared_state &state)
{
    const std::lock_guard lock(state.mutex);
    int retries = 0;
    for (std::size_t index = 3; index < state.crashRuns.size(); ++index) {
        const auto &item = state.crashRuns[index];
        const bool isLater = item.at > state.crashRuns[2].at + STABLE_WINDOW;
        retries += item.isCounted && isLater ? 1 : 0;
    }
    return retries;
}

void publishConfiguration(store &platform)
{
    platform.put(
            "keyed.op", "config",
            "{\"resource-version\":1,\"routes\":{\"columns\":[\"name\",\"hostname\","
            "\"path-prefix\",\"type\",\"timeout\",\"target-latency\",\"priority\","
            "\"max-attempts\",\"backend\"],\"rows\":[[\"order\",\"a.example\",\"/order/\","
            "\"unsafe\",\"1s\",\"500ms\",1,2,\"orders\"]]},\"services\":{\"columns\":[\"name\","
            "\"health-path\",\"max-connections\"],\"rows\":[[\"orders\",\"/healthz\",130]]},"
            "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
            "\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}}");
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        std::_Exit(2);
    const bool isRollCase = std::string(argv[1]) == "roll";
    recorder record(argv[4]);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    const auto storePort = freePort();
    store platform(storePort);
    if (!platform.start())
        std::_Exit(2);
    shared_state state{record, !isRollCase && hasTrouble, {}, {}, {}, {}};
    publishConfiguration(platform);
    std::vector<std::unique_ptr<crashing_worker>> workers;
    for (int number = 0; number < WORKERS; ++number) {
        workers.push_back(std::make_unique<crashing_worker>(state, platform, number));
        if (!workers.back()->start())
            std::_Exit(2);
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    for (int number = 0; number < GATEWAYS; ++number) {
        gateways.push_back(std::make_unique<gateway>(argv[2], argv[3], "g" + std::to_string(number),
                                                     storePort));
        gateways.back()->start();
    }
    const auto areReady = [&] {
        for (const auto &item : gateways) {
            if (!item->isReady())
                return false;
        }
        return true;
    };
    if (!waitUntil(areReady, milliseconds(8000)))
        std::_Exit(2);
    caller client(state, gateways);
    client.setStart(steady::now());
    std::this_thread::sleep_for(STABLE_WINDOW + milliseconds(500));
    for (int round = 0; round <= ROLLS; ++round) {
        for (int repeat = 0; repeat < REPEATS; ++repeat) {
            const auto next = steady::now() + REPEAT_INTERVAL;
            client.callAmongOthers();
            std::this_thread::sleep_until(next);
        }
        if (round == ROLLS || !isRollCase || !hasTrouble)
            continue;
        for (const auto &item : gateways) {
            record.line("a gateway is stopped and started again");
            item->signal(SIGTERM);
            if (!item->waitForEnd(milliseconds(7000)))
                std::_Exit(2);
            std::this_thread::sleep_for(milliseconds(300));
            item->start();
            if (!waitUntil([&] { return item->isReady(); }, milliseconds(8000)))
                std::_Exit(2);
        }
        client.setStart(steady::now());
        std::this_thread::sleep_for(STABLE_WINDOW + milliseconds(500));
    }
    state.isOver = true;
    const int retries = countRetries(state);
    const auto summary = "crashed workers " + std::to_string(state.crashRuns.size())
            + ", retries that count " + std::to_string(retries) + ", other orders: served "
            + std::to_string(client.served) + ", lost " + std::to_string(client.lost) + ", refused "
            + std::to_string(client.refused);
    record.line(summary);
    std::cout << summary << std::endl;
    platform.stop();
    for (const auto &item : gateways) {
        item->signal(SIGKILL);
        item->waitForEnd(milliseconds(2000));
    }
    if (state.crashRuns.empty() || client.served == 0)
        std::_Exit(2);
    std::_Exit(retries > ALLOWED_RETRIES ? 1 : 0);
}
