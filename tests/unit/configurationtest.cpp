#define BOOST_TEST_MODULE configuration
#include "clementinebeam/configuration/configurationreplay.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;

namespace {

const char *const ADD_SERVICE_PATCH = R"({"services": {"orders": {"department": "d", "slots": 8,
    "kinds": {"order": {"idempotent": false}}}}})";

patch_record makePatch(std::uint64_t id, version_number base, const std::string &text)
{
    return {{id, 0}, base, "d", "a", 0, text};
}

std::string weightPatch(int weight)
{
    return R"({"services": {"orders": {"kinds": {"order": {"weight": )" + std::to_string(weight)
            + "}}}}}";
}

struct replay_fixture {
    configuration_replay replay;
    log_offset offset = 0;

    patch_verdict submit(const patch_record &record)
    {
        replay.apply(offset++, record);
        return replay.history().back().verdict;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_replay_suite, replay_fixture)

BOOST_AUTO_TEST_CASE(first_valid_patch_of_a_version_is_accepted)
{
    BOOST_CHECK(submit(makePatch(1, 0, ADD_SERVICE_PATCH)) == patch_verdict::Accepted);
    BOOST_CHECK(submit(makePatch(2, 1, weightPatch(5))) == patch_verdict::Accepted);
    BOOST_CHECK(submit(makePatch(3, 1, weightPatch(9))) == patch_verdict::Conflict);
    BOOST_TEST(replay.current()->version == 2U);
    BOOST_TEST(replay.current()->routing.services.at("orders").kinds.at("order").weight == 5.0);
    BOOST_TEST(replay.history().back().touchedPaths.front()
               == "services.orders.kinds.order.weight");
}

BOOST_AUTO_TEST_CASE(invalid_patch_does_not_use_up_the_version)
{
    submit(makePatch(1, 0, ADD_SERVICE_PATCH));
    BOOST_CHECK(submit(makePatch(2, 1, weightPatch(-5))) == patch_verdict::Invalid);
    BOOST_CHECK(submit(makePatch(3, 1, "not json")) == patch_verdict::Invalid);
    BOOST_CHECK(submit(makePatch(4, 1, "[]")) == patch_verdict::Invalid);
    BOOST_TEST(replay.current()->version == 1U);
    BOOST_CHECK(submit(makePatch(5, 1, weightPatch(2))) == patch_verdict::Accepted);
}

BOOST_AUTO_TEST_CASE(duplicate_of_a_patch_record_changes_nothing)
{
    submit(makePatch(1, 0, ADD_SERVICE_PATCH));
    submit(makePatch(1, 0, ADD_SERVICE_PATCH));
    BOOST_TEST(replay.current()->version == 1U);
    BOOST_REQUIRE(replay.find({1, 0}) != nullptr);
    BOOST_CHECK(replay.find({1, 0})->verdict == patch_verdict::Accepted);
}

BOOST_AUTO_TEST_CASE(slots_and_shards_cannot_change)
{
    submit(makePatch(1, 0, ADD_SERVICE_PATCH));
    BOOST_CHECK(submit(makePatch(2, 1, R"({"services": {"orders": {"slots": 16}}})"))
                == patch_verdict::Invalid);
    BOOST_CHECK(submit(makePatch(3, 1, R"({"services": {"orders": {"shards": 2}}})"))
                == patch_verdict::Invalid);
    BOOST_TEST(replay.history().back().problems.front().path == "services.orders.shards");
}

BOOST_AUTO_TEST_CASE(replay_from_a_checkpoint_equals_replay_from_the_beginning)
{
    submit(makePatch(1, 0, ADD_SERVICE_PATCH));
    submit(makePatch(2, 1, weightPatch(5)));
    const auto checkpoint = replay.checkpoint();
    const auto lastPatch = makePatch(3, 2, weightPatch(6));
    submit(lastPatch);

    configuration_replay restarted;
    restarted.restart(2);
    BOOST_TEST(!restarted.isKnown());
    restarted.apply(2, lastPatch);
    restarted.apply(3, checkpoint);
    BOOST_TEST(restarted.isKnown());
    BOOST_TEST(restarted.current()->version == 3U);
    BOOST_TEST(restarted.current()->document == replay.current()->document);
}

BOOST_AUTO_TEST_CASE(checkpoint_that_misses_records_is_not_used)
{
    submit(makePatch(1, 0, ADD_SERVICE_PATCH));
    const auto checkpoint = replay.checkpoint();
    configuration_replay restarted;
    restarted.restart(5);
    restarted.apply(5, checkpoint);
    BOOST_TEST(!restarted.isKnown());
}

BOOST_AUTO_TEST_CASE(exactly_one_of_two_concurrent_patches_is_accepted)
{
    submit(makePatch(1, 0, ADD_SERVICE_PATCH));
    for (std::uint64_t round = 1; round <= 1000; ++round) {
        const auto base = replay.current()->version;
        const bool first =
                submit(makePatch(round * 10, base, weightPatch(1))) == patch_verdict::Accepted;
        const bool second =
                submit(makePatch(round * 10 + 1, base, weightPatch(2))) == patch_verdict::Accepted;
        BOOST_REQUIRE(first != second);
        BOOST_REQUIRE(replay.current()->version == base + 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
