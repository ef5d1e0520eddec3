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

/// A process in virtual time: it may be paused, stopped and restarted, and its clock drifts.
struct virtual_process {
    std::string name;
    double clockRate = 1.0;
    bool isUp = true;
    bool isPaused = false;
    std::uint64_t generation = 0; ///< Changes when the process restarts.
    std::deque<std::pair<std::uint64_t, action>> waiting{};
};

/// Events in virtual time, and messages that are lost, delayed, doubled and reordered.
class virtual_network
{
public:
    explicit virtual_network(std::uint64_t seed)
        : m_random(seed)
    { }

    instant now() const { return m_now; }

    /// @return the time that a process's own clock shows.
    instant clockOf(const virtual_process &process) const;

    /// Runs an action on a process after a delay on the true clock.
    void after(virtual_process &process, boot_clock::duration delay, action work);

    /// Runs an action after a delay, whatever happens to processes.
    void schedule(boot_clock::duration delay, action work);

    /// Carries a message that may be lost or doubled.
    void send(virtual_process &from, virtual_process &to, action deliver);

    /// Runs all events up to a time.
    void runUntil(instant end);

    void pause(virtual_process &process) { process.isPaused = true; }
    void resume(virtual_process &process);
    void stop(virtual_process &process);
    void restart(virtual_process &process);

    void cut(const std::string &left, const std::string &right) { m_cuts.insert(key(left, right)); }
    void heal(const std::string &left, const std::string &right) { m_cuts.erase(key(left, right)); }
    void healAll() { m_cuts.clear(); }

    /// @param lossRate share of messages that are lost; some others are doubled or very late.
    void setLossRate(double lossRate) { m_lossRate = lossRate; }

    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    std::size_t below(std::size_t end) { return static_cast<std::size_t>(m_random() % end); }
    std::chrono::milliseconds millis(std::int64_t least, std::int64_t most);

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

    using cut_key = std::pair<std::string, std::string>;

    static cut_key key(const std::string &left, const std::string &right)
    {
        return left < right ? cut_key(left, right) : cut_key(right, left);
    }

    void runOn(virtual_process &process, std::uint64_t generation, const action &work);
    boot_clock::duration drawDelay();

    random_source m_random;
    instant m_now{std::chrono::seconds(1000)};
    std::uint64_t m_nextOrder = 0;
    double m_lossRate = 0.0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::set<cut_key> m_cuts;
};

} // namespace clementinebeam::model
