#include "virtualnetwork.h"

#include <cmath>
#include <utility>

namespace clementinebeam::model {

namespace {

constexpr double DUPLICATE_SHARE = 0.02;
constexpr double LATE_MESSAGE_SHARE = 0.01;
constexpr std::int64_t MAX_LATE_DELAY_MS = 4000;

} // namespace

instant virtual_network::clockOf(const virtual_process &process) const
{
    const auto elapsed = static_cast<double>(m_now.time_since_epoch().count());
    return instant(boot_clock::duration(static_cast<std::int64_t>(elapsed * process.clockRate)));
}

std::chrono::milliseconds virtual_network::randomMillis(std::int64_t least, std::int64_t most)
{
    return std::chrono::milliseconds(
            least
            + static_cast<std::int64_t>(randomBelow(static_cast<std::size_t>(most - least + 1))));
}

void virtual_network::schedule(boot_clock::duration delay, action work)
{
    m_events.push({m_now + delay, m_nextOrder++, std::move(work)});
}

void virtual_network::after(virtual_process &process, boot_clock::duration delay, action work)
{
    schedule(delay, [this, &process, generation = process.generation, work = std::move(work)] {
        runOn(process, generation, work);
    });
}

void virtual_network::runOn(virtual_process &process, std::uint64_t generation, const action &work)
{
    if (!process.isUp || process.generation != generation)
        return;
    if (process.isPaused)
        process.heldBack.emplace_back(generation, work);
    else
        work();
}

boot_clock::duration virtual_network::randomDelay()
{
    constexpr double MEAN_DELAY_US = 800.0;
    const double microseconds = 300.0 - MEAN_DELAY_US * std::log(1.0 - uniform());
    if (uniform() < LATE_MESSAGE_SHARE && m_lossRate > 0.0)
        return randomMillis(50, MAX_LATE_DELAY_MS);
    return boot_clock::duration(static_cast<std::int64_t>(microseconds));
}

void virtual_network::send(virtual_process &from, virtual_process &to, action deliver)
{
    const auto link = linkKey(from.name, to.name);
    if (m_cuts.contains(link) || uniform() < m_lossRate)
        return;
    const int copies = m_lossRate > 0.0 && uniform() < DUPLICATE_SHARE ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        // A message that was sent before the receiver restarted is delivered to the restarted
        // process.
        schedule(randomDelay(), [this, &to, link, deliver] {
            if (!m_cuts.contains(link))
                runOn(to, to.generation, deliver);
        });
    }
}

void virtual_network::runUntil(instant end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.work();
    }
    m_now = end;
}

void virtual_network::resume(virtual_process &process)
{
    process.isPaused = false;
    for (const auto &[generation, work] : std::exchange(process.heldBack, {}))
        runOn(process, generation, work);
}

void virtual_network::stop(virtual_process &process)
{
    process.isUp = false;
    process.isPaused = false;
    process.heldBack.clear();
    ++process.generation;
}

void virtual_network::restart(virtual_process &process)
{
    process.isUp = true;
}

} // namespace clementinebeam::model
