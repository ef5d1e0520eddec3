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
/// Deadline of a request whose caller names none and whose route has no timeout.
constexpr milliseconds DEFAULT_DEADLINE{30000};
/// Targets that can't be reached are tried in turn, up to this number.
constexpr std::uint32_t MAX_UNSENT_TRIES = 3;
/// When a rejected caller should return if no better time is known.
constexpr milliseconds DEFAULT_RETRY_AFTER{150};
/// A second send that leaves the target less than this can't succeed.
constexpr milliseconds MIN_TIME_TO_REPEAT{30};

bool isTransferHeader(boost::beast::string_view name)
{
    return boost::beast::iequals(name, "Connection") || boost::beast::iequals(name, "Keep-Alive")
            || boost::beast::iequals(name, "Transfer-Encoding")
            || boost::beast::iequals(name, "Trailer");
}

/// Prepares a target's answer for the caller's connection.
void prepareForCaller(http_answer &answer, bool isHead)
{
    for (auto field = answer.begin(); field != answer.end();) {
        if (isTransferHeader(field->name_string()))
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

request_exchange::request_exchange(exchange_environment &around, const route &rule,
                                   service_name service, bool isKeyed, std::uint64_t version)
    : m_around(around)
    , m_rule(rule)
    , m_service(std::move(service))
    , m_isKeyed(isKeyed)
    , m_version(version)
    , m_timer(around.context)
{ }

void request_exchange::start(http_call call, std::shared_ptr<server_connection> connection)
{
    m_call = std::move(call);
    m_caller = std::move(connection);
    m_context = m_around.format.readCaller(m_call);
    m_arrival = boot_clock::now() - m_around.lag.value();
    auto patience = m_context.deadline.value_or(DEFAULT_DEADLINE);
    if (m_rule.timeout > milliseconds(0))
        patience = std::min(patience, m_rule.timeout);
    m_deadline = m_arrival + patience;
    m_caller->setLeftHandler([self = weak_from_this()] {
        if (const auto exchange = self.lock())
            exchange->onCallerLeft();
    });
    if (timeLeft() <= milliseconds(0)) {
        reject("read_too_late", DEFAULT_RETRY_AFTER);
        return;
    }
    m_timer.expires_after(timeLeft());
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->onDeadline();
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
        request.key = m_context.key;
    request.priority = m_rule.priority;
    request.isRetry = m_sends > 0;
    request.arrival = m_arrival;
    request.objective =
            m_rule.objective > milliseconds(0) ? m_arrival + m_rule.objective : m_deadline;
    request.deadline = m_deadline;
    request.dataCentre = m_around.dataCentre;
    request.excluded = m_failedTarget;
    const auto token = m_around.placement.place(
            m_service, std::move(request),
            [self = shared_from_this()](const dispatch_decision &decision,
                                        const placement_client::placement &where) {
                self->onDecision(decision, where);
            });
    // The decision may have come at once, and with it the next stage.
    if (m_stage == stage::Placing)
        m_token = token;
}

void request_exchange::onDecision(const dispatch_decision &decision,
                                  const placement_client::placement &where)
{
    m_token = decision.token;
    if (m_stage != stage::Placing)
        return;
    m_waited = decision.waited;
    m_queueLength = decision.queueLength;
    if (decision.target.empty()) {
        m_token = 0;
        if (m_mayHaveRun)
            giveUp(m_lastFailure);
        else
            reject(m_sends > 0 ? m_lastFailure : answerFor(decision.reason).reason.data(),
                   decision.retryAfter);
        return;
    }
    if (where.isLeaving || where.address.port == 0 || timeLeft() <= milliseconds(0)) {
        reportRun(run_result::NotUsed, std::nullopt);
        ++m_unsentTries;
        m_target = target_entry{};
        m_target.id = decision.target;
        onFailure(run_result::NotSent, where.isLeaving ? "target_leaving" : "target_unknown");
        return;
    }
    target_entry target;
    target.id = decision.target;
    target.service = m_service;
    target.address = where.address;
    send(target);
}

void request_exchange::send(const target_entry &target)
{
    m_stage = stage::Sent;
    m_target = target;
    m_sentAt = boot_clock::now();
    m_connection = m_around.pool.take(target);
    auto call = m_call;
    m_around.format.addressTo(call, target.id, timeLeft());
    const auto self = shared_from_this();
    m_connection->exchange(
            std::move(call),
            [self](const http_answer &answer) {
                const auto context = self->m_around.format.readAnswer(answer);
                return context.requestId == self->m_context.requestId || context.requestId.empty();
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
    report.duration = m_stage == stage::Sent ? boot_clock::now() - m_sentAt : microseconds(0);
    report.load = load;
    m_token = 0;
    if (m_stage == stage::Sent)
        m_around.metrics.observeTarget(m_service, result, report.duration);
    m_around.placement.report(m_service, report);
}

void request_exchange::onAnswer(exchange_failure failure, http_answer &&answer)
{
    if (m_stage != stage::Sent)
        return;
    const auto connection = std::move(m_connection);
    if (failure == exchange_failure::NotSent) {
        reportRun(run_result::NotSent, std::nullopt);
        ++m_unsentTries;
        onFailure(run_result::NotSent, nameOf(failure));
        return;
    }
    ++m_sends;
    if (failure != exchange_failure::None) {
        m_mayHaveRun = true;
        reportRun(run_result::Lost, std::nullopt);
        onFailure(run_result::Lost, nameOf(failure));
        return;
    }
    const auto context = m_around.format.readAnswer(answer);
    m_around.pool.giveBack(m_target, connection, context.idleTimeout);
    judge(std::move(answer), context);
}

void request_exchange::judge(http_answer &&answer, const answer_context &context)
{
    const auto status = answer.result_int();
    if (context.isNotExecuted) {
        const auto result = status == 421 ? run_result::WrongOwner : run_result::NotExecuted;
        reportRun(result, context.load);
        onFailure(result, nameOf(result).data());
        return;
    }
    const bool isSuccess = status / 100 == 2;
    const bool isWhole = context.isSigned && context.requestId == m_context.requestId
            && answer.count(http::field::content_encoding) == 0;
    // Without the target's own statement, a status that promises "not run" may not be passed on.
    const bool isUnproved = m_around.format.promisesNotRun(status);
    if ((isSuccess && !isWhole) || isUnproved) {
        m_mayHaveRun = true;
        reportRun(run_result::Lost, context.load);
        onFailure(run_result::Lost, isUnproved ? "unproved_rejection" : "unsigned_answer");
        return;
    }
    reportRun(run_result::Answered, context.load);
    deliver(std::move(answer));
}

bool request_exchange::mayRepeat(run_result result) const
{
    if (timeLeft() < MIN_TIME_TO_REPEAT)
        return false;
    if (result == run_result::NotSent)
        return m_unsentTries <= MAX_UNSENT_TRIES;
    const bool isAllowed = m_rule.isIdempotent || !m_mayHaveRun;
    return isAllowed && m_sends < m_rule.maxAttempts;
}

void request_exchange::onFailure(run_result result, const char *reason)
{
    m_lastFailure = reason;
    log_line(log_level::Info, "send_failed")
            .add("request", m_context.requestId)
            .add("service", m_service)
            .add("target", m_target.id)
            .add("sends", m_sends)
            .add("may_have_run", m_mayHaveRun ? 1 : 0)
            .add("reason", reason);
    if (!mayRepeat(result)) {
        if (m_mayHaveRun)
            giveUp(reason);
        else
            reject(reason, DEFAULT_RETRY_AFTER);
        return;
    }
    m_around.metrics.countRetry(m_service, reason);
    m_failedTarget = m_target.id;
    place();
}

void request_exchange::onDeadline()
{
    if (m_stage == stage::Finished)
        return;
    const bool wasSent = m_stage == stage::Sent;
    if (wasSent)
        m_mayHaveRun = m_mayHaveRun || m_connection->hasSent();
    endWork();
    reportRun(wasSent ? run_result::TimedOut : run_result::Abandoned, std::nullopt);
    if (m_mayHaveRun)
        answerOwn(HTTP_GATEWAY_TIMEOUT, "deadline", std::nullopt);
    else
        reject("deadline", DEFAULT_RETRY_AFTER);
}

void request_exchange::onCallerLeft()
{
    if (m_stage == stage::Finished)
        return;
    endWork();
    reportRun(run_result::Abandoned, std::nullopt);
    m_stage = stage::Finished;
    m_timer.cancel();
    log("abandoned", "caller_left", 0);
    m_caller.reset();
}

void request_exchange::endWork()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

void request_exchange::giveUp(const char *reason)
{
    answerOwn(HTTP_BAD_GATEWAY, reason, std::nullopt);
}

void request_exchange::reject(const char *reason, milliseconds retryAfter)
{
    answerOwn(HTTP_UNAVAILABLE, reason, retryAfter);
}

void request_exchange::answerOwn(unsigned status, const char *reason,
                                 std::optional<milliseconds> retryAfter)
{
    auto answer = makeOwnAnswer(status, std::string(reason) + '\n');
    m_around.format.finishOwnAnswer(answer, m_context.requestId, retryAfter);
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
    log(outcome, reason, answer.result_int());
    const auto caller = std::move(m_caller);
    m_caller.reset();
    if (m_around.isStopping)
        caller->finish();
    caller->respond(std::move(answer));
}

void request_exchange::log(const char *outcome, const char *reason, unsigned status)
{
    const auto total = boot_clock::now() - m_arrival;
    m_around.metrics.countRequest(m_rule.name, outcome, reason, total);
    log_line line(log_level::Info, "request_ended");
    line.add("request", m_context.requestId).add("route", m_rule.name).add("service", m_service);
    if (m_isKeyed && m_context.key)
        line.add("key", *m_context.key);
    line.add("outcome", outcome)
            .add("reason", reason)
            .add("status", status)
            .add("target", m_target.id)
            .add("sends", m_sends)
            .add("waited_us", m_waited.count())
            .add("queue", m_queueLength)
            .add("total_us", total.count())
            .add("configuration", m_version);
}

} // namespace clementinebeam
