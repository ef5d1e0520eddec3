#include "clementinebeam/configuration/configurationreplay.h"

#include "clementinebeam/configuration/settingsreader.h"

#include <algorithm>

namespace clementinebeam {

namespace {

std::string childPath(const std::string &path, const std::string &name)
{
    if (path.empty())
        return name;
    std::string child = path;
    child += '.';
    child += name;
    return child;
}

void collectPaths(const nlohmann::json &patch, const std::string &path,
                  std::vector<std::string> &paths)
{
    if (!patch.is_object() || patch.empty()) {
        paths.push_back(path);
        return;
    }
    for (const auto &[name, value] : patch.items())
        collectPaths(value, childPath(path, name), paths);
}

/// Reports changed slot or shard counts. They determine where the state of a key is stored, so they
/// are fixed once the service exists.
void checkImmutableFields(const routing_configuration &before, const routing_configuration &after,
                          settings_problems &problems)
{
    for (const auto &entry : after.services) {
        const auto &name = entry.first;
        const auto &service = entry.second;
        const auto old = before.services.find(name);
        if (old == before.services.end())
            continue;
        const auto check = [&](const char *field, std::uint32_t oldValue, std::uint32_t newValue) {
            if (oldValue != newValue)
                problems.push_back({"services." + name + '.' + field,
                                    "the unchanged value " + std::to_string(oldValue),
                                    std::to_string(newValue)});
        };
        check("slots", old->second.slots, service.slots);
        check("shards", old->second.shards, service.shards);
    }
}

} // namespace

std::string_view patchVerdictName(patch_verdict verdict) noexcept
{
    switch (verdict) {
    case patch_verdict::Accepted:
        return "accepted";
    case patch_verdict::Conflict:
        return "conflict";
    case patch_verdict::Invalid:
        break;
    }
    return "invalid";
}

std::vector<std::string> touchedPaths(const nlohmann::json &patch)
{
    std::vector<std::string> paths;
    collectPaths(patch, "", paths);
    return paths;
}

std::variant<configuration_snapshot, settings_problems>
applyPatch(const configuration_snapshot &base, const nlohmann::json &patch)
{
    if (!patch.is_object())
        return settings_problems{{"(patch)", "an object", describe(patch)}};
    configuration_snapshot next;
    next.version = base.version + 1;
    next.document = base.document;
    next.document.merge_patch(patch);
    auto parsed = parseRoutingConfiguration(next.document);
    if (auto *problems = std::get_if<settings_problems>(&parsed))
        return std::move(*problems);
    next.routing = std::get<routing_configuration>(std::move(parsed));
    settings_problems problems;
    checkImmutableFields(base.routing, next.routing, problems);
    if (!problems.empty())
        return problems;
    return next;
}

void configuration_replay::restart(log_offset firstOffset)
{
    *this = configuration_replay();
    m_firstOffset = firstOffset;
    m_nextOffset = firstOffset;
    m_known = firstOffset == 0;
}

void configuration_replay::apply(log_offset offset, const configuration_record &record)
{
    m_nextOffset = offset + 1;
    if (const auto *patch = std::get_if<patch_record>(&record)) {
        if (m_known)
            applyPatch(offset, *patch);
        else
            m_deferredPatches.emplace_back(offset, *patch);
        return;
    }
    const auto &checkpoint = std::get<configuration_checkpoint>(record);
    if (!m_known && checkpoint.asOf + 1 >= m_firstOffset)
        load(checkpoint);
    if (m_known)
        m_checkpointOffset = offset;
}

void configuration_replay::load(const configuration_checkpoint &checkpoint)
{
    const auto document = nlohmann::json::parse(checkpoint.document, nullptr, false);
    if (document.is_discarded())
        return;
    auto parsed = parseRoutingConfiguration(document);
    if (!std::holds_alternative<routing_configuration>(parsed))
        return;
    configuration_snapshot snapshot{checkpoint.version, document,
                                    std::get<routing_configuration>(std::move(parsed))};
    m_current = std::make_shared<configuration_snapshot>(std::move(snapshot));
    m_known = true;
    for (const auto &[offset, patch] : std::exchange(m_deferredPatches, {})) {
        if (offset > checkpoint.asOf)
            applyPatch(offset, patch);
    }
}

void configuration_replay::applyPatch(log_offset offset, const patch_record &record)
{
    m_history.push_back(evaluatePatch(offset, record));
    if (m_history.size() > MAX_HISTORY)
        m_history.pop_front();
}

patch_result configuration_replay::evaluatePatch(log_offset offset, const patch_record &record)
{
    patch_result patchResult;
    patchResult.id = record.id;
    patchResult.offset = offset;
    patchResult.baseVersion = record.baseVersion;
    patchResult.version = m_current->version;
    patchResult.department = record.department;
    patchResult.author = record.author;
    patchResult.submittedAt = record.submittedAt;
    const auto patch = nlohmann::json::parse(record.patch, nullptr, false);
    if (patch.is_discarded()) {
        patchResult.problems = {{"(patch)", "JSON", "a syntax error"}};
        return patchResult;
    }
    patchResult.touchedPaths = touchedPaths(patch);
    if (record.baseVersion != m_current->version) {
        patchResult.verdict = patch_verdict::Conflict;
        return patchResult;
    }
    auto next = clementinebeam::applyPatch(*m_current, patch);
    if (auto *problems = std::get_if<settings_problems>(&next)) {
        patchResult.problems = std::move(*problems);
        return patchResult;
    }
    m_current = std::make_shared<configuration_snapshot>(
            std::get<configuration_snapshot>(std::move(next)));
    patchResult.verdict = patch_verdict::Accepted;
    patchResult.version = m_current->version;
    return patchResult;
}

const patch_result *configuration_replay::find(const record_id &id) const
{
    // If the reply to an append is lost, the record is appended again; its first copy counts.
    const auto found = std::find_if(m_history.begin(), m_history.end(),
                                    [&](const patch_result &entry) { return entry.id == id; });
    return found == m_history.end() ? nullptr : &*found;
}

configuration_checkpoint configuration_replay::checkpoint() const
{
    configuration_checkpoint record;
    record.asOf = m_nextOffset == 0 ? 0 : m_nextOffset - 1;
    record.version = m_current->version;
    record.document = m_current->document.dump();
    return record;
}

void configuration_replay::adopt(const configuration_checkpoint &checkpoint)
{
    restart(checkpoint.asOf + 1);
    load(checkpoint);
}

} // namespace clementinebeam
