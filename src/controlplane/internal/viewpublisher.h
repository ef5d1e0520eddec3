#pragma once

#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/ownership/ownershipreplay.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace clementinebeam {

/// Builds routing views from the replays and publishes the newest one.
class view_publisher : public i_routing_table
{
public:
    /// Builds a view. The caller holds the mutex that guards the replays.
    /// @param configuration the configuration in force.
    /// @param ownership replay of the ownership stream.
    /// @return the view; publish() sets its serial.
    static std::shared_ptr<routing_view>
    makeView(std::shared_ptr<const configuration_snapshot> configuration,
             const ownership_replay &ownership);

    /// Sets the serial of a view, makes it the newest one and wakes waiting threads.
    /// @param next the view; not to be changed afterwards.
    void publish(std::shared_ptr<routing_view> next);

    std::shared_ptr<const routing_view> view() const override { return m_view.load(); }
    void waitForNewer(std::uint64_t serial, instant until) const override;

private:
    std::atomic<std::shared_ptr<const routing_view>> m_view;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
};

} // namespace clementinebeam
