#define BOOST_TEST_MODULE coordination
#include "clementinebeam/assignment/policycatalogue.h"
#include "clementinebeam/coordination/shardcontroller.h"
#include "clementinebeam/ownership/ownershipreplay.h"
#include "internal/instanceranking.h"
#include "internal/leadershipauthority.h"
#include "internal/predecessorfence.h"
#include "internal/targetsession.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

const instant START{std::chrono::seconds(100)};
const incarnation_id LEADER{"i1", 1};
const incarnation_id STANDBY{"i2", 2};
const incarnation_id THIRD{"i3", 3};
const coordination_settings SETTINGS;

control_reply replyWith(std::vector<slot_grant> held)
{
    control_reply reply;
    reply.accepted = true;
    reply.nonce = 7;
    reply.held = std::move(held);
    return reply;
}

void exchange(target_session &session, std::vector<slot_grant> held, instant now)
{
    control_request request;
    session.beginRequest(request, now);
    BOOST_REQUIRE(session.completeRequest(request.sequence, 1, replyWith(std::move(held)), now));
}

} // namespace

BOOST_AUTO_TEST_CASE(authority_ends_one_isolation_limit_after_the_last_confirmation)
{
    leadership_authority authority(SETTINGS);
    authority.begin(5);
    BOOST_TEST(!authority.isValid(START));
    authority.confirmByLog(START);
    BOOST_TEST(authority.isValid(START + SETTINGS.isolationLimit - milliseconds(1)));
    BOOST_TEST(!authority.isValid(START + SETTINGS.isolationLimit));
    authority.noteHeartbeat(1, START + milliseconds(500));
    authority.confirmByStandby(1);
    BOOST_TEST(authority.isValid(START + SETTINGS.isolationLimit + milliseconds(499)));
    authority.confirmByStandby(2); // never sent
    BOOST_TEST(!authority.isValid(START + SETTINGS.isolationLimit + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(slots_in_the_reply_of_a_target_are_those_that_it_holds)
{
    target_session session("t1", SETTINGS, START);
    exchange(session, {{4, 9}}, START);
    BOOST_TEST(session.holds({4, 9}));
    BOOST_TEST(session.mayHold(4, START, START));
    BOOST_TEST(!session.mayHold(5, START, START));
}

BOOST_AUTO_TEST_CASE(unanswered_grant_may_have_been_accepted)
{
    target_session session("t1", SETTINGS, START);
    exchange(session, {}, START);
    control_request request;
    request.grants = {{4, 9}};
    session.beginRequest(request, START);
    session.failRequest(request.sequence);
    BOOST_TEST(session.mayHold(4, START, START));
    exchange(session, {}, START + milliseconds(100));
    BOOST_TEST(!session.mayHold(4, START + milliseconds(100), START));
}

BOOST_AUTO_TEST_CASE(lease_of_a_silent_target_expires_although_requests_are_still_sent)
{
    target_session session("t1", SETTINGS, START);
    exchange(session, {{4, 9}}, START);
    for (int round = 1; round <= 10; ++round) {
        control_request request;
        session.beginRequest(request, START + milliseconds(200) * round);
        session.failRequest(request.sequence);
    }
    const auto leaseEnd = START + SETTINGS.withClockMargin(SETTINGS.lease);
    BOOST_TEST(session.mayHold(4, leaseEnd - milliseconds(1), START));
    BOOST_TEST(!session.mayHold(4, leaseEnd, START));
}

BOOST_AUTO_TEST_CASE(silent_target_may_serve_an_earlier_leader_until_its_leases_expire)
{
    target_session session("t1", SETTINGS, START);
    exchange(session, {}, START);
    const auto leasesEnd = START + milliseconds(9000);
    BOOST_TEST(!session.mayHold(4, START + milliseconds(500), leasesEnd));
    BOOST_TEST(session.mayHold(4, leasesEnd - milliseconds(1), leasesEnd));
    BOOST_TEST(!session.mayHold(4, leasesEnd, leasesEnd));
}

BOOST_AUTO_TEST_CASE(reply_to_an_older_request_is_ignored)
{
    target_session session("t1", SETTINGS, START);
    control_request first;
    session.beginRequest(first, START);
    session.failRequest(first.sequence);
    control_request second;
    session.beginRequest(second, START);
    BOOST_TEST(!session.completeRequest(first.sequence, 1, replyWith({}), START));
    BOOST_TEST(!session.hasAcceptedRequest());
}

BOOST_AUTO_TEST_CASE(fence_lasts_one_isolation_limit_and_one_lease_after_a_claim_by_the_standby)
{
    predecessor_fence fence(SETTINGS);
    fence.begin(STANDBY, false, {{1, LEADER, STANDBY, true}}, START);
    const auto lease = SETTINGS.withClockMargin(SETTINGS.lease);
    BOOST_CHECK(fence.earlierLeasesEnd()
                == START + SETTINGS.withClockMargin(SETTINGS.isolationLimit) + lease);
    fence.addStatement(LEADER, 2, START);
    BOOST_CHECK(fence.earlierLeasesEnd() == START + lease);
}

BOOST_AUTO_TEST_CASE(
        fence_is_unbounded_after_a_claim_by_a_third_instance_until_one_of_the_pair_answers)
{
    predecessor_fence fence(SETTINGS);
    fence.begin(THIRD, false, {{1, LEADER, STANDBY, false}}, START);
    BOOST_CHECK(fence.earlierLeasesEnd() == instant::max());
    fence.addStatement(STANDBY, 2, START);
    BOOST_CHECK(fence.earlierLeasesEnd()
                == START + SETTINGS.withClockMargin(SETTINGS.isolationLimit)
                        + SETTINGS.withClockMargin(SETTINGS.lease));
}

BOOST_AUTO_TEST_CASE(statement_for_an_earlier_term_does_not_end_a_later_leadership)
{
    predecessor_fence fence(SETTINGS);
    fence.begin(THIRD, false, {{1, LEADER, STANDBY, false}}, START);
    fence.addStatement(LEADER, 2, START);
    fence.begin(THIRD, false, {{7, LEADER, STANDBY, false}}, START + milliseconds(5000));
    BOOST_CHECK(fence.earlierLeasesEnd() == instant::max());
}

BOOST_AUTO_TEST_CASE(
        statement_of_a_restarted_leader_does_not_end_its_earlier_authority_before_the_isolation_limit)
{
    predecessor_fence fence(SETTINGS);
    fence.begin(THIRD, false, {{1, LEADER, STANDBY, false}}, START);
    fence.addStatement({LEADER.instance, 99}, 2, START);
    BOOST_CHECK(fence.earlierLeasesEnd() >= START + SETTINGS.isolationLimit);
}

BOOST_AUTO_TEST_CASE(standby_is_picked_in_another_data_centre_if_possible)
{
    instance_ranking ranking({"orders", 0});
    ranking.setInstances({{"a", "dc1", false}, {"b", "dc1", false}, {"c", "dc2", false}});
    const auto anyone = [](const instance_id &) { return true; };
    BOOST_TEST(ranking.pickStandby("a", anyone)->id == "c");
    const auto notC = [](const instance_id &id) { return id != "c"; };
    BOOST_TEST(ranking.pickStandby("a", notC)->id == "b");
    const auto nobody = [](const instance_id &) { return false; };
    BOOST_TEST(ranking.pickStandby("a", nobody) == nullptr);
}

BOOST_AUTO_TEST_CASE(standby_accepts_a_handover_only_after_it_has_read_as_far_as_the_leader)
{
    shard_controller standby({"orders", 0}, STANDBY, SETTINGS,
                             policy_catalogue::instance().create("minimum_churn", {}), 1);
    shard_state state;
    state.shard = {"orders", 0};
    state.term = 1;
    state.leader = LEADER;
    state.standby = STANDBY;
    standby.onState(state, START);
    standby.onLogRead(START, 5);
    action_list actions;
    BOOST_TEST(standby.onMessage(LEADER, handover{state.shard, 1, 10, 6}, START, actions));
    BOOST_CHECK(standby.role() == shard_role::Standby);
    standby.onLogRead(START, 6);
    standby.onMessage(LEADER, handover{state.shard, 1, 10, 6}, START, actions);
    BOOST_CHECK(standby.role() == shard_role::Leader);
}
