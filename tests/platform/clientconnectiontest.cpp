#define BOOST_TEST_MODULE clientconnection
#include "clementinebeam/asynchttp/clientconnection.h"
#include "clementinebeam/asynchttp/eventloop.h"
#include "clementinebeam/asynchttp/sockets.h"
#include "scriptedserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using clementinebeam::test::scripted_server;
using std::chrono::milliseconds;
namespace http = boost::beast::http;
namespace data = boost::unit_test::data;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t PORT = 21940;
constexpr std::size_t BUDGET = 4UL << 20U;

tcp_endpoint local()
{
    return {boost::asio::ip::make_address_v4("127.0.0.1"), PORT};
}

http_call callWithId(const std::string &id)
{
    http_call call;
    call.version(11);
    call.method(http::verb::get);
    call.target("/x");
    call.set("Id", id);
    return call;
}

std::string answerTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
}

/// The outcome of one exchange, once there is one.
struct outcome {
    std::optional<exchange_failure> failure;
    std::string body;
};

struct client_fixture {
    std::shared_ptr<client_connection> connect()
    {
        auto connection = std::make_shared<client_connection>(context, local(), milliseconds(500));
        connection->setBudget(budget);
        return connection;
    }

    std::shared_ptr<outcome> exchange(const std::shared_ptr<client_connection> &connection,
                                      const std::string &id)
    {
        auto result = std::make_shared<outcome>();
        connection->exchange(
                callWithId(id), [id](const http_answer &answer) { return answer["Id"] == id; },
                [result](exchange_failure failure, http_answer &&answer) {
                    result->failure = failure;
                    result->body = answer.body();
                });
        return result;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        for (int round = 0; round < 1000 && !condition(); ++round)
            context.run_for(milliseconds(5));
        BOOST_REQUIRE(condition());
    }

    boost::asio::io_context context{1};
    std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>(BUDGET);
};

/// An endless stream of bytes that contains no complete answer to the call.
struct endless_stream {
    const char *name;
    std::string beginning;
    std::string repeated;
};

std::ostream &operator<<(std::ostream &stream, const endless_stream &item)
{
    return stream << item.name;
}

const std::string HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\n";
const std::string CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_stream> ENDLESS_STREAMS{
        {"header lines", HEAD, "More: and more\r\n"},
        {"one header line", HEAD + "More: ", "and more "},
        {"status line", "HTTP/1.1 200 ", "fine "},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"answers to other calls", "", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 1\r\n\r\n0"},
        {"body without a length", HEAD + "\r\n", "more"},
        {"chunks", CHUNKED, "4\r\nmore\r\n"},
        {"one chunk", CHUNKED + "ffffffffff\r\n", "more"},
        {"chunk extension", CHUNKED + "4;x=", "more"},
        {"chunk length", CHUNKED, "0"},
        {"trailers", CHUNKED + "0\r\n", "More: and more\r\n"},
        {"body with a huge length", HEAD + "Content-Length: 99999999999\r\n\r\n", "more"},
        {"empty lines", "", "\r\n"},
        {"spaces", "", "    "},
        {"zero bytes", "", std::string(64, '\0')},
};

} // namespace

BOOST_DATA_TEST_CASE(endless_data_is_cut_off_within_the_budget, data::make(ENDLESS_STREAMS), item)
{
    constexpr int CONNECTIONS = 50;
    client_fixture fixture;
    scripted_server server(
            fixture.context, local(),
            [&](scripted_server &self, const std::shared_ptr<tcp::socket> &socket, int count) {
                if (count == 0)
                    self.writeEndlessly(socket, item.beginning, item.repeated);
            });
    std::vector<std::shared_ptr<client_connection>> connections;
    std::vector<std::shared_ptr<outcome>> outcomes;
    for (int index = 0; index < CONNECTIONS; ++index) {
        connections.push_back(fixture.connect());
        outcomes.push_back(fixture.exchange(connections.back(), "1"));
    }
    fixture.runUntil([&] {
        return std::all_of(outcomes.begin(), outcomes.end(),
                           [](const auto &result) { return result->failure.has_value(); });
    });
    for (const auto &result : outcomes)
        BOOST_CHECK(*result->failure != exchange_failure::None);
    fixture.runUntil([&] { return server.brokenConnections == CONNECTIONS; });
    BOOST_CHECK_EQUAL(fixture.budget->used(), 0U);
}

// Guards against giving a caller the answer to an earlier call: in similar systems, a duplicate of
// an answer came late, on a connection that was already in use for the next call.
// Guards against one answer that does not end and keeps the whole budget until its deadline, while
// sound answers to other callers are refused as too large.
BOOST_AUTO_TEST_CASE(answer_that_does_not_end_leaves_memory_for_others)
{
    client_fixture fixture;
    const auto part = [](std::size_t percent) { return std::string(BUDGET * percent / 100, 'x'); };
    int accepted = 0;
    scripted_server server(
            fixture.context, local(),
            [&](scripted_server &self, const std::shared_ptr<tcp::socket> &socket, int count) {
                if (count > 0)
                    return;
                if (++accepted == 1)
                    self.writeLater(socket, HEAD + "\r\n" + part(90)); // No length, and no end.
                else
                    self.writeLater(socket, answerTo("2", part(20)));
            });
    const auto faulty = fixture.connect();
    const auto unending = fixture.exchange(faulty, "1");
    fixture.runUntil([&] { return accepted == 1; });
    fixture.context.run_for(milliseconds(300));
    const auto sound = fixture.connect();
    const auto other = fixture.exchange(sound, "2");
    fixture.runUntil([&] { return other->failure.has_value(); });
    BOOST_CHECK(*other->failure == exchange_failure::None);
    BOOST_CHECK(unending->failure == exchange_failure::AnswerTooLarge);
}

// Guards against a failure of an answer whose whole length was reserved at its beginning, because
// others have reserved memory since.
BOOST_AUTO_TEST_CASE(announced_answer_keeps_its_memory)
{
    client_fixture fixture;
    const std::string body(BUDGET * 40 / 100, 'x');
    const auto announced = answerTo("1", body);
    std::shared_ptr<tcp::socket> first;
    scripted_server server(
            fixture.context, local(),
            [&](scripted_server &self, const std::shared_ptr<tcp::socket> &socket, int count) {
                if (count > 0)
                    return;
                const auto text = first ? answerTo("2", std::string(BUDGET / 4, 'x')) : announced;
                self.writeLater(socket, text.substr(0, text.size() / 2));
                if (!first)
                    first = socket;
            });
    const auto connection = fixture.connect();
    const auto result = fixture.exchange(connection, "1");
    fixture.runUntil([&] { return first != nullptr; });
    fixture.context.run_for(milliseconds(100));
    const auto other = fixture.connect();
    const auto unfinished = fixture.exchange(other, "2");
    fixture.context.run_for(milliseconds(100));
    server.writeLater(first, announced.substr(announced.size() / 2));
    fixture.runUntil([&] { return result->failure.has_value(); });
    BOOST_CHECK(*result->failure == exchange_failure::None);
    BOOST_CHECK(!unfinished->failure);
}

// Without a fault, an answer may take half of the budget.
BOOST_AUTO_TEST_CASE(large_answer_is_received)
{
    client_fixture fixture;
    const std::string body(BUDGET * 45 / 100, 'x');
    scripted_server server(
            fixture.context, local(),
            [&](scripted_server &self, const std::shared_ptr<tcp::socket> &socket, int count) {
                if (count == 0)
                    self.writeLater(socket, answerTo("1", body));
            });
    const auto connection = fixture.connect();
    const auto result = fixture.exchange(connection, "1");
    fixture.runUntil([&] { return result->failure.has_value(); });
    BOOST_CHECK(*result->failure == exchange_failure::None);
    BOOST_CHECK_EQUAL(result->body.size(), body.size());
}

BOOST_AUTO_TEST_CASE(late_duplicate_of_an_answer_never_reaches_the_next_call)
{
    const auto duplicate = answerTo("1", "first");
    for (std::size_t cut = 0; cut <= duplicate.size(); ++cut) {
        client_fixture fixture;
        scripted_server server(
                fixture.context, local(),
                [&](scripted_server &, const std::shared_ptr<tcp::socket> &socket, int count) {
                    if (count == 0) {
                        scripted_server::write(socket, duplicate);
                        return;
                    }
                    // The second call was sent: a duplicate of the first answer arrives in
                    // two pieces before the second answer.
                    scripted_server::write(socket, duplicate.substr(0, cut));
                    scripted_server::write(socket, duplicate.substr(cut) + answerTo("2", "second"));
                });
        const auto connection = fixture.connect();
        const auto first = fixture.exchange(connection, "1");
        fixture.runUntil([&] { return first->failure.has_value(); });
        BOOST_REQUIRE(connection->isReusable());
        const auto second = fixture.exchange(connection, "2");
        fixture.runUntil([&] { return second->failure.has_value(); });
        BOOST_CHECK(*second->failure == exchange_failure::None);
        BOOST_CHECK_EQUAL(second->body, "second");
        BOOST_CHECK(!connection->isReusable());
    }
}

BOOST_AUTO_TEST_CASE(connection_with_a_duplicate_answer_is_not_reused)
{
    for (const auto delay : {milliseconds(0), milliseconds(30)}) {
        client_fixture fixture;
        boost::asio::steady_timer timer(fixture.context);
        scripted_server server(
                fixture.context, local(),
                [&](scripted_server &, const std::shared_ptr<tcp::socket> &socket, int) {
                    scripted_server::write(socket, answerTo("1", "first"));
                    timer.expires_after(delay);
                    timer.async_wait([socket](boost::system::error_code) {
                        scripted_server::write(socket, answerTo("1", "first"));
                    });
                });
        const auto connection = fixture.connect();
        const auto first = fixture.exchange(connection, "1");
        fixture.runUntil([&] { return first->failure.has_value(); });
        fixture.context.run_for(milliseconds(60));
        BOOST_CHECK(!connection->isReusable());
    }
}

// Calls without an id, such as grants, can't be told apart by their answers.
BOOST_AUTO_TEST_CASE(connection_with_unread_bytes_is_not_reused)
{
    client_fixture fixture;
    std::shared_ptr<tcp::socket> server_side;
    scripted_server server(fixture.context, local(),
                           [&](scripted_server &, const std::shared_ptr<tcp::socket> &socket, int) {
                               scripted_server::write(socket, answerTo("1", "first"));
                               server_side = socket;
                           });
    const auto connection = fixture.connect();
    const auto first = fixture.exchange(connection, "1");
    fixture.runUntil([&] { return first->failure.has_value(); });
    BOOST_REQUIRE(connection->isReusable());
    // The event loop does not run between these lines.
    scripted_server::write(server_side, answerTo("1", "first"));
    BOOST_CHECK(!connection->isReusable());
}

BOOST_AUTO_TEST_CASE(truncated_answer_is_a_failure)
{
    const std::vector<std::string> answers{
            answerTo("1", "whole"),
            CHUNKED + "5\r\nwhole\r\n3\r\n, x\r\n0\r\n\r\n",
    };
    for (const auto &answer : answers) {
        for (std::size_t cut = 0; cut < answer.size(); ++cut) {
            for (const bool isReset : {false, true}) {
                client_fixture fixture;
                scripted_server server(
                        fixture.context, local(),
                        [&](scripted_server &, const std::shared_ptr<tcp::socket> &socket, int) {
                            scripted_server::write(socket, answer.substr(0, cut));
                            scripted_server::end(socket, isReset);
                        });
                const auto result = fixture.exchange(fixture.connect(), "1");
                fixture.runUntil([&] { return result->failure.has_value(); });
                BOOST_CHECK_MESSAGE(*result->failure != exchange_failure::None,
                                    "success after " << cut << " bytes");
            }
        }
    }
}

// Without a length, an orderly close ends the answer, but only after a whole head.
BOOST_AUTO_TEST_CASE(head_that_ends_half_way_is_a_failure)
{
    const std::string head = HEAD + "Signature: s\r\nContent-Type: text/plain\r\n\r\n";
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        client_fixture fixture;
        scripted_server server(
                fixture.context, local(),
                [&](scripted_server &, const std::shared_ptr<tcp::socket> &socket, int) {
                    scripted_server::write(socket, head.substr(0, cut));
                    scripted_server::end(socket, false);
                });
        const auto result = fixture.exchange(fixture.connect(), "1");
        fixture.runUntil([&] { return result->failure.has_value(); });
        BOOST_CHECK_MESSAGE(*result->failure != exchange_failure::None,
                            "success after " << cut << " bytes");
    }
}

BOOST_AUTO_TEST_CASE(answer_without_a_length_needs_an_orderly_close)
{
    for (const bool isReset : {false, true}) {
        client_fixture fixture;
        boost::asio::steady_timer timer(fixture.context);
        scripted_server server(
                fixture.context, local(),
                [&](scripted_server &, const std::shared_ptr<tcp::socket> &socket, int) {
                    scripted_server::write(socket, HEAD + "\r\nwhole");
                    timer.expires_after(milliseconds(20));
                    timer.async_wait([socket, isReset](boost::system::error_code) {
                        scripted_server::end(socket, isReset);
                    });
                });
        const auto result = fixture.exchange(fixture.connect(), "1");
        fixture.runUntil([&] { return result->failure.has_value(); });
        BOOST_CHECK_EQUAL(*result->failure == exchange_failure::None, !isReset);
    }
}

BOOST_AUTO_TEST_CASE(exception_ends_only_its_handler)
{
    boost::asio::io_context context{1};
    int handled = 0;
    boost::asio::post(context, [&] { ++handled; });
    boost::asio::post(context, [] { throw std::bad_alloc(); });
    boost::asio::post(context, [&] { ++handled; });
    runEventLoop(context);
    BOOST_CHECK_EQUAL(handled, 2);
}

// Regression test for review/1: a grant that was given up was still sent by the kernel for seconds,
// and took keys that another target held by then.
BOOST_AUTO_TEST_CASE(undelivered_bytes_are_dropped_however_a_connection_ends)
{
    for (const bool isClosed : {true, false}) {
        client_fixture fixture;
        int calls = 0;
        scripted_server server(
                fixture.context, local(),
                [&](scripted_server &, const std::shared_ptr<tcp::socket> &, int) { ++calls; });
        const auto connection = fixture.connect();
        connection->dropUndeliveredAfter(milliseconds(500));
        tcp::socket socket(fixture.context);
        if (isClosed) {
            fixture.exchange(connection, "1");
        } else {
            socket.connect(local());
            dropUndelivered(socket, milliseconds(500));
            boost::asio::write(socket, boost::asio::buffer("GET", 3));
        }
        fixture.runUntil([&] { return calls == 1; });
        connection->close();
        { // As at the end of a process, nothing closes this socket in an orderly way.
            const auto dropped = std::move(socket);
        }
        fixture.runUntil([&] { return !server.ends.empty(); });
        BOOST_CHECK_EQUAL(server.ends.front(), boost::asio::error::connection_reset);
    }
}

// Guards against losing a request whose target reads nothing for some seconds: the system takes it
// for one that is gone if a limit is set for unacknowledged data.
BOOST_AUTO_TEST_CASE(large_call_reaches_a_target_that_reads_nothing_for_some_seconds)
{
    constexpr std::size_t BODY_BYTES = 540000;
    boost::asio::io_context context{1};
    tcp::acceptor acceptor(context, local());
    tcp::socket target(context);
    acceptor.async_accept(target, [](boost::system::error_code error) { BOOST_CHECK(!error); });
    const auto connection =
            std::make_shared<client_connection>(context, local(), milliseconds(500));
    auto call = callWithId("id-1");
    call.method(http::verb::post);
    call.body() = std::string(BODY_BYTES, 'b');
    call.prepare_payload();
    std::optional<exchange_failure> result;
    connection->exchange(std::move(call), {},
                         [&](exchange_failure failure, http_answer &&) { result = failure; });
    context.run_for(milliseconds(6500));
    BOOST_CHECK(!result);
    std::string received;
    boost::asio::async_read(target, boost::asio::dynamic_buffer(received),
                            [](boost::system::error_code, std::size_t) {});
    context.run_for(milliseconds(500));
    BOOST_CHECK_GT(received.size(), BODY_BYTES);
    boost::asio::write(
            target,
            boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                            "X-Clementinebeam-Request-Id: id-1\r\n\r\n")));
    context.run_for(milliseconds(100));
    BOOST_CHECK(result == exchange_failure::None);
}
