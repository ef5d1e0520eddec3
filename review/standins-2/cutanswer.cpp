// Case: a gateway that gets SIGTERM cuts off an answer while its caller, which reads slowly, sends
// the next request on the same connection.
#include "kit.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr int CLIENTS = 24;
constexpr int WORKERS = 16;
constexpr std::size_t BODY_BYTES = 540000;
constexpr milliseconds WORK{230};
/// Each client sends its second request so long after the first.
constexpr milliseconds SECOND_AFTER{300};
/// A client reads so much at a time, at this interval: about 2 MB/s.
constexpr std::size_t PIECE = 65536;
constexpr milliseconds PIECE_INTERVAL{30};
constexpr int RECEIVE_BUFFER = 65536;
constexpr milliseconds DEADLINE{10000};
/// "grace" of the pages.
constexpr long GRACE_MS = 6000;

struct sent_request {
    std::string id;
    steady::time_point at;
};

class run_log
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }
    bool contains(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

struct shared_state {
    recorder &record;
    run_log &runs;
    std::atomic<bool> isOver{false};
    std::atomic<std::uint16_t> port{0};        ///< Of the gateway that new connections go to.
    std::atomic<std::uint16_t> stoppedPort{0}; ///< Of the gateway that is stopped.
    std::atomic<long> stopAt{-1};              ///< When the stop begins; -1 before it.
    std::atomic<int> complete{0};
    std::atomic<int> cut{0};
};

void work(shared_state &state, const std::shared_ptr<stream> &connection)
{
    while (const auto call = connection->receive(std::chrono::minutes(1))) {
        const auto id = call->field("x-clementinebeam-request-id");
        state.runs.add(id);
        state.record.line("run " + id);
        std::this_thread::sleep_for(WORK);
        const auto answer =
                makeAnswer(200,
                           "X-Clementinebeam-Request-Id: " + id
                                   + "\r\nX-Clementinebeam-Response-Signature: s-" + id + "\r\n",
                           std::string(BODY_BYTES, 'b'));
        if (!connection->send(answer))
            return;
    }
}

/// Reads the answers of one connection slowly.
/// @return the number of requests that were answered in full.
std::size_t readAnswers(shared_state &state, stream &connection,
                        const std::vector<sent_request> &sent, std::string &buffer, bool &isEnded,
                        std::string &how)
{
    std::size_t answered = 0;
    while (answered < sent.size()) {
        const auto headEnd = buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            const auto lengthAt = buffer.find("Content-Length: ");
            const std::size_t length = std::strtoul(buffer.c_str() + lengthAt + 16, nullptr, 10);
            if (buffer.size() >= headEnd + 4 + length) {
                state.record.line("answered " + sent[answered].id + ' ' + buffer.substr(9, 3));
                buffer.erase(0, headEnd + 4 + length);
                ++answered;
                ++state.complete;
                continue;
            }
        }
        std::this_thread::sleep_for(PIECE_INTERVAL);
        const auto bytes = connection.readSome(PIECE, DEADLINE);
        if (bytes.empty()) {
            isEnded = true;
            how = connection.lastError() == 0 ? "closed" : "reset";
            return answered;
        }
        buffer += bytes;
    }
    return answered;
}

/// @return whether a connection to a port that ends now ends around the planned work.
bool isAroundStop(const shared_state &state, std::uint16_t port)
{
    const auto now = state.record.elapsed();
    return port == state.stoppedPort && state.stopAt >= 0 && now >= state.stopAt
            && now <= state.stopAt + GRACE_MS + 1000;
}

void callRepeatedly(shared_state &state, int client)
{
    int number = 0;
    while (!state.isOver) {
        const std::uint16_t port = state.port;
        const auto connection = connectTo(port, RECEIVE_BUFFER);
        if (!connection) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        std::string buffer;
        bool isEnded = false;
        while (!state.isOver && !isEnded) {
            std::vector<sent_request> sent;
            for (int next = 0; next < 2; ++next) {
                const auto id = "c" + std::to_string(client) + '-' + std::to_string(++number);
                state.record.line("sent " + id);
                sent.push_back({id, steady::now()});
                const auto head = "GET /bundle/" + std::to_string(number)
                        + " HTTP/1.1\r\nHost: a.example\r\nX-Clementinebeam-Request-Id: " + id
                        + "\r\nX-Clementinebeam-Deadline-Ms: " + std::to_string(DEADLINE.count())
                        + "\r\n\r\n";
                if (!connection->send(head))
                    break;
                if (next == 0)
                    std::this_thread::sleep_for(SECOND_AFTER);
            }
            std::string how;
            const auto answered = readAnswers(state, *connection, sent, buffer, isEnded, how);
            for (std::size_t index = answered; index < sent.size(); ++index) {
                const bool hasRun = state.runs.contains(sent[index].id);
                const bool isInTime = steady::now() < sent[index].at + DEADLINE;
                const auto received = index == answered ? buffer.size() : 0;
                state.record.line("ended " + sent[index].id + ' ' + how + " after "
                                  + std::to_string(received)
                                  + " bytes, run: " + (hasRun ? "yes" : "no"));
                // A request that was not passed on to a worker does not count.
                if (hasRun && isInTime && isAroundStop(state, port))
                    ++state.cut;
            }
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        std::_Exit(2);
    const std::string program = argv[1];
    const std::string folder = argv[2];
    recorder record(argv[3]);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";

    const auto storePort = freePort();
    store platform(storePort);
    if (!platform.start())
        std::_Exit(2);
    run_log runs;
    shared_state state{record, runs};
    std::vector<std::unique_ptr<server>> workers;
    platform.put(
            "keyed.op", "config",
            "{\"resource-version\":1,\"routes\":{\"columns\":[\"name\",\"hostname\","
            "\"path-prefix\",\"type\",\"timeout\",\"target-latency\",\"priority\","
            "\"max-attempts\",\"backend\"],\"rows\":[[\"bundle\",\"a.example\",\"/bundle/\","
            "\"download\",\"10s\",\"3s\",1,2,\"bundles\"]]},\"services\":{\"columns\":[\"name\","
            "\"health-path\",\"max-connections\"],\"rows\":[[\"bundles\",\"/healthz\",570]]},"
            "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
            "\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}}");
    for (int number = 0; number < WORKERS; ++number) {
        const auto port = freePort();
        workers.push_back(std::make_unique<server>(
                port, [&state](const auto &connection) { work(state, connection); }));
        if (!workers.back()->start())
            std::_Exit(2);
        platform.put("keyed.servers", "w" + std::to_string(number),
                     jsonEntry(port, "bundles", "ready", 1));
    }
    gateway first(program, folder, "g1", storePort);
    gateway second(program, folder, "g2", storePort);
    first.start();
    second.start();
    if (!waitUntil([&] { return first.isReady() && second.isReady(); }, milliseconds(8000)))
        std::_Exit(2);
    std::this_thread::sleep_for(milliseconds(2000));

    state.port = first.port();
    std::vector<std::thread> clients;
    for (int client = 0; client < CLIENTS; ++client) {
        clients.emplace_back([&state, client] { callRepeatedly(state, client); });
        std::this_thread::sleep_for(milliseconds(37));
    }
    std::this_thread::sleep_for(milliseconds(4000));
    record.line("stop begins: complete " + std::to_string(state.complete) + ", cut "
                + std::to_string(state.cut));
    // The balancer sends new connections elsewhere from two seconds after the stop on.
    // Without the stop, the same time and machine are judged.
    state.stoppedPort = first.port();
    state.stopAt = record.elapsed();
    if (hasTrouble) {
        first.signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(2000));
        state.port = second.port();
        record.line(first.waitForEnd(milliseconds(4000)) ? "g1 ended" : "g1 was killed");
    } else {
        std::this_thread::sleep_for(milliseconds(6000));
    }
    std::this_thread::sleep_for(milliseconds(1500));
    state.isOver = true;
    for (auto &client : clients)
        client.join();
    record.line("complete " + std::to_string(state.complete) + ", cut "
                + std::to_string(state.cut));
    std::cout << "complete " << state.complete << ", cut " << state.cut << std::endl;
    const int result = state.complete == 0 ? 2 : state.cut > 0 ? 1 : 0;
    platform.stop();
    // Threads of connections may still run.
    std::_Exit(result);
}
