#pragma once

#include "clementinebeam/dispatch/servicedispatcher.h"
#include "clementinebeam/evacuation/evacuationprogress.h"
#include "clementinebeam/gateway/imessageformat.h"
#include "clementinebeam/gateway/targetdirectory.h"
#include "clementinebeam/keyspace/keycoordinator.h"
#include "clementinebeam/keyspace/keymap.h"
#include "internal/gatewaymetrics.h"
#include "internal/targetconnectionpool.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace clementinebeam {

/// Runs the dispatcher and, for a keyed service, the key coordinator of one service that this
/// instance coordinates. Carries out their actions and passes the results back to them.
class coordinated_service
{
public:
    /// Receives decisions about requests.
    using decision_handler = std::function<void(const dispatch_decision &)>;
    /// Called when record() has changed and has to be stored.
    using store_handler = std::function<void()>;

    struct environment {
        boost::asio::io_context &context;
        const i_message_format &format;
        const target_directory &targets;
        gateway_metrics &metrics;
        decision_handler onDecision;
        store_handler onStoreNeeded;
        /// Called when the ownership stream should be read at once, to confirm that this instance
        /// is still the newest coordinator.
        std::function<void()> onOwnershipReadNeeded;
    };

    /// @param env what the service works with; the references in it must outlive the service.
    /// @param record the stored claim of this instance.
    /// @param isKeyed whether targets of the service own keys.
    /// @param bounds limits that the operators configured.
    /// @param confirmedAt send time of the call that showed the claim as the newest record: the
    ///     append of the claim, or a read.
    /// @param termEndTimes when this instance saw that the coordinators of earlier terms had
    ///     successors.
    /// @param eraBegunAt when this instance learned of the present era of the store.
    coordinated_service(environment env, ownership_record record, bool isKeyed,
                        const service_bounds &bounds, instant confirmedAt,
                        const term_end_times &termEndTimes, instant eraBegunAt);
    ~coordinated_service();

    /// Starts dispatching and key coordination. To be called once the caller can receive decisions.
    void start() { updateTargets(); }

    /// Queues a request; its decision may be delivered before the call returns.
    void enqueue(const dispatch_request &request);
    /// Frees the slot of a request that has ended, or removes one that waits.
    void complete(const run_report &report);

    /// @return the decision on a request that was placed and has not ended, or null.
    const dispatch_decision *placed(request_token token) const
    {
        return m_dispatcher.placed(token);
    }
    bool isWaiting(request_token token) const { return m_dispatcher.isWaiting(token); }

    /// @return what the service still has in each evacuated data centre in which it has targets.
    std::vector<evacuation_remainder> evacuationRemainders() const;

    /// Passes the present targets of the directory on to the dispatcher and the key coordinator.
    void updateTargets();

    /// Extends the authority of this coordinator to act on keys.
    /// @param requestedAt send time of the last read that showed this coordinator as the newest.
    void confirmAuthority(instant requestedAt);

    void setStoreReachable(bool isReachable);

    /// Goes on in a later era of the store; record() then is the claim to be stored.
    /// @param term the term of the claim.
    /// @param now the present time.
    void claimAgain(std::uint64_t term, instant now);

    /// @return whether a successor has probably taken over.
    bool isSuperseded() const
    {
        return m_keyCoordinator && m_keyCoordinator->isSuperseded(boot_clock::now());
    }

    /// Called when a record of this coordinator has been stored.
    /// @param nextFence the next fence to assign, as in that record.
    void onStored(fence_number nextFence);

    /// @return the present ownership record of the service.
    ownership_record record() const;

    /// To be called at an interval of at least twice the longest time between two steps.
    /// @return whether no step was completed since the last call but one, or steps go on failing.
    bool isStalled();

private:
    /// Receives the outcome of an order, and the state reference that a release returned.
    using order_handler = std::function<void(order_result, const std::string &)>;

    /// An order that has been issued; it ends with its answer or its timeout.
    struct pending_order {
        explicit pending_order(boost::asio::io_context &context)
            : timer(context)
        { }

        boost::asio::steady_timer timer;
        std::shared_ptr<client_connection> connection;
        order_handler done; ///< Empty once the order has ended.
    };
    using order_pointer = std::shared_ptr<pending_order>;

    void advanceAll();
    void noteStep(bool isCompleted, instant now);
    void advanceKeys(instant now);
    void updateOwners(instant now);
    void deliver(const dispatch_decisions &decisions);
    void schedule();
    void sendOrders();
    void sendNextGrant(const target_id &target);
    void onGrantDone(const target_id &target, order_result outcome);
    void sendRelease(const release_order &release);
    bool noteHandover(const std::string &handover);
    order_pointer beginOrder(std::chrono::milliseconds timeout, order_handler done);
    static void finish(const order_pointer &order, order_result outcome,
                       const std::string &handover = {});
    void finishLater(const order_pointer &order, order_result outcome);
    void call(const target_entry &entry, const order_pointer &order, http_call request);
    void connect(const target_entry &entry, const order_pointer &order);
    void advanceKeysSoon();
    void reportKeys();
    void reportColdTargets(instant now);

    environment m_environment;
    service_name m_name;
    ownership_record m_record;
    key_map m_owners;
    service_dispatcher m_dispatcher;
    std::optional<key_coordinator> m_keyCoordinator;
    target_connection_pool m_controlPool;
    std::deque<std::string> m_handovers; ///< Those of the last releases, oldest first.
    std::map<target_id, std::deque<grant_order>> m_grantQueues; ///< The first one is being sent.
    std::deque<target_id> m_targetsToGrant;     ///< Those whose first grant is not being sent yet.
    std::deque<release_order> m_unsentReleases; ///< In the order of issue.
    std::deque<dispatch_decision> m_undelivered;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_ownersRevision = 0;
    std::uint64_t m_reportedMoves = 0;
    std::uint64_t m_reportedHeldBack = 0;
    std::size_t m_reportedColdTargets = 0;
    instant m_nextReport{};
    instant m_nextOwnersUpdate{};
    instant m_nextTargetUpdate{};
    instant m_nextKeyAdvance{};
    instant m_timerDue = instant::max();
    instant m_notBefore{};         ///< Earliest time of the next step, after one that failed.
    std::uint64_t m_stepCount = 0; ///< Steps that were completed.
    std::uint64_t m_checkedStepCount = 0;
    std::uint32_t m_checksWithoutStep = 0;
    instant m_failingSince{}; ///< First of the failed steps; zero if the last one is long ago.
    instant m_lastFailure{};
    bool m_isAuthorityExpired = false;
    bool m_isAdvancing = false;
    std::shared_ptr<bool> m_isAlive;
};

} // namespace clementinebeam
