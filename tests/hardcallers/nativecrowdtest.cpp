#define BOOST_TEST_MODULE hardnativecallers
#include "callerload.h"
#include "cluster.h"
#include "crowd.h"
#include "processstatus.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

using namespace clementinebeam;
using namespace clementinebeam::test;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t BODY_BYTES = 1U << 20U; ///< The largest legal body of a request.
constexpr std::size_t BLOCK_BYTES = 16384;
constexpr std::size_t CROWD_SIZE = 80;
/// caller_threads of the instances; a thread serves one connection.
constexpr std::size_t THREADS = 32;
/// Of which one body and its copy at a time belong to each thread.
constexpr std::size_t MEMORY_MB = 2 * THREADS + 64;
constexpr std::size_t MAX_DESCRIPTORS = 512;
const std::string HEAD = "POST /order/key1 HTTP/1.1\r\nHost: a.example\r\n";

std::string withLength(std::size_t bytes)
{
    return HEAD + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string chunk(std::size_t bytes, const std::string &extension = {})
{
    std::ostringstream text;
    text << std::hex << bytes << extension << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

/// Two instances and one target; the crowd goes to the first instance.
struct fixture {
    fixture()
    {
        system.startTarget(1);
        for (const std::size_t instance : {1U, 2U})
            system.startInstance(instance);
        for (const std::size_t instance : {1U, 2U})
            BOOST_REQUIRE(system.waitFor([&] {
                const auto document = system.status(instance);
                return document.is_object() && document["ready"] == true;
            }));
        const nlohmann::json service{
                {"department", "all"},
                {"slots", 12},
                {"kinds",
                 {{"order", {{"idempotent", false}}}, {"status", {{"idempotent", true}}}}}};
        BOOST_REQUIRE(system.patch(1, 0, {{"services", {{cluster::SERVICE, service}}}}) == 200);
        BOOST_REQUIRE(system.waitUntilServed(1));
    }

    void play(const caller_script &script, std::size_t count = CROWD_SIZE)
    {
        boost::asio::io_context context{1};
        const auto address = system.callerAddress(1);
        const auto work = boost::asio::make_work_guard(context);
        crowd callers(context, {boost::asio::ip::make_address_v4(address.host), address.port},
                      script, count);
        std::thread loop([&context] { context.run(); });
        // All threads of the instance have a caller of the crowd by then.
        std::this_thread::sleep_for(milliseconds(1500));
        {
            caller_load ordinary(system, {1}, 1);
            BOOST_CHECK(ordinary.waitAnswered(2, milliseconds(60000)));
        }
        const auto process = system.processId("i1");
        BOOST_TEST_MESSAGE("peak memory " << peakMemoryMbOf(process) << " MB, descriptors "
                                          << descriptorsOf(process));
        BOOST_CHECK_GT(peakMemoryMbOf(process), 0U);
        BOOST_CHECK_LT(peakMemoryMbOf(process), MEMORY_MB);
        BOOST_CHECK_LT(descriptorsOf(process), MAX_DESCRIPTORS);
        context.stop();
        loop.join();
    }

    cluster system;
};

caller_script slowScript(const std::string &head, std::size_t connections = 1)
{
    caller_script script;
    script.head = head;
    script.block = "x";
    script.blocks = BODY_BYTES / 2;
    script.pause = milliseconds(50);
    script.connections = static_cast<int>(connections);
    return script;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(many_legal_bodies_that_stop_just_short, fixture)
{
    caller_script script;
    script.head = withLength(BODY_BYTES);
    script.block = std::string(BLOCK_BYTES, 'x');
    script.blocks = BODY_BYTES / BLOCK_BYTES - 1;
    script.tail = std::string(BLOCK_BYTES - 1, 'x');
    play(script);
}

BOOST_FIXTURE_TEST_CASE(bodies_byte_by_byte, fixture)
{
    play(slowScript(withLength(BODY_BYTES), 1000));
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_byte_by_byte, fixture)
{
    auto script = slowScript(HEAD + "Transfer-Encoding: chunked\r\n\r\n", 1000);
    script.block = chunk(1, ";a=b");
    play(script);
}

BOOST_FIXTURE_TEST_CASE(chunk_extensions_without_an_end, fixture)
{
    auto script = slowScript(HEAD + "Transfer-Encoding: chunked\r\n\r\n1;a=", 1000);
    play(script);
}

BOOST_FIXTURE_TEST_CASE(heads_byte_by_byte, fixture)
{
    play(slowScript(HEAD + "X-Long: ", 1000));
}

BOOST_FIXTURE_TEST_CASE(announced_bodies_over_the_limit, fixture)
{
    caller_script script;
    script.head = withLength(BODY_BYTES * 100);
    script.block = std::string(BLOCK_BYTES, 'x');
    script.blocks = 200;
    script.connections = 5;
    play(script);
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_over_the_limit_that_are_just_sent, fixture)
{
    caller_script script;
    script.head = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    script.block = chunk(BLOCK_BYTES);
    script.blocks = 200;
    script.connections = 5;
    play(script);
}

BOOST_FIXTURE_TEST_CASE(connections_that_send_nothing, fixture)
{
    play({}, 400);
}
