#pragma once

#include "clementinebeam/ledger/ledgertypes.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace clementinebeam {

/// Limits of a ledger.
struct ledger_settings {
    std::chrono::milliseconds requestIdLife{600000};
    std::chrono::milliseconds clockSkewLimit{2000};
    std::chrono::milliseconds reportGrace{2000}; ///< Waited after a deadline for a late report.
    std::size_t maxEntries = 200000;
};

/// What the ledger decided about a request.
struct ledger_decision {
    admission decision = admission::Refused;
    error_kind reason = error_kind::Internal;
    std::optional<ledger_entry> entry; ///< To copy if the decision is Run, else what is recorded.
};

/// Non-idempotent requests of one shard. Sans-I/O and not thread-safe.
///
/// A request id begins with its creation time, so that an id from before the ledger's memory is
/// recognised and never runs a second time.
class request_ledger
{
public:
    explicit request_ledger(const ledger_settings &settings)
        : m_settings(settings)
    { }

    /// Forgets everything; requests created up to a time are unknown from now on.
    /// @param horizon the time.
    void reset(wall_time horizon);

    /// @param request the request.
    /// @param executor the instance that would send it.
    /// @param now the current time.
    /// @param wall the current wall-clock time.
    /// @return the decision; if it is Run, the entry is recorded as running.
    ledger_decision admit(const admit_request &request, const incarnation_id &executor, instant now,
                          wall_time wall);

    /// @param requestId a request.
    /// @param token an admission.
    /// @return whether the request is running under that admission.
    bool isRunning(const std::string &requestId, std::uint64_t token) const;

    /// @param report what became of a request.
    /// @return the changed entry, or nothing if the report is stale or repeated.
    std::optional<ledger_entry> complete(const outcome_report &report);

    /// Takes a leader's copy of an entry.
    /// @param entry the entry.
    /// @param now the current time.
    void store(const ledger_entry &entry, instant now);

    /// Ends running requests whose report is overdue, and drops those whose id ended its life.
    /// @param now the current time.
    /// @param wall the current wall-clock time.
    void expire(instant now, wall_time wall);

    /// @param now the current time.
    /// @return all entries, for a new standby.
    std::vector<ledger_entry> entries(instant now) const;

    /// @param slot a slot.
    /// @return the number of its requests that may still be running.
    std::size_t runningIn(slot_index slot) const;

    wall_time horizon() const { return m_horizon; }
    void setHorizon(wall_time horizon) { m_horizon = horizon; }
    std::size_t size() const { return m_entries.size(); }

private:
    struct record {
        ledger_entry entry;
        instant overdueAt;
    };

    ledger_decision admitKnown(record &known, const admit_request &request,
                               const incarnation_id &executor, instant now);
    void setState(record &known, ledger_state state);

    ledger_settings m_settings;
    wall_time m_horizon{};
    std::unordered_map<std::string, record> m_entries;
    std::unordered_map<slot_index, std::size_t> m_running;
};

/// @param requestId "<milliseconds since the Unix epoch>-<text>".
/// @return the creation time in it, or nothing if the id is malformed.
std::optional<wall_time> creationTimeOf(std::string_view requestId);

} // namespace clementinebeam
