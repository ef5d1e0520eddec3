#pragma once

#include "clementinebeam/kernel/iclock.h"
#include "clementinebeam/ownership/ownershipreplay.h"
#include "internal/admissionservice.h"
#include "virtualnetwork.h"

#include <memory>

namespace clementinebeam::model {

class model_system;

/// Clock of one simulated process.
class virtual_clock : public i_clock
{
public:
    virtual_clock(const virtual_network &network, const virtual_process &process)
        : m_network(network)
        , m_process(process)
    { }

    instant now() const override { return m_network.clockOf(m_process); }
    wall_time wall() const override;

private:
    const virtual_network &m_network;
    const virtual_process &m_process;
};

/// A simulated instance: runs the production code of the shard table, the replay and the admission
/// service on the virtual network.
class model_instance
{
public:
    model_instance(model_system &system, std::size_t index, const daemon_settings &settings);

    /// Starts the process with a new incarnation and without state.
    void start();

    /// Hands leadership over to the standby, as in a graceful stop.
    void beginStop();

    virtual_process process;
    shard_table &shards() { return *m_shards; }
    admission_service &admissions() { return *m_admissions; }
    const ownership_replay &replay() const { return m_replay; }
    const incarnation_id &self() const { return m_self; }
    instant now() const { return m_clock->now(); }

    void handleMessage(const incarnation_id &from, const coordination_message &message);
    void handleRequest(const incarnation_id &from, const peer_message &message,
                       peer_responder respond);

private:
    void tickLoop();
    void readLoop();
    void applyRead(instant readStart, log_offset from,
                   const std::vector<ownership_record> &records);
    void run(const action_list &actions);
    void sendControl(const target_action &action);

    model_system &m_system;
    std::size_t m_index;
    daemon_settings m_settings;
    incarnation_id m_self;
    std::shared_ptr<virtual_clock> m_clock;
    std::unique_ptr<shard_table> m_shards;
    std::unique_ptr<admission_service> m_admissions;
    ownership_replay m_replay;
};

} // namespace clementinebeam::model
