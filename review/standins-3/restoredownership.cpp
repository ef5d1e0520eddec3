#include "cases.h"

namespace review {

namespace {

const std::string KEYED = "vetrina";
constexpr milliseconds DEADLINE{1500};
constexpr unsigned CLIENTS = 10;
/// Busy keys lie close to one another, and change.
constexpr unsigned BUSY_KEYS = 4000;

/// Clients of keyed requests; each picks a ready machine and a random key.
class keyed_clients
{
public:
    explicit keyed_clients(deployment &system)
        : m_system(system)
    {
        for (unsigned number = 0; number < CLIENTS; ++number)
            m_threads.emplace_back([this, number] { run(number); });
    }

    ~keyed_clients()
    {
        m_isStopped = true;
        for (auto &item : m_threads)
            item.join();
    }

    int served() const { return m_served; }

    /// From now on, most requests are for keys from this one on.
    void setBusy(unsigned first) { m_busy = first; }

private:
    void run(unsigned number)
    {
        std::mt19937 random(number + 1);
        while (!m_isStopped) {
            auto &machine = *m_system.machines[random() % m_system.machines.size()];
            const bool isBusy = random() % 10 < 8;
            const auto key = isBusy ? m_busy + random() % BUSY_KEYS : random() % KEYS;
            const auto got = ask(machine.host(), gateway::FRONT,
                                 makeCall(http::verb::get, "shop.example", "/key/a", DEADLINE, key),
                                 DEADLINE, "key " + std::to_string(key));
            m_served += got.status == 200 ? 1 : 0;
            pauseFor(milliseconds(10));
        }
    }

    deployment &m_system;
    std::atomic<bool> m_isStopped{false};
    std::atomic<int> m_served{0};
    std::atomic<unsigned> m_busy{0};
    std::vector<std::thread> m_threads;
};

bool awaitKeys(deployment &system, milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (steady::now() < end) {
        if (system.workers.heldKeys(KEYED) >= KEYS)
            return true;
        pauseFor(milliseconds(50));
    }
    return false;
}

} // namespace

/// Other keys become busy, so that keys move. The store is away for a second, and comes back from a
/// copy that was made four seconds before it went. Some seconds later, the machines are stopped and
/// started in turn, which is planned work.
int restoredOwnership(deployment &system, bool hasTrouble)
{
    auto &shared = system.shared;
    shared.put("keyed.op", "config",
               configuration(3, {{"r-key", "/key/", "safe", KEYED}}, {{KEYED, true}}));
    const auto addWorker = [&](int number) {
        auto &item = system.addWorker(KEYED, true, number % 2 == 0 ? "palermo" : "catania",
                                      milliseconds(20));
        item.start();
        item.beat();
    };
    for (int number = 0; number < 4; ++number)
        addWorker(number);
    system.workers.begin();
    for (int number = 0; number < 4; ++number)
        system.addMachine(number % 2 == 0 ? "palermo" : "catania").start();
    for (auto &item : system.machines)
        if (!item->awaitReady(milliseconds(8000)))
            return NOT_RUN;
    if (!awaitKeys(system, milliseconds(10000)))
        return NOT_RUN;
    keyed_clients clients(system);
    pauseFor(milliseconds(4000));

    record.line("the store is copied");
    const auto copy = shared.copy();
    record.line("other keys become busy");
    clients.setBusy(40000);
    pauseFor(milliseconds(4000));
    for (auto *item : system.workers.all())
        record.line("%s holds %zu keys", item->id().c_str(), item->heldKeys());
    if (hasTrouble) {
        record.line("the store goes away");
        const auto operatorsConfig = shared.newestValue("keyed.op", "config");
        shared.leave();
        pauseFor(milliseconds(1000));
        shared.comeBack(copy);
        shared.put("keyed.op", "config", operatorsConfig);
        system.workers.writeAgain();
        record.line("the store is back from the copy, era %d", shared.era());
    }
    pauseFor(milliseconds(6000));
    if (clients.served() == 0)
        return NOT_RUN;
    const auto atOnce = owners.lowTokens() + system.workers.doubleHolds();
    record.line("breaks before the machines are restarted: %d", atOnce);
    for (auto &item : system.machines) {
        item->signal(SIGTERM);
        item->awaitEnd();
        pauseFor(milliseconds(300));
        item->start();
        if (!item->awaitReady(milliseconds(8000)))
            record.line("machine %s is not ready", item->name().c_str());
        pauseFor(milliseconds(2000));
    }
    pauseFor(milliseconds(3000));
    for (auto *item : system.workers.all())
        record.line("%s holds %zu keys", item->id().c_str(), item->heldKeys());
    record.line("low tokens: %d, double holds: %d, served: %d", owners.lowTokens(),
                system.workers.doubleHolds(), clients.served());
    return owners.lowTokens() + system.workers.doubleHolds() > 0 ? BROKEN : HELD;
}

} // namespace review
