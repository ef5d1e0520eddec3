// The store turns away one machine for 0.7 s; meanwhile a worker leaves without a report. See
// claim.txt.

#include "../standins/deployment.h"

using namespace review;

namespace {

constexpr int GATEWAYS = 3;
constexpr int ROUNDS = 8;
constexpr double RATE = 60.0;
constexpr milliseconds WORK{60};
constexpr milliseconds ROUND_TIME{9000};
constexpr milliseconds REFUSED_AT{3000};
constexpr milliseconds REFUSED_TIME{700};
/// The entry of the worker is removed this long before the store serves the machine again.
constexpr milliseconds LEAVES_BEFORE{300};
constexpr milliseconds DRAIN{2000};
/// A worker that leaves serves for the drain time and a little longer.
constexpr milliseconds SERVES_ON{2800};
constexpr milliseconds STABLE_WINDOW{3000};
constexpr milliseconds DEADLINE{2000};

json configuration()
{
    return {{"resource-version", 1},
            {"routes",
             {{"columns",
               {"name", "hostname", "path-prefix", "type", "timeout", "target-latency", "priority",
                "max-attempts", "backend"}},
              {"rows",
               {{"order", "a.example", "/order/", "unsafe", "1000ms", "500ms", 1, 2, "orders"}}}}},
            {"services",
             {{"columns", {"name", "health-path", "sharded", "max-connections"}},
              {"rows", {{"orders", "/healthz", nullptr, 130}}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 1048576},
              {"header-timeout", "3s"},
              {"idle-timeout", "15s"}}}};
}

} // namespace

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    run_record record(std::string(argv[1]) + "/record.txt");
    record.line(hasTrouble() ? "with the disruption" : "TROUBLE=0: without the disruption");
    temporary_folder folder;
    store platform;
    std::vector<int> storePorts;
    for (int number = 0; number < GATEWAYS; ++number) {
        storePorts.push_back(freePorts(1));
        if (!platform.start(storePorts.back()))
            return CANNOT_RUN;
    }
    platform.put("keyed.op", "config", configuration().dump());
    std::mutex mutex;
    std::map<std::string, std::pair<int, clock::time_point>> sentBy; // Machine and time.
    std::vector<clock::time_point> lastRefused(GATEWAYS);
    std::set<std::string> lateRuns; // Requests that began to run at a worker after its drain time.
    int violations = 0;
    int lostOrders = 0;
    int created = 0;
    std::vector<std::unique_ptr<worker>> workers;
    const auto addWorker = [&] {
        workers.push_back(std::make_unique<worker>(
                record, platform, "i-ord" + std::to_string(++created), "orders", false, WORK));
        return workers.back()->start();
    };
    for (int number = 0; number < 4; ++number) {
        if (!addWorker())
            return CANNOT_RUN;
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    for (int number = 0; number < GATEWAYS; ++number)
        gateways.push_back(std::make_unique<gateway>("front-p-" + std::to_string(number + 1),
                                                     folder.path(), "p",
                                                     storePorts[static_cast<std::size_t>(number)]));
    if (!startAll(gateways))
        return CANNOT_RUN;

    record.line("traffic starts");
    const auto begin = clock::now();
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    open_load load;
    load.start(RATE, [&](int number) {
        const auto id = "order-" + std::to_string(number);
        const int machine = number % GATEWAYS;
        {
            const std::lock_guard lock(mutex);
            sentBy[id] = {machine, clock::now()};
        }
        const auto answer = ask(record, *gateways[static_cast<std::size_t>(machine)],
                                {"POST", "/order/" + id, id, -1}, clock::now() + DEADLINE);
        ++(answer.status() == 200 ? served : failed);
        if (answer.status() == 200)
            return;
        const std::lock_guard lock(mutex);
        if (!lateRuns.contains(id))
            return;
        ++lostOrders;
        record.line("LOST ORDER: " + id
                    + " was at work at a worker that ended after its drain time; "
                      "the client got "
                    + std::to_string(answer.status()));
    });

    for (int round = 0; round < ROUNDS; ++round) {
        const auto start = begin + ROUND_TIME * round;
        std::this_thread::sleep_until(start + milliseconds(500));
        if (!addWorker())
            return CANNOT_RUN;
        std::this_thread::sleep_until(start + REFUSED_AT);
        // The machine that last wrote about this service under a condition.
        const int machine = platform.lastWriter("orders");
        if (machine < 0)
            return CANNOT_RUN;
        if (hasTrouble()) {
            record.line("the store turns away "
                        + gateways[static_cast<std::size_t>(machine)]->name());
            platform.setRefused(static_cast<std::size_t>(machine), true);
        }
        std::this_thread::sleep_until(start + REFUSED_AT + REFUSED_TIME - LEAVES_BEFORE);
        auto &leaving = *workers[static_cast<std::size_t>(round)];
        leaving.leaveAbruptly();
        const auto leftAt = clock::now();
        leaving.setRunHandler([&, leftAt](const std::string &id) {
            const auto now = clock::now();
            const std::lock_guard lock(mutex);
            const auto [by, sentAt] = sentBy[id];
            // A machine that was turned away in the stable window isn't in touch.
            const bool isInTouch = now - lastRefused[static_cast<std::size_t>(by)] > STABLE_WINDOW;
            if (now - leftAt <= DRAIN)
                return;
            lateRuns.insert(id);
            const auto late = std::chrono::duration_cast<milliseconds>(now - leftAt).count();
            record.line("LATE: " + id + " reaches " + leaving.id() + " from "
                        + gateways[static_cast<std::size_t>(by)]->name() + ' '
                        + std::to_string(late) + " ms after the store had acknowledged that it left"
                        + (isInTouch ? "" : " (sender not in touch, not counted)"));
            violations += isInTouch ? 1 : 0;
        });
        std::this_thread::sleep_until(start + REFUSED_AT + REFUSED_TIME);
        if (hasTrouble()) {
            const std::lock_guard lock(mutex);
            lastRefused[static_cast<std::size_t>(machine)] = clock::now();
            platform.setRefused(static_cast<std::size_t>(machine), false);
            record.line("the store serves all machines again");
        }
        std::this_thread::sleep_until(leftAt + SERVES_ON);
        leaving.stop();
        record.line(leaving.id() + " has ended");
    }
    load.stop();
    char text[250];
    std::snprintf(text, sizeof text,
                  "orders served %d, not served %d; requests that reached a worker later than %ld "
                  "ms after it had left, from machines in touch: %d; orders lost as such a worker "
                  "ended: %d: %s",
                  served.load(), failed.load(), static_cast<long>(DRAIN.count()), violations,
                  lostOrders, violations > 0 ? "DRAIN broken" : "held");
    record.line(text);
    std::puts(text);
    return violations > 0 ? BROKEN : 0;
}
