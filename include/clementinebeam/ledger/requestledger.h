#pragma once

#include "clementinebeam/ledger/ledgertypes.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace clementinebeam {

/// Limits of a ledger.
struct ledger_settings {
    std::chrono::milliseconds requestIdLife{600000}; ///< Age at which a new request id is refused.
    std::chrono::milliseconds clockSkewLimit{2000};  ///< Largest difference of two wall clocks.
    std::chrono::milliseconds reportGrace{2000};     ///< Wait for a report after the deadline.
    std::size_t maxEntries = 200000;
};

/// Decision of the ledger about a request.
struct ledger_decision {
    admission decision = admission::Refused;
    error_kind reason = error_kind::Internal;
    std::optional<ledger_entry> entry; ///< If Run, to be copied to the standby; else as recorded.
};

/// Ledger of the non-idempotent requests of one shard. Sans-I/O and not thread-safe.
///
/// A request id begins with its creation time. Requests that were created up to the horizon may be
/// missing in the ledger, so they are refused unless they have an entry; otherwise they could run a
/// second time.
class request_ledger
{
public:
    explicit request_ledger(const ledger_settings &settings)
        : m_settings(settings)
    { }

    /// Removes all entries.
    /// @param horizon the new horizon.
    void reset(wall_time horizon);

    /// Admits a request that is new or that was not run when it was admitted before.
    /// @param request the request.
    /// @param executor the instance that would send it.
    /// @param now the current time.
    /// @param wall the current wall-clock time.
    /// @return the decision; if it is Run, the entry is recorded as running.
    ledger_decision admit(const admit_request &request, const incarnation_id &executor, instant now,
                          wall_time wall);

    /// @param requestId id of a request.
    /// @param token token of an admission.
    /// @return whether the request is running and that admission is its newest one.
    bool isRunning(const std::string &requestId, std::uint64_t token) const;

    /// Records the outcome of a request.
    /// @param report the outcome.
    /// @return the changed entry, to be copied to the standby, or nothing if the report is stale or
    /// repeated.
    std::optional<ledger_entry> complete(const outcome_report &report);

    /// Stores the leader's copy of an entry, unless the entry is older than the stored one.
    /// @param entry the entry.
    /// @param now the current time.
    void store(const ledger_entry &entry, instant now);

    /// Marks running requests whose report is overdue as unknown, and removes requests that are not
    /// running and whose id expired.
    /// @param now the current time.
    /// @param wall the current wall-clock time.
    void expire(instant now, wall_time wall);

    /// @param now the current time.
    /// @return all entries with their remaining times, for a new standby.
    std::vector<ledger_entry> entries(instant now) const;

    /// @param slot a slot.
    /// @return the number of its requests that are recorded as running.
    std::size_t countRunning(slot_index slot) const;

    /// @return the creation time up to which requests may be missing.
    wall_time horizon() const { return m_horizon; }

    /// @param horizon the creation time up to which requests may be missing from now on.
    void setHorizon(wall_time horizon) { m_horizon = horizon; }

    /// @return the number of entries.
    std::size_t size() const { return m_entries.size(); }

private:
    struct tracked_entry {
        ledger_entry entry;
        instant overdueAt;
    };

    ledger_decision admitExisting(tracked_entry &existing, const admit_request &request,
                                  const incarnation_id &executor, instant now);
    void setState(tracked_entry &existing, ledger_state state);

    ledger_settings m_settings;
    wall_time m_horizon{};
    std::unordered_map<std::string, tracked_entry> m_entries;
    std::unordered_map<slot_index, std::size_t> m_running;
};

/// @param requestId "<milliseconds since the Unix epoch>-<text>".
/// @return the creation time in it, or nothing if the id is malformed.
std::optional<wall_time> creationTimeOf(std::string_view requestId);

} // namespace clementinebeam
