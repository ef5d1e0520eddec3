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

/// Options of a simulation run.
struct model_options {
    std::uint64_t seed = 1;
    std::size_t instances = 4;
    std::size_t targets = 3;
    slot_index slots = 6;
    std::chrono::milliseconds faultDuration{20000};
    std::chrono::milliseconds recoveryDuration{14000};
    double lossRate = 0.02;
    double clockDrift = 0.0005;                    ///< Largest difference of a clock's rate from 1.
    std::chrono::milliseconds addedTargetLease{0}; ///< Time by which targets exceed their leases.
    bool breaksIsolationLimit =
            false; ///< Leaders act without confirmation for longer than other instances assume.
};

/// A simulated target: its leases, and the non-idempotent requests that it is running.
struct model_target {
    target_id id;
    virtual_process process;
    std::unique_ptr<lease_holder> leases;
    std::map<slot_index, int> running; ///< Number of running requests by slot.
};

/// The copies of one request, which have the same request id, and their outcomes.
struct model_request {
    std::string id;
    slot_index slot = 0;
    int copies = 0;     ///< Number of copies that were sent.
    int executions = 0; ///< How often targets ran the request; more than 1 is a violation.
    int answers = 0;
    int notRunAnswers = 0;
    int unknownAnswers = 0;
};

/// Simulates instances, targets and the log in virtual time and checks the invariants of the
/// system.
class model_system
{
public:
    explicit model_system(const model_options &options);

    /// Injects the faults that the seed determines, ends them all, waits for the recovery, and
    /// checks the result.
    void run();

    /// @return a description of each violated invariant.
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

    /// Appends a record to the log.
    void append(const ownership_record &record);

    /// Prints a line with the virtual time if the environment variable MODEL_TRACE is set.
    void trace(const std::string &text) const;
    const std::vector<ownership_record> &records() const { return m_log; }
    model_instance *findInstance(const instance_id &id);
    model_target *findTarget(const target_id &id);

    /// Applies a control message to a target, and checks that no slot has two owners.
    control_reply applyControl(model_target &target, control_request request);

    /// Checks that all instances replay the records up to an offset to the same state.
    void checkReplay(log_offset offset, const shard_state &state);

private:
    struct request_copy {
        std::size_t request = 0;
        std::size_t instance = 0;
        std::uint64_t token = 0;
        instant deadline{}; ///< On the reference clock of the network.
        bool isDone = false;
    };

    void startTarget(model_target &target);
    void scheduleFaults();
    void injectFault();
    void pauseOrStop(virtual_process &process, action restart);
    void cutLinks();
    void healAll();
    void checkOwners();
    void checkServed();
    void checkRequests();
    void addViolation(const std::string &text);

    void scheduleRequests();
    void newRequest();
    void sendRequestCopy(std::size_t request);
    void askLeader(const std::shared_ptr<request_copy> &copy);
    void onAdmission(const std::shared_ptr<request_copy> &copy, const result<peer_message> &reply);
    void execute(const std::shared_ptr<request_copy> &copy, const admit_reply &permit);
    void runOnTarget(const std::shared_ptr<request_copy> &copy, const admit_reply &permit,
                     model_target &target, const std::function<void(bool)> &answer);
    void report(const std::shared_ptr<request_copy> &copy, const admit_reply &permit,
                ledger_state state);
    void retryOrEnd(const std::shared_ptr<request_copy> &copy);
    void finishRequestCopy(const std::shared_ptr<request_copy> &copy, ledger_state state);

    std::vector<ownership_record> m_log;
    std::map<log_offset, std::string> m_stateByOffset;
    std::vector<model_request> m_requests;
    std::vector<std::string> m_violations;
    bool m_faultsOn = true;
};

} // namespace clementinebeam::model
