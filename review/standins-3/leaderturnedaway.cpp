#include "cases.h"

#include <deque>

namespace review {

namespace {

const std::string SERVICE = "ordini";
constexpr milliseconds DEADLINE{1000};
constexpr double LIMIT = 10.0;
constexpr long STABLE_WINDOW_MS = 3000;
constexpr long WINDOW_MS = 4000;
constexpr long HEARD_MS = 500;
constexpr double FACTOR = 1.5;
constexpr double EXTRA = 5.0;
constexpr unsigned CLIENTS_PER_MACHINE = 8;

} // namespace

/// Workers name a limit. The store turns away the machine that coordinates their service, and
/// serves the others.
int leaderTurnedAway(deployment &system, bool hasTrouble)
{
    auto &shared = system.shared;
    shared.put("keyed.op", "config",
               configuration(3, {{"r-read", "/read/", "safe", SERVICE}}, {{SERVICE, false}}));
    std::mutex mutex;
    std::map<std::string, std::deque<long>> arrivals;
    std::map<std::string, std::size_t> most;
    std::atomic<bool> isLimited{false};
    /// By worker: when it first named its limit.
    std::map<std::string, long> named;
    /// By worker and path, which stands for a machine: when the machine first passed on an answer
    /// that named the limit.
    std::map<std::pair<std::string, std::string>, long> passedOn;
    int broken = 0;
    for (int number = 0; number < 3; ++number) {
        auto &item = system.addWorker(SERVICE, false, number % 2 == 0 ? "palermo" : "catania",
                                      milliseconds(20));
        item.onArrival = [&](worker &by, const request &call) -> reply {
            const std::lock_guard lock(mutex);
            const auto now = nowMs();
            const auto since = named.find(by.id());
            if (since == named.end() || now < since->second + STABLE_WINDOW_MS)
                return std::nullopt;
            // Only machines count that had passed on such an answer half a second before.
            const auto heard = passedOn.find({by.id(), std::string(call.target())});
            if (heard == passedOn.end() || now < heard->second + HEARD_MS)
                return std::nullopt;
            auto &window = arrivals[by.id()];
            window.push_back(now);
            while (window.front() < now - WINDOW_MS)
                window.pop_front();
            most[by.id()] = std::max(most[by.id()], window.size());
            if (static_cast<double>(window.size()) > FACTOR * LIMIT * WINDOW_MS / 1000.0 + EXTRA) {
                record.line("BROKEN LIMIT: %s got %zu requests in 4 s", by.id().c_str(),
                            window.size());
                ++broken;
            }
            return std::nullopt;
        };
        item.onAnswer = [&](worker &by, response &answer) {
            if (!isLimited)
                return;
            answer.set("Server-Limit", "10.0");
            const std::lock_guard lock(mutex);
            named.emplace(by.id(), nowMs());
        };
        item.start();
        item.beat();
    }
    system.workers.begin();
    for (unsigned number = 0; number < deployment::MACHINES; ++number)
        system.addMachine(number % 2 == 0 ? "palermo" : "catania").start();
    for (auto &item : system.machines)
        if (!item->awaitReady(milliseconds(8000)))
            return NOT_RUN;
    std::atomic<bool> isStopped{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (unsigned number = 0; number < deployment::MACHINES * CLIENTS_PER_MACHINE; ++number)
        clients.emplace_back([&, number] {
            const auto index = number % system.machines.size();
            auto &machine = *system.machines[index];
            const auto path = "/read/" + std::to_string(index);
            const std::string signature = "sig.";
            while (!isStopped) {
                const auto got = ask(machine.host(), gateway::FRONT,
                                     makeCall(http::verb::get, "shop.example", path, DEADLINE),
                                     DEADLINE, path);
                const std::string by(got.answer["X-Clementinebeam-Response-Signature"]);
                if (by.starts_with(signature) && !got.answer["Server-Limit"].empty()) {
                    const std::lock_guard lock(mutex);
                    passedOn.emplace(std::pair(by.substr(signature.size()), path), nowMs());
                }
                served += got.status == 200 ? 1 : 0;
                pauseFor(milliseconds(got.status == 200 ? 50 : 200));
            }
        });
    pauseFor(milliseconds(4000));
    isLimited = true;
    record.line("the workers name Server-Limit: 10.0");
    pauseFor(milliseconds(6000));
    const auto claim = shared.ownValue(SERVICE);
    std::size_t leader = system.machines.size();
    for (std::size_t index = 0; index < system.machines.size(); ++index)
        if (claim.find(system.machines[index]->host() + ":7200") != std::string::npos)
            leader = index;
    if (leader == system.machines.size())
        return NOT_RUN;
    record.line("machine %s coordinates %s", system.machines[leader]->name().c_str(),
                SERVICE.c_str());
    if (hasTrouble) {
        record.line("the store turns %s away", system.machines[leader]->name().c_str());
        shared.turnAway(leader, true);
    }
    pauseFor(milliseconds(9000));
    shared.turnAway(leader, false);
    if (hasTrouble)
        record.line("the store serves all machines");
    pauseFor(milliseconds(4000));
    isStopped = true;
    for (auto &item : clients)
        item.join();
    const auto after = shared.ownValue(SERVICE);
    for (auto &item : system.machines)
        if (after.find(item->host() + ":7200") != std::string::npos)
            record.line("machine %s coordinates %s", item->name().c_str(), SERVICE.c_str());
    for (const auto &[id, count] : most)
        record.line("%s got at most %zu requests in 4 s", id.c_str(), count);
    record.line("served %d", served.load());
    if (served == 0 || most.empty())
        return NOT_RUN;
    return broken > 0 ? BROKEN : HELD;
}

} // namespace review
