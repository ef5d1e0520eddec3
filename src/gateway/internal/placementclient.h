#pragma once

#include "clementinebeam/dispatch/servicedispatcher.h"
#include "clementinebeam/gateway/targetdirectory.h"
#include "clementinebeam/keyspace/keymap.h"
#include "internal/coordination.h"
#include "internal/coordinatorlist.h"
#include "internal/peerbook.h"
#include "internal/peerchannel.h"
#include "internal/relayednews.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace clementinebeam {

/// Finds places for requests that entered here: asks the coordinator of the service, wherever it
/// is, and decides alone, with small limits, while the coordinator is silent.
class placement_client
{
public:
    /// Where a placed request's target listens, as far as is known.
    struct placement {
        network_address address; ///< Port 0 if it is not known.
        bool isLeaving = false;  ///< This instance knows better that it gets no more requests.
    };

    /// Takes the decision and, for a placed request, where to send it.
    using decision_handler = std::function<void(const dispatch_decision &, const placement &)>;

    placement_client(boost::asio::io_context &context, peer_channel &channel,
                     const target_directory &targets);

    /// Called when something that a peer knows or does shows that a stream should be read again.
    using staleness_handler = std::function<void(store_stream)>;

    /// @param owner who coordinates; has to be set before the first request.
    void setCoordination(coordination *owner) { m_coordination = owner; }

    void setStalenessHandler(staleness_handler handler) { m_onStale = std::move(handler); }

    /// Tells how long ago what this instance knows of a stream was up to date.
    using stream_age = std::function<std::chrono::milliseconds(store_stream)>;

    void setStreamAge(stream_age age) { m_streamAge = std::move(age); }

    /// Takes the version of the configuration in force here.
    void setConfigurationVersion(std::uint64_t version) { m_configuration = version; }

    /// @param service the service.
    /// @param request what to place; its token is set here.
    /// @param done called once with the decision, unless the request is withdrawn.
    /// @return the token.
    request_token place(const service_name &service, dispatch_request request,
                        decision_handler done);

    /// Asks the coordinator of a service whether it lives.
    void queryCoordinator(const service_name &service);

    /// Reports the end of a placed request, or withdraws a waiting one.
    void report(const service_name &service, const run_report &report);

    /// Takes a message of another instance.
    void onMessage(const udp_endpoint &peer, const peer_message &message);

    /// Takes a decision of a service that is coordinated here.
    void onDecision(const service_name &service, const dispatch_decision &decision);

    /// Asks the new coordinator for all requests that wait.
    void onCoordinatorChanged(const service_name &service);

    /// Asks coordinators for their view of the store if no request has done so lately.
    void keepInformed();

    /// @return whether coordinators keep this instance informed of what the store holds.
    bool isInformed() const { return m_news.isFresh(boot_clock::now()); }

    /// @return whether any other instance was heard of.
    bool knowsPeers() const { return m_peers.size() > 0; }

    /// Takes the present targets and owners for decisions that are made alone.
    void updateTargets();

    /// @return requests that wait for a place.
    std::size_t waitingCount() const { return m_pending.size(); }

private:
    /// A request that entered here and has no decision yet.
    struct pending_request {
        explicit pending_request(boost::asio::io_context &context)
            : timer(context)
        { }

        service_name service;
        dispatch_request request;
        decision_handler done;
        boost::asio::steady_timer timer;
        std::uint32_t unanswered = 0; ///< Messages to the coordinator without an answer.
        std::uint32_t listWaits = 0;  ///< Delays for a fresh list of targets.
    };

    /// Decisions that are made alone for one service.
    struct local_service {
        key_map owners;
        std::unique_ptr<service_dispatcher> dispatcher;
        std::unique_ptr<boost::asio::steady_timer> timer;
        bool isKeyed = false;
    };

    /// The report of an ended request, until the coordinator confirms it.
    struct unconfirmed_report {
        explicit unconfirmed_report(boost::asio::io_context &context)
            : timer(context)
        { }

        ended_message message;
        udp_endpoint peer;
        boost::asio::steady_timer timer;
        std::uint32_t tries = 0;
    };

    using pending_pointer = std::shared_ptr<pending_request>;

    void ask(const pending_pointer &item);
    void askLater(const pending_pointer &item, std::chrono::milliseconds delay);
    bool waitForList(const pending_pointer &item);
    void decideAlone(const pending_pointer &item);
    void advanceLocal(const service_name &service);
    void scheduleLocal(const service_name &service);
    local_service &local(const service_name &service);
    void updateLocal(const service_name &service, local_service &item);
    void finish(const dispatch_decision &decision);
    void finish(const dispatch_decision &decision, const placement &where);
    bool isLeaving(const dispatch_decision &decision, bool isKeyed) const;
    void noteMissing(const service_name &service);
    void askPeers(const service_name &service);
    void askAnew(const service_name &service);
    void notePeer(const std::string &address);
    void sendNotCoordinator(const udp_endpoint &peer, const service_name &service,
                            request_token token);
    void noteCoordinatorView(const placement_message &message);
    void sendReport(const std::shared_ptr<unconfirmed_report> &item);
    bool isSilent(const service_name &service) const;
    void noteSilent(const service_name &service);
    std::optional<udp_endpoint> coordinatorOf(const service_name &service) const;
    void sendPlacement(const udp_endpoint &peer, placement_message message);
    void compareConfiguration(std::uint64_t version);
    void takePlaceRequest(const udp_endpoint &peer, const place_message &message);
    void takePlacement(const udp_endpoint &peer, const placement_message &message);
    void takeEnded(const udp_endpoint &peer, const ended_message &message);
    void takeEndedAck(const ended_ack_message &message);
    void takeQuery(const udp_endpoint &peer, const coordinator_query_message &message);
    void takeNotCoordinator(const udp_endpoint &peer, const not_coordinator_message &message);

    boost::asio::io_context &m_context;
    peer_channel &m_channel;
    const target_directory &m_targets;
    coordination *m_coordination = nullptr;
    staleness_handler m_onStale;
    stream_age m_streamAge;
    std::uint64_t m_configuration = 0;
    coordinator_list m_coordinators;
    peer_book m_peers;
    relayed_news m_news;
    std::map<service_name, instant> m_peersAskedAt; ///< Who coordinates a silent service.
    request_token m_nextToken;
    std::unordered_map<request_token, pending_pointer> m_pending;
    /// Where a placed request's end is to be reported; an unspecified address means here, as
    /// decided by the coordination or alone.
    enum class decider { Peer, Coordination, Alone };
    struct placed_request {
        decider by = decider::Alone;
        udp_endpoint peer;
    };
    std::unordered_map<request_token, placed_request> m_placed;
    std::unordered_map<request_token, std::shared_ptr<unconfirmed_report>> m_unconfirmed;
    std::unordered_map<request_token, udp_endpoint> m_askers; ///< Who asked this instance.
    std::map<service_name, instant> m_silentUntil; ///< Coordinators are not asked until then.
    instant m_nextOwnershipRead{}; ///< Owners are not read again earlier because of a silence.
    std::map<service_name, local_service> m_local;
};

} // namespace clementinebeam
