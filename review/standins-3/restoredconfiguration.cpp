#include "cases.h"

namespace review {

namespace {

const std::string OLD = "ordini";
const std::string NEW = "ripartizione";
constexpr milliseconds DEADLINE{1500};
/// Bounds of the deployment: config-apply, and stable-window.
constexpr milliseconds CONFIG_APPLY{2000};
constexpr milliseconds STABLE_WINDOW{3000};
constexpr int REQUESTS = 10;

std::string version(int number, const std::string &service, const std::string &timeout)
{
    return configuration(number, {{"r-read", "/read/", "safe", service}},
                         {{OLD, false}, {NEW, false}}, timeout);
}

/// Ordinary traffic from all zones.
class background
{
public:
    explicit background(deployment &system)
        : m_system(system)
    {
        for (unsigned number = 0; number < 6; ++number)
            m_threads.emplace_back([this, number] {
                std::mt19937 random(number + 1);
                while (!m_isStopped) {
                    auto &machine = *m_system.machines[random() % m_system.machines.size()];
                    m_served += ask(machine.host(), gateway::FRONT,
                                    makeCall(http::verb::get, "shop.example", "/read/b", DEADLINE),
                                    DEADLINE, "/read/")
                                            .status
                                    == 200
                            ? 1
                            : 0;
                    pauseFor(milliseconds(40));
                }
            });
    }

    ~background()
    {
        m_isStopped = true;
        for (auto &item : m_threads)
            item.join();
    }

    int served() const { return m_served; }

private:
    deployment &m_system;
    std::atomic<bool> m_isStopped{false};
    std::atomic<int> m_served{0};
    std::vector<std::thread> m_threads;
};

} // namespace

/// The operator sends two versions. The store is away for a second and comes back from a copy that
/// was made before them; the operator writes the newest version again. Some seconds later, a
/// version moves the route to another service.
int restoredConfiguration(deployment &system, bool hasTrouble)
{
    auto &shared = system.shared;
    shared.put("keyed.op", "config", version(3, OLD, "1500ms"));
    for (int number = 0; number < 4; ++number) {
        auto &item = system.addWorker(number < 2 ? OLD : NEW, false,
                                      number % 2 == 0 ? "palermo" : "catania", milliseconds(20));
        item.start();
        item.beat();
    }
    system.workers.begin();
    for (int number = 0; number < 4; ++number)
        system.addMachine(number % 2 == 0 ? "palermo" : "catania").start();
    for (auto &item : system.machines)
        if (!item->awaitReady(milliseconds(8000)))
            return NOT_RUN;
    const background clients(system);
    pauseFor(milliseconds(4000));
    record.line("the store is copied");
    const auto copy = shared.copy();
    for (const int number : {5, 8}) {
        shared.put("keyed.op", "config", version(number, OLD, number == 5 ? "1400ms" : "1300ms"));
        record.line("version %d is acknowledged", number);
        pauseFor(milliseconds(1500));
    }
    if (hasTrouble) {
        const auto newest = shared.newestValue("keyed.op", "config");
        record.line("the store goes away");
        shared.leave();
        pauseFor(milliseconds(1000));
        shared.comeBack(copy);
        shared.put("keyed.op", "config", newest);
        system.workers.writeAgain();
        record.line("the store is back from the copy, era %d; version 8 is written again",
                    shared.era());
    }
    pauseFor(STABLE_WINDOW + milliseconds(3000));
    if (clients.served() == 0)
        return NOT_RUN;
    shared.put("keyed.op", "config", version(10, NEW, "1300ms"));
    record.line("version 10 is acknowledged: /read/ goes to %s", NEW.c_str());
    pauseFor(CONFIG_APPLY + milliseconds(3000));
    int old = 0;
    for (auto &item : system.machines) {
        int ofMachine = 0;
        int served = 0;
        for (int number = 0; number < REQUESTS; ++number) {
            const auto got = ask(item->host(), gateway::FRONT,
                                 makeCall(http::verb::get, "shop.example", "/read/check", DEADLINE),
                                 DEADLINE, "/read/");
            served += got.status == 200 ? 1 : 0;
            ofMachine += got.body.starts_with(OLD + ' ') ? 1 : 0;
        }
        record.line("machine %s: %d of %d served, %d by the old service", item->name().c_str(),
                    served, REQUESTS, ofMachine);
        if (ofMachine > 0)
            record.line("BROKEN CONFIG: %s runs requests by the old service 5 s after the "
                        "acknowledgement",
                        item->name().c_str());
        old += ofMachine;
    }
    return old > 0 ? BROKEN : HELD;
}

} // namespace review
