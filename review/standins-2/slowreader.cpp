// Case: a caller that reads its answer slowly loses the rest of it while its deadline is far away.
#include "kit.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr int CLIENTS = 8;
constexpr int WORKERS = 8;
/// The largest answers of the deployment have this size.
constexpr std::size_t BODY_BYTES = 540000;
constexpr milliseconds WORK{230};
constexpr milliseconds DEADLINE{10000};
/// How long a slow caller reads nothing in the middle of an answer.
constexpr milliseconds PAUSE{5000};
/// "config-apply" of the pages.
constexpr long CONFIG_APPLY_MS = 2000;
constexpr int RECEIVE_BUFFER = 65536;

struct shared_state {
    recorder &record;
    std::mutex mutex;
    std::set<std::string> runs;
    std::atomic<int> complete{0};
    std::atomic<int> cut{0}; ///< Ended without a complete answer.
    std::atomic<int> cutAfterHup{
            0}; ///< Part of these, sent up to "config-apply" after the SIGHUP.      ///< Passed on
                ///< to a worker, and ended without a complete answer.
    std::atomic<int> cutByHup{0}; ///< Part of these, sent up to "config-apply" after a SIGHUP.
    std::atomic<int> others{0};
    std::atomic<long> hupAt{0}; ///< Time of the SIGHUP; 0 before it.
};

std::string nameOfEnd(int error)
{
    if (error == 0)
        return "closed";
    return error == ETIMEDOUT ? "timeout" : "reset";
}

void work(shared_state &state, const std::shared_ptr<stream> &connection)
{
    while (const auto call = connection->receive(std::chrono::minutes(1))) {
        const auto id = call->field("x-clementinebeam-request-id");
        {
            const std::lock_guard lock(state.mutex);
            state.runs.insert(id);
        }
        state.record.line("run " + id);
        std::this_thread::sleep_for(WORK);
        const bool isSent = connection->send(
                makeAnswer(200,
                           "X-Clementinebeam-Request-Id: " + id
                                   + "\r\nX-Clementinebeam-Response-Signature: s-" + id + "\r\n",
                           std::string(BODY_BYTES, 'b')));
        state.record.line("sent answer " + id + (isSent ? "" : " in part"));
        if (!isSent)
            return;
    }
}

/// @param isHupped whether the gateway at the port gets the SIGHUP.
void callRepeatedly(shared_state &state, std::uint16_t port, int client, bool isHupped, bool isSlow)
{
    auto connection = connectTo(port, RECEIVE_BUFFER);
    for (int number = 0; number < 4; ++number) {
        if (!connection)
            connection = connectTo(port, RECEIVE_BUFFER);
        const auto id = "c" + std::to_string(client) + '-' + std::to_string(number);
        const auto begin = steady::now();
        const auto sentAt = state.record.elapsed();
        state.record.line("sent " + id);
        connection->send("GET /bundle/" + id
                         + " HTTP/1.1\r\nHost: a.example\r\nX-Clementinebeam-Request-Id: " + id
                         + "\r\nX-Clementinebeam-Deadline-Ms: " + std::to_string(DEADLINE.count())
                         + "\r\n\r\n");
        std::string received;
        std::size_t total = 0;
        bool hasPaused = false;
        std::string how;
        while (total == 0 || received.size() < total) {
            const auto bytes = connection->readSome(16384, DEADLINE);
            if (bytes.empty()) {
                how = nameOfEnd(connection->lastError());
                break;
            }
            received += bytes;
            const auto headEnd = received.find("\r\n\r\n");
            const auto lengthAt = received.find("Content-Length: ");
            if (total == 0 && headEnd != std::string::npos && lengthAt < headEnd)
                total = headEnd + 4 + std::strtoul(received.c_str() + lengthAt + 16, nullptr, 10);
            // Each second request is read slowly, on a connection that was kept after the first
            // one.
            if (isSlow && number % 2 == 1 && !hasPaused) {
                hasPaused = true;
                std::this_thread::sleep_for(PAUSE);
            }
        }
        const auto time = std::chrono::duration_cast<milliseconds>(steady::now() - begin);
        const bool isWhole = total > 0 && received.size() == total;
        state.record.line((isWhole ? "answered " : "ended ") + id + ' ' + how + " with "
                          + std::to_string(received.size()) + " of " + std::to_string(total)
                          + " bytes after " + std::to_string(time.count()) + " ms");
        if (isWhole && received.substr(9, 3) == "200") {
            ++state.complete;
            continue;
        }
        const std::lock_guard lock(state.mutex);
        // Only what was passed on to a worker and ended before its deadline counts.
        const bool isCut = state.runs.contains(id) && time < DEADLINE && !isWhole;
        const bool isAfterHup = isHupped && state.hupAt > 0 && sentAt >= state.hupAt
                && sentAt <= state.hupAt + CONFIG_APPLY_MS;
        ++(isCut ? state.cut : state.others);
        state.cutAfterHup += isCut && isAfterHup ? 1 : 0;
        connection.reset();
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        std::_Exit(2);
    recorder record(argv[3]);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    const auto storePort = freePort();
    store platform(storePort);
    if (!platform.start())
        std::_Exit(2);
    shared_state state{record, {}, {}, {}, {}, {}, {}, {}};
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
    gateway first(argv[1], argv[2], "g1", storePort);
    gateway second(argv[1], argv[2], "g2", storePort);
    first.start();
    second.start();
    if (!waitUntil([&] { return first.isReady() && second.isReady(); }, milliseconds(8000)))
        std::_Exit(2);
    std::this_thread::sleep_for(milliseconds(3500));
    std::vector<std::thread> clients;
    for (int client = 0; client < CLIENTS; ++client)
        clients.emplace_back([&, client] {
            const bool isHupped = client % 2 == 0;
            callRepeatedly(state, isHupped ? first.port() : second.port(), client, isHupped,
                           hasTrouble);
        });
    // While the first requests run. The slow ones follow them.
    std::this_thread::sleep_for(WORK / 2);
    first.signal(SIGHUP);
    state.hupAt = record.elapsed();
    record.line("SIGHUP to g1");
    for (auto &client : clients)
        client.join();
    const auto summary = "complete " + std::to_string(state.complete) + ", cut "
            + std::to_string(state.cut) + " (sent after the SIGHUP "
            + std::to_string(state.cutAfterHup) + "), others " + std::to_string(state.others);
    record.line(summary);
    std::cout << summary << std::endl;
    const int result = state.complete == 0 ? 2 : state.cutAfterHup > 0 ? 1 : 0;
    platform.stop();
    for (auto *process : {&first, &second}) {
        process->signal(SIGKILL);
        process->waitForEnd(milliseconds(2000));
    }
    std::_Exit(result);
}
