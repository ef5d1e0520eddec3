#define BOOST_TEST_MODULE malformedinput
#include "gatewayfixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using namespace clementinebeam::test;

namespace {

/// A gateway with a second target of the keyed service, which is listed by the test.
class keyed_fixture : public gateway_fixture
{
public:
    static constexpr std::uint16_t OTHER_PORT = TARGET_PORT + 3;

    keyed_fixture()
        : otherKeyed(context, "k2")
    {
        BOOST_REQUIRE(!otherKeyed.listen(local(OTHER_PORT)));
    }

    /// Lets the second target take over the keys of the first one.
    void replaceKeyed()
    {
        store.put("keyed.servers", "k2", entryText(OTHER_PORT, "keyed", "ready"));
        store.put("keyed.servers", "k1", entryText(TARGET_PORT + 2, "keyed", "draining"));
    }

    http_answer askForKey(const std::string &id)
    {
        auto call = request(http::verb::get, "/key/x", id);
        call.set("X-Clementinebeam-Shard-Key", "4711");
        return ask(call);
    }

    target_standin otherKeyed;
};

} // namespace

// Guards against a service that is never advanced again after a handover that is no UTF-8 (review
// case 2): the release is repeated, and the new owner gets the handover of the second answer.
BOOST_FIXTURE_TEST_CASE(handover_that_is_no_text_does_not_stop_the_service, keyed_fixture)
{
    keyed.setHandover("caf\xe9");
    replaceKeyed();
    runUntil([this] { return keyed.releases() > 0; });
    keyed.setHandover(std::nullopt);
    runUntil([this] { return otherKeyed.grants() > 0; });
    BOOST_CHECK_EQUAL(otherKeyed.receivedHandover(), "k1-" + std::to_string(keyed.releases()));
    run(milliseconds(100));
    BOOST_CHECK_EQUAL(askForKey("id-1").result_int(), 200U);
}

// Guards against a request that ends the handling of all others: the body of a TRACE request threw
// an exception while decisions about requests were being carried out.
BOOST_FIXTURE_TEST_CASE(trace_with_a_body_is_forwarded_like_any_request, keyed_fixture)
{
    auto call = request(http::verb::trace, "/read/x", "id-1");
    call.body() = "jars";
    call.content_length(call.body().size());
    const auto answer = ask(call);
    BOOST_CHECK_EQUAL(answer.result_int(), 200U);
    BOOST_CHECK(answer.body().find("/read/x jars") != std::string::npos);
    BOOST_CHECK_EQUAL(ask(request(http::verb::get, "/read/x", "id-2")).result_int(), 200U);
}
