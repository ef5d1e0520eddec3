#define BOOST_TEST_MODULE assignment
#include "clementinebeam/assignment/policycatalogue.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace clementinebeam;

namespace {

const std::vector<std::string> POLICIES{"bounded_load", "minimum_churn", "rendezvous"};

assignment_input makeInput(std::size_t targets, slot_index slots)
{
    assignment_input input;
    for (std::size_t index = 0; index < targets; ++index)
        input.targets.push_back({"t" + std::to_string(index), 1.0, true, false});
    for (slot_index slot = 0; slot < slots; ++slot)
        input.slots.push_back({slot, "", 0.0, true});
    return input;
}

void applyMoves(assignment_input &input, const std::vector<planned_move> &moves)
{
    for (const auto &move : moves)
        input.slots[move.slot].owner = move.owner;
}

std::map<target_id, int> countSlots(const assignment_input &input)
{
    std::map<target_id, int> counts;
    for (const auto &slot : input.slots)
        ++counts[slot.owner];
    return counts;
}

std::unique_ptr<i_assignment_policy> create(const std::string &name)
{
    return policy_catalogue::instance().create(name, {});
}

} // namespace

BOOST_AUTO_TEST_CASE(all_policies_register_themselves)
{
    BOOST_TEST(policy_catalogue::instance().names() == POLICIES, boost::test_tools::per_element());
    BOOST_TEST(create("no such policy") == nullptr);
}

BOOST_DATA_TEST_CASE(every_slot_is_placed_on_an_available_target, POLICIES, name)
{
    auto input = makeInput(5, 100);
    input.targets[2].available = false;
    applyMoves(input, create(name)->plan(input));
    const auto counts = countSlots(input);
    BOOST_TEST(!counts.contains(""));
    BOOST_TEST(!counts.contains("t2"));
}

BOOST_DATA_TEST_CASE(loss_of_a_target_moves_all_of_its_slots, POLICIES, name)
{
    auto input = makeInput(5, 100);
    const auto policy = create(name);
    applyMoves(input, policy->plan(input));
    input.targets[0].available = false;
    const auto moves = policy->plan(input);
    for (const auto &move : moves) {
        BOOST_TEST(input.slots[move.slot].owner == "t0");
        BOOST_CHECK(move.cause == move_cause::TargetLost);
    }
    applyMoves(input, moves);
    BOOST_TEST(!countSlots(input).contains("t0"));
}

BOOST_DATA_TEST_CASE(slot_with_a_move_in_progress_is_not_moved, POLICIES, name)
{
    auto input = makeInput(3, 10);
    input.slots[4].movable = false;
    for (const auto &move : create(name)->plan(input))
        BOOST_TEST(move.slot != 4U);
}

BOOST_DATA_TEST_CASE(nothing_is_planned_without_an_available_target, POLICIES, name)
{
    auto input = makeInput(2, 10);
    input.targets[0].available = false;
    input.targets[1].available = false;
    BOOST_TEST(create(name)->plan(input).empty());
}

BOOST_AUTO_TEST_CASE(bounded_load_limits_the_slots_of_each_target)
{
    auto input = makeInput(4, 100);
    applyMoves(input, create("bounded_load")->plan(input));
    for (const auto &[target, count] : countSlots(input))
        BOOST_TEST(count <= 32); // 100 / 4 * 1.25, rounded up
}

BOOST_AUTO_TEST_CASE(minimum_churn_plans_no_moves_between_its_thresholds)
{
    auto input = makeInput(2, 10);
    const auto policy = create("minimum_churn");
    applyMoves(input, policy->plan(input));
    for (auto &slot : input.slots)
        slot.load = slot.owner == "t0" ? 1.2 : 1.0; // 1.09 of the mean
    BOOST_TEST(policy->plan(input).empty());
}

BOOST_AUTO_TEST_CASE(minimum_churn_separates_hot_slots)
{
    auto input = makeInput(2, 10);
    for (slot_index slot = 0; slot < 10; ++slot) {
        input.slots[slot].owner = slot < 5 ? "t0" : "t1";
        input.slots[slot].load = slot < 2 ? 10.0 : 1.0; // both hot slots are on t0
    }
    const auto moves = create("minimum_churn")->plan(input);
    BOOST_REQUIRE(!moves.empty());
    BOOST_TEST(moves.front().slot < 2U);
    BOOST_TEST(moves.front().owner == "t1");
    BOOST_CHECK(moves.front().cause == move_cause::Rebalance);
}

BOOST_AUTO_TEST_CASE(minimum_churn_does_not_move_a_single_hot_slot)
{
    auto input = makeInput(2, 2);
    input.slots[0] = {0, "t0", 10.0, true};
    input.slots[1] = {1, "t1", 0.1, true};
    BOOST_TEST(create("minimum_churn")->plan(input).empty());
}
