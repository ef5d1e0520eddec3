#include "clementinebeam/http/httpchannel.h"
#include "clementinebeam/http/httpserver.h"
#include "ports.h"
#include "rawserver.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

instant deadlineIn(milliseconds time)
{
    return boot_clock::now() + time;
}

http_response echo(const http_request &request)
{
    http_response response;
    response.headers.add("X-Path", request.path);
    response.body = request.body;
    return response;
}

server_settings serverSettingsFor(std::uint16_t number)
{
    server_settings settings;
    settings.address = testAddress(number);
    settings.maxBodyBytes = 1000;
    return settings;
}

channel_settings singleConnection()
{
    channel_settings settings;
    settings.connections = 1;
    settings.maxConnections = 4;
    return settings;
}

error_kind errorOf(const result<http_response> &response)
{
    return response ? error_kind::None : kindOf(response.error());
}

} // namespace

BOOST_AUTO_TEST_CASE(concurrent_exchanges_return_their_own_responses)
{
    http_server server(serverSettingsFor(10), echo);
    BOOST_REQUIRE(!server.start());
    http_channel channel(testAddress(10), {});
    std::vector<std::thread> threads;
    std::atomic<int> mismatches{0};
    for (int thread = 0; thread < 8; ++thread) {
        threads.emplace_back([&, thread] {
            for (int round = 0; round < 200; ++round) {
                http_request request;
                request.method = "POST";
                request.path = "/a b/" + std::to_string(thread);
                request.body = std::to_string(thread) + '/' + std::to_string(round);
                const auto response = channel.exchange(request, deadlineIn(milliseconds(5000)));
                if (!response || response.value().body != request.body
                    || response.value().headers.find("x-path") != request.path)
                    ++mismatches;
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    BOOST_TEST(mismatches == 0);
}

BOOST_AUTO_TEST_CASE(body_over_the_limit_is_refused)
{
    http_server server(serverSettingsFor(11), echo);
    BOOST_REQUIRE(!server.start());
    http_channel channel(testAddress(11), {});
    http_request request;
    request.method = "POST";
    request.body = std::string(1001, 'x');
    const auto response = channel.exchange(request, deadlineIn(milliseconds(5000)));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().status == 413);
}

BOOST_AUTO_TEST_CASE(server_is_reached_by_its_name)
{
    http_server server(serverSettingsFor(45), echo);
    BOOST_REQUIRE(!server.start());
    http_channel channel({"localhost", testAddress(45).port}, singleConnection());
    BOOST_TEST(channel.exchange({}, deadlineIn(milliseconds(5000))).has_value());
}

BOOST_AUTO_TEST_CASE(request_to_a_closed_port_is_reported_as_not_sent)
{
    http_channel channel(testAddress(12), singleConnection());
    BOOST_CHECK(errorOf(channel.exchange({}, deadlineIn(milliseconds(200))))
                == error_kind::TargetUnreachable);
}

BOOST_AUTO_TEST_CASE(unanswered_request_ends_at_the_deadline)
{
    raw_server server(testAddress(13).port, "");
    http_channel channel(testAddress(13), singleConnection());
    BOOST_CHECK(errorOf(channel.exchange({}, deadlineIn(milliseconds(1000))))
                == error_kind::DeadlineExceeded);
}

BOOST_AUTO_TEST_CASE(request_that_expires_in_the_queue_is_reported_as_not_sent)
{
    raw_server server(testAddress(14).port, "");
    channel_settings settings = singleConnection();
    settings.maxConnections = 1;
    http_channel channel(testAddress(14), settings);
    channel.post({}, deadlineIn(milliseconds(3000)), [](const result<http_response> &) {});
    while (!channel.isOpen())
        std::this_thread::yield();
    std::this_thread::sleep_for(milliseconds(50));
    BOOST_CHECK(errorOf(channel.exchange({}, deadlineIn(milliseconds(100))))
                == error_kind::TargetUnreachable);
}

BOOST_AUTO_TEST_CASE(truncated_response_is_an_error)
{
    raw_server server(testAddress(15).port, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    http_channel channel(testAddress(15), singleConnection());
    BOOST_CHECK(errorOf(channel.exchange({}, deadlineIn(milliseconds(2000))))
                == error_kind::AnswerIncomplete);
}

BOOST_AUTO_TEST_CASE(response_without_a_content_length_is_an_error)
{
    raw_server server(testAddress(16).port, "HTTP/1.1 200 OK\r\n\r\nabc");
    http_channel channel(testAddress(16), singleConnection());
    BOOST_CHECK(errorOf(channel.exchange({}, deadlineIn(milliseconds(2000))))
                == error_kind::AnswerIncomplete);
}

BOOST_AUTO_TEST_CASE(connection_closed_before_a_response_is_reported_as_lost)
{
    raw_server server(testAddress(17).port, "x");
    http_channel channel(testAddress(17), singleConnection());
    const auto error = errorOf(channel.exchange({}, deadlineIn(milliseconds(2000))));
    BOOST_CHECK(error == error_kind::ConnectionLost);
}

BOOST_AUTO_TEST_CASE(channel_reconnects_after_the_server_starts)
{
    http_channel channel(testAddress(18), singleConnection());
    BOOST_CHECK(errorOf(channel.exchange({}, deadlineIn(milliseconds(100)))) != error_kind::None);
    http_server server(serverSettingsFor(18), echo);
    BOOST_REQUIRE(!server.start());
    BOOST_CHECK(errorOf(channel.exchange({}, deadlineIn(milliseconds(5000)))) == error_kind::None);
}
