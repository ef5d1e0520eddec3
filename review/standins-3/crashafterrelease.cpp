#include "cases.h"

namespace review {

namespace {

const std::string SERVICE = "ordini";
constexpr milliseconds DEADLINE{1500};
constexpr milliseconds STABLE_WINDOW{3000};
constexpr milliseconds DRAIN{2000};
constexpr milliseconds DOWN_TIME{2500};
constexpr int WORKERS = 6;
/// Workers that one release replaces: a third.
constexpr int RELEASED = 2;
constexpr int REPEATS = 50;
/// The rule allows so many requests later than STABLE_WINDOW after the third crash.
constexpr int MAX_LATE = 3;
const std::string POISON = "/read/report";

/// Counts the crashes and the requests that count for the rule.
struct crash_count {
    std::mutex mutex;
    int arrivals = 0;
    int crashes = 0;
    int late = 0;
    long thirdCrash = 0;
};

void crash(worker &by, crash_count &count)
{
    // The process ends: its port refuses connections, and its open connections end.
    by.crash();
    {
        const std::lock_guard lock(count.mutex);
        record.line("%s crashes", by.id().c_str());
        if (++count.crashes == 3)
            count.thirdCrash = nowMs();
    }
    std::thread([&by] {
        pauseFor(DOWN_TIME);
        by.start();
        by.beat();
        record.line("%s is back", by.id().c_str());
    }).detach();
}

} // namespace

/// The workers of a service are replaced one after the other, in three releases. A request that the
/// former ones have answered crashes each of the new ones that runs it. Its caller sends it again
/// and again.
int crashAfterRelease(deployment &system, bool hasTrouble)
{
    auto &shared = system.shared;
    shared.put("keyed.op", "config",
               configuration(3, {{"r-read", "/read/", "safe", SERVICE}}, {{SERVICE, false}}));
    auto &count = *new crash_count();
    const auto addWorker = [&](int number, bool isHarmed) -> worker & {
        auto &item = system.addWorker(SERVICE, false, number % 2 == 0 ? "palermo" : "catania",
                                      milliseconds(20));
        item.onArrival = [&count](worker &by, const request &call) -> reply {
            if (call.target() != POISON)
                return std::nullopt;
            const std::lock_guard lock(count.mutex);
            ++count.arrivals;
            const bool isLate =
                    count.thirdCrash > 0 && nowMs() > count.thirdCrash + STABLE_WINDOW.count();
            count.late += isLate ? 1 : 0;
            record.line("%s reaches %s%s", POISON.c_str(), by.id().c_str(),
                        isLate ? " (late)" : "");
            return std::nullopt;
        };
        if (isHarmed)
            item.onRun = [&count](worker &by, const request &call) {
                if (call.target() != POISON)
                    return;
                std::thread([&by, &count] {
                    pauseFor(milliseconds(10));
                    crash(by, count);
                }).detach();
            };
        item.start();
        item.beat();
        return item;
    };
    std::vector<worker *> former;
    for (int number = 0; number < WORKERS; ++number)
        former.push_back(&addWorker(number, false));
    system.workers.begin();
    for (unsigned number = 0; number < deployment::MACHINES; ++number)
        system.addMachine(number % 2 == 0 ? "palermo" : "catania").start();
    for (auto &item : system.machines)
        if (!item->awaitReady(milliseconds(8000)))
            return NOT_RUN;
    std::atomic<bool> isStopped{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (unsigned number = 0; number < system.machines.size(); ++number)
        clients.emplace_back([&, number] {
            while (!isStopped) {
                auto &machine = *system.machines[number];
                const auto path = "/read/" + std::to_string(number);
                const auto got = ask(machine.host(), gateway::FRONT,
                                     makeCall(http::verb::get, "shop.example", path, DEADLINE),
                                     DEADLINE, path);
                served += got.status == 200 ? 1 : 0;
                pauseFor(milliseconds(40));
            }
        });
    const auto sendPoison = [&](int number) {
        auto &machine = *system.machines[static_cast<std::size_t>(number) % system.machines.size()];
        ask(machine.host(), gateway::FRONT,
            makeCall(http::verb::get, "shop.example", POISON, DEADLINE), DEADLINE, POISON);
        pauseFor(milliseconds(400));
    };
    pauseFor(milliseconds(2000));
    for (unsigned number = 0; number < 2 * deployment::MACHINES; ++number)
        sendPoison(static_cast<int>(number));
    for (int number = 0; number < WORKERS; ++number) {
        if (number % RELEASED == 0) {
            pauseFor(DRAIN);
            record.line("a release of %d workers begins", RELEASED);
        }
        addWorker(number, hasTrouble);
        pauseFor(milliseconds(300));
        auto &old = *former[static_cast<std::size_t>(number)];
        old.setDraining();
        old.beat();
        std::thread([&old, &shared] {
            pauseFor(DRAIN + milliseconds(500));
            old.crash();
            shared.put("keyed.servers", old.id(), {});
            record.line("%s has left", old.id().c_str());
        }).detach();
        pauseFor(milliseconds(700));
    }
    pauseFor(DRAIN + milliseconds(2000));
    record.line("the releases have ended");
    for (int number = 0; number < REPEATS; ++number)
        sendPoison(number);
    isStopped = true;
    for (auto &item : clients)
        item.join();
    const std::lock_guard lock(count.mutex);
    record.line("arrivals %d, crashes %d, late arrivals %d, served %d", count.arrivals,
                count.crashes, count.late, served.load());
    if (served == 0 || count.arrivals == 0)
        return NOT_RUN;
    return count.late > MAX_LATE ? BROKEN : HELD;
}

} // namespace review
