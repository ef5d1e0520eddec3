#include "internal/coordinatedservice.h"

#include "clementinebeam/kernel/scopeexit.h"
#include "clementinebeam/observability/logline.h"

#include <algorithm>
#include <utility>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Targets answer grants within milliseconds.
constexpr milliseconds GRANT_TIMEOUT{500};
/// Grants to one target are sent one after the other. One that waited longer than this is deferred,
/// so that the key coordinator issues it again.
constexpr milliseconds MAX_GRANT_DELAY{100};
/// A target answers a release once the requests that it runs have ended, which may take several
/// service times.
constexpr milliseconds RELEASE_TIMEOUT{2500};
/// Time between two calls of key_coordinator::advance().
constexpr milliseconds KEY_ADVANCE_INTERVAL{50};
/// Results of orders that arrive within this time are handled together, as each call of
/// key_coordinator::advance() visits every range.
constexpr milliseconds RESULT_BATCH_DELAY{4};
constexpr milliseconds REPORT_INTERVAL{2000};
/// Holds and the times at which keys are expected to be served change even while no owner does.
constexpr milliseconds OWNERS_UPDATE_INTERVAL{200};
/// A service makes at least one step in this time.
constexpr milliseconds TARGET_UPDATE_INTERVAL{250};
/// Delay of the step after one that an exception has ended.
constexpr milliseconds FAILED_STEP_DELAY{50};
/// Steps that fail for this time count as stalled. Failures that lie further apart are unrelated.
constexpr milliseconds FAILING_TIME{1000};
/// Calls of isStalled() without a step in between, from which the service counts as stalled.
constexpr std::uint32_t STALLED_CHECKS = 2;
/// Part of the configured retry slack that one coordinator gets as its retry capacity. A successor
/// starts with as much again.
constexpr double RETRY_SLACK_SHARE = 0.35;
/// Part of the configured retry share that the dispatcher uses.
constexpr double RETRY_SHARE_FACTOR = 0.8;
/// Handovers that are remembered, to recognise repeated answers.
constexpr std::size_t MAX_HANDOVERS = 256;
/// Far more than needed, as answers to orders have almost no body.
constexpr std::size_t MAX_ORDER_ANSWER_BYTES = 4UL << 20U;
constexpr unsigned HTTP_OK = 200;
constexpr unsigned HTTP_CONFLICT = 409;
constexpr unsigned HTTP_MISDIRECTED = 421;

dispatch_settings dispatchSettings(const service_bounds &bounds)
{
    dispatch_settings settings;
    settings.retryShare = bounds.retryShare * RETRY_SHARE_FACTOR;
    settings.retryCapacity = bounds.retrySlack * RETRY_SLACK_SHARE;
    return settings;
}

coordinator_settings keySettings(const service_bounds &bounds)
{
    coordinator_settings settings;
    settings.hold = std::min(settings.hold, bounds.maxHoldTime);
    settings.longestDelivery = MAX_GRANT_DELAY + GRANT_TIMEOUT;
    return settings;
}

order_result resultOf(exchange_failure failure, unsigned status)
{
    if (failure == exchange_failure::NotSent)
        return order_result::NotSent;
    if (failure != exchange_failure::None)
        return order_result::Unanswered;
    if (status == HTTP_OK)
        return order_result::Accepted;
    if (status == HTTP_CONFLICT)
        return order_result::Superseded;
    // The address belongs to another target now, which did not execute the order.
    return status == HTTP_MISDIRECTED ? order_result::NotSent : order_result::Unanswered;
}

const char *nameOf(order_result value)
{
    switch (value) {
    case order_result::Accepted:
        return "accepted";
    case order_result::Deferred:
        return "deferred";
    case order_result::Superseded:
        return "superseded";
    case order_result::NotSent:
        return "not_sent";
    case order_result::Unanswered:
        break;
    }
    return "unanswered";
}

template <class order_type>
void logOrder(log_level level, std::string_view event, const service_name &service,
              const order_type &order, std::string_view outcome)
{
    log_line(level, event)
            .add("service", service)
            .add("target", order.target)
            .add("first", order.keys.first)
            .add("last", order.keys.last)
            .add("fence", order.fence)
            .add("outcome", outcome);
}

} // namespace

coordinated_service::coordinated_service(environment env, ownership_record record, bool isKeyed,
                                         const service_bounds &bounds, instant confirmedAt,
                                         const term_end_times &termEndTimes, instant eraBegunAt)
    : m_environment(std::move(env))
    , m_name(record.service)
    , m_record(std::move(record))
    , m_dispatcher(dispatchSettings(bounds), isKeyed ? &m_owners : nullptr)
    , m_controlPool(m_environment.context, MAX_ORDER_ANSWER_BYTES)
    , m_timer(m_environment.context)
    , m_isAlive(std::make_shared<bool>(true))
{
    // An order that was given up must not arrive later: its hold is awaited from then on.
    m_controlPool.dropUndeliveredAfter(GRANT_TIMEOUT);
    m_controlPool.setBrokenAnswerHandler(
            [&metrics = m_environment.metrics](const std::error_code &reason) {
                metrics.countBrokenAnswer("control", reason);
            });
    if (isKeyed)
        m_keyCoordinator.emplace(keySettings(bounds), m_record, confirmedAt, boot_clock::now(),
                                 termEndTimes, eraBegunAt);
}

coordinated_service::~coordinated_service()
{
    *m_isAlive = false;
}

void coordinated_service::updateTargets()
{
    const auto now = boot_clock::now();
    m_nextTargetUpdate = now + TARGET_UPDATE_INTERVAL;
    std::vector<dispatch_target> targets;
    std::vector<key_holder> holders;
    for (const auto &[id, listed] : m_environment.targets.targets()) {
        const auto &entry = listed.entry;
        if (entry.service != m_name)
            continue;
        holders.push_back({id, entry.incarnation, 0.0, listed.isLeaving()});
        if (listed.isEvacuated && !listed.isShuttingDown())
            holders.back().evacuateBy = listed.evacuatedUntil;
        if (m_keyCoordinator || !listed.isLeaving())
            targets.push_back(listed.toDispatchTarget(now));
    }
    m_dispatcher.setTargets(targets, now);
    reportColdTargets(now);
    for (auto &holder : holders)
        holder.capacity = m_dispatcher.throughputOf(holder.id, now);
    if (m_keyCoordinator)
        m_keyCoordinator->setHolders(holders);
    advanceAll();
}

std::vector<evacuation_remainder> coordinated_service::evacuationRemainders() const
{
    std::map<std::string, evacuation_remainder> remainders;
    for (const auto &[id, listed] : m_environment.targets.targets()) {
        if (listed.entry.service != m_name || !listed.isEvacuated)
            continue;
        const auto &dataCentre = listed.entry.dataCentre;
        auto &remainder = remainders[dataCentre];
        remainder.service = m_name;
        remainder.dataCentre = dataCentre;
        remainder.requests += m_dispatcher.runningAt(id);
    }
    if (m_keyCoordinator && !remainders.empty()) {
        for (const auto &range : m_keyCoordinator->record().ranges) {
            const auto *listed = m_environment.targets.find(range.target);
            if (listed && listed->isEvacuated)
                remainders[listed->entry.dataCentre].keys += range.keys.size();
        }
    }
    std::vector<evacuation_remainder> result;
    result.reserve(remainders.size());
    for (auto &[dataCentre, remainder] : remainders)
        result.push_back(std::move(remainder));
    return result;
}

void coordinated_service::reportColdTargets(instant now)
{
    const auto count = m_dispatcher.limitedColdTargets(now);
    const auto heldBack = m_dispatcher.heldBackCount() - m_reportedHeldBack;
    if (count == 0 && m_reportedColdTargets == 0 && heldBack == 0)
        return;
    m_environment.metrics.setColdTargets(m_name, count, heldBack);
    if (count != m_reportedColdTargets) {
        log_line(log_level::Info, "cold_targets")
                .add("service", m_name)
                .add("count", count)
                .add("held_back", heldBack);
    }
    m_reportedColdTargets = count;
    m_reportedHeldBack += heldBack;
}

void coordinated_service::enqueue(const dispatch_request &request)
{
    if (m_keyCoordinator && request.key && !request.isRetry)
        m_keyCoordinator->noteRequest(*request.key);
    dispatch_decisions decisions;
    m_dispatcher.enqueue(request, boot_clock::now(), decisions);
    deliver(decisions);
    schedule();
}

void coordinated_service::complete(const run_report &report)
{
    dispatch_decisions decisions;
    m_dispatcher.complete(report, boot_clock::now(), decisions);
    deliver(decisions);
    schedule();
}

void coordinated_service::deliver(const dispatch_decisions &decisions)
{
    // Each decision leaves the queue before it is handled, so that one that can't be handled does
    // not keep the others from their requests.
    m_undelivered.insert(m_undelivered.end(), decisions.begin(), decisions.end());
    while (!m_undelivered.empty()) {
        const auto decision = std::move(m_undelivered.front());
        m_undelivered.pop_front();
        m_environment.metrics.observeQueueWait(m_name, decision.waited);
        if (decision.cause != refusal_cause::None)
            m_environment.metrics.countRefusal(m_name, decision.priority, decision.cause);
        m_environment.onDecision(decision);
    }
}

void coordinated_service::confirmAuthority(instant requestedAt)
{
    if (m_keyCoordinator)
        m_keyCoordinator->confirmAuthority(requestedAt);
}

void coordinated_service::setStoreReachable(bool isReachable)
{
    if (m_keyCoordinator)
        m_keyCoordinator->setStoreReachable(isReachable);
}

void coordinated_service::claimAgain(std::uint64_t term, instant now)
{
    log_line(log_level::Warning, "coordination_unproved")
            .add("service", m_name)
            .add("term_before", m_record.term)
            .add("term", term);
    m_record.term = term;
    m_record.nextFence = raisedTo(eraOf(term), m_record.nextFence);
    if (m_keyCoordinator)
        m_keyCoordinator->claimAgain(term, now);
}

void coordinated_service::onStored(fence_number nextFence)
{
    if (!m_keyCoordinator)
        return;
    m_keyCoordinator->onStored(nextFence);
    advanceAll();
}

ownership_record coordinated_service::record() const
{
    return m_keyCoordinator ? m_keyCoordinator->record() : m_record;
}

void coordinated_service::advanceAll()
{
    if (m_isAdvancing)
        return;
    m_isAdvancing = true;
    const auto now = boot_clock::now();
    bool isCompleted = false;
    const scope_exit endStep([this, isAlive = m_isAlive, &isCompleted] {
        if (!*isAlive)
            return;
        m_isAdvancing = false;
        noteStep(isCompleted, boot_clock::now());
        schedule();
    });
    if (m_keyCoordinator)
        advanceKeys(now);
    dispatch_decisions decisions;
    m_dispatcher.advance(now, decisions);
    deliver(decisions);
    isCompleted = true;
}

void coordinated_service::noteStep(bool isCompleted, instant now)
{
    if (isCompleted) {
        ++m_stepCount;
        if (now > m_lastFailure + FAILING_TIME)
            m_failingSince = instant{};
        return;
    }
    if (m_failingSince == instant{})
        m_failingSince = now;
    m_lastFailure = now;
    m_notBefore = now + FAILED_STEP_DELAY;
}

bool coordinated_service::isStalled()
{
    const bool hasStepped = m_stepCount != m_checkedStepCount;
    m_checkedStepCount = m_stepCount;
    m_checksWithoutStep = hasStepped ? 0 : m_checksWithoutStep + 1;
    const bool isFailing =
            m_failingSince != instant{} && boot_clock::now() > m_failingSince + FAILING_TIME;
    return isFailing || m_checksWithoutStep >= STALLED_CHECKS;
}

void coordinated_service::advanceKeysSoon()
{
    m_nextKeyAdvance = std::min(m_nextKeyAdvance, boot_clock::now() + RESULT_BATCH_DELAY);
    schedule();
}

void coordinated_service::advanceKeys(instant now)
{
    m_nextKeyAdvance = now + KEY_ADVANCE_INTERVAL;
    if (m_keyCoordinator->isExpired(now) != m_isAuthorityExpired) {
        m_isAuthorityExpired = !m_isAuthorityExpired;
        log_line(log_level::Warning, m_isAuthorityExpired ? "right_expired" : "right_regained")
                .add("service", m_name)
                .add("term", m_record.term);
    }
    const auto actions = m_keyCoordinator->advance(now);
    if (actions.wantsStore)
        m_environment.onStoreNeeded();
    m_unsentReleases.insert(m_unsentReleases.end(), actions.releases.begin(),
                            actions.releases.end());
    for (const auto &order : actions.grants) {
        auto &queue = m_grantQueues[order.target];
        queue.push_back(order);
        if (queue.size() == 1)
            m_targetsToGrant.push_back(order.target);
    }
    sendOrders();
    updateOwners(now);
    if (now >= m_nextReport)
        reportKeys();
}

void coordinated_service::updateOwners(instant now)
{
    if (m_keyCoordinator->revision() == m_ownersRevision && now < m_nextOwnersUpdate)
        return;
    m_nextOwnersUpdate = now + OWNERS_UPDATE_INTERVAL;
    m_ownersRevision = m_keyCoordinator->revision();
    m_owners.assign(m_keyCoordinator->served(now), m_keyCoordinator->unserved(now));
}

void coordinated_service::reportKeys()
{
    const auto now = boot_clock::now();
    m_nextReport = now + REPORT_INTERVAL;
    std::size_t served = 0;
    for (const auto &range : m_keyCoordinator->served(now))
        served += range.keys.size();
    m_environment.metrics.setKeys(m_name, served, KEY_COUNT - served);
    m_environment.metrics.countKeyMoves(m_name, m_keyCoordinator->moveCount() - m_reportedMoves);
    m_reportedMoves = m_keyCoordinator->moveCount();
    const auto ranges = m_keyCoordinator->summary(now);
    log_line(log_level::Info, "keys_summary")
            .add("service", m_name)
            .add("term", m_record.term)
            .add("unserved_keys", KEY_COUNT - served)
            .add("served", ranges.served)
            .add("awaiting_store", ranges.awaitingStore)
            .add("awaiting_grant", ranges.awaitingGrant)
            .add("releasing", ranges.releasing)
            .add("expiring", ranges.expiring)
            .add("unowned", ranges.unowned)
            .add("right_left_ms", m_keyCoordinator->remainingAuthority(now).count());
}

void coordinated_service::schedule()
{
    const auto now = boot_clock::now();
    auto next = std::min(m_dispatcher.nextDeadline(now), m_nextTargetUpdate);
    if (m_keyCoordinator)
        next = std::min(next, m_nextKeyAdvance);
    next = std::max(next, m_notBefore);
    // A timer that is due sooner is kept, so that frequent requests can't postpone it forever.
    if (next >= m_timerDue)
        return;
    m_timerDue = next;
    m_timer.expires_after(std::max(next - now, boot_clock::duration(0)));
    m_timer.async_wait([this, isAlive = m_isAlive](boost::system::error_code error) {
        if (error || !*isAlive)
            return;
        m_timerDue = instant::max();
        const scope_exit setTimer([this, isAlive] {
            if (*isAlive)
                schedule();
        });
        if (boot_clock::now() >= m_nextTargetUpdate)
            updateTargets();
        else
            advanceAll();
    });
}

/// Sends the orders that were issued. Each one leaves its queue first, and its timeout runs from
/// then on.
void coordinated_service::sendOrders()
{
    while (!m_unsentReleases.empty()) {
        const auto order = std::move(m_unsentReleases.front());
        m_unsentReleases.pop_front();
        sendRelease(order);
    }
    while (!m_targetsToGrant.empty()) {
        const auto target = std::move(m_targetsToGrant.front());
        m_targetsToGrant.pop_front();
        sendNextGrant(target);
    }
}

void coordinated_service::sendNextGrant(const target_id &target)
{
    const auto grant = m_grantQueues[target].front();
    const auto order =
            beginOrder(GRANT_TIMEOUT, [this, target](order_result outcome, const std::string &) {
                onGrantDone(target, outcome);
            });
    const auto *listed = m_environment.targets.find(target);
    if (!listed) {
        finishLater(order, order_result::NotSent);
        return;
    }
    if (boot_clock::now() > grant.issued + MAX_GRANT_DELAY) {
        finishLater(order, order_result::Deferred);
        return;
    }
    const auto entry = listed->entry;
    order->connection = m_controlPool.take(entry);
    if (!order->connection->isReusable()) {
        connect(entry, order);
        return;
    }
    if (!m_keyCoordinator->mayGrantOn(order->connection->openedAt())) {
        m_controlPool.giveBack(entry, order->connection, std::nullopt);
        m_environment.onOwnershipReadNeeded();
        finishLater(order, order_result::Deferred);
        return;
    }
    call(entry, order, m_environment.format.grantCall(grant));
}

void coordinated_service::onGrantDone(const target_id &target, order_result outcome)
{
    const auto now = boot_clock::now();
    auto &queue = m_grantQueues[target];
    const auto order = queue.front();
    queue.pop_front();
    if (outcome != order_result::Accepted && outcome != order_result::Deferred)
        logOrder(log_level::Warning, "grant_failed", m_name, order, nameOf(outcome));
    m_keyCoordinator->onGrantResult(order, outcome, now);
    // Other orders for the same target would end in the same way.
    const bool isUnreachable =
            outcome == order_result::NotSent || outcome == order_result::Unanswered;
    if (isUnreachable || outcome == order_result::Deferred) {
        const auto others = std::move(queue);
        queue.clear();
        for (const auto &other : others)
            m_keyCoordinator->onGrantResult(
                    other, isUnreachable ? order_result::NotSent : order_result::Deferred, now);
    }
    if (!queue.empty())
        sendNextGrant(target);
    // Renewing a grant changes no owner, so nothing has to be updated.
    if (m_keyCoordinator->revision() != m_ownersRevision)
        advanceKeysSoon();
}

/// Starts the timeout of an order, before anything that can fail: an order that has begun ends.
coordinated_service::order_pointer coordinated_service::beginOrder(milliseconds timeout,
                                                                   order_handler done)
{
    auto order = std::make_shared<pending_order>(m_environment.context);
    order->done = std::move(done);
    order->timer.expires_after(timeout);
    order->timer.async_wait([order, isAlive = m_isAlive](boost::system::error_code error) {
        if (error || !order->done)
            return;
        const bool hasSent = order->connection && order->connection->hasSent();
        if (order->connection)
            order->connection->close();
        if (*isAlive)
            finish(order, hasSent ? order_result::Unanswered : order_result::NotSent);
    });
    return order;
}

void coordinated_service::finish(const order_pointer &order, order_result outcome,
                                 const std::string &handover)
{
    if (!order->done)
        return;
    const auto done = std::exchange(order->done, nullptr);
    order->timer.cancel();
    done(outcome, handover);
}

void coordinated_service::finishLater(const order_pointer &order, order_result outcome)
{
    boost::asio::post(m_environment.context, [order, outcome, isAlive = m_isAlive] {
        if (*isAlive)
            finish(order, outcome);
    });
}

void coordinated_service::connect(const target_entry &entry, const order_pointer &order)
{
    order->connection->open([=, this, isAlive = m_isAlive](const boost::system::error_code &error) {
        if (!*isAlive)
            return;
        // A new connection may carry a grant only after mayGrantOn() allows it, so the
        // ownership stream is read and the key coordinator issues the grant again.
        if (!error) {
            m_controlPool.giveBack(entry, order->connection, std::nullopt);
            m_environment.onOwnershipReadNeeded();
        }
        finish(order, error ? order_result::NotSent : order_result::Deferred);
    });
}

void coordinated_service::sendRelease(const release_order &release)
{
    const auto done = [this, release](order_result answered, const std::string &handover) {
        const bool isBelieved = answered != order_result::Accepted || noteHandover(handover);
        const auto outcome = isBelieved ? answered : order_result::Unanswered;
        if (outcome == order_result::Accepted)
            logOrder(log_level::Info, "range_released", m_name, release, nameOf(outcome));
        else
            logOrder(log_level::Warning, "release_failed", m_name, release,
                     isBelieved ? nameOf(outcome) : "earlier_answer");
        m_keyCoordinator->onReleaseResult(release, outcome, handover, boot_clock::now());
        advanceKeysSoon();
    };
    const auto order = beginOrder(RELEASE_TIMEOUT, done);
    const auto *listed = m_environment.targets.find(release.target);
    if (!listed) {
        finishLater(order, order_result::NotSent);
        return;
    }
    order->connection = m_controlPool.take(listed->entry);
    call(listed->entry, order, m_environment.format.releaseCall(release));
}

/// Targets may write an earlier answer once more, and answers to orders name no order. The answer
/// to a release is known by its handover, which is new each time.
/// @return whether it is new.
bool coordinated_service::noteHandover(const std::string &handover)
{
    if (handover.empty()
        || std::find(m_handovers.begin(), m_handovers.end(), handover) != m_handovers.end())
        return false;
    m_handovers.push_back(handover);
    if (m_handovers.size() > MAX_HANDOVERS)
        m_handovers.pop_front();
    return true;
}

void coordinated_service::call(const target_entry &entry, const order_pointer &order,
                               http_call request)
{
    request.set(boost::beast::http::field::host, entry.address.text());
    order->connection->exchange(
            std::move(request), {},
            [=, this, isAlive = m_isAlive](exchange_failure failure, http_answer &&answer) {
                if (!order->done)
                    return;
                if (!*isAlive) {
                    order->connection->close();
                    return;
                }
                const auto context = m_environment.format.readAnswer(answer);
                m_controlPool.giveBack(entry, order->connection, context.idleTimeout);
                finish(order, resultOf(failure, answer.result_int()), context.handover);
            });
}

} // namespace clementinebeam
