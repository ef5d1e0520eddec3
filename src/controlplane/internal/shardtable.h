#pragma once

#include "clementinebeam/configuration/configurationreplay.h"
#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/coordination/shardcontroller.h"
#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/nativelog/nativelogtypes.h"
#include "clementinebeam/targets/grantproxy.h"
#include "internal/ledgerkeeper.h"
#include "internal/loadcollector.h"

#include <map>
#include <memory>

namespace clementinebeam {

/// State of one shard on this instance.
struct shard_entry {
    shard_entry(const shard_id &shard, const incarnation_id &self, const daemon_settings &settings,
                const service_settings &service, std::uint64_t randomSeed);

    shard_controller controller;
    ledger_keeper keeper;
    load_collector load;
    bool checksGrants = true;
    std::string policy;
    std::map<target_id, grant_proxy> proxies; ///< Valid in the term proxyTerm only.
    term_number proxyTerm = 0;
};

/// All shards of the configured services, guarded by one mutex.
class shard_table
{
public:
    /// @param self this process.
    /// @param settings the daemon's settings.
    /// @param randomSeed seed for record ids.
    shard_table(incarnation_id self, const daemon_settings &settings, std::uint64_t randomSeed);

    /// Adds, updates and removes shards after a change of the configuration or the instance list.
    /// Locks the mutex.
    /// @param configuration the configuration in force.
    /// @param listings the newest instance list.
    /// @param now the current time.
    void update(const routing_configuration &configuration, const std::vector<listing> &listings,
                instant now);

    /// @return the mutex that guards all entries.
    ordered_mutex &mutex() const { return m_mutex; }

    /// The caller holds the mutex.
    /// @param shard a shard.
    /// @return its entry, or null if the shard is not configured.
    shard_entry *find(const shard_id &shard);

    /// The caller holds the mutex.
    /// @return all entries by shard.
    std::map<shard_id, std::unique_ptr<shard_entry>> &entries() { return m_entries; }

private:
    void updateService(const service_name &name, const service_settings &service,
                       const std::vector<listing> &listings,
                       const std::vector<instance_view> &instances, instant now);

    incarnation_id m_self;
    daemon_settings m_settings;
    random_source m_random;
    mutable ordered_mutex m_mutex{lock_rank::ShardTable};
    std::map<shard_id, std::unique_ptr<shard_entry>> m_entries;
};

} // namespace clementinebeam
