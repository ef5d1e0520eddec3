#include "clementinebeam/ledger/requestledger.h"

#include <algorithm>
#include <charconv>

namespace clementinebeam {

namespace {

constexpr std::size_t MAX_ID_BYTES = 128;
constexpr std::size_t TIME_DIGITS = 13;

ledger_decision refuse(error_kind reason)
{
    return {admission::Refused, reason, std::nullopt};
}

} // namespace

std::optional<wall_time> creationTimeOf(std::string_view requestId)
{
    if (requestId.size() <= TIME_DIGITS + 1 || requestId.size() > MAX_ID_BYTES
        || requestId[TIME_DIGITS] != '-')
        return std::nullopt;
    std::int64_t milliseconds = 0;
    const auto *end = requestId.data() + TIME_DIGITS;
    const auto parsed = std::from_chars(requestId.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 0)
        return std::nullopt;
    return wall_time(std::chrono::milliseconds(milliseconds));
}

void request_ledger::reset(wall_time horizon)
{
    m_entries.clear();
    m_running.clear();
    m_horizon = horizon;
}

ledger_decision request_ledger::admit(const admit_request &request, const incarnation_id &executor,
                                      instant now, wall_time wall)
{
    const auto created = creationTimeOf(request.requestId);
    if (!created)
        return refuse(error_kind::BadRequest);
    if (const auto existing = m_entries.find(request.requestId); existing != m_entries.end())
        return admitExisting(existing->second, request, executor, now);
    const bool isTooOld = *created + m_settings.requestIdLife <= wall || *created <= m_horizon;
    if (isTooOld)
        return refuse(error_kind::RequestIdExpired);
    if (*created > wall + m_settings.clockSkewLimit)
        return refuse(error_kind::BadRequest);
    if (m_entries.size() >= m_settings.maxEntries)
        return refuse(error_kind::Overloaded);
    ledger_entry entry;
    entry.requestId = request.requestId;
    entry.fingerprint = request.fingerprint;
    entry.slot = request.slot;
    entry.token = request.token;
    entry.executor = executor;
    entry.createdAt = created->time_since_epoch().count();
    entry.remainingMs = request.remainingMs + m_settings.reportGrace.count();
    store(entry, now);
    return {admission::Run, error_kind::None, entry};
}

ledger_decision request_ledger::admitExisting(tracked_entry &existing, const admit_request &request,
                                              const incarnation_id &executor, instant now)
{
    auto &entry = existing.entry;
    if (entry.fingerprint != request.fingerprint)
        return refuse(error_kind::RequestIdConflict);
    // A repeated admit_request: the reply to the first one was lost, so the executor did not send
    // the request yet.
    if (entry.state == ledger_state::Running && entry.token == request.token
        && entry.executor == executor)
        return {admission::Run, error_kind::None, entry};
    if (entry.state == ledger_state::Running)
        return {admission::Running, error_kind::RequestInProgress, entry};
    if (entry.state != ledger_state::NotRun)
        return {admission::Recorded, error_kind::None, entry};
    ++entry.attempt;
    entry.token = request.token;
    entry.executor = executor;
    entry.slot = request.slot;
    entry.remainingMs = request.remainingMs + m_settings.reportGrace.count();
    existing.overdueAt = now + std::chrono::milliseconds(entry.remainingMs);
    setState(existing, ledger_state::Running);
    return {admission::Run, error_kind::None, entry};
}

void request_ledger::setState(tracked_entry &existing, ledger_state state)
{
    auto &entry = existing.entry;
    if (entry.state == ledger_state::Running && state != ledger_state::Running)
        --m_running[entry.slot];
    if (entry.state != ledger_state::Running && state == ledger_state::Running)
        ++m_running[entry.slot];
    entry.state = state;
}

bool request_ledger::isRunning(const std::string &requestId, std::uint64_t token) const
{
    const auto existing = m_entries.find(requestId);
    return existing != m_entries.end() && existing->second.entry.token == token
            && existing->second.entry.state == ledger_state::Running;
}

std::optional<ledger_entry> request_ledger::complete(const outcome_report &report)
{
    const auto existing = m_entries.find(report.requestId);
    if (existing == m_entries.end())
        return std::nullopt;
    auto &entry = existing->second.entry;
    // A report is also accepted after the request was marked as unknown.
    const bool acceptsReport =
            entry.state == ledger_state::Running || entry.state == ledger_state::Unknown;
    if (entry.token != report.token || !acceptsReport || report.state == ledger_state::Running)
        return std::nullopt;
    setState(existing->second, report.state);
    entry.answer = report.answer;
    return entry;
}

void request_ledger::store(const ledger_entry &entry, instant now)
{
    const auto overdueAt = now + std::chrono::milliseconds(entry.remainingMs);
    const auto [existing, isNew] =
            m_entries.try_emplace(entry.requestId, tracked_entry{entry, overdueAt});
    if (isNew) {
        if (entry.state == ledger_state::Running)
            ++m_running[entry.slot];
        return;
    }
    auto &stored = existing->second;
    const bool isOlder = entry.attempt < stored.entry.attempt;
    const bool reopensRequest = entry.attempt == stored.entry.attempt
            && entry.state == ledger_state::Running && stored.entry.state != ledger_state::Running;
    const bool losesOutcome = entry.attempt == stored.entry.attempt
            && entry.state == ledger_state::Unknown && stored.entry.state != ledger_state::Running;
    if (isOlder || reopensRequest || losesOutcome)
        return;
    setState(stored, ledger_state::Unknown);
    stored.entry.slot = entry.slot;
    setState(stored, entry.state);
    stored.entry = entry;
    stored.overdueAt = overdueAt;
}

void request_ledger::expire(instant now, wall_time wall)
{
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        auto &item = position->second;
        if (item.entry.state == ledger_state::Running && now >= item.overdueAt)
            setState(item, ledger_state::Unknown);
        const wall_time created{std::chrono::milliseconds(item.entry.createdAt)};
        const auto expiresAt = created + m_settings.requestIdLife + m_settings.clockSkewLimit;
        if (item.entry.state != ledger_state::Running && expiresAt <= wall)
            position = m_entries.erase(position);
        else
            ++position;
    }
}

std::vector<ledger_entry> request_ledger::entries(instant now) const
{
    std::vector<ledger_entry> all;
    all.reserve(m_entries.size());
    for (const auto &[id, item] : m_entries) {
        auto entry = item.entry;
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(item.overdueAt - now);
        entry.remainingMs = std::max<std::int64_t>(0, remaining.count());
        all.push_back(std::move(entry));
    }
    return all;
}

std::size_t request_ledger::countRunning(slot_index slot) const
{
    const auto found = m_running.find(slot);
    return found == m_running.end() ? 0 : found->second;
}

} // namespace clementinebeam
