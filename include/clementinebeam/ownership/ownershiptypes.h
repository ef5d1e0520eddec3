#pragma once

#include "clementinebeam/kernel/identifiers.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <variant>
#include <vector>

namespace clementinebeam {

/// Names a leader and a standby for a shard and starts a new term. Valid if the previous term is
/// the current one.
struct claim_record {
    shard_id shard;
    term_number previousTerm = 0; ///< 0 if the shard was never claimed.
    incarnation_id leader;
    incarnation_id standby; ///< Empty if no second instance is known.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, previousTerm, leader, standby);
    }
};

/// Reason for assigning a slot to another target.
enum class move_cause : std::uint8_t {
    Initial, ///< The slot had no owner.
    TargetLost,
    Drain, ///< The owner is draining.
    Rebalance,
};

/// Assignment of a slot to a new owner.
struct slot_move {
    slot_index slot = 0;
    epoch_number expectedEpoch = 0; ///< The slot's epoch that the writer saw.
    target_id owner;
    move_cause cause = move_cause::Initial;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(slot, expectedEpoch, owner, cause);
    }
};

/// Assigns slots. Valid if the term is the current one; a move takes effect only if its expected
/// epoch is the slot's current epoch.
struct move_record {
    shard_id shard;
    term_number term = 0;
    std::vector<slot_move> moves;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, moves);
    }
};

/// States that no earlier leader of the shard can renew a lease any more. Valid if the term is the
/// current one.
struct settled_record {
    shard_id shard;
    term_number term = 0;
    bool byOperator = false; ///< An operator confirmed the loss of the earlier leaders.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, byOperator);
    }
};

/// Ownership of one slot.
struct slot_state {
    target_id owner;
    /// Previous owner; may still serve the slot until it releases the slot or its own lease ends.
    /// Empty if there is none.
    target_id previous;
    epoch_number epoch = 0;

    bool operator==(const slot_state &) const = default;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(owner, previous, epoch);
    }
};

/// A leadership that ended without proof that its leader stopped renewing leases.
///
/// A leader that replaces its standby also leaves one: until it reads its own claim back, it may
/// still act in the earlier term, confirmed by its earlier standby.
struct earlier_leadership {
    term_number term = 0;
    incarnation_id leader;
    incarnation_id standby;
    /// The standby took over, so the leader's authority expires after the isolation limit.
    bool standbyTookOver = false;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(term, leader, standby, standbyTookOver);
    }
};

/// State of a shard that results from the ownership stream.
struct shard_state {
    shard_id shard;
    term_number term = 0;         ///< 0 if the shard was never claimed.
    term_number previousTerm = 0; ///< 0 in the shard's first term.
    incarnation_id leader;
    incarnation_id standby;
    std::vector<earlier_leadership> earlier; ///< Since the last settled record, oldest first.
    std::vector<slot_state> slots;   ///< By slot index; slots past the end were never assigned.
    log_offset checkpointOffset = 0; ///< Offset of the newest checkpoint; 0 if there is none.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, previousTerm, leader, standby, earlier, slots, checkpointOffset);
    }
};

/// A shard's state after all records up to and including an offset.
struct checkpoint_record {
    log_offset asOf = 0;
    shard_state state;
    std::vector<shard_id> shards; ///< All shards that had a term at that offset.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(asOf, state, shards);
    }
};

using ownership_body = std::variant<claim_record, move_record, settled_record, checkpoint_record>;

/// One record of the ownership stream.
struct ownership_record {
    record_id id;
    instance_id writer;
    ownership_body body;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(id, writer, body);
    }
};

/// Outcome of replaying a record.
enum class replay_verdict {
    Applied,
    Void,     ///< Ignored because it was based on an outdated state.
    Deferred, ///< Kept until a checkpoint makes the shard's state known.
};

/// @param cause the cause of a move.
/// @return its name in the audit trail and in metrics.
std::string_view moveCauseName(move_cause cause) noexcept;

} // namespace clementinebeam
