#define BOOST_TEST_MODULE brokentarget
#include "answersamples.h"
#include "gatewayfixture.h"
#include "scriptedserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using namespace clementinebeam::test;

namespace {

/// @return the value of a header in the head of a request; empty if it is missing.
std::string headerOf(const std::string &head, const std::string &name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto begin = start + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// A gateway with a target whose answers are those of a test, byte for byte.
class broken_target_fixture : public gateway_fixture
{
public:
    static constexpr std::uint16_t BROKEN_PORT = TARGET_PORT + 4;

    broken_target_fixture()
        : m_broken(context, local(BROKEN_PORT),
                   [this](scripted_server &, const scripted_server::socket_pointer &socket,
                          int count) { onRead(socket, count); })
        , m_resetTimer(context)
    { }

    /// Makes the target the only one of the service without keys.
    void serveRequests()
    {
        store.put("keyed.servers", "broken", entryText(BROKEN_PORT, "plain", "ready"));
        store.remove("keyed.servers", "t1");
        store.remove("keyed.servers", "t2");
        run(milliseconds(400));
    }

    /// @return the value of a metric, 0 if there is none; the labels in their order.
    int metric(const std::string &nameAndLabels)
    {
        const auto text = ask(request(http::verb::get, "/metrics", "m"), GATEWAY_PORT + 3).body();
        const auto start = text.find('\n' + nameAndLabels + ' ');
        return start == std::string::npos
                ? 0
                : std::stoi(text.substr(start + nameAndLabels.size() + 2));
    }

    int brokenAnswers(const std::string &reason, const std::string &source)
    {
        return metric("clementinebeam_gateway_broken_answers_total{reason=\"" + reason
                      + "\",source=\"" + source + "\"}");
    }

    answer_sample sample;         ///< The answer to requests.
    bool isResetInUpload = false; ///< The answer is followed by a reset, before the body is read.
    int requests = 0;             ///< Requests received.
    int connections() const { return m_broken.connections; }

private:
    void onRead(const scripted_server::socket_pointer &socket, int count)
    {
        const auto id = headerOf(m_broken.lastRead, "X-Clementinebeam-Request-Id");
        if (isResetInUpload && count > 0)
            return;
        ++requests;
        m_broken.isReading = !isResetInUpload;
        scripted_server::write(socket,
                               sample.bytes("X-Clementinebeam-Request-Id: " + id
                                                    + "\r\nX-Clementinebeam-Response-Signature: s"
                                                      "\r\n",
                                            true));
        if (!isResetInUpload)
            return;
        m_resetTimer.expires_after(milliseconds(20));
        m_resetTimer.async_wait(
                [socket](boost::system::error_code) { scripted_server::end(socket, true); });
    }

    scripted_server m_broken;
    boost::asio::steady_timer m_resetTimer;
};

} // namespace

// Regression test for an incident: a target answered with the status 000, and callers got that.
BOOST_FIXTURE_TEST_CASE(answer_with_an_invalid_status_does_not_reach_callers, broken_target_fixture)
{
    serveRequests();
    sample = {"", "HTTP/1.1 000 OK", WHOLE, "whole"};
    for (int count = 1; count <= 2; ++count) {
        const auto answer =
                ask(request(http::verb::post, "/write/x", "id-" + std::to_string(count)));
        BOOST_CHECK_EQUAL(answer.result_int(), 502U);
        BOOST_CHECK(answer["Retry-After"].empty());
        BOOST_CHECK_EQUAL(requests, count);
        BOOST_CHECK_EQUAL(connections(), count);
        run(milliseconds(600)); // Until the target is no longer avoided.
    }
    BOOST_CHECK_EQUAL(brokenAnswers("invalid status", "target"), 2);
}

// Regression test for an incident: a target answered a long upload at once, without a length, and
// reset the connection while it was still being written. Callers got the first part of the body as
// a whole answer.
BOOST_FIXTURE_TEST_CASE(part_of_an_answer_to_an_upload_does_not_reach_callers,
                        broken_target_fixture)
{
    constexpr std::size_t UPLOAD_BYTES = 32UL << 20U;
    serveRequests();
    sample = {"", STATUS_OK, {}, "part"};
    isResetInUpload = true;
    auto call = request(http::verb::post, "/write/x", "id-1");
    call.body() = std::string(UPLOAD_BYTES, 'b');
    call.prepare_payload();
    const auto answer = ask(call);
    BOOST_CHECK_EQUAL(answer.result_int(), 502U);
    BOOST_CHECK(answer["Retry-After"].empty());
    BOOST_CHECK_EQUAL(requests, 1);
    BOOST_CHECK_EQUAL(brokenAnswers("connection failed", "target"), 1);
}

// The body of such an answer is not what the target's head says it is.
BOOST_FIXTURE_TEST_CASE(answer_with_an_unknown_transfer_coding_does_not_reach_callers,
                        broken_target_fixture)
{
    serveRequests();
    sample = {"", STATUS_OK, "Transfer-Encoding: gzip, chunked\r\n", "4\r\npart\r\n0\r\n\r\n"};
    const auto answer = ask(request(http::verb::post, "/write/x", "id-1"));
    BOOST_CHECK_EQUAL(answer.result_int(), 502U);
    BOOST_CHECK_EQUAL(requests, 1);
    BOOST_CHECK_EQUAL(brokenAnswers("invalid transfer coding", "target"), 1);
}

// A broken answer to a release does not prove that the target stopped to serve the keys.
BOOST_FIXTURE_TEST_CASE(broken_answers_to_grants_and_releases_are_not_believed,
                        broken_target_fixture)
{
    sample = {"", STATUS_OK, "X-Clementinebeam-Handover: forged\r\n" + WHOLE, "whole"};
    store.put("keyed.servers", "broken", entryText(BROKEN_PORT, "keyed", "ready"));
    store.put("keyed.servers", "k1", entryText(TARGET_PORT + 2, "keyed", "draining"));
    const auto grantsBefore = keyed.grants();
    runUntil([this] { return requests > 0; });
    run(milliseconds(200));
    const auto answer = [this](const std::string &id) {
        auto call = request(http::verb::get, "/key/x", id);
        call.set("X-Clementinebeam-Shard-Key", "4711");
        return ask(call);
    };
    BOOST_CHECK_EQUAL(answer("id-1").result_int(), 200U); // The keys have moved.
    sample = {"", STATUS_OK,
              "Transfer-Encoding: gzip, chunked\r\nX-Clementinebeam-Handover: other\r\n",
              "4\r\npart\r\n0\r\n\r\n"};
    store.put("keyed.servers", "k1", entryText(TARGET_PORT + 2, "keyed", "ready"));
    store.put("keyed.servers", "broken", entryText(BROKEN_PORT, "keyed", "draining"));
    run(milliseconds(1000));
    BOOST_CHECK_EQUAL(keyed.grants(), grantsBefore);
    BOOST_CHECK_GT(brokenAnswers("invalid transfer coding", "control"), 0);
}
