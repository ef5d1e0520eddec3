#define BOOST_TEST_MODULE process
#include "callerload.h"
#include "clementinebeam/http/httpchannel.h"
#include "cluster.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <iostream>

using namespace clementinebeam;
using namespace clementinebeam::test;

namespace {

const std::vector<std::size_t> INSTANCES{1, 2, 3, 4};

nlohmann::json serviceDocument(bool checksGrants)
{
    return {{"services",
             {{cluster::SERVICE,
               {{"department", "all"},
                {"slots", 12},
                {"checks_grants", checksGrants},
                {"kinds",
                 {{"order", {{"idempotent", false}}}, {"status", {{"idempotent", true}}}}}}}}}};
}

nlohmann::json weightPatch(int weight)
{
    return {{"services", {{cluster::SERVICE, {{"kinds", {{"status", {{"weight", weight}}}}}}}}}};
}

/// A system of four instances and three targets under load. Each test ends with finish(), which
/// checks the history.
struct fixture {
    cluster system;
    history::history events;
    std::unique_ptr<caller_load> load;

    explicit fixture(bool checksGrants = true)
    {
        const auto checks = std::string("--checks_grants=") + (checksGrants ? "true" : "false");
        for (std::size_t target = 1; target <= 3; ++target)
            system.startTarget(target, {"--crash_marker=CRASH", checks});
        for (const auto instance : INSTANCES)
            system.startInstance(instance);
        for (const auto instance : INSTANCES)
            BOOST_REQUIRE(system.waitFor([&] {
                const auto document = system.status(instance);
                return document.is_object() && document["ready"] == true;
            }));
        submit(1, 0, serviceDocument(checksGrants));
        BOOST_REQUIRE(system.waitUntilServed(1));
        load = std::make_unique<caller_load>(system, INSTANCES, 8);
        BOOST_REQUIRE(load->waitAnswered(200));
    }

    void submit(std::size_t instance, std::uint64_t base, const nlohmann::json &document)
    {
        BOOST_REQUIRE(system.patch(instance, base, document) == 200);
        events.patches.push_back({boot_clock::now().time_since_epoch().count(), base, base + 1});
    }

    /// @return the number of an instance other than those given; 0 if there is none.
    static std::size_t instanceOtherThan(std::size_t first, std::size_t second = 0)
    {
        for (const auto instance : INSTANCES) {
            if (instance != first && instance != second)
                return instance;
        }
        return 0;
    }

    /// Stops the load, reports violations in the history as errors and prints counts of outcomes.
    void finish(const char *name)
    {
        load->stop(events);
        system.loadHistories(events);
        for (const auto &violation : history::check(events))
            BOOST_ERROR(violation);
        std::map<std::string, std::size_t> outcomes;
        for (const auto &call : events.calls)
            ++outcomes[call.outcome];
        std::cout << name << ": " << events.executions.size() << " executions";
        for (const auto &[outcome, count] : outcomes)
            std::cout << ", " << count << ' ' << outcome;
        std::cout << '\n';
    }
};

/// The same system with targets that check no grants.
struct unchecked_fixture : fixture {
    unchecked_fixture()
        : fixture(false)
    { }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(process_suite, fixture)

BOOST_AUTO_TEST_CASE(killed_target_is_replaced)
{
    system.signalProcess("t1", SIGKILL);
    BOOST_TEST(system.waitFor(
            [&] { return system.slots(1).dump().find("\"t1\"") == std::string::npos; }));
    BOOST_TEST(system.waitUntilServed(1));
    BOOST_TEST(load->waitAnswered(300));
    system.startTarget(1);
    BOOST_TEST(load->waitAnswered(300));
    finish("killed target");
}

BOOST_AUTO_TEST_CASE(target_resumed_after_a_freeze_uses_no_stale_ownership)
{
    system.signalProcess("t2", SIGSTOP);
    BOOST_TEST(system.waitFor(
            [&] { return system.slots(1).dump().find("\"t2\"") == std::string::npos; }));
    BOOST_TEST(system.waitUntilServed(1));
    system.signalProcess("t2", SIGCONT);
    BOOST_TEST(load->waitAnswered(500));
    finish("frozen target");
}

BOOST_AUTO_TEST_CASE(standby_takes_over_from_a_killed_leader)
{
    const auto leader = system.leader(1);
    const auto otherInstance = fixture::instanceOtherThan(leader);
    const auto standby = system.standby(otherInstance);
    system.signalProcess("i" + std::to_string(leader), SIGKILL);
    BOOST_TEST(system.waitFor([&] { return system.leader(otherInstance) == standby; }));
    BOOST_TEST(system.waitUntilServed(otherInstance));
    BOOST_TEST(load->waitAnswered(300));
    finish("killed leader");
}

BOOST_AUTO_TEST_CASE(leader_resumed_after_a_freeze_uses_no_stale_leadership)
{
    const auto leader = system.leader(1);
    const auto otherInstance = fixture::instanceOtherThan(leader);
    system.signalProcess("i" + std::to_string(leader), SIGSTOP);
    BOOST_TEST(system.waitFor([&] { return system.leader(otherInstance) != leader; }));
    BOOST_TEST(system.waitUntilServed(otherInstance));
    system.signalProcess("i" + std::to_string(leader), SIGCONT);
    BOOST_TEST(load->waitAnswered(500));
    finish("frozen leader");
}

BOOST_AUTO_TEST_CASE(killed_standby_is_replaced)
{
    const auto standby = system.standby(1);
    const auto otherInstance = fixture::instanceOtherThan(standby);
    system.signalProcess("i" + std::to_string(standby), SIGKILL);
    BOOST_TEST(system.waitFor([&] {
        const auto next = system.standby(otherInstance);
        return next != 0 && next != standby;
    }));
    BOOST_TEST(load->waitAnswered(300));
    finish("killed standby");
}

BOOST_AUTO_TEST_CASE(gracefully_stopped_leader_hands_over_and_interrupts_no_requests)
{
    const auto leader = system.leader(1);
    const auto otherInstance = fixture::instanceOtherThan(leader);
    const auto standby = system.standby(otherInstance);
    BOOST_TEST(system.signalProcess("i" + std::to_string(leader), SIGTERM) == 0);
    BOOST_TEST(system.waitFor([&] { return system.leader(otherInstance) == standby; }));
    BOOST_TEST(load->waitAnswered(300));
    finish("graceful stop of the leader");
}

BOOST_AUTO_TEST_CASE(leaving_target_gets_no_new_requests)
{
    events.departures.push_back({"t3", boot_clock::now().time_since_epoch().count()});
    system.listLeaving(3);
    BOOST_TEST(system.waitFor(
            [&] { return system.slots(1).dump().find("\"t3\"") == std::string::npos; }));
    BOOST_TEST(system.waitUntilServed(1));
    BOOST_TEST(load->waitAnswered(2500));
    finish("leaving target");
}

BOOST_AUTO_TEST_CASE(log_outage_stops_moves_but_not_requests)
{
    system.setFaults({{"down", true}});
    BOOST_TEST(load->waitAnswered(1500));
    BOOST_TEST(system.patch(1, 1, weightPatch(2)) == 503);
    system.signalProcess("t1", SIGKILL);
    // A third of all keys has no owner now, and a request for one of these blocks its caller until
    // the deadline.
    BOOST_TEST(load->waitAnswered(40));
    system.setFaults({{"down", false}});
    BOOST_TEST(system.waitFor(
            [&] { return system.slots(1).dump().find("\"t1\"") == std::string::npos; }));
    BOOST_TEST(system.waitUntilServed(1));
    finish("log outage");
}

BOOST_AUTO_TEST_CASE(lost_log_answers_block_no_patches_and_no_moves)
{
    system.setFaults({{"loses_answers", true}});
    submit(1, 1, weightPatch(2));
    system.signalProcess("t1", SIGKILL);
    BOOST_TEST(system.waitFor(
            [&] { return system.slots(1).dump().find("\"t1\"") == std::string::npos; }));
    BOOST_TEST(system.waitUntilServed(1));
    BOOST_TEST(load->waitAnswered(300));
    finish("lost answers of the log");
}

BOOST_AUTO_TEST_CASE(exactly_one_of_two_concurrent_patches_is_accepted)
{
    std::uint64_t version = 1;
    for (int round = 0; round < 20; ++round) {
        int first = 0;
        int second = 0;
        std::thread concurrentPatch(
                [&] { first = system.patch(1, version, weightPatch(2 + round)); });
        second = system.patch(2, version, weightPatch(100 + round));
        concurrentPatch.join();
        BOOST_TEST((first == 200) != (second == 200));
        BOOST_TEST((first == 409) != (second == 409));
        events.patches.push_back(
                {boot_clock::now().time_since_epoch().count(), version, version + 1});
        ++version;
    }
    for (const auto instance : INSTANCES) {
        const auto name = "i" + std::to_string(instance);
        BOOST_TEST(system.waitFor([&] { return system.status(instance)["version"] == version; }));
        events.readings.push_back({name, boot_clock::now().time_since_epoch().count(),
                                   system.status(instance)["version"].get<std::uint64_t>()});
    }
    finish("racing patches");
}

BOOST_AUTO_TEST_CASE(request_that_crashes_its_target_is_refused_after_two_crashes)
{
    http_request message;
    message.method = "POST";
    message.path = std::string("/v1/services/") + cluster::SERVICE + "/status/poison";
    message.body = "CRASH";
    std::size_t crashes = 0;
    const auto isQuarantined = [&] {
        http_channel channel(system.callerAddress(1 + crashes % 4), {});
        const auto response =
                channel.exchange(message, boot_clock::now() + std::chrono::seconds(3));
        return response && response.value().headers.find("X-Reason") == "request_quarantined";
    };
    BOOST_TEST(system.waitFor([&] {
        if (isQuarantined())
            return true;
        ++crashes;
        return false;
    }));
    BOOST_TEST(load->waitAnswered(100));
    for (const auto instance : INSTANCES) {
        http_channel channel(system.callerAddress(instance), {});
        const auto response =
                channel.exchange(message, boot_clock::now() + std::chrono::seconds(3));
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response.value().headers.find("X-Reason") == "request_quarantined");
    }
    finish("crashing request");
}

// Guards against forgetting, with the last instance that knew it, which request crashes targets.
BOOST_AUTO_TEST_CASE(request_that_crashes_its_target_is_refused_after_a_rolling_restart)
{
    http_request message;
    message.method = "POST";
    message.path = std::string("/v1/services/") + cluster::SERVICE + "/status/poison";
    message.body = "CRASH";
    const auto reasonAt = [&](std::size_t instance) {
        http_channel channel(system.callerAddress(instance), {});
        const auto response =
                channel.exchange(message, boot_clock::now() + std::chrono::seconds(3));
        return response ? std::string(response.value().headers.find("X-Reason")) : std::string();
    };
    BOOST_REQUIRE(system.waitFor([&] { return reasonAt(1) == "request_quarantined"; }));
    for (const auto instance : INSTANCES) {
        system.signalProcess("i" + std::to_string(instance), SIGTERM);
        system.startInstance(instance);
        BOOST_REQUIRE(system.waitFor([&] {
            const auto document = system.status(instance);
            return document.is_object() && document["ready"] == true;
        }));
    }
    BOOST_REQUIRE(system.waitUntilServed(1));
    for (const auto instance : INSTANCES)
        BOOST_TEST(reasonAt(instance) == "request_quarantined");
    finish("crashing request and rolling restart");
}

BOOST_AUTO_TEST_CASE(slots_of_a_lost_data_centre_are_served_again)
{
    system.signalProcess("i3", SIGKILL);
    system.signalProcess("t3", SIGKILL);
    BOOST_TEST(system.waitFor(
            [&] { return system.slots(1).dump().find("\"t3\"") == std::string::npos; }));
    BOOST_TEST(system.waitUntilServed(1));
    BOOST_TEST(load->waitAnswered(300));
    finish("lost data centre");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(unchecked_suite, unchecked_fixture)

BOOST_AUTO_TEST_CASE(killed_target_without_checks_is_replaced)
{
    system.signalProcess("t1", SIGKILL);
    BOOST_TEST(system.waitFor(
            [&] { return system.slots(1).dump().find("\"t1\"") == std::string::npos; }));
    BOOST_TEST(system.waitUntilServed(1));
    BOOST_TEST(load->waitAnswered(300));
    finish("killed target without checks");
}

BOOST_AUTO_TEST_CASE(drained_target_without_checks_and_a_killed_leader)
{
    events.departures.push_back({"t3", boot_clock::now().time_since_epoch().count()});
    system.listLeaving(3);
    BOOST_TEST(system.waitFor(
            [&] { return system.slots(1).dump().find("\"t3\"") == std::string::npos; }));
    const auto leader = system.leader(1);
    const auto otherInstance = fixture::instanceOtherThan(leader);
    system.signalProcess("i" + std::to_string(leader), SIGKILL);
    BOOST_TEST(system.waitFor([&] { return system.leader(otherInstance) != leader; }));
    BOOST_TEST(system.waitUntilServed(otherInstance));
    BOOST_TEST(load->waitAnswered(300));
    finish("drained target without checks, killed leader");
}

BOOST_AUTO_TEST_SUITE_END()
