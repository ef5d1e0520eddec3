#include "clementinebeam/gateway/targetdirectory.h"

#include "clementinebeam/observability/logline.h"

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Targets that live list themselves again within about two seconds of an outage's end.
constexpr milliseconds RELIST_TIME{2200};
/// Keys are held for at most ten seconds, so nothing is left to be taken back after this time.
constexpr milliseconds GONE_MEMORY{30000};

/// Part of the drain time in which leaving owners of keys still get requests, until their keys have
/// moved. The rest is for reading of it, which takes up to 0.9 s of 2 s.
constexpr int OWNER_TIME_PERCENT = 30;

} // namespace

instant target_directory::listed_target::ownerUntil() const
{
    return isLeaving() ? leavingSince + ownerTime : instant::max();
}

dispatch_target target_directory::listed_target::forDispatch() const
{
    return {entry.id, entry.dataCentre, entry.slots, isLeaving(), entry.coldFor, ownerUntil()};
}

target_directory::target_directory(milliseconds drain)
    : m_ownerTime(drain * OWNER_TIME_PERCENT / 100)
{ }

bool target_directory::isRecovering(instant now) const
{
    return !m_isStoreReachable || (m_outageEnd != instant{} && now < m_outageEnd + RELIST_TIME);
}

bool target_directory::update(const target_entry &entry, instant now)
{
    m_pendingRemovals.erase(entry.id);
    const auto [place, isNew] = m_targets.try_emplace(entry.id);
    auto &target = place->second;
    target.ownerTime = m_ownerTime;
    auto shown = entry;
    // The remaining cold time changes with each heartbeat; only the first one counts.
    if (!isNew && target.entry.incarnation == entry.incarnation)
        shown.coldFor = target.entry.coldFor;
    if (!isNew && !target.isGone && target.entry == shown)
        return false;
    const bool wasLeaving = !isNew && target.isLeaving();
    target.entry = shown;
    target.isGone = false;
    if (!shown.isDraining)
        target.leavingSince = instant{};
    else if (!wasLeaving)
        target.leavingSince = now;
    ++m_revision;
    log_line(log_level::Info, "target_listed")
            .add("target", entry.id)
            .add("service", entry.service)
            .add("address", entry.address.text())
            .add("state", entry.isDraining ? "draining" : "ready")
            .add("incarnation", entry.incarnation)
            .add("revision", m_revision);
    return true;
}

void target_directory::markGone(listed_target &target, instant now)
{
    target.isGone = true;
    if (target.leavingSince == instant{})
        target.leavingSince = now;
    ++m_revision;
    log_line(log_level::Info, "target_gone")
            .add("target", target.entry.id)
            .add("service", target.entry.service)
            .add("revision", m_revision);
}

bool target_directory::remove(const target_id &id, instant now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || found->second.isGone)
        return false;
    if (isRecovering(now)) {
        m_pendingRemovals.emplace(id, now);
        return false;
    }
    markGone(found->second, now);
    return true;
}

void target_directory::replaceAll(const std::vector<target_entry> &entries, instant now)
{
    std::map<target_id, bool> listed;
    for (const auto &entry : entries) {
        listed[entry.id] = true;
        update(entry, now);
    }
    for (const auto &[id, target] : m_targets) {
        if (!listed.contains(id))
            remove(id, now);
    }
}

void target_directory::setStoreReachable(bool isReachable, instant now)
{
    if (isReachable && !m_isStoreReachable)
        m_outageEnd = now;
    m_isStoreReachable = isReachable;
}

bool target_directory::advance(instant now)
{
    bool hasChanged = false;
    if (!isRecovering(now)) {
        for (const auto &[id, since] : m_pendingRemovals) {
            const auto found = m_targets.find(id);
            if (found == m_targets.end() || found->second.isGone)
                continue;
            markGone(found->second, now);
            hasChanged = true;
        }
        m_pendingRemovals.clear();
    }
    std::erase_if(m_targets, [&](const auto &item) {
        return item.second.isGone && now > item.second.leavingSince + GONE_MEMORY;
    });
    return hasChanged;
}

const target_directory::listed_target *target_directory::find(const target_id &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

} // namespace clementinebeam
