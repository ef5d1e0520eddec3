#define BOOST_TEST_MODULE brokenanswer
#include "answersamples.h"
#include "clementinebeam/asynchttp/clientconnection.h"
#include "scriptedserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using namespace clementinebeam::test;
using std::chrono::milliseconds;
namespace http = boost::beast::http;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint16_t PORT = 21950;
const std::string ID = "Id: 1\r\n";

tcp_endpoint local()
{
    return {boost::asio::ip::make_address_v4("127.0.0.1"), PORT};
}

struct outcome {
    std::optional<exchange_failure> failure;
    http_answer answer;
};

/// A connection to a scripted server, with one call.
struct exchange_fixture {
    explicit exchange_fixture(scripted_server::script script)
        : server(context, local(), std::move(script))
        , connection(std::make_shared<client_connection>(context, local(), milliseconds(500)))
    { }

    void exchange(http::verb method = http::verb::get, std::size_t bodyBytes = 0)
    {
        http_call call;
        call.version(11);
        call.method(method);
        call.target("/x");
        call.body() = std::string(bodyBytes, 'b');
        call.prepare_payload();
        connection->exchange(
                std::move(call), [](const http_answer &answer) { return answer["Id"] == "1"; },
                [this](exchange_failure failure, http_answer &&answer) {
                    result.failure = failure;
                    result.answer = std::move(answer);
                });
        for (int round = 0; round < 1000 && !result.failure; ++round)
            context.run_for(milliseconds(2));
        BOOST_REQUIRE(result.failure);
    }

    bool isSuccess() const { return *result.failure == exchange_failure::None; }

    boost::asio::io_context context{1};
    boost::asio::steady_timer timer{context}; ///< For the server's script.
    scripted_server server;
    std::shared_ptr<client_connection> connection;
    outcome result;
};

/// Writes an answer once, and then closes the connection if that ends the answer.
scripted_server::script answerWith(const std::string &bytes, bool isClosed)
{
    return [=](scripted_server &self, const scripted_server::socket_pointer &socket, int count) {
        if (count > 0)
            return;
        self.write(socket, bytes);
        if (isClosed)
            self.end(socket, false);
    };
}

void checkIsRefused(const answer_sample &sample)
{
    for (const bool isExpectedFirst : {false, true}) {
        exchange_fixture fixture(answerWith(sample.bytes(ID, isExpectedFirst), true));
        fixture.exchange();
        BOOST_CHECK_MESSAGE(!fixture.isSuccess(), "accepted: " << sample.name);
        BOOST_CHECK(*fixture.result.failure == exchange_failure::MalformedAnswer);
        BOOST_CHECK(!fixture.connection->isReusable());
    }
}

} // namespace

BOOST_DATA_TEST_CASE(broken_status_is_refused, data::make(answersWithBrokenStatus()), sample)
{
    checkIsRefused(sample);
}

BOOST_DATA_TEST_CASE(broken_field_is_refused, data::make(answersWithBrokenFields()), sample)
{
    checkIsRefused(sample);
}

BOOST_DATA_TEST_CASE(broken_length_is_refused, data::make(answersWithBrokenLength()), sample)
{
    checkIsRefused(sample);
}

BOOST_DATA_TEST_CASE(sound_answer_passes, data::make(soundAnswers()), sample)
{
    for (const bool isExpectedFirst : {false, true}) {
        exchange_fixture fixture(
                answerWith(sample.answer.bytes(ID, isExpectedFirst), sample.endsByClose));
        fixture.exchange();
        BOOST_CHECK(fixture.isSuccess());
        BOOST_CHECK_EQUAL(fixture.result.answer.result_int(), sample.status);
        BOOST_CHECK_EQUAL(fixture.result.answer.body(), sample.body);
    }
}

// Regression test for an incident: after a reset, the write of the call got the error of the
// connection, and the read that followed an end of the stream like after an orderly close.
BOOST_AUTO_TEST_CASE(answer_that_a_reset_ends_during_the_upload_is_refused)
{
    constexpr std::size_t UPLOAD_BYTES = 32UL << 20U;
    for (const auto &answer : {STATUS_OK + "\r\n" + ID + "\r\npart",
                               STATUS_OK + "\r\n" + ID + CHUNKED_FIELD + "\r\n4\r\npart\r\n",
                               STATUS_OK + "\r\n" + ID + "Content-Length: 5\r\n\r\npart"}) {
        for (const auto delay : {milliseconds(0), milliseconds(20)}) {
            exchange_fixture fixture([&](scripted_server &self,
                                         const scripted_server::socket_pointer &socket, int count) {
                if (count > 0)
                    return;
                self.isReading = false;
                self.write(socket, answer);
                fixture.timer.expires_after(delay);
                fixture.timer.async_wait([socket](boost::system::error_code) {
                    scripted_server::end(socket, true);
                });
            });
            fixture.exchange(http::verb::post, UPLOAD_BYTES);
            BOOST_CHECK_MESSAGE(!fixture.isSuccess(), "accepted: " << answer);
            BOOST_CHECK(!fixture.connection->isReusable());
        }
    }
}

// An early answer is whole once its length has arrived, or the target has ended it in order,
// whether the target then reads the rest of the call, leaves it unread, or closes, which resets
// the connection.
BOOST_AUTO_TEST_CASE(whole_answer_during_the_upload_passes)
{
    constexpr std::size_t UPLOAD_BYTES = 32UL << 20U;
    const auto withLength = STATUS_OK + "\r\n" + ID + WHOLE + "\r\nwhole";
    const auto withoutLength = STATUS_OK + "\r\n" + ID + "\r\nwhole";
    for (const auto &answer : {withLength, withoutLength}) {
        for (const std::string after : {"reads", "waits", "closes"}) {
            scripted_server::socket_pointer kept;
            exchange_fixture fixture([&](scripted_server &self,
                                         const scripted_server::socket_pointer &socket, int count) {
                if (count > 0)
                    return;
                self.isReading = after == "reads";
                self.write(socket, answer);
                socket->shutdown(boost::asio::socket_base::shutdown_send);
                if (after != "closes")
                    kept = socket;
            });
            fixture.exchange(http::verb::post, UPLOAD_BYTES);
            BOOST_CHECK_MESSAGE(fixture.isSuccess(), "refused: " << answer << ", " << after);
            BOOST_CHECK_EQUAL(fixture.result.answer.body(), "whole");
            BOOST_CHECK(!fixture.connection->isReusable());
            kept.reset();
        }
    }
}
