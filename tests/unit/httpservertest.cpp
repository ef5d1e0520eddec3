#define BOOST_TEST_MODULE httpserver
#include "clementinebeam/http/httpserver.h"
#include "clementinebeam/kernel/bootclock.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace clementinebeam;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t PORT = 21960;
/// More than fits into the receive buffer of a caller that does not read.
constexpr std::size_t LARGE_BODY_BYTES = 540000;
/// More than the system takes at once, so that the server goes on writing.
constexpr std::size_t HUGE_BODY_BYTES = 12000000;
const std::string REQUEST = "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n";

/// A server whose responses are large, and one caller.
struct server_fixture {
    server_fixture()
        : server(settings(),
                 [this](const http_request &) {
                     ++handled;
                     http_response response;
                     response.body = std::string(bodyBytes, 'b');
                     if (isDraining)
                         response.headers.add("Connection", "close");
                     return response;
                 })
        , caller(context)
    {
        BOOST_REQUIRE(!server.start());
        caller.connect({boost::asio::ip::make_address_v4("127.0.0.1"), PORT});
    }

    static server_settings settings()
    {
        server_settings settings;
        settings.address = {"127.0.0.1", PORT};
        settings.requestTimeout = milliseconds(500);
        return settings;
    }

    void send() { boost::asio::write(caller, boost::asio::buffer(REQUEST)); }

    /// @return the number of bytes behind the first head that arrive until the connection ends or
    ///     a whole body has arrived.
    std::size_t receivedBody()
    {
        std::string text;
        std::size_t expected = 0;
        boost::system::error_code error;
        while (!error && (expected == 0 || text.size() < expected)) {
            std::array<char, 65536> piece{};
            text.append(piece.data(), caller.read_some(boost::asio::buffer(piece), error));
            const auto headEnd = text.find("\r\n\r\n");
            if (headEnd != std::string::npos)
                expected = headEnd + 4 + bodyBytes;
        }
        return text.size() + bodyBytes - expected;
    }

    static void wait(milliseconds time) { std::this_thread::sleep_for(time); }

    std::atomic<std::size_t> bodyBytes{LARGE_BODY_BYTES};
    std::atomic<bool> isDraining{false};
    std::atomic<int> handled{0};
    boost::asio::io_context context{1};
    http_server server;
    tcp::socket caller;
};

} // namespace

// Guards against responses that are cut off by a stop, as at the gateway (review case 6).
BOOST_FIXTURE_TEST_CASE(last_response_reaches_a_slow_caller_that_sends_on, server_fixture)
{
    isDraining = true;
    send();
    wait(milliseconds(100));
    std::thread stopping([this] { server.stop(); });
    wait(milliseconds(100));
    send();
    wait(milliseconds(50));
    BOOST_CHECK_EQUAL(receivedBody(), LARGE_BODY_BYTES);
    caller.close();
    stopping.join();
    BOOST_CHECK_EQUAL(handled, 1);
}

BOOST_FIXTURE_TEST_CASE(stop_does_not_cut_a_response_that_is_being_written, server_fixture)
{
    bodyBytes = HUGE_BODY_BYTES;
    isDraining = true;
    send();
    wait(milliseconds(100));
    std::thread stopping([this] { server.stop(); });
    wait(milliseconds(200));
    BOOST_CHECK_EQUAL(receivedBody(), HUGE_BODY_BYTES);
    caller.close();
    stopping.join();
}

// Guards against taking a caller that reads nothing for a while for one that is gone, as it was at
// the gateway (review case 8).
BOOST_FIXTURE_TEST_CASE(response_reaches_a_caller_that_reads_nothing_for_some_time, server_fixture)
{
    for (const auto bytes : {LARGE_BODY_BYTES, HUGE_BODY_BYTES}) {
        bodyBytes = bytes;
        send();
        wait(milliseconds(1500));
        BOOST_CHECK_EQUAL(receivedBody(), bytes);
    }
}

BOOST_FIXTURE_TEST_CASE(stop_does_not_wait_for_ever_for_callers, server_fixture)
{
    isDraining = true;
    send();
    wait(milliseconds(100));
    const auto begin = boot_clock::now();
    server.stop();
    BOOST_CHECK(boot_clock::now() - begin < std::chrono::seconds(5));
}
