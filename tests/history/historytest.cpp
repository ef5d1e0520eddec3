#define BOOST_TEST_MODULE history
#include "historychecker.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace clementinebeam::history;

namespace {

/// A history without violations.
history validHistory()
{
    history events;
    events.ownerships = {{"t1", "orders", 3, 5, 100, 200}, {"t2", "orders", 3, 6, 200, 300}};
    events.executions = {{150, "t1", "orders", "k", "1-a", 3, 5},
                         {250, "t2", "orders", "k", "1-b", 3, 6}};
    events.calls = {{"1-a", "k", "x", 140, 160, "answered", "k", "x", true},
                    {"1-c", "k", "y", 170, 180, "not_run", "", "", true}};
    events.readings = {{"i1", 100, 1}, {"i1", 200, 2}, {"i2", 150, 2}};
    events.patches = {{90, 0, 1}, {140, 1, 2}};
    events.departures = {{"t1", 160}};
    return events;
}

/// A change to the valid history that violates one invariant.
struct violation_row {
    const char *name;
    std::function<void(history &)> violate;
};

std::ostream &operator<<(std::ostream &stream, const violation_row &row)
{
    return stream << row.name;
}

const std::vector<violation_row> VIOLATIONS{
        {"two owners", [](history &events) { events.ownerships[0].until = 201; }},
        {"long owner that overlaps a later one",
         [](history &events) {
             events.ownerships[0].until = 1000;
             events.ownerships.push_back({"t3", "orders", 3, 7, 400, 500});
         }},
        {"older epoch after a newer one", [](history &events) { events.executions[1].epoch = 4; }},
        {"request that ran twice", [](history &events) { events.executions[1].requestId = "1-a"; }},
        {"answer without a run", [](history &events) { events.calls[0].requestId = "1-z"; }},
        {"run of a request that was reported as not run",
         [](history &events) { events.executions[1].requestId = "1-c"; }},
        {"answer of another key", [](history &events) { events.calls[0].answerKey = "other"; }},
        {"answer of another body", [](history &events) { events.calls[0].answerBody = "other"; }},
        {"version that reverts", [](history &events) { events.readings[1].version = 0; }},
        {"two accepted patches on one base", [](history &events) { events.patches[1].base = 0; }},
        {"accepted patch that no instance shows",
         [](history &events) {
             events.patches.push_back({300, 2, 3});
         }},
        {"request to a leaving target",
         [](history &events) {
             events.executions.push_back({3'000'161, "t1", "orders", "k", "", 4, 9});
         }},
};

} // namespace

BOOST_AUTO_TEST_CASE(valid_history_has_no_violations)
{
    BOOST_TEST(check(validHistory()).empty());
}

BOOST_DATA_TEST_CASE(each_violation_is_found, VIOLATIONS, row)
{
    auto events = validHistory();
    row.violate(events);
    BOOST_TEST(!check(events).empty());
}
