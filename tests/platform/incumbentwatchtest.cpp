#include "internal/incumbentwatch.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;
using verdict = incumbent_watch::verdict;

namespace {

const instant START{std::chrono::seconds(100)};
constexpr std::uint64_t TERM = 7;

instant after(int milliseconds)
{
    return START + std::chrono::milliseconds(milliseconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(incumbents)

BOOST_AUTO_TEST_CASE(coordinator_that_answers_stays_however_often_responsibility_moves)
{
    incumbent_watch watch;
    BOOST_CHECK(watch.judge("orders", TERM, false, START) == verdict::Ask);
    for (int time = 100; time < 10000; time += 400) {
        watch.noteAnswer("orders", after(time));
        BOOST_CHECK(watch.judge("orders", TERM, false, after(time + 50)) == verdict::Keep);
    }
}

BOOST_AUTO_TEST_CASE(silent_coordinator_is_asked_once_and_then_replaced)
{
    incumbent_watch watch;
    BOOST_CHECK(watch.judge("orders", TERM, false, START) == verdict::Ask);
    BOOST_CHECK(watch.judge("orders", TERM, false, after(100)) == verdict::Keep);
    const auto patience = static_cast<int>(incumbent_watch::PATIENCE.count());
    BOOST_CHECK(watch.judge("orders", TERM, false, after(patience)) == verdict::Claim);
}

BOOST_AUTO_TEST_CASE(coordinator_that_requests_found_silent_is_replaced_at_once)
{
    incumbent_watch watch;
    BOOST_CHECK(watch.judge("orders", TERM, true, START) == verdict::Claim);
}

BOOST_AUTO_TEST_CASE(coordinator_that_is_leaving_is_replaced_at_once)
{
    incumbent_watch watch;
    watch.judge("orders", TERM, false, START);
    watch.noteAnswer("orders", after(10));
    watch.noteYielding("orders");
    BOOST_CHECK(watch.judge("orders", TERM, false, after(20)) == verdict::Claim);
    // Its successor is judged anew.
    BOOST_CHECK(watch.judge("orders", TERM + 1, false, after(30)) == verdict::Ask);
}

BOOST_AUTO_TEST_CASE(old_answers_prove_nothing)
{
    incumbent_watch watch;
    watch.judge("orders", TERM, false, START);
    watch.noteAnswer("orders", after(10));
    BOOST_CHECK(watch.judge("orders", TERM, false, after(1000)) == verdict::Ask);
}

BOOST_AUTO_TEST_SUITE_END()
