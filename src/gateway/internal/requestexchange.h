#pragma once

#include "clementinebeam/asynchttp/serverconnection.h"
#include "clementinebeam/gateway/imessageformat.h"
#include "clementinebeam/gateway/routetable.h"
#include "clementinebeam/gateway/targetdirectory.h"
#include "internal/gatewaymetrics.h"
#include "internal/looplag.h"
#include "internal/placementclient.h"
#include "internal/targetpool.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace clementinebeam {

/// What all requests of a process share.
struct exchange_environment {
    boost::asio::io_context &context;
    const i_message_format &format;
    placement_client &placement;
    target_pool &pool;
    gateway_metrics &metrics;
    const loop_lag &lag;
    std::string dataCentre;
    bool isStopping = false; ///< Answers end their connections.
};

/// The life of one caller's request: place, send, judge the answer, send again if that is allowed.
///
/// A request that isn't idempotent is sent to a second target only if the first one provably did
/// not and will not run it. Answers that promise "not run" are given only with that proof.
class request_exchange : public std::enable_shared_from_this<request_exchange>
{
public:
    /// @param around what all requests share; outlives the exchange.
    /// @param rule the request's route.
    /// @param service the service that the request goes to.
    /// @param isKeyed whether only the owner of the request's key may run it.
    /// @param version version of the configuration that decided the above.
    request_exchange(exchange_environment &around, const route &rule, service_name service,
                     bool isKeyed, std::uint64_t version);

    /// Takes over a request; the connection gets the answer.
    void start(http_call call, std::shared_ptr<server_connection> connection);

private:
    enum class stage {
        Placing,
        Sent,
        Finished,
    };

    void place();
    void onDecision(const dispatch_decision &decision, const placement_client::placement &where);
    void send(const target_entry &target);
    void onAnswer(exchange_failure failure, http_answer &&answer);
    void judge(http_answer &&answer, const answer_context &context);
    void reportRun(run_result result, std::optional<target_load> load);
    bool mayRepeat(run_result result) const;
    void onFailure(run_result result, const char *reason);
    void onDeadline();
    void onCallerLeft();
    void giveUp(const char *reason);
    void reject(const char *reason, std::chrono::milliseconds retryAfter);
    void answerOwn(unsigned status, const char *reason,
                   std::optional<std::chrono::milliseconds> retryAfter);
    void deliver(http_answer &&answer);
    void finish(http_answer &&answer, const char *outcome, const char *reason);
    void log(const char *outcome, const char *reason, unsigned status);
    void endWork();
    std::chrono::milliseconds timeLeft() const;

    exchange_environment &m_around;
    const route m_rule;
    const service_name m_service;
    const bool m_isKeyed;
    const std::uint64_t m_version;
    std::shared_ptr<server_connection> m_caller;
    http_call m_call;
    caller_context m_context;
    instant m_arrival;
    instant m_deadline;
    boost::asio::steady_timer m_timer;
    stage m_stage = stage::Placing;
    request_token m_token = 0;
    target_entry m_target;
    target_id m_failedTarget; ///< The last target that failed the request.
    std::shared_ptr<client_connection> m_connection;
    instant m_sentAt;
    std::uint32_t m_sends = 0;       ///< Targets that the request was sent to.
    std::uint32_t m_unsentTries = 0; ///< Targets that could not be reached.
    bool m_mayHaveRun = false;
    std::chrono::microseconds m_waited{0};
    std::size_t m_queueLength = 0;
    const char *m_lastFailure = "none";
};

} // namespace clementinebeam
