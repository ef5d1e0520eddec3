#include "cases.h"

namespace review {

namespace {

const std::string SERVICE = "ordini";
constexpr milliseconds DEADLINE{1500};
constexpr milliseconds STABLE_WINDOW{3000};
constexpr milliseconds DOWN_TIME{2500};
const std::string POISON = "/read/poison";

} // namespace

/// One request crashes each worker that runs it, after the worker has sent the first part of its
/// answer. The caller sends it again and again, with the same path and body.
int crashInAnswer(deployment &system, bool hasTrouble)
{
    // For comparison: the workers crash before they have sent any byte; and the same after each
    // machine has once delivered an answer to the request.
    const bool isAnsweredFirst = std::getenv("ANSWERED") != nullptr;
    const bool isSilent = isAnsweredFirst || std::getenv("SILENT") != nullptr;
    std::atomic<bool> isHarmful{!isAnsweredFirst};
    auto &shared = system.shared;
    shared.put("keyed.op", "config",
               configuration(3, {{"r-read", "/read/", "safe", SERVICE}}, {{SERVICE, false}}));
    std::mutex mutex;
    int arrivals = 0;
    int crashes = 0;
    int late = 0;
    long thirdCrash = 0;
    for (int number = 0; number < 6; ++number) {
        auto &item = system.addWorker(SERVICE, false, number % 2 == 0 ? "palermo" : "catania",
                                      milliseconds(20));
        item.onArrival = [&](worker &by, const request &call) -> reply {
            if (call.target() != POISON)
                return std::nullopt;
            const std::lock_guard lock(mutex);
            ++arrivals;
            const bool isLate =
                    thirdCrash > 0 && nowMs() > thirdCrash + STABLE_WINDOW.count();
            late += isLate ? 1 : 0;
            record.line("poison %s reaches %s%s",
                        std::string(call["X-Clementinebeam-Request-Id"]).c_str(), by.id().c_str(),
                        isLate ? " (late)" : "");
            return std::nullopt;
        };
        // The process ends: its port refuses connections, and its open connections end.
        const auto crash = [&](worker &by) {
            by.crash();
            const std::lock_guard lock(mutex);
            record.line("%s crashes", by.id().c_str());
            if (++crashes == 3)
                thirdCrash = nowMs();
            std::thread([&] {
                pauseFor(DOWN_TIME);
                by.start();
                by.beat();
                record.line("%s is back", by.id().c_str());
            }).detach();
        };
        item.setCutHandler([&item, crash] { crash(item); });
        item.onAnswer = [=](worker &, response &answer) {
            const bool isPoison = answer.body().find(POISON) != std::string::npos;
            if (hasTrouble && !isSilent && answer.result_int() == 200 && isPoison)
                answer.set(CUT_HEADER, "1");
        };
        item.onRun = [&, isSilent, hasTrouble, crash](worker &by, const request &call) {
            if (!hasTrouble || !isSilent || !isHarmful || call.target() != POISON)
                return;
            std::thread([&by, crash] {
                pauseFor(milliseconds(10));
                crash(by);
            }).detach();
        };
        item.start();
        item.beat();
    }
    system.workers.begin();
    for (int number = 0; number < 4; ++number)
        system.addMachine(number % 2 == 0 ? "palermo" : "catania").start();
    for (auto &item : system.machines)
        if (!item->awaitReady(milliseconds(8000)))
            return NOT_RUN;
    std::atomic<bool> isStopped{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (unsigned number = 0; number < 4; ++number)
        clients.emplace_back([&, number] {
            while (!isStopped) {
                auto &machine = *system.machines[number % system.machines.size()];
                const auto path = "/read/" + std::to_string(number);
                served += ask(machine.host(), gateway::FRONT,
                              makeCall(http::verb::get, "shop.example", path, DEADLINE), DEADLINE,
                              path)
                                          .status
                                == 200
                        ? 1
                        : 0;
                pauseFor(milliseconds(40));
            }
        });
    pauseFor(milliseconds(3000));
    for (auto &item : system.machines)
        if (isAnsweredFirst)
            ask(item->host(), gateway::FRONT,
                makeCall(http::verb::get, "shop.example", POISON, DEADLINE), DEADLINE, POISON);
    isHarmful = true;
    for (int number = 0; number < 50; ++number) {
        auto &machine = *system.machines[static_cast<std::size_t>(number) % system.machines.size()];
        ask(machine.host(), gateway::FRONT,
            makeCall(http::verb::get, "shop.example", POISON, DEADLINE), DEADLINE, POISON);
        pauseFor(milliseconds(400));
    }
    isStopped = true;
    for (auto &item : clients)
        item.join();
    record.line("arrivals %d, crashes %d, late arrivals %d, served %d", arrivals, crashes, late,
                served.load());
    if (served == 0)
        return NOT_RUN;
    return late > 3 ? BROKEN : HELD;
}

} // namespace review
