#define BOOST_TEST_MODULE ledger
#include "clementinebeam/ledger/requestledger.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

const incarnation_id EXECUTOR{"i1", 1};
const incarnation_id OTHER{"i2", 2};
const wall_time WALL{milliseconds(1700000000000)};
const instant NOW{std::chrono::seconds(100)};

std::string idAt(wall_time created, const std::string &name = "a")
{
    return std::to_string(created.time_since_epoch().count()) + '-' + name;
}

admit_request requestOf(const std::string &id, std::uint64_t token = 1)
{
    return {{"orders", 0}, id, 77, token, 3, 1000};
}

outcome_report reportOf(const std::string &id, std::uint64_t token, ledger_state state)
{
    return {{"orders", 0}, id, 3, token, state, {200, "text/plain", "done"}};
}

struct fixture {
    ledger_settings settings;
    request_ledger ledger{settings};
    std::string id = idAt(WALL);

    ledger_decision admit(const std::string &requestId, std::uint64_t token = 1,
                          const incarnation_id &executor = EXECUTOR)
    {
        return ledger.admit(requestOf(requestId, token), executor, NOW, WALL);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_ledger_suite, fixture)

BOOST_AUTO_TEST_CASE(new_request_may_run_once)
{
    BOOST_CHECK(admit(id).decision == admission::Run);
    BOOST_CHECK(admit(id, 2, OTHER).decision == admission::Running);
    BOOST_TEST(ledger.countRunning(3) == 1U);
}

BOOST_AUTO_TEST_CASE(repeated_admission_gets_the_same_answer)
{
    BOOST_CHECK(admit(id).decision == admission::Run);
    const auto again = admit(id);
    BOOST_CHECK(again.decision == admission::Run);
    BOOST_TEST(again.entry->attempt == 1U);
    BOOST_TEST(ledger.countRunning(3) == 1U);
}

BOOST_AUTO_TEST_CASE(repeated_request_gets_the_recorded_answer)
{
    admit(id);
    BOOST_TEST(ledger.complete(reportOf(id, 1, ledger_state::Answered)).has_value());
    const auto again = admit(id, 2, OTHER);
    BOOST_CHECK(again.decision == admission::Recorded);
    BOOST_TEST(again.entry->answer.body == "done");
    BOOST_TEST(ledger.countRunning(3) == 0U);
}

BOOST_AUTO_TEST_CASE(request_that_was_not_run_may_be_admitted_again)
{
    admit(id);
    ledger.complete(reportOf(id, 1, ledger_state::NotRun));
    BOOST_CHECK(admit(id, 2, OTHER).decision == admission::Run);
    BOOST_TEST(!ledger.complete(reportOf(id, 1, ledger_state::NotRun)).has_value());
    BOOST_TEST(ledger.isRunning(id, 2));
}

BOOST_AUTO_TEST_CASE(unknown_outcome_is_final)
{
    admit(id);
    ledger.complete(reportOf(id, 1, ledger_state::Unknown));
    const auto again = admit(id, 2, OTHER);
    BOOST_CHECK(again.decision == admission::Recorded);
    BOOST_CHECK(again.entry->state == ledger_state::Unknown);
}

BOOST_AUTO_TEST_CASE(overdue_request_becomes_unknown_and_a_late_report_still_counts)
{
    admit(id);
    ledger.expire(NOW + milliseconds(2999), WALL);
    BOOST_CHECK(admit(id, 2, OTHER).decision == admission::Running);
    ledger.expire(NOW + milliseconds(3001), WALL);
    BOOST_CHECK(admit(id, 2, OTHER).decision == admission::Recorded);
    BOOST_TEST(ledger.complete(reportOf(id, 1, ledger_state::Answered)).has_value());
    BOOST_TEST(admit(id, 2, OTHER).entry->answer.body == "done");
}

BOOST_AUTO_TEST_CASE(other_content_under_the_same_id_is_refused)
{
    admit(id);
    auto other = requestOf(id, 2);
    other.fingerprint = 78;
    const auto decision = ledger.admit(other, OTHER, NOW, WALL);
    BOOST_CHECK(decision.reason == error_kind::RequestIdConflict);
}

BOOST_AUTO_TEST_CASE(ids_outside_of_the_accepted_time_range_are_refused)
{
    const auto old = idAt(WALL - settings.requestIdLife);
    BOOST_CHECK(admit(old).reason == error_kind::RequestIdExpired);
    ledger.reset(WALL);
    BOOST_CHECK(admit(idAt(WALL)).reason == error_kind::RequestIdExpired);
    BOOST_CHECK(admit(idAt(WALL + milliseconds(1))).decision == admission::Run);
    const auto future = idAt(WALL + settings.clockSkewLimit + milliseconds(1), "f");
    BOOST_CHECK(admit(future).reason == error_kind::BadRequest);
}

BOOST_AUTO_TEST_CASE(malformed_ids_are_refused)
{
    for (const auto *bad : {"", "x", "1700000000000", "1700000000000-", "17000000000-abc",
                            "17000000000x0-abc", "-700000000000-abc"})
        BOOST_CHECK(admit(bad).reason == error_kind::BadRequest);
}

BOOST_AUTO_TEST_CASE(entries_are_removed_after_their_id_expired)
{
    admit(id);
    ledger.complete(reportOf(id, 1, ledger_state::Answered));
    const auto end = WALL + settings.requestIdLife + settings.clockSkewLimit;
    ledger.expire(NOW, end - milliseconds(1));
    BOOST_TEST(ledger.size() == 1U);
    ledger.expire(NOW, end);
    BOOST_TEST(ledger.size() == 0U);
}

BOOST_AUTO_TEST_CASE(full_ledger_refuses_new_requests)
{
    settings.maxEntries = 2;
    request_ledger small(settings);
    for (const auto *name : {"a", "b"})
        small.admit(requestOf(idAt(WALL, name)), EXECUTOR, NOW, WALL);
    BOOST_CHECK(small.admit(requestOf(idAt(WALL, "c")), EXECUTOR, NOW, WALL).reason
                == error_kind::Overloaded);
}

BOOST_AUTO_TEST_CASE(copies_that_arrive_out_of_order_do_not_reopen_a_request)
{
    const auto running = *admit(id).entry;
    const auto answered = *ledger.complete(reportOf(id, 1, ledger_state::Answered));
    request_ledger standby(settings);
    standby.store(answered, NOW);
    standby.store(running, NOW);
    const auto decision = standby.admit(requestOf(id, 2), OTHER, NOW, WALL);
    BOOST_CHECK(decision.decision == admission::Recorded);
    BOOST_TEST(standby.countRunning(3) == 0U);
}

BOOST_AUTO_TEST_CASE(standby_has_all_entries_of_the_leader)
{
    admit(id);
    const auto second = idAt(WALL, "b");
    admit(second);
    ledger.complete(reportOf(second, 1, ledger_state::Answered));
    request_ledger standby(settings);
    for (const auto &entry : ledger.entries(NOW))
        standby.store(entry, NOW);
    BOOST_CHECK(standby.admit(requestOf(id, 2), OTHER, NOW, WALL).decision == admission::Running);
    BOOST_CHECK(standby.admit(requestOf(second, 2), OTHER, NOW, WALL).decision
                == admission::Recorded);
    BOOST_TEST(standby.countRunning(3) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
