#include "loadmodel.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// One way between instances and targets.
constexpr microseconds NETWORK_DELAY{600};
constexpr milliseconds STORE_DELAY{8};
/// Time in which a faulty target answers with an error.
constexpr milliseconds FAULT_TIME{3};
constexpr milliseconds KEY_ADVANCE_INTERVAL{50};
constexpr milliseconds HOLDER_UPDATE_INTERVAL{250};
constexpr std::uint64_t FIRST_TERM = 1;
constexpr double COLD_SLOWNESS = 2.0;

instant startTime()
{
    return instant{std::chrono::seconds(100)};
}

} // namespace

void load_outcome::add(const load_outcome &other)
{
    requests += other.requests;
    onTime += other.onTime;
    late += other.late;
    unserved += other.unserved;
    rejectedAgain += other.rejectedAgain;
}

load_model::load_model(load_pattern pattern, std::uint64_t seed)
    : m_pattern(std::move(pattern))
    , m_random(seed)
    , m_now(startTime())
    , m_start(m_now)
{
    for (const auto &target : m_pattern.targets)
        m_targets[target.id].speed = target.speed;
    m_dispatcher = std::make_unique<service_dispatcher>(dispatch_settings{}, &m_owners);
    ownership_record record;
    record.term = FIRST_TERM;
    m_coordinator = std::make_unique<key_coordinator>(coordinator_settings{}, record, m_now, m_now);
}

void load_model::at(instant time, action run)
{
    m_events.push({time, m_nextOrder++, std::move(run)});
}

void load_model::run()
{
    updateHolders();
    advanceKeys();
    for (const auto time : m_pattern.takeovers)
        at(m_start + time, [this] { takeOver(); });
    // The first grants are made before the load begins.
    at(m_start + milliseconds(200), [this] { scheduleArrival(); });
    const auto end = m_start + m_pattern.duration + m_pattern.deadline * 2;
    while (!m_events.empty() && m_events.top().time <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.time);
        next.run();
    }
}

void load_model::scheduleArrival()
{
    const double gap = std::exponential_distribution<double>(m_pattern.requestsPerSecond)(m_random);
    const auto next = m_now + microseconds(static_cast<std::int64_t>(gap * 1e6));
    if (next < m_start + m_pattern.duration)
        at(next, [this] { arrive(); });
}

key_number load_model::randomKey()
{
    std::uniform_real_distribution<double> share(0.0, 1.0);
    const auto time = m_now - m_start;
    for (const auto &spell : m_pattern.spells) {
        if (time >= spell.begin && time < spell.end && share(m_random) < spell.share)
            return spell.key
                    + std::uniform_int_distribution<key_number>(0, spell.keys - 1)(m_random);
    }
    const auto keys = share(m_random) < m_pattern.clusteredShare ? m_pattern.cluster : key_range{};
    return std::uniform_int_distribution<key_number>(keys.first, keys.last)(m_random);
}

void load_model::arrive()
{
    scheduleArrival();
    caller_request caller;
    caller.sent = m_now;
    caller.key = randomKey();
    m_callers.push_back(caller);
    send(m_callers.size() - 1);
}

void load_model::send(std::size_t caller)
{
    auto &state = m_callers[caller];
    dispatch_request request;
    request.token = m_nextToken++;
    request.key = state.key;
    request.arrival = m_now;
    request.objective = state.sent + m_pattern.objective;
    request.deadline = state.sent + m_pattern.deadline;
    request.dataCentre = "a";
    m_waiting[request.token] = caller;
    m_coordinator->noteRequest(state.key);
    dispatch_decisions decisions;
    m_dispatcher->enqueue(request, m_now, decisions);
    decide(decisions);
}

void load_model::decide(const dispatch_decisions &decisions)
{
    for (const auto &decision : decisions) {
        const auto waiting = m_waiting.find(decision.token);
        if (waiting == m_waiting.end())
            continue;
        const auto caller = waiting->second;
        m_waiting.erase(waiting);
        auto &state = m_callers[caller];
        if (!decision.target.empty()) {
            m_placed[decision.token] = {caller, decision.target, m_now};
            if (isCold(decision.target))
                m_placedOnCold[decision.target].push_back(m_now);
            at(m_now + NETWORK_DELAY, [this, token = decision.token, id = decision.target] {
                auto &target = m_targets.at(id);
                target.keys[token] = m_callers[m_placed.at(token).caller].key;
                target.queue.push_back({token, m_now});
                startRuns(target, id);
            });
        } else if (m_pattern.callersReturn && !state.hasReturned
                   && m_now + decision.retryAfter < state.sent + m_pattern.deadline) {
            state.hasReturned = true;
            at(m_now + decision.retryAfter, [this, caller] { send(caller); });
        } else {
            state.end = caller_request::state::Unserved;
            state.isRejectedAgain = state.hasReturned;
        }
    }
    advance();
}

void load_model::startRuns(target_state &target, const target_id &id)
{
    while (target.running < m_pattern.slots && !target.queue.empty()) {
        const auto token = target.queue.front().token;
        target.queue.pop_front();
        ++target.running;
        const double spread = m_pattern.workSpread;
        const double factor =
                std::lognormal_distribution<double>(-spread * spread / 2, spread)(m_random);
        const auto time = static_cast<double>(m_pattern.work.count()) * 1000.0 * factor
                * slownessOf(id) / target.speed;
        const auto end = m_now + microseconds(static_cast<std::int64_t>(time));
        if (isFaulty(id)) {
            at(m_now + FAULT_TIME, [this, id, token] { finishRun(id, token, run_result::Failed); });
            continue;
        }
        const auto deadline = m_callers[m_placed.at(token).caller].sent + m_pattern.deadline;
        const auto result = end > deadline ? run_result::TimedOut : run_result::Answered;
        at(std::max(m_now, std::min(end, deadline)),
           [this, id, token, result] { finishRun(id, token, result); });
    }
}

std::size_t load_model::positionOf(const target_id &id) const
{
    return static_cast<std::size_t>(std::distance(m_targets.begin(), m_targets.find(id)));
}

bool load_model::isCold(const target_id &id) const
{
    const auto time = m_now - m_start;
    const auto &spell = m_pattern.coldSpell;
    return time >= spell.begin && time < spell.end && positionOf(id) < spell.targets;
}

bool load_model::isFaulty(const target_id &id) const
{
    const auto position = positionOf(id);
    const auto time = m_now - m_start;
    const auto &spell = m_pattern.faultySpell;
    return time >= spell.begin && time < spell.end && position < spell.targets;
}

/// @return the factor by which a target is slower than usual at present.
double load_model::slownessOf(const target_id &id) const
{
    if (isCold(id))
        return COLD_SLOWNESS;
    const auto position = positionOf(id);
    for (const auto &spell : m_pattern.slowSpells) {
        const auto time = m_now - m_start;
        if (time >= spell.begin && time < spell.end && position < spell.targets)
            return spell.factor;
    }
    return 1.0;
}

void load_model::finishRun(const target_id &id, request_token token, run_result result)
{
    auto &target = m_targets.at(id);
    --target.running;
    target.keys.erase(token);
    const target_load load{target.running + 1, static_cast<std::uint32_t>(target.queue.size()),
                           m_pattern.slots};
    startRuns(target, id);
    at(m_now + NETWORK_DELAY, [this, token, load, result] {
        const auto placed = m_placed.at(token);
        m_placed.erase(token);
        conclude(placed, result);
        dispatch_decisions decisions;
        m_dispatcher->complete({token, result, m_now - placed.sentAt, load}, m_now, decisions);
        decide(decisions);
    });
}

void load_model::conclude(const placed_request &placed, run_result result)
{
    auto &caller = m_callers[placed.caller];
    const auto time = m_now - caller.sent;
    using state = caller_request::state;
    caller.end = result != run_result::Answered ? state::Unserved
            : time <= m_pattern.objective       ? state::OnTime
                                                : state::Late;
}

void load_model::advance()
{
    if (m_isAdvanceScheduled)
        return;
    const auto next = m_dispatcher->nextDeadline(m_now);
    if (next == instant::max())
        return;
    m_isAdvanceScheduled = true;
    at(std::max(next, m_now + milliseconds(1)), [this] {
        m_isAdvanceScheduled = false;
        dispatch_decisions decisions;
        m_dispatcher->advance(m_now, decisions);
        decide(decisions);
    });
}

void load_model::updateHolders()
{
    std::vector<dispatch_target> targets;
    std::vector<key_holder> holders;
    for (const auto &[id, target] : m_targets) {
        targets.push_back({id, "a", m_pattern.slots});
        targets.back().warmUpLimit = m_pattern.warmUpLimit;
        if (isCold(id))
            targets.back().coldUntil = m_start + m_pattern.coldSpell.end;
        holders.push_back({id, 1, 0.0, false});
    }
    m_dispatcher->setTargets(targets, m_now);
    for (auto &holder : holders)
        holder.capacity = m_dispatcher->throughputOf(holder.id, m_now);
    m_coordinator->setHolders(holders);
    at(m_now + HOLDER_UPDATE_INTERVAL, [this] { updateHolders(); });
}

void load_model::release(const release_order &order)
{
    const auto &keys = m_targets.at(order.target).keys;
    const bool isBusy = std::any_of(keys.begin(), keys.end(), [&](const auto &run) {
        return order.keys.contains(run.second);
    });
    at(m_now + milliseconds(isBusy ? 5 : 1), [this, order, isBusy, generation = m_generation] {
        if (generation != m_generation)
            return;
        if (isBusy)
            release(order);
        else
            m_coordinator->onReleaseResult(order, order_result::Accepted, {}, m_now);
    });
}

void load_model::advanceKeys()
{
    m_coordinator->confirmAuthority(m_now);
    const auto actions = m_coordinator->advance(m_now);
    const auto generation = m_generation;
    if (actions.wantsStore) {
        at(m_now + STORE_DELAY, [this, generation, next = m_coordinator->record().nextFence] {
            if (generation == m_generation)
                m_coordinator->onStored(next);
        });
    }
    for (const auto &order : actions.releases) {
        m_released.emplace_back(m_now, order.keys);
        release(order);
    }
    for (const auto &order : actions.grants) {
        at(m_now + NETWORK_DELAY * 2, [this, order, generation] {
            if (generation == m_generation)
                m_coordinator->onGrantResult(order, order_result::Accepted, m_now);
        });
    }
    m_owners.assign(m_coordinator->served(m_now), m_coordinator->unserved(m_now));
    dispatch_decisions decisions;
    m_dispatcher->advance(m_now, decisions);
    decide(decisions);
    at(m_now + KEY_ADVANCE_INTERVAL / 5, [this, generation] {
        if (generation == m_generation)
            advanceKeys();
    });
}

void load_model::takeOver()
{
    ++m_generation;
    auto record = m_coordinator->record();
    ++record.term;
    for (auto &range : record.ranges)
        range.grantTerm = record.term;
    m_coordinator = std::make_unique<key_coordinator>(coordinator_settings{}, record, m_now, m_now);
    updateHolders();
    advanceKeys();
}

load_outcome load_model::count(milliseconds from, milliseconds to,
                               const std::function<bool(const caller_request &)> &isCounted) const
{
    load_outcome result;
    using state = caller_request::state;
    for (const auto &caller : m_callers) {
        const auto time = caller.sent - m_start;
        if (time < from || time >= to || !isCounted(caller))
            continue;
        ++result.requests;
        result.onTime += caller.end == state::OnTime ? 1 : 0;
        result.late += caller.end == state::Late ? 1 : 0;
        result.unserved += caller.end == state::Unserved || caller.end == state::Open ? 1 : 0;
        result.rejectedAgain += caller.isRejectedAgain ? 1 : 0;
    }
    return result;
}

double load_model::movedShare() const
{
    return movedShare(milliseconds(0), milliseconds::max());
}

double load_model::movedShare(milliseconds from, milliseconds to) const
{
    double keys = 0.0;
    for (const auto &[time, released] : m_released) {
        if (time - m_start >= from && time - m_start < to)
            keys += static_cast<double>(released.size());
    }
    return keys / static_cast<double>(KEY_COUNT);
}

std::size_t load_model::mostAtColdTarget() const
{
    std::size_t most = 0;
    for (const auto &[id, times] : m_placedOnCold) {
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto last =
                    std::lower_bound(first, times.end(), *first + std::chrono::seconds(1));
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
    }
    return most;
}

std::size_t load_model::moveCount(key_number key, milliseconds from, milliseconds to) const
{
    return static_cast<std::size_t>(
            std::count_if(m_released.begin(), m_released.end(), [&](const auto &released) {
                const auto time = released.first - m_start;
                return released.second.contains(key) && time >= from && time < to;
            }));
}

load_outcome load_model::outcome(milliseconds from, milliseconds to) const
{
    return count(from, to, [](const caller_request &) { return true; });
}

load_outcome load_model::outcome(milliseconds from, milliseconds to, key_number key) const
{
    return count(from, to, [key](const caller_request &caller) { return caller.key == key; });
}

} // namespace clementinebeam
