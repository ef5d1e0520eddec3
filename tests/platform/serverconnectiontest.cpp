#define BOOST_TEST_MODULE serverconnection
#include "clementinebeam/asynchttp/serverlistener.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t PORT = 21950;
const std::string REQUEST = "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody";

tcp_endpoint local()
{
    return {boost::asio::ip::make_address_v4("127.0.0.1"), PORT};
}

/// Answers each request with the request's body, or a given one, after a delay.
class slow_handler : public i_request_handler
{
public:
    explicit slow_handler(boost::asio::io_context &context)
        : m_context(context)
    { }

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override
    {
        ++handled;
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, milliseconds(50));
        const auto body = answerBody.empty() ? call.body() : answerBody;
        timer->async_wait([this, timer, connection, body](boost::system::error_code) {
            connection->respond(makeOwnAnswer(200, body), boot_clock::now() + deliveryTime);
        });
    }
    const server_limits &limits() const override { return serverLimits; }
    std::shared_ptr<memory_account> memory() override { return account; }

    std::shared_ptr<memory_account> account; ///< None by default.
    std::string answerBody;                  ///< Empty for the request's body.
    milliseconds deliveryTime{0};            ///< How long callers may take for an answer at least.
    server_limits serverLimits;
    int handled = 0;

private:
    boost::asio::io_context &m_context;
};

/// A listener and a caller, to stop the listener at different stages of a request.
struct listener_fixture {
    listener_fixture()
        : handler(context)
        , listener(context, handler)
        , caller(context)
    {
        BOOST_REQUIRE(!listener.listen(local()));
        caller.connect(local());
    }

    void send(const std::string &bytes) { boost::asio::write(caller, boost::asio::buffer(bytes)); }

    void stop()
    {
        listener.stopAccepting();
        listener.finishAll();
    }

    void run(milliseconds time) { context.run_for(time); }

    /// @return all that the caller receives from now on; waits long enough for the connection to
    /// end.
    std::string received()
    {
        std::string text;
        boost::asio::async_read(caller, boost::asio::dynamic_buffer(text),
                                [](boost::system::error_code, std::size_t) {});
        context.run_for(milliseconds(700));
        return text;
    }

    boost::asio::io_context context{1};
    slow_handler handler;
    server_listener listener;
    tcp::socket caller;
};

void checkComplete(const std::string &answer)
{
    BOOST_CHECK_EQUAL(answer.substr(0, 15), "HTTP/1.1 200 OK");
    BOOST_CHECK_EQUAL(answer.substr(answer.size() < 4 ? 0 : answer.size() - 4), "body");
}

} // namespace

// Guards against losing requests on connections that wait in the accept queue, as seen in similar
// systems during a planned stop under load.
BOOST_FIXTURE_TEST_CASE(request_in_the_accept_queue_is_answered_at_a_stop, listener_fixture)
{
    send(REQUEST);
    stop();
    checkComplete(received());
}

// Asio accepts a waiting connection at once, but runs the handler of that accept in a later
// iteration of the event loop, here after the stop.
BOOST_FIXTURE_TEST_CASE(request_accepted_right_before_a_stop_is_answered, listener_fixture)
{
    tcp::socket other(context);
    other.connect(local());
    send(REQUEST);
    boost::asio::write(other, boost::asio::buffer(REQUEST));
    context.poll_one();
    stop();
    std::string text;
    boost::asio::async_read(other, boost::asio::dynamic_buffer(text),
                            [](boost::system::error_code, std::size_t) {});
    checkComplete(received());
    checkComplete(text);
}

BOOST_FIXTURE_TEST_CASE(request_in_transit_is_answered_at_a_stop, listener_fixture)
{
    context.run_for(milliseconds(10));
    stop();
    send(REQUEST);
    checkComplete(received());
}

BOOST_AUTO_TEST_CASE(partly_read_request_is_answered_at_a_stop)
{
    for (std::size_t cut = 1; cut < REQUEST.size(); cut += 7) {
        listener_fixture fixture;
        fixture.send(REQUEST.substr(0, cut));
        fixture.context.run_for(milliseconds(10));
        fixture.stop();
        fixture.send(REQUEST.substr(cut));
        checkComplete(fixture.received());
    }
}

BOOST_FIXTURE_TEST_CASE(unread_request_on_a_reused_connection_is_answered_at_a_stop,
                        listener_fixture)
{
    send(REQUEST);
    context.run_for(milliseconds(100));
    std::array<char, 256> first{};
    caller.read_some(boost::asio::buffer(first));
    send(REQUEST);
    stop();
    checkComplete(received());
}

BOOST_FIXTURE_TEST_CASE(idle_connection_is_closed_at_a_stop, listener_fixture)
{
    send(REQUEST);
    context.run_for(milliseconds(100));
    stop();
    context.run_for(milliseconds(10));
    BOOST_CHECK(!listener.isBusy());
    BOOST_CHECK_EQUAL(listener.connectionCount(), 0U);
}

namespace {

/// More than fits into the receive buffer of a caller that does not read.
constexpr std::size_t LARGE_BODY_BYTES = 540000;
/// More than the system takes at once, so that the connection goes on writing.
constexpr std::size_t HUGE_BODY_BYTES = 12000000;
/// Time for a request to be handled, and for the system to take its answer.
constexpr milliseconds ANSWER_TIME{150};

/// @return the number of bytes behind the first head.
std::size_t bodyBytes(const std::string &answers)
{
    const auto headEnd = answers.find("\r\n\r\n");
    return headEnd == std::string::npos ? 0 : answers.size() - headEnd - 4;
}

} // namespace

// Guards against answers that are cut off by a stop: the connection was closed while the system
// still held most of the last answer, which it dropped when the caller sent its next request.
BOOST_FIXTURE_TEST_CASE(last_answer_reaches_a_slow_caller_that_sends_on, listener_fixture)
{
    handler.answerBody = std::string(LARGE_BODY_BYTES, 'b');
    send(REQUEST);
    run(milliseconds(20));
    stop();
    run(ANSWER_TIME);
    send(REQUEST);
    run(milliseconds(20));
    BOOST_CHECK(listener.isBusy());
    const auto text = received();
    BOOST_CHECK(text.find("Connection: close") != std::string::npos);
    BOOST_CHECK_EQUAL(bodyBytes(text), LARGE_BODY_BYTES);
    BOOST_CHECK_EQUAL(handler.handled, 1);
    caller.close();
    run(milliseconds(20));
    BOOST_CHECK(!listener.isBusy());
}

// As above, for an answer that was given before the stop and does not announce the close.
BOOST_FIXTURE_TEST_CASE(answer_given_before_a_stop_reaches_a_slow_caller_that_sends_on,
                        listener_fixture)
{
    handler.answerBody = std::string(LARGE_BODY_BYTES, 'b');
    send(REQUEST);
    run(ANSWER_TIME);
    stop();
    send(REQUEST);
    run(milliseconds(20));
    BOOST_CHECK_EQUAL(bodyBytes(received()), LARGE_BODY_BYTES);
}

// Guards against dropping a request that was read behind an answer without "Connection: close".
BOOST_FIXTURE_TEST_CASE(request_read_behind_an_answer_that_keeps_the_connection_is_answered,
                        listener_fixture)
{
    handler.answerBody = std::string(HUGE_BODY_BYTES, 'b');
    send(REQUEST);
    run(ANSWER_TIME);
    send(REQUEST);
    run(milliseconds(20));
    stop();
    const auto text = received();
    BOOST_CHECK_EQUAL(handler.handled, 2);
    const auto second = text.find("HTTP/1.1 200 OK", 1);
    BOOST_REQUIRE(second != std::string::npos);
    BOOST_CHECK_EQUAL(bodyBytes(text.substr(0, second)), HUGE_BODY_BYTES);
    BOOST_CHECK(text.find("Connection: close", second) != std::string::npos);
    BOOST_CHECK_EQUAL(bodyBytes(text.substr(second)), HUGE_BODY_BYTES);
}

// Guards against idle connections that discard an answer: its caller reads nothing for longer than
// the idle timeout and then sends the next request.
BOOST_FIXTURE_TEST_CASE(answer_outlives_the_idle_timeout_of_its_connection, listener_fixture)
{
    handler.serverLimits.idleTimeout = milliseconds(400);
    handler.answerBody = std::string(LARGE_BODY_BYTES, 'b');
    send(REQUEST);
    run(milliseconds(500)); // The answer is given after 50 ms.
    send(REQUEST);
    run(milliseconds(20));
    BOOST_CHECK_EQUAL(bodyBytes(received()), LARGE_BODY_BYTES);
}

// Guards against ending the connection of a live caller that reads nothing for some seconds: the
// system takes it for one that is gone if a limit is set for unacknowledged data.
BOOST_FIXTURE_TEST_CASE(answer_reaches_a_caller_that_reads_nothing_for_some_seconds,
                        listener_fixture)
{
    for (const auto bytes : {LARGE_BODY_BYTES, HUGE_BODY_BYTES}) {
        handler.answerBody = std::string(bytes, 'b');
        tcp::socket other(context);
        other.connect(local());
        boost::asio::write(other, boost::asio::buffer(REQUEST));
        run(milliseconds(6500));
        std::string text;
        boost::asio::async_read(other, boost::asio::dynamic_buffer(text),
                                [](boost::system::error_code, std::size_t) {});
        run(milliseconds(700));
        // The read goes on, so there may be unused bytes behind the answer.
        BOOST_CHECK_EQUAL(std::count(text.begin(), text.end(), 'b'), bytes);
        // The read, which goes on, must end before its buffer does.
        other.close();
        run(milliseconds(10));
    }
}

// Guards against an idle timeout below the time that a caller has for its answer.
BOOST_FIXTURE_TEST_CASE(caller_may_pause_for_longer_than_the_idle_timeout, listener_fixture)
{
    handler.serverLimits.idleTimeout = milliseconds(200);
    handler.deliveryTime = milliseconds(3000);
    handler.answerBody = std::string(HUGE_BODY_BYTES, 'b');
    send(REQUEST);
    run(milliseconds(1200));
    BOOST_CHECK_EQUAL(bodyBytes(received()), HUGE_BODY_BYTES);
}

// As above, while the connection ends and the system holds the rest of the answer.
BOOST_FIXTURE_TEST_CASE(caller_may_pause_for_longer_than_the_idle_timeout_after_a_stop,
                        listener_fixture)
{
    handler.serverLimits.idleTimeout = milliseconds(200);
    handler.deliveryTime = milliseconds(3000);
    handler.answerBody = std::string(LARGE_BODY_BYTES, 'b');
    send(REQUEST);
    run(milliseconds(20));
    stop();
    run(milliseconds(1200));
    send(REQUEST);
    run(milliseconds(20));
    BOOST_CHECK_EQUAL(bodyBytes(received()), LARGE_BODY_BYTES);
}

// Guards against taking what the caller's system has acknowledged for what the caller has read.
BOOST_AUTO_TEST_CASE(acknowledged_answer_reaches_a_caller_that_pauses_and_sends_on)
{
    constexpr std::size_t ACKNOWLEDGED_BYTES = 30000;
    for (const bool isAnsweredBefore : {true, false}) {
        listener_fixture fixture;
        fixture.handler.deliveryTime = milliseconds(3000);
        fixture.handler.answerBody = std::string(ACKNOWLEDGED_BYTES, 'b');
        fixture.send(REQUEST);
        fixture.run(isAnsweredBefore ? ANSWER_TIME : milliseconds(20));
        fixture.stop();
        fixture.run(milliseconds(1500));
        fixture.send(REQUEST);
        fixture.run(milliseconds(20));
        BOOST_CHECK(fixture.listener.isBusy());
        BOOST_CHECK_EQUAL(bodyBytes(fixture.received()), ACKNOWLEDGED_BYTES);
    }
}

// An answer that is never read must not hold the connection, and a stop, for ever.
BOOST_FIXTURE_TEST_CASE(connection_whose_last_answer_is_never_read_ends, listener_fixture)
{
    handler.serverLimits.idleTimeout = milliseconds(300);
    handler.answerBody = std::string(LARGE_BODY_BYTES, 'b');
    send(REQUEST);
    run(milliseconds(20));
    stop();
    run(ANSWER_TIME);
    BOOST_CHECK(listener.isBusy());
    run(milliseconds(600));
    BOOST_CHECK(!listener.isBusy());
}

// Guards against a read that is under way while the buffered request behind the current one is
// parsed: bytes of an earlier request were parsed again. An order would have run twice.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_answered_in_order)
{
    constexpr int REQUEST_COUNT = 6;
    // Less than the time to handle a request, so that each one arrives while the one before it is
    // being handled.
    constexpr milliseconds INTERVAL{40};
    for (const std::size_t cut : {0U, 10U, 50U, 60U}) {
        listener_fixture fixture;
        std::string expected;
        for (int number = 0; number < REQUEST_COUNT; ++number) {
            const auto body = "order-" + std::to_string(number);
            const auto request = "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body;
            expected += body;
            fixture.send(request.substr(0, cut));
            fixture.context.run_for(INTERVAL / 2);
            fixture.send(request.substr(cut));
            fixture.context.run_for(INTERVAL / 2);
        }
        const auto text = fixture.received();
        std::string bodies;
        for (auto at = text.find("order-"); at != std::string::npos;
             at = text.find("order-", at + 1))
            bodies += text.substr(at, 7);
        BOOST_CHECK_EQUAL(bodies, expected);
    }
}

namespace {

constexpr std::size_t ACCOUNT_BYTES = 65536;

std::string requestWithBody(std::size_t bytes)
{
    return "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: " + std::to_string(bytes)
            + "\r\n\r\n" + std::string(bytes, 'x');
}

/// A listener whose connections share a small account, and a second caller.
struct account_fixture : listener_fixture {
    account_fixture()
        : other(context)
        , late(context)
    {
        handler.account = std::make_shared<memory_account>(ACCOUNT_BYTES);
        other.connect(local());
        late.connect(local());
        context.run_for(milliseconds(10));
    }

    tcp::socket other;
    tcp::socket late;
};

} // namespace

// A refusal promises that the request has not run and never will; its caller is still sending.
BOOST_FIXTURE_TEST_CASE(refusal_for_memory_reaches_its_caller_and_nothing_is_run, account_fixture)
{
    send(requestWithBody(2 * ACCOUNT_BYTES) + REQUEST);
    const auto text = received();
    BOOST_CHECK_EQUAL(text.substr(0, 12), "HTTP/1.1 503");
    BOOST_CHECK(text.find("Connection: close") != std::string::npos);
    BOOST_CHECK_EQUAL(text.find("HTTP/1.1", 1), std::string::npos);
    BOOST_CHECK_EQUAL(handler.handled, 0);
}

BOOST_FIXTURE_TEST_CASE(incomplete_large_request_gives_way_to_a_small_one, account_fixture)
{
    const auto large = requestWithBody(ACCOUNT_BYTES / 2);
    send(large.substr(0, large.size() - 1));
    boost::asio::write(other, boost::asio::buffer(large.substr(0, large.size() - 2)));
    context.run_for(milliseconds(50));
    boost::asio::write(late, boost::asio::buffer(REQUEST));
    std::string text;
    boost::asio::async_read(late, boost::asio::dynamic_buffer(text),
                            [](boost::system::error_code, std::size_t) {});
    context.run_for(milliseconds(200));
    // The read goes on, so there may be unused bytes behind the answer.
    BOOST_CHECK_EQUAL(text.substr(0, 15), "HTTP/1.1 200 OK");
    BOOST_CHECK(text.find("\r\n\r\nbody") != std::string::npos);
    BOOST_CHECK_EQUAL(handler.handled, 1);
    BOOST_CHECK_LE(handler.account->used(), ACCOUNT_BYTES);
}

// What was sent behind an answer that closes the connection is not run.
BOOST_FIXTURE_TEST_CASE(requests_sent_ahead_beyond_the_account_are_not_run, account_fixture)
{
    std::string ahead;
    while (ahead.size() < 2 * ACCOUNT_BYTES)
        ahead += REQUEST;
    send(REQUEST + ahead);
    const auto text = received();
    BOOST_CHECK_EQUAL(text.substr(0, 12), "HTTP/1.1 200");
    BOOST_CHECK_EQUAL(text.find("HTTP/1.1", 1), std::string::npos);
    BOOST_CHECK_EQUAL(handler.handled, 1);
}

BOOST_FIXTURE_TEST_CASE(idle_connection_closes_for_a_new_one_at_the_limit, account_fixture)
{
    listener.setConnectionLimit(3);
    tcp::socket more(context);
    more.connect(local());
    context.run_for(milliseconds(20));
    boost::asio::write(more, boost::asio::buffer(REQUEST));
    std::string text;
    boost::asio::async_read(more, boost::asio::dynamic_buffer(text),
                            [](boost::system::error_code, std::size_t) {});
    context.run_for(milliseconds(200));
    // The read goes on, so there may be unused bytes behind the answer.
    BOOST_CHECK_EQUAL(text.substr(0, 15), "HTTP/1.1 200 OK");
    BOOST_CHECK(text.find("\r\n\r\nbody") != std::string::npos);
    BOOST_CHECK_EQUAL(listener.connectionCount(), 3U);
}
