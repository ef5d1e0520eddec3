// One byte of one worker's answer to a release is wrong. See claim.txt.

#include "../standins/deployment.h"

using namespace review;

namespace {

constexpr int GATEWAYS = 3;
constexpr double CATALOGUE_RATE = 100.0;
constexpr double ORDER_RATE = 125.0;
constexpr milliseconds WORK{20};
/// The garbled answers begin here and go on for 5.5 s; the planned drain lies between.
constexpr milliseconds GARBLE_AT{8000};
constexpr milliseconds GARBLE_TIME{5500};
constexpr milliseconds DRAIN_AFTER{2500};
constexpr milliseconds END{85000};
constexpr int DEADLINE_MS = 1500;

struct kind {
    std::string name;
    std::string path;
    std::string method;
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> sentAfter{0}; ///< Later than 10 s after the drain.
    std::atomic<int> servedAfter{0};
};

json configuration()
{
    return {{"resource-version", 1},
            {"routes",
             {{"columns",
               {"name", "hostname", "path-prefix", "type", "timeout", "target-latency", "priority",
                "max-attempts", "backend"}},
              {"rows",
               {{"catalogue", "a.example", "/catalogue/", "safe", "800ms", "400ms", 2, 3,
                 "catalogue"},
                {"order", "a.example", "/order/", "unsafe", "1000ms", "500ms", 1, 2, "orders"}}}}},
            {"services",
             {{"columns", {"name", "health-path", "sharded", "max-connections"}},
              {"rows",
               {{"catalogue", "/healthz", true, 130}, {"orders", "/healthz", nullptr, 130}}}}},
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
    const int storePort = freePorts(1);
    if (!platform.start(storePort))
        return CANNOT_RUN;
    platform.put("keyed.op", "config", configuration().dump());

    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 1; number <= 4; ++number)
        workers.push_back(std::make_unique<worker>(
                record, platform, "i-cat" + std::to_string(number), "catalogue", true, WORK));
    for (int number = 1; number <= 3; ++number)
        workers.push_back(std::make_unique<worker>(
                record, platform, "i-ord" + std::to_string(number), "orders", false, WORK));
    std::vector<std::unique_ptr<gateway>> gateways;
    for (int number = 1; number <= GATEWAYS; ++number)
        gateways.push_back(std::make_unique<gateway>("front-p-" + std::to_string(number),
                                                     folder.path(), "p", storePort));
    for (auto &item : workers) {
        if (!item->start())
            return CANNOT_RUN;
    }
    if (!startAll(gateways))
        return CANNOT_RUN;

    const auto begin = clock::now();
    record.line("traffic starts");
    const auto drainAt = begin + GARBLE_AT + DRAIN_AFTER;
    kind catalogue{"catalogue", "/catalogue/", "GET"};
    kind order{"order", "/order/", "POST"};
    const auto send = [&](kind &item, int number) {
        const auto id = item.name + '-' + std::to_string(number);
        const auto sentAt = clock::now();
        const auto deadline = sentAt + milliseconds(DEADLINE_MS);
        const bool isAfter = sentAt > drainAt + std::chrono::seconds(10);
        ++item.sent;
        item.sentAfter += isAfter ? 1 : 0;
        // One retry at another machine, as after the Retry-After of an answer that says "not run".
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto attemptId = id + '.' + std::to_string(attempt);
            const auto &instance = *gateways[static_cast<std::size_t>(number + attempt) % GATEWAYS];
            const auto left = deadline - clock::now();
            if (left <= milliseconds(0))
                return;
            const auto answer = ask(record, instance,
                                    {item.method, item.path + id, attemptId,
                                     item.name == "catalogue" ? number * 7919 % 65536 : -1},
                                    deadline);
            const int status = answer.status();
            if (status == 200) {
                ++item.served;
                item.servedAfter += isAfter ? 1 : 0;
                return;
            }
            const auto wait = answer.header("Retry-After");
            if (status != 503 || wait.empty())
                return;
            std::this_thread::sleep_for(std::min<clock::duration>(
                    std::chrono::duration_cast<clock::duration>(
                            std::chrono::duration<double>(std::stod(wait))),
                    left / 3));
        }
    };
    open_load catalogueLoad;
    open_load orderLoad;
    catalogueLoad.start(CATALOGUE_RATE, [&](int number) { send(catalogue, number); });
    orderLoad.start(ORDER_RATE, [&](int number) { send(order, number); });

    // The garbled answers: one of the worker's answers in the 5.5 s.
    auto &leaving = *workers.front();
    std::atomic<int> answersMeanwhile{0};
    std::atomic<int> spoiled{0};
    leaving.setAnswerFilter([&](const message &call, std::string answer) {
        const auto time = clock::now() - begin;
        if (time < GARBLE_AT || time > GARBLE_AT + GARBLE_TIME)
            return answer;
        ++answersMeanwhile;
        const auto name = answer.find("X-Clementinebeam-Handover: ");
        if (!hasTrouble() || name == std::string::npos || spoiled > 0)
            return answer;
        ++spoiled;
        answer[name + 31] = static_cast<char>(0xe9);
        record.line(leaving.id() + " answers " + call.target()
                    + " with one wrong byte (0xe9) in the value of X-Clementinebeam-Handover");
        return answer;
    });
    std::this_thread::sleep_until(drainAt);
    leaving.drain();
    std::this_thread::sleep_for(std::chrono::seconds(4));
    leaving.removeEntry();
    leaving.stop();
    record.line(leaving.id() + " has left");
    std::this_thread::sleep_until(begin + END);
    catalogueLoad.stop();
    orderLoad.stop();

    std::size_t exits = 0;
    for (auto &item : gateways) {
        exits += item->isRunning() ? 0 : 1;
        for (const auto &line : logLines(*item, "handler_failed", 3))
            record.line("log of " + item->name() + ": " + line);
    }
    const auto share = [](int served, int sent) { return sent == 0 ? 1.0 : 1.0 * served / sent; };
    const double kindShare = share(catalogue.served, catalogue.sent);
    const double allShare = share(catalogue.served + order.served, catalogue.sent + order.sent);
    record.line("answers of " + leaving.id() + " in the 5.5 s: " + std::to_string(answersMeanwhile)
                + ", spoiled: " + std::to_string(spoiled));
    record.line("gateways that ended: " + std::to_string(exits));
    for (const auto *item : {&catalogue, &order})
        record.line(item->name + ": sent " + std::to_string(item->sent) + ", served "
                    + std::to_string(item->served) + "; later than 10 s after the drain: sent "
                    + std::to_string(item->sentAfter) + ", served "
                    + std::to_string(item->servedAfter));
    const bool isBroken = kindShare < 0.25 * allShare;
    char text[200];
    std::snprintf(text, sizeof text, "catalogue is served %.3f of the time, all requests %.3f: %s",
                  kindShare, allShare, isBroken ? "Starved. broken" : "held");
    record.line(text);
    std::puts(text);
    return isBroken ? BROKEN : 0;
}
