#include "clementinebeam/dispatch/crashrecord.h"

#include "clementinebeam/kernel/plaintext.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Limit of stored times, far in the future: a larger one could overflow where times are added.
constexpr std::int64_t MAX_UNIX_MS = 1LL << 45U;

bool isInRange(const stored_crash &crash)
{
    return !crash.target.empty() && isPlainText(crash.target) && crash.unixMs >= 0
            && crash.unixMs <= MAX_UNIX_MS;
}

} // namespace

bool isConsistent(const crash_record &record)
{
    return isPlainText(record.service)
            && std::all_of(record.suspects.begin(), record.suspects.end(), [](const auto &suspect) {
                   return !suspect.crashes.empty()
                           && std::all_of(suspect.crashes.begin(), suspect.crashes.end(),
                                          isInRange);
               });
}

clock_reading readClocks()
{
    return {boot_clock::now(), std::chrono::system_clock::now()};
}

crash_record recordOf(const service_name &service, const suspect_map &suspects,
                      const clock_reading &clocks)
{
    crash_record record{service, {}};
    for (const auto &[fingerprint, crashes] : suspects) {
        stored_suspect suspect{fingerprint, {}};
        for (const auto &crash : crashes) {
            const auto time = clocks.timeOfDay - (clocks.now - crash.at);
            suspect.crashes.push_back(
                    {crash.target, duration_cast<milliseconds>(time.time_since_epoch()).count()});
        }
        record.suspects.push_back(std::move(suspect));
    }
    return record;
}

suspect_map suspectsOf(const crash_record &record, const clock_reading &clocks)
{
    const auto today = duration_cast<milliseconds>(clocks.timeOfDay.time_since_epoch());
    suspect_map suspects;
    for (const auto &suspect : record.suspects) {
        auto &crashes = suspects[suspect.fingerprint];
        for (const auto &crash : suspect.crashes) {
            const auto age = std::max(milliseconds(0), today - milliseconds(crash.unixMs));
            crashes.push_back({crash.target, clocks.now - age});
        }
    }
    return suspects;
}

} // namespace clementinebeam
