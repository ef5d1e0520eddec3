#include "internal/shardtable.h"

#include "clementinebeam/assignment/policycatalogue.h"

namespace clementinebeam {

shard_entry::shard_entry(const shard_id &shard, const incarnation_id &self,
                         const daemon_settings &settings, const service_settings &service,
                         std::uint64_t randomSeed)
    : controller(shard, self, settings.coordination,
                 policy_catalogue::instance().create(service.policy, service.limits), randomSeed)
    , keeper(self, settings)
    , checksGrants(service.checksGrants)
    , policy(service.policy)
{ }

shard_table::shard_table(incarnation_id self, const daemon_settings &settings,
                         std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(randomSeed)
{ }

shard_entry *shard_table::find(const shard_id &shard)
{
    const auto found = m_entries.find(shard);
    return found == m_entries.end() ? nullptr : found->second.get();
}

void shard_table::update(const routing_configuration &configuration,
                         const std::vector<listing> &listings, instant now)
{
    std::vector<instance_view> instances;
    for (const auto &entry : listings) {
        if (entry.role == listed_role::Instance)
            instances.push_back({entry.id, entry.dataCentre, entry.leaving});
    }
    const ordered_lock lock(m_mutex);
    for (const auto &[name, service] : configuration.services)
        updateService(name, service, listings, instances, now);
    std::erase_if(m_entries, [&](const auto &item) {
        return !configuration.services.contains(item.first.service);
    });
}

void shard_table::updateService(const service_name &name, const service_settings &service,
                                const std::vector<listing> &listings,
                                const std::vector<instance_view> &instances, instant now)
{
    for (std::uint32_t index = 0; index < service.shards; ++index) {
        const shard_id shard{name, index};
        auto &entry = m_entries[shard];
        if (!entry)
            entry = std::make_unique<shard_entry>(shard, m_self, m_settings, service, m_random());
        if (entry->policy != service.policy) {
            entry->controller.setPolicy(
                    policy_catalogue::instance().create(service.policy, service.limits));
            entry->policy = service.policy;
        }
        entry->checksGrants = service.checksGrants;
        std::vector<slot_index> slots;
        for (slot_index slot = index; slot < service.slots; slot += service.shards)
            slots.push_back(slot);
        std::vector<listed_target> targets;
        for (const auto &item : listings) {
            const bool isTargetOfShard = item.role == listed_role::Target && item.service == name
                    && service.shardOfTarget(item.id) == index;
            if (isTargetOfShard)
                targets.push_back({item.id, item.dataCentre, item.leaving,
                                   service.drained.contains(item.id)});
        }
        entry->controller.setInstances(instances);
        entry->controller.setSlots(std::move(slots));
        entry->controller.setTargets(std::move(targets), now);
    }
}

} // namespace clementinebeam
