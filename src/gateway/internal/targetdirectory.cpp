#include "clementinebeam/gateway/targetdirectory.h"

#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// The store drops an entry after three heartbeats without a write. The last one before an outage
/// may be one heartbeat old when it begins.
constexpr int LAPSE_HEARTBEATS = 2;
/// Time from the first notice of leaving after which a removed target is dropped. Grants of keys
/// last no longer than hold_max, by default ten seconds, so that normally nothing is left to
/// release by then.
constexpr milliseconds GONE_RETENTION{30000};

/// Part of the drain time in which a leaving target still gets requests for keys that it owns,
/// until they are moved. The rest covers the delay until the notice is read: of a drain time of
/// 2 s, up to the 0.9 s of FREQUENT_TARGETS_INTERVAL of store_feeds.
constexpr int OWNER_GRACE_PERCENT = 30;

} // namespace

instant target_directory::listed_target::ownerUntil() const
{
    const auto drained = isShuttingDown() ? leavingSince + ownerGraceTime : instant::max();
    return isEvacuated ? std::min(drained, evacuatedUntil) : drained;
}

std::optional<double> target_directory::listed_target::rateLimit(instant now) const
{
    return now < stated.receivedAt + STATEMENT_LIFETIME ? stated.statement.rateLimit : std::nullopt;
}

target_directory::received_statement
target_directory::listed_target::statementInForce(instant now) const
{
    auto inForce = stated;
    inForce.statement.rateLimit = rateLimit(now);
    if (now < pausedUntil)
        inForce.statement.pause = std::chrono::ceil<milliseconds>(pausedUntil - stated.receivedAt);
    return inForce;
}

dispatch_target target_directory::listed_target::toDispatchTarget(instant now) const
{
    return {entry.id,     entry.dataCentre, entry.slots,    isLeaving(), warmUp.coldUntil(),
            ownerUntil(), pausedUntil,      rateLimit(now), warmUpLimit};
}

bool target_directory::noteStatement(const target_id &id, const received_statement &received)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return false;
    auto &target = found->second;
    const auto pause = received.statement.pause;
    const bool isPaused =
            pause > milliseconds(0) && received.receivedAt + pause > target.pausedUntil;
    if (isPaused)
        target.pausedUntil = received.receivedAt + pause;
    const bool isChanged = updateStatement(target, received);
    if (!isPaused && !isChanged)
        return false;
    const auto &statement = target.stated.statement;
    log_line line(log_level::Info, "target_statement");
    line.add("target", id)
            .add("service", target.entry.service)
            .add("leaving", statement.isLeaving ? 1 : 0)
            .add("pause_ms", pause.count());
    if (statement.rateLimit)
        line.add("rate_limit", *statement.rateLimit);
    else
        line.add("rate_limit", "none");
    return true;
}

/// @return whether the statement has changed, apart from its pause.
bool target_directory::updateStatement(listed_target &target, const received_statement &received)
{
    auto &known = target.stated;
    if (received.receivedAt < known.receivedAt)
        return false;
    auto updated = received;
    updated.statement.pause = milliseconds(0);
    if (received.requestedAt < known.receivedAt) {
        if (updated.statement.empty())
            return false;
        updated.statement.isLeaving |= known.statement.isLeaving;
        if (!updated.statement.rateLimit)
            updated.statement.rateLimit = known.statement.rateLimit;
    }
    const bool isChanged = updated.statement != known.statement;
    known = updated;
    updateLeaving(target, received.receivedAt);
    return isChanged;
}

target_directory::target_directory(milliseconds drain, milliseconds heartbeat)
    : m_ownerGraceTime(drain * OWNER_GRACE_PERCENT / 100)
    , m_lapseTime(heartbeat * LAPSE_HEARTBEATS)
{ }

/// @return whether the entry of a live target may have been removed because it could not be written
/// in an outage of the store.
bool target_directory::mayHaveLapsed(const listed_target &target, instant now) const
{
    if (!m_isStoreReachable)
        return true;
    const bool isRecovering = m_outageEnd != instant{} && now < m_outageEnd + REGISTRATION_TIME;
    return isRecovering && target.writtenAt <= m_outageEnd;
}

/// @return whether an entry that the store lists is older than what is known of its target, as the
///     store has come back from a copy.
bool target_directory::isOutdated(const target_entry &entry, instant now) const
{
    const auto found = m_targets.find(entry.id);
    if (found == m_targets.end() || now >= m_mayListOutdatedUntil)
        return false;
    const auto &known = found->second;
    if (entry.incarnation != known.entry.incarnation)
        return entry.incarnation < known.entry.incarnation;
    return entry.sequence < known.sequence || (known.isGone && entry.sequence == known.sequence);
}

void target_directory::noteStoreRestored(instant now)
{
    m_outageEnd = now;
    m_servedSince = now;
    // Entries that are not written again stay in the copy until they lapse.
    m_mayListOutdatedUntil = now + REGISTRATION_TIME + m_lapseTime;
}

void target_directory::noteWritten(const target_id &id, instant now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end())
        found->second.writtenAt = now;
}

bool target_directory::update(const target_entry &entry, instant now)
{
    m_pendingRemovals.erase(entry.id);
    const auto [position, isNew] = m_targets.try_emplace(entry.id);
    auto &target = position->second;
    target.ownerGraceTime = m_ownerGraceTime;
    auto updated = entry;
    // The remaining warm-up time decreases with each heartbeat, which is no change to report.
    updated.remainingWarmUp = milliseconds(0);
    updated.sequence = 0;
    target.sequence = entry.sequence;
    target.warmUpLimit = warmUpLimitOf(entry.service);
    const bool wasCold = now < target.warmUp.coldUntil();
    if (isNew || target.entry.incarnation != entry.incarnation) {
        // Statements of an earlier run that arrive later are ignored.
        target.stated = {{}, now, now};
        target.pausedUntil = {};
        target.warmUp = {};
    }
    target.warmUp.note(entry.remainingWarmUp, target.writtenAt, now);
    const bool hasTurnedCold = !wasCold && now < target.warmUp.coldUntil();
    if (!isNew && !target.isGone && target.entry == updated && !hasTurnedCold)
        return false;
    target.entry = updated;
    target.isGone = false;
    updateLeaving(target, now);
    updateEvacuated(target);
    ++m_revision;
    log_line(log_level::Info, "target_listed")
            .add("target", entry.id)
            .add("service", entry.service)
            .add("address", entry.address.text())
            .add("state", entry.isDraining ? "draining" : "ready")
            .add("incarnation", entry.incarnation)
            .add("sequence", entry.sequence)
            .add("cold_ms", entry.remainingWarmUp.count())
            .add("revision", m_revision);
    return true;
}

void target_directory::setServices(const std::vector<routed_service> &services,
                                   const service_bounds &bounds)
{
    m_warmUpLimits.clear();
    for (const auto &service : services) {
        if (service.warmUpRate)
            m_warmUpLimits[service.name] = {*service.warmUpRate, bounds.warmUpFactor,
                                            bounds.warmUpSlack};
    }
    for (auto &[id, target] : m_targets)
        target.warmUpLimit = warmUpLimitOf(target.entry.service);
}

std::optional<warm_up_limit> target_directory::warmUpLimitOf(const service_name &service) const
{
    const auto found = m_warmUpLimits.find(service);
    return found == m_warmUpLimits.end() ? std::nullopt : std::optional(found->second);
}

void target_directory::updateLeaving(listed_target &target, instant now)
{
    if (!target.isShuttingDown())
        target.leavingSince = instant{};
    else if (target.leavingSince == instant{})
        target.leavingSince = now;
}

void target_directory::setEvacuated(std::map<std::string, instant> ownerUntil)
{
    m_evacuated = std::move(ownerUntil);
    for (auto &[id, target] : m_targets)
        updateEvacuated(target);
    ++m_revision;
}

void target_directory::updateEvacuated(listed_target &target) const
{
    const auto found = m_evacuated.find(target.entry.dataCentre);
    target.isEvacuated = found != m_evacuated.end();
    target.evacuatedUntil = target.isEvacuated ? found->second : instant{};
}

void target_directory::markGone(listed_target &target, instant now)
{
    target.isGone = true;
    updateLeaving(target, now);
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
    if (mayHaveLapsed(found->second, now)) {
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
        if (!isOutdated(entry, now))
            update(entry, now);
    }
    for (const auto &[id, target] : m_targets) {
        if (!listed.contains(id))
            remove(id, now);
    }
}

void target_directory::setStoreReachable(bool isReachable, instant since)
{
    if (!isReachable && m_isStoreReachable)
        m_outageStart = since;
    const bool isOutageEnd =
            isReachable && !m_isStoreReachable && since >= m_outageStart + m_lapseTime;
    if (isOutageEnd)
        m_outageEnd = since;
    if (isReachable && (isOutageEnd || m_servedSince == instant{}))
        m_servedSince = since;
    if (isReachable)
        m_readAt = since;
    m_isStoreReachable = isReachable;
}

bool target_directory::noteStoreServing(instant since)
{
    if (!m_isStoreReachable || since >= m_outageEnd)
        return false;
    m_outageEnd = since;
    // Targets that registered after the last read are not known yet.
    return advance(m_readAt);
}

milliseconds target_directory::storeServedFor(instant now) const
{
    if (!m_isStoreReachable || m_servedSince == instant{})
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(now - m_servedSince);
}

bool target_directory::advance(instant now)
{
    bool hasChanged = false;
    std::erase_if(m_pendingRemovals, [&](const auto &item) {
        const auto found = m_targets.find(item.first);
        if (found == m_targets.end() || found->second.isGone)
            return true;
        if (mayHaveLapsed(found->second, now))
            return false;
        markGone(found->second, now);
        hasChanged = true;
        return true;
    });
    std::erase_if(m_targets, [&](const auto &item) {
        return item.second.isGone && now > item.second.leavingSince + GONE_RETENTION;
    });
    return hasChanged;
}

const target_directory::listed_target *target_directory::find(const target_id &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

} // namespace clementinebeam
