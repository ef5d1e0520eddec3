#define BOOST_TEST_MODULE explain
#include "explain.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;

namespace {

std::vector<logged_event> parseLines(const std::vector<std::string> &lines)
{
    std::vector<logged_event> events;
    for (const auto &line : lines)
        events.push_back(parseLogLine(line));
    return events;
}

} // namespace

BOOST_AUTO_TEST_CASE(log_line_is_parsed)
{
    const auto event = parseLogLine("  3.1 front time=2026-12-04T08:00:00.001 level=INFO "
                                    "instance=i1 event=request_ended request=r1 status=503");
    BOOST_CHECK_EQUAL(event.time, "2026-12-04T08:00:00.001");
    BOOST_CHECK_EQUAL(event.instance, "i1");
    BOOST_CHECK_EQUAL(event.name, "request_ended");
    BOOST_CHECK_EQUAL(event.text, "request=r1 status=503");
}

BOOST_AUTO_TEST_CASE(other_text_is_not_parsed_as_an_event)
{
    for (const auto *line : {"", "hello", "event=x", "time=1 instance=i1", " event=a time=1"})
        BOOST_CHECK(parseLogLine(line).name.empty());
}

BOOST_AUTO_TEST_CASE(timeline_contains_request_events_and_state_changes_of_its_target)
{
    const auto timeline = explainRequest(
            parseLines({"time=3 level=INFO instance=i2 event=request_ended request=r1 service=s "
                        "target=t1 status=502",
                        "time=1 level=INFO instance=i1 event=target_gone target=t1 service=s",
                        "time=1 level=INFO instance=i1 event=target_gone target=t9 service=other",
                        "time=2 level=INFO instance=i2 event=send_failed request=r1 service=s "
                        "target=t1 reason=connection_lost",
                        "time=4 level=INFO instance=i1 event=coordination_lost service=s",
                        "time=2 level=INFO instance=i2 event=request_ended request=r11 service=s"}),
            "r1");
    BOOST_REQUIRE_EQUAL(timeline.size(), 3U);
    BOOST_CHECK_EQUAL(timeline[0].name, "target_gone");
    BOOST_CHECK_EQUAL(timeline[1].name, "send_failed");
    BOOST_CHECK_EQUAL(timeline[2].name, "request_ended");
}

BOOST_AUTO_TEST_CASE(timeline_of_unknown_request_is_empty)
{
    BOOST_CHECK(explainRequest(parseLines({"time=1 instance=i event=x request=r1"}), "r2").empty());
}
