#pragma once

#include "clementinebeam/asynchttp/serverconnection.h"
#include "clementinebeam/gateway/imessageformat.h"
#include "clementinebeam/gateway/routetable.h"
#include "clementinebeam/gateway/targetdirectory.h"
#include "internal/gatewaymetrics.h"
#include "internal/looplag.h"
#include "internal/placementclient.h"
#include "internal/targetconnectionpool.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

namespace clementinebeam {

class request_exchange;

/// Objects that all requests of a process share.
struct exchange_environment {
    boost::asio::io_context &context;
    const i_message_format &format;
    placement_client &placement;
    target_connection_pool &pool;
    request_quarantine &quarantine;
    gateway_metrics &metrics;
    const loop_lag &lag;
    std::string dataCentre;
    bool isStopping = false; ///< Connections of callers are closed after their next answer.
    /// Requests with a later deadline are rejected, as the process may end before their answer.
    instant latestDeadline = instant::max();
    std::set<request_exchange *> exchanges{}; ///< Those that have not ended.
};

/// Handles one request of a caller: gets a target assigned, sends the request, checks the answer
/// and retries at another target if that is allowed.
///
/// A request that isn't idempotent is sent to a second target only if it is proved that the first
/// one did not and will not run it. The caller is told "not run" only with the same proof.
class request_exchange : public std::enable_shared_from_this<request_exchange>
{
public:
    /// @param environment the shared objects; outlives the exchange.
    /// @param matchedRoute the request's route; copied.
    /// @param service the service that the request is sent to.
    /// @param isKeyed whether only the owner of the request's key may run it.
    /// @param configurationVersion version of the configuration that the route comes from.
    request_exchange(exchange_environment &environment, const route &matchedRoute,
                     service_name service, bool isKeyed, std::uint64_t configurationVersion);

    /// Starts handling a request; to be called once. The exchange keeps itself alive until it ends.
    /// @param call the caller's request.
    /// @param connection the caller's connection, which gets exactly one answer unless it closes.
    void start(http_call call, std::shared_ptr<server_connection> connection);

    /// Gives the request up and answers it: with "not run" if it was not sent.
    /// @param reason why, for the log and the answer.
    void giveUp(const char *reason);

private:
    enum class stage {
        Placing,    ///< Waiting for a target.
        Forwarding, ///< Handed to a connection; not necessarily sent.
        Finished,   ///< The caller was answered or has left.
    };

    void place();
    void onDecision(const dispatch_decision &decision,
                    const placement_client::placement &destination);
    void send(const target_entry &target);
    void onAnswer(exchange_failure failure, http_answer &&answer);
    void evaluateAnswer(http_answer &&answer, const answer_context &answerContext);
    void reportRun(run_result result, std::optional<target_load> load);
    bool mayRetry(run_result result) const;
    void onFailure(run_result result, const char *reason);
    void onCallerLeft();
    void failRequest(const char *reason);
    void reject(const char *reason, std::chrono::milliseconds retryAfter);
    void answerWithError(unsigned status, const char *reason,
                         std::optional<std::chrono::milliseconds> retryAfter);
    void deliver(http_answer &&answer);
    void finish(http_answer &&answer, const char *outcome, const char *reason);
    void recordEnd(const char *outcome, const char *reason, unsigned status);
    void closeTargetConnection();
    std::chrono::milliseconds timeLeft() const;

    exchange_environment &m_environment;
    const route m_route;
    const service_name m_service;
    const bool m_isKeyed;
    const std::uint64_t m_configurationVersion;
    std::shared_ptr<server_connection> m_caller;
    http_call m_call;
    caller_context m_callerContext;
    instant m_arrival;
    instant m_deadline;
    boost::asio::steady_timer m_timer;
    stage m_stage = stage::Placing;
    request_token m_token = 0;
    target_entry m_target;
    target_id m_failedTarget; ///< The last target at which the request failed.
    std::set<target_id> m_attemptedTargets;
    std::shared_ptr<client_connection> m_targetConnection;
    instant m_sentAt;
    std::uint32_t m_sends = 0;          ///< Attempts in which the request was sent.
    std::uint32_t m_unsentAttempts = 0; ///< Attempts that ended before it was sent.
    bool m_mayHaveRun = false;
    std::chrono::microseconds m_queueWait{0};
    std::size_t m_queueLength = 0;
    const char *m_lastFailureReason = "none";
};

} // namespace clementinebeam
