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

/// Everything that this instance keeps for one shard.
struct shard_entry {
    shard_entry(const shard_id &shard, const incarnation_id &self, const daemon_settings &settings,
                const service_settings &service, std::uint64_t randomSeed);

    shard_controller controller;
    ledger_keeper keeper;
    load_collector load;
    bool checksGrants = true;
    std::string policy;
    std::map<target_id, grant_proxy> proxies; ///< Of the term in proxyTerm.
    term_number proxyTerm = 0;
};

/// All shards; one lock guards them all.
class shard_table
{
public:
    /// @param self this process.
    /// @param settings the daemon's settings.
    /// @param randomSeed seed for record ids.
    shard_table(incarnation_id self, const daemon_settings &settings, std::uint64_t randomSeed);

    /// Adds and updates shards after a change of the configuration or the instance list.
    /// @param configuration the configuration in force.
    /// @param listings the newest instance list.
    /// @param now the current time.
    void update(const routing_configuration &configuration, const std::vector<listing> &listings,
                instant now);

    /// @return the mutex that guards all that this table returns.
    ordered_mutex &mutex() const { return m_mutex; }

    /// @param shard a shard.
    /// @return its entry, or null. The mutex is held.
    shard_entry *find(const shard_id &shard);

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
