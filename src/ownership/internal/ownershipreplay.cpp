#include "clementinebeam/ownership/ownershipreplay.h"

#include <algorithm>

namespace clementinebeam {

std::string_view moveCauseName(move_cause cause) noexcept
{
    switch (cause) {
    case move_cause::Initial:
        return "initial";
    case move_cause::TargetLost:
        return "target_lost";
    case move_cause::Drain:
        return "drain";
    case move_cause::Rebalance:
        break;
    }
    return "rebalance";
}

const shard_id &shardOf(const ownership_body &body)
{
    if (const auto *claim = std::get_if<claim_record>(&body))
        return claim->shard;
    if (const auto *move = std::get_if<move_record>(&body))
        return move->shard;
    if (const auto *settled = std::get_if<settled_record>(&body))
        return settled->shard;
    return std::get<checkpoint_record>(body).state.shard;
}

void ownership_replay::restart(log_offset firstOffset)
{
    *this = ownership_replay();
    m_firstOffset = firstOffset;
    m_nextOffset = firstOffset;
    m_areAllShardsKnown = firstOffset == 0;
}

std::optional<log_offset> ownership_replay::knownFrom(const shard_id &shard) const
{
    if (m_areAllShardsKnown)
        return m_firstOffset;
    if (const auto found = m_knownFrom.find(shard); found != m_knownFrom.end())
        return found->second;
    if (m_checkpointShards && !m_checkpointShards->shards.contains(shard))
        return m_checkpointShards->asOf;
    return std::nullopt;
}

const shard_state *ownership_replay::find(const shard_id &shard) const
{
    static const shard_state UNCLAIMED;
    const auto found = m_shards.find(shard);
    if (found != m_shards.end())
        return &found->second;
    return isKnown(shard) ? &UNCLAIMED : nullptr;
}

std::vector<shard_id> ownership_replay::shards() const
{
    std::vector<shard_id> names;
    for (const auto &[name, state] : m_shards)
        names.push_back(name);
    return names;
}

replay_verdict ownership_replay::apply(log_offset offset, const ownership_record &record)
{
    m_nextOffset = offset + 1;
    if (const auto *checkpoint = std::get_if<checkpoint_record>(&record.body))
        return applyCheckpoint(offset, *checkpoint);
    if (!isKnown(shardOf(record.body))) {
        m_deferred.push_back({offset, record});
        return replay_verdict::Deferred;
    }
    return applyKnown(offset, record);
}

replay_verdict ownership_replay::applyKnown(log_offset offset, const ownership_record &record)
{
    if (const auto *claim = std::get_if<claim_record>(&record.body))
        return applyClaim(offset, *claim);
    if (const auto *move = std::get_if<move_record>(&record.body))
        return applyMoves(offset, *move);
    if (const auto *settled = std::get_if<settled_record>(&record.body))
        return applySettled(*settled);
    return replay_verdict::Void;
}

replay_verdict ownership_replay::applyClaim(log_offset offset, const claim_record &claim)
{
    auto &state = m_shards[claim.shard];
    if (state.term != claim.previousTerm) {
        if (state.term == 0)
            m_shards.erase(claim.shard);
        return replay_verdict::Void;
    }
    if (state.term != 0) {
        const bool byStandby = claim.leader == state.standby;
        state.earlier.push_back({state.term, state.leader, state.standby, byStandby});
    }
    state.shard = claim.shard;
    state.previousTerm = claim.previousTerm;
    // Offset 0 is valid but term and epoch 0 mean none, so terms and epochs are the offset plus 1.
    state.term = offset + 1;
    state.leader = claim.leader;
    state.standby = claim.standby;
    return replay_verdict::Applied;
}

replay_verdict ownership_replay::applyMoves(log_offset offset, const move_record &record)
{
    const auto found = m_shards.find(record.shard);
    if (found == m_shards.end() || found->second.term != record.term)
        return replay_verdict::Void;
    auto &slots = found->second.slots;
    auto verdict = replay_verdict::Void;
    for (const auto &move : record.moves) {
        if (move.slot >= MAX_SLOTS)
            continue;
        if (move.slot >= slots.size())
            slots.resize(move.slot + 1);
        auto &slot = slots[move.slot];
        if (slot.epoch != move.expectedEpoch)
            continue;
        slot.previous = slot.owner;
        slot.owner = move.owner;
        slot.epoch = offset + 1;
        verdict = replay_verdict::Applied;
    }
    return verdict;
}

replay_verdict ownership_replay::applySettled(const settled_record &record)
{
    const auto found = m_shards.find(record.shard);
    if (found == m_shards.end() || found->second.term != record.term)
        return replay_verdict::Void;
    found->second.earlier.clear();
    return replay_verdict::Applied;
}

replay_verdict ownership_replay::applyCheckpoint(log_offset offset, const checkpoint_record &record)
{
    const auto &shard = record.state.shard;
    if (isKnown(shard)) {
        const auto found = m_shards.find(shard);
        if (found != m_shards.end())
            found->second.checkpointOffset = offset;
        return replay_verdict::Applied;
    }
    // Records between the checkpoint and the first retained record would be missing.
    if (record.asOf + 1 < m_firstOffset)
        return replay_verdict::Void;
    loadCheckpoint(record);
    m_shards[shard].checkpointOffset = offset;
    return replay_verdict::Applied;
}

void ownership_replay::loadCheckpoint(const checkpoint_record &record)
{
    m_shards[record.state.shard] = record.state;
    m_knownFrom[record.state.shard] = record.asOf;
    if (!m_checkpointShards)
        m_checkpointShards =
                checkpoint_shards{record.asOf, {record.shards.begin(), record.shards.end()}};
    applyDeferred();
}

void ownership_replay::applyDeferred()
{
    std::vector<deferred_record> remaining;
    for (const auto &deferred : m_deferred) {
        const auto known = knownFrom(shardOf(deferred.record.body));
        if (!known)
            remaining.push_back(deferred);
        else if (deferred.offset > *known)
            applyKnown(deferred.offset, deferred.record);
    }
    m_deferred = std::move(remaining);
}

checkpoint_record ownership_replay::checkpoint(const shard_id &shard) const
{
    checkpoint_record record;
    record.asOf = m_nextOffset == 0 ? 0 : m_nextOffset - 1;
    record.shards = shards();
    if (const auto found = m_shards.find(shard); found != m_shards.end())
        record.state = found->second;
    return record;
}

void ownership_replay::adopt(log_offset asOf, const std::vector<shard_state> &states)
{
    restart(asOf + 1);
    m_areAllShardsKnown = true;
    for (const auto &state : states)
        m_shards[state.shard] = state;
}

} // namespace clementinebeam
