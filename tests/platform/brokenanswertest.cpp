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
