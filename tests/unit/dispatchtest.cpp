#define BOOST_TEST_MODULE dispatch
#include "clementinebeam/dispatch/servicedispatcher.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <queue>
#include <random>
#include <set>

using namespace clementinebeam;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const instant START{std::chrono::seconds(100)};

/// Key directory with owners that the test sets.
class fixed_key_directory : public i_key_directory
{
public:
    target_id ownerOf(key_number key) const override
    {
        const auto found = owners.find(key);
        return found == owners.end() ? target_id{} : found->second;
    }

    instant ownerExpectedAt(key_number) const override { return expected; }

    std::map<key_number, target_id> owners;
    instant expected{};
};

dispatch_request makeRequest(request_token token, instant now, milliseconds objective,
                             milliseconds deadline, int priority = 0)
{
    dispatch_request request;
    request.token = token;
    request.arrival = now;
    request.objective = now + objective;
    request.deadline = now + deadline;
    request.priority = priority;
    request.dataCentre = "a";
    return request;
}

std::vector<dispatch_target> makeTargets(int count, const std::string &dataCentre = "a")
{
    std::vector<dispatch_target> targets;
    for (int index = 0; index < count; ++index)
        targets.push_back({"t" + std::to_string(index), dataCentre, 2, false});
    return targets;
}

/// Counts of a replayed load.
struct replay_result {
    std::map<int, int> offered; ///< By priority.
    std::map<int, int> onTime;  ///< By priority.
    int late = 0;
    int rejected = 0;
    int rejectedAfterWaiting = 0; ///< Waited for more than an eighth of the objective.
    std::size_t maxAtOneTarget = 0;
    std::map<target_id, int> sentTo;

    int onTimeTotal() const
    {
        int sum = 0;
        for (const auto &[priority, count] : onTime)
            sum += count;
        return sum;
    }
};

/// A load to replay: arrival rate, targets, service times and faults.
struct load_pattern {
    int targets = 8;
    double perSecond = 100.0;
    double burstFactor = 1.0; ///< Factor of the arrival rate from second 2 to 5.
    milliseconds objective{400};
    milliseconds deadline{1500};
    milliseconds meanService{100};
    std::vector<int> priorities{0};
    target_id rejecting; ///< Rejects each request after a millisecond.
    target_id silent;    ///< Never answers.
    /// Share of requests that each target rejects after a millisecond, even with free slots.
    double shedShare = 0.0;
    bool isKeyed = false; ///< Each request may run at one target only.
};

/// Replays a load through a dispatcher in virtual time, with a fixed seed.
replay_result replay(const load_pattern &pattern, const dispatch_settings &settings)
{
    struct completion {
        instant at;
        run_report report;
        /// Reversed, so that the priority queue yields the earliest first.
        bool operator<(const completion &other) const { return at > other.at; }
    };
    fixed_key_directory owners;
    for (int key = 0; key < pattern.targets; ++key)
        owners.owners[static_cast<key_number>(key)] = "t" + std::to_string(key);
    service_dispatcher dispatcher(settings, pattern.isKeyed ? &owners : nullptr);
    dispatcher.setTargets(makeTargets(pattern.targets), START);
    std::mt19937 random(7);
    std::bernoulli_distribution isShed(pattern.shedShare);
    std::priority_queue<completion> completions;
    std::map<request_token, dispatch_request> requests;
    std::map<target_id, std::size_t> running;
    replay_result result;
    const auto handleDecisions = [&](const dispatch_decisions &decisions, instant now) {
        for (const auto &decision : decisions) {
            const auto &request = requests.at(decision.token);
            if (decision.target.empty()) {
                ++result.rejected;
                const auto waited = now - request.arrival;
                if (waited > pattern.objective / 8)
                    ++result.rejectedAfterWaiting;
                BOOST_CHECK(decision.retryAfter <= (request.deadline - now) / 3
                            || decision.retryAfter <= milliseconds(20));
                continue;
            }
            ++result.sentTo[decision.target];
            result.maxAtOneTarget = std::max(result.maxAtOneTarget, ++running[decision.target]);
            std::gamma_distribution<double> service(
                    8.0, static_cast<double>(pattern.meanService.count()) / 8.0);
            auto time = microseconds(static_cast<std::int64_t>(service(random) * 1000.0));
            auto outcome = run_result::Answered;
            if (decision.target == pattern.rejecting || isShed(random)) {
                time = milliseconds(1);
                outcome = run_result::NotExecuted;
            } else if (decision.target == pattern.silent) {
                time = request.deadline - now;
                outcome = run_result::TimedOut;
            }
            completions.push({now + time, {decision.token, outcome, time, std::nullopt}});
        }
    };
    const auto arrivalsEnd = START + std::chrono::seconds(8);
    instant nextArrival = START;
    request_token token = 0;
    while (nextArrival < arrivalsEnd || !completions.empty()) {
        const auto now =
                completions.empty() ? nextArrival : std::min(nextArrival, completions.top().at);
        dispatch_decisions decisions;
        dispatcher.advance(now, decisions);
        if (!completions.empty() && completions.top().at == now) {
            const auto report = completions.top().report;
            completions.pop();
            const auto *placed = dispatcher.placed(report.token);
            if (placed)
                --running[placed->target];
            const auto &request = requests.at(report.token);
            if (report.result == run_result::Answered) {
                if (now <= request.objective)
                    ++result.onTime[request.priority];
                else
                    ++result.late;
            }
            dispatcher.complete(report, now, decisions);
        } else {
            const int priority = pattern.priorities[token % pattern.priorities.size()];
            auto request = makeRequest(++token, now, pattern.objective, pattern.deadline, priority);
            if (pattern.isKeyed)
                request.key =
                        static_cast<key_number>(random() % static_cast<unsigned>(pattern.targets));
            ++result.offered[priority];
            requests.emplace(token, request);
            dispatcher.enqueue(request, now, decisions);
            const bool isBurst =
                    now > START + std::chrono::seconds(2) && now < START + std::chrono::seconds(5);
            std::exponential_distribution<double> gap(pattern.perSecond
                                                      * (isBurst ? pattern.burstFactor : 1.0));
            nextArrival = now + microseconds(static_cast<std::int64_t>(gap(random) * 1e6));
            if (nextArrival >= arrivalsEnd)
                nextArrival = instant::max();
        }
        handleDecisions(decisions, now);
        if (nextArrival == instant::max() && completions.empty())
            break;
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(moderate_load_is_served_in_time)
{
    // Capacity: 8 targets with 2 slots and a service time of 100 ms serve 160 requests a second.
    load_pattern pattern;
    pattern.perSecond = 90.0;
    const auto result = replay(pattern, {});
    BOOST_CHECK_EQUAL(result.rejected, 0);
    BOOST_CHECK_GT(result.onTimeTotal(), result.offered.at(0) * 99 / 100);
}

BOOST_AUTO_TEST_CASE(burst_beyond_the_capacity_does_not_make_all_answers_late)
{
    load_pattern pattern;
    pattern.perSecond = 110.0;
    pattern.burstFactor = 2.2;
    const auto result = replay(pattern, {});
    // 110 a second outside the burst (5 of eight seconds), the full capacity during it.
    const int possible = static_cast<int>(110 * 5 + 160 * 3);
    BOOST_CHECK_GT(result.onTimeTotal(), possible * 85 / 100);
    BOOST_CHECK_LT(result.late, result.onTimeTotal() / 4);
}

BOOST_AUTO_TEST_CASE(target_never_exceeds_its_slots_plus_lookahead)
{
    load_pattern pattern;
    pattern.perSecond = 400.0;
    BOOST_CHECK_LE(replay(pattern, {}).maxAtOneTarget, 3U);
}

BOOST_AUTO_TEST_CASE(urgent_requests_are_served_first_under_overload)
{
    load_pattern pattern;
    pattern.perSecond = 260.0;
    pattern.priorities = {0, 2};
    const auto result = replay(pattern, {});
    const double urgent = static_cast<double>(result.onTime.at(0)) / result.offered.at(0);
    const double other = static_cast<double>(result.onTime.at(2)) / result.offered.at(2);
    BOOST_CHECK_GT(urgent, 0.95);
    BOOST_CHECK_GT(urgent, other);
}

BOOST_AUTO_TEST_CASE(fast_rejecting_target_does_not_attract_requests)
{
    load_pattern pattern;
    pattern.perSecond = 90.0;
    pattern.rejecting = "t3";
    const auto result = replay(pattern, {});
    int maxOther = 0;
    for (const auto &[target, count] : result.sentTo)
        maxOther = std::max(maxOther, target == pattern.rejecting ? 0 : count);
    BOOST_CHECK_LT(result.sentTo.at(pattern.rejecting), maxOther / 4);
}

// All targets of a keyed service reject 55% of their requests while they have free slots. If they
// were suspended for it, most of the requests that they would have run would be lost.
BOOST_AUTO_TEST_CASE(targets_that_shed_part_of_their_load_are_not_suspended)
{
    load_pattern pattern;
    pattern.perSecond = 120.0;
    pattern.shedShare = 0.55;
    for (const bool isKeyed : {true, false}) {
        pattern.isKeyed = isKeyed;
        const auto result = replay(pattern, {});
        // Only the shed share is lost, and up to a tenth of the rest due to random arrivals.
        BOOST_CHECK_GT(result.onTimeTotal(), result.offered.at(0) * 0.45 * 0.9);
    }
}

BOOST_AUTO_TEST_CASE(silent_target_holds_few_requests)
{
    load_pattern pattern;
    pattern.perSecond = 90.0;
    pattern.silent = "t0";
    // At first its 2 slots and the lookahead of 1, then one request at a time between suspensions.
    BOOST_CHECK_LE(replay(pattern, {}).sentTo.at(pattern.silent), 3 + 8);
}

BOOST_AUTO_TEST_CASE(own_data_centre_is_preferred_while_it_has_room)
{
    service_dispatcher dispatcher({}, nullptr);
    auto targets = makeTargets(1, "b");
    targets.push_back({"near", "a", 1, false});
    dispatcher.setTargets(targets, START);
    dispatch_decisions decisions;
    dispatcher.enqueue(makeRequest(1, START, milliseconds(400), milliseconds(1500)), START,
                       decisions);
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    BOOST_CHECK_EQUAL(decisions[0].target, "near");
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_retry_budget)
{
    dispatch_settings settings;
    settings.retryShare = 0.2;
    settings.retryCapacity = 3.0;
    service_dispatcher dispatcher(settings, nullptr);
    dispatcher.setTargets(makeTargets(20), START);
    int placed = 0;
    for (request_token token = 1; token <= 30; ++token) {
        auto request = makeRequest(token, START, milliseconds(400), milliseconds(1500));
        request.isRetry = true;
        dispatch_decisions decisions;
        dispatcher.enqueue(request, START, decisions);
        placed += decisions.at(0).target.empty() ? 0 : 1;
    }
    BOOST_CHECK_EQUAL(placed, 3);
}

BOOST_AUTO_TEST_CASE(known_token_is_not_placed_twice)
{
    service_dispatcher dispatcher({}, nullptr);
    dispatcher.setTargets(makeTargets(2), START);
    dispatch_decisions decisions;
    const auto request = makeRequest(1, START, milliseconds(400), milliseconds(1500));
    dispatcher.enqueue(request, START, decisions);
    dispatcher.enqueue(request, START, decisions);
    BOOST_CHECK_EQUAL(decisions.size(), 1U);
    BOOST_CHECK_EQUAL(dispatcher.runningCount(), 1U);
}

BOOST_AUTO_TEST_CASE(only_the_owner_gets_a_request_for_a_key)
{
    fixed_key_directory owners;
    owners.owners[5] = "t1";
    service_dispatcher dispatcher({}, &owners);
    dispatcher.setTargets(makeTargets(3), START);
    auto request = makeRequest(1, START, milliseconds(400), milliseconds(1500));
    request.key = 5;
    dispatch_decisions decisions;
    dispatcher.enqueue(request, START, decisions);
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    BOOST_CHECK_EQUAL(decisions[0].target, "t1");
}

BOOST_AUTO_TEST_CASE(request_waits_for_a_key_that_gets_an_owner_in_time)
{
    fixed_key_directory owners;
    owners.expected = START + milliseconds(100);
    service_dispatcher dispatcher({}, &owners);
    dispatcher.setTargets(makeTargets(3), START);
    auto request = makeRequest(1, START, milliseconds(400), milliseconds(1500));
    request.key = 5;
    dispatch_decisions decisions;
    dispatcher.enqueue(request, START, decisions);
    BOOST_CHECK(decisions.empty());
    owners.owners[5] = "t2";
    dispatcher.advance(START + milliseconds(90), decisions);
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    BOOST_CHECK_EQUAL(decisions[0].target, "t2");
}

BOOST_AUTO_TEST_CASE(request_for_a_key_without_an_owner_in_time_is_rejected_on_arrival)
{
    fixed_key_directory owners;
    owners.expected = START + std::chrono::seconds(4);
    service_dispatcher dispatcher({}, &owners);
    dispatcher.setTargets(makeTargets(3), START);
    auto request = makeRequest(1, START, milliseconds(400), milliseconds(1500));
    request.key = 5;
    dispatch_decisions decisions;
    dispatcher.enqueue(request, START, decisions);
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    BOOST_CHECK(decisions[0].target.empty());
    BOOST_CHECK(decisions[0].reason == error_kind::NoOwner);
}

// Guards against a draining owner that still gets requests after ownerUntil. The dispatcher has to
// compare the time itself, as setTargets() is not called again when ownerUntil passes.
BOOST_AUTO_TEST_CASE(draining_owner_gets_no_request_after_the_grace_time)
{
    fixed_key_directory owners;
    owners.owners[5] = "t0";
    service_dispatcher dispatcher({}, &owners);
    auto targets = makeTargets(1);
    targets[0].isDraining = true;
    targets[0].ownerUntil = START + milliseconds(600);
    dispatcher.setTargets(targets, START);
    auto request = makeRequest(1, START, milliseconds(400), milliseconds(1500));
    request.key = 5;
    dispatch_decisions decisions;
    dispatcher.enqueue(request, START, decisions);
    BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
    BOOST_CHECK_EQUAL(decisions[0].target, "t0");
    decisions.clear();
    const auto later = START + milliseconds(700);
    auto second = makeRequest(2, later, milliseconds(400), milliseconds(1500));
    second.key = 5;
    dispatcher.enqueue(second, later, decisions);
    dispatcher.advance(later + milliseconds(1400), decisions);
    for (const auto &decision : decisions)
        BOOST_CHECK(decision.target.empty());
}

BOOST_AUTO_TEST_CASE(request_without_a_report_is_released_after_its_deadline)
{
    service_dispatcher dispatcher({}, nullptr);
    dispatcher.setTargets(makeTargets(1), START);
    dispatch_decisions decisions;
    dispatcher.enqueue(makeRequest(1, START, milliseconds(400), milliseconds(500)), START,
                       decisions);
    BOOST_CHECK_EQUAL(dispatcher.runningCount(), 1U);
    const auto due = dispatcher.nextDeadline(START);
    BOOST_CHECK(due <= START + std::chrono::seconds(1));
    dispatcher.advance(due + milliseconds(1), decisions);
    BOOST_CHECK_EQUAL(dispatcher.runningCount(), 0U);
}

BOOST_AUTO_TEST_CASE(retry_delays_are_spread)
{
    admission_input input{START,
                          START,
                          START + milliseconds(400),
                          START + milliseconds(1500),
                          milliseconds(300),
                          milliseconds(100)};
    std::set<std::int64_t> delays;
    for (request_token token = 0; token < 64; ++token) {
        const auto delay = admission_policy::retryAfter(input, token);
        BOOST_CHECK(delay <= milliseconds(500));
        delays.insert(delay.count());
    }
    BOOST_CHECK_GT(delays.size(), 20U);
}

BOOST_AUTO_TEST_CASE(rate_pacer_lets_through_no_more_than_its_rate_in_any_window)
{
    constexpr double RATE = 5.0;
    constexpr milliseconds WINDOW{2000};
    rate_pacer pacer(RATE, START);
    std::deque<instant> sent;
    std::size_t total = 0;
    for (auto now = START; now < START + milliseconds(20000); now += milliseconds(7)) {
        // Pauses must not be made up for.
        const bool isPaused = (now - START) % milliseconds(5000) > milliseconds(3000);
        if (isPaused || now < pacer.readyAt())
            continue;
        pacer.consume(now);
        sent.push_back(now);
        ++total;
        while (now - sent.front() >= WINDOW)
            sent.pop_front();
        BOOST_CHECK_LE(sent.size(), 2 * RATE + rate_pacer::BURST);
    }
    BOOST_CHECK_GE(total, 50U);
}

BOOST_AUTO_TEST_CASE(requests_beyond_the_rate_limit_go_elsewhere_or_are_rejected_at_once)
{
    service_dispatcher dispatcher({}, nullptr);
    auto targets = makeTargets(2);
    targets[0].rateLimit = 1.0;
    dispatcher.setTargets(targets, START);
    dispatch_decisions decisions;
    for (request_token token = 1; token <= 4; ++token) {
        dispatcher.enqueue(makeRequest(token, START, milliseconds(400), milliseconds(1000)), START,
                           decisions);
        dispatcher.complete({token, run_result::Answered, milliseconds(10), std::nullopt}, START,
                            decisions);
    }
    const auto limitedCount = std::count_if(decisions.begin(), decisions.end(),
                                            [](const auto &item) { return item.target == "t0"; });
    BOOST_CHECK_EQUAL(decisions.size(), 4U);
    BOOST_CHECK_LE(limitedCount, 1);
    BOOST_CHECK_EQUAL(dispatcher.throughputOf("t0", START), 1.0);
}
