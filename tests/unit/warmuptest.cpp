#define BOOST_TEST_MODULE warmup
#include "clementinebeam/dispatch/servicedispatcher.h"
#include "clementinebeam/warmup/warmuptime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <queue>
#include <random>

using namespace clementinebeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant START{seconds(100)};
constexpr warm_up_limit LIMIT{4.0, 1.5, 8.0};
/// LIMIT.rate * LIMIT.factor + LIMIT.slack.
constexpr std::size_t MOST_IN_A_SECOND = 14;

/// A spell of time, from the start of the replay on.
struct spell {
    milliseconds begin{0};
    milliseconds end{0};

    bool contains(instant now) const { return now >= START + begin && now < START + end; }
};

/// A load on targets of which the first ones are cold for a while.
struct cold_load {
    int targets = 6;
    int coldTargets = 6;
    spell cold{milliseconds(0), milliseconds(6000)};
    /// When placers hear that the targets have become cold.
    milliseconds notice{0};
    double perSecond = 120.0;
    milliseconds service{250};
    milliseconds latestArrival = warm_up_pacer::MAX_LATENESS;
    /// When coordinators place requests; those of one time share them.
    std::vector<spell> coordinators{{milliseconds(0), milliseconds(10000)}};
    int localPlacers = 0; ///< Instances that place requests while there is no coordinator.
};

struct cold_outcome {
    std::size_t mostInASecond = 0; ///< Arrivals at one target while it was cold.
    std::size_t atCold = 0;
    std::size_t atWarm = 0;
    std::size_t afterwards = 0; ///< At the targets that had been cold.
};

/// Replays the load. Requests arrive at their targets up to latestArrival after their placement.
cold_outcome replay(const cold_load &load, unsigned seed)
{
    struct event {
        instant at;
        std::size_t placer;
        run_report report;
        bool operator<(const event &other) const { return at > other.at; }
    };
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<service_dispatcher>> placers;
    for (std::size_t index = 0; index < load.coordinators.size() + load.localPlacers; ++index) {
        dispatch_settings settings;
        settings.mayUseColdTargets = index < load.coordinators.size();
        placers.push_back(std::make_unique<service_dispatcher>(settings, nullptr));
    }
    std::vector<dispatch_target> targets;
    for (int index = 0; index < load.targets; ++index) {
        dispatch_target target{"t" + std::to_string(index), "a", 4};
        target.warmUpLimit = LIMIT;
        targets.push_back(target);
    }
    std::map<target_id, std::vector<instant>> coldArrivals;
    std::priority_queue<event> ends;
    cold_outcome outcome;
    request_token token = 0;
    const auto isColdTarget = [&](const target_id &id) {
        return std::stoi(id.substr(1)) < load.coldTargets;
    };
    const auto take = [&](std::size_t placer, const dispatch_decisions &decisions, instant now) {
        std::uniform_int_distribution<std::int64_t> lateness(0, load.latestArrival.count());
        for (const auto &decision : decisions) {
            if (decision.target.empty())
                continue;
            const auto arrival = now + milliseconds(lateness(random));
            const bool isCold = isColdTarget(decision.target) && load.cold.contains(arrival);
            if (isCold)
                coldArrivals[decision.target].push_back(arrival);
            ++(isCold ? outcome.atCold : outcome.atWarm);
            if (isColdTarget(decision.target) && arrival >= START + load.cold.end)
                ++outcome.afterwards;
            const auto taken = load.service * (isCold ? 2 : 1);
            ends.push({arrival + taken,
                       placer,
                       {decision.token, run_result::Answered, taken, std::nullopt}});
        }
    };
    double due = 0.0;
    for (auto now = START; now < START + seconds(10); now += milliseconds(1)) {
        if (now == START || now == START + load.cold.begin + load.notice) {
            const bool isKnown = now >= START + load.cold.begin + load.notice;
            for (auto &target : targets)
                target.coldUntil =
                        isKnown && isColdTarget(target.id) ? START + load.cold.end : instant{};
            for (auto &placer : placers)
                placer->setTargets(targets, now);
        }
        for (; !ends.empty() && ends.top().at <= now; ends.pop()) {
            dispatch_decisions decisions;
            placers[ends.top().placer]->complete(ends.top().report, now, decisions);
            take(ends.top().placer, decisions, now);
        }
        std::vector<std::size_t> active;
        std::vector<std::size_t> local;
        for (std::size_t index = 0; index < load.coordinators.size(); ++index) {
            if (load.coordinators[index].contains(now))
                active.push_back(index);
        }
        for (auto index = load.coordinators.size(); index < placers.size(); ++index)
            local.push_back(index);
        if (active.empty())
            active = local;
        for (due += load.perSecond / 1000; due >= 1.0 && !active.empty(); due -= 1.0) {
            dispatch_request request;
            request.token = ++token;
            request.arrival = now;
            request.objective = now + milliseconds(1000);
            request.deadline = now + milliseconds(4000);
            request.dataCentre = "a";
            const auto placer = active[random() % active.size()];
            dispatch_decisions decisions;
            placers[placer]->enqueue(request, now, decisions);
            take(placer, decisions, now);
        }
        for (const auto index : active) {
            if (now < placers[index]->nextDeadline(now - milliseconds(3)))
                continue;
            dispatch_decisions decisions;
            placers[index]->advance(now, decisions);
            take(index, decisions, now);
        }
    }
    for (auto &[id, times] : coldArrivals) {
        std::sort(times.begin(), times.end());
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto last = std::lower_bound(first, times.end(), *first + seconds(1));
            outcome.mostInASecond = std::max<std::size_t>(outcome.mostInASecond, last - first);
        }
    }
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(warm_up_counts_from_each_new_write)
{
    warm_up_time time;
    time.note(milliseconds(3000), START, START);
    BOOST_CHECK(time.coldUntil() == START + milliseconds(3000));
    // The list is read again, without a new write.
    time.note(milliseconds(3000), START, START + seconds(1));
    BOOST_CHECK(time.coldUntil() == START + milliseconds(3000));
    time.note(milliseconds(0), START + seconds(4), START + seconds(4));
    BOOST_CHECK(time.coldUntil() <= START + seconds(4));
    // It turns cold again in the same run.
    time.note(milliseconds(3000), START + seconds(5), START + seconds(5));
    BOOST_CHECK(time.coldUntil() == START + seconds(8));
}

BOOST_AUTO_TEST_CASE(pacer_holds_its_part_in_each_window_and_counts_what_was_placed_before)
{
    constexpr milliseconds WINDOW = seconds(1) + warm_up_pacer::MAX_LATENESS;
    for (const warm_up_limit &limit :
         {LIMIT, warm_up_limit{0.5, 1.0, 0.0}, warm_up_limit{1.0, 1.0, 0.0},
          warm_up_limit{200.0, 1.2, 3.0}, warm_up_limit{0.3, 1.0, 5.0}}) {
        warm_up_pacer pacer(limit);
        const auto most = std::floor(limit.rate * limit.factor + limit.slack);
        std::deque<instant> placed;
        // As long as the target is warm, requests are placed at will.
        for (int request = 0; request < 5 && most >= 10; ++request) {
            pacer.consume(START);
            placed.push_back(START);
        }
        std::size_t total = 0;
        for (auto now = START; now < START + seconds(20); now += milliseconds(1)) {
            if (now < pacer.readyAt())
                continue;
            pacer.consume(now);
            placed.push_back(now);
            ++total;
            while (now - placed.front() >= WINDOW)
                placed.pop_front();
            BOOST_CHECK_LE(placed.size(), std::max(most == 1.0 ? 1.0 : most / 2, 0.0));
        }
        BOOST_CHECK_EQUAL(total > 0, most >= 1.0);
    }
    BOOST_CHECK_CLOSE(warm_up_pacer(LIMIT).rate(), 4.0, 1e-6);
}

BOOST_AUTO_TEST_CASE(bound_holds_with_late_placements_and_a_cold_service_is_served)
{
    const auto outcome = replay({}, 1);
    BOOST_CHECK_LE(outcome.mostInASecond, MOST_IN_A_SECOND);
    BOOST_CHECK_GE(outcome.atCold, 100U);
    BOOST_CHECK_GE(outcome.afterwards, 250U);
}

BOOST_AUTO_TEST_CASE(bound_holds_while_the_coordinator_changes)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        cold_load load;
        const milliseconds change(2000 + 50 * seed);
        load.coordinators = {{milliseconds(0), change}, {change, milliseconds(10000)}};
        const auto outcome = replay(load, seed);
        BOOST_CHECK_LE(outcome.mostInASecond, MOST_IN_A_SECOND);
        BOOST_CHECK_GE(outcome.atCold, 100U);
    }
}

// A predecessor that is cut off from the store goes on for instances that have not heard of its
// successor.
BOOST_AUTO_TEST_CASE(bound_holds_with_two_coordinators_at_a_time)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        cold_load load;
        load.coordinators = {{milliseconds(0), milliseconds(8000)},
                             {milliseconds(2000), milliseconds(10000)}};
        BOOST_CHECK_LE(replay(load, seed).mostInASecond, MOST_IN_A_SECOND);
    }
}

BOOST_AUTO_TEST_CASE(instances_without_a_coordinator_leave_cold_targets_alone)
{
    cold_load load;
    load.coldTargets = 3;
    load.coordinators = {{milliseconds(0), milliseconds(2000)},
                         {milliseconds(4000), milliseconds(10000)}};
    load.localPlacers = 85;
    load.perSecond = 200.0;
    const auto outcome = replay(load, 3);
    BOOST_CHECK_LE(outcome.mostInASecond, MOST_IN_A_SECOND);
    BOOST_CHECK_GE(outcome.atWarm, 600U);
    BOOST_CHECK_GE(outcome.atCold, 20U);
}

BOOST_AUTO_TEST_CASE(returning_data_centre_takes_its_part_and_no_more)
{
    cold_load load;
    load.targets = 30;
    load.coldTargets = 10;
    load.perSecond = 300.0;
    load.latestArrival = milliseconds(20);
    const auto outcome = replay(load, 4);
    BOOST_CHECK_LE(outcome.mostInASecond, MOST_IN_A_SECOND);
    BOOST_CHECK_GE(outcome.atCold + outcome.atWarm, 2800U);
}

BOOST_AUTO_TEST_CASE(target_that_turns_cold_under_load_is_limited_from_the_notice_on)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        cold_load load;
        load.coldTargets = 2;
        load.cold = {milliseconds(3000), milliseconds(6000)};
        load.notice = milliseconds(600);
        load.perSecond = 45.0;
        BOOST_CHECK_LE(replay(load, seed).mostInASecond, MOST_IN_A_SECOND);
    }
}

BOOST_AUTO_TEST_CASE(placement_on_a_cold_target_has_to_be_sent_soon)
{
    service_dispatcher dispatcher({}, nullptr);
    dispatch_target target{"t", "a", 4};
    target.warmUpLimit = LIMIT;
    target.coldUntil = START + seconds(1);
    dispatcher.setTargets({target}, START);
    dispatch_request request;
    request.arrival = START;
    request.objective = request.deadline = START + seconds(5);
    dispatch_decisions decisions;
    for (request.token = 1; request.token <= 2; ++request.token)
        dispatcher.enqueue(request, START, decisions);
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    BOOST_CHECK(decisions.front().sendBefore == START + warm_up_pacer::PLACEMENT_LIFETIME);
    BOOST_CHECK_EQUAL(dispatcher.heldBackCount(), 1U);
    BOOST_CHECK_EQUAL(dispatcher.limitedColdTargets(START), 1U);
    BOOST_CHECK_CLOSE(dispatcher.throughputOf("t", START), 4.0, 1e-6);
    dispatcher.complete({1, run_result::Answered, milliseconds(200), std::nullopt},
                        START + milliseconds(200), decisions);
    BOOST_CHECK_EQUAL(decisions.size(), 1U);
    dispatcher.advance(START + seconds(1), decisions);
    BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
    BOOST_CHECK(!decisions.back().sendBefore);
    BOOST_CHECK_GT(dispatcher.throughputOf("t", START + seconds(1)), 4.0);
}
