#pragma once

#include "clementinebeam/asynchttp/clientconnection.h"
#include "runhistory.h"

#include <boost/asio/steady_timer.hpp>
#include <random>

namespace clementinebeam::test {

/// What became of one request.
struct caller_event {
    std::string id;
    std::size_t gateway = 0;
    instant sentAt;
    instant endedAt;
    unsigned status = 0; ///< 0 if the connection ended without an answer.
    std::string service; ///< That answered; empty if none did.
    bool wasSent = false;
};

/// A caller that sends one request after the other to one gateway and keeps its connection open for
/// as long as it can.
class soak_caller
{
public:
    using event_handler = std::function<void(const caller_event &)>;

    /// @param name prefix of the caller's request ids.
    /// @param gateway number of the gateway that the events name.
    soak_caller(boost::asio::io_context &context, run_history &history, std::string name,
                std::size_t gateway, tcp_endpoint address, std::uint64_t seed,
                event_handler onEvent);

    void start();
    void stop() { m_isStopped = true; }

private:
    void sendNext();
    http_call nextCall();
    void onAnswer(exchange_failure failure, const http_answer &answer);
    std::string problemOf(const http_answer &answer) const;
    void pause(std::chrono::milliseconds time);

    boost::asio::io_context &m_context;
    run_history &m_history;
    const std::string m_name;
    const tcp_endpoint m_address;
    std::mt19937_64 m_random;
    event_handler m_onEvent;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_deadline;
    std::shared_ptr<client_connection> m_connection;
    std::uint64_t m_count = 0;
    std::string m_path;
    caller_event m_event;
    bool m_isStopped = false;
};

} // namespace clementinebeam::test
