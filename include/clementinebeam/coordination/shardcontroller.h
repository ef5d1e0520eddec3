#pragma once

#include "clementinebeam/assignment/iassignmentpolicy.h"
#include "clementinebeam/coordination/coordinationtypes.h"
#include "clementinebeam/kernel/randomsource.h"

#include <map>
#include <memory>

namespace clementinebeam {

/// Coordinates one shard on one instance: leadership, target leases and slot moves.
///
/// Performs no I/O: takes events with their times and returns actions. It owns no socket, thread or
/// clock. Not thread-safe.
///
/// The ownership stream is the sequence of ownership records in the log that all instances read.
/// The instance list names the instances and the targets.
class shard_controller
{
public:
    /// @param shard the shard.
    /// @param self the incarnation of this process.
    /// @param settings times and limits; equal on all instances.
    /// @param policy decides which target owns which slot.
    /// @param randomSeed seed for record ids.
    shard_controller(shard_id shard, const incarnation_id &self,
                     const coordination_settings &settings,
                     std::unique_ptr<i_assignment_policy> policy, std::uint64_t randomSeed);
    ~shard_controller();
    shard_controller(const shard_controller &) = delete;
    shard_controller &operator=(const shard_controller &) = delete;

    /// @param instances all instances in the instance list, including this one.
    void setInstances(std::vector<instance_view> instances);

    /// @param targets all targets of the shard in the instance list.
    /// @param now the current time.
    void setTargets(std::vector<listed_target> targets, instant now);

    /// @param slots indices of all slots of the shard.
    void setSlots(std::vector<slot_index> slots);

    /// @param policy the new assignment policy; not null.
    void setPolicy(std::unique_ptr<i_assignment_policy> policy);

    /// @param load load of each slot, in seconds of service time per second.
    void setLoad(std::map<slot_index, double> load);

    /// Handles a record of this shard that was read from the log.
    /// @param record the record.
    /// @param state the shard's state after the record.
    /// @param now the current time.
    /// @param actions receives the resulting actions.
    void onRecord(const ownership_record &record, const shard_state &state, instant now,
                  action_list &actions);

    /// Adopts a shard state that was not read record by record, such as a peer's state at startup.
    /// @param state the state.
    /// @param now the current time.
    void onState(const shard_state &state, instant now);

    /// Notes that a log read reached the end of the ownership stream.
    /// @param readStart when the read was started.
    /// @param nextOffset the offset after the last record read.
    void onLogRead(instant readStart, log_offset nextOffset);

    /// Handles a message from another instance.
    /// @param from sender of the message.
    /// @param message the message.
    /// @param now when it arrived.
    /// @param actions receives the resulting actions.
    /// @return whether the sender is ahead of this instance in the ownership stream, so that the
    /// log should be read soon.
    bool onMessage(const incarnation_id &from, const coordination_message &message, instant now,
                   action_list &actions);

    /// Handles a target's reply to a control request.
    /// @param from the target.
    /// @param sequence sequence of the request that was answered.
    /// @param reply the reply.
    /// @param now when it arrived.
    /// @param actions receives the resulting actions.
    void onTargetReply(const target_id &from, std::uint64_t sequence, const control_reply &reply,
                       instant now, action_list &actions);

    /// Handles a control request that failed or timed out.
    /// @param from the target.
    /// @param sequence sequence of the request.
    void onTargetFailure(const target_id &from, std::uint64_t sequence);

    /// Performs the periodic work. Must be called at least every 50 ms.
    /// @param now the current time.
    /// @param actions receives the resulting actions.
    void tick(instant now, action_list &actions);

    /// Stops leading and starts to hand over the authority to the standby.
    /// @param now the current time.
    /// @param actions receives the resulting actions.
    void beginStop(instant now, action_list &actions);

    /// @param now the current time.
    /// @return whether the stop is complete: the handover was confirmed, timed out or not needed.
    bool isStopped(instant now) const;

    /// Records an operator's confirmation that no earlier leader is active any more. Has no effect
    /// unless this instance leads and an earlier leadership is not settled.
    /// @param now the current time.
    /// @param actions receives the resulting actions.
    void confirmEarlierLeadersLost(instant now, action_list &actions);

    /// @return this instance's role in the current term.
    shard_role role() const;

    /// @param now the current time.
    /// @return whether this instance leads and its authority is valid.
    bool leads(instant now) const;

    /// @param from the sender of a ledger copy.
    /// @param term the sender's term.
    /// @return whether this instance is the standby of that leader in that term.
    bool acceptsCopyFrom(const incarnation_id &from, term_number term) const;

    /// @param slot a slot index.
    /// @return whether this instance leads and the owner confirmed that it holds the slot at its
    /// current epoch.
    bool isServed(slot_index slot) const;

    /// @return the newest term that this instance knows; 0 if there is none.
    term_number term() const;

    /// @return the shard's state as last read from the log or adopted from a peer.
    const shard_state &state() const;

    /// @param now the current time.
    /// @return the shard's status for operators.
    shard_status status(instant now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace clementinebeam
