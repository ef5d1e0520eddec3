#include "internal/streamreader.h"

#include "clementinebeam/kernel/binarycodec.h"
#include "clementinebeam/observability/logline.h"

namespace clementinebeam {

namespace {

constexpr std::chrono::milliseconds READ_TIMEOUT{500};

std::string joinWithSpaces(const std::vector<std::string> &texts)
{
    std::string all;
    for (const auto &text : texts)
        all += (all.empty() ? "" : " ") + text;
    return all;
}

} // namespace

stream_reader::stream_reader(shard_table &shards, action_runner &runner,
                             std::shared_ptr<i_log_client> log,
                             std::shared_ptr<i_audit_trail> audit,
                             std::shared_ptr<i_metrics> metrics, const incarnation_id &self)
    : m_shards(shards)
    , m_runner(runner)
    , m_log(std::move(log))
    , m_audit(std::move(audit))
    , m_metrics(std::move(metrics))
    , m_self(self.instance)
{ }

stream_reader::round_result stream_reader::read()
{
    round_result round;
    const bool configurationEnd = readConfiguration(round);
    const auto readStart = boot_clock::now();
    const bool ownershipEnd = round.isReachable && readOwnership(round);
    m_metrics->setLogReachable(round.isReachable);
    round.isAtEnd = configurationEnd && ownershipEnd;
    if (!ownershipEnd)
        return round;
    const ordered_lock lock(m_shards.mutex());
    m_ownershipReadOnce = true;
    for (auto &[shard, entry] : m_shards.entries()) {
        if (m_ownership.find(shard))
            entry->controller.onLogRead(readStart, m_ownership.nextOffset());
    }
    return round;
}

bool stream_reader::readConfiguration(round_result &round)
{
    auto batch = m_log->read(CONFIGURATION_STREAM, m_configuration.nextOffset(), READ_TIMEOUT);
    round.isReachable = batch.has_value();
    if (!batch)
        return false;
    const ordered_lock lock(m_shards.mutex());
    if (batch.value().firstOffset > m_configuration.nextOffset()) {
        log_line(log_level::Warning, "stream_gap").add("stream", CONFIGURATION_STREAM);
        m_configuration.restart(batch.value().firstOffset);
    }
    for (const auto &entry : batch.value().entries)
        applyConfiguration(entry, round);
    return m_configuration.nextOffset() >= batch.value().nextOffset;
}

void stream_reader::applyConfiguration(const log_entry &entry, round_result &round)
{
    round.hasChanged = true;
    const auto record = decodeBinary<configuration_record>(entry.payload);
    if (!record)
        return m_configuration.skip(entry.offset);
    const auto before = m_configuration.current()->version;
    m_configuration.apply(entry.offset, record.value());
    if (m_configuration.current()->version != before) {
        round.hasConfigurationChanged = true;
        m_metrics->setConfigurationVersion(m_configuration.current()->version);
    }
    const auto *patch = std::get_if<patch_record>(&record.value());
    const auto *outcome = patch ? m_configuration.find(patch->id) : nullptr;
    if (!outcome || outcome->offset != entry.offset)
        return;
    m_audit->add({CONFIGURATION_STREAM, entry.offset, "patch",
                  patch->department + '/' + patch->author, joinWithSpaces(outcome->touchedPaths),
                  std::string(patchVerdictName(outcome->verdict)),
                  "base " + std::to_string(patch->baseVersion) + ", now "
                          + std::to_string(outcome->version)});
}

bool stream_reader::readOwnership(round_result &round)
{
    auto batch = m_log->read(OWNERSHIP_STREAM, m_ownership.nextOffset(), READ_TIMEOUT);
    round.isReachable = batch.has_value();
    if (!batch)
        return false;
    if (batch.value().firstOffset > m_ownership.nextOffset()) {
        const ordered_lock lock(m_shards.mutex());
        log_line(log_level::Warning, "stream_gap").add("stream", OWNERSHIP_STREAM);
        m_ownership.restart(batch.value().firstOffset);
    }
    for (const auto &entry : batch.value().entries)
        applyOwnership(entry, round);
    const ordered_lock lock(m_shards.mutex());
    return m_ownership.nextOffset() >= batch.value().nextOffset;
}

void stream_reader::applyOwnership(const log_entry &entry, round_result &round)
{
    round.hasChanged = true;
    const auto record = decodeBinary<ownership_record>(entry.payload);
    action_list actions;
    shard_id shard;
    {
        const ordered_lock lock(m_shards.mutex());
        if (!record)
            return m_ownership.skip(entry.offset);
        shard = shardOf(record.value().body);
        const auto verdict = m_ownership.apply(entry.offset, record.value());
        round.hasOwnRecords |= record.value().writer == m_self;
        auditRecord(entry.offset, record.value(), verdict);
        auto *known = m_shards.find(shard);
        const auto *state = m_ownership.find(shard);
        if (!known || !state)
            return;
        known->controller.onRecord(record.value(), *state, boot_clock::now(), actions);
        known->keeper.update(known->controller, wallNow());
    }
    m_runner.run(shard, actions);
}

void stream_reader::auditRecord(log_offset offset, const ownership_record &record,
                                replay_verdict verdict)
{
    const std::string result = verdict == replay_verdict::Applied ? "applied" : "void";
    if (const auto *claim = std::get_if<claim_record>(&record.body)) {
        m_audit->add({OWNERSHIP_STREAM, offset, "claim", record.writer, claim->shard.text(), result,
                      "leader " + claim->leader.instance + ", standby " + claim->standby.instance});
    }
    if (const auto *settled = std::get_if<settled_record>(&record.body)) {
        m_audit->add({OWNERSHIP_STREAM, offset, "settle", record.writer, settled->shard.text(),
                      result, settled->byOperator ? "by operator" : "by leader"});
    }
    const auto *moves = std::get_if<move_record>(&record.body);
    if (!moves)
        return;
    std::map<std::pair<target_id, move_cause>, std::vector<std::string>> byOwner;
    for (const auto &move : moves->moves)
        byOwner[{move.owner, move.cause}].push_back(std::to_string(move.slot));
    for (const auto &[key, slots] : byOwner) {
        const auto &[owner, cause] = key;
        m_audit->add({OWNERSHIP_STREAM, offset, "move", record.writer, moves->shard.text(), result,
                      std::string(moveCauseName(cause)) + " to " + owner + ": slots "
                              + joinWithSpaces(slots)});
        if (verdict == replay_verdict::Applied)
            m_metrics->countMoves(moves->shard.service, moveCauseName(cause), slots.size());
    }
}

void stream_reader::adopt(const state_reply &state)
{
    const ordered_lock lock(m_shards.mutex());
    if (state.configurationOffset > 0)
        m_configuration.adopt({{}, state.configurationOffset - 1, state.version, state.document});
    if (state.ownershipOffset > 0)
        m_ownership.adopt(state.ownershipOffset - 1, state.shards);
    m_ownershipReadOnce = true;
    log_line(log_level::Info, "state_adopted")
            .add("version", state.version)
            .add("ownership_offset", state.ownershipOffset);
}

void stream_reader::seedControllers()
{
    const ordered_lock lock(m_shards.mutex());
    for (auto &[shard, entry] : m_shards.entries()) {
        const auto *state = m_ownership.find(shard);
        if (state && state->term > entry->controller.term()) {
            entry->controller.onState(*state, boot_clock::now());
            entry->keeper.update(entry->controller, wallNow());
        }
    }
}

} // namespace clementinebeam
