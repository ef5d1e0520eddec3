#include "leaseholder.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

const instant START{std::chrono::seconds(100)};
constexpr milliseconds LEASE{1000};

/// Sends control messages to the lease state of a target, as a leader does.
struct fixture {
    lease_holder target{1, 100, milliseconds(50)};
    std::uint64_t sequence = 0;
    std::uint64_t nonce = 0;
    bool running = false;

    control_request message(term_number term)
    {
        control_request request;
        request.shard = {"orders", 0};
        request.term = term;
        request.sequence = ++sequence;
        request.nonce = nonce;
        request.lease = LEASE;
        return request;
    }

    control_reply send(const control_request &request, instant now)
    {
        const auto reply = target.apply(
                request, [this](slot_index) { return running; }, now);
        if (reply.accepted)
            nonce = reply.nonce;
        return reply;
    }

    /// Makes the target hold slot 3 at epoch 5 under a new lease.
    void grant(instant now)
    {
        send(message(1), now);
        auto request = message(1);
        request.grants = {{3, 5}};
        send(request, now);
    }

    bool serves(instant now, epoch_number epoch = 5, term_number term = 0)
    {
        return target.check(3, epoch, term, false, now) == error_kind::None;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lease_contract, fixture)

BOOST_AUTO_TEST_CASE(first_control_message_starts_no_lease)
{
    auto request = message(1);
    request.grants = {{3, 5}};
    const auto reply = send(request, START);
    BOOST_TEST(reply.accepted);
    BOOST_TEST(reply.held.empty());
    BOOST_TEST(!serves(START));
}

BOOST_AUTO_TEST_CASE(granted_slot_is_served_at_its_epoch_until_the_lease_expires)
{
    grant(START);
    BOOST_TEST(serves(START));
    BOOST_TEST(!serves(START, 4));
    BOOST_TEST(!serves(START, 6));
    BOOST_TEST(serves(START + LEASE - milliseconds(1)));
    BOOST_TEST(!serves(START + LEASE));
}

BOOST_AUTO_TEST_CASE(lease_starts_when_its_nonce_was_issued_also_after_a_late_renewal)
{
    grant(START);
    const auto late = START + milliseconds(900);
    send(message(1), late); // Carries the nonce that was issued at START.
    BOOST_TEST(!serves(START + LEASE));
}

BOOST_AUTO_TEST_CASE(expired_lease_drops_all_slots_and_a_renewal_does_not_restore_them)
{
    grant(START);
    const auto later = START + LEASE * 2;
    BOOST_TEST(send(message(1), later).held.empty());
    BOOST_TEST(send(message(1), later).held.empty());
    BOOST_TEST(!serves(later));
}

BOOST_AUTO_TEST_CASE(older_term_and_older_sequence_are_refused)
{
    grant(START);
    auto old = message(1);
    send(message(2), START);
    old.sequence = ++sequence;
    old.revokes = {3};
    BOOST_TEST(!send(old, START).accepted);
    auto repeated = message(2);
    BOOST_TEST(send(repeated, START).accepted);
    BOOST_TEST(!send(repeated, START).accepted);
    BOOST_TEST(serves(START));
}

BOOST_AUTO_TEST_CASE(request_admitted_in_an_older_term_is_refused)
{
    grant(START);
    BOOST_TEST(serves(START, 5, 1));
    send(message(2), START);
    BOOST_TEST(!serves(START, 5, 1));
    BOOST_TEST(serves(START, 5, 2));
    BOOST_TEST(serves(START, 5, 0));
}

BOOST_AUTO_TEST_CASE(older_epoch_is_not_granted_again)
{
    grant(START);
    auto older = message(1);
    older.grants = {{3, 4}};
    send(older, START);
    BOOST_TEST(serves(START, 5));
}

BOOST_AUTO_TEST_CASE(revoked_slot_refuses_new_requests_and_is_held_until_running_ones_end)
{
    grant(START);
    running = true;
    auto revoke = message(1);
    revoke.revokes = {3};
    BOOST_TEST(send(revoke, START).held.size() == 1U);
    BOOST_TEST(!serves(START));
    BOOST_CHECK(target.check(3, 5, 1, true, START) == error_kind::None);
    running = false;
    BOOST_TEST(send(message(1), START).held.empty());
}

BOOST_AUTO_TEST_CASE(announced_slot_is_prepared_after_the_warm_up)
{
    auto prepare = message(1);
    prepare.prepares = {8};
    BOOST_TEST(send(prepare, START).prepared.empty());
    BOOST_TEST(send(message(1), START + milliseconds(50)).prepared.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
