#define BOOST_TEST_MODULE admission
#include "clementinebeam/admission/connectionpolicy.h"
#include "clementinebeam/admission/memoryaccount.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace clementinebeam;

namespace {

constexpr std::size_t MB = 1UL << 20U;
constexpr std::size_t LIMIT = 64 * MB;

class test_claim : public memory_claim
{
public:
    explicit test_claim(const std::shared_ptr<memory_account> &account) { join(account); }

    using memory_claim::hold;
    using memory_claim::mayHandle;
    using memory_claim::tryHold;

    bool isRunning = false;
    int refusals = 0;

protected:
    void giveUp() override
    {
        ++refusals;
        hold(0);
    }
    bool mayGiveUp() const override { return !isRunning; }
    bool isHandling() const override { return isRunning; }
};

struct fixture {
    std::vector<std::unique_ptr<test_claim>> makeClaims(std::size_t count)
    {
        std::vector<std::unique_ptr<test_claim>> claims;
        for (std::size_t number = 0; number < count; ++number)
            claims.push_back(std::make_unique<test_claim>(account));
        return claims;
    }

    std::shared_ptr<memory_account> account = std::make_shared<memory_account>(LIMIT);
};

connection_summary summary(connection_stage stage, int since, std::size_t received = 0)
{
    return {stage, instant(std::chrono::milliseconds(since)), received};
}

} // namespace

BOOST_FIXTURE_TEST_CASE(one_body_may_take_the_whole_account, fixture)
{
    test_claim claim(account);
    BOOST_CHECK(claim.tryHold(LIMIT));
    BOOST_CHECK(claim.mayHandle());
    BOOST_CHECK(!claim.tryHold(LIMIT + 1));
    BOOST_CHECK_EQUAL(claim.heldBytes(), LIMIT);
}

// Load: many bodies of the same size, piece by piece, that never end.
BOOST_FIXTURE_TEST_CASE(crowd_of_equal_bodies_stays_within_the_limit, fixture)
{
    const auto crowd = makeClaims(100);
    for (std::size_t bytes = 0; bytes <= 4 * MB; bytes += 65536) {
        for (const auto &claim : crowd) {
            if (!claim->tryHold(bytes))
                claim->hold(0);
            BOOST_REQUIRE_LE(account->used(), LIMIT);
        }
    }
    test_claim small(account);
    BOOST_CHECK(small.tryHold(1000));
    BOOST_CHECK_EQUAL(small.refusals, 0);
}

BOOST_FIXTURE_TEST_CASE(larger_request_gives_way_to_a_smaller_one_and_not_the_other_way, fixture)
{
    const auto claims = makeClaims(2);
    BOOST_CHECK(claims[0]->tryHold(60 * MB));
    BOOST_CHECK(claims[1]->tryHold(4 * MB));
    test_claim late(account);
    BOOST_CHECK(!late.tryHold(61 * MB));
    BOOST_CHECK_EQUAL(claims[0]->refusals, 0);
    BOOST_CHECK(late.tryHold(5 * MB));
    BOOST_CHECK_EQUAL(claims[0]->refusals, 1);
    BOOST_CHECK_EQUAL(claims[1]->refusals, 0);
}

// A request that may run keeps its bytes, and is never refused afterwards.
BOOST_FIXTURE_TEST_CASE(running_requests_are_kept_and_leave_a_quarter_to_others, fixture)
{
    const auto claims = makeClaims(10);
    std::size_t running = 0;
    for (const auto &claim : claims) {
        BOOST_REQUIRE(claim->tryHold(10 * MB) || running > 0);
        claim->isRunning = claim->mayHandle();
        if (claim->isRunning)
            ++running;
        else
            claim->hold(0);
    }
    BOOST_CHECK_EQUAL(running, 4U);
    test_claim small(account);
    BOOST_CHECK(small.tryHold(65536));
    BOOST_CHECK(small.mayHandle());
    for (const auto &claim : claims)
        BOOST_CHECK_EQUAL(claim->refusals, 0);
}

BOOST_FIXTURE_TEST_CASE(answers_of_targets_push_out_incomplete_requests, fixture)
{
    test_claim claim(account);
    BOOST_CHECK(claim.tryHold(40 * MB));
    BOOST_CHECK(account->tryTake(30 * MB));
    BOOST_CHECK_EQUAL(claim.refusals, 1);
    BOOST_CHECK(!account->tryTake(40 * MB));
    account->giveBack(30 * MB);
    BOOST_CHECK_EQUAL(account->used(), 0U);
}

BOOST_FIXTURE_TEST_CASE(bytes_of_a_claim_that_ends_are_given_back, fixture)
{
    {
        test_claim claim(account);
        claim.hold(LIMIT);
    }
    BOOST_CHECK_EQUAL(account->used(), 0U);
}

BOOST_AUTO_TEST_CASE(longest_idle_connection_closes_first)
{
    const instant now(std::chrono::milliseconds(1000));
    const std::vector<connection_summary> connections{
            summary(connection_stage::Receiving, 100, 1), summary(connection_stage::Idle, 500),
            summary(connection_stage::Idle, 300), summary(connection_stage::Handling, 0)};
    BOOST_CHECK(connectionToClose(connections, now) == std::size_t(2));
}

BOOST_AUTO_TEST_CASE(connection_that_has_sent_least_for_its_age_closes_next)
{
    const instant now(std::chrono::milliseconds(1000));
    const std::vector<connection_summary> connections{
            summary(connection_stage::Receiving, 0, 1000),
            summary(connection_stage::Receiving, 900, 200), summary(connection_stage::Sending, 0)};
    BOOST_CHECK(connectionToClose(connections, now) == std::size_t(0));
    BOOST_CHECK(!connectionToClose({summary(connection_stage::Handling, 0)}, now));
    BOOST_CHECK(!connectionToClose({}, now));
}

// Load: callers on all connections ask for answers that they don't read.
BOOST_AUTO_TEST_CASE(answer_that_is_not_read_for_longest_gives_way_if_nothing_else_does)
{
    const instant now(std::chrono::milliseconds(10000));
    const std::vector<connection_summary> connections{
            summary(connection_stage::Sending, 6001), summary(connection_stage::Sending, 5000),
            summary(connection_stage::Sending, 3000), summary(connection_stage::Handling, 0)};
    BOOST_CHECK(connectionToClose(connections, now) == std::size_t(2));
    BOOST_CHECK(!connectionToClose({connections[0], connections[3]}, now));
    auto withIdle = connections;
    withIdle.push_back(summary(connection_stage::Idle, 9999));
    BOOST_CHECK(connectionToClose(withIdle, now) == std::size_t(4));
}

BOOST_AUTO_TEST_CASE(descriptors_are_left_for_targets_peers_and_store)
{
    for (const std::size_t descriptors : {64U, 256U, 1024U, 3075U, 10250U}) {
        const auto shares = shareDescriptors(descriptors);
        BOOST_CHECK_LE(shares.callers + 2 * shares.observers, descriptors * 7 / 8);
        BOOST_CHECK_GE(shares.callers, descriptors / 2);
    }
}
