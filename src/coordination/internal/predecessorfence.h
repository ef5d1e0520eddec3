#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <map>
#include <vector>

namespace clementinebeam {

/// Bounds the time until which earlier leaders of a shard may have kept a lease alive.
///
/// It matters only for targets that the new leader has not reached: a target that saw the new term
/// refuses every earlier leader.
class predecessor_fence
{
public:
    explicit predecessor_fence(const coordination_settings &settings) : m_settings(settings) { }

    /// Starts a term.
    /// @param earlier leaderships that are not settled.
    /// @param now when the claim was read back.
    void begin(const std::vector<earlier_leadership> &earlier, instant now);

    /// Starts to act in a term that its leader handed over.
    /// @param now when the handover arrived.
    void beginAfterHandover(instant now);

    /// Notes that an instance will not be active any more below the current term.
    /// @param from the process that stated it; a restarted process cannot speak for an earlier one.
    /// @param now when the statement arrived.
    void addStatement(const incarnation_id &from, instant now);

    /// @return the instances whose statement would shorten the wait.
    std::vector<instance_id> pending() const;

    /// @return the time from which no earlier leader's lease can be alive; the maximum if unbounded.
    instant until() const;

private:
    struct entry {
        earlier_leadership leadership;
        instant end;
        bool leaderStated = false;
    };

    coordination_settings m_settings;
    std::vector<entry> m_entries;
    instant m_begin{};
    std::map<incarnation_id, instant> m_statements;

    void applyStatement(entry &item, const incarnation_id &from, instant at) const;
};

} // namespace clementinebeam
