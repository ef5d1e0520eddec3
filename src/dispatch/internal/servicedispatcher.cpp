#include "clementinebeam/dispatch/servicedispatcher.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Penalty for a target in another data centre: the time left to the objective, divided by this.
/// Traffic between data centres is expensive, so a remote target is preferred only if its expected
/// time is shorter by more than the penalty.
constexpr int REMOTE_PENALTY_DIVISOR = 3;
/// A running request whose end was not reported is released this long after its deadline.
constexpr milliseconds OVERDUE_MARGIN{200};
/// A running request that takes this multiple of the expected time marks its target as stuck.
constexpr int STUCK_FACTOR = 4;
constexpr milliseconds MIN_STUCK_TIME{250};
/// How long a reported number of requests from other senders is taken into account.
constexpr milliseconds EXTERNAL_LOAD_LIFETIME{400};
/// Service times of a target that has just started are about twice as long.
constexpr int COLD_START_FACTOR = 2;
/// Only its owner can run a request with a key. Rather than reject it, the owner's limit is
/// exceeded within the tolerance of the operators' rule.
constexpr double OWNER_LIMIT_FACTOR = 1.4;
constexpr milliseconds MIN_ADVANCE_INTERVAL{2};
constexpr microseconds MIN_SERVICE_TIME{1000};
constexpr instant NEVER = instant::max();

} // namespace

service_dispatcher::service_dispatcher(const dispatch_settings &settings,
                                       const i_key_directory *keyDirectory)
    : m_settings(settings)
    , m_keyDirectory(keyDirectory)
    , m_retryBudget(settings.retryShare, settings.retryCapacity)
    , m_meanServiceTime(settings.initialServiceTime)
{ }

void service_dispatcher::setTargets(const std::vector<dispatch_target> &targets, instant now)
{
    for (auto &[id, state] : m_targets)
        state.isListed = false;
    for (const auto &target : targets) {
        const auto position = m_targets
                                      .try_emplace(target.id, target,
                                                   target_estimate(m_settings.initialServiceTime))
                                      .first;
        auto &state = position->second;
        state.target = target;
        state.isListed = true;
        updatePacer(state, now);
    }
    std::erase_if(m_targets, [](const auto &entry) {
        return !entry.second.isListed && entry.second.running.empty();
    });
    resolveOwners();
    for (auto &[id, state] : m_targets)
        state.estimate.forget(m_meanServiceTime, now);
    updateMeanServiceTime();
}

void service_dispatcher::updatePacer(target_state &state, instant now) const
{
    if (!state.target.warmUpLimit)
        state.warmUp.reset();
    else if (state.warmUp)
        state.warmUp->setLimit(*state.target.warmUpLimit);
    else
        state.warmUp.emplace(*state.target.warmUpLimit);
    auto limit = state.target.rateLimit;
    if (limit && m_keyDirectory)
        limit = *limit * OWNER_LIMIT_FACTOR + m_settings.ownerLimitExtra;
    if (!limit)
        state.pacer.reset();
    else if (state.pacer)
        state.pacer->setRate(*limit);
    else
        state.pacer.emplace(*limit, now);
}

void service_dispatcher::delayLimitedTargets(double share, instant now)
{
    for (auto &[id, state] : m_targets) {
        if (state.pacer)
            state.pacer->delay(share, now);
    }
}

void service_dispatcher::updateMeanServiceTime()
{
    microseconds sum{0};
    int count = 0;
    for (const auto &[id, state] : m_targets) {
        if (!state.isListed || state.target.isDraining)
            continue;
        sum += state.estimate.serviceTime();
        ++count;
    }
    m_meanServiceTime = count == 0 ? m_settings.initialServiceTime : sum / count;
}

bool service_dispatcher::isStuck(const target_state &state, instant now) const
{
    if (state.running.empty())
        return false;
    const auto limit =
            std::max<microseconds>(MIN_STUCK_TIME, expectedTime(state, now) * STUCK_FACTOR);
    return now - state.running.front().start > limit;
}

/// @return until when the target gets no requests; may be in the past.
instant service_dispatcher::unavailableUntil(const target_state &state)
{
    return std::max(state.estimate.suspendedUntil(), state.target.pausedUntil);
}

std::uint32_t service_dispatcher::occupancy(const target_state &state, instant now) const
{
    return static_cast<std::uint32_t>(state.running.size()) + externalRequestsOf(state, now);
}

std::uint32_t service_dispatcher::externalRequestsOf(const target_state &state, instant now)
{
    return now < state.externalRequestsUntil ? state.externalRequests : 0;
}

std::uint32_t service_dispatcher::capacityOf(const target_state &state) const
{
    if (state.estimate.isOnProbation())
        return 1;
    return state.target.slots + m_settings.lookahead;
}

bool service_dispatcher::isUsable(const target_state &state, instant now) const
{
    return state.isListed && !state.target.isDraining && now >= unavailableUntil(state);
}

bool service_dispatcher::hasCapacity(const target_state &state, instant now) const
{
    return occupancy(state, now) < capacityOf(state) && now >= paceReadyAt(state, now);
}

bool service_dispatcher::isLimitedAsCold(const target_state &state, instant now)
{
    return state.warmUp && now < state.target.coldUntil;
}

/// @return when the limits of the target allow the next request; may be in the past.
instant service_dispatcher::paceReadyAt(const target_state &state, instant now) const
{
    const auto ready = state.pacer ? state.pacer->readyAt() : instant{};
    if (!isLimitedAsCold(state, now))
        return ready;
    const auto coldReady = m_settings.mayUseColdTargets ? state.warmUp->readyAt() : NEVER;
    return std::max(ready, std::min(coldReady, state.target.coldUntil));
}

/// @return whether the warm-up limit of a target with a free slot keeps a request from it.
bool service_dispatcher::isHeldBack(const waiting_request &item, instant now) const
{
    const auto isHolding = [&](const target_state &state) {
        return isUsable(state, now) && isLimitedAsCold(state, now) && now < paceReadyAt(state, now)
                && occupancy(state, now) < state.target.slots;
    };
    if (isKeyed(item.request))
        return item.owner && isHolding(*item.owner);
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [&](const auto &target) { return isHolding(target.second); });
}

std::size_t service_dispatcher::limitedColdTargets(instant now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &item) {
                return item.second.isListed && isLimitedAsCold(item.second, now);
            }));
}

/// @return the requests a second that a target can run.
double service_dispatcher::rateOf(const target_state &state, microseconds serviceTime,
                                  instant now) const
{
    const std::chrono::duration<double> time = std::max(MIN_SERVICE_TIME, serviceTime);
    double rate = state.target.slots / time.count();
    if (isLimitedAsCold(state, now))
        rate = m_settings.mayUseColdTargets ? std::min(rate, state.warmUp->rate()) : 0.0;
    return state.target.rateLimit ? std::min(rate, *state.target.rateLimit) : rate;
}

microseconds service_dispatcher::expectedTime(const target_state &state, instant now) const
{
    const auto time = state.estimate.serviceTime();
    return now < state.target.coldUntil ? time * COLD_START_FACTOR : time;
}

service_dispatcher::target_state *service_dispatcher::ownerOf(const dispatch_request &request)
{
    if (!isKeyed(request))
        return nullptr;
    const auto found = m_targets.find(m_keyDirectory->ownerOf(*request.key));
    return found == m_targets.end() ? nullptr : &found->second;
}

void service_dispatcher::resolveOwners()
{
    if (!m_keyDirectory)
        return;
    for (auto &[token, item] : m_waiting)
        item.owner = ownerOf(item.request);
}

bool service_dispatcher::canServe(const target_state &owner, instant now) const
{
    // A draining owner is allowed: no other target can run the request until the key has moved.
    return owner.isListed && now >= unavailableUntil(owner) && now < owner.target.ownerUntil
            && hasCapacity(owner, now);
}

service_dispatcher::target_state *service_dispatcher::chooseTarget(const waiting_request &item,
                                                                   instant now)
{
    const auto &request = item.request;
    if (isKeyed(request))
        return item.owner && canServe(*item.owner, now) ? item.owner : nullptr;
    const auto remotePenalty = std::max<microseconds>(microseconds(0), request.objective - now)
            / REMOTE_PENALTY_DIVISOR;
    target_state *best = nullptr;
    microseconds bestTime = microseconds::max();
    for (auto &[id, state] : m_targets) {
        if (id == request.excluded || !isUsable(state, now) || !hasCapacity(state, now))
            continue;
        if (isStuck(state, now))
            continue;
        const auto service = expectedTime(state, now);
        const auto busy = occupancy(state, now);
        auto time = service;
        if (busy >= state.target.slots)
            time += service * (busy - state.target.slots + 1)
                    / std::max<std::uint32_t>(1, state.target.slots);
        if (state.target.dataCentre != request.dataCentre)
            time += remotePenalty;
        time = std::chrono::duration_cast<microseconds>(time / state.estimate.successShare(now));
        if (time < bestTime) {
            best = &state;
            bestTime = time;
        }
    }
    return best;
}

microseconds service_dispatcher::typicalServiceTime(const waiting_request &item) const
{
    if (!isKeyed(item.request))
        return m_meanServiceTime;
    return item.owner ? item.owner->estimate.serviceTime() : m_settings.initialServiceTime;
}

double service_dispatcher::throughputOf(const target_id &target, instant now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return 0.0;
    const auto &state = found->second;
    return rateOf(state, state.estimate.serviceTime(), now) * state.estimate.answerShare(now);
}

/// @return the time that a target is expected to work for the request.
microseconds service_dispatcher::expectedWork(const waiting_request &item) const
{
    return std::chrono::duration_cast<microseconds>(typicalServiceTime(item)
                                                    * m_kinds.workFactor(item.kind));
}

waiting_item service_dispatcher::orderItemOf(const waiting_request &item) const
{
    return {item.request.token,
            item.request.priority,
            m_kinds.isRaised(item.kind),
            m_kinds.isCrowded(item.kind),
            item.request.arrival,
            item.request.objective,
            item.request.deadline,
            expectedWork(item),
            std::chrono::duration_cast<microseconds>(m_meanServiceTime
                                                     * m_kinds.workFactor(item.kind))};
}

/// @return the work of the requests that go first, in requests of the mean size.
double service_dispatcher::workAhead(const waiting_request &item) const
{
    const auto own = orderItemOf(item);
    const auto isAhead = [&](const waiting_request &other) {
        if (other.request.token == own.id || (item.owner && other.owner != item.owner))
            return false;
        const bool isRaised = m_kinds.isRaised(other.kind);
        if (isRaised != own.isRaised)
            return isRaised;
        if (other.request.priority != own.priority)
            return other.request.priority < own.priority;
        return !waiting_order::yields(orderItemOf(other), own);
    };
    double work = 0.0;
    for (const auto &[token, other] : m_waiting)
        work += isAhead(other) ? m_kinds.workFactor(other.kind) : 0.0;
    return work;
}

microseconds service_dispatcher::ownerWait(const waiting_request &item, instant now) const
{
    if (!item.owner)
        return std::max(microseconds(0), m_keyDirectory->ownerExpectedAt(*item.request.key) - now);
    const auto &state = *item.owner;
    const auto waiting = workAhead(item);
    microseconds wait = std::max(microseconds(0), state.target.pausedUntil - now);
    boot_clock::duration interval{0};
    if (state.pacer)
        interval = state.pacer->interval();
    if (isLimitedAsCold(state, now))
        interval = std::max(interval, state.warmUp->interval());
    if (interval > boot_clock::duration(0))
        wait = std::max(wait, paceReadyAt(state, now) - now)
                + std::chrono::duration_cast<microseconds>(interval * waiting);
    const double ahead = occupancy(state, now) + waiting;
    const double slots = std::max<std::uint32_t>(1, state.target.slots);
    if (ahead < slots)
        return wait;
    return std::max(wait,
                    std::chrono::duration_cast<microseconds>(expectedTime(state, now)
                                                             * ((ahead - slots + 1) / slots)));
}

microseconds service_dispatcher::expectedWait(const waiting_request &item, instant now) const
{
    if (isKeyed(item.request))
        return ownerWait(item, now);
    double serviceRate = 0.0;
    std::size_t excess = 0;
    for (const auto &[id, state] : m_targets) {
        if (!isUsable(state, now) || isStuck(state, now))
            continue;
        serviceRate += rateOf(state, expectedTime(state, now), now);
        const auto busy = occupancy(state, now);
        excess += busy > state.target.slots ? busy - state.target.slots : 0;
    }
    if (serviceRate == 0.0)
        return std::chrono::duration_cast<microseconds>(item.request.deadline - now);
    const auto ahead = workAhead(item) + static_cast<double>(excess);
    return microseconds(static_cast<std::int64_t>(ahead / serviceRate * 1e6));
}

admission_input service_dispatcher::admissionInputFor(const waiting_request &item,
                                                      instant now) const
{
    return {now,
            item.request.arrival,
            item.request.objective,
            item.request.deadline,
            expectedWait(item, now),
            expectedWork(item)};
}

error_kind service_dispatcher::rejectionReason(const waiting_request &item) const
{
    const bool hasNoOwner = isKeyed(item.request) && !item.owner;
    return hasNoOwner ? error_kind::NoOwner : error_kind::Overloaded;
}

void service_dispatcher::enqueue(const dispatch_request &request, instant now,
                                 dispatch_decisions &decisions)
{
    if (m_waiting.contains(request.token) || m_running.contains(request.token))
        return;
    const waiting_request item{
            request, ownerOf(request),
            m_kinds.indexOf(request.priority, request.arrival, request.objective)};
    if (!request.isRetry) {
        m_retryBudget.deposit();
    } else if (!m_retryBudget.withdraw()) {
        reject(item, refusal_cause::RetryBudget, now, decisions);
        return;
    }
    auto *state = m_waiting.empty() || m_keyDirectory ? chooseTarget(item, now) : nullptr;
    if (state && workAhead(item) == 0.0) {
        dispatch(item, *state, now, decisions);
        return;
    }
    m_heldBackCount += isHeldBack(item, now) ? 1 : 0;
    if (!admission_policy::mayWait(admissionInputFor(item, now))) {
        reject(item, refusal_cause::NoRoom, now, decisions);
        return;
    }
    if (!makeRoomFor(item, now, decisions)) {
        reject(item, refusal_cause::QueueFull, now, decisions);
        return;
    }
    m_waiting.emplace(request.token, item);
    dispatchWaiting(now, decisions);
}

/// Rejects the request of a full queue that is cheapest to refuse.
/// @return whether there is room for @p item; no if it is the cheapest itself.
bool service_dispatcher::makeRoomFor(const waiting_request &item, instant now,
                                     dispatch_decisions &decisions)
{
    if (m_waiting.size() < m_settings.maxWaiting)
        return true;
    auto cheapest = orderItemOf(item);
    for (const auto &[token, other] : m_waiting) {
        const auto candidate = orderItemOf(other);
        if (waiting_order::isCheaperToRefuse(candidate, cheapest, now))
            cheapest = candidate;
    }
    const auto found = m_waiting.find(cheapest.id);
    if (found == m_waiting.end())
        return false;
    const auto refused = found->second;
    m_waiting.erase(found);
    reject(refused, refusal_cause::QueueFull, now, decisions);
    return true;
}

void service_dispatcher::dispatch(const waiting_request &item, target_state &state, instant now,
                                  dispatch_decisions &decisions)
{
    const auto &request = item.request;
    m_kinds.recordOutcome(item.kind, true, now);
    const bool hasFreeSlot = occupancy(state, now) < state.target.slots;
    if (state.pacer)
        state.pacer->consume(now);
    if (state.warmUp)
        state.warmUp->consume(now);
    state.running.push_back({request.token, now, hasFreeSlot ? std::optional(now) : std::nullopt});
    dispatch_decision decision;
    decision.token = request.token;
    decision.target = state.target.id;
    decision.waited = now - request.arrival;
    decision.queueLength = m_waiting.size();
    if (isLimitedAsCold(state, now))
        decision.sendBefore = now + warm_up_pacer::PLACEMENT_LIFETIME;
    m_running.emplace(request.token, running_request{request, decision, item.kind});
    decisions.push_back(std::move(decision));
}

void service_dispatcher::reject(const waiting_request &item, refusal_cause cause, instant now,
                                dispatch_decisions &decisions)
{
    m_kinds.recordOutcome(item.kind, false, now);
    dispatch_decision decision;
    decision.token = item.request.token;
    decision.reason =
            cause == refusal_cause::RetryBudget ? error_kind::Overloaded : rejectionReason(item);
    decision.cause = cause;
    decision.priority = item.request.priority;
    decision.retryAfter =
            admission_policy::retryAfter(admissionInputFor(item, now), decision.token);
    decision.waited = now - item.request.arrival;
    decision.queueLength = m_waiting.size();
    decisions.push_back(std::move(decision));
}

const dispatch_decision *service_dispatcher::placed(request_token token) const
{
    const auto found = m_running.find(token);
    return found == m_running.end() ? nullptr : &found->second.decision;
}

/// @return whether the target had no free slot for the request that ended.
bool service_dispatcher::wasFull(const target_state &state, const run_report &report, instant now)
{
    if (report.load)
        return report.load->running + report.load->waiting >= report.load->slots;
    return state.running.size() - 1 + externalRequestsOf(state, now) >= state.target.slots;
}

/// Notes that the slot of a request that ended is free for the next one that waits at the target.
void service_dispatcher::beginNext(target_state &state, instant now)
{
    const auto next =
            std::find_if(state.running.begin(), state.running.end(),
                         [](const started_request &item) { return !item.begun.has_value(); });
    if (next != state.running.end())
        next->begun = now;
}

void service_dispatcher::release(const run_report &report, instant now)
{
    const auto found = m_running.find(report.token);
    if (found == m_running.end())
        return;
    const auto target = m_targets.find(found->second.decision.target);
    const auto kind = found->second.kind;
    m_running.erase(found);
    if (target == m_targets.end())
        return;
    auto &state = target->second;
    const bool isFull = wasFull(state, report, now);
    const auto ended =
            std::find_if(state.running.begin(), state.running.end(),
                         [&](const started_request &item) { return item.token == report.token; });
    const auto waited = ended->begun ? *ended->begun - ended->start : instant::duration{};
    state.running.erase(ended);
    beginNext(state, now);
    const auto waitedAtTarget = std::chrono::duration_cast<microseconds>(waited);
    state.estimate.recordResult(report, waitedAtTarget, isFull, now);
    if (report.result == run_result::Answered)
        m_kinds.recordWork(kind, std::max(MIN_SERVICE_TIME, report.duration - waitedAtTarget),
                           state.estimate.serviceTime());
    updateMeanServiceTime();
    if (report.load) {
        const auto reported = report.load->running + report.load->waiting;
        // The target may still count the answered request, so one more is subtracted.
        const auto own = static_cast<std::uint32_t>(state.running.size()) + 1;
        state.externalRequests = reported > own ? reported - own : 0;
        state.externalRequestsUntil = now + EXTERNAL_LOAD_LIFETIME;
    }
}

void service_dispatcher::complete(const run_report &report, instant now,
                                  dispatch_decisions &decisions)
{
    m_waiting.erase(report.token);
    release(report, now);
    dispatchWaiting(now, decisions);
}

void service_dispatcher::releaseOverdue(instant now)
{
    std::vector<request_token> overdue;
    for (const auto &[token, running] : m_running) {
        if (now > running.request.deadline + OVERDUE_MARGIN)
            overdue.push_back(token);
    }
    for (const auto token : overdue)
        release({token, run_result::TimedOut, microseconds(0), std::nullopt}, now);
}

void service_dispatcher::rejectTooLate(instant now, dispatch_decisions &decisions)
{
    std::vector<waiting_request> tooLate;
    for (const auto &[token, item] : m_waiting) {
        const bool hasNoOwner = isKeyed(item.request) && !item.owner;
        const auto begin = hasNoOwner
                ? std::max(now, m_keyDirectory->ownerExpectedAt(*item.request.key))
                : now;
        const auto end = begin + expectedWork(item);
        if (end > admission_policy::latestUsefulEnd(item.request.objective, item.request.deadline))
            tooLate.push_back(item);
    }
    for (const auto &item : tooLate) {
        m_waiting.erase(item.request.token);
        reject(item, refusal_cause::TooLate, now, decisions);
    }
}

void service_dispatcher::dispatchWaiting(instant now, dispatch_decisions &decisions)
{
    std::vector<candidate> order;
    order.reserve(m_waiting.size());
    for (const auto &[token, item] : m_waiting) {
        if (isKeyed(item.request) && !(item.owner && canServe(*item.owner, now)))
            continue;
        order.push_back({&item, waiting_order::rankOf(orderItemOf(item), now)});
    }
    std::sort(order.begin(), order.end(),
              [](const candidate &left, const candidate &right) { return left.rank < right.rank; });
    std::vector<request_token> dispatchedTokens;
    for (const auto &[item, rank] : order) {
        auto *state = chooseTarget(*item, now);
        if (!state) {
            if (!m_keyDirectory)
                break;
            continue;
        }
        dispatch(*item, *state, now, decisions);
        dispatchedTokens.push_back(item->request.token);
    }
    for (const auto token : dispatchedTokens)
        m_waiting.erase(token);
}

void service_dispatcher::advance(instant now, dispatch_decisions &decisions)
{
    resolveOwners();
    releaseOverdue(now);
    rejectTooLate(now, decisions);
    dispatchWaiting(now, decisions);
}

instant service_dispatcher::nextDeadline(instant now) const
{
    instant next = NEVER;
    for (const auto &[token, item] : m_waiting) {
        const auto latest =
                admission_policy::latestUsefulEnd(item.request.objective, item.request.deadline);
        next = std::min(next, latest - expectedWork(item));
    }
    for (const auto &[token, running] : m_running)
        next = std::min(next, running.request.deadline + OVERDUE_MARGIN);
    if (m_waiting.empty())
        return next;
    for (const auto &[id, state] : m_targets) {
        if (now < unavailableUntil(state))
            next = std::min(next, unavailableUntil(state));
        if (now < paceReadyAt(state, now))
            next = std::min(next, paceReadyAt(state, now));
    }
    return std::max(next, now + MIN_ADVANCE_INTERVAL);
}

} // namespace clementinebeam
