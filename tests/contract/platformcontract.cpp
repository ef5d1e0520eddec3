#include "internal/httpinstancelist.h"
#include "internal/httplogclient.h"
#include "platformserver.h"
#include "ports.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TIMEOUT{2000};
constexpr milliseconds NO_LAG{0};

struct fixture {
    platform_server server{testAddress(0), std::chrono::hours(1), NO_LAG};
    std::unique_ptr<http_log_client> log;

    fixture()
    {
        BOOST_REQUIRE(!server.start());
        log = std::make_unique<http_log_client>(testAddress(0));
    }

    void append(const std::string &payload)
    {
        std::promise<void> appended;
        log->append("s", payload, [&appended] { appended.set_value(); });
        BOOST_REQUIRE(appended.get_future().wait_for(TIMEOUT) == std::future_status::ready);
    }

    void setFaults(const std::string &text)
    {
        http_channel channel(testAddress(0), {});
        http_request request;
        request.method = "POST";
        request.path = "/faults";
        request.body = text;
        BOOST_REQUIRE(channel.exchange(request, boot_clock::now() + TIMEOUT).has_value());
    }

    void putListing(const std::string &id, const std::string &text)
    {
        http_channel channel(testAddress(0), {});
        http_request request;
        request.method = "PUT";
        request.path = "/listings/" + id;
        request.body = text;
        BOOST_REQUIRE(channel.exchange(request, boot_clock::now() + TIMEOUT).has_value());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_contract, fixture)

BOOST_AUTO_TEST_CASE(records_are_read_in_order_and_byte_for_byte)
{
    const std::string binary("a\0b\xff", 4);
    append("first");
    append(binary);
    const auto batch = log->read("s", 0, TIMEOUT).value();
    BOOST_REQUIRE(batch.entries.size() == 2U);
    BOOST_TEST(batch.entries[0].payload == "first");
    BOOST_TEST((batch.entries[1].payload == binary));
    BOOST_TEST(batch.nextOffset == 2U);
    BOOST_TEST(log->read("s", 2, TIMEOUT).value().entries.empty());
}

BOOST_AUTO_TEST_CASE(append_takes_effect_when_its_answer_is_lost)
{
    setFaults(R"({"loses_answers": true})");
    std::atomic<bool> confirmed{false};
    log->append("s", "kept", [&confirmed] { confirmed = true; });
    while (log->read("s", 0, TIMEOUT).value().entries.empty())
        std::this_thread::yield();
    BOOST_TEST(!confirmed);
}

BOOST_AUTO_TEST_CASE(outage_is_reported_and_keeps_the_records)
{
    append("first");
    setFaults(R"({"down": true})");
    BOOST_TEST(log->read("s", 0, TIMEOUT).error() == make_error_code(error_kind::LogUnavailable));
    setFaults(R"({"down": false})");
    BOOST_TEST(log->read("s", 0, TIMEOUT).value().entries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(read_of_a_slow_log_ends_at_its_timeout)
{
    setFaults(R"({"delay_ms": 400})");
    BOOST_TEST(!log->read("s", 0, milliseconds(50)).has_value());
    setFaults(R"({"delay_ms": 0})");
}

BOOST_AUTO_TEST_CASE(instance_list_shows_instances_and_targets)
{
    putListing("i1", R"({"role": "instance", "state": "leaving", "data_centre": "dc", "address":
        "127.0.0.1", "port": 1, "peer_port": 2})");
    putListing("t1",
               R"({"role": "target", "state": "live", "data_centre": "dc", "address": "127.0.0.1",
        "port": 3, "service": "orders"})");
    http_instance_list instances(testAddress(0));
    const auto all = instances.fetch(TIMEOUT).value();
    BOOST_REQUIRE(all.size() == 2U);
    BOOST_TEST(all[0].leaving);
    BOOST_TEST(all[0].peerPort == 2);
    BOOST_CHECK(all[1].role == listed_role::Target);
    BOOST_TEST(all[1].service == "orders");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(log_drops_records_after_their_retention)
{
    platform_log log(milliseconds(100));
    const instant start{std::chrono::seconds(10)};
    log.append("s", "a", start);
    log.append("s", "b", start + milliseconds(60));
    const auto batch = log.read("s", 0, 10, start + milliseconds(100));
    BOOST_TEST(batch.firstOffset == 1U);
    BOOST_REQUIRE(batch.entries.size() == 1U);
    BOOST_TEST(batch.entries[0].offset == 1U);
}
