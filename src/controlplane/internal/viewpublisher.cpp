#include "internal/viewpublisher.h"

namespace clementinebeam {

std::shared_ptr<routing_view>
view_publisher::makeView(std::shared_ptr<const configuration_snapshot> configuration,
                         const ownership_replay &ownership)
{
    auto view = std::make_shared<routing_view>();
    view->configuration = std::move(configuration);
    for (const auto &[name, service] : view->configuration->routing.services) {
        auto &route = view->services[name];
        route.slots.resize(service.slots);
        route.shards.resize(service.shards);
        for (std::uint32_t index = 0; index < service.shards; ++index) {
            const auto *state = ownership.find({name, index});
            if (!state)
                continue;
            route.shards[index] = {state->term, state->leader.instance};
            for (slot_index slot = index; slot < service.slots && slot < state->slots.size();
                 slot += service.shards)
                route.slots[slot] = {state->slots[slot].owner, state->slots[slot].epoch};
        }
    }
    return view;
}

void view_publisher::publish(std::shared_ptr<routing_view> next)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto previous = m_view.load();
        next->serial = previous ? previous->serial + 1 : 1;
        m_view.store(std::move(next));
    }
    m_changed.notify_all();
}

void view_publisher::waitForNewer(std::uint64_t serial, instant until) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, until - boot_clock::now(), [&] {
        const auto current = m_view.load();
        return current && current->serial > serial;
    });
}

} // namespace clementinebeam
