#include "internal/takeoverpolicy.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;
using action = takeover_policy::action;

namespace {

const instant START{std::chrono::seconds(100)};
constexpr std::uint64_t TERM = 7;

instant after(int milliseconds)
{
    return START + std::chrono::milliseconds(milliseconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(takeover)

BOOST_AUTO_TEST_CASE(coordinator_that_answers_is_kept)
{
    takeover_policy policy;
    BOOST_CHECK(policy.decide("orders", TERM, false, START) == action::Query);
    for (int time = 100; time < 10000; time += 400) {
        policy.noteAnswer("orders", after(time));
        BOOST_CHECK(policy.decide("orders", TERM, false, after(time + 50)) == action::Keep);
    }
}

BOOST_AUTO_TEST_CASE(silent_coordinator_is_queried_once_and_then_replaced)
{
    takeover_policy policy;
    BOOST_CHECK(policy.decide("orders", TERM, false, START) == action::Query);
    BOOST_CHECK(policy.decide("orders", TERM, false, after(100)) == action::Keep);
    const auto timeout = static_cast<int>(takeover_policy::ANSWER_TIMEOUT.count());
    BOOST_CHECK(policy.decide("orders", TERM, false, after(timeout)) == action::Claim);
}

BOOST_AUTO_TEST_CASE(coordinator_that_requests_found_silent_is_replaced_at_once)
{
    takeover_policy policy;
    BOOST_CHECK(policy.decide("orders", TERM, true, START) == action::Claim);
}

BOOST_AUTO_TEST_CASE(coordinator_that_is_leaving_is_replaced_at_once)
{
    takeover_policy policy;
    policy.decide("orders", TERM, false, START);
    policy.noteAnswer("orders", after(10));
    policy.noteReplaceable("orders");
    BOOST_CHECK(policy.decide("orders", TERM, false, after(20)) == action::Claim);
    // What was recorded of it does not apply to its successor.
    BOOST_CHECK(policy.decide("orders", TERM + 1, false, after(30)) == action::Query);
}

BOOST_AUTO_TEST_CASE(old_answers_expire)
{
    takeover_policy policy;
    policy.decide("orders", TERM, false, START);
    policy.noteAnswer("orders", after(10));
    BOOST_CHECK(policy.decide("orders", TERM, false, after(1000)) == action::Query);
}

BOOST_AUTO_TEST_SUITE_END()
