#include "internal/requestrouter.h"

#include "clementinebeam/ledger/requestledger.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// First and longest delay between attempts to reach the owner while a slot moves.
constexpr std::chrono::milliseconds INITIAL_RETRY_DELAY{3};
constexpr std::chrono::milliseconds MAX_RETRY_DELAY{40};

/// Delay between admission requests while another copy of the request is running.
constexpr std::chrono::milliseconds IN_PROGRESS_RETRY_DELAY{20};

/// Longest deadline of a request to a target that does not check grants; shorter than the lifetime
/// of a permit.
constexpr std::chrono::milliseconds MAX_PERMIT_DEADLINE{900};

routed_answer failure(error_kind reason)
{
    routed_answer answer;
    answer.reason = reason;
    answer.result = answerFor(reason).result;
    return answer;
}

routed_answer failure(error_kind reason, outcome result)
{
    auto answer = failure(reason);
    answer.result = result;
    return answer;
}

/// Whether a request was refused before the owner ran it, for a reason that may be temporary while
/// a slot moves.
bool isTransient(error_kind reason)
{
    switch (reason) {
    case error_kind::NoOwner:
    case error_kind::NotLeader:
    case error_kind::PeerUnreachable:
    case error_kind::LedgerUnavailable:
    case error_kind::WrongEpoch:
    case error_kind::TargetDraining:
    case error_kind::TargetUnreachable:
    case error_kind::TargetRefused:
        return true;
    default:
        return false;
    }
}

/// Exponential backoff up to a deadline.
class backoff
{
public:
    explicit backoff(instant deadline)
        : m_deadline(deadline)
    { }

    /// @return when the next attempt is due, or nothing if the deadline comes first.
    std::optional<instant> next()
    {
        const auto due = boot_clock::now() + m_delay;
        m_delay = std::min(m_delay * 2, MAX_RETRY_DELAY);
        if (due >= m_deadline)
            return std::nullopt;
        return due;
    }

private:
    instant m_deadline;
    std::chrono::milliseconds m_delay = INITIAL_RETRY_DELAY;
};

routed_answer answered(const target_answer &answer)
{
    routed_answer result;
    result.status = answer.status;
    result.contentType = answer.contentType;
    result.body = answer.body;
    return result;
}

routed_answer recorded(const admit_reply &reply)
{
    if (reply.state != ledger_state::Answered)
        return failure(error_kind::ConnectionLost);
    routed_answer result;
    result.isRecorded = true;
    result.status = reply.answer.status;
    result.contentType = reply.answer.contentType;
    result.body = reply.answer.body;
    return result;
}

} // namespace

request_router::request_router(const incarnation_id &self, router_services services)
    : m_self(self)
    , m_services(std::move(services))
    , m_ledger(m_services.peers, m_services.routes)
    , m_random(makeSystemSeededSource())
{ }

std::uint64_t request_router::newToken()
{
    const std::lock_guard lock(m_randomMutex);
    return m_random();
}

routed_answer request_router::route(const caller_request &request)
{
    const auto view = m_services.routes->view();
    if (!view)
        return downgradeUnprovenOutcome(request, failure(error_kind::NotReady));
    // Keeps the settings alive while `routed` refers to them.
    const auto configuration = view->configuration;
    const auto service = configuration->routing.services.find(request.service);
    if (service == configuration->routing.services.end())
        return downgradeUnprovenOutcome(request, failure(error_kind::UnknownService));
    const auto kind = service->second.kinds.find(request.kind);
    if (kind == service->second.kinds.end())
        return downgradeUnprovenOutcome(request, failure(error_kind::UnknownKind));
    routed_request routed{request, service->second, kind->second, {}};
    routed.slot = slotOf(request.key, service->second.slots);
    routed.shard = {request.service, service->second.shardOfSlot(routed.slot)};
    routed.fingerprint = request.fingerprint();
    routed.needsLedger = !kind->second.idempotent;
    if (routed.needsLedger && !creationTimeOf(request.requestId))
        return downgradeUnprovenOutcome(request, failure(error_kind::BadRequest));
    if (m_services.quarantine->isQuarantined(request.service, routed.fingerprint))
        return downgradeUnprovenOutcome(request, failure(error_kind::RequestQuarantined));
    m_retryBudget.deposit();
    if (routed.needsLedger)
        return downgradeUnprovenOutcome(request, routeNonIdempotent(routed));
    return downgradeUnprovenOutcome(request, routeIdempotent(routed));
}

/// Replaces the outcome NotRun by Unknown for a request with an id, unless the caller states that
/// this is its first attempt: a refusal before the ledger was asked proves nothing about earlier
/// copies of the request.
routed_answer request_router::downgradeUnprovenOutcome(const caller_request &request,
                                                       routed_answer answer)
{
    const bool claimsNotRun = answer.result == outcome::NotRun && !request.requestId.empty();
    if (claimsNotRun && !request.isFirstAttempt)
        answer.result = outcome::Unknown;
    return answer;
}

std::optional<request_router::send_permit>
request_router::obtainPermit(const routed_request &request, error_kind &reason)
{
    reason = error_kind::NoOwner;
    if (!request.service.checksGrants) {
        const auto reply = requestAdmission(request, 0);
        if (!reply) {
            reason = kindOf(reply.error());
            return std::nullopt;
        }
        if (reply.value().decision != admission::Run) {
            reason = static_cast<error_kind>(reply.value().reason);
            return std::nullopt;
        }
        return send_permit{reply.value().owner, reply.value().epoch, reply.value().term};
    }
    const auto view = m_services.routes->view();
    const auto route = view->services.find(request.caller.service);
    if (route == view->services.end() || request.slot >= route->second.slots.size())
        return std::nullopt;
    const auto &slot = route->second.slots[request.slot];
    if (slot.owner.empty())
        return std::nullopt;
    return send_permit{slot.owner, slot.epoch, 0};
}

routed_answer request_router::routeIdempotent(const routed_request &request)
{
    backoff delay(request.caller.deadline);
    error_kind reason = error_kind::NoOwner;
    for (;;) {
        const auto serial = m_services.routes->view()->serial;
        if (const auto permit = obtainPermit(request, reason)) {
            const auto answer = sendOnce(request, *permit);
            if (answer.reason == error_kind::None) {
                auto result = answered(answer);
                result.owner = permit->owner;
                result.epoch = permit->epoch;
                return result;
            }
            reason = answer.reason;
            const bool isLost =
                    reason == error_kind::ConnectionLost || reason == error_kind::AnswerIncomplete;
            if (isLost && !m_retryBudget.withdraw())
                return failure(reason);
            if (!isLost && !isTransient(reason))
                return failure(reason, answer.isNotRun ? outcome::NotRun : outcome::Unknown);
        }
        if (m_services.quarantine->isQuarantined(request.caller.service, request.fingerprint))
            return failure(error_kind::RequestQuarantined);
        const auto next = delay.next();
        if (!next)
            return failure(reason);
        m_services.metrics->countRetry(request.caller.service, answerFor(reason).reason);
        m_services.routes->waitForNewer(serial, *next);
    }
}

result<admit_reply> request_router::requestAdmission(const routed_request &request,
                                                     std::uint64_t token)
{
    const auto view = m_services.routes->view();
    const auto route = view->services.find(request.caller.service);
    if (route == view->services.end() || request.shard.index >= route->second.shards.size())
        return make_error_code(error_kind::NoOwner);
    const auto &leader = route->second.shards[request.shard.index].leader;
    if (leader.empty())
        return make_error_code(error_kind::NoOwner);
    admit_request message;
    message.shard = request.shard;
    message.requestId = request.needsLedger ? request.caller.requestId : std::string();
    message.fingerprint = request.fingerprint;
    message.token = token;
    message.slot = request.slot;
    message.remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  request.caller.deadline - boot_clock::now())
                                  .count();
    return m_ledger.admit(leader, message, request.caller.deadline);
}

routed_answer request_router::routeNonIdempotent(const routed_request &request)
{
    backoff delay(request.caller.deadline);
    auto token = newToken();
    error_kind reason = error_kind::NoOwner;
    for (;;) {
        const auto serial = m_services.routes->view()->serial;
        const auto reply = requestAdmission(request, token);
        reason = reply ? static_cast<error_kind>(reply.value().reason) : kindOf(reply.error());
        if (reply && reply.value().decision == admission::Recorded)
            return recorded(reply.value());
        if (reply && reply.value().decision == admission::Refused && !isTransient(reason))
            return failure(reason);
        if (reply && reply.value().decision == admission::Run) {
            const auto &permitted = reply.value();
            const send_permit permit{permitted.owner, permitted.epoch, permitted.term};
            const auto answer = sendOnce(request, permit);
            reportOutcome(request, token, answer);
            if (answer.reason == error_kind::None) {
                auto result = answered(answer);
                result.owner = permit.owner;
                result.epoch = permit.epoch;
                return result;
            }
            if (!answer.isNotRun)
                return failure(answer.reason, outcome::Unknown);
            reason = answer.reason;
            if (!isTransient(reason))
                return failure(reason, outcome::NotRun);
            token = newToken();
        }
        auto next = delay.next();
        if (!next) {
            // The leader may have recorded the admission although its reply was lost.
            target_answer unsent;
            unsent.reason = reason;
            unsent.isNotRun = true;
            reportOutcome(request, token, unsent);
        }
        if (!next)
            return failure(reason == error_kind::None ? error_kind::DeadlineExceeded : reason);
        if (reason == error_kind::RequestInProgress)
            next = std::min(request.caller.deadline, boot_clock::now() + IN_PROGRESS_RETRY_DELAY);
        m_services.metrics->countRetry(request.caller.service, answerFor(reason).reason);
        m_services.routes->waitForNewer(serial, *next);
    }
}

target_answer request_router::sendOnce(const routed_request &request, const send_permit &permit)
{
    target_answer refused;
    refused.isNotRun = true;
    const auto queue = queueFor(permit.owner, request.service);
    const auto member = request.service.members.find(request.caller.member);
    const double share = member == request.service.members.end() ? 1.0 : member->second;
    if (const auto error = queue->acquire({request.caller.member, request.caller.kind}, share,
                                          request.caller.deadline)) {
        refused.reason = kindOf(error);
        return refused;
    }
    target_request message;
    message.service = request.caller.service;
    message.key = request.caller.key;
    message.kind = request.caller.kind;
    message.requestId = request.needsLedger ? request.caller.requestId : std::string();
    message.exchangeId = m_self.instance + '-' + std::to_string(newToken());
    message.contentType = request.caller.contentType;
    message.body = request.caller.body;
    message.slot = request.slot;
    message.epoch = permit.epoch;
    message.term = permit.term;
    message.deadline = request.caller.deadline;
    if (!request.service.checksGrants)
        message.deadline = std::min(message.deadline, boot_clock::now() + MAX_PERMIT_DEADLINE);
    const auto sentAt = boot_clock::now();
    auto answer = m_services.targets->call(permit.owner, message);
    const auto duration = boot_clock::now() - sentAt;
    if (answer.reason == error_kind::None)
        queue->releaseAnswered(duration);
    else if (answer.reason == error_kind::Overloaded
             || answer.reason == error_kind::DeadlineExceeded)
        queue->releaseOverloaded();
    else
        queue->release();
    if (answer.reason == error_kind::DeadlineExceeded)
        m_services.targets->cancel(permit.owner, message.exchangeId);
    // The request may have reached the target, so the deadline does not prove that it was not run.
    if (answer.reason == error_kind::DeadlineExceeded && !answer.isNotRun)
        answer.reason = error_kind::ConnectionLost;
    noteAnswer(request, permit.owner, answer, duration);
    return answer;
}

void request_router::noteAnswer(const routed_request &request, const target_id &target,
                                const target_answer &answer, std::chrono::microseconds duration)
{
    if (answer.reason == error_kind::None) {
        const double seconds = std::chrono::duration<double>(duration).count();
        m_services.plane->addLoad(request.shard, request.slot, seconds * request.kind.weight);
        m_services.quarantine->noteAnswer(request.caller.service, request.fingerprint);
    }
    if (!answer.isConnectionLost)
        return;
    if (!m_services.quarantine->noteCrash(request.caller.service, request.fingerprint, target))
        return;
    for (const auto &entry : m_services.plane->listings()) {
        if (entry.role == listed_role::Instance && entry.id != m_self.instance)
            m_services.peers->send(
                    entry.id, crash_report{request.caller.service, request.fingerprint, target});
    }
}

void request_router::reportOutcome(const routed_request &request, std::uint64_t token,
                                   const target_answer &answer)
{
    outcome_report report;
    report.shard = request.shard;
    report.requestId = request.caller.requestId;
    report.slot = request.slot;
    report.token = token;
    if (answer.reason == error_kind::None) {
        report.state = ledger_state::Answered;
        report.answer = {answer.status, answer.contentType, answer.body};
    } else {
        report.state = answer.isNotRun ? ledger_state::NotRun : ledger_state::Unknown;
    }
    m_ledger.report(std::move(report));
}

std::shared_ptr<target_queue> request_router::queueFor(const target_id &target,
                                                       const service_settings &service)
{
    // Every request that the queue admits must find a free connection.
    const auto concurrencyLimit = std::min(
            service.maxConcurrency, static_cast<std::uint32_t>(m_services.connectionsPerTarget));
    const ordered_lock lock(m_queueMutex);
    auto &queue = m_queues[target];
    if (!queue)
        queue = std::make_shared<target_queue>(concurrencyLimit, service.maxQueue);
    queue->setLimits(concurrencyLimit, service.maxQueue);
    return queue;
}

} // namespace clementinebeam
