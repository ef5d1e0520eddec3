#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/randomsource.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace clementinebeam::model {

using action = std::function<void()>;

/// A simulated process. It may be paused, stopped and restarted, and its clock drifts.
struct virtual_process {
    std::string name;
    double clockRate = 1.0; ///< Relative to the reference clock.
    bool isUp = true;
    bool isPaused = false;
    std::uint64_t generation = 0; ///< Changes when the process restarts.
    std::deque<std::pair<std::uint64_t, action>>
            heldBack{}; ///< Actions for when the pause ends, by generation.
};

/// An event queue in virtual time, and messages that may be lost, delayed, duplicated and
/// reordered.
class virtual_network
{
public:
    explicit virtual_network(std::uint64_t seed)
        : m_random(seed)
    { }

    /// @return the time of the reference clock, which does not drift.
    instant now() const { return m_now; }

    /// @return the time that a process's own clock shows.
    instant clockOf(const virtual_process &process) const;

    /// Runs an action on a process after a delay on the reference clock, unless the process was
    /// stopped meanwhile. If it is paused then, the action runs when it resumes.
    void after(virtual_process &process, boot_clock::duration delay, action work);

    /// Runs an action after a delay on the reference clock, regardless of the state of processes.
    void schedule(boot_clock::duration delay, action work);

    /// Sends a message, which may be lost, delayed or duplicated.
    /// @param from the sender.
    /// @param to the receiver.
    /// @param deliver runs on the receiver for each copy that arrives.
    void send(virtual_process &from, virtual_process &to, action deliver);

    /// Runs all events up to a time.
    void runUntil(instant end);

    void pause(virtual_process &process) { process.isPaused = true; }
    void resume(virtual_process &process);
    void stop(virtual_process &process);
    void restart(virtual_process &process);

    /// Blocks messages between two processes in both directions.
    void cut(const std::string &left, const std::string &right)
    {
        m_cuts.insert(linkKey(left, right));
    }

    /// Ends the blocking of messages between two processes.
    void heal(const std::string &left, const std::string &right)
    {
        m_cuts.erase(linkKey(left, right));
    }
    void healAll() { m_cuts.clear(); }

    /// @param lossRate share of messages that are lost, from 0 to 1. If it is above 0, some of the
    /// others are duplicated or delayed by up to 4 s.
    void setLossRate(double lossRate) { m_lossRate = lossRate; }

    /// @return a random number from 0 to 1, without 1.
    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }

    /// @return a random number from 0 to end, without end.
    std::size_t randomBelow(std::size_t end) { return static_cast<std::size_t>(m_random() % end); }

    /// @return a random duration from least to most, both in milliseconds and included.
    std::chrono::milliseconds randomMillis(std::int64_t least, std::int64_t most);

private:
    struct event {
        instant at;
        std::uint64_t order;
        action work;
        bool operator>(const event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    using link_key = std::pair<std::string, std::string>;

    static link_key linkKey(const std::string &left, const std::string &right)
    {
        return left < right ? link_key(left, right) : link_key(right, left);
    }

    void runOn(virtual_process &process, std::uint64_t generation, const action &work);
    boot_clock::duration randomDelay();

    random_source m_random;
    instant m_now{std::chrono::seconds(1000)};
    std::uint64_t m_nextOrder = 0;
    double m_lossRate = 0.0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::set<link_key> m_cuts;
};

} // namespace clementinebeam::model
