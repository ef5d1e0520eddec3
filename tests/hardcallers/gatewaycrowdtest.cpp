#define BOOST_TEST_MODULE hardcallers
#include "gatewaysystem.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace clementinebeam;
using namespace clementinebeam::test;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t BLOCK_BYTES = 65536;
constexpr std::size_t BODY_BYTES = 4U << 20U; ///< The largest legal body in most cases.
constexpr std::size_t CROWD_SIZE = 60;

std::string head(const std::string &headers, const std::string &id = "crowd")
{
    return "POST /crowd HTTP/1.1\r\nHost: a.example\r\nX-Clementinebeam-Request-Id: " + id
            + "\r\nX-Clementinebeam-Deadline-Ms: 5000\r\n" + headers + "\r\n";
}

std::string withLength(std::size_t bytes)
{
    return head("Content-Length: " + std::to_string(bytes) + "\r\n");
}

std::string chunk(std::size_t bytes, const std::string &extension = {})
{
    std::ostringstream text;
    text << std::hex << bytes << extension << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

/// A whole body of the largest legal size, but for some bytes at its end.
caller_script bodyScript(std::size_t missingBytes)
{
    caller_script script;
    script.head = withLength(BODY_BYTES);
    script.block = std::string(BLOCK_BYTES, 'x');
    script.blocks = BODY_BYTES / BLOCK_BYTES - 1;
    script.tail = std::string(BLOCK_BYTES - missingBytes, 'x');
    return script;
}

struct fixture {
    explicit fixture(const crowd_limits &settings = {})
        : limits(settings)
        , system(settings)
    {
        BOOST_REQUIRE(system.isOrdinaryRequestServed());
    }

    /// Plays a crowd until it has sent all or its connections have ended, then a while longer.
    void play(const caller_script &script, std::size_t count = CROWD_SIZE)
    {
        play(script, count, system.callers());
    }

    void play(const caller_script &script, std::size_t count,
              const boost::asio::ip::tcp::endpoint &peer)
    {
        crowd callers(system.context, peer, script, count);
        BOOST_CHECK(system.runUntil([&] { return callers.hasSentAll(); }));
        answers = callers.answers();
        checkBounds();
        // While those that stay open still are.
        BOOST_CHECK(system.isOrdinaryRequestServed(std::string(1000, 'x')));
        system.run(milliseconds(1000));
        checkBounds();
        answers = callers.answers();
    }

    void checkBounds()
    {
        BOOST_TEST_MESSAGE("peak memory " << system.peakMemoryMb() << " MB, descriptors "
                                          << system.peakDescriptors());
        BOOST_CHECK(system.isRunning());
        BOOST_CHECK_LT(system.peakMemoryMb(), limits.memoryMb);
        BOOST_CHECK_LT(system.peakDescriptors(), limits.descriptors * 7 / 8);
    }

    const crowd_limits limits;
    gateway_system system;
    std::map<std::string, int> answers;
};

/// Room for one body of a size that is more than a third of the memory.
crowd_limits limitsOfOneLargeBody()
{
    crowd_limits limits;
    limits.bodyBytes = 32U << 20U;
    return limits;
}

struct large_body_fixture : fixture {
    large_body_fixture()
        : fixture(limitsOfOneLargeBody())
    { }
};

crowd_limits limitsOfFewDescriptors()
{
    crowd_limits limits;
    limits.descriptors = 256;
    return limits;
}

struct few_descriptors_fixture : fixture {
    few_descriptors_fixture()
        : fixture(limitsOfFewDescriptors())
    { }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(many_whole_legal_bodies_at_once, fixture)
{
    system.target.setBehaviour([this](const http_call &call, const auto &connection) {
        const auto timer =
                std::make_shared<boost::asio::steady_timer>(system.context, milliseconds(300));
        auto answer = makeOwnAnswer(200, "done");
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        answer.set("X-Clementinebeam-Response-Signature", "sig");
        timer->async_wait([timer, connection, answer](boost::system::error_code) {
            connection->respond(answer);
        });
    });
    play(bodyScript(0));
}

BOOST_FIXTURE_TEST_CASE(many_legal_bodies_that_stop_just_short, fixture)
{
    auto script = bodyScript(1);
    script.connections = 3;
    play(script);
}

BOOST_FIXTURE_TEST_CASE(many_legal_bodies_piece_by_piece_that_stop_just_short, fixture)
{
    auto script = bodyScript(1);
    script.block = std::string(BLOCK_BYTES / 4, 'x');
    script.blocks *= 4;
    script.pause = milliseconds(2);
    play(script);
}

BOOST_FIXTURE_TEST_CASE(announced_bodies_over_the_limit, fixture)
{
    auto script = bodyScript(1);
    script.head = withLength(BODY_BYTES * 100);
    script.blocks = BODY_BYTES * 2 / BLOCK_BYTES;
    play(script);
    BOOST_CHECK_EQUAL(answers.size(), answers.count("413"));
}

BOOST_FIXTURE_TEST_CASE(announced_bodies_over_the_limit_that_wait_for_the_interim_answer, fixture)
{
    caller_script script;
    script.head =
            head("Expect: 100-continue\r\nContent-Length: " + std::to_string(1ULL << 40U) + "\r\n");
    play(script);
    BOOST_CHECK_EQUAL(answers["413"], static_cast<int>(CROWD_SIZE));
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_over_the_limit_that_are_just_sent, fixture)
{
    auto script = bodyScript(1);
    script.head = head("Transfer-Encoding: chunked\r\n");
    script.block = chunk(BLOCK_BYTES);
    script.blocks = BODY_BYTES * 2 / BLOCK_BYTES;
    play(script);
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_in_large_chunks_that_stop_just_short, fixture)
{
    auto script = bodyScript(1);
    script.head = head("Transfer-Encoding: chunked\r\n");
    script.block = chunk(BODY_BYTES / 4);
    script.blocks = 3;
    script.tail = chunk(BODY_BYTES / 4 - 1);
    play(script);
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_in_tiny_chunks_that_stop_just_short, fixture)
{
    caller_script script;
    script.head = head("Transfer-Encoding: chunked\r\n");
    for (std::size_t count = 0; count < BLOCK_BYTES / 6; ++count)
        script.block += chunk(1);
    script.blocks = 30;
    play(script);
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_with_long_extensions_that_stop_just_short, fixture)
{
    caller_script script;
    script.head = head("Transfer-Encoding: chunked\r\n");
    script.block = chunk(1, ";a=" + std::string(4000, 'b'));
    script.blocks = 1000;
    play(script);
}

BOOST_FIXTURE_TEST_CASE(chunk_extensions_without_an_end, fixture)
{
    caller_script script;
    script.head = head("Transfer-Encoding: chunked\r\n") + "1;a=";
    script.block = std::string(BLOCK_BYTES, 'b');
    script.blocks = 64;
    play(script);
}

BOOST_FIXTURE_TEST_CASE(trailers_without_an_end, fixture)
{
    caller_script script;
    script.head = head("Transfer-Encoding: chunked\r\n") + chunk(1) + "0\r\n";
    for (int count = 0; count < 60; ++count)
        script.block += "T" + std::to_string(count) + ": " + std::string(1000, 'b') + "\r\n";
    script.blocks = 64;
    play(script);
}

BOOST_FIXTURE_TEST_CASE(heads_byte_by_byte_without_an_end, few_descriptors_fixture)
{
    caller_script script;
    script.head = "POST /crowd HTTP/1.1\r\nX-Long: ";
    script.block = "a";
    script.blocks = 60;
    script.pause = milliseconds(20);
    script.connections = 2;
    play(script, 400);
}

BOOST_FIXTURE_TEST_CASE(connections_that_send_nothing, few_descriptors_fixture)
{
    play({}, 400);
}

BOOST_FIXTURE_TEST_CASE(connections_to_the_readiness_listener_that_send_nothing,
                        few_descriptors_fixture)
{
    play({}, 400, system.readiness());
}

BOOST_FIXTURE_TEST_CASE(bodies_sent_to_the_readiness_listener, fixture)
{
    play(bodyScript(1), CROWD_SIZE, system.readiness());
}

BOOST_FIXTURE_TEST_CASE(callers_that_send_ahead_without_reading, fixture)
{
    system.target.setBehaviour([](const http_call &call, const auto &connection) {
        auto answer = makeOwnAnswer(200, std::string(BLOCK_BYTES, 'y'));
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        answer.set("X-Clementinebeam-Response-Signature", "sig");
        connection->respond(answer);
    });
    caller_script script;
    script.readsAnswers = false;
    script.head = withLength(0);
    while (script.block.size() < BLOCK_BYTES)
        script.block += withLength(0);
    script.blocks = 1;
    play(script, 200);
}

BOOST_FIXTURE_TEST_CASE(callers_that_do_not_read_a_large_answer, fixture)
{
    system.target.setBehaviour([](const http_call &call, const auto &connection) {
        const bool isOrdinary = call.target() == "/ordinary";
        auto answer = makeOwnAnswer(200, std::string(isOrdinary ? 10 : BODY_BYTES, 'y'));
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        answer.set("X-Clementinebeam-Response-Signature", "sig");
        connection->respond(answer);
    });
    caller_script script;
    script.readsAnswers = false;
    script.head = withLength(0);
    play(script);
    system.run(milliseconds(3000));
    checkBounds();
}

BOOST_FIXTURE_TEST_CASE(datagrams_to_the_port_between_instances, fixture)
{
    namespace ip = boost::asio::ip;
    ip::udp::socket socket(system.context, ip::udp::v4());
    const ip::udp::endpoint peer(ip::make_address_v4("127.0.0.1"), system.peerPort());
    for (int round = 0; round < 2000; ++round) {
        const std::string bytes(static_cast<std::size_t>(round) * 30, static_cast<char>(round));
        boost::system::error_code ignored;
        socket.send_to(boost::asio::buffer(bytes), peer, 0, ignored);
        if (round % 50 == 0)
            system.run(milliseconds(1));
    }
    BOOST_CHECK(system.isOrdinaryRequestServed());
    checkBounds();
}

// Below the limits and alone: it has to be served, though it takes half of the memory.
BOOST_FIXTURE_TEST_CASE(body_of_the_largest_legal_size_is_served_in_calm, large_body_fixture)
{
    system.target.setBehaviour([](const http_call &call, const auto &connection) {
        auto answer = makeOwnAnswer(200, std::to_string(call.body().size()));
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        answer.set("X-Clementinebeam-Response-Signature", "sig");
        connection->respond(answer);
    });
    BOOST_CHECK(system.isOrdinaryRequestServed(std::string(limits.bodyBytes, 'x')));
    checkBounds();
}
