#include "internal/targetqueue.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Flows whose finish times are kept while no request waits.
constexpr std::size_t MAX_IDLE_FLOWS = 1000;

} // namespace

target_queue::target_queue(std::uint32_t maxConcurrency, std::uint32_t maxWaiting)
    : m_limit(maxConcurrency)
    , m_maxWaiting(maxWaiting)
{ }

void target_queue::setLimits(std::uint32_t maxConcurrency, std::uint32_t maxWaiting)
{
    const ordered_lock lock(m_mutex);
    m_limit.setMaxLimit(maxConcurrency);
    m_maxWaiting = maxWaiting;
}

std::error_code target_queue::acquire(const flow_id &flow, double share, instant deadline)
{
    ordered_lock lock(m_mutex);
    if (m_waiting.empty() && m_running < m_limit.value()) {
        ++m_running;
        return {};
    }
    if (boot_clock::now() + expectedWait() >= deadline)
        return error_kind::Overloaded;
    if (m_waiting.size() >= m_maxWaiting && !evictFromLongestFlow(flow))
        return error_kind::Overloaded;
    waiter self;
    self.flow = flow;
    auto &last = m_lastFinish[flow];
    self.finish = std::max(m_virtualTime, last) + 1.0 / share;
    last = self.finish;
    m_waiting.push_back(&self);
    ++m_waitingByFlow[flow];
    admitNext();
    const auto wait = deadline - boot_clock::now();
    self.wake.wait_for(lock, wait, [&self] { return self.admitted || self.evicted; });
    if (self.admitted)
        return {};
    if (!self.evicted)
        removeWaiter(&self);
    return error_kind::Overloaded;
}

std::chrono::microseconds target_queue::expectedWait() const
{
    const auto ahead = static_cast<std::int64_t>(m_waiting.size()) + 1;
    return m_limit.meanDuration() * ahead / m_limit.value();
}

std::size_t target_queue::waitingOf(const flow_id &flow) const
{
    const auto found = m_waitingByFlow.find(flow);
    return found == m_waitingByFlow.end() ? 0 : found->second;
}

/// Refuses the newest waiting request of the flow with the most waiting requests, if these are more
/// than the given flow would have with the new one. Returns whether a request was refused.
bool target_queue::evictFromLongestFlow(const flow_id &flow)
{
    const auto longest = std::max_element(
            m_waitingByFlow.begin(), m_waitingByFlow.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
    if (longest == m_waitingByFlow.end() || longest->second <= waitingOf(flow) + 1)
        return false;
    const auto victim = std::find_if(m_waiting.rbegin(), m_waiting.rend(), [&](const waiter *item) {
        return item->flow == longest->first;
    });
    auto *evicted = *victim;
    removeWaiter(evicted);
    evicted->evicted = true;
    evicted->wake.notify_one();
    return true;
}

void target_queue::removeWaiter(waiter *item)
{
    m_waiting.remove(item);
    const auto count = m_waitingByFlow.find(item->flow);
    if (--count->second == 0)
        m_waitingByFlow.erase(count);
}

void target_queue::admitNext()
{
    while (!m_waiting.empty() && m_running < m_limit.value()) {
        const auto next = std::min_element(m_waiting.begin(), m_waiting.end(),
                                           [](const waiter *left, const waiter *right) {
                                               return left->finish < right->finish;
                                           });
        auto *item = *next;
        removeWaiter(item);
        m_virtualTime = std::max(m_virtualTime, item->finish);
        ++m_running;
        item->admitted = true;
        item->wake.notify_one();
    }
    if (m_waiting.empty() && m_lastFinish.size() > MAX_IDLE_FLOWS)
        m_lastFinish.clear();
}

void target_queue::releaseAnswered(std::chrono::microseconds duration)
{
    const ordered_lock lock(m_mutex);
    m_limit.noteAnswer(duration, m_running >= m_limit.value());
    --m_running;
    admitNext();
}

void target_queue::releaseOverloaded()
{
    const ordered_lock lock(m_mutex);
    m_limit.noteOverload();
    --m_running;
    admitNext();
}

void target_queue::release()
{
    const ordered_lock lock(m_mutex);
    --m_running;
    admitNext();
}

std::size_t target_queue::waitingCount()
{
    const ordered_lock lock(m_mutex);
    return m_waiting.size();
}

} // namespace clementinebeam
