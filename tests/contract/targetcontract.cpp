#include "historychecker.h"
#include "internal/httptargetclient.h"
#include "ports.h"
#include "targetserver.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <future>
#include <thread>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

target_behaviour behaviourFor(std::uint16_t number)
{
    target_behaviour behaviour;
    behaviour.id = "t1";
    behaviour.address = testAddress(number);
    behaviour.serviceTime = std::chrono::microseconds(500);
    behaviour.warmUp = milliseconds(0);
    return behaviour;
}

/// A target stand-in that holds slot 3 at epoch 5 in term 2, and a client of it.
struct fixture {
    target_server server{behaviourFor(20), 11};
    http_target_client client{2};
    std::uint64_t sequence = 0;
    std::uint64_t nonce = 0;

    fixture()
    {
        BOOST_REQUIRE(!server.start());
        client.setTargets({{"t1", testAddress(20)}});
        control({});
        control({{3, 5}});
    }

    control_reply control(std::vector<slot_grant> grants)
    {
        control_request request;
        request.shard = {"orders", 0};
        request.term = 2;
        request.sequence = ++sequence;
        request.nonce = nonce;
        request.lease = milliseconds(60000);
        request.grants = std::move(grants);
        std::promise<result<control_reply>> promise;
        client.control("t1", request, milliseconds(2000), [&promise](result<control_reply> reply) {
            promise.set_value(std::move(reply));
        });
        auto reply = promise.get_future().get();
        BOOST_REQUIRE(reply.has_value());
        nonce = reply.value().nonce;
        return reply.value();
    }

    static target_request request(epoch_number epoch, term_number term)
    {
        target_request message;
        message.service = "orders";
        message.key = "k";
        message.kind = "order";
        message.requestId = "1700000000000-a";
        message.exchangeId = "x1";
        message.body = "jar";
        message.slot = 3;
        message.epoch = epoch;
        message.term = term;
        message.deadline = boot_clock::now() + milliseconds(2000);
        return message;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(target_contract, fixture)

BOOST_AUTO_TEST_CASE(owner_answers_a_request)
{
    const auto answer = client.call("t1", request(5, 2));
    BOOST_CHECK(answer.reason == error_kind::None);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.find("\"echo\":\"jar\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(other_epochs_and_older_terms_are_reported_as_not_run)
{
    for (const auto &message : {request(4, 2), request(6, 2), request(5, 1)}) {
        const auto answer = client.call("t1", message);
        BOOST_CHECK(answer.reason == error_kind::WrongEpoch);
        BOOST_TEST(answer.isNotRun);
    }
}

BOOST_AUTO_TEST_CASE(request_to_an_unknown_target_is_reported_as_not_run)
{
    const auto answer = client.call("t9", request(5, 2));
    BOOST_CHECK(answer.reason == error_kind::TargetUnreachable);
    BOOST_TEST(answer.isNotRun);
}

BOOST_AUTO_TEST_CASE(held_slots_are_reported)
{
    const auto reply = control({});
    BOOST_REQUIRE(reply.held.size() == 1U);
    BOOST_TEST(reply.held.front().epoch == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(answer_with_another_exchange_id_is_rejected)
{
    server_settings settings;
    settings.address = testAddress(21);
    http_server server(settings, [](const http_request &) {
        http_response response;
        response.headers.add("X-Exchange-Id", "of another request");
        response.headers.add("X-Outcome", "answered");
        return response;
    });
    BOOST_REQUIRE(!server.start());
    http_target_client client(1);
    client.setTargets({{"t1", testAddress(21)}});
    const auto answer = client.call("t1", fixture::request(5, 2));
    BOOST_CHECK(answer.reason == error_kind::AnswerIncomplete);
    BOOST_TEST(!answer.isNotRun);
}

BOOST_AUTO_TEST_CASE(lease_expiry_that_a_request_detects_first_is_recorded)
{
    constexpr milliseconds SHORT_LEASE{50};
    auto behaviour = behaviourFor(22);
    char path[] = "/tmp/clementinebeam-history-XXXXXX";
    BOOST_REQUIRE(mkstemp(path) >= 0);
    behaviour.historyFile = path;
    target_server server(behaviour, 11);
    BOOST_REQUIRE(!server.start());
    http_target_client client(1);
    client.setTargets({{"t1", testAddress(22)}});
    std::uint64_t nonce = 0;
    const auto control = [&](std::uint64_t sequence, std::vector<slot_grant> grants) {
        control_request request{{"orders", 0},     2,  sequence, "i1", nonce, SHORT_LEASE,
                                std::move(grants), {}, {}};
        std::promise<result<control_reply>> promise;
        client.control("t1", request, milliseconds(2000), [&promise](result<control_reply> reply) {
            promise.set_value(std::move(reply));
        });
        nonce = promise.get_future().get().value().nonce;
    };
    control(1, {});
    control(2, {{3, 5}});
    std::this_thread::sleep_for(SHORT_LEASE * 2);
    BOOST_CHECK(client.call("t1", fixture::request(5, 2)).reason == error_kind::WrongEpoch);
    control(3, {});
    control(4, {});
    history::history events;
    history::loadTargetHistory(path, "orders", events);
    std::remove(path);
    for (const auto &item : events.ownerships)
        BOOST_TEST(item.until - item.from <= std::chrono::microseconds(SHORT_LEASE).count());
}
