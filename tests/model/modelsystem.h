#pragma once

#include "clementinebeam/targets/itargetclient.h"
#include "leaseholder.h"
#include "modelinstance.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace clementinebeam::model {

/// What a run is made of.
struct model_options {
    std::uint64_t seed = 1;
    std::size_t instances = 4;
    std::size_t targets = 3;
    slot_index slots = 6;
    std::chrono::milliseconds faultTime{20000};
    std::chrono::milliseconds healTime{14000};
    double lossRate = 0.02;
    double clockDrift = 0.0005; ///< Each clock's rate differs from 1 by up to this.
    std::chrono::milliseconds targetLeaseError{0}; ///< Targets keep leases longer than told.
    bool breaksIsolationLimit =
            false; ///< Leaders keep their right for longer than the others think.
};

/// One target: the lease contract, and executions of non-idempotent requests.
struct model_target {
    target_id id;
    virtual_process process;
    std::unique_ptr<lease_holder> leases;
    std::map<slot_index, int> running;
};

/// What happened to one request id.
struct model_request {
    std::string id;
    slot_index slot = 0;
    int copies = 0;
    int executions = 0;
    int answers = 0;
    int notRunAnswers = 0;
    int unknownAnswers = 0;
};

/// A whole system in virtual time, with checks of what must always hold.
class model_system
{
public:
    explicit model_system(const model_options &options);

    /// Runs the faults of the seed, heals everything, and checks.
    void run();

    /// @return what was violated; empty if nothing.
    const std::vector<std::string> &violations() const { return m_violations; }

    const std::vector<model_request> &requests() const { return m_requests; }

    // Used by the instances.
    virtual_network network;
    static const shard_id SHARD;
    const model_options options;
    std::vector<std::unique_ptr<model_instance>> instances;
    std::vector<std::unique_ptr<model_target>> targets;
    virtual_process log{"log"};
    bool isLogDown = false;

    void append(const ownership_record &record);

    /// Prints a line if the environment names MODEL_TRACE.
    void trace(const std::string &text) const;
    const std::vector<ownership_record> &records() const { return m_log; }
    model_instance *findInstance(const instance_id &id);
    model_target *findTarget(const target_id &id);
    control_reply applyControl(model_target &target, control_request request);
    void checkReplay(log_offset offset, const shard_state &state);

private:
    struct copy_state {
        std::size_t request = 0;
        std::size_t instance = 0;
        std::uint64_t token = 0;
        instant deadline{}; ///< On the true clock.
        bool isDone = false;
    };

    void startTarget(model_target &target);
    void scheduleFaults();
    void injectFault();
    void faultProcess(virtual_process &process, action restart);
    void cutSome();
    void healAll();
    void checkOwners();
    void checkServed();
    void checkRequests();
    void violate(const std::string &text);

    void scheduleRequests();
    void newRequest();
    void sendCopy(std::size_t request);
    void askLeader(const std::shared_ptr<copy_state> &copy);
    void onAdmission(const std::shared_ptr<copy_state> &copy, const result<peer_message> &reply);
    void execute(const std::shared_ptr<copy_state> &copy, const admit_reply &permit);
    void runOnTarget(const std::shared_ptr<copy_state> &copy, const admit_reply &permit,
                     model_target &target, const std::function<void(bool)> &answer);
    void report(const std::shared_ptr<copy_state> &copy, const admit_reply &permit,
                ledger_state state);
    void retryOrEnd(const std::shared_ptr<copy_state> &copy);
    void endCopy(const std::shared_ptr<copy_state> &copy, ledger_state state);

    std::vector<ownership_record> m_log;
    std::map<log_offset, std::string> m_replayed;
    std::vector<model_request> m_requests;
    std::vector<std::string> m_violations;
    bool m_faultsOn = true;
};

} // namespace clementinebeam::model
