#define BOOST_TEST_MODULE candidacy
#include "internal/candidacy.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

constexpr double SMALL_SHARE = 0.1;
constexpr double LARGE_SHARE = 0.5;
constexpr double FAST_LINK_MBPS = 200.0;
constexpr double SLOW_LINK_MBPS = 10.0;
const instant START{std::chrono::seconds(100)};

} // namespace

BOOST_AUTO_TEST_CASE(large_instances_are_candidates_at_start)
{
    candidacy decision(LARGE_SHARE, FAST_LINK_MBPS);
    BOOST_CHECK(decision.shouldBeCandidate(false, false, START));
}

// Guards against a coordinator whose datagrams wait behind ownership records on a slow link: all
// other instances took it for silent once a second.
BOOST_AUTO_TEST_CASE(instances_on_a_slow_link_are_no_candidates_at_start)
{
    candidacy decision(LARGE_SHARE, SLOW_LINK_MBPS);
    BOOST_CHECK(!decision.isLarge());
    BOOST_CHECK(!decision.shouldBeCandidate(false, false, START));
}

// Guards against one of the smallest instances that takes all services over when all large ones are
// lost, while others lack only a fast link: it sent requests on 0.6 s after their callers had left.
BOOST_AUTO_TEST_CASE(instances_on_a_slow_link_take_over_before_small_ones)
{
    candidacy slowLink(LARGE_SHARE, SLOW_LINK_MBPS);
    candidacy small(SMALL_SHARE, SLOW_LINK_MBPS);
    for (milliseconds time(0); time < milliseconds(2500); time += milliseconds(100)) {
        for (auto *decision : {&slowLink, &small})
            decision->noteMissing("orders", START + time);
        BOOST_CHECK_EQUAL(slowLink.shouldBeCandidate(false, false, START + time),
                          time >= milliseconds(2000));
        BOOST_CHECK(!small.shouldBeCandidate(false, false, START + time));
    }
}

// Of a hundred large instances only eight hold one of the eight parts. The others must leave the
// group, as membership costs two calls to the store a second.
BOOST_AUTO_TEST_CASE(large_instances_without_a_part_leave_the_group)
{
    candidacy holder(LARGE_SHARE, FAST_LINK_MBPS);
    candidacy other(LARGE_SHARE, FAST_LINK_MBPS);
    for (milliseconds time(0); time <= milliseconds(60000); time += milliseconds(500)) {
        BOOST_CHECK(holder.shouldBeCandidate(false, true, START + time));
        BOOST_CHECK_EQUAL(other.shouldBeCandidate(false, false, START + time),
                          time < milliseconds(5000));
    }
}

BOOST_AUTO_TEST_CASE(large_instances_rejoin_when_a_takeover_takes_too_long)
{
    candidacy decision(LARGE_SHARE, FAST_LINK_MBPS);
    decision.shouldBeCandidate(false, false, START);
    const auto loss = START + milliseconds(20000);
    BOOST_CHECK(!decision.shouldBeCandidate(false, false, loss));
    for (milliseconds time(0); time <= milliseconds(3000); time += milliseconds(100)) {
        decision.noteMissing("orders", loss + time);
        // Members of the group have 1.6 s to claim; small instances become candidates only after
        // 2.5 s.
        BOOST_CHECK_EQUAL(decision.shouldBeCandidate(false, false, loss + time),
                          time >= milliseconds(1600));
    }
}

BOOST_AUTO_TEST_CASE(small_instances_leave_takeovers_to_larger_ones)
{
    // A coordinator is lost; a larger candidate answers two seconds later.
    candidacy decision(SMALL_SHARE, FAST_LINK_MBPS);
    for (milliseconds time(0); time <= milliseconds(2000); time += milliseconds(100)) {
        decision.noteMissing("orders", START + time);
        BOOST_CHECK(!decision.shouldBeCandidate(false, false, START + time));
    }
    decision.noteAnswer("orders");
    decision.noteMissing("orders", START + milliseconds(3000));
    BOOST_CHECK(!decision.shouldBeCandidate(false, false, START + milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(small_instances_are_candidates_when_no_larger_one_is_left)
{
    candidacy decision(SMALL_SHARE, FAST_LINK_MBPS);
    for (milliseconds time(0); time <= milliseconds(3000); time += milliseconds(100))
        decision.noteMissing("orders", START + time);
    BOOST_CHECK(decision.shouldBeCandidate(false, false, START + milliseconds(3000)));
    // It stays a candidate while it coordinates, and for a while after that.
    BOOST_CHECK(decision.shouldBeCandidate(true, false, START + milliseconds(60000)));
    BOOST_CHECK(decision.shouldBeCandidate(false, false, START + milliseconds(64000)));
    BOOST_CHECK(!decision.shouldBeCandidate(false, false, START + milliseconds(66000)));
}

BOOST_AUTO_TEST_CASE(isolated_missing_reports_do_not_add_up)
{
    candidacy decision(SMALL_SHARE, FAST_LINK_MBPS);
    for (milliseconds time(0); time <= milliseconds(30000); time += milliseconds(3000)) {
        decision.noteMissing("orders", START + time);
        BOOST_CHECK(!decision.shouldBeCandidate(false, false, START + time));
    }
}

BOOST_AUTO_TEST_CASE(missing_coordinators_are_tracked_per_service)
{
    candidacy decision(SMALL_SHARE, FAST_LINK_MBPS);
    for (milliseconds time(0); time <= milliseconds(3000); time += milliseconds(100)) {
        decision.noteMissing("orders", START + time);
        decision.noteAnswer("catalogue");
    }
    BOOST_CHECK(decision.shouldBeCandidate(false, false, START + milliseconds(3000)));
}
