#define BOOST_TEST_MODULE crashingrequest
#include "gatewayfixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using namespace clementinebeam::test;

namespace {

constexpr milliseconds RESTART_TIME{150};
/// Longer than the time within which losses of one target count as one crash.
constexpr milliseconds REPEAT_INTERVAL{1100};
/// Crashes after which a request is refused.
constexpr std::size_t CRASH_LIMIT = 2;

/// Two instances and two targets of one service. A request for /boom crashes the target that runs
/// it.
class crashing_request_fixture : public two_instance_fixture
{
public:
    crashing_request_fixture()
    {
        first.setBehaviour(crashOnBoom(first, TARGET_PORT));
        second.setBehaviour(crashOnBoom(second, TARGET_PORT + 1));
    }

    target_standin::behaviour crashOnBoom(target_standin &target, std::uint16_t port)
    {
        return [this, &target, port](const http_call &call,
                                     const std::shared_ptr<server_connection> &connection) {
            if (call.target().find("/boom") == boost::beast::string_view::npos) {
                connection->respond(target.validAnswer(call));
                return;
            }
            ++crashes;
            target.crash();
            restart(target, port);
        };
    }

    void restart(target_standin &target, std::uint16_t port)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(context, RESTART_TIME);
        timer->async_wait([timer, &target, port](boost::system::error_code) {
            BOOST_CHECK(!target.listen(local(port)));
        });
    }

    /// Sends a request that crashes its targets, with a new id, and waits a while.
    http_answer sendBoom(std::uint16_t offset, const std::string &path = "/read/boom")
    {
        const auto answer = ask(request(http::verb::get, path, "boom-" + std::to_string(++m_sent)),
                                GATEWAY_PORT + offset);
        run(REPEAT_INTERVAL);
        return answer;
    }

    std::size_t crashes = 0;

private:
    int m_sent = 0;
};

} // namespace

// Regression test for the incident of the repeats: a request under which targets ended was sent to
// further ones with each repeat of its caller.
BOOST_FIXTURE_TEST_CASE(request_that_crashed_two_targets_is_sent_to_no_further_one,
                        crashing_request_fixture)
{
    http_answer answer;
    for (int repeat = 0; repeat < 6; ++repeat)
        answer = sendBoom(repeat % 2 == 0 ? 0 : OTHER_OFFSET);
    BOOST_CHECK_EQUAL(crashes, CRASH_LIMIT);
    BOOST_CHECK_EQUAL(answer.result_int(), 503U);
    BOOST_CHECK(!answer["Retry-After"].empty());
    BOOST_CHECK_EQUAL(ask(request(http::verb::get, "/read/x", "id-1")).result_int(), 200U);
}

// The second instance has seen no crash itself.
BOOST_FIXTURE_TEST_CASE(successor_of_a_coordinator_refuses_the_request_that_crashes_targets,
                        crashing_request_fixture)
{
    for (int repeat = 0; repeat < 2; ++repeat)
        sendBoom(0, "/write/boom");
    BOOST_CHECK_EQUAL(crashes, CRASH_LIMIT);
    replaceCoordinator();
    for (int repeat = 0; repeat < 2; ++repeat)
        BOOST_CHECK_EQUAL(sendBoom(OTHER_OFFSET, "/write/boom").result_int(), 503U);
    BOOST_CHECK_EQUAL(crashes, CRASH_LIMIT);
}

BOOST_FIXTURE_TEST_CASE(restarted_instance_learns_which_request_crashes_targets,
                        crashing_request_fixture)
{
    constexpr std::uint16_t LATE_OFFSET = 20;
    for (int repeat = 0; repeat < 2; ++repeat)
        sendBoom(OTHER_OFFSET, "/write/boom");
    store_client client(context, local(STORE_PORT), 8);
    const platform_codec codec;
    gateway late(context, settingsOf(LATE_OFFSET), client, codec);
    BOOST_REQUIRE(!late.start());
    run(milliseconds(700));
    BOOST_CHECK_EQUAL(sendBoom(LATE_OFFSET, "/write/boom").result_int(), 503U);
    BOOST_CHECK_EQUAL(crashes, CRASH_LIMIT);
}

namespace {

/// Store and targets whose instances end and start again; each runs on an event loop of its own.
class restart_fixture
{
public:
    restart_fixture()
        : store(context)
        , target(context, "t1")
    {
        BOOST_REQUIRE(!store.listen(local(STORE_PORT)));
        BOOST_REQUIRE(!target.listen(local(TARGET_PORT)));
        store.put("keyed.op", "config", configurationText(1, "plain"));
        store.put("keyed.servers", "t1", entryText(TARGET_PORT, "plain", "ready"));
        target.setBehaviour([this](const http_call &, const std::shared_ptr<server_connection> &) {
            ++crashes;
            target.crash();
            const auto timer = std::make_shared<boost::asio::steady_timer>(context, RESTART_TIME);
            timer->async_wait([this, timer](boost::system::error_code) {
                BOOST_CHECK(!target.listen(local(TARGET_PORT)));
            });
        });
        start();
    }

    void start()
    {
        m_instance = std::make_unique<instance>();
        BOOST_REQUIRE(!m_instance->ownGateway.start());
        runUntil([this] { return m_instance->ownGateway.isCoordinating(); });
    }

    /// Kills the only instance and starts another one.
    void restart()
    {
        m_instance.reset();
        start();
    }

    /// @return the status that a request gets which crashes its target.
    unsigned sendBoom()
    {
        const auto connection = std::make_shared<client_connection>(context, local(GATEWAY_PORT),
                                                                    milliseconds(500));
        unsigned status = 0;
        connection->exchange(
                gateway_fixture::request(http::verb::post, "/write/boom",
                                         "boom-" + std::to_string(++m_sent)),
                {}, [&](exchange_failure, http_answer &&answer) { status = answer.result_int(); });
        runUntil([&] { return status != 0; });
        run(REPEAT_INTERVAL);
        return status;
    }

    void run(milliseconds time)
    {
        const auto end = boot_clock::now() + time;
        while (boot_clock::now() < end)
            runOnce();
    }

    boost::asio::io_context context{1};
    store_standin store;
    target_standin target;
    std::size_t crashes = 0;

private:
    struct instance {
        boost::asio::io_context context{1};
        store_client client{context, local(STORE_PORT), 8};
        platform_codec codec;
        gateway ownGateway{context, settingsOf(), client, codec};
    };

    void runOnce()
    {
        context.run_for(milliseconds(1));
        m_instance->context.poll();
    }

    template <class condition_type>
    void runUntil(const condition_type &condition)
    {
        const auto end = boot_clock::now() + std::chrono::seconds(6);
        while (!condition() && boot_clock::now() < end)
            runOnce();
        BOOST_REQUIRE(condition());
    }

    std::unique_ptr<instance> m_instance;
    int m_sent = 0;
};

} // namespace

// Guards against forgetting, with the last instance that knew them, which requests crash targets.
BOOST_FIXTURE_TEST_CASE(request_that_crashed_two_targets_is_refused_after_all_instances_restarted,
                        restart_fixture)
{
    for (int repeat = 0; repeat < 2; ++repeat)
        BOOST_CHECK_EQUAL(sendBoom(), 502U);
    for (int restarts = 0; restarts < 2; ++restarts) {
        restart();
        BOOST_CHECK_EQUAL(sendBoom(), 503U);
    }
    BOOST_CHECK_EQUAL(crashes, CRASH_LIMIT);
}

// As above, with one crash between two restarts.
BOOST_FIXTURE_TEST_CASE(crashes_before_and_after_a_restart_add_up, restart_fixture)
{
    BOOST_CHECK_EQUAL(sendBoom(), 502U);
    restart();
    BOOST_CHECK_EQUAL(sendBoom(), 502U);
    restart();
    BOOST_CHECK_EQUAL(sendBoom(), 503U);
    BOOST_CHECK_EQUAL(crashes, CRASH_LIMIT);
}

// Lost answers and reset connections of live targets are common, and say nothing about the request.
BOOST_FIXTURE_TEST_CASE(request_whose_connections_are_reset_by_live_targets_is_still_sent,
                        crashing_request_fixture)
{
    const auto closeConnection = [](const http_call &,
                                    const std::shared_ptr<server_connection> &connection) {
        connection->close();
    };
    first.setBehaviour(closeConnection);
    second.setBehaviour(closeConnection);
    for (int repeat = 0; repeat < 4; ++repeat)
        sendBoom(repeat % 2 == 0 ? 0 : OTHER_OFFSET);
    first.setBehaviour(nullptr);
    second.setBehaviour(nullptr);
    run(milliseconds(1600));
    BOOST_CHECK_EQUAL(sendBoom(0).result_int(), 200U);
}

// A frequent request is usually running when a target crashes for another reason.
BOOST_FIXTURE_TEST_CASE(request_that_was_answered_is_no_suspect, crashing_request_fixture)
{
    BOOST_CHECK_EQUAL(ask(request(http::verb::post, "/write/x", "id-1")).result_int(), 200U);
    for (int crash = 0; crash < 3; ++crash) {
        const auto crashAnyway = [this](target_standin &target, std::uint16_t port) {
            return [this, &target, port](const http_call &,
                                         const std::shared_ptr<server_connection> &) {
                target.crash();
                restart(target, port);
            };
        };
        first.setBehaviour(crashAnyway(first, TARGET_PORT));
        second.setBehaviour(crashAnyway(second, TARGET_PORT + 1));
        BOOST_CHECK_EQUAL(ask(request(http::verb::post, "/write/x", "id-2")).result_int(), 502U);
        run(REPEAT_INTERVAL);
    }
    first.setBehaviour(nullptr);
    second.setBehaviour(nullptr);
    run(milliseconds(1600));
    BOOST_CHECK_EQUAL(ask(request(http::verb::post, "/write/x", "id-3")).result_int(), 200U);
}
