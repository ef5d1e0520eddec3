#define BOOST_TEST_MODULE containment
#include "clementinebeam/asynchttp/eventloop.h"
#include "gatewayfixture.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace clementinebeam;
using namespace clementinebeam::test;

namespace {

/// A gateway whose event loop goes on after an exception, as in the daemon.
class failing_fixture : public gateway_fixture
{
public:
    /// Longest time until a service has to be served again.
    static constexpr milliseconds RECOVERY_TIME{2000};

    void runThrough(milliseconds time)
    {
        boost::asio::steady_timer end(context, time);
        end.async_wait([this](boost::system::error_code) { context.stop(); });
        runEventLoop(context);
        context.restart();
    }

    std::uint64_t claimedTerm()
    {
        std::uint64_t term = 0;
        for (const auto &bytes : m_ownershipRecords) {
            const auto record = decodeBinary<ownership_record>(bytes).value();
            if (record.service == "keyed")
                term = record.term;
        }
        return term;
    }

    void checkServed(const std::string &id)
    {
        auto call = request(http::verb::get, "/key/x", id);
        call.set("X-Clementinebeam-Shard-Key", "4711");
        BOOST_CHECK_EQUAL(ask(call).result_int(), 200U);
    }

    failing_fixture()
    {
        store.setAppendObserver([this](const std::string &, const std::string &value) {
            m_ownershipRecords.push_back(value);
        });
    }

private:
    std::vector<std::string> m_ownershipRecords;
};

[[noreturn]] void failStep(const grant_order &)
{
    throw std::runtime_error("put in by the test");
}

} // namespace

// Guards against an exception in one order that leaves the service without further steps: a flag
// that stayed set, and the order at the front of its queue.
BOOST_FIXTURE_TEST_CASE(exception_in_one_order_ends_only_that_order, failing_fixture)
{
    int failures = 0;
    codec.beforeGrant = [&](const grant_order &order) {
        if (failures++ == 0)
            failStep(order);
    };
    runThrough(milliseconds(1500));
    BOOST_REQUIRE_GT(failures, 0);
    const auto before = keyed.grants();
    runThrough(RECOVERY_TIME);
    BOOST_CHECK_GT(keyed.grants(), before);
    checkServed("id-1");
}

// Guards against a coordinator that confirms its authority and answers queries, but does no work.
BOOST_FIXTURE_TEST_CASE(service_without_steps_is_claimed_anew, failing_fixture)
{
    bool isTermOver = false;
    codec.beforeGrant = [&](const grant_order &order) {
        isTermOver = isTermOver || claimedTerm() > 1;
        if (!isTermOver)
            failStep(order);
    };
    runThrough(milliseconds(1200)); // Until the next renewal.
    runThrough(RECOVERY_TIME);
    BOOST_CHECK(isTermOver);
    checkServed("id-1");
    BOOST_CHECK_EQUAL(ask(request(http::verb::get, "/read/x", "id-2")).result_int(), 200U);
}

// Guards against an exception in one service that stops another one.
BOOST_FIXTURE_TEST_CASE(failing_service_does_not_stop_another, failing_fixture)
{
    codec.beforeGrant = failStep;
    for (int round = 0; round < 6; ++round) {
        runThrough(milliseconds(500));
        std::optional<unsigned> status;
        const auto connection = connect();
        connection->exchange(
                request(http::verb::get, "/read/x", "id-" + std::to_string(round)), {},
                [&](exchange_failure, http_answer &&answer) { status = answer.result_int(); });
        runThrough(milliseconds(100));
        BOOST_CHECK(status == 200U);
    }
}
