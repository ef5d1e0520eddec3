#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <map>
#include <vector>

namespace clementinebeam {

/// Computes the fence: the time until which leases granted by earlier leaders of a shard may be
/// valid.
///
/// The fence matters for targets that the new leader does not reach: a target that saw the new term
/// refuses every earlier leader until it restarts.
///
/// A statement by the process of an earlier leader ends its leadership at once. A leader that
/// handed over its authority sends no statement; its handover counts as one. A statement by any
/// other process of the leader and standby pair, including a restarted one, shows that nobody
/// confirms the earlier leader any more, so its authority expires after the isolation limit.
class predecessor_fence
{
public:
    explicit predecessor_fence(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// Starts a term.
    /// @param self the new leader.
    /// @param isContinuation whether the new leader also led the previous term and knows its
    /// targets.
    /// @param earlier earlier leaderships that are not settled.
    /// @param now when the claim was read back.
    void begin(const incarnation_id &self, bool isContinuation,
               const std::vector<earlier_leadership> &earlier, instant now);

    /// Notes a message that a leader sent in a term; it is no longer active in earlier terms.
    /// @param leader the leader.
    /// @param term the term of its message.
    /// @param now when the message arrived.
    void noteHeardLeader(const incarnation_id &leader, term_number term, instant now);

    /// Extends the fence to at least one lease from now, for leases of a leader that has just
    /// ended.
    /// @param now when the leader handed over its authority or an operator confirmed its loss.
    void extendByOneLease(instant now);

    /// Notes a statement that a process is no longer active below a term.
    /// @param from the process that sent the statement.
    /// @param term the lowest term in which the process may be active.
    /// @param now when the statement arrived.
    void addStatement(const incarnation_id &from, term_number term, instant now);

    /// @return the instances whose statement can shorten the fence.
    std::vector<instance_id> instancesToQuery() const;

    /// @return the time from which no lease of an earlier leader can be valid; instant::max() if
    /// it is unbounded.
    instant earlierLeasesEnd() const;

private:
    struct entry {
        earlier_leadership leadership;
        instant end;
        bool hasLeaderStatement = false;
    };

    coordination_settings m_settings;
    std::vector<entry> m_entries;
    instant m_minEnd{};
    /// From the time @c since on, a process is no longer active in the terms below @c term.
    struct inactivity {
        term_number term = 0;
        instant since{};
    };

    using inactivity_table = std::map<incarnation_id, inactivity>;

    static void noteInactivity(inactivity_table &table, const incarnation_id &process,
                               term_number term, instant now);

    inactivity_table m_statements;
    inactivity_table m_heardLeaders;

    /// Sets an earlier end for the leases of one leadership if the statement allows it.
    void applyStatement(entry &item, const incarnation_id &from, const inactivity &statement) const;
};

} // namespace clementinebeam
