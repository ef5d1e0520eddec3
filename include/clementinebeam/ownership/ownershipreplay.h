#pragma once

#include "clementinebeam/ownership/ownershiptypes.h"

#include <map>
#include <optional>
#include <set>

namespace clementinebeam {

/// Deterministic replay of the ownership stream: the same records give the same state everywhere.
///
/// The ownership stream is the sequence of ownership records in the log that all instances read.
class ownership_replay
{
public:
    /// Number of slots that a shard can have; moves of slots from this index on are ignored.
    static constexpr slot_index MAX_SLOTS = 65536;

    /// Discards all state and restarts at an offset.
    /// @param firstOffset offset of the first record that the log retains; 0 if the log holds the
    /// whole stream, so that the state of every shard is known from the start.
    void restart(log_offset firstOffset);

    /// Applies the record at the next offset.
    /// @param offset offset of the record; not below nextOffset().
    /// @param record the record.
    /// @return whether it was applied, void or deferred.
    replay_verdict apply(log_offset offset, const ownership_record &record);

    /// Advances past a record that cannot be decoded; every reader ignores it.
    /// @param offset offset of the record.
    void skip(log_offset offset) { m_nextOffset = offset + 1; }

    /// @return the offset of the next record to apply.
    log_offset nextOffset() const { return m_nextOffset; }

    /// @param shard the shard.
    /// @return its state; a state without a term if it was never claimed; null if its state is not
    /// known yet. Owned by the replay and valid until the next change.
    const shard_state *find(const shard_id &shard) const;

    /// @return all shards that have a term.
    std::vector<shard_id> shards() const;

    /// Creates a checkpoint of a known shard.
    /// @param shard the shard.
    /// @return the shard's state as of the last applied record, with the list of all shards.
    checkpoint_record checkpoint(const shard_id &shard) const;

    /// Replaces all state by that of another instance.
    /// @param asOf offset of the last record that the states include.
    /// @param states all shards with a term.
    void adopt(log_offset asOf, const std::vector<shard_state> &states);

private:
    /// A record of a shard whose state is not known yet.
    struct deferred_record {
        log_offset offset = 0;
        ownership_record record;
    };

    /// All shards that had a term at an offset, as listed by the first checkpoint that was loaded.
    /// Any other shard had no term at that offset, so its state is known to be empty there.
    struct checkpoint_shards {
        log_offset asOf = 0;
        std::set<shard_id> shards;
    };

    /// @return the offset of the last record that the shard's state includes without its deferred
    /// records, or the first offset if all shards are known; nothing if the state is not known yet.
    std::optional<log_offset> knownFrom(const shard_id &shard) const;
    bool isKnown(const shard_id &shard) const { return knownFrom(shard).has_value(); }
    replay_verdict applyKnown(log_offset offset, const ownership_record &record);
    replay_verdict applyClaim(log_offset offset, const claim_record &claim);
    replay_verdict applyMoves(log_offset offset, const move_record &record);
    replay_verdict applySettled(const settled_record &record);
    replay_verdict applyCheckpoint(log_offset offset, const checkpoint_record &record);
    void loadCheckpoint(const checkpoint_record &record);
    void applyDeferred();

    log_offset m_firstOffset = 0;
    log_offset m_nextOffset = 0;
    bool m_areAllShardsKnown = true; ///< No shard needs a checkpoint.
    std::map<shard_id, shard_state> m_shards;
    std::map<shard_id, log_offset> m_knownFrom;
    std::optional<checkpoint_shards> m_checkpointShards;
    std::vector<deferred_record> m_deferred;
};

/// @param body a record's body.
/// @return the shard that the record belongs to.
const shard_id &shardOf(const ownership_body &body);

} // namespace clementinebeam
