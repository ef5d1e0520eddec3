#define BOOST_TEST_MODULE serverconnection
#include "clementinebeam/asynchttp/serverconnection.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t PORT = 21950;
const std::string REQUEST = "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\njars";

tcp_endpoint local()
{
    return {boost::asio::ip::make_address_v4("127.0.0.1"), PORT};
}

/// Answers each request after a while.
class slow_handler : public i_request_handler
{
public:
    explicit slow_handler(boost::asio::io_context &context)
        : m_context(context)
    { }

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, milliseconds(50));
        timer->async_wait([timer, connection, body = call.body()](boost::system::error_code) {
            connection->respond(makeOwnAnswer(200, body));
        });
    }
    const server_limits &limits() const override { return m_limits; }

private:
    boost::asio::io_context &m_context;
    server_limits m_limits;
};

/// A listener that is stopped while a caller's request is somewhere on its way.
struct stopping_listener {
    stopping_listener()
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

    /// @return what the caller gets until the connection ends.
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

void checkWhole(const std::string &answer)
{
    BOOST_CHECK_EQUAL(answer.substr(0, 15), "HTTP/1.1 200 OK");
    BOOST_CHECK_EQUAL(answer.substr(answer.size() < 4 ? 0 : answer.size() - 4), "jars");
}

} // namespace

// Seen by operators of similar systems: during a planned stop under load, requests that had just
// been accepted were cut off.
BOOST_FIXTURE_TEST_CASE(request_in_the_accept_queue_is_answered_at_a_stop, stopping_listener)
{
    send(REQUEST);
    stop();
    checkWhole(received());
}

// The listener takes the next connection at once, and hears of it in a later round of the event
// loop.
BOOST_FIXTURE_TEST_CASE(request_that_was_accepted_right_before_a_stop_is_answered,
                        stopping_listener)
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
    checkWhole(received());
    checkWhole(text);
}

BOOST_FIXTURE_TEST_CASE(request_that_follows_its_connection_is_answered_at_a_stop,
                        stopping_listener)
{
    context.run_for(milliseconds(10));
    stop();
    send(REQUEST);
    checkWhole(received());
}

BOOST_AUTO_TEST_CASE(request_that_is_read_in_part_is_answered_at_a_stop)
{
    for (std::size_t cut = 1; cut < REQUEST.size(); cut += 7) {
        stopping_listener path;
        path.send(REQUEST.substr(0, cut));
        path.context.run_for(milliseconds(10));
        path.stop();
        path.send(REQUEST.substr(cut));
        checkWhole(path.received());
    }
}

BOOST_FIXTURE_TEST_CASE(unread_request_on_a_kept_connection_is_answered_at_a_stop,
                        stopping_listener)
{
    send(REQUEST);
    context.run_for(milliseconds(100));
    std::array<char, 256> first{};
    caller.read_some(boost::asio::buffer(first));
    send(REQUEST);
    stop();
    checkWhole(received());
}

BOOST_FIXTURE_TEST_CASE(idle_connection_ends_at_a_stop, stopping_listener)
{
    send(REQUEST);
    context.run_for(milliseconds(100));
    stop();
    context.run_for(milliseconds(10));
    BOOST_CHECK(!listener.isBusy());
    BOOST_CHECK_EQUAL(listener.connectionCount(), 0U);
}
