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
    if (const auto known = m_entries.find(request.requestId); known != m_entries.end())
        return admitKnown(known->second, request, executor, now);
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

ledger_decision request_ledger::admitKnown(record &known, const admit_request &request,
                                           const incarnation_id &executor, instant now)
{
    auto &entry = known.entry;
    if (entry.fingerprint != request.fingerprint)
        return refuse(error_kind::RequestIdConflict);
    // The reply to the first copy of this admission was lost, so the executor did not send yet.
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
    known.overdueAt = now + std::chrono::milliseconds(entry.remainingMs);
    setState(known, ledger_state::Running);
    return {admission::Run, error_kind::None, entry};
}

void request_ledger::setState(record &known, ledger_state state)
{
    auto &entry = known.entry;
    if (entry.state == ledger_state::Running && state != ledger_state::Running)
        --m_running[entry.slot];
    if (entry.state != ledger_state::Running && state == ledger_state::Running)
        ++m_running[entry.slot];
    entry.state = state;
}

bool request_ledger::isRunning(const std::string &requestId, std::uint64_t token) const
{
    const auto known = m_entries.find(requestId);
    return known != m_entries.end() && known->second.entry.token == token
            && known->second.entry.state == ledger_state::Running;
}

std::optional<ledger_entry> request_ledger::complete(const outcome_report &report)
{
    const auto known = m_entries.find(report.requestId);
    if (known == m_entries.end())
        return std::nullopt;
    auto &entry = known->second.entry;
    // A report that arrives after the request was given up as unknown still settles it.
    const bool isOpen =
            entry.state == ledger_state::Running || entry.state == ledger_state::Unknown;
    if (entry.token != report.token || !isOpen || report.state == ledger_state::Running)
        return std::nullopt;
    setState(known->second, report.state);
    entry.answer = report.answer;
    return entry;
}

void request_ledger::store(const ledger_entry &entry, instant now)
{
    const auto overdueAt = now + std::chrono::milliseconds(entry.remainingMs);
    const auto [known, isNew] = m_entries.try_emplace(entry.requestId, record{entry, overdueAt});
    if (isNew) {
        if (entry.state == ledger_state::Running)
            ++m_running[entry.slot];
        return;
    }
    auto &stored = known->second;
    const bool isOlder = entry.attempt < stored.entry.attempt;
    const bool wouldReopen = entry.attempt == stored.entry.attempt
            && entry.state == ledger_state::Running && stored.entry.state != ledger_state::Running;
    const bool wouldForget = entry.attempt == stored.entry.attempt
            && entry.state == ledger_state::Unknown && stored.entry.state != ledger_state::Running;
    if (isOlder || wouldReopen || wouldForget)
        return;
    setState(stored, ledger_state::Unknown);
    stored.entry.slot = entry.slot;
    setState(stored, entry.state);
    stored.entry = entry;
    stored.overdueAt = overdueAt;
}

void request_ledger::expire(instant now, wall_time wall)
{
    for (auto known = m_entries.begin(); known != m_entries.end();) {
        auto &item = known->second;
        if (item.entry.state == ledger_state::Running && now >= item.overdueAt)
            setState(item, ledger_state::Unknown);
        const wall_time created{std::chrono::milliseconds(item.entry.createdAt)};
        const auto end = created + m_settings.requestIdLife + m_settings.clockSkewLimit;
        if (item.entry.state != ledger_state::Running && end <= wall)
            known = m_entries.erase(known);
        else
            ++known;
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

std::size_t request_ledger::runningIn(slot_index slot) const
{
    const auto found = m_running.find(slot);
    return found == m_running.end() ? 0 : found->second;
}

} // namespace clementinebeam
