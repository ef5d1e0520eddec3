#define BOOST_TEST_MODULE gateway
#include "gatewayfixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using namespace clementinebeam::test;

namespace {

std::size_t sentRequestCount(const gateway_fixture &fixture)
{
    return fixture.first.requests().size() + fixture.second.requests().size();
}

} // namespace

BOOST_FIXTURE_TEST_CASE(request_and_answer_are_forwarded_completely, gateway_fixture)
{
    auto call = request(http::verb::post, "/write/x?y=1", "id-1");
    call.body() = "jars";
    call.prepare_payload();
    const auto answer = ask(call);
    BOOST_CHECK_EQUAL(answer.result_int(), 200U);
    BOOST_CHECK_EQUAL(answer["X-Clementinebeam-Request-Id"], "id-1");
    BOOST_CHECK(answer.body().find("/write/x?y=1 jars") != std::string::npos);
    BOOST_CHECK(!answer["X-Clementinebeam-Response-Signature"].empty());
}

BOOST_FIXTURE_TEST_CASE(owner_of_a_key_gets_its_requests, gateway_fixture)
{
    auto call = request(http::verb::get, "/key/x", "id-1");
    call.set("X-Clementinebeam-Shard-Key", "4711");
    BOOST_CHECK_EQUAL(ask(call).result_int(), 200U);
    BOOST_CHECK_EQUAL(keyed.requests().size(), 1U);
}

BOOST_FIXTURE_TEST_CASE(unknown_routes_get_404, gateway_fixture)
{
    BOOST_CHECK_EQUAL(ask(request(http::verb::get, "/else/x", "id-1")).result_int(), 404U);
}

BOOST_FIXTURE_TEST_CASE(new_configuration_applies_at_once_and_older_ones_are_ignored,
                        gateway_fixture)
{
    store.put("keyed.op", "config", configurationText(5, "keyed"));
    run(milliseconds(200));
    store.put("keyed.op", "config", configurationText(3, "plain"));
    run(milliseconds(200));
    ask(request(http::verb::get, "/read/x", "id-1"));
    BOOST_CHECK_EQUAL(sentRequestCount(*this), 0U);
}

BOOST_FIXTURE_TEST_CASE(truncated_answer_is_retried_for_idempotent_requests_only, gateway_fixture)
{
    const auto closeConnection = [](const http_call &,
                                    const std::shared_ptr<server_connection> &connection) {
        connection->close();
    };
    first.setBehaviour(closeConnection);
    second.setBehaviour(closeConnection);
    BOOST_CHECK_EQUAL(ask(request(http::verb::post, "/write/x", "id-1")).result_int(), 502U);
    BOOST_CHECK_EQUAL(sentRequestCount(*this), 1U);
    run(milliseconds(500));
    BOOST_CHECK_EQUAL(ask(request(http::verb::get, "/read/x", "id-2")).result_int(), 502U);
    BOOST_CHECK_EQUAL(sentRequestCount(*this), 3U);
}

BOOST_FIXTURE_TEST_CASE(rejection_without_proof_is_answered_with_502, gateway_fixture)
{
    const auto reject = [](const http_call &call,
                           const std::shared_ptr<server_connection> &connection) {
        auto answer = makeOwnAnswer(503);
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        connection->respond(std::move(answer));
    };
    first.setBehaviour(reject);
    second.setBehaviour(reject);
    const auto answer = ask(request(http::verb::post, "/write/x", "id-1"));
    BOOST_CHECK_EQUAL(answer.result_int(), 502U);
    BOOST_CHECK_EQUAL(sentRequestCount(*this), 1U);
}

BOOST_FIXTURE_TEST_CASE(proved_rejection_is_retried_at_another_target, gateway_fixture)
{
    const auto reject = [](const http_call &call,
                           const std::shared_ptr<server_connection> &connection) {
        auto answer = makeOwnAnswer(503);
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        answer.set("X-Clementinebeam-Not-Executed", "1");
        connection->respond(std::move(answer));
    };
    first.setBehaviour(reject);
    for (int request = 0; request < 3; ++request) {
        const auto answer = ask(gateway_fixture::request(http::verb::post, "/write/x",
                                                         "id-" + std::to_string(request)));
        BOOST_CHECK_EQUAL(answer.result_int(), 200U);
    }
    BOOST_CHECK_EQUAL(second.requests().size(), 3U);
}

BOOST_FIXTURE_TEST_CASE(rejection_by_all_targets_is_answered_with_retry_after, gateway_fixture)
{
    const auto reject = [](const http_call &call,
                           const std::shared_ptr<server_connection> &connection) {
        auto answer = makeOwnAnswer(503);
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        answer.set("X-Clementinebeam-Not-Executed", "1");
        connection->respond(std::move(answer));
    };
    first.setBehaviour(reject);
    second.setBehaviour(reject);
    const auto answer = ask(request(http::verb::post, "/write/x", "id-1"));
    BOOST_CHECK_EQUAL(answer.result_int(), 503U);
    BOOST_CHECK(!answer["Retry-After"].empty());
}

// Regression test for a report of other operators: a refusal that a target wrote again was taken
// for the answer to a request that it ran.
BOOST_FIXTURE_TEST_CASE(refusal_without_the_id_of_the_request_proves_nothing, gateway_fixture)
{
    const auto refuseWithoutId = [](const http_call &,
                                    const std::shared_ptr<server_connection> &connection) {
        auto answer = makeOwnAnswer(503);
        answer.set("X-Clementinebeam-Not-Executed", "1");
        connection->respond(std::move(answer));
    };
    first.setBehaviour(refuseWithoutId);
    second.setBehaviour(refuseWithoutId);
    const auto answer = ask(request(http::verb::post, "/write/x", "id-1"));
    BOOST_CHECK(answer.result_int() == 502U || answer.result_int() == 504U);
    BOOST_CHECK_EQUAL(sentRequestCount(*this), 1U);
}

// The refusal of the first attempt names the same id as the second attempt at the same target.
BOOST_FIXTURE_TEST_CASE(request_is_not_sent_twice_on_one_connection, gateway_fixture)
{
    std::vector<std::shared_ptr<server_connection>> connections;
    keyed.setBehaviour(
            [&](const http_call &call, const std::shared_ptr<server_connection> &connection) {
                connections.push_back(connection);
                if (connections.size() > 1) {
                    connection->respond(keyed.validAnswer(call));
                    return;
                }
                auto answer = makeOwnAnswer(503);
                answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
                answer.set("X-Clementinebeam-Not-Executed", "1");
                connection->respond(std::move(answer));
            });
    auto call = request(http::verb::get, "/key/x", "id-1");
    call.set("X-Clementinebeam-Shard-Key", "1");
    BOOST_CHECK_EQUAL(ask(std::move(call)).result_int(), 200U);
    BOOST_REQUIRE_EQUAL(connections.size(), 2U);
    BOOST_CHECK(connections[0] != connections[1]);
}

BOOST_FIXTURE_TEST_CASE(success_without_signature_or_with_content_encoding_is_answered_with_502,
                        gateway_fixture)
{
    const auto unsignedAnswer = [](const http_call &call,
                                   const std::shared_ptr<server_connection> &connection) {
        auto answer = makeOwnAnswer(200, "forged");
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        connection->respond(std::move(answer));
    };
    first.setBehaviour(unsignedAnswer);
    second.setBehaviour(unsignedAnswer);
    BOOST_CHECK_EQUAL(ask(request(http::verb::post, "/write/x", "id-1")).result_int(), 502U);
    const auto encodedAnswer = [this](const http_call &call,
                                      const std::shared_ptr<server_connection> &connection) {
        auto answer = first.validAnswer(call);
        answer.set(http::field::content_encoding, "gzip");
        connection->respond(std::move(answer));
    };
    first.setBehaviour(encodedAnswer);
    second.setBehaviour(encodedAnswer);
    run(milliseconds(300));
    BOOST_CHECK_EQUAL(ask(request(http::verb::post, "/write/x", "id-2")).result_int(), 502U);
}

BOOST_FIXTURE_TEST_CASE(answer_to_another_request_is_never_delivered, gateway_fixture)
{
    const auto answerOtherRequest = [this](const http_call &call,
                                           const std::shared_ptr<server_connection> &connection) {
        auto answer = first.validAnswer(call);
        answer.set("X-Clementinebeam-Request-Id", "somebody-else");
        connection->respond(std::move(answer));
    };
    first.setBehaviour(answerOtherRequest);
    second.setBehaviour(answerOtherRequest);
    const auto answer = ask(request(http::verb::post, "/write/x", "id-1"));
    BOOST_CHECK(answer.result_int() == 502U || answer.result_int() == 504U);
    BOOST_CHECK(answer.body().find("/write/x") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(silent_target_is_answered_with_504_at_the_deadline, gateway_fixture)
{
    const auto ignoreRequest = [](const http_call &, const std::shared_ptr<server_connection> &) {};
    first.setBehaviour(ignoreRequest);
    second.setBehaviour(ignoreRequest);
    const auto begin = boot_clock::now();
    const auto answer = ask(request(http::verb::post, "/write/x", "id-1"));
    BOOST_CHECK_EQUAL(answer.result_int(), 504U);
    BOOST_CHECK(boot_clock::now() - begin < milliseconds(1200));
}

BOOST_FIXTURE_TEST_CASE(disconnect_of_the_caller_closes_the_connection_to_the_target,
                        gateway_fixture)
{
    bool isDisconnected = false;
    const auto watchConnection = [&](const http_call &,
                                     const std::shared_ptr<server_connection> &connection) {
        connection->setDisconnectHandler([&] { isDisconnected = true; });
    };
    first.setBehaviour(watchConnection);
    second.setBehaviour(watchConnection);
    const auto connection = connect();
    connection->exchange(request(http::verb::get, "/read/x", "id-1"), {},
                         [](exchange_failure, http_answer &&) {});
    runUntil([&] { return sentRequestCount(*this) == 1; });
    connection->close();
    runUntil([&] { return isDisconnected; });
}

BOOST_FIXTURE_TEST_CASE(requests_are_served_while_the_store_is_unreachable, gateway_fixture)
{
    store.setUnresponsive(true);
    run(milliseconds(300));
    BOOST_CHECK_EQUAL(ask(request(http::verb::get, "/read/x", "id-1")).result_int(), 200U);
    auto call = request(http::verb::get, "/key/x", "id-2");
    call.set("X-Clementinebeam-Shard-Key", "1");
    BOOST_CHECK_EQUAL(ask(call).result_int(), 200U);
}

BOOST_FIXTURE_TEST_CASE(leaving_target_gets_no_more_requests, gateway_fixture)
{
    store.put("keyed.servers", "t1", entryText(TARGET_PORT, "plain", "draining"));
    // The operators' rules allow two seconds.
    run(milliseconds(1900));
    for (int request = 0; request < 6; ++request)
        ask(gateway_fixture::request(http::verb::get, "/read/x", "id-" + std::to_string(request)));
    BOOST_CHECK_EQUAL(first.requests().size(), 0U);
}

// A faulty target writes an earlier answer once more. If that were taken for the answer to a
// release, two targets would own the same keys.
BOOST_FIXTURE_TEST_CASE(keys_move_only_after_a_release_with_a_new_handover, gateway_fixture)
{
    target_standin other(context, "k2");
    BOOST_REQUIRE(!other.listen(local(TARGET_PORT + 3)));
    keyed.setHandover("");
    store.put("keyed.servers", "k1", entryText(TARGET_PORT + 2, "keyed", "draining"));
    store.put("keyed.servers", "k2", entryText(TARGET_PORT + 3, "keyed", "ready"));
    run(milliseconds(1500));
    BOOST_CHECK_EQUAL(other.grants(), 0);
    keyed.setHandover("state");
    runUntil([&] { return other.grants() > 0; });
    run(milliseconds(500));
    // Now k1 has started again and k2 leaves.
    const auto before = keyed.grants();
    other.setHandover("state");
    auto entry = json::parse(entryText(TARGET_PORT + 2, "keyed", "ready"));
    entry["born"] = 2;
    store.put("keyed.servers", "k1", entry.dump());
    store.put("keyed.servers", "k2", entryText(TARGET_PORT + 3, "keyed", "draining"));
    run(milliseconds(1500));
    BOOST_CHECK_EQUAL(keyed.grants(), before);
    other.setHandover("other state");
    runUntil([&] { return keyed.grants() > before; });
}

// Regression test for review/1: a grant that was given up reached its target seconds later, when
// another one held its keys.
BOOST_FIXTURE_TEST_CASE(grant_that_is_given_up_ends_with_a_reset, gateway_fixture)
{
    boost::asio::ip::tcp::acceptor acceptor(context, local(TARGET_PORT + 3));
    std::vector<boost::asio::ip::tcp::socket> silent;
    std::string received;
    boost::system::error_code end;
    std::array<char, 4096> buffer{};
    const std::function<void()> read = [&] {
        silent.front().async_read_some(boost::asio::buffer(buffer),
                                       [&](boost::system::error_code error, std::size_t size) {
                                           received.append(buffer.data(), size);
                                           if (error)
                                               end = error;
                                           else
                                               read();
                                       });
    };
    acceptor.async_accept([&](boost::system::error_code error, auto socket) {
        BOOST_REQUIRE(!error);
        silent.push_back(std::move(socket));
        read();
    });
    store.put("keyed.servers", "k1", entryText(TARGET_PORT + 2, "keyed", "draining"));
    store.put("keyed.servers", "k2", entryText(TARGET_PORT + 3, "keyed", "ready"));
    runUntil([&] { return end.failed(); });
    BOOST_CHECK(received.find("/grant") != std::string::npos);
    BOOST_CHECK_EQUAL(end, boost::asio::error::connection_reset);
}

BOOST_FIXTURE_TEST_CASE(stop_completes_the_request_in_progress, gateway_fixture)
{
    std::shared_ptr<server_connection> heldConnection;
    http_call heldCall;
    const auto holdRequest = [&](const http_call &call,
                                 const std::shared_ptr<server_connection> &connection) {
        heldCall = call;
        heldConnection = connection;
    };
    first.setBehaviour(holdRequest);
    second.setBehaviour(holdRequest);
    std::optional<http_answer> result;
    const auto connection = connect();
    connection->exchange(request(http::verb::post, "/write/x", "id-1"), {},
                         [&](exchange_failure failure, http_answer &&answer) {
                             BOOST_CHECK(failure == exchange_failure::None);
                             result = std::move(answer);
                         });
    runUntil([&] { return heldConnection != nullptr; });
    bool isStopped = false;
    instance().stop([&] { isStopped = true; });
    run(milliseconds(300));
    heldConnection->respond(first.validAnswer(heldCall));
    runUntil([&] { return result.has_value(); });
    BOOST_CHECK_EQUAL(result->result_int(), 200U);
    BOOST_CHECK(!result->keep_alive());
    for (int round = 0; round < 40 && !isStopped; ++round)
        run(milliseconds(100));
    BOOST_CHECK(isStopped);
}

// Regression test for a report of other operators: requests that came late in the grace were passed
// on and cut at its end.
BOOST_FIXTURE_TEST_CASE(request_that_can_not_end_within_the_grace_is_rejected_at_once,
                        gateway_fixture)
{
    bool isStopped = false;
    instance().stop([&] { isStopped = true; });
    run(milliseconds(2400));
    // Connected before the listener closes; its request comes after that.
    boost::asio::ip::tcp::socket caller(context);
    caller.connect(local(GATEWAY_PORT));
    run(milliseconds(500));
    const std::string text = "POST /slow/x HTTP/1.1\r\nHost: a.example\r\n"
                             "X-Clementinebeam-Request-Id: id-1\r\n"
                             "X-Clementinebeam-Deadline-Ms: 5000\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(text));
    std::string answer(12, '\0');
    bool isAnswered = false;
    boost::asio::async_read(caller, boost::asio::buffer(answer),
                            [&](boost::system::error_code, std::size_t) { isAnswered = true; });
    run(milliseconds(100));
    BOOST_CHECK(isAnswered);
    BOOST_CHECK_EQUAL(answer, "HTTP/1.1 503");
    BOOST_CHECK_EQUAL(sentRequestCount(*this), 0U);
    for (int round = 0; round < 40 && !isStopped; ++round)
        run(milliseconds(100));
    BOOST_CHECK(isStopped);
}

BOOST_FIXTURE_TEST_CASE(request_that_still_runs_at_the_end_of_the_grace_gets_an_answer,
                        gateway_fixture)
{
    const auto ignoreRequest = [](const http_call &, const std::shared_ptr<server_connection> &) {};
    first.setBehaviour(ignoreRequest);
    second.setBehaviour(ignoreRequest);
    bool isStopped = false;
    instance().stop([&] { isStopped = true; });
    auto call = request(http::verb::post, "/slow/x", "id-1");
    call.set("X-Clementinebeam-Deadline-Ms", "9000");
    std::optional<http_answer> result;
    const auto connection = connect();
    connection->exchange(std::move(call), {}, [&](exchange_failure failure, http_answer &&answer) {
        BOOST_CHECK(failure == exchange_failure::None);
        result = std::move(answer);
    });
    const auto begin = boot_clock::now();
    while (!isStopped && boot_clock::now() < begin + milliseconds(6000))
        run(milliseconds(20));
    BOOST_CHECK(isStopped);
    run(milliseconds(20));
    BOOST_REQUIRE(result);
    BOOST_CHECK_EQUAL(result->result_int(), 504U);
}

BOOST_FIXTURE_TEST_CASE(small_instance_accepts_requests_and_does_not_coordinate, gateway_fixture)
{
    constexpr std::uint16_t OFFSET = 10;
    auto settings = settingsOf(OFFSET);
    settings.processorShare = 0.1;
    store_client client(context, local(STORE_PORT), 8);
    const platform_codec codec;
    gateway smallInstance(context, settings, client, codec);
    BOOST_REQUIRE(!smallInstance.start());
    run(milliseconds(300));
    const auto joinsBefore = store.calls("/log-join");
    const auto readsBefore = store.calls("/log-read") + store.calls("/log-newest");
    for (int request = 0; request < 4; ++request) {
        auto call = gateway_fixture::request(http::verb::get, "/key/x",
                                             "id-" + std::to_string(request));
        call.set("X-Clementinebeam-Shard-Key", "4711");
        BOOST_CHECK_EQUAL(ask(std::move(call), GATEWAY_PORT + OFFSET).result_int(), 200U);
        run(milliseconds(500));
    }
    // Within these two seconds, the coordinator renews its membership every 0.4 s and reads targets
    // every 0.35 s and ownership every second. The small instance reads nothing.
    BOOST_CHECK_LE(store.calls("/log-join") - joinsBefore, 6);
    BOOST_CHECK_LE(store.calls("/log-read") + store.calls("/log-newest") - readsBefore, 10);
    BOOST_CHECK_EQUAL(keyed.requests().size(), 4U);
}

// Regression test for inc-e377: a coordinator that is stopped while the store is unreachable must
// not exit before another instance can replace it, as its keys would not be served.
BOOST_FIXTURE_TEST_CASE(stopped_coordinator_continues_until_it_can_be_replaced, gateway_fixture)
{
    constexpr std::uint16_t OFFSET = 10;
    store_client client(context, local(STORE_PORT), 8);
    const platform_codec codec;
    gateway other(context, settingsOf(OFFSET), client, codec);
    BOOST_REQUIRE(!other.start());
    run(milliseconds(700));
    store.setUnresponsive(true);
    bool isStopped = false;
    instance().stop([&] { isStopped = true; });
    run(milliseconds(3200)); // Longer than new connections are accepted and a grant is held.
    BOOST_CHECK(!isStopped);
    auto call = request(http::verb::get, "/key/x", "id-1");
    call.set("X-Clementinebeam-Shard-Key", "4711");
    BOOST_CHECK_EQUAL(ask(std::move(call), GATEWAY_PORT + OFFSET).result_int(), 200U);
    store.setUnresponsive(false);
    runUntil([&] { return isStopped; });
    BOOST_CHECK(other.isCoordinating());
}

// Two coordinators of one service let twice the rate limit of a target through. A new coordinator
// noticed its successor only after up to eight seconds: soak, seed 2020.
BOOST_FIXTURE_TEST_CASE(new_coordinator_notices_its_successor_soon, gateway_fixture)
{
    BOOST_REQUIRE(instance().isCoordinating());
    run(milliseconds(500));
    for (const std::string service : {"plain", "keyed"}) {
        ownership_record successor;
        successor.service = service;
        successor.term = 100;
        successor.nextFence = 100;
        successor.coordinator = HOST + ":1";
        store.put("keyed.coordination", service, encodeBinary(successor));
    }
    // As the successor is silent, this instance soon coordinates again.
    bool hasNoticed = false;
    for (int round = 0; round < 150; ++round) {
        run(milliseconds(10));
        hasNoticed |= !instance().isCoordinating();
    }
    BOOST_CHECK(hasNoticed);
}

BOOST_FIXTURE_TEST_CASE(request_with_huge_content_length_is_rejected_without_side_effects,
                        gateway_fixture)
{
    boost::asio::ip::tcp::socket caller(context);
    caller.connect(local(GATEWAY_PORT));
    const std::string requestHead = "POST /write/x HTTP/1.1\r\nHost: a.example\r\n"
                                    "Content-Length: 99999999999999\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(requestHead));
    std::string answer(12, '\0');
    bool isAnswered = false;
    boost::asio::async_read(caller, boost::asio::buffer(answer),
                            [&](boost::system::error_code, std::size_t) { isAnswered = true; });
    runUntil([&] { return isAnswered; });
    BOOST_CHECK_EQUAL(answer, "HTTP/1.1 413");
    BOOST_CHECK_EQUAL(ask(request(http::verb::get, "/read/x", "id-1")).result_int(), 200U);
}
