#pragma once

#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/peering/ipeertransport.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace clementinebeam {

/// An instance's side of the request ledger: asks the shard's leader and reports outcomes.
class ledger_client
{
public:
    ledger_client(std::shared_ptr<i_peer_transport> peers, std::shared_ptr<i_routing_table> routes);
    ~ledger_client();

    void start();
    /// Waits for open reports within a bound, then ends.
    void stop();

    /// @param leader the shard's leader.
    /// @param request the request.
    /// @param deadline when to give up.
    /// @return the leader's decision, or PeerUnreachable.
    result<admit_reply> admit(const instance_id &leader, const admit_request &request,
                              instant deadline);

    /// Reports an outcome in the background until the present leader accepts it.
    void report(outcome_report report);

private:
    struct open_report {
        outcome_report report;
        instant nextTry{};
        instant giveUp;
    };

    void run();
    void send(const outcome_report &report, std::function<void(bool)> done);

    std::shared_ptr<i_peer_transport> m_peers;
    std::shared_ptr<i_routing_table> m_routes;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<open_report> m_open;
    std::size_t m_inFlight = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace clementinebeam
