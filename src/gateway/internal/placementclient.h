#pragma once

#include "clementinebeam/dispatch/servicedispatcher.h"
#include "clementinebeam/evacuation/evacuationview.h"
#include "clementinebeam/gateway/targetdirectory.h"
#include "clementinebeam/kernel/randomsource.h"
#include "clementinebeam/keyspace/keymap.h"
#include "internal/coordination.h"
#include "internal/coordinatorlist.h"
#include "internal/listpreference.h"
#include "internal/peerchannel.h"
#include "internal/peerlist.h"
#include "internal/relayedview.h"
#include "internal/requestquarantine.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace clementinebeam {

/// Finds targets for the requests that this instance received from callers.
///
/// Asks the coordinator of the service, which may be this instance or another one. While the
/// coordinator is silent, the instance places requests locally, with small limits. Also answers the
/// placement messages of other instances.
class placement_client
{
public:
    /// The target of a placed request, as far as it is known.
    struct placement {
        network_address address; ///< Port 0 if it is not known.
        bool isLeaving = false;  ///< This instance knows that the target accepts no more requests.
    };

    /// Receives the decision and, for a placed request, where to send it.
    using decision_handler = std::function<void(const dispatch_decision &, const placement &)>;

    /// @param context the event loop on which all handlers are called.
    /// @param channel sends messages to other instances; must outlive the client.
    /// @param targets the known targets; must outlive the client.
    /// @param quarantine refuses requests; must outlive the client.
    placement_client(boost::asio::io_context &context, peer_channel &channel,
                     target_directory &targets, request_quarantine &quarantine);

    /// Called when a message or the silence of another instance shows that a stream should be read
    /// again.
    using staleness_handler = std::function<void(store_stream)>;

    /// @param value decides which services this instance coordinates; has to be set before the
    ///     first request and must outlive the client.
    void setCoordination(coordination *value) { m_coordination = value; }

    void setStalenessHandler(staleness_handler handler) { m_onStale = std::move(handler); }

    /// @return the time since what this instance knows of a stream was last known to be up to date.
    using stream_age = std::function<std::chrono::milliseconds(store_stream)>;

    void setStreamAge(stream_age age) { m_streamAge = std::move(age); }

    /// Called when another instance told which data centres are evacuated.
    using evacuation_handler =
            std::function<void(store_position version, const std::vector<evacuation_note> &)>;

    /// @param view what this instance knows of evacuations; must outlive the client.
    /// @param handler updates the view.
    void setEvacuations(const evacuation_view &view, evacuation_handler handler)
    {
        m_evacuations = &view;
        m_onEvacuations = std::move(handler);
    }

    /// Sets the latest era of the store that this instance knows.
    void setEra(store_era era) { m_era = era; }

    /// Sets the version of the configuration that is in force here.
    void setConfigurationVersion(std::uint64_t version) { m_configuration = version; }

    /// Requests a placement.
    /// @param service the service.
    /// @param request what to place; its token is set here.
    /// @param done called once with the decision, unless the request is withdrawn by report().
    /// @return the token of the request.
    request_token place(const service_name &service, dispatch_request request,
                        decision_handler done);

    /// Sends a query to the coordinator of a service, if one is known, to learn whether it is
    /// alive.
    void queryCoordinator(const service_name &service);

    /// Reports the end of a placed request to whoever placed it, or withdraws a waiting one.
    void report(const service_name &service, const run_report &report);

    /// Notes what a target stated about itself in an answer, and tells the coordinator.
    /// @param target the target.
    /// @param statement what it stated.
    /// @param requestedAt when the request was sent that it answered.
    void noteStatement(const target_entry &target, const target_statement &statement,
                       instant requestedAt);

    /// Handles a message of another instance.
    /// @param peer the sender.
    /// @param message the message.
    void onMessage(const udp_endpoint &peer, const peer_message &message);

    /// Handles a decision on a request of a service that this instance coordinates: forwards it if
    /// another instance sent the request.
    void onDecision(const service_name &service, const dispatch_decision &decision);

    /// Called when the coordinator of a service has changed: sends all waiting requests to the new
    /// one.
    void onCoordinatorChanged(const service_name &service);

    /// Queries coordinators for their view of the store if the last one that they sent expires
    /// soon. To be called regularly.
    void refreshRelayedView();

    /// @return whether a coordinator sent a fresh view of the store, so that this instance need not
    ///     read the store itself.
    bool isRelayedViewFresh() const { return m_relayedView.isFresh(boot_clock::now()); }

    /// @return whether any other instance is known.
    bool knowsPeers() const { return m_peers.size() > 0; }

    /// Passes the present targets and owners of keys on to the dispatchers that place requests
    /// locally.
    void updateTargets();

    /// @return the number of requests that wait for a decision.
    std::size_t waitingCount() const { return m_pending.size(); }

private:
    /// A request that was received here and has no decision yet.
    struct pending_request {
        explicit pending_request(boost::asio::io_context &context)
            : timer(context)
        { }

        service_name service;
        dispatch_request request;
        decision_handler done;
        boost::asio::steady_timer timer;
        std::uint32_t unanswered = 0; ///< Messages sent to the coordinator since its last answer.
        instant askedAt{};            ///< When the first one of these was sent.
        std::uint32_t listWaits = 0;  ///< Delays for a fresh list of targets.
    };

    /// Places requests of one service locally while its coordinator is silent.
    struct local_service {
        key_map owners;
        std::unique_ptr<service_dispatcher> dispatcher;
        std::unique_ptr<boost::asio::steady_timer> timer;
        instant usedAt{}; ///< Last placement.
    };

    /// The report of an ended request that the coordinator has not confirmed yet.
    struct unconfirmed_report {
        explicit unconfirmed_report(boost::asio::io_context &context)
            : timer(context)
        { }

        ended_message message;
        udp_endpoint peer;
        boost::asio::steady_timer timer;
        std::uint32_t sends = 0;
    };

    using pending_pointer = std::shared_ptr<pending_request>;

    void requestPlacement(const pending_pointer &item);
    void requestPlacementLater(const pending_pointer &item, std::chrono::milliseconds delay);
    bool waitForList(const pending_pointer &item);
    void placeLocally(const pending_pointer &item);
    void advanceLocal(const service_name &service);
    void scheduleLocal(const service_name &service);
    local_service &local(const service_name &service);
    void updateLocal(const service_name &service, local_service &item);
    void finish(const dispatch_decision &decision);
    void finish(const dispatch_decision &decision, const placement &where);
    bool hasOwnStatement(const target_id &target) const;
    list_quality ownListQuality() const;
    list_quality coordinatorListQuality(const place_answer_message &message) const;
    bool isUnlimitedWhileCold(const dispatch_decision &decision,
                              const place_answer_message &message) const;
    bool acceptsNoRequests(const dispatch_decision &decision, bool isKeyed) const;
    void reportMissing(const service_name &service);
    void queryPeers(const service_name &service);
    void resendRequests(const service_name &service);
    void withdrawLocal(const service_name &service, request_token token);
    void notePeer(const std::string &address);
    void sendNotCoordinator(const udp_endpoint &peer, const service_name &service,
                            request_token token);
    void noteCoordinatorView(const place_answer_message &message);
    void sendCrashNotice(const crash_notice_message &notice);
    void handleCrashNotice(const udp_endpoint &peer, const crash_notice_message &notice);
    void sendReport(const std::shared_ptr<unconfirmed_report> &item);
    bool isSilent(const service_name &service) const;
    void markSilent(const service_name &service);
    std::optional<udp_endpoint> coordinatorOf(const service_name &service) const;
    void sendPlacement(const udp_endpoint &peer, place_answer_message message);
    void checkConfigurationVersion(std::uint64_t version);
    void checkEra(store_era era);
    void handlePlaceRequest(const udp_endpoint &peer, const place_request_message &message);
    void handlePlacement(const udp_endpoint &peer, const place_answer_message &message);
    void handleEnded(const udp_endpoint &peer, const ended_message &message);
    void handleEndedAck(const ended_ack_message &message);
    void handleStatements(const target_statements_message &message);
    void handleEvacuations(const udp_endpoint &peer, const evacuations_message &message);
    evacuations_message evacuations() const;
    bool isEvacuatedByOwnView(const place_answer_message &message) const;
    void onStatementsChanged(const service_name &service);
    void tellStatements(const service_name &service);
    void updateLimits(const service_name &service);
    void handleQuery(const udp_endpoint &peer, const coordinator_query_message &message);
    void handleNotCoordinator(const udp_endpoint &peer, const not_coordinator_message &message);

    boost::asio::io_context &m_context;
    peer_channel &m_channel;
    target_directory &m_targets;
    request_quarantine &m_quarantine;
    coordination *m_coordination = nullptr;
    staleness_handler m_onStale;
    stream_age m_streamAge;
    std::uint64_t m_configuration = 0;
    store_era m_era{};
    const evacuation_view *m_evacuations = nullptr;
    evacuation_handler m_onEvacuations;
    /// When another instance was last told of evacuations.
    instant m_evacuationsToldAt{};
    coordinator_list m_coordinators;
    peer_list m_peers;
    relayed_view m_relayedView;
    /// Time of the last query for the successor of a silent coordinator.
    std::map<service_name, instant> m_peersQueriedAt;
    request_token m_nextToken;
    std::unordered_map<request_token, pending_pointer> m_pending;
    /// Which decider placed a request; the end of the request is reported to it.
    enum class decider {
        Peer,         ///< A coordinator in another instance.
        Coordination, ///< The coordinator in this instance.
        Local         ///< This instance, while the coordinator was silent.
    };
    struct placed_request {
        decider decidedBy = decider::Local;
        udp_endpoint peer; ///< The coordinator; unspecified unless decidedBy is Peer.
    };
    std::unordered_map<request_token, placed_request> m_placed;
    std::unordered_map<request_token, std::shared_ptr<unconfirmed_report>> m_unconfirmed;
    /// Instances that sent the requests of services that this instance coordinates.
    std::unordered_map<request_token, udp_endpoint> m_requesters;
    /// Time until which silent coordinators get no requests.
    std::map<service_name, instant> m_silentUntil;
    /// When the coordinator's list of targets was last seen to be outdated.
    std::map<service_name, instant> m_listOutdatedAt;
    /// Earliest time of the next read of ownership because of a missing coordinator.
    instant m_nextOwnershipRead{};
    std::map<service_name, local_service> m_local;
    /// When the coordinator was told what a target stated, if that is not long ago.
    std::map<target_id, instant> m_statementsToldAt;
    random_source m_random;
};

} // namespace clementinebeam
