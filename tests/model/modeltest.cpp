#define BOOST_TEST_MODULE model
#include "modelsystem.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

namespace {

using namespace clementinebeam;
using namespace clementinebeam::model;

struct seed_range {
    std::uint64_t first;
    std::uint64_t last;
};

/// @return the seeds that MODEL_FIRST_SEED and MODEL_LAST_SEED name; both ends are included.
seed_range seedRange()
{
    const char *first = std::getenv("MODEL_FIRST_SEED");
    const char *last = std::getenv("MODEL_LAST_SEED");
    constexpr seed_range DEFAULT{1, 100};
    return {first ? std::stoull(first) : DEFAULT.first, last ? std::stoull(last) : DEFAULT.last};
}

struct totals {
    std::size_t violations = 0;
    std::size_t records = 0;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
};

totals runSeeds(model_options options, std::uint64_t first, std::uint64_t last,
                bool reportsViolations)
{
    totals sum;
    for (auto seed = first; seed <= last; ++seed) {
        options.seed = seed;
        model_system system(options);
        system.run();
        sum.violations += system.violations().size();
        sum.records += system.records().size();
        for (const auto &request : system.requests()) {
            ++sum.requests;
            sum.answered += static_cast<std::size_t>(request.answers);
            sum.notRun += static_cast<std::size_t>(request.notRunAnswers);
            sum.unknown += static_cast<std::size_t>(request.unknownAnswers);
        }
        for (const auto &violation : system.violations()) {
            if (reportsViolations)
                BOOST_ERROR(violation);
        }
    }
    return sum;
}

void print(const char *name, const totals &sum)
{
    std::cout << name << ": " << sum.records << " records, " << sum.requests << " requests, "
              << sum.answered << " answered, " << sum.notRun << " not run, " << sum.unknown
              << " unknown, " << sum.violations << " violations\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(invariants_hold_under_random_faults)
{
    const auto [first, last] = seedRange();
    const auto sum = runSeeds({}, first, last, true);
    print("random faults", sum);
    BOOST_TEST(sum.violations == 0U);
    BOOST_TEST(sum.answered > 0U);
}

BOOST_AUTO_TEST_CASE(checker_finds_leases_that_last_longer_than_promised)
{
    model_options options;
    options.addedTargetLease = std::chrono::milliseconds(1500);
    BOOST_TEST(runSeeds(options, 1, 60, false).violations > 0U);
}

BOOST_AUTO_TEST_CASE(checker_finds_a_leader_that_ignores_the_isolation_limit)
{
    model_options options;
    options.breaksIsolationLimit = true;
    BOOST_TEST(runSeeds(options, 1, 200, false).violations > 0U);
}

BOOST_AUTO_TEST_CASE(checker_finds_clocks_that_drift_beyond_the_bound)
{
    model_options options;
    options.clockDrift = 0.2;
    BOOST_TEST(runSeeds(options, 1, 200, false).violations > 0U);
}
