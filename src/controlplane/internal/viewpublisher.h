#pragma once

#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/ownership/ownershipreplay.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace clementinebeam {

/// Makes routing views from the replays and hands out the newest one.
class view_publisher : public i_routing_table
{
public:
    /// Makes a view; the replays must not change meanwhile.
    /// @param configuration the configuration in force.
    /// @param ownership replay of the ownership stream.
    /// @return a view without a serial.
    static std::shared_ptr<routing_view>
    makeView(std::shared_ptr<const configuration_snapshot> configuration,
             const ownership_replay &ownership);

    /// Gives a view its serial and makes it the newest one.
    void publish(std::shared_ptr<routing_view> next);

    std::shared_ptr<const routing_view> view() const override { return m_view.load(); }
    void waitForNewer(std::uint64_t serial, instant until) const override;

private:
    std::atomic<std::shared_ptr<const routing_view>> m_view;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
};

} // namespace clementinebeam
