#pragma once

#include "clementinebeam/asynchttp/serverconnection.h"
#include "runhistory.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <random>

namespace clementinebeam::test {

/// A target that holds keys, runs requests in a few slots and may crash.
class soak_target : public i_request_handler
{
public:
    /// What all targets share.
    struct environment {
        boost::asio::io_context &context;
        run_history &history;
        std::mt19937_64 &random;
        std::vector<std::unique_ptr<soak_target>> &all;
    };

    /// @param address where the target listens; a proxy may stand before it.
    soak_target(environment around, std::string id, std::string service, bool isKeyed,
                const tcp_endpoint &address);

    /// Starts a process that knows nothing of earlier ones.
    void start();

    /// Ends the process at once.
    void crash();

    void setDraining(bool isDraining) { m_isDraining = isDraining; }

    /// @param delay by which the next grants are carried out late, although they have arrived.
    void setGrantDelay(std::chrono::milliseconds delay) { m_grantDelay = delay; }

    bool isUp() const { return m_isUp; }
    bool holds(std::uint32_t key) const;

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    std::uint64_t incarnation() const { return m_incarnation; }
    bool isDraining() const { return m_isDraining; }

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override;
    const server_limits &limits() const override { return m_limits; }

private:
    struct order {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        instant until{};
    };

    struct work {
        http_call call;
        std::shared_ptr<server_connection> connection;
    };

    void takeGrant(const order &grant, const std::shared_ptr<server_connection> &connection);
    void takeRelease(const order &release, const std::shared_ptr<server_connection> &connection);
    void takeRequest(work item);
    void run(work item);
    void runNext();
    http_answer answerTo(const http_call &call, unsigned status, std::string body) const;

    environment m_around;
    const std::string m_id;
    const std::string m_service;
    const bool m_isKeyed;
    server_limits m_limits;
    server_listener m_listener;
    bool m_isUp = false;
    std::uint64_t m_incarnation = 0;
    bool m_isDraining = false;
    std::chrono::milliseconds m_grantDelay{0};
    std::vector<order> m_holds;          ///< By key: present hold.
    std::vector<std::uint64_t> m_fences; ///< By key: highest token seen.
    std::deque<work> m_waiting;
    std::size_t m_running = 0;
};

} // namespace clementinebeam::test
