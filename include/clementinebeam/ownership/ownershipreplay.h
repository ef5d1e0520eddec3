#pragma once

#include "clementinebeam/ownership/ownershiptypes.h"

#include <map>
#include <optional>
#include <set>

namespace clementinebeam {

/// Deterministic replay of the ownership stream: the same records give the same state everywhere.
class ownership_replay
{
public:
    /// Upper bound of a slot index in a record.
    static constexpr slot_index MAX_SLOTS = 65536;

    /// Forgets all state and starts at an offset.
    /// @param firstOffset the first offset that the log still has; 0 means the stream is whole.
    void restart(log_offset firstOffset);

    /// Applies the record at the next offset.
    /// @param offset offset of the record; not below nextOffset().
    /// @param record the record.
    /// @return what became of it.
    replay_verdict apply(log_offset offset, const ownership_record &record);

    /// Counts a record that cannot be decoded; it is void at every reader.
    /// @param offset offset of the record.
    void skip(log_offset offset) { m_nextOffset = offset + 1; }

    /// @return the offset of the first record that was not applied yet.
    log_offset nextOffset() const { return m_nextOffset; }

    /// @param shard any shard.
    /// @return its state, a state without a term if it was never claimed, or null if unknown.
    const shard_state *find(const shard_id &shard) const;

    /// @return all shards that have a term.
    std::vector<shard_id> shards() const;

    /// Makes a checkpoint of a known shard.
    /// @param shard the shard.
    /// @return its state as of the last applied record.
    checkpoint_record checkpoint(const shard_id &shard) const;

    /// Takes over another instance's state of the stream.
    /// @param asOf offset of the last record that the states contain.
    /// @param states all shards with a term.
    void adopt(log_offset asOf, const std::vector<shard_state> &states);

private:
    struct deferred_record {
        log_offset offset = 0;
        ownership_record record;
    };

    /// The shards that had a term at an offset, as the first checkpoint names them.
    struct shard_index {
        log_offset asOf = 0;
        std::set<shard_id> shards;
    };

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
    bool m_complete = true;
    std::map<shard_id, shard_state> m_shards;
    std::map<shard_id, log_offset> m_knownFrom;
    std::optional<shard_index> m_index;
    std::vector<deferred_record> m_deferred;
};

/// @param body a record's body.
/// @return the shard that it is about.
const shard_id &shardOf(const ownership_body &body);

} // namespace clementinebeam
