#define BOOST_TEST_MODULE ownership
#include "clementinebeam/kernel/binarycodec.h"
#include "clementinebeam/ownership/ownershipreplay.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;

namespace {

const shard_id ORDERS{"orders", 0};
const shard_id BILLING{"billing", 0};
const incarnation_id FIRST{"i1", 1};
const incarnation_id SECOND{"i2", 2};
const incarnation_id THIRD{"i3", 3};

ownership_record claim(const shard_id &shard, term_number previous, const incarnation_id &leader,
                       const incarnation_id &standby)
{
    return {{}, leader.instance, claim_record{shard, previous, leader, standby}};
}

ownership_record move(const shard_id &shard, term_number term, slot_index slot, epoch_number epoch,
                      const target_id &owner)
{
    return {{}, "", move_record{shard, term, {{slot, epoch, owner, move_cause::Rebalance}}}};
}

/// Applies the records, the first one at offset 0.
ownership_replay replayOf(const std::vector<ownership_record> &records)
{
    ownership_replay replay;
    log_offset offset = 0;
    for (const auto &record : records)
        replay.apply(offset++, record);
    return replay;
}

} // namespace

BOOST_AUTO_TEST_CASE(first_claim_of_a_term_wins)
{
    const auto replay = replayOf({claim(ORDERS, 0, FIRST, {}), claim(ORDERS, 0, SECOND, {})});
    BOOST_TEST(replay.find(ORDERS)->leader.instance == "i1");
    BOOST_TEST(replay.find(ORDERS)->term == 1U);
}

BOOST_AUTO_TEST_CASE(void_claim_does_not_create_a_shard)
{
    const auto replay = replayOf({claim(ORDERS, 5, FIRST, {})});
    BOOST_TEST(replay.find(ORDERS)->term == 0U);
    BOOST_TEST(replay.shards().empty());
}

BOOST_AUTO_TEST_CASE(move_is_applied_only_in_the_current_term_and_epoch)
{
    ownership_replay replay = replayOf({claim(ORDERS, 0, FIRST, SECOND)});
    BOOST_CHECK(replay.apply(1, move(ORDERS, 1, 3, 0, "t1")) == replay_verdict::Applied);
    BOOST_CHECK(replay.apply(2, move(ORDERS, 1, 3, 0, "t2")) == replay_verdict::Void);
    BOOST_CHECK(replay.apply(3, claim(ORDERS, 1, SECOND, FIRST)) == replay_verdict::Applied);
    BOOST_CHECK(replay.apply(4, move(ORDERS, 1, 3, 2, "t2")) == replay_verdict::Void);
    BOOST_CHECK(replay.apply(5, move(ORDERS, 4, 3, 2, "t2")) == replay_verdict::Applied);
    const auto &slot = replay.find(ORDERS)->slots[3];
    BOOST_TEST(slot.owner == "t2");
    BOOST_TEST(slot.previous == "t1");
    BOOST_TEST(slot.epoch == 6U);
}

BOOST_AUTO_TEST_CASE(second_copy_of_a_record_is_void)
{
    ownership_replay replay = replayOf({claim(ORDERS, 0, FIRST, SECOND)});
    const auto record = move(ORDERS, 1, 0, 0, "t1");
    BOOST_CHECK(replay.apply(1, record) == replay_verdict::Applied);
    BOOST_CHECK(replay.apply(2, record) == replay_verdict::Void);
    BOOST_TEST(replay.find(ORDERS)->slots[0].epoch == 2U);
}

BOOST_AUTO_TEST_CASE(move_outside_the_slot_range_is_ignored)
{
    ownership_replay replay = replayOf({claim(ORDERS, 0, FIRST, {})});
    replay.apply(1, move(ORDERS, 1, ownership_replay::MAX_SLOTS, 0, "t1"));
    BOOST_TEST(replay.find(ORDERS)->slots.empty());
}

BOOST_AUTO_TEST_CASE(earlier_leaderships_are_kept_until_they_are_settled)
{
    ownership_replay replay = replayOf({
            claim(ORDERS, 0, FIRST, SECOND),
            claim(ORDERS, 1, SECOND, THIRD), // the standby took over
            claim(ORDERS, 2, FIRST, THIRD),  // another instance claimed
    });
    const auto &earlier = replay.find(ORDERS)->earlier;
    BOOST_REQUIRE(earlier.size() == 2U);
    BOOST_TEST(earlier[0].standbyTookOver);
    BOOST_TEST(!earlier[1].standbyTookOver);
    replay.apply(3, {{}, "i1", settled_record{ORDERS, 3, false}});
    BOOST_TEST(replay.find(ORDERS)->earlier.empty());
}

BOOST_AUTO_TEST_CASE(replay_from_a_checkpoint_gives_the_same_state_as_replay_from_the_beginning)
{
    const std::vector<ownership_record> records{
            claim(ORDERS, 0, FIRST, SECOND),  move(ORDERS, 1, 0, 0, "t1"),
            claim(BILLING, 0, SECOND, FIRST), move(ORDERS, 1, 0, 2, "t2"),
            move(ORDERS, 1, 1, 0, "t1"),
    };
    ownership_replay whole = replayOf(records);
    const ownership_record ordersCheckpoint{{}, "i1", whole.checkpoint(ORDERS)};
    const ownership_record billingCheckpoint{{}, "i1", whole.checkpoint(BILLING)};
    const auto late = move(ORDERS, 1, 1, 5, "t2");
    whole.apply(5, late);
    whole.apply(6, ordersCheckpoint);
    whole.apply(7, billingCheckpoint);

    ownership_replay partial;
    partial.restart(3); // The log no longer has the first three records.
    partial.apply(3, records[3]);
    partial.apply(4, records[4]);
    partial.apply(5, late);
    BOOST_TEST(partial.find(ORDERS) == nullptr);
    partial.apply(6, ordersCheckpoint);
    partial.apply(7, billingCheckpoint);
    BOOST_TEST(encodeBinary(*partial.find(ORDERS)) == encodeBinary(*whole.find(ORDERS)));
    BOOST_TEST(encodeBinary(*partial.find(BILLING)) == encodeBinary(*whole.find(BILLING)));
}

BOOST_AUTO_TEST_CASE(checkpoint_that_does_not_reach_the_first_retained_record_is_void)
{
    ownership_replay whole = replayOf({claim(ORDERS, 0, FIRST, SECOND)});
    const ownership_record checkpoint{{}, "i1", whole.checkpoint(ORDERS)};
    ownership_replay partial;
    partial.restart(5); // Neither the log nor the checkpoint has records 1 to 4.
    BOOST_CHECK(partial.apply(5, checkpoint) == replay_verdict::Void);
    BOOST_TEST(partial.find(ORDERS) == nullptr);
}

BOOST_AUTO_TEST_CASE(shard_claimed_after_a_checkpoint_is_known_from_its_shard_list)
{
    ownership_replay whole = replayOf({claim(ORDERS, 0, FIRST, SECOND)});
    const ownership_record checkpoint{{}, "i1", whole.checkpoint(ORDERS)};
    ownership_replay partial;
    partial.restart(1);
    partial.apply(1, claim(BILLING, 0, SECOND, FIRST));
    partial.apply(2, checkpoint);
    BOOST_REQUIRE(partial.find(BILLING) != nullptr);
    BOOST_TEST(partial.find(BILLING)->leader.instance == "i2");
}

BOOST_AUTO_TEST_CASE(replay_continues_from_the_state_of_a_peer)
{
    ownership_replay whole =
            replayOf({claim(ORDERS, 0, FIRST, SECOND), move(ORDERS, 1, 0, 0, "t1")});
    ownership_replay adopted;
    adopted.adopt(1, {*whole.find(ORDERS)});
    BOOST_TEST(adopted.nextOffset() == 2U);
    const auto next = move(ORDERS, 1, 0, 2, "t2");
    whole.apply(2, next);
    adopted.apply(2, next);
    BOOST_TEST(encodeBinary(*adopted.find(ORDERS)) == encodeBinary(*whole.find(ORDERS)));
}
