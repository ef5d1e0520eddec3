#pragma once

#include "clementinebeam/kernel/identifiers.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <variant>
#include <vector>

namespace clementinebeam {

/// Names a leader and a standby for a shard. Valid if the previous term is the current one.
struct claim_record {
    shard_id shard;
    term_number previousTerm = 0;
    incarnation_id leader;
    incarnation_id standby; ///< Empty if no second instance is known.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, previousTerm, leader, standby);
    }
};

/// Why a slot is assigned anew.
enum class move_cause : std::uint8_t {
    Initial,
    TargetLost,
    Drain,
    Rebalance,
};

/// One slot's new owner, built on the epoch that the writer saw.
struct slot_move {
    slot_index slot = 0;
    epoch_number expectedEpoch = 0;
    target_id owner;
    move_cause cause = move_cause::Initial;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(slot, expectedEpoch, owner, cause);
    }
};

/// Assigns slots. Valid in the current term; each move is valid on the slot's current epoch.
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

/// States that no earlier leader of the shard can renew a lease any more. Valid in the current
/// term.
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
    target_id previous; ///< May still hold the slot until it released it or its lease lapsed.
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
/// A leader that replaces its standby leaves one too: until it reads its own claim back, it and its
/// former standby may confirm each other in the former term.
struct earlier_leadership {
    term_number term = 0;
    incarnation_id leader;
    incarnation_id standby;
    bool bounded = false; ///< The standby took over, so the right ends after the isolation limit.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(term, leader, standby, bounded);
    }
};

/// Agreed state of one shard.
struct shard_state {
    shard_id shard;
    term_number term = 0;
    term_number previousTerm = 0; ///< 0 in the shard's first term.
    incarnation_id leader;
    incarnation_id standby;
    std::vector<earlier_leadership> earlier; ///< Since the last settled record, oldest first.
    std::vector<slot_state> slots;
    log_offset checkpointOffset = 0;

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

/// What replay made of a record.
enum class replay_verdict {
    Applied,
    Void,     ///< Built on a state that was no longer current.
    Deferred, ///< The shard's state is not known yet; kept until a checkpoint arrives.
};

/// @param cause a cause.
/// @return its name in the audit trail.
std::string_view moveCauseName(move_cause cause) noexcept;

} // namespace clementinebeam
