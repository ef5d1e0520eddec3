#define BOOST_TEST_MODULE configuration
#include "clementinebeam/configuration/configurationreplay.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;

namespace {

const char *const SERVICE = R"({"services": {"orders": {"department": "d", "slots": 8,
    "kinds": {"order": {"idempotent": false}}}}})";

patch_record patchOf(std::uint64_t id, version_number base, const std::string &text)
{
    return {{id, 0}, base, "d", "a", 0, text};
}

std::string weightPatch(int weight)
{
    return R"({"services": {"orders": {"kinds": {"order": {"weight": )" + std::to_string(weight)
            + "}}}}}";
}

struct fixture {
    configuration_replay replay;
    log_offset offset = 0;

    patch_verdict submit(const patch_record &record)
    {
        replay.apply(offset++, record);
        return replay.history().back().verdict;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_replay_suite, fixture)

BOOST_AUTO_TEST_CASE(first_valid_patch_on_a_version_wins)
{
    BOOST_CHECK(submit(patchOf(1, 0, SERVICE)) == patch_verdict::Accepted);
    BOOST_CHECK(submit(patchOf(2, 1, weightPatch(5))) == patch_verdict::Accepted);
    BOOST_CHECK(submit(patchOf(3, 1, weightPatch(9))) == patch_verdict::Conflict);
    BOOST_TEST(replay.current()->version == 2U);
    BOOST_TEST(replay.current()->routing.services.at("orders").kinds.at("order").weight == 5.0);
    BOOST_TEST(replay.history().back().touchedPaths.front()
               == "services.orders.kinds.order.weight");
}

BOOST_AUTO_TEST_CASE(invalid_patch_leaves_the_version_free)
{
    submit(patchOf(1, 0, SERVICE));
    BOOST_CHECK(submit(patchOf(2, 1, weightPatch(-5))) == patch_verdict::Invalid);
    BOOST_CHECK(submit(patchOf(3, 1, "not json")) == patch_verdict::Invalid);
    BOOST_CHECK(submit(patchOf(4, 1, "[]")) == patch_verdict::Invalid);
    BOOST_TEST(replay.current()->version == 1U);
    BOOST_CHECK(submit(patchOf(5, 1, weightPatch(2))) == patch_verdict::Accepted);
}

BOOST_AUTO_TEST_CASE(second_copy_after_a_lost_answer_changes_nothing)
{
    submit(patchOf(1, 0, SERVICE));
    submit(patchOf(1, 0, SERVICE));
    BOOST_TEST(replay.current()->version == 1U);
    BOOST_REQUIRE(replay.find({1, 0}) != nullptr);
    BOOST_CHECK(replay.find({1, 0})->verdict == patch_verdict::Accepted);
}

BOOST_AUTO_TEST_CASE(slots_and_shards_cannot_change)
{
    submit(patchOf(1, 0, SERVICE));
    BOOST_CHECK(submit(patchOf(2, 1, R"({"services": {"orders": {"slots": 16}}})"))
                == patch_verdict::Invalid);
    BOOST_CHECK(submit(patchOf(3, 1, R"({"services": {"orders": {"shards": 2}}})"))
                == patch_verdict::Invalid);
    BOOST_TEST(replay.history().back().problems.front().path == "services.orders.shards");
}

BOOST_AUTO_TEST_CASE(start_from_a_checkpoint_equals_replay_from_the_beginning)
{
    submit(patchOf(1, 0, SERVICE));
    submit(patchOf(2, 1, weightPatch(5)));
    const auto checkpoint = replay.checkpoint();
    const auto late = patchOf(3, 2, weightPatch(6));
    submit(late);

    configuration_replay partial;
    partial.restart(2);
    BOOST_TEST(!partial.isKnown());
    partial.apply(2, late);
    partial.apply(3, checkpoint);
    BOOST_TEST(partial.isKnown());
    BOOST_TEST(partial.current()->version == 3U);
    BOOST_TEST(partial.current()->document == replay.current()->document);
}

BOOST_AUTO_TEST_CASE(checkpoint_that_misses_records_is_not_used)
{
    submit(patchOf(1, 0, SERVICE));
    const auto checkpoint = replay.checkpoint();
    configuration_replay partial;
    partial.restart(5);
    partial.apply(5, checkpoint);
    BOOST_TEST(!partial.isKnown());
}

BOOST_AUTO_TEST_CASE(exactly_one_of_a_thousand_racing_pairs_wins_each_time)
{
    submit(patchOf(1, 0, SERVICE));
    for (std::uint64_t round = 1; round <= 1000; ++round) {
        const auto base = replay.current()->version;
        const bool first =
                submit(patchOf(round * 10, base, weightPatch(1))) == patch_verdict::Accepted;
        const bool second =
                submit(patchOf(round * 10 + 1, base, weightPatch(2))) == patch_verdict::Accepted;
        BOOST_REQUIRE(first != second);
        BOOST_REQUIRE(replay.current()->version == base + 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
