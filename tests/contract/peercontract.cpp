#include "internal/asiopeertransport.h"
#include "ports.h"
#include "rawserver.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

const std::string KEY = "0123456789abcdef";

class drop_counter : public i_metrics
{
public:
    void countRequest(const service_name &, const std::string &, error_kind,
                      std::chrono::microseconds) override
    { }
    void countDrop(std::string_view) override { ++drops; }
    void countBrokenAnswer(std::string_view, std::string_view) override { }
    void countRetry(const service_name &, std::string_view) override { }
    void countMoves(const service_name &, std::string_view, std::size_t) override { }
    void observeAdmission(std::chrono::microseconds) override { }
    void setConfigurationVersion(std::uint64_t) override { }
    void setLogReachable(bool) override { }
    void setShard(const shard_id &, int, std::size_t) override { }
    std::string render() const override { return {}; }

    std::atomic<int> drops{0};
};

struct node {
    std::shared_ptr<drop_counter> metrics = std::make_shared<drop_counter>();
    asio_peer_transport transport;

    node(const std::string &id, std::uint16_t number, const std::string &key = KEY)
        : transport({id, 1}, testAddress(number), key, metrics)
    {
        BOOST_REQUIRE(!transport.start());
        transport.setPeers({{"a", testAddress(30)}, {"b", testAddress(31)}});
        transport.setRequestHandler([](const incarnation_id &from, const peer_message &,
                                       const peer_responder &respond) {
            state_reply reply;
            reply.document = "for " + from.instance;
            respond(reply);
        });
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(request_is_answered_by_the_other_instance_and_by_itself)
{
    node a("a", 30);
    node b("b", 31);
    for (const auto *to : {"b", "a"}) {
        const auto reply = a.transport.call(to, state_request{true}, milliseconds(2000));
        BOOST_REQUIRE(reply.has_value());
        BOOST_TEST(std::get<state_reply>(reply.value()).document == "for a");
    }
}

BOOST_AUTO_TEST_CASE(datagram_reaches_the_other_instance)
{
    node a("a", 30);
    node b("b", 31);
    std::promise<std::string> received;
    b.transport.setMessageHandler([&received](const incarnation_id &from, const peer_message &) {
        received.set_value(from.instance);
    });
    a.transport.send("b", stream_notice{1, 2});
    auto future = received.get_future();
    BOOST_REQUIRE(future.wait_for(milliseconds(2000)) == std::future_status::ready);
    BOOST_TEST(future.get() == "a");
}

BOOST_AUTO_TEST_CASE(unreachable_and_unknown_instances_fail)
{
    node a("a", 30);
    for (const auto *to : {"b", "nobody"}) {
        const auto reply = a.transport.call(to, state_request{true}, milliseconds(100));
        BOOST_TEST(reply.error() == make_error_code(error_kind::PeerUnreachable));
    }
}

BOOST_AUTO_TEST_CASE(message_authenticated_with_another_key_is_dropped_and_counted)
{
    node a("a", 30, "another key 0123");
    node b("b", 31);
    BOOST_TEST(!a.transport.call("b", state_request{true}, milliseconds(300)).has_value());
    BOOST_TEST(b.metrics->drops > 0);
}

BOOST_AUTO_TEST_CASE(unlisted_sender_is_dropped_and_counted)
{
    node unlisted("unlisted", 32);
    node b("b", 31);
    BOOST_TEST(!unlisted.transport.call("b", state_request{true}, milliseconds(300)).has_value());
    BOOST_TEST(b.metrics->drops > 0);
}

BOOST_AUTO_TEST_CASE(connection_recovers_after_the_other_instance_restarts)
{
    node a("a", 30);
    {
        node b("b", 31);
        BOOST_TEST(a.transport.call("b", state_request{true}, milliseconds(2000)).has_value());
    }
    node b("b", 31);
    bool answered = false;
    for (int attempt = 0; attempt < 50 && !answered; ++attempt)
        answered = a.transport.call("b", state_request{true}, milliseconds(200)).has_value();
    BOOST_TEST(answered);
}

// A reply counts only as one whole authenticated frame.
BOOST_AUTO_TEST_CASE(broken_frames_are_no_replies)
{
    const std::string tooLong("\xff\xff\xff\xff", 4);
    const std::string cutOff = std::string("\0\0\0\x40", 4) + "part";
    const std::string unknown = std::string("\0\0\0\x4", 4) + "part";
    for (const auto &frame : {tooLong, cutOff, unknown, std::string("HTTP/1.1 200 OK\r\n\r\n")}) {
        raw_server server(testAddress(31).port, frame);
        node a("a", 30);
        const auto reply = a.transport.call("b", state_request{true}, milliseconds(1000));
        BOOST_TEST(!reply.has_value());
        BOOST_TEST(a.metrics->drops == (frame == unknown ? 1 : 0));
    }
}
