#define BOOST_TEST_MODULE candidacy
#include "internal/candidacy.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

constexpr double SMALL_SHARE = 0.1;
constexpr double LARGE_SHARE = 0.5;
const instant START{std::chrono::seconds(100)};

} // namespace

BOOST_AUTO_TEST_CASE(large_instances_stand_at_once)
{
    candidacy decision(LARGE_SHARE);
    BOOST_CHECK(decision.shouldStand(false, false, START));
}

// Of a hundred large instances eight hold the eight parts; the others paid two joins a second each
// (dispensa-gw-large quiet-1).
BOOST_AUTO_TEST_CASE(large_instances_without_a_part_rest)
{
    candidacy holder(LARGE_SHARE);
    candidacy other(LARGE_SHARE);
    for (milliseconds time(0); time <= milliseconds(60000); time += milliseconds(500)) {
        BOOST_CHECK(holder.shouldStand(false, true, START + time));
        BOOST_CHECK_EQUAL(other.shouldStand(false, false, START + time), time < milliseconds(5000));
    }
}

BOOST_AUTO_TEST_CASE(resting_large_instances_stand_when_a_takeover_takes_too_long)
{
    candidacy decision(LARGE_SHARE);
    decision.shouldStand(false, false, START);
    const auto loss = START + milliseconds(20000);
    BOOST_CHECK(!decision.shouldStand(false, false, loss));
    for (milliseconds time(0); time <= milliseconds(3000); time += milliseconds(100)) {
        decision.noteMissing("orders", loss + time);
        // The members of the group have 1.6 s to claim, before small instances stand after 2.5 s.
        BOOST_CHECK_EQUAL(decision.shouldStand(false, false, loss + time),
                          time >= milliseconds(1600));
    }
}

BOOST_AUTO_TEST_CASE(small_instances_leave_takeovers_to_larger_ones)
{
    // A coordinator is lost; a larger candidate answers two seconds later.
    candidacy decision(SMALL_SHARE);
    for (milliseconds time(0); time <= milliseconds(2000); time += milliseconds(100)) {
        decision.noteMissing("orders", START + time);
        BOOST_CHECK(!decision.shouldStand(false, false, START + time));
    }
    decision.noteAnswer("orders");
    decision.noteMissing("orders", START + milliseconds(3000));
    BOOST_CHECK(!decision.shouldStand(false, false, START + milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(small_instances_stand_when_no_larger_one_is_left)
{
    candidacy decision(SMALL_SHARE);
    for (milliseconds time(0); time <= milliseconds(3000); time += milliseconds(100))
        decision.noteMissing("orders", START + time);
    BOOST_CHECK(decision.shouldStand(false, false, START + milliseconds(3000)));
    // It stays while it coordinates, and for a while after that.
    BOOST_CHECK(decision.shouldStand(true, false, START + milliseconds(60000)));
    BOOST_CHECK(decision.shouldStand(false, false, START + milliseconds(64000)));
    BOOST_CHECK(!decision.shouldStand(false, false, START + milliseconds(66000)));
}

BOOST_AUTO_TEST_CASE(single_silences_far_apart_are_no_absence)
{
    candidacy decision(SMALL_SHARE);
    for (milliseconds time(0); time <= milliseconds(30000); time += milliseconds(3000)) {
        decision.noteMissing("orders", START + time);
        BOOST_CHECK(!decision.shouldStand(false, false, START + time));
    }
}

BOOST_AUTO_TEST_CASE(absences_of_services_are_told_apart)
{
    candidacy decision(SMALL_SHARE);
    for (milliseconds time(0); time <= milliseconds(3000); time += milliseconds(100)) {
        decision.noteMissing("orders", START + time);
        decision.noteAnswer("catalogue");
    }
    BOOST_CHECK(decision.shouldStand(false, false, START + milliseconds(3000)));
}
