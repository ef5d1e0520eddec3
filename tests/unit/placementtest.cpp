#define BOOST_TEST_MODULE placement
#include "clementinebeam/placement/answerpatience.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant START{seconds(100)};

/// @return when messages are sent to a coordinator that does not answer, and when it counts as
/// silent, since the first one.
std::vector<milliseconds> timesOf(milliseconds objective)
{
    std::vector<milliseconds> times{milliseconds(0)};
    auto now = START;
    for (std::uint32_t unanswered = 1; !answer_patience::isExhausted(START + objective, START, now);
         ++unanswered) {
        now += answer_patience::nextDelay(START + objective, START, unanswered, now);
        times.push_back(std::chrono::duration_cast<milliseconds>(now - START));
    }
    return times;
}

std::vector<milliseconds> listOf(std::initializer_list<int> values)
{
    std::vector<milliseconds> times;
    for (const auto value : values)
        times.emplace_back(value);
    return times;
}

} // namespace

// A coordinator was lost: urgent requests have to be placed without it soon.
BOOST_AUTO_TEST_CASE(silent_coordinator_is_given_up_sooner_for_urgent_requests)
{
    BOOST_CHECK(timesOf(milliseconds(250)) == listOf({0, 45, 135}));
    BOOST_CHECK(timesOf(milliseconds(600)) == listOf({0, 45, 135, 200}));
    BOOST_CHECK(timesOf(milliseconds(0)) == listOf({0, 45, 135}));
}

// An answer of 90 KB fills a link of 10 Mbit/s for 70 ms, and a few may follow each other.
BOOST_AUTO_TEST_CASE(answers_may_be_late_behind_large_ones)
{
    BOOST_CHECK(timesOf(milliseconds(3000)) == listOf({0, 45, 135, 250}));
}
