#define BOOST_TEST_MODULE waitingorder
#include "clementinebeam/admission/waitingorder.h"
#include "clementinebeam/admission/requestkinds.h"
#include "clementinebeam/dispatch/servicedispatcher.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <queue>
#include <random>

using namespace clementinebeam;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant START{seconds(100)};

class fixed_key_directory : public i_key_directory
{
public:
    target_id ownerOf(key_number key) const override { return "t" + std::to_string(key); }
    instant ownerExpectedAt(key_number) const override { return START; }
};

/// One kind of request of a replayed load, and what became of its requests.
struct kind_load {
    int priority;
    milliseconds objective;
    milliseconds deadline;
    milliseconds work; ///< Mean.
    double perSecond;
    std::optional<key_number> key{};
    int offered = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;

    double served() const { return static_cast<double>(onTime + late) / offered; }
    double inTime() const { return static_cast<double>(onTime) / offered; }
};

struct load_pattern {
    std::vector<kind_load> kinds;
    double burstFactor = 1.0; ///< Of the arrival rates from @p burstStart on.
    seconds burstStart{4};
    seconds burstEnd{4};
    std::size_t targets = 8;
    std::size_t targetsAfterLoss = 8; ///< From second 4 on.
    bool isKeyed = false;
    seconds length{20};
};

/// Replays a load through a dispatcher in virtual time, with a fixed seed.
std::vector<kind_load> replay(load_pattern pattern, const char *name)
{
    struct event {
        instant at;
        std::size_t kind;                 ///< Of an arrival.
        std::optional<run_report> report; ///< Set if it is the end of a request.
        bool operator<(const event &other) const { return at > other.at; }
    };
    const fixed_key_directory owners;
    service_dispatcher dispatcher({}, pattern.isKeyed ? &owners : nullptr);
    const auto targetsOf = [](std::size_t count) {
        std::vector<dispatch_target> targets;
        for (std::size_t index = 0; index < count; ++index)
            targets.push_back({"t" + std::to_string(index), "a", 2, false});
        return targets;
    };
    dispatcher.setTargets(targetsOf(pattern.targets), START);
    // Arrivals and work don't depend on the decisions, so that ways can be compared.
    std::vector<std::mt19937> random;
    for (std::size_t kind = 0; kind < pattern.kinds.size(); ++kind)
        random.emplace_back(11 + kind);
    std::priority_queue<event> events;
    for (std::size_t kind = 0; kind < pattern.kinds.size(); ++kind)
        events.push({START, kind, {}});
    std::map<request_token, std::pair<dispatch_request, std::size_t>> requests;
    std::map<request_token, microseconds> works;
    bool isLost = false;
    while (!events.empty()) {
        const auto next = events.top();
        events.pop();
        const auto now = next.at;
        if (!isLost && now >= START + seconds(4)) {
            dispatcher.setTargets(targetsOf(pattern.targetsAfterLoss), now);
            isLost = true;
        }
        dispatch_decisions decisions;
        dispatcher.advance(now, decisions);
        if (next.report) {
            const auto &[request, kind] = requests.at(next.report->token);
            auto &load = pattern.kinds[kind];
            ++(now <= request.objective ? load.onTime : load.late);
            dispatcher.complete(*next.report, now, decisions);
        } else {
            auto &load = pattern.kinds[next.kind];
            dispatch_request request;
            request.token = requests.size() + 1;
            request.key = load.key;
            request.priority = load.priority;
            request.arrival = now;
            request.objective = now + load.objective;
            request.deadline = now + load.deadline;
            request.dataCentre = "a";
            std::gamma_distribution<double> work(8.0, static_cast<double>(load.work.count()) / 8.0);
            works[request.token] =
                    microseconds(static_cast<std::int64_t>(work(random[next.kind]) * 1000.0));
            ++load.offered;
            requests.emplace(request.token, std::pair(request, next.kind));
            dispatcher.enqueue(request, now, decisions);
            const bool isBurst =
                    now >= START + pattern.burstStart && now < START + pattern.burstEnd;
            std::exponential_distribution<double> gap(load.perSecond
                                                      * (isBurst ? pattern.burstFactor : 1.0));
            const auto at =
                    now + microseconds(static_cast<std::int64_t>(gap(random[next.kind]) * 1e6));
            if (at < START + pattern.length)
                events.push({at, next.kind, {}});
        }
        for (const auto &decision : decisions) {
            auto &load = pattern.kinds[requests.at(decision.token).second];
            if (decision.target.empty()) {
                ++load.refused;
                continue;
            }
            // A request beyond the two slots of its target waits there.
            const auto time = works.at(decision.token)
                    + (dispatcher.runningAt(decision.target) > 2 ? load.work / 2 : milliseconds(0));
            events.push(
                    {now + time, 0, run_report{decision.token, run_result::Answered, time, {}}});
        }
    }
    for (const auto &kind : pattern.kinds) {
        BOOST_TEST_MESSAGE(name << " priority " << kind.priority << " work " << kind.work.count()
                                << " ms: offered " << kind.offered << " served " << kind.served()
                                << " in time " << kind.inTime() << " refused " << kind.refused);
    }
    return pattern.kinds;
}

/// Two urgent kinds and a deferrable one; 8 targets with 2 slots are busy to 72% by them.
std::vector<kind_load> threeKinds(double factor)
{
    return {{0, milliseconds(800), milliseconds(3000), milliseconds(200), 20.0 * factor},
            {0, milliseconds(2000), milliseconds(6000), milliseconds(670), 5.0 * factor},
            {2, milliseconds(3000), milliseconds(10000), milliseconds(400), 10.0 * factor}};
}

waiting_item makeItem(std::uint64_t id, int priority, milliseconds age, milliseconds work)
{
    return {id,
            priority,
            false,
            false,
            START - age,
            START - age + milliseconds(1000),
            START - age + milliseconds(3000),
            work,
            work};
}

bool isBefore(const waiting_item &left, const waiting_item &right)
{
    return waiting_order::rankOf(left, START) < waiting_order::rankOf(right, START);
}

} // namespace

BOOST_AUTO_TEST_CASE(equal_requests_keep_the_order_of_arrival)
{
    std::mt19937 random(3);
    for (int round = 0; round < 2000; ++round) {
        const auto first = makeItem(1, 1, milliseconds(random() % 1500), milliseconds(300));
        const auto second = makeItem(2, 1, milliseconds(random() % 1500), milliseconds(300));
        const bool isFirstLate = START + first.work > first.objective;
        const bool isSecondLate = START + second.work > second.objective;
        const bool expected =
                isFirstLate != isSecondLate ? isSecondLate : first.arrival <= second.arrival;
        BOOST_CHECK_EQUAL(isBefore(first, second), expected);
    }
    request_kinds kinds;
    const auto kind = kinds.indexOf(1, START, START + seconds(1));
    for (int sample = 0; sample < 100; ++sample)
        kinds.recordWork(kind, milliseconds(100 + sample), milliseconds(100));
    BOOST_CHECK_EQUAL(kinds.workFactor(kind), 1.0);
}

BOOST_AUTO_TEST_CASE(longer_request_yields_until_its_objective_is_near)
{
    const auto shortOne = makeItem(2, 0, milliseconds(0), milliseconds(100));
    BOOST_CHECK(isBefore(shortOne, makeItem(1, 0, milliseconds(200), milliseconds(400))));
    // It came earlier by more than the difference of the work.
    BOOST_CHECK(isBefore(makeItem(1, 0, milliseconds(310), milliseconds(400)), shortOne));
    // Less than twice its work is left to its objective.
    BOOST_CHECK(isBefore(makeItem(1, 0, milliseconds(201), milliseconds(400)), shortOne));
    BOOST_CHECK(isBefore(makeItem(1, 0, milliseconds(0), milliseconds(900)),
                         makeItem(2, 1, milliseconds(0), milliseconds(100))));
}

BOOST_AUTO_TEST_CASE(full_queue_refuses_the_cheapest_request)
{
    dispatch_settings settings;
    settings.maxWaiting = 2;
    service_dispatcher dispatcher(settings, nullptr);
    dispatcher.setTargets({{"t0", "a", 1, false}}, START);
    dispatch_decisions decisions;
    const auto enqueue = [&](request_token token, int priority) {
        dispatch_request request;
        request.token = token;
        request.priority = priority;
        request.arrival = START;
        request.objective = START + seconds(2);
        request.deadline = START + seconds(5);
        request.dataCentre = "a";
        decisions.clear();
        dispatcher.enqueue(request, START, decisions);
    };
    for (const request_token token : {1, 2, 3, 4}) // Two at the target, two wait.
        enqueue(token, 1);
    BOOST_CHECK_EQUAL(dispatcher.waitingCount(), 2U);
    enqueue(5, 0);
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    BOOST_CHECK_EQUAL(decisions[0].token, 4U);
    BOOST_CHECK(decisions[0].cause == refusal_cause::QueueFull);
    BOOST_CHECK(decisions[0].target.empty());
    BOOST_CHECK(dispatcher.isWaiting(5));
    enqueue(6, 1);
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    BOOST_CHECK_EQUAL(decisions[0].token, 6U);
}

BOOST_AUTO_TEST_CASE(short_burst_is_waited_out)
{
    load_pattern pattern{threeKinds(1.0)};
    pattern.burstFactor = 1.6;
    pattern.burstEnd = seconds(6);
    const auto kinds = replay(pattern, "burst");
    for (const auto &kind : kinds)
        BOOST_CHECK_GT(kind.served(), 0.97);
    BOOST_CHECK_GT(kinds[0].inTime(), 0.95);
}

BOOST_AUTO_TEST_CASE(lasting_overload_refuses_the_least_urgent_first_without_starving_it)
{
    // 1.4 times the capacity: room for the urgent kinds and a part of the other.
    const auto kinds = replay({threeKinds(1.9)}, "overload");
    BOOST_CHECK_GT(kinds[0].served(), 0.95);
    BOOST_CHECK_GT(kinds[1].served(), 0.9);
    BOOST_CHECK_LT(kinds[2].served(), kinds[0].served());
    // 2.5 times the capacity: not even the urgent kinds fit.
    const auto crowded = replay({threeKinds(3.5)}, "crowded");
    int offered = 0;
    int served = 0;
    for (const auto &kind : crowded) {
        offered += kind.offered;
        served += kind.onTime + kind.late;
    }
    const double share = static_cast<double>(served) / offered;
    for (const auto &kind : crowded)
        BOOST_CHECK_GT(kind.served(), share / 4);
    BOOST_CHECK_LT(crowded[2].served(), crowded[0].served());
    BOOST_CHECK_LT(crowded[2].served(), crowded[1].served());
}

BOOST_AUTO_TEST_CASE(hot_key_delays_its_own_callers_only)
{
    load_pattern pattern;
    pattern.isKeyed = true;
    for (key_number key = 0; key < 4; ++key) // Key 0 gets four times what its owner can do.
        pattern.kinds.push_back({1, milliseconds(800), milliseconds(3000), milliseconds(200),
                                 key == 0 ? 40.0 : 3.0, key});
    const auto kinds = replay(pattern, "hot key");
    BOOST_CHECK_LT(kinds[0].served(), 0.5);
    for (std::size_t index = 1; index < kinds.size(); ++index)
        BOOST_CHECK_GT(kinds[index].inTime(), 0.95);
}

BOOST_AUTO_TEST_CASE(lost_targets_cost_the_least_urgent_callers)
{
    load_pattern pattern{threeKinds(1.0)};
    pattern.targetsAfterLoss = 5;
    const auto kinds = replay(pattern, "lost targets");
    BOOST_CHECK_GT(kinds[0].served(), 0.95);
    BOOST_CHECK_GT(kinds[1].served(), 0.9);
    BOOST_CHECK_LT(kinds[2].served(), kinds[0].served());
}
