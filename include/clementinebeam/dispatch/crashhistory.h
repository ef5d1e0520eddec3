#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"

#include <compare>
#include <map>
#include <set>
#include <vector>

namespace clementinebeam {

/// The end of a target's process while it ran a request.
struct target_crash {
    target_id target;
    instant at;
};

/// What the repeats of a request have in common.
struct repeated_request {
    service_name service;
    std::uint64_t fingerprint = 0;

    auto operator<=>(const repeated_request &) const = default;
};

/// Crashes by the fingerprint of the request, of one service; oldest first, none of them empty.
using suspect_map = std::map<std::uint64_t, std::vector<target_crash>>;

/// Finds the requests that crash the targets that run them.
///
/// A frequent request is usually running when a target crashes for another reason. A request that
/// was answered recently is therefore never a suspect. Does no I/O and reads no clock.
class crash_history
{
public:
    /// Crashes after which a request is quarantined.
    static constexpr std::size_t CRASH_LIMIT = 2;
    /// How long a request stays quarantined after the last crash.
    static constexpr std::chrono::minutes QUARANTINE_DURATION{30};

    /// What a crash tells about a request.
    enum class verdict : std::uint8_t {
        Unsuspected, ///< The request was answered recently.
        Known,       ///< The crash was noted before.
        Suspected,   ///< Another crash, which does not change whether the request is quarantined.
        Quarantined, ///< The request has now reached CRASH_LIMIT.
    };

    crash_history()
        : m_answered(ANSWERED_TABLE_SIZE)
    { }

    /// Notes a crash, seen here or by another instance. Copies of a request that were lost in one
    /// crash count once.
    verdict noteCrash(const repeated_request &request, const target_crash &crash);

    /// Takes over what was stored by an earlier run or another instance. The times of stored
    /// crashes are not exact enough to tell two crashes of one target from one, so a stored crash
    /// counts only if none of its target is known, or if the stored ones are more than the known
    /// ones.
    /// @param crashes the stored crashes, oldest first.
    /// @param now the current time.
    verdict restore(const repeated_request &request, const std::vector<target_crash> &crashes,
                    instant now);

    /// Records that the request was answered, which shows that it does not crash its targets, and
    /// clears its crashes.
    /// @return whether there were any.
    bool noteAnswer(const repeated_request &request);

    /// @return whether the request must not be sent any more.
    bool isQuarantined(const repeated_request &request, instant now) const;

    /// @return the last crashes of a request, oldest first; at most CRASH_LIMIT.
    std::vector<target_crash> crashesOf(const repeated_request &request) const;

    /// @return the services with requests that have crashed targets.
    std::set<service_name> services() const;

    /// @param service a service.
    /// @param now the current time.
    /// @param limit largest number of requests to return.
    /// @return the requests of the service whose crashes still count: those that are quarantined
    ///     first, then those with the newest crashes.
    suspect_map suspectsOf(const service_name &service, instant now, std::size_t limit) const;

private:
    /// Losses of the same target within this time count as one crash.
    static constexpr std::chrono::milliseconds SAME_CRASH_WINDOW{1000};
    static constexpr std::size_t MAX_RECORDS = 10000;
    static constexpr std::size_t ANSWERED_TABLE_SIZE = 1 << 15;

    bool wasAnswered(const repeated_request &request) const;
    void evictOldestIfFull();

    std::map<repeated_request, std::vector<target_crash>> m_records; ///< None of them is empty.
    /// Hash table of answered requests; a collision overwrites.
    std::vector<std::uint64_t> m_answered;
};

} // namespace clementinebeam
