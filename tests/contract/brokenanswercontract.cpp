#include "answersamples.h"
#include "clementinebeam/http/httpchannel.h"
#include "clementinebeam/http/httpconnection.h"
#include "internal/httpinstancelist.h"
#include "internal/httplogclient.h"
#include "internal/httptargetclient.h"
#include "operatorclient.h"
#include "ports.h"
#include "rawserver.h"

#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace clementinebeam;
using namespace clementinebeam::test;
using std::chrono::milliseconds;
namespace data = boost::unit_test::data;

namespace {

constexpr milliseconds TIMEOUT{2000};
const std::string ID = "X-Exchange-Id: x1\r\n";

/// @return the result of one exchange with a server that writes an answer.
result<http_response> exchangeWith(const std::string &answer)
{
    raw_server server(testAddress(40).port, answer);
    http_connection connection;
    BOOST_REQUIRE(!connection.open(testAddress(40)));
    auto response = connection.exchange({}, boot_clock::now() + TIMEOUT);
    BOOST_TEST((response || !connection.isOpen()));
    return response;
}

/// A target that writes the given bytes, and a client of it that counts what it refuses.
struct broken_target {
    explicit broken_target(std::string answer)
        : server(testAddress(41).port, std::move(answer))
    {
        client.setBrokenAnswerHandler(
                [this](const target_id &target, std::string_view source, const std::error_code &) {
                    BOOST_TEST(target == "t1");
                    source == "target" ? ++brokenAnswers : ++brokenControlAnswers;
                });
        client.setTargets({{"t1", testAddress(41)}});
    }

    target_answer call()
    {
        target_request request;
        request.service = "orders";
        request.exchangeId = "x1";
        request.deadline = boot_clock::now() + TIMEOUT;
        return client.call("t1", request);
    }

    /// @return the reply to a probe or to a control message.
    result<control_reply> control(bool isProbe)
    {
        std::promise<result<control_reply>> promise;
        const auto done = [&promise](result<control_reply> reply) {
            promise.set_value(std::move(reply));
        };
        if (isProbe)
            client.probe("t1", TIMEOUT, done);
        else
            client.control("t1", {}, TIMEOUT, done);
        return promise.get_future().get();
    }

    raw_server server;
    std::atomic<int> brokenAnswers{0};
    std::atomic<int> brokenControlAnswers{0};
    http_target_client client{1};
};

} // namespace

BOOST_DATA_TEST_CASE(broken_response_is_an_error, data::make(brokenAnswers()), sample)
{
    for (const bool isExpectedFirst : {false, true}) {
        const auto response = exchangeWith(sample.bytes(ID, isExpectedFirst));
        BOOST_REQUIRE_MESSAGE(!response, "accepted: " << sample.name);
        const auto error = kindOf(response.error());
        BOOST_CHECK(error == error_kind::AnswerIncomplete || error == error_kind::ConnectionLost);
    }
}

// A broken answer proves nothing, whatever its fields say.
BOOST_DATA_TEST_CASE(broken_answer_of_a_target_proves_nothing, data::make(brokenAnswers()), sample)
{
    for (const auto *targetOutcome : {"answered", "not_run"}) {
        const auto fields = ID + "X-Outcome: " + targetOutcome + "\r\n";
        for (const bool isExpectedFirst : {false, true}) {
            broken_target target(sample.bytes(fields, isExpectedFirst));
            const auto answer = target.call();
            BOOST_CHECK_MESSAGE(answer.reason != error_kind::None, "accepted: " << sample.name);
            BOOST_CHECK_MESSAGE(!answer.isNotRun, "believed: " << sample.name);
            BOOST_TEST(target.brokenAnswers == 1);
        }
    }
}

// The body would be read if the head were accepted.
BOOST_DATA_TEST_CASE(broken_control_answer_is_not_believed, data::make(brokenAnswers()), sample)
{
    auto answer = sample;
    if (answer.body == "whole")
        answer.body = "{}   ";
    for (const bool isProbe : {false, true}) {
        broken_target target(answer.bytes({}));
        BOOST_CHECK_MESSAGE(!target.control(isProbe), "accepted: " << sample.name);
        BOOST_TEST(target.brokenControlAnswers == 1);
    }
}

BOOST_DATA_TEST_CASE(broken_answer_of_the_log_or_the_list_is_an_error, data::make(brokenAnswers()),
                     sample)
{
    auto answer = sample;
    if (answer.body == "whole")
        answer.body = "[]   ";
    std::atomic<int> broken{0};
    const auto count = [&](const std::error_code &) { ++broken; };
    {
        raw_server server(testAddress(43).port, answer.bytes({}));
        http_instance_list list(testAddress(43));
        list.setBrokenAnswerHandler(count);
        BOOST_CHECK_MESSAGE(!list.fetch(TIMEOUT), "accepted: " << sample.name);
        BOOST_TEST(broken == 1);
    }
    raw_server server(testAddress(43).port, answer.bytes({}));
    http_log_client log(testAddress(43));
    log.setBrokenAnswerHandler(count);
    log.append("s", "payload", [&] { BOOST_ERROR("confirmed: " << sample.name); });
    for (int round = 0; round < 1000 && broken < 2; ++round)
        std::this_thread::sleep_for(milliseconds(2));
    BOOST_TEST(broken == 2);
}

BOOST_DATA_TEST_CASE(broken_answer_to_the_operators_tool_is_an_error, data::make(brokenAnswers()),
                     sample)
{
    auto answer = sample;
    if (answer.body == "whole")
        answer.body = "[]   ";
    raw_server server(testAddress(44).port, answer.bytes({}));
    const operator_client client(testAddress(44), "token");
    const auto response = client.get("/v1/instances");
    BOOST_REQUIRE_MESSAGE(!response, "accepted: " << sample.name);
    BOOST_TEST(!response.error().message().empty());
    BOOST_CHECK(response.error().category() != errorCategory());
}

BOOST_DATA_TEST_CASE(sound_response_passes, data::make(soundAnswers()), sample)
{
    if (!sample.hasLength)
        return; // Refused as a whole, see response_without_a_content_length_is_an_error.
    const auto response = exchangeWith(sample.answer.bytes(ID));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().status == static_cast<int>(sample.status));
    BOOST_TEST(response.value().body == sample.body);
}

// Control calls and those to the log name no call in their answers, so bytes that follow an answer
// would be taken for the next one.
BOOST_AUTO_TEST_CASE(bytes_after_a_response_belong_to_no_request)
{
    const std::string first = STATUS_OK + "\r\n" + WHOLE + "\r\nfirst";
    const std::string stale = STATUS_OK + "\r\n" + WHOLE + "\r\nstale";
    raw_server server(testAddress(42).port, first + stale, true);
    http_channel channel(testAddress(42), {.connections = 1, .maxConnections = 1});
    for (int call = 0; call < 3; ++call) {
        const auto response = channel.exchange({}, boot_clock::now() + TIMEOUT);
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response.value().body == "first");
    }
}
