#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <map>
#include <vector>

namespace clementinebeam {

/// Bounds the time until which earlier leaders of a shard may have kept a lease alive.
///
/// It matters for targets that the new leader does not reach: a target that saw the new term
/// refuses every earlier leader, until it restarts.
///
/// A former leader's statement ends its leadership at once, unless it handed its right on. Any
/// other process of the pair, also a restarted one, proves that nobody confirms the former leader
/// any more, so that its right ends after the isolation limit.
class predecessor_fence
{
public:
    explicit predecessor_fence(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// Starts a term.
    /// @param self the new leader.
    /// @param isContinuation the new leader also led the term before, and knows its targets.
    /// @param earlier leaderships that are not settled.
    /// @param now when the claim was read back.
    void begin(const incarnation_id &self, bool isContinuation,
               const std::vector<earlier_leadership> &earlier, instant now);

    /// Notes that a leader was heard in a term, so it left all terms before.
    /// @param leader the leader.
    /// @param term the term of its message.
    /// @param now when the message arrived.
    void noteLeader(const incarnation_id &leader, term_number term, instant now);

    /// Starts to act in a term that its leader handed over.
    /// @param now when the handover arrived.
    void beginAfterHandover(instant now);

    /// Notes that an instance will not be active any more below the current term.
    /// @param from the process that stated it.
    /// @param term the process is not active below this term.
    /// @param now when the statement arrived.
    void addStatement(const incarnation_id &from, term_number term, instant now);

    /// @return the instances whose statement would shorten the wait.
    std::vector<instance_id> pending() const;

    /// @return the time from which no earlier leader's lease can be alive; the maximum if
    /// unbounded.
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
    /// A process is not active any more in the terms below this one.
    struct inactivity {
        term_number term = 0;
        instant since{};
    };

    using inactivity_table = std::map<incarnation_id, inactivity>;

    static void note(inactivity_table &table, const incarnation_id &process, term_number term,
                     instant now);

    inactivity_table m_statements;
    inactivity_table m_heard;

    void apply(entry &item, const incarnation_id &from, const inactivity &statement) const;
};

} // namespace clementinebeam
