#pragma once

#include "clementinebeam/asynchttp/serverlistener.h"
#include "runhistory.h"
#include "statementchecker.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <random>

namespace clementinebeam::test {

/// Simulated target that holds keys, runs requests in a few slots and can crash.
class soak_target : public i_request_handler
{
public:
    /// State that all targets share.
    struct environment {
        boost::asio::io_context &context;
        run_history &history;
        /// Called with the request's id when a request that is not an order reaches the target.
        std::function<void(soak_target &, const std::string &)> onArrival;
        /// Called when the target begins to run a request that crashes it.
        std::function<void(soak_target &)> onCrashingRequest;
        std::mt19937_64 &random;
        std::vector<std::unique_ptr<soak_target>> &all;
    };

    /// @param address where the target listens; callers may reach it through a proxy.
    soak_target(environment shared, std::string id, std::string service, bool isKeyed,
                const tcp_endpoint &address);

    /// Starts a new incarnation, without the holds and tokens of earlier ones.
    void start();

    /// Stops at once: closes the connections of waiting requests and drops all holds.
    void crash();

    void setDraining(bool isDraining) { m_isDraining = isDraining; }

    /// @param delay between the arrival of each further grant and its application.
    void setGrantDelay(std::chrono::milliseconds delay) { m_grantDelay = delay; }

    /// @param rate requests a second that the target states as its limit.
    void setRateLimit(std::optional<double> rate) { m_rateLimit = rate; }

    /// Refuses all requests and asks their senders to wait until a time.
    void pauseUntil(instant until) { m_pausedUntil = until; }

    /// @return until when the target refuses all requests; may be in the past.
    instant pausedUntil() const { return m_pausedUntil; }

    bool isUp() const { return m_isUp; }
    bool holds(std::uint32_t key) const;

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    std::uint64_t incarnation() const { return m_incarnation; }
    bool isDraining() const { return m_isDraining; }

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override;
    const server_limits &limits() const override { return m_limits; }

private:
    struct key_range_hold {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        instant until{};
    };

    struct pending_request {
        http_call call;
        std::shared_ptr<server_connection> connection;
    };

    void applyGrant(const key_range_hold &grant,
                    const std::shared_ptr<server_connection> &connection);
    void applyRelease(const key_range_hold &release,
                      const std::shared_ptr<server_connection> &connection);
    void acceptRequest(pending_request item);
    void run(pending_request item);
    void runNext();
    http_answer answerTo(const http_call &call, unsigned status, std::string body) const;

    environment m_shared;
    const std::string m_id;
    const std::string m_service;
    const bool m_isKeyed;
    server_limits m_limits;
    server_listener m_listener;
    bool m_isUp = false;
    std::uint64_t m_incarnation = 0;
    bool m_isDraining = false;
    std::uint64_t m_releases = 0;
    std::optional<double> m_rateLimit;
    instant m_pausedUntil{};
    std::chrono::milliseconds m_grantDelay{0};
    std::vector<key_range_hold> m_holds; ///< By key: current hold.
    std::vector<std::uint64_t> m_fences; ///< By key: highest token seen.
    std::deque<pending_request> m_waiting;
    std::size_t m_running = 0;
};

} // namespace clementinebeam::test
