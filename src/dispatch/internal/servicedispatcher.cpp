#include "clementinebeam/dispatch/servicedispatcher.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Cost of leaving the data centre of the caller, as time: bytes between data centres are priced.
constexpr milliseconds REMOTE_PENALTY{25};
/// A place whose end was not reported is freed this long after the request's deadline.
constexpr milliseconds OVERDUE_SLACK{200};
/// A running request that takes this multiple of the expected time marks its target as stuck.
constexpr int STUCK_FACTOR = 4;
constexpr milliseconds MIN_STUCK_TIME{250};
/// How long a reported number of other instances' requests is believed.
constexpr milliseconds FOREIGN_LIFE{400};
/// A target that has just started takes about twice as long.
constexpr int COLD_FACTOR = 2;
constexpr milliseconds MIN_ADVANCE_INTERVAL{2};
constexpr instant NEVER = instant::max();

} // namespace

service_dispatcher::service_dispatcher(const dispatch_settings &settings,
                                       const i_key_directory *owners)
    : m_settings(settings)
    , m_owners(owners)
    , m_retries(settings.retryShare, settings.retryCapacity)
    , m_sharedServiceTime(settings.initialServiceTime)
{ }

void service_dispatcher::setTargets(const std::vector<dispatch_target> &targets, instant now)
{
    for (auto &[id, state] : m_targets)
        state.isListed = false;
    for (const auto &target : targets) {
        const auto [place, isNew] = m_targets.try_emplace(
                target.id, target, target_estimate(m_settings.initialServiceTime));
        auto &state = place->second;
        state.target = target;
        state.isListed = true;
        if (isNew)
            state.coldUntil = now + target.coldFor;
    }
    std::erase_if(m_targets, [](const auto &entry) {
        return !entry.second.isListed && entry.second.running.empty();
    });
    updateSharedServiceTime();
}

void service_dispatcher::updateSharedServiceTime()
{
    microseconds sum{0};
    int count = 0;
    for (const auto &[id, state] : m_targets) {
        if (!state.isListed || state.target.isDraining)
            continue;
        sum += state.estimate.serviceTime();
        ++count;
    }
    m_sharedServiceTime = count == 0 ? m_settings.initialServiceTime : sum / count;
}

bool service_dispatcher::isStuck(const target_state &state, instant now) const
{
    if (state.running.empty())
        return false;
    const auto limit =
            std::max<microseconds>(MIN_STUCK_TIME, expectedTime(state, now) * STUCK_FACTOR);
    return now - state.running.front().start > limit;
}

std::uint32_t service_dispatcher::occupied(const target_state &state, instant now) const
{
    const auto own = static_cast<std::uint32_t>(state.running.size());
    return own + (now < state.foreignUntil ? state.foreign : 0);
}

std::uint32_t service_dispatcher::capacityOf(const target_state &state) const
{
    if (state.estimate.isOnProbation())
        return 1;
    return state.target.slots + m_settings.lookahead;
}

bool service_dispatcher::isUsable(const target_state &state, instant now) const
{
    return state.isListed && !state.target.isDraining && !state.estimate.isSuspended(now);
}

bool service_dispatcher::hasRoom(const target_state &state, instant now) const
{
    return occupied(state, now) < capacityOf(state);
}

microseconds service_dispatcher::expectedTime(const target_state &state, instant now) const
{
    const auto time = state.estimate.serviceTime();
    return now < state.coldUntil ? time * COLD_FACTOR : time;
}

service_dispatcher::target_state *service_dispatcher::chooseOwner(const dispatch_request &request,
                                                                  instant now)
{
    const auto found = m_targets.find(m_owners->ownerOf(*request.key));
    if (found == m_targets.end())
        return nullptr;
    auto &state = found->second;
    // The owner may be leaving; nobody else can run the request until the key has moved.
    const bool isUsableOwner =
            state.isListed && !state.estimate.isSuspended(now) && now < state.target.ownerUntil;
    return isUsableOwner && hasRoom(state, now) ? &state : nullptr;
}

service_dispatcher::target_state *service_dispatcher::choose(const dispatch_request &request,
                                                             instant now)
{
    if (m_owners && request.key)
        return chooseOwner(request, now);
    target_state *best = nullptr;
    microseconds bestTime = microseconds::max();
    for (auto &[id, state] : m_targets) {
        if (id == request.excluded || !isUsable(state, now) || !hasRoom(state, now))
            continue;
        if (isStuck(state, now))
            continue;
        const auto service = expectedTime(state, now);
        const auto busy = occupied(state, now);
        auto time = service;
        if (busy >= state.target.slots)
            time += service * (busy - state.target.slots + 1)
                    / std::max<std::uint32_t>(1, state.target.slots);
        if (state.target.dataCentre != request.dataCentre)
            time += REMOTE_PENALTY;
        if (time < bestTime) {
            best = &state;
            bestTime = time;
        }
    }
    return best;
}

microseconds service_dispatcher::typicalServiceTime(const dispatch_request &request) const
{
    if (m_owners && request.key)
        return serviceTimeOf(m_owners->ownerOf(*request.key));
    return m_sharedServiceTime;
}

microseconds service_dispatcher::serviceTimeOf(const target_id &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? m_settings.initialServiceTime
                                    : found->second.estimate.serviceTime();
}

std::size_t service_dispatcher::waitingAhead(const dispatch_request &request,
                                             const target_id &owner) const
{
    std::size_t count = 0;
    for (const auto &[token, other] : m_waiting) {
        if (other.priority > request.priority || token == request.token)
            continue;
        if (!owner.empty() && (!other.key || m_owners->ownerOf(*other.key) != owner))
            continue;
        ++count;
    }
    return count;
}

microseconds service_dispatcher::ownerWait(const dispatch_request &request, instant now) const
{
    const auto owner = m_owners->ownerOf(*request.key);
    const auto found = m_targets.find(owner);
    if (owner.empty())
        return std::max(microseconds(0), m_owners->expectedOwnerAt(*request.key) - now);
    if (found == m_targets.end())
        return microseconds(
                0); // A key without owner is served again within the objective or not at all.
    const auto &state = found->second;
    const auto ahead = occupied(state, now) + waitingAhead(request, owner);
    const auto slots = std::max<std::uint32_t>(1, state.target.slots);
    if (ahead < slots)
        return microseconds(0);
    return expectedTime(state, now) * static_cast<std::int64_t>(ahead - slots + 1) / slots;
}

microseconds service_dispatcher::expectedWait(const dispatch_request &request, instant now) const
{
    if (m_owners && request.key)
        return ownerWait(request, now);
    double perSecond = 0.0;
    std::size_t excess = 0;
    for (const auto &[id, state] : m_targets) {
        if (!isUsable(state, now) || isStuck(state, now))
            continue;
        const auto service = std::max(1.0, static_cast<double>(expectedTime(state, now).count()));
        perSecond += state.target.slots * 1e6 / service;
        const auto busy = occupied(state, now);
        excess += busy > state.target.slots ? busy - state.target.slots : 0;
    }
    if (perSecond == 0.0)
        return std::chrono::duration_cast<microseconds>(request.deadline - now);
    const auto ahead = static_cast<double>(waitingAhead(request, {}) + excess);
    return microseconds(static_cast<std::int64_t>(ahead / perSecond * 1e6));
}

admission_input service_dispatcher::inputFor(const dispatch_request &request, instant now) const
{
    return {now,
            request.arrival,
            request.objective,
            request.deadline,
            expectedWait(request, now),
            typicalServiceTime(request)};
}

void service_dispatcher::enqueue(const dispatch_request &request, instant now,
                                 dispatch_decisions &decisions)
{
    if (m_waiting.contains(request.token) || m_running.contains(request.token))
        return;
    if (!request.isRetry) {
        m_retries.deposit();
    } else if (!m_retries.withdraw()) {
        reject(request, error_kind::Overloaded, now, decisions);
        return;
    }
    auto *state = m_waiting.empty() || m_owners ? choose(request, now) : nullptr;
    if (state && waitingAhead(request, m_owners ? state->target.id : target_id{}) == 0) {
        place(request, *state, now, decisions);
        return;
    }
    if (m_waiting.size() >= m_settings.maxWaiting
        || !admission_policy::mayWait(inputFor(request, now))) {
        reject(request, error_kind::Overloaded, now, decisions);
        return;
    }
    m_waiting.emplace(request.token, request);
    placeWaiting(now, decisions);
}

void service_dispatcher::place(const dispatch_request &request, target_state &state, instant now,
                               dispatch_decisions &decisions)
{
    state.running.push_back({request.token, now});
    dispatch_decision decision;
    decision.token = request.token;
    decision.target = state.target.id;
    decision.waited = now - request.arrival;
    decision.queueLength = m_waiting.size();
    m_running.emplace(request.token, running_request{request, decision});
    decisions.push_back(std::move(decision));
}

void service_dispatcher::reject(const dispatch_request &request, error_kind reason, instant now,
                                dispatch_decisions &decisions)
{
    dispatch_decision decision;
    decision.token = request.token;
    decision.reason = reason;
    decision.retryAfter = admission_policy::retryAfter(inputFor(request, now), request.token);
    decision.waited = now - request.arrival;
    decision.queueLength = m_waiting.size();
    decisions.push_back(std::move(decision));
}

const dispatch_decision *service_dispatcher::placed(request_token token) const
{
    const auto found = m_running.find(token);
    return found == m_running.end() ? nullptr : &found->second.decision;
}

void service_dispatcher::release(const run_report &report, instant now)
{
    const auto found = m_running.find(report.token);
    if (found == m_running.end())
        return;
    const auto target = m_targets.find(found->second.decision.target);
    m_running.erase(found);
    if (target == m_targets.end())
        return;
    auto &state = target->second;
    std::erase_if(state.running,
                  [&](const started_request &item) { return item.token == report.token; });
    state.estimate.note(report, now);
    updateSharedServiceTime();
    if (report.load) {
        const auto reported = report.load->running + report.load->waiting;
        // The answer's own request may still be counted; so one is taken off.
        const auto own = static_cast<std::uint32_t>(state.running.size()) + 1;
        state.foreign = reported > own ? reported - own : 0;
        state.foreignUntil = now + FOREIGN_LIFE;
    }
}

void service_dispatcher::complete(const run_report &report, instant now,
                                  dispatch_decisions &decisions)
{
    m_waiting.erase(report.token);
    release(report, now);
    placeWaiting(now, decisions);
}

void service_dispatcher::freeOverdue(instant now)
{
    std::vector<request_token> overdue;
    for (const auto &[token, running] : m_running) {
        if (now > running.request.deadline + OVERDUE_SLACK)
            overdue.push_back(token);
    }
    for (const auto token : overdue)
        release({token, run_result::TimedOut, microseconds(0), std::nullopt}, now);
}

void service_dispatcher::rejectHopeless(instant now, dispatch_decisions &decisions)
{
    std::vector<dispatch_request> hopeless;
    for (const auto &[token, request] : m_waiting) {
        const bool hasNoOwner = m_owners && request.key && m_owners->ownerOf(*request.key).empty();
        const auto begin =
                hasNoOwner ? std::max(now, m_owners->expectedOwnerAt(*request.key)) : now;
        const auto end = begin + typicalServiceTime(request);
        if (end > admission_policy::latestUsefulEnd(request.objective, request.deadline))
            hopeless.push_back(request);
    }
    for (const auto &request : hopeless) {
        m_waiting.erase(request.token);
        reject(request, error_kind::Overloaded, now, decisions);
    }
}

bool service_dispatcher::goesFirst(const candidate &left, const candidate &right)
{
    if (left.request->priority != right.request->priority)
        return left.request->priority < right.request->priority;
    if (left.isLate != right.isLate)
        return right.isLate;
    if (left.request->arrival != right.request->arrival)
        return left.request->arrival < right.request->arrival;
    return left.request->token < right.request->token;
}

void service_dispatcher::placeWaiting(instant now, dispatch_decisions &decisions)
{
    std::vector<candidate> order;
    order.reserve(m_waiting.size());
    for (const auto &[token, request] : m_waiting)
        order.push_back({&request, now + typicalServiceTime(request) > request.objective});
    std::sort(order.begin(), order.end(), goesFirst);
    std::vector<request_token> placedTokens;
    for (const auto &[request, isLate] : order) {
        auto *state = choose(*request, now);
        if (!state) {
            if (!m_owners)
                break;
            continue;
        }
        place(*request, *state, now, decisions);
        placedTokens.push_back(request->token);
    }
    for (const auto token : placedTokens)
        m_waiting.erase(token);
}

void service_dispatcher::advance(instant now, dispatch_decisions &decisions)
{
    freeOverdue(now);
    rejectHopeless(now, decisions);
    placeWaiting(now, decisions);
}

instant service_dispatcher::nextDeadline(instant now) const
{
    instant next = NEVER;
    for (const auto &[token, request] : m_waiting) {
        const auto latest = admission_policy::latestUsefulEnd(request.objective, request.deadline);
        next = std::min(next, latest - typicalServiceTime(request));
    }
    for (const auto &[token, running] : m_running)
        next = std::min(next, running.request.deadline + OVERDUE_SLACK);
    if (m_waiting.empty())
        return next;
    for (const auto &[id, state] : m_targets) {
        if (state.estimate.isSuspended(now))
            next = std::min(next, state.estimate.suspendedUntil());
    }
    return std::max(next, now + MIN_ADVANCE_INTERVAL);
}

} // namespace clementinebeam
