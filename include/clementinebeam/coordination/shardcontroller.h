#pragma once

#include "clementinebeam/assignment/iassignmentpolicy.h"
#include "clementinebeam/coordination/coordinationtypes.h"
#include "clementinebeam/kernel/randomsource.h"

#include <map>
#include <memory>

namespace clementinebeam {

/// One shard's coordination on one instance: leadership, leases and moves.
///
/// Sans-I/O: takes events with a time and returns actions. It owns no socket, thread or clock.
/// Not thread-safe.
class shard_controller
{
public:
    /// @param shard the shard.
    /// @param self this process.
    /// @param settings times and limits; equal on all instances.
    /// @param policy decides which target owns which slot.
    /// @param randomSeed seed for record ids.
    shard_controller(shard_id shard, const incarnation_id &self,
                     const coordination_settings &settings,
                     std::unique_ptr<i_assignment_policy> policy, std::uint64_t randomSeed);
    ~shard_controller();
    shard_controller(const shard_controller &) = delete;
    shard_controller &operator=(const shard_controller &) = delete;

    /// @param instances all instances that the list names, this one included.
    void setInstances(std::vector<instance_view> instances);

    /// @param targets all targets of the shard that the list names.
    /// @param now the current time.
    void setTargets(std::vector<listed_target> targets, instant now);

    /// @param slots all slots of the shard.
    void setSlots(std::vector<slot_index> slots);

    /// @param policy replaces the assignment policy.
    void setPolicy(std::unique_ptr<i_assignment_policy> policy);

    /// @param load service time in seconds per second by slot.
    void setLoad(std::map<slot_index, double> load);

    /// Takes a record of this shard's that was read from the log.
    /// @param record the record.
    /// @param state the shard's state after the record.
    /// @param now the current time.
    /// @param actions receives what to do.
    void onRecord(const ownership_record &record, const shard_state &state, instant now,
                  action_list &actions);

    /// Takes a shard state that was not read record by record, as after a start from a peer.
    /// @param state the state.
    /// @param now the current time.
    void onState(const shard_state &state, instant now);

    /// Takes the end of a log read that reached the end of the stream.
    /// @param readStart when the read was started.
    /// @param nextOffset the stream position after the read.
    void onLogRead(instant readStart, log_offset nextOffset);

    /// @param from sender of the message.
    /// @param message the message.
    /// @param now when it arrived.
    /// @param actions receives what to do.
    /// @return whether the message names a newer term, so that the log should be read soon.
    bool onMessage(const incarnation_id &from, const coordination_message &message, instant now,
                   action_list &actions);

    /// @param from the target.
    /// @param sequence sequence of the message that was answered.
    /// @param reply the answer.
    /// @param now when it arrived.
    /// @param actions receives what to do.
    void onTargetReply(const target_id &from, std::uint64_t sequence, const control_reply &reply,
                       instant now, action_list &actions);

    /// @param from the target.
    /// @param sequence sequence of the message that got no answer in time.
    void onTargetFailure(const target_id &from, std::uint64_t sequence);

    /// Advances time. To be called at least every 50 ms.
    /// @param now the current time.
    /// @param actions receives what to do.
    void tick(instant now, action_list &actions);

    /// Stops leading and passes the right to the standby.
    /// @param now the current time.
    /// @param actions receives what to do.
    void beginStop(instant now, action_list &actions);

    /// @param now the current time.
    /// @return whether the right was passed on or there is nothing to pass on.
    bool isStopped(instant now) const;

    /// Takes an operator's word that no earlier leader is active any more.
    /// @param now the current time.
    /// @param actions receives what to do.
    void confirmEarlierLeadersLost(instant now, action_list &actions);

    /// @return this instance's role in the current term.
    shard_role role() const;

    /// @param now the current time.
    /// @return whether this instance leads and may act.
    bool leads(instant now) const;

    /// @param from the sender of a ledger copy.
    /// @param term the sender's term.
    /// @return whether this instance is the standby of exactly that leader.
    bool acceptsCopyFrom(const incarnation_id &from, term_number term) const;

    /// @param slot a slot.
    /// @return whether the owner confirmed to this leader that it serves the slot.
    bool isServed(slot_index slot) const;

    term_number term() const;
    const shard_state &state() const;

    /// @param now the current time.
    /// @return a summary for operators.
    shard_status status(instant now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace clementinebeam
