#include "clementinebeam/dispatch/crashhistory.h"

#include <algorithm>

namespace clementinebeam {

namespace {

std::uint64_t requestHash(const repeated_request &request)
{
    return hashOf(request.service, request.fingerprint);
}

bool hasCrashOf(const std::vector<target_crash> &crashes, const target_id &target)
{
    return std::any_of(crashes.begin(), crashes.end(),
                       [&](const auto &known) { return known.target == target; });
}

void sortByTime(std::vector<target_crash> &crashes)
{
    std::sort(crashes.begin(), crashes.end(),
              [](const auto &left, const auto &right) { return left.at < right.at; });
}

} // namespace

bool crash_history::wasAnswered(const repeated_request &request) const
{
    const auto hash = requestHash(request);
    return m_answered[hash % ANSWERED_TABLE_SIZE] == hash;
}

bool crash_history::noteAnswer(const repeated_request &request)
{
    const auto hash = requestHash(request);
    m_answered[hash % ANSWERED_TABLE_SIZE] = hash;
    return m_records.erase(request) > 0;
}

crash_history::verdict crash_history::noteCrash(const repeated_request &request,
                                                const target_crash &crash)
{
    if (wasAnswered(request))
        return verdict::Unsuspected;
    if (!m_records.contains(request))
        evictOldestIfFull();
    auto &crashes = m_records[request];
    const bool isKnown = std::any_of(crashes.begin(), crashes.end(), [&](const auto &known) {
        const auto distance = std::max(known.at, crash.at) - std::min(known.at, crash.at);
        return known.target == crash.target && distance < SAME_CRASH_WINDOW;
    });
    if (isKnown)
        return verdict::Known;
    std::erase_if(crashes,
                  [&](const auto &known) { return known.at + QUARANTINE_DURATION <= crash.at; });
    const bool wasQuarantined = crashes.size() >= CRASH_LIMIT;
    crashes.push_back(crash);
    sortByTime(crashes);
    if (wasQuarantined)
        crashes.erase(crashes.begin());
    return !wasQuarantined && crashes.size() >= CRASH_LIMIT ? verdict::Quarantined
                                                            : verdict::Suspected;
}

crash_history::verdict crash_history::restore(const repeated_request &request,
                                              const std::vector<target_crash> &crashes, instant now)
{
    if (wasAnswered(request))
        return verdict::Unsuspected;
    if (crashes.empty() || now >= crashes.back().at + QUARANTINE_DURATION)
        return verdict::Known;
    const auto known = crashesOf(request);
    auto merged = known;
    for (const auto &crash : crashes) {
        if (!hasCrashOf(known, crash.target))
            merged.push_back(crash);
    }
    if (crashes.size() > merged.size())
        merged = crashes;
    if (merged.size() == known.size())
        return verdict::Known;
    const bool wasQuarantined = isQuarantined(request, now);
    sortByTime(merged);
    if (merged.size() > CRASH_LIMIT)
        merged.erase(merged.begin(), merged.end() - CRASH_LIMIT);
    if (known.empty())
        evictOldestIfFull();
    m_records[request] = std::move(merged);
    return !wasQuarantined && isQuarantined(request, now) ? verdict::Quarantined
                                                          : verdict::Suspected;
}

bool crash_history::isQuarantined(const repeated_request &request, instant now) const
{
    const auto found = m_records.find(request);
    if (found == m_records.end() || found->second.size() < CRASH_LIMIT)
        return false;
    return now < found->second.back().at + QUARANTINE_DURATION;
}

std::vector<target_crash> crash_history::crashesOf(const repeated_request &request) const
{
    const auto found = m_records.find(request);
    return found == m_records.end() ? std::vector<target_crash>{} : found->second;
}

std::set<service_name> crash_history::services() const
{
    std::set<service_name> found;
    for (const auto &[request, crashes] : m_records)
        found.insert(request.service);
    return found;
}

suspect_map crash_history::suspectsOf(const service_name &service, instant now,
                                      std::size_t limit) const
{
    std::vector<std::pair<std::uint64_t, std::vector<target_crash>>> found;
    for (auto record = m_records.lower_bound({service, 0});
         record != m_records.end() && record->first.service == service; ++record) {
        if (now < record->second.back().at + QUARANTINE_DURATION)
            found.emplace_back(record->first.fingerprint, record->second);
    }
    std::sort(found.begin(), found.end(), [](const auto &left, const auto &right) {
        const bool isLeftQuarantined = left.second.size() >= CRASH_LIMIT;
        const bool isRightQuarantined = right.second.size() >= CRASH_LIMIT;
        return isLeftQuarantined != isRightQuarantined
                ? isLeftQuarantined
                : left.second.back().at > right.second.back().at;
    });
    if (found.size() > limit)
        found.resize(limit);
    return {found.begin(), found.end()};
}

void crash_history::evictOldestIfFull()
{
    if (m_records.size() < MAX_RECORDS)
        return;
    const auto oldest = std::min_element(m_records.begin(), m_records.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.back().at < right.second.back().at;
                                         });
    m_records.erase(oldest);
}

} // namespace clementinebeam
