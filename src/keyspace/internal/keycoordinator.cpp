#include "clementinebeam/keyspace/keycoordinator.h"

#include "internal/evacuationplanner.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Consecutive failed grants after which the target counts as unreachable.
constexpr std::uint32_t UNREACHABLE_FAILURES = 2;
/// Expected time of a move: the release waits for running requests, then the new assignment is
/// stored and granted.
constexpr milliseconds TYPICAL_MOVE_TIME{150};
/// No grants with a shorter hold are sent, as when the authority is about to expire: they would end
/// long before their renewal.
constexpr milliseconds MIN_HOLD_TIME{300};

} // namespace

key_coordinator::key_coordinator(const coordinator_settings &settings, ownership_record record,
                                 instant claimedAt, instant now, const term_end_times &termEndTimes,
                                 instant eraBegunAt)
    : m_settings(settings)
    , m_record(std::move(record))
    , m_eraBegunAt(eraBegunAt)
    , m_authorityConfirmedAt(claimedAt)
{
    m_predecessorHoldsUntil = holdEnd(now, m_settings.authorityDuration);
    m_earlierErasUntil = holdEnd(eraBegunAt, m_settings.authorityDuration);
    for (const auto &assignment : m_record.ranges) {
        owned_range range;
        range.assignment = assignment;
        range.isStored = true;
        if (!isProved(assignment, m_record.term)) {
            awaitEarlierEras(range);
            m_ranges.push_back(std::move(range));
            continue;
        }
        if (assignment.target.empty()) {
            m_ranges.push_back(std::move(range));
            continue;
        }
        const auto termEnd = termEndTimes.find(assignment.grantTerm);
        const bool isInherited = assignment.grantTerm != m_record.term;
        // The claim leaves grantTerm unchanged for targets that were unlisted or leaving: their
        // ranges are released, and only the holds of earlier coordinators count. If such a target
        // confirms the release before these have ended, fenceBeforeRelease() first grants it the
        // range with a new token.
        range.state = isInherited ? range_state::Releasing : range_state::Assigned;
        range.heldUntil = isInherited && termEnd != termEndTimes.end()
                ? holdEnd(termEnd->second, m_settings.authorityDuration)
                : m_predecessorHoldsUntil;
        range.heldUntilBeforeOrder = range.heldUntil;
        m_ranges.push_back(std::move(range));
    }
    if (m_ranges.empty()) {
        m_ranges.emplace_back();
        m_ranges.back().assignment.grantTerm = m_record.term;
    }
    m_record.ranges.clear();
}

void key_coordinator::claimAgain(std::uint64_t term, instant now)
{
    const auto formerTerm = m_record.term;
    const bool hasRight = !isExpired(now);
    m_record.term = term;
    m_record.nextFence = raisedTo(eraOf(term), m_record.nextFence);
    m_eraBegunAt = now;
    m_earlierErasUntil = holdEnd(now, m_settings.authorityDuration);
    m_isClaimStored = false;
    m_isStoring = true;
    m_storingSince = now;
    m_isDirty = false;
    for (auto &range : m_ranges) {
        // Another coordinator may have moved a range that this one never granted, or not since its
        // authority has expired, without a trace at the target that is known here.
        if (hasRight && range.assignment.grantTerm == formerTerm)
            awaitRenewal(range);
        else
            awaitEarlierEras(range);
    }
    ++m_revision;
}

/// @return whether the range may be taken from its target: no other coordinator can have moved it
/// in
///     an earlier era.
bool key_coordinator::mayBeMoved(const owned_range &range, instant now) const
{
    return isProved(range.assignment, m_record.term) || now >= m_earlierErasUntil;
}

/// Grants a range to no target before the holds of earlier eras have run out; then to the present
/// one, as most ranges have not been moved.
void key_coordinator::awaitEarlierEras(owned_range &range)
{
    // The result of a release is ignored in other states, and would be awaited for good.
    if (range.state == range_state::Releasing)
        range.isOrderPending = false;
    range.state = range_state::Expiring;
    if (!range.assignment.target.empty())
        range.destination = range.assignment.target;
    range.isAccepted = false;
    range.heldUntil = std::max(range.heldUntil, m_earlierErasUntil);
    range.heldUntilBeforeOrder = range.heldUntil;
}

/// Lets the target of a range renew it, which shows that no other coordinator has moved the range.
/// A move that has begun is given up.
void key_coordinator::awaitRenewal(owned_range &range)
{
    if (range.state == range_state::Releasing && range.isOrderPending)
        return; // Continues with the result of the release.
    const bool wasGranted = range.state == range_state::Assigned
            ? range.isStored || range.acceptedFence != 0
            : range.state != range_state::Unowned && range.acceptedFence != 0;
    if (!wasGranted) {
        awaitEarlierEras(range);
        return;
    }
    if (range.state != range_state::Assigned) {
        range.state = range_state::Assigned;
        range.isAccepted = false;
        range.servedUntil = instant{};
    }
    if (!range.isStored)
        range.assignment.fence = range.acceptedFence;
    // Without an accepted grant, it is granted only after the claim.
    range.isStored = range.acceptedFence != 0;
    range.destination.clear();
    range.nextOrderAt = instant{};
}

instant key_coordinator::holdEnd(instant sent, milliseconds hold) const
{
    const auto drift = std::chrono::duration_cast<milliseconds>(hold * m_settings.clockDrift);
    return sent + hold + drift + m_settings.transmissionMargin;
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
    return std::min(m_settings.hold, remainingAuthority(now) - m_settings.longestDelivery);
}

void key_coordinator::onGrantResult(const grant_order &order, order_result result, instant now)
{
    for (auto &range : m_ranges) {
        const auto &current = range.assignment;
        if (current.target != order.target || current.fence != order.fence
            || !order.keys.overlaps(current.keys))
            continue;
        range.isOrderPending = false;
        switch (result) {
        case order_result::Accepted:
            if (!range.isAccepted)
                ++m_revision;
            // The target now rejects renewals by earlier coordinators. The holds that they granted
            // end no later than one of full length from now.
            if (!range.isFenced)
                range.heldUntil = range.unansweredUntil;
            range.isAccepted = true;
            range.isFenced = true;
            if (!isProved(current, m_record.term)) {
                if (order.issued >= m_eraBegunAt) {
                    range.assignment.grantTerm = m_record.term;
                    m_isDirty = true;
                } else {
                    range.nextOrderAt = now;
                }
            }
            range.acceptedFence = order.fence;
            range.failures = 0;
            range.handover.clear();
            range.destination.clear();
            // A longer hold from an earlier grant may stay in force after a shorter renewal.
            range.heldUntil = std::max(range.heldUntil, holdEnd(now, m_settings.hold));
            range.servedUntil = std::max(range.servedUntil, order.issued + order.hold);
            break;
        case order_result::Superseded:
            // If another coordinator has taken over, storing the new token fails, which ends this
            // coordinator.
            if (!m_supersededAt)
                m_supersededAt = now;
            ++m_revision;
            // In an earlier era, another coordinator has granted the range, and may have moved it
            // on since.
            if (!mayBeMoved(range, now)) {
                awaitEarlierEras(range);
                break;
            }
            range.assignment.fence = m_record.nextFence++;
            range.isStored = false;
            range.isAccepted = false;
            range.nextOrderAt = now + m_settings.retryInterval;
            m_isDirty = true;
            break;
        case order_result::Deferred:
            range.heldUntil = range.heldUntilBeforeOrder;
            range.nextOrderAt = now + m_settings.deferredRetryInterval;
            break;
        case order_result::NotSent:
            range.heldUntil = range.heldUntilBeforeOrder;
            range.nextOrderAt = now + m_settings.retryInterval;
            ++range.failures;
            break;
        case order_result::Unanswered:
            ++range.failures;
            range.unansweredUntil = std::max(range.unansweredUntil, holdEnd(now, order.hold));
            range.heldUntil = std::max(range.heldUntil, range.unansweredUntil);
            range.nextOrderAt = now + m_settings.retryInterval;
            break;
        }
    }
}

void key_coordinator::onReleaseResult(const release_order &order, order_result result,
                                      const std::string &handover, instant now)
{
    for (auto &range : m_ranges) {
        const auto &current = range.assignment;
        if (range.state != range_state::Releasing || current.target != order.target
            || fenceToRelease(range) != order.fence || !order.keys.overlaps(current.keys))
            continue;
        range.isOrderPending = false;
        if (!mayBeMoved(range, now)) {
            awaitRenewal(range);
            continue;
        }
        if (result != order_result::Accepted) {
            range.nextOrderAt = now
                    + (result == order_result::NotSent ? m_settings.unreachableInterval
                                                       : m_settings.retryInterval);
            continue;
        }
        if (!range.isFenced && now < range.heldUntil) {
            fenceBeforeRelease(range);
            continue;
        }
        range.handover = handover;
        range.state = range_state::Expiring;
        // The target may have ended only the grant with the same token.
        if (range.acceptedFence == order.fence)
            range.heldUntil = range.unansweredUntil;
    }
}

/// @return the token of the grant that a release is to end.
fence_number key_coordinator::fenceToRelease(const owned_range &range)
{
    return range.acceptedFence != 0 ? range.acceptedFence : range.assignment.fence;
}

/// Grants the range to the target that is to release it. The new token keeps earlier coordinators
/// from renewing the hold after the release.
void key_coordinator::fenceBeforeRelease(owned_range &range)
{
    range.state = range_state::Assigned;
    range.assignment.grantTerm = m_record.term;
    range.assignment.fence = m_record.nextFence++;
    range.isStored = false;
    range.failures = 0;
    range.nextOrderAt = instant{};
    m_isDirty = true;
}

void key_coordinator::onStored(fence_number nextFence)
{
    m_isStoring = false;
    m_isClaimStored = true;
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
    reassignRestarted(now);
    releaseLeaving(now);
    unassignExpired(now);
    if (now >= m_nextPlan) {
        m_nextPlan = now + m_settings.planInterval;
        m_load.decay(now);
        plan(now);
    }
    evacuate(now);
    assignUnowned(now);
    mergeNeighbours();
    issueReleases(now, actions);
    issueGrants(now, actions);
    if (m_isDirty && !m_isStoring && m_isStoreReachable) {
        m_isDirty = false;
        m_isStoring = true;
        m_storingSince = now;
        actions.wantsStore = true;
    }
    return actions;
}

void key_coordinator::reassignRestarted(instant now)
{
    for (auto &range : m_ranges) {
        if (range.state != range_state::Assigned)
            continue;
        const auto *target = holder(range.assignment.target);
        if (!target || target->incarnation == range.assignment.incarnation)
            continue;
        if (!mayBeMoved(range, now)) {
            awaitEarlierEras(range);
            ++m_revision;
            continue;
        }
        // The new process knows no tokens, so it gets a higher one. Holds that were granted to the
        // old process still count.
        const auto heldUntil = range.heldUntil;
        const auto unansweredUntil = range.unansweredUntil;
        assign(range, *target);
        range.heldUntil = heldUntil;
        range.heldUntilBeforeOrder = heldUntil;
        range.unansweredUntil = unansweredUntil;
        ++m_revision;
    }
}

void key_coordinator::releaseLeaving(instant now)
{
    for (auto &range : m_ranges) {
        if (range.state != range_state::Assigned || !mayBeMoved(range, now))
            continue;
        const auto *target = holder(range.assignment.target);
        const bool isMovedInSteps = target && target->evacuateBy && now < *target->evacuateBy;
        if (target && (!target->isLeaving || isMovedInSteps))
            continue;
        // Wait until the target has accepted a grant of this coordinator: otherwise an earlier
        // coordinator might renew its hold after the release.
        if (!range.isFenced && now < m_predecessorHoldsUntil && range.failures == 0)
            continue;
        range.state = range_state::Releasing;
        range.destination.clear();
        range.nextOrderAt = instant{};
        ++m_revision;
    }
}

void key_coordinator::evacuate(instant now)
{
    const bool isNeeded = std::any_of(m_holders.begin(), m_holders.end(), [](const auto &item) {
        return item.second.evacuateBy.has_value();
    });
    if (!isNeeded || now < m_nextEvacuation || !isStoreResponsive(now))
        return;
    m_nextEvacuation = now + EVACUATION_INTERVAL;
    std::vector<key_holder> holders;
    for (const auto &[id, item] : m_holders)
        holders.push_back(item);
    for (const auto &move : planEvacuation(holders, availableHolders(now), settledAssignments(),
                                           movingAssignments(), m_load, now))
        markReleasing(move);
}

void key_coordinator::unassignExpired(instant now)
{
    for (auto &range : m_ranges) {
        const bool isBeingReleased =
                range.state == range_state::Releasing || range.state == range_state::Expiring;
        const bool isUnresponsive =
                range.state == range_state::Assigned && range.failures >= UNREACHABLE_FAILURES;
        if (!(isBeingReleased || isUnresponsive) || now < range.heldUntil || range.isOrderPending
            || !mayBeMoved(range, now))
            continue;
        if (isUnresponsive) {
            m_cooldownUntil[range.assignment.target] = now + m_settings.unreachableCooldown;
            range.destination.clear();
        }
        range.state = range_state::Unowned;
        range.isAccepted = false;
        ++m_revision;
        // The token is kept, so that the next one is higher.
        range.assignment.target.clear();
        range.assignment.incarnation = 0;
        range.assignment.grantTerm = m_record.term;
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
        if (!move.keys.overlaps(range.assignment.keys) || range.state != range_state::Assigned)
            continue;
        range.state = range_state::Releasing;
        range.destination = move.to;
        range.nextOrderAt = instant{};
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
    // Until the last keys have left, targets that already got theirs look too busy.
    const bool isEvacuating =
            std::any_of(m_holders.begin(), m_holders.end(), [&](const auto &item) {
                return item.second.evacuateBy && now < *item.second.evacuateBy;
            });
    if (isEvacuating || !isStoreResponsive(now))
        return;
    const auto settled = settledAssignments();
    auto moves = m_planner.rebalance(availableHolders(now), settled, movingAssignments(), m_load);
    // Tokens are unified only if no range is to move, as a release needs the token that the target
    // holds.
    if (moves.empty() && !isMoving() && isFragmented() && !unifyFences())
        moves = m_planner.consolidate(settled, m_load);
    for (const auto &move : moves)
        markReleasing(move);
}

/// An outage shows in a store call without an answer before reads have failed.
bool key_coordinator::isStoreResponsive(instant now) const
{
    const bool isWaiting = m_isStoring && now > m_storingSince + m_settings.maxStoreTime;
    return m_isStoreReachable && m_isClaimStored && !isWaiting;
}

bool key_coordinator::isMoving() const
{
    return std::any_of(m_ranges.begin(), m_ranges.end(),
                       [](const auto &range) { return !range.destination.empty(); });
}

bool key_coordinator::isFragmented() const
{
    return m_ranges.size()
            > m_settings.rangesPerTarget * std::max<std::size_t>(1, m_holders.size());
}

bool key_coordinator::isUnifiable(const owned_range &range) const
{
    return isSettled(range) && range.isStored && !range.isOrderPending && range.destination.empty();
}

/// Gives neighbouring ranges of one target a common token, so that they can be merged. Their holds
/// stay in force: the target gets the new token with the next renewal.
/// @return whether any token changed.
bool key_coordinator::unifyFences()
{
    bool hasChanged = false;
    for (std::size_t first = 0; first < m_ranges.size();) {
        std::size_t end = first + 1;
        while (end < m_ranges.size() && isUnifiable(m_ranges[first]) && isUnifiable(m_ranges[end])
               && m_ranges[end].assignment.target == m_ranges[first].assignment.target)
            ++end;
        if (end - first > 1) {
            const auto fence = m_record.nextFence++;
            for (auto index = first; index < end; ++index) {
                m_ranges[index].assignment.fence = fence;
                m_ranges[index].isStored = false;
                m_ranges[index].nextOrderAt = instant{};
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
    range.state = range_state::Assigned;
    range.assignment.target = target.id;
    range.assignment.incarnation = target.incarnation;
    range.assignment.fence = m_record.nextFence++;
    range.assignment.grantTerm = m_record.term;
    range.isStored = false;
    range.isAccepted = false;
    range.isFenced = false;
    range.acceptedFence = 0;
    range.isOrderPending = false;
    range.failures = 0;
    range.heldUntil = instant{};
    range.heldUntilBeforeOrder = instant{};
    range.servedUntil = instant{};
    range.unansweredUntil = instant{};
    range.nextOrderAt = instant{};
    m_isDirty = true;
}

bool key_coordinator::isAvailable(const key_holder &target, instant now) const
{
    const auto cooldown = m_cooldownUntil.find(target.id);
    return !target.isLeaving && (cooldown == m_cooldownUntil.end() || now >= cooldown->second);
}

void key_coordinator::assignUnowned(instant now)
{
    if (!m_isStoreReachable || !m_isClaimStored)
        return;
    bool hasUnowned = false;
    for (auto &range : m_ranges) {
        if (range.state != range_state::Unowned)
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
    for (const auto &move : m_planner.assignUnowned(availableHolders(now), assignments(), m_load)) {
        splitAt(move.keys.first);
        if (move.keys.last < LAST_KEY)
            splitAt(move.keys.last + 1);
        for (auto &range : m_ranges) {
            if (range.state == range_state::Unowned && move.keys.overlaps(range.assignment.keys))
                assign(range, *holder(move.to));
        }
    }
}

bool key_coordinator::isMergeable(const owned_range &left, const owned_range &right)
{
    return left.state == range_state::Assigned && right.state == range_state::Assigned
            && left.assignment.target == right.assignment.target
            && left.assignment.fence == right.assignment.fence
            && left.assignment.grantTerm == right.assignment.grantTerm
            && left.isAccepted == right.isAccepted && left.isFenced == right.isFenced
            && left.acceptedFence == right.acceptedFence && left.isStored == right.isStored
            && !left.isOrderPending && !right.isOrderPending && left.handover == right.handover
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
        last.heldUntilBeforeOrder = std::max(last.heldUntilBeforeOrder, range.heldUntilBeforeOrder);
        last.servedUntil = std::min(last.servedUntil, range.servedUntil);
        last.unansweredUntil = std::max(last.unansweredUntil, range.unansweredUntil);
        last.nextOrderAt = std::min(last.nextOrderAt, range.nextOrderAt);
        last.failures = std::max(last.failures, range.failures);
    }
    m_ranges = std::move(merged);
}

void key_coordinator::issueReleases(instant now, coordinator_actions &actions)
{
    for (auto &range : m_ranges) {
        if (range.state != range_state::Releasing || range.isOrderPending
            || now < range.nextOrderAt)
            continue;
        range.isOrderPending = true;
        actions.releases.push_back(
                {range.assignment.target, range.assignment.keys, fenceToRelease(range)});
    }
}

void key_coordinator::issueGrants(instant now, coordinator_actions &actions)
{
    const auto hold = holdTime(now);
    if (hold < MIN_HOLD_TIME)
        return;
    for (auto &range : m_ranges) {
        const bool isDue = range.state == range_state::Assigned && range.isStored
                && !range.isOrderPending && now >= range.nextOrderAt;
        if (!isDue)
            continue;
        range.isOrderPending = true;
        range.nextOrderAt = now + m_settings.renewInterval;
        range.heldUntilBeforeOrder = range.heldUntil;
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

/// @return whether the target has accepted the range with its latest token, and no other
/// coordinator
///     has moved it.
bool key_coordinator::isSettled(const owned_range &range) const
{
    return range.state == range_state::Assigned && range.isAccepted
            && isProved(range.assignment, m_record.term)
            && range.acceptedFence == range.assignment.fence;
}

std::vector<range_assignment> key_coordinator::settledAssignments() const
{
    std::vector<range_assignment> result;
    for (const auto &range : m_ranges) {
        if (isSettled(range))
            result.push_back(range.assignment);
    }
    return result;
}

/// @return the ranges that are not settled, with the targets that are to own them.
std::vector<range_assignment> key_coordinator::movingAssignments() const
{
    std::vector<range_assignment> result;
    for (const auto &range : m_ranges) {
        if (isSettled(range))
            continue;
        result.push_back(range.assignment);
        if (!range.destination.empty())
            result.back().target = range.destination;
    }
    return result;
}

ownership_record key_coordinator::record() const
{
    auto record = m_record;
    record.ranges = assignments();
    return record;
}

/// @return whether the target certainly holds the range. A pending renewal does not count, as it
/// may never reach the target.
bool key_coordinator::isServed(const owned_range &range, instant now)
{
    return range.state == range_state::Assigned && range.isAccepted && now < range.servedUntil;
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
        case range_state::Unowned:
            ++counts.unowned;
            break;
        case range_state::Releasing:
            ++counts.releasing;
            break;
        case range_state::Expiring:
            ++counts.expiring;
            break;
        case range_state::Assigned:
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
        const bool mustWaitForHold = range.failures > 0
                || (range.state == range_state::Releasing && range.nextOrderAt > now)
                || range.state == range_state::Expiring;
        result.push_back({range.assignment.keys,
                          mustWaitForHold ? range.heldUntil : now + TYPICAL_MOVE_TIME});
    }
    return result;
}

} // namespace clementinebeam
