#pragma once

#include "clementinebeam/dispatch/servicedispatcher.h"
#include "clementinebeam/keyspace/keycoordinator.h"
#include "clementinebeam/keyspace/keymap.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace clementinebeam {

/// A target of the model: runs a few requests at a time and queues the others.
struct model_target {
    target_id id;
    double speed = 1.0; ///< Factor by which it is faster than a target of speed 1.
};

/// A spell in which one key, or some next to one another, get a share of the requests.
struct hot_spell {
    std::chrono::milliseconds begin{0};
    std::chrono::milliseconds end{0};
    key_number key = 0;
    double share = 0.0;
    key_number keys = 1; ///< Number of keys.
};

/// A period in which some targets are slower.
struct slow_spell {
    std::chrono::milliseconds begin{0};
    std::chrono::milliseconds end{0};
    std::size_t targets = 0; ///< The first ones in the order of their names.
    double factor = 1.0;     ///< Multiplies their service times.
};

/// A spell in which some targets are cold, and with that twice as slow.
struct cold_spell {
    std::chrono::milliseconds begin{0};
    std::chrono::milliseconds end{0};
    std::size_t targets = 0; ///< The first ones in the order of their names.
};

/// Load pattern of a keyed service.
struct load_pattern {
    std::vector<model_target> targets;
    std::uint32_t slots = 2; ///< Requests that each target runs at a time.
    double requestsPerSecond = 100.0;
    std::chrono::milliseconds duration{20000};
    /// Mean service time of a request at a target of speed 1; log-normal with @ref workSpread.
    std::chrono::milliseconds work{130};
    double workSpread = 0.7;
    /// Share of the requests whose keys lie in a narrow part of the key space.
    double clusteredShare = 0.0;
    key_range cluster{38000, 42000};
    std::vector<hot_spell> spells;
    std::vector<slow_spell> slowSpells;
    /// Period in which some targets answer all requests with an error at once.
    slow_spell faultySpell;
    cold_spell coldSpell;
    std::optional<warm_up_limit> warmUpLimit;
    std::chrono::milliseconds objective{400};
    std::chrono::milliseconds deadline{1000};
    /// Whether a rejected caller returns once after the proposed delay.
    bool callersReturn = true;
    /// Times at which the coordinator is replaced by one that knows only the stored record.
    std::vector<std::chrono::milliseconds> takeovers;
};

/// Outcome of the requests that callers first sent within one time slice.
struct load_outcome {
    int requests = 0;
    int onTime = 0;
    int late = 0;
    int unserved = 0;
    int rejectedAgain = 0; ///< Rejected after the caller had returned once.

    double unservedShare() const { return requests == 0 ? 0.0 : 1.0 * unserved / requests; }
    /// @return the mean credit: 1 for an answer in time, 0.3 for a late one.
    double credit() const { return requests == 0 ? 1.0 : (onTime + 0.3 * late) / requests; }
    double onTimeShare() const { return requests == 0 ? 1.0 : 1.0 * onTime / requests; }
    void add(const load_outcome &other);
};

/// Plays a load pattern against the dispatcher and the key coordinator of one service in virtual
/// time. Orders to targets and store calls take a few milliseconds and always succeed.
class load_model
{
public:
    load_model(load_pattern pattern, std::uint64_t seed);

    /// Plays the whole pattern.
    void run();

    /// @return the outcome of the requests of a period.
    load_outcome outcome(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /// @return the outcome of the requests for one key in a period.
    load_outcome outcome(std::chrono::milliseconds from, std::chrono::milliseconds to,
                         key_number key) const;

    /// @return the target that owns a key at the end.
    target_id ownerOf(key_number key) const { return m_owners.ownerOf(key); }

    /// @return the keys that were released, as a multiple of all keys.
    double movedShare() const;

    /// @return the same for a period.
    double movedShare(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /// @return the most requests that were placed on a cold target within a second.
    std::size_t mostAtColdTarget() const;

    /// @return how often a key was released by its owner in a period.
    std::size_t moveCount(key_number key, std::chrono::milliseconds from,
                          std::chrono::milliseconds to) const;

private:
    using action = std::function<void()>;

    struct event {
        instant time;
        std::uint64_t order;
        action run;
        bool operator<(const event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };

    struct caller_request {
        instant sent;
        key_number key = 0;
        bool hasReturned = false;
        enum class state { Open, OnTime, Late, Unserved } end = state::Open;
        bool isRejectedAgain = false;
    };

    struct queued_run {
        request_token token = 0;
        instant received;
    };

    struct target_state {
        double speed = 1.0;
        std::uint32_t running = 0;
        std::map<request_token, key_number> keys; ///< Requests at the target.
        std::deque<queued_run> queue;
    };

    struct placed_request {
        std::size_t caller = 0;
        target_id target;
        instant sentAt;
    };

    void at(instant time, action run);
    void scheduleArrival();
    void arrive();
    key_number randomKey();
    void send(std::size_t caller);
    void decide(const dispatch_decisions &decisions);
    void startRuns(target_state &target, const target_id &id);
    std::size_t positionOf(const target_id &id) const;
    bool isCold(const target_id &id) const;
    bool isFaulty(const target_id &id) const;
    double slownessOf(const target_id &id) const;
    void finishRun(const target_id &id, request_token token, run_result result);
    void conclude(const placed_request &placed, run_result result);
    void advance();
    void advanceKeys();
    void release(const release_order &order);
    void takeOver();
    void updateHolders();
    load_outcome count(std::chrono::milliseconds from, std::chrono::milliseconds to,
                       const std::function<bool(const caller_request &)> &isCounted) const;

    load_pattern m_pattern;
    std::mt19937_64 m_random;
    instant m_now;
    instant m_start;
    std::priority_queue<event> m_events;
    std::uint64_t m_nextOrder = 0;
    request_token m_nextToken = 1;
    std::map<target_id, target_state> m_targets;
    std::vector<caller_request> m_callers;
    std::map<request_token, std::size_t> m_waiting;
    std::map<request_token, placed_request> m_placed;
    key_map m_owners;
    std::unique_ptr<service_dispatcher> m_dispatcher;
    std::unique_ptr<key_coordinator> m_coordinator;
    std::vector<std::pair<instant, key_range>> m_released; ///< All releases.
    std::map<target_id, std::vector<instant>> m_placedOnCold;
    std::uint64_t m_generation = 0; ///< Of the coordinator; its orders end with it.
    bool m_isAdvanceScheduled = false;
};

} // namespace clementinebeam
