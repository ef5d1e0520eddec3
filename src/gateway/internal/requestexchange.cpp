#include "internal/requestexchange.h"

#include "clementinebeam/kernel/identifiers.h"
#include "clementinebeam/observability/logline.h"

#include <boost/beast/http/rfc7230.hpp>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
namespace http = boost::beast::http;

constexpr unsigned HTTP_BAD_GATEWAY = 502;
constexpr unsigned HTTP_UNAVAILABLE = 503;
constexpr unsigned HTTP_GATEWAY_TIMEOUT = 504;
/// Deadline of a request whose caller sets none and whose route has no timeout.
constexpr milliseconds DEFAULT_DEADLINE{30000};
/// Retries after attempts in which the request could not be sent.
constexpr std::uint32_t MAX_RETRIES_AFTER_UNSENT = 3;
/// Retry-After of a rejected request if no better estimate is known.
constexpr milliseconds DEFAULT_RETRY_AFTER{150};
/// With less time left until the deadline, a retry can't succeed.
constexpr milliseconds MIN_RETRY_TIME{30};

bool isConnectionHeader(boost::beast::string_view name)
{
    return boost::beast::iequals(name, "Connection") || boost::beast::iequals(name, "Keep-Alive")
            || boost::beast::iequals(name, "Transfer-Encoding")
            || boost::beast::iequals(name, "Trailer");
}

/// Replaces the connection headers of a target's answer by those for the caller's connection.
void prepareForCaller(http_answer &answer, bool isHead)
{
    for (auto field = answer.begin(); field != answer.end();) {
        if (isConnectionHeader(field->name_string()))
            field = answer.erase(field);
        else
            ++field;
    }
    answer.version(11);
    const auto status = answer.result_int();
    const bool hasNoBody = isHead || status == 204 || status == 304;
    if (!hasNoBody)
        answer.content_length(answer.body().size());
}

} // namespace

request_exchange::request_exchange(exchange_environment &environment, const route &matchedRoute,
                                   service_name service, bool isKeyed,
                                   std::uint64_t configurationVersion)
    : m_environment(environment)
    , m_route(matchedRoute)
    , m_service(std::move(service))
    , m_isKeyed(isKeyed)
    , m_configurationVersion(configurationVersion)
    , m_timer(environment.context)
{ }

void request_exchange::start(http_call call, std::shared_ptr<server_connection> connection)
{
    m_call = std::move(call);
    m_caller = std::move(connection);
    m_callerContext = m_environment.format.readCaller(m_call);
    m_arrival = boot_clock::now() - m_environment.lag.value();
    auto timeLimit = m_callerContext.deadline.value_or(DEFAULT_DEADLINE);
    if (m_route.timeout > milliseconds(0))
        timeLimit = std::min(timeLimit, m_route.timeout);
    m_deadline = m_arrival + timeLimit;
    m_caller->setDisconnectHandler([self = weak_from_this()] {
        if (const auto exchange = self.lock())
            exchange->onCallerLeft();
    });
    if (timeLeft() <= milliseconds(0)) {
        reject("read_too_late", DEFAULT_RETRY_AFTER);
        return;
    }
    if (m_deadline > m_environment.latestDeadline) {
        reject("stopping", DEFAULT_RETRY_AFTER);
        return;
    }
    m_environment.exchanges.insert(this);
    m_timer.expires_after(timeLeft());
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->giveUp("deadline");
    });
    place();
}

milliseconds request_exchange::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - boot_clock::now());
}

void request_exchange::place()
{
    m_stage = stage::Placing;
    dispatch_request request;
    if (m_isKeyed)
        request.key = m_callerContext.key;
    request.priority = m_route.priority;
    request.isRetry = m_sends > 0;
    request.arrival = m_arrival;
    request.objective =
            m_route.objective > milliseconds(0) ? m_arrival + m_route.objective : m_deadline;
    request.deadline = m_deadline;
    request.dataCentre = m_environment.dataCentre;
    request.excluded = m_failedTarget;
    request.fingerprint = m_callerContext.fingerprint;
    const auto token = m_environment.placement.place(
            m_service, std::move(request),
            [self = shared_from_this()](const dispatch_decision &decision,
                                        const placement_client::placement &destination) {
                self->onDecision(decision, destination);
            });
    // The handler may have run within place() and changed the stage.
    if (m_stage == stage::Placing)
        m_token = token;
}

void request_exchange::onDecision(const dispatch_decision &decision,
                                  const placement_client::placement &destination)
{
    m_token = decision.token;
    if (m_stage != stage::Placing)
        return;
    m_queueWait = decision.waited;
    m_queueLength = decision.queueLength;
    if (decision.target.empty()) {
        m_token = 0;
        if (m_mayHaveRun)
            failRequest(m_lastFailureReason);
        else
            reject(m_sends > 0 ? m_lastFailureReason : answerFor(decision.reason).reason.data(),
                   decision.retryAfter);
        return;
    }
    const bool isTooLate = decision.sendBefore && boot_clock::now() > *decision.sendBefore;
    if (destination.isLeaving || destination.address.port == 0 || timeLeft() <= milliseconds(0)
        || isTooLate) {
        reportRun(run_result::NotUsed, std::nullopt);
        ++m_unsentAttempts;
        m_target = target_entry{};
        m_target.id = decision.target;
        onFailure(run_result::NotSent,
                  destination.isLeaving ? "target_leaving"
                          : isTooLate   ? "placement_late"
                                        : "target_unknown");
        return;
    }
    target_entry target;
    target.id = decision.target;
    target.service = m_service;
    target.address = destination.address;
    send(target);
}

void request_exchange::send(const target_entry &target)
{
    m_stage = stage::Forwarding;
    m_target = target;
    m_sentAt = boot_clock::now();
    // A refusal that a target writes once more names this request, so it would be taken for the
    // answer to a second attempt on the same connection.
    const bool isFirstAttempt = m_attemptedTargets.insert(target.id).second;
    m_targetConnection =
            isFirstAttempt ? m_environment.pool.take(target) : m_environment.pool.create(target);
    // The body may be a large part of the memory, so there is only one of it.
    auto body = std::exchange(m_call.body(), {});
    auto call = m_call;
    call.body() = std::move(body);
    m_environment.format.setForwardingHeaders(call, target.id, timeLeft());
    const auto self = shared_from_this();
    m_targetConnection->exchange(
            std::move(call),
            [self](const http_answer &answer) {
                const auto answerContext = self->m_environment.format.readAnswer(answer);
                return answerContext.requestId == self->m_callerContext.requestId;
            },
            [self](exchange_failure failure, http_answer &&answer) {
                self->onAnswer(failure, std::move(answer));
            });
}

void request_exchange::reportRun(run_result result, std::optional<target_load> load)
{
    if (m_token == 0)
        return;
    run_report report;
    report.token = m_token;
    report.result = result;
    report.duration = m_stage == stage::Forwarding ? boot_clock::now() - m_sentAt : microseconds(0);
    report.load = load;
    m_token = 0;
    if (m_stage == stage::Forwarding)
        m_environment.metrics.observeTarget(m_service, result, report.duration);
    m_environment.placement.report(m_service, report);
}

void request_exchange::onAnswer(exchange_failure failure, http_answer &&answer)
{
    if (m_stage != stage::Forwarding)
        return;
    const auto connection = std::move(m_targetConnection);
    m_call.body() = connection->takeCallBody();
    if (failure == exchange_failure::NotSent) {
        reportRun(run_result::NotSent, std::nullopt);
        ++m_unsentAttempts;
        onFailure(run_result::NotSent, nameOf(failure));
        return;
    }
    ++m_sends;
    if (failure != exchange_failure::None) {
        m_mayHaveRun = true;
        reportRun(run_result::Lost, std::nullopt);
        if (failure == exchange_failure::ConnectionLost)
            m_environment.quarantine.noteLoss(m_service, m_callerContext.fingerprint, m_target);
        onFailure(run_result::Lost, nameOf(failure));
        return;
    }
    const auto answerContext = m_environment.format.readAnswer(answer);
    m_environment.pool.giveBack(m_target, connection, answerContext.idleTimeout);
    if (answerContext.statement)
        m_environment.placement.noteStatement(m_target, *answerContext.statement, m_sentAt);
    evaluateAnswer(std::move(answer), answerContext);
}

void request_exchange::evaluateAnswer(http_answer &&answer, const answer_context &answerContext)
{
    const auto status = answer.result_int();
    if (answerContext.isNotExecuted) {
        const auto result = status == 421 ? run_result::WrongOwner : run_result::NotExecuted;
        reportRun(result, answerContext.load);
        onFailure(result, nameOf(result).data());
        return;
    }
    const bool isSuccess = status / 100 == 2;
    // The signature itself isn't checked, only that its header is present.
    const bool isTrusted = answerContext.isSigned
            && answerContext.requestId == m_callerContext.requestId
            && answer.count(http::field::content_encoding) == 0;
    // A status that means "not run" is not passed on unless the target stated that it did not run
    // the request.
    const bool isUnprovedRejection = m_environment.format.promisesNotRun(status);
    if ((isSuccess && !isTrusted) || isUnprovedRejection) {
        m_mayHaveRun = true;
        reportRun(run_result::Lost, answerContext.load);
        onFailure(run_result::Lost, isUnprovedRejection ? "unproved_rejection" : "unsigned_answer");
        return;
    }
    const bool isServerError = status / 100 == 5;
    if (!isServerError)
        m_environment.quarantine.noteAnswer(m_service, m_callerContext.fingerprint);
    reportRun(isServerError ? run_result::Failed : run_result::Answered, answerContext.load);
    deliver(std::move(answer));
}

bool request_exchange::mayRetry(run_result result) const
{
    if (timeLeft() < MIN_RETRY_TIME)
        return false;
    if (result == run_result::NotSent)
        return m_unsentAttempts <= MAX_RETRIES_AFTER_UNSENT;
    const bool isSafe = m_route.isIdempotent || !m_mayHaveRun;
    return isSafe && m_sends < m_route.maxAttempts;
}

void request_exchange::onFailure(run_result result, const char *reason)
{
    m_lastFailureReason = reason;
    log_line(log_level::Info, "send_failed")
            .add("request", m_callerContext.requestId)
            .add("service", m_service)
            .add("target", m_target.id)
            .add("sends", m_sends)
            .add("may_have_run", m_mayHaveRun ? 1 : 0)
            .add("fingerprint", m_callerContext.fingerprint)
            .add("reason", reason);
    if (!mayRetry(result)) {
        if (m_mayHaveRun)
            failRequest(reason);
        else
            reject(reason, DEFAULT_RETRY_AFTER);
        return;
    }
    m_environment.metrics.countRetry(m_service, reason);
    m_failedTarget = m_target.id;
    place();
}

void request_exchange::giveUp(const char *reason)
{
    if (m_stage == stage::Finished)
        return;
    const bool wasForwarding = m_stage == stage::Forwarding;
    if (wasForwarding)
        m_mayHaveRun = m_mayHaveRun || m_targetConnection->hasSent();
    closeTargetConnection();
    reportRun(wasForwarding ? run_result::TimedOut : run_result::Abandoned, std::nullopt);
    if (m_mayHaveRun)
        answerWithError(HTTP_GATEWAY_TIMEOUT, reason, std::nullopt);
    else
        reject(reason, DEFAULT_RETRY_AFTER);
}

void request_exchange::onCallerLeft()
{
    if (m_stage == stage::Finished)
        return;
    closeTargetConnection();
    reportRun(run_result::Abandoned, std::nullopt);
    m_stage = stage::Finished;
    m_timer.cancel();
    recordEnd("abandoned", "caller_left", 0);
    m_caller.reset();
}

void request_exchange::closeTargetConnection()
{
    if (m_targetConnection)
        m_targetConnection->close();
    m_targetConnection.reset();
}

void request_exchange::failRequest(const char *reason)
{
    answerWithError(HTTP_BAD_GATEWAY, reason, std::nullopt);
}

void request_exchange::reject(const char *reason, milliseconds retryAfter)
{
    answerWithError(HTTP_UNAVAILABLE, reason, retryAfter);
}

void request_exchange::answerWithError(unsigned status, const char *reason,
                                       std::optional<milliseconds> retryAfter)
{
    auto answer = makeOwnAnswer(status, std::string(reason) + '\n');
    m_environment.format.setOwnAnswerHeaders(answer, m_callerContext.requestId, retryAfter);
    finish(std::move(answer), status == HTTP_UNAVAILABLE ? "rejected" : "failed", reason);
}

void request_exchange::deliver(http_answer &&answer)
{
    prepareForCaller(answer, m_call.method() == http::verb::head);
    const char *outcome = answer.result_int() / 100 == 2 ? "answered" : "failed_by_target";
    finish(std::move(answer), outcome, "none");
}

void request_exchange::finish(http_answer &&answer, const char *outcome, const char *reason)
{
    m_stage = stage::Finished;
    m_timer.cancel();
    recordEnd(outcome, reason, answer.result_int());
    m_call.body() = {};
    m_call.body().shrink_to_fit();
    const auto caller = std::move(m_caller);
    m_caller.reset();
    if (m_environment.isStopping)
        caller->finish();
    caller->respond(std::move(answer), m_deadline);
}

void request_exchange::recordEnd(const char *outcome, const char *reason, unsigned status)
{
    m_environment.exchanges.erase(this);
    const auto total = boot_clock::now() - m_arrival;
    m_environment.metrics.countRequest(m_route.name, outcome, reason, total);
    log_line line(log_level::Info, "request_ended");
    line.add("request", m_callerContext.requestId)
            .add("route", m_route.name)
            .add("service", m_service);
    if (m_isKeyed && m_callerContext.key)
        line.add("key", *m_callerContext.key);
    line.add("outcome", outcome)
            .add("reason", reason)
            .add("status", status)
            .add("target", m_target.id)
            .add("sends", m_sends)
            .add("waited_us", m_queueWait.count())
            .add("queue", m_queueLength)
            .add("total_us", total.count())
            .add("configuration", m_configurationVersion);
}

} // namespace clementinebeam
