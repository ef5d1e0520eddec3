#include "clementinebeam/keyspace/keycoordinator.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Failed grants in a row after which the target is taken as unreachable.
constexpr std::uint32_t UNREACHABLE_FAILURES = 2;
/// A release waits for running work, then come an append and a grant.
constexpr milliseconds TYPICAL_MOVE{150};
/// A grant shorter than this would run out before its renewal.
constexpr milliseconds MIN_HOLD{300};

} // namespace

key_coordinator::key_coordinator(const coordinator_settings &settings, ownership_record record,
                                 instant claimedAt, instant now, const succession &succeeded)
    : m_settings(settings)
    , m_record(std::move(record))
    , m_rightSeenAt(claimedAt)
{
    m_earlierHolds = holdEnd(now, m_settings.rightDuration);
    for (const auto &assignment : m_record.ranges) {
        owned_range range;
        range.assignment = assignment;
        range.isStored = true;
        if (assignment.target.empty()) {
            m_ranges.push_back(std::move(range));
            continue;
        }
        const auto ended = succeeded.find(assignment.grantTerm);
        const bool isInherited = assignment.grantTerm != m_record.term;
        // Targets that were gone at the claim get no grant, so only earlier holds count.
        range.state = isInherited ? phase::Releasing : phase::Assigned;
        range.heldUntil = isInherited && ended != succeeded.end()
                ? holdEnd(ended->second, m_settings.rightDuration)
                : m_earlierHolds;
        range.heldBeforeCall = range.heldUntil;
        m_ranges.push_back(std::move(range));
    }
    if (m_ranges.empty())
        m_ranges.emplace_back();
    m_record.ranges.clear();
}

instant key_coordinator::holdEnd(instant sent, milliseconds hold) const
{
    const auto drift = std::chrono::duration_cast<milliseconds>(hold * m_settings.clockDrift);
    return sent + hold + drift + m_settings.clockMargin;
}

const key_holder *key_coordinator::holder(const target_id &id) const
{
    const auto found = m_holders.find(id);
    return found == m_holders.end() ? nullptr : &found->second;
}

void key_coordinator::setHolders(const std::vector<key_holder> &holders)
{
    m_holders.clear();
    for (const auto &item : holders)
        m_holders.emplace(item.id, item);
}

milliseconds key_coordinator::holdTime(instant now) const
{
    return std::min(m_settings.hold, rightLeft(now));
}

void key_coordinator::onGrantResult(const grant_order &order, order_result result, instant now)
{
    for (auto &range : m_ranges) {
        const auto &own = range.assignment;
        if (own.target != order.target || own.fence != order.fence
            || !order.keys.overlaps(own.keys))
            continue;
        range.isCalling = false;
        switch (result) {
        case order_result::Accepted:
            if (!range.isAccepted)
                ++m_revision;
            // No earlier coordinator can extend its hold any more; what it granted ends as ours
            // does.
            if (!range.isFenced)
                range.heldUntil = range.unansweredUntil;
            range.isAccepted = true;
            range.isFenced = true;
            range.heldFence = order.fence;
            range.failures = 0;
            range.handover.clear();
            range.destination.clear();
            // A renewal with a shorter hold may leave a longer one in force.
            range.heldUntil = std::max(range.heldUntil, holdEnd(now, m_settings.hold));
            range.servedUntil = std::max(range.servedUntil, order.issued + order.hold);
            break;
        case order_result::Superseded:
            // If another coordinator is active, storing the new token fails and ends this one.
            range.assignment.fence = m_record.nextFence++;
            range.isStored = false;
            range.isAccepted = false;
            range.nextCall = now + m_settings.retryInterval;
            m_isDirty = true;
            ++m_revision;
            break;
        case order_result::Deferred:
            range.heldUntil = range.heldBeforeCall;
            range.nextCall = now + m_settings.deferral;
            break;
        case order_result::NotSent:
            range.heldUntil = range.heldBeforeCall;
            range.nextCall = now + m_settings.retryInterval;
            ++range.failures;
            break;
        case order_result::Unanswered:
            ++range.failures;
            range.unansweredUntil = std::max(range.unansweredUntil, holdEnd(now, order.hold));
            range.heldUntil = std::max(range.heldUntil, range.unansweredUntil);
            range.nextCall = now + m_settings.retryInterval;
            break;
        }
    }
}

void key_coordinator::onReleaseResult(const release_order &order, order_result result,
                                      const std::string &handover, instant now)
{
    for (auto &range : m_ranges) {
        const auto &own = range.assignment;
        if (range.state != phase::Releasing || own.target != order.target
            || releaseFence(range) != order.fence || !order.keys.overlaps(own.keys))
            continue;
        range.isCalling = false;
        if (result != order_result::Accepted) {
            range.nextCall = now
                    + (result == order_result::NotSent ? m_settings.unreachableInterval
                                                       : m_settings.retryInterval);
            continue;
        }
        if (!range.isFenced && now < range.heldUntil) {
            fenceFirst(range);
            continue;
        }
        range.handover = handover;
        range.state = phase::Expiring;
        // A release may end only the grant with its own token.
        if (range.heldFence == order.fence)
            range.heldUntil = range.unansweredUntil;
    }
}

/// @return the token of the grant that a release is to end.
fence_number key_coordinator::releaseFence(const owned_range &range)
{
    return range.heldFence != 0 ? range.heldFence : range.assignment.fence;
}

/// Grants the range to its leaving target, so that earlier coordinators can't renew after the
/// release.
void key_coordinator::fenceFirst(owned_range &range)
{
    range.state = phase::Assigned;
    range.assignment.grantTerm = m_record.term;
    range.assignment.fence = m_record.nextFence++;
    range.isStored = false;
    range.failures = 0;
    range.nextCall = instant{};
    m_isDirty = true;
}

void key_coordinator::onStored(fence_number nextFence)
{
    m_isStoring = false;
    for (auto &range : m_ranges) {
        if (range.assignment.fence < nextFence)
            range.isStored = true;
    }
}

coordinator_actions key_coordinator::advance(instant now)
{
    coordinator_actions actions;
    if (isExpired(now))
        return actions;
    reassignRestarted();
    releaseLeaving(now);
    expire(now);
    if (now >= m_nextPlan) {
        m_nextPlan = now + m_settings.planInterval;
        m_load.decay(now);
        plan(now);
    }
    placeUnowned(now);
    mergeNeighbours();
    issueReleases(now, actions);
    issueGrants(now, actions);
    if (m_isDirty && !m_isStoring && m_isStoreReachable) {
        m_isDirty = false;
        m_isStoring = true;
        actions.wantsStore = true;
    }
    return actions;
}

void key_coordinator::reassignRestarted()
{
    for (auto &range : m_ranges) {
        if (range.state != phase::Assigned)
            continue;
        const auto *target = holder(range.assignment.target);
        if (!target || target->incarnation == range.assignment.incarnation)
            continue;
        // The new process knows no token. It gets a higher one, and holds of the old one count on.
        const auto heldUntil = range.heldUntil;
        const auto unansweredUntil = range.unansweredUntil;
        assign(range, *target);
        range.heldUntil = heldUntil;
        range.heldBeforeCall = heldUntil;
        range.unansweredUntil = unansweredUntil;
        ++m_revision;
    }
}

void key_coordinator::releaseLeaving(instant now)
{
    for (auto &range : m_ranges) {
        if (range.state != phase::Assigned)
            continue;
        const auto *target = holder(range.assignment.target);
        if (target && !target->isLeaving)
            continue;
        // A grant of ours comes first, else an earlier coordinator might renew after the release.
        if (!range.isFenced && now < m_earlierHolds && range.failures == 0)
            continue;
        range.state = phase::Releasing;
        range.destination.clear();
        range.nextCall = instant{};
        ++m_revision;
    }
}

void key_coordinator::expire(instant now)
{
    for (auto &range : m_ranges) {
        const bool isReturned = range.state == phase::Releasing || range.state == phase::Expiring;
        const bool isSilent =
                range.state == phase::Assigned && range.failures >= UNREACHABLE_FAILURES;
        if (!(isReturned || isSilent) || now < range.heldUntil || range.isCalling)
            continue;
        if (isSilent) {
            m_avoidUntil[range.assignment.target] = now + m_settings.avoidance;
            range.destination.clear();
        }
        range.state = phase::Unowned;
        range.isAccepted = false;
        ++m_revision;
        // The fence stays, so that the next one is higher.
        range.assignment.target.clear();
        range.assignment.incarnation = 0;
    }
}

void key_coordinator::splitAt(key_number first)
{
    for (std::size_t index = 0; index < m_ranges.size(); ++index) {
        auto &range = m_ranges[index];
        if (!range.assignment.keys.contains(first) || range.assignment.keys.first == first)
            continue;
        auto right = range;
        right.assignment.keys.first = first;
        range.assignment.keys.last = first - 1;
        m_ranges.insert(m_ranges.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                        std::move(right));
        return;
    }
}

void key_coordinator::markReleasing(const range_move &move)
{
    splitAt(move.keys.first);
    if (move.keys.last < LAST_KEY)
        splitAt(move.keys.last + 1);
    for (auto &range : m_ranges) {
        if (!move.keys.overlaps(range.assignment.keys) || range.state != phase::Assigned)
            continue;
        range.state = phase::Releasing;
        range.destination = move.to;
        range.nextCall = instant{};
        ++m_revision;
        ++m_moveCount;
    }
}

std::vector<key_holder> key_coordinator::availableHolders(instant now) const
{
    std::vector<key_holder> holders;
    for (const auto &[id, item] : m_holders) {
        if (isAvailable(item, now))
            holders.push_back(item);
    }
    return holders;
}

void key_coordinator::plan(instant now)
{
    const bool isMoving = std::any_of(m_ranges.begin(), m_ranges.end(),
                                      [](const auto &range) { return !range.destination.empty(); });
    // Loads of ranges in transit would be counted wrongly, so one round of moves ends first.
    if (isMoving || !m_isStoreReachable)
        return;
    const auto settled = settledAssignments();
    auto moves = m_planner.rebalance(availableHolders(now), settled, m_load);
    // Tokens are unified only if no range is to move, as a release needs the token that is held.
    if (moves.empty() && isFragmented() && !unifyFences())
        moves = m_planner.consolidate(settled, m_load);
    for (const auto &move : moves)
        markReleasing(move);
}

bool key_coordinator::isFragmented() const
{
    return m_ranges.size()
            > m_settings.rangesPerTarget * std::max<std::size_t>(1, m_holders.size());
}

/// Gives neighbouring ranges of one target a common token, so that they become one range. Their
/// holds go on meanwhile: the target takes the new token with the next renewal.
/// @return whether any token changed.
bool key_coordinator::unifyFences()
{
    bool hasChanged = false;
    const auto isSettled = [](const owned_range &range) {
        return range.state == phase::Assigned && range.isAccepted && range.isStored
                && !range.isCalling && range.destination.empty()
                && range.heldFence == range.assignment.fence;
    };
    for (std::size_t first = 0; first < m_ranges.size();) {
        std::size_t end = first + 1;
        while (end < m_ranges.size() && isSettled(m_ranges[first]) && isSettled(m_ranges[end])
               && m_ranges[end].assignment.target == m_ranges[first].assignment.target)
            ++end;
        if (end - first > 1) {
            const auto fence = m_record.nextFence++;
            for (auto index = first; index < end; ++index) {
                m_ranges[index].assignment.fence = fence;
                m_ranges[index].isStored = false;
                m_ranges[index].nextCall = instant{};
            }
            m_isDirty = true;
            hasChanged = true;
        }
        first = end;
    }
    return hasChanged;
}

void key_coordinator::assign(owned_range &range, const key_holder &target)
{
    range.state = phase::Assigned;
    range.assignment.target = target.id;
    range.assignment.incarnation = target.incarnation;
    range.assignment.fence = m_record.nextFence++;
    range.assignment.grantTerm = m_record.term;
    range.isStored = false;
    range.isAccepted = false;
    range.isFenced = false;
    range.heldFence = 0;
    range.isCalling = false;
    range.failures = 0;
    range.heldUntil = instant{};
    range.heldBeforeCall = instant{};
    range.servedUntil = instant{};
    range.unansweredUntil = instant{};
    range.nextCall = instant{};
    m_isDirty = true;
}

bool key_coordinator::isAvailable(const key_holder &target, instant now) const
{
    const auto avoided = m_avoidUntil.find(target.id);
    return !target.isLeaving && (avoided == m_avoidUntil.end() || now >= avoided->second);
}

void key_coordinator::placeUnowned(instant now)
{
    if (!m_isStoreReachable)
        return;
    bool hasUnowned = false;
    for (auto &range : m_ranges) {
        if (range.state != phase::Unowned)
            continue;
        const auto *target = holder(range.destination);
        if (target && isAvailable(*target, now)) {
            assign(range, *target);
            continue;
        }
        range.destination.clear();
        hasUnowned = true;
    }
    if (!hasUnowned)
        return;
    for (const auto &move : m_planner.placeUnowned(availableHolders(now), assignments(), m_load)) {
        splitAt(move.keys.first);
        if (move.keys.last < LAST_KEY)
            splitAt(move.keys.last + 1);
        for (auto &range : m_ranges) {
            if (range.state == phase::Unowned && move.keys.overlaps(range.assignment.keys))
                assign(range, *holder(move.to));
        }
    }
}

bool key_coordinator::isMergeable(const owned_range &left, const owned_range &right)
{
    return left.state == phase::Assigned && right.state == phase::Assigned
            && left.assignment.target == right.assignment.target
            && left.assignment.fence == right.assignment.fence
            && left.isAccepted == right.isAccepted && left.isFenced == right.isFenced
            && left.heldFence == right.heldFence && left.isStored == right.isStored
            && !left.isCalling && !right.isCalling && left.handover == right.handover
            && left.destination == right.destination;
}

void key_coordinator::mergeNeighbours()
{
    range_list merged;
    merged.reserve(m_ranges.size());
    for (auto &range : m_ranges) {
        if (merged.empty() || !isMergeable(merged.back(), range)) {
            merged.push_back(std::move(range));
            continue;
        }
        auto &last = merged.back();
        last.assignment.keys.last = range.assignment.keys.last;
        last.heldUntil = std::max(last.heldUntil, range.heldUntil);
        last.heldBeforeCall = std::max(last.heldBeforeCall, range.heldBeforeCall);
        last.servedUntil = std::min(last.servedUntil, range.servedUntil);
        last.unansweredUntil = std::max(last.unansweredUntil, range.unansweredUntil);
        last.nextCall = std::min(last.nextCall, range.nextCall);
        last.failures = std::max(last.failures, range.failures);
    }
    m_ranges = std::move(merged);
}

void key_coordinator::issueReleases(instant now, coordinator_actions &actions)
{
    for (auto &range : m_ranges) {
        if (range.state != phase::Releasing || range.isCalling || now < range.nextCall)
            continue;
        range.isCalling = true;
        actions.releases.push_back(
                {range.assignment.target, range.assignment.keys, releaseFence(range)});
    }
}

void key_coordinator::issueGrants(instant now, coordinator_actions &actions)
{
    const auto hold = holdTime(now);
    if (hold < MIN_HOLD)
        return;
    for (auto &range : m_ranges) {
        const bool isDue = range.state == phase::Assigned && range.isStored && !range.isCalling
                && now >= range.nextCall;
        if (!isDue)
            continue;
        range.isCalling = true;
        range.nextCall = now + m_settings.renewInterval;
        range.heldBeforeCall = range.heldUntil;
        range.heldUntil = std::max(range.heldUntil, holdEnd(now, hold));
        actions.grants.push_back({range.assignment.target, range.assignment.keys,
                                  range.assignment.fence, hold, range.handover, now});
    }
}

std::vector<range_assignment> key_coordinator::assignments() const
{
    std::vector<range_assignment> result;
    for (const auto &range : m_ranges)
        result.push_back(range.assignment);
    return result;
}

std::vector<range_assignment> key_coordinator::settledAssignments() const
{
    std::vector<range_assignment> result;
    for (const auto &range : m_ranges) {
        // A range whose new token has not reached its target yet is still changing.
        if (range.state == phase::Assigned && range.isAccepted
            && range.heldFence == range.assignment.fence)
            result.push_back(range.assignment);
    }
    return result;
}

ownership_record key_coordinator::record() const
{
    auto record = m_record;
    record.ranges = assignments();
    return record;
}

/// @return whether the target surely holds the range: a renewal on its way does not count yet, as
/// it may never reach the target.
bool key_coordinator::isServed(const owned_range &range, instant now)
{
    return range.state == phase::Assigned && range.isAccepted && now < range.servedUntil;
}

std::vector<range_assignment> key_coordinator::served(instant now) const
{
    std::vector<range_assignment> result;
    for (const auto &range : m_ranges) {
        if (isServed(range, now))
            result.push_back(range.assignment);
    }
    return result;
}

key_summary key_coordinator::summary(instant now) const
{
    key_summary counts;
    for (const auto &range : m_ranges) {
        switch (range.state) {
        case phase::Unowned:
            ++counts.unowned;
            break;
        case phase::Releasing:
            ++counts.releasing;
            break;
        case phase::Expiring:
            ++counts.expiring;
            break;
        case phase::Assigned:
            if (isServed(range, now))
                ++counts.served;
            else
                ++(range.isStored ? counts.awaitingGrant : counts.awaitingStore);
            break;
        }
    }
    return counts;
}

std::vector<unserved_range> key_coordinator::unserved(instant now) const
{
    std::vector<unserved_range> result;
    for (const auto &range : m_ranges) {
        if (isServed(range, now))
            continue;
        const bool isUnreachable = range.failures > 0
                || (range.state == phase::Releasing && range.nextCall > now)
                || range.state == phase::Expiring;
        result.push_back(
                {range.assignment.keys, isUnreachable ? range.heldUntil : now + TYPICAL_MOVE});
    }
    return result;
}

} // namespace clementinebeam
