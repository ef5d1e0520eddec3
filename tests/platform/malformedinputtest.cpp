#define BOOST_TEST_MODULE malformedinput
#include "gatewayfixture.h"

#include <boost/test/unit_test.hpp>
#include <limits>

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

namespace {

std::string nested(const std::string &opening, std::size_t depth)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += opening;
    return text;
}

/// Entries as another writer may leave them among those of targets.
std::vector<std::string> oddEntries()
{
    constexpr std::size_t DEPTH = 40'000;
    const auto valid = json::parse(entryText(TARGET_PORT, "plain", "ready"));
    std::vector<std::string> entries{nested("[", DEPTH),
                                     nested("{\"a\":", DEPTH),
                                     nested("[", DEPTH) + std::string(DEPTH, ']'),
                                     "",
                                     "\xff\xfe",
                                     "{",
                                     "null",
                                     "[]",
                                     "7",
                                     "\"text\"",
                                     "{}",
                                     std::string(200'000, '\0')};
    const auto with = [&](const std::string &pointer, const std::string &value) {
        auto text = valid;
        text[json::json_pointer(pointer)] = "VALUE";
        auto bytes = text.dump();
        bytes.replace(bytes.find("\"VALUE\""), 7, value);
        entries.push_back(bytes);
    };
    for (const auto *value : {"1e999", "-1", "18446744073709551616", "4294967297", "1e300", "2.5",
                              "null", "[]", "\"2\""})
        with("/info/slots", value);
    for (const auto *value : {"1e999", "-1", "18446744073709551616", "\"soon\"", "1.5"})
        with("/born", value);
    for (const auto *value : {"\"127.0.0.1:65536\"", "\"127.0.0.1:70000\"", "\"127.0.0.1:\"",
                              "\"127.0.0.1:0\"", "\"127.0.0.1:-1\"", "\"host:80\"", "\":\"", "80"})
        with("/address", value);
    for (const auto *value : {"\"1e999s\"", "\"-1s\"", "\"nans\"", "\"infms\"", "9"})
        with("/status/warmup-left", value);
    with("/info/backend", "\"\xff\"");
    with("/info", nested("[", DEPTH) + std::string(DEPTH, ']'));
    with("/other", nested("[", DEPTH) + std::string(DEPTH, ']'));
    return entries;
}

} // namespace

// Guards against an odd entry that ends the process, or the reading of the entries after it.
BOOST_FIXTURE_TEST_CASE(odd_entries_do_not_stop_the_list_of_targets, keyed_fixture)
{
    int number = 0;
    for (const auto &entry : oddEntries())
        store.put("keyed.servers", "odd-" + std::to_string(++number), entry);
    for (const auto *id : {"", "a\r\nb: c", "\xff", " "})
        store.put("keyed.servers", id, entryText(TARGET_PORT, "plain", "ready"));
    replaceKeyed();
    runUntil([this] { return otherKeyed.grants() > 0; });
    run(milliseconds(100));
    BOOST_CHECK_EQUAL(askForKey("id-1").result_int(), 200U);
    for (int count = 0; count < 20; ++count) {
        const auto id = "id-" + std::to_string(count + 2);
        BOOST_CHECK_EQUAL(ask(request(http::verb::get, "/read/x", id)).result_int(), 200U);
    }
}

// The same for the streams of configurations and of ownership.
BOOST_FIXTURE_TEST_CASE(odd_records_do_not_stop_the_other_streams, keyed_fixture)
{
    int number = 0;
    for (const auto &entry : oddEntries()) {
        store.put("keyed.op", "config", entry);
        store.put("keyed.op", "odd-" + std::to_string(++number), entry);
        store.put("keyed.coordination", "odd-" + std::to_string(number), entry);
        store.put("keyed.coordination", "keyed", entry);
    }
    run(milliseconds(300));
    store.put("keyed.op", "config", configurationText(9, "keyed"));
    run(milliseconds(300));
    auto call = request(http::verb::get, "/read/x", "id-1");
    call.set("X-Clementinebeam-Shard-Key", "4711");
    BOOST_CHECK_EQUAL(ask(call).result_int(), 200U);
    BOOST_CHECK_EQUAL(keyed.requests().size(), 1U);
}

// Guards against an ownership record that can't be continued: its numbers would start again at 0,
// or its ranges would leave keys without an owner.
BOOST_AUTO_TEST_CASE(ownership_records_that_can_not_be_continued_are_known)
{
    ownership_record record;
    BOOST_CHECK(isConsistent(record));
    record.ranges = {{{0, 99}, "a", 1, 1, 1}, {{100, LAST_KEY}, "b", 1, 2, 1}};
    BOOST_CHECK(isConsistent(record));
    auto odd = record;
    odd.ranges[1].keys.first = 101;
    BOOST_CHECK(!isConsistent(odd));
    odd = record;
    odd.ranges[0].keys = {99, 0};
    BOOST_CHECK(!isConsistent(odd));
    odd = record;
    odd.ranges[1].keys.last = LAST_KEY + 1;
    BOOST_CHECK(!isConsistent(odd));
    odd = record;
    odd.ranges.pop_back();
    BOOST_CHECK(!isConsistent(odd));
    odd = record;
    odd.nextFence = std::numeric_limits<fence_number>::max();
    BOOST_CHECK(!isConsistent(odd));
}
