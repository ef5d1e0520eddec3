#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/result.h"
#include "historychecker.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace clementinebeam::test {

/// A system of daemon, platform and target processes on the loopback interface. The destructor
/// kills all processes and removes their files.
class cluster
{
public:
    cluster();
    ~cluster();
    cluster(const cluster &) = delete;
    cluster &operator=(const cluster &) = delete;

    /// Starts an instance and puts it on the instance list.
    /// @param number number of the instance, from 1.
    void startInstance(std::size_t number);
    /// Starts a target stand-in and puts it on the instance list.
    /// @param number number of the target, from 1.
    /// @param flags additional command-line flags.
    void startTarget(std::size_t number, const std::vector<std::string> &flags = {});

    /// Sends a signal to a process.
    /// @param name "platform", "i<number>" or "t<number>".
    /// @param signal signal number; SIGKILL and SIGTERM also wait for the end of the process.
    /// @return the wait status of waitpid() after SIGKILL and SIGTERM, else 0.
    int signalProcess(const std::string &name, int signal);

    /// @param name as in signalProcess().
    /// @return the id of a process that was started.
    pid_t processId(const std::string &name) const { return m_processes.at(name); }

    /// Sets faults of the platform stand-in; see platform_faults.
    void setFaults(const nlohmann::json &faults);
    /// Changes whether a target drains, and its service time.
    void setBehaviour(std::size_t target, const nlohmann::json &behaviour);
    /// Puts a target on the instance list as leaving.
    void listLeaving(std::size_t target);

    /// Sends a request to an instance's operator interface.
    result<http_response> sendOperatorRequest(std::size_t instance, const std::string &method,
                                              const std::string &path,
                                              const std::string &query = {},
                                              const std::string &body = {});

    /// @return an instance's status document, or null if it does not answer.
    nlohmann::json status(std::size_t instance);

    /// @return the slots and their owners in the view of an instance, or null if it does not
    /// answer.
    nlohmann::json slots(std::size_t instance);

    /// @return the number of the leader in the view of an instance; 0 if there is none.
    std::size_t leader(std::size_t queriedInstance);
    /// @return the number of the standby in the view of an instance; 0 if there is none.
    std::size_t standby(std::size_t queriedInstance);

    /// Submits a configuration patch.
    /// @param base configuration version that the patch is based on.
    /// @return the HTTP status; 0 without an answer.
    int patch(std::size_t instance, std::uint64_t base, const nlohmann::json &document);

    /// Waits until a condition holds.
    /// @return false if it still does not hold at the limit.
    bool waitFor(const std::function<bool()> &condition,
                 std::chrono::milliseconds limit = std::chrono::milliseconds(20000));

    /// Waits until an instance names a leader and a standby, and that leader reports itself as the
    /// leader and all slots as served.
    /// @return false if that does not happen within the default limit of waitFor().
    bool waitUntilServed(std::size_t queriedInstance);

    /// @return the address of an instance's listener for callers.
    network_address callerAddress(std::size_t instance) const;

    /// Adds the events of the history files of all targets.
    void loadHistories(history::history &events) const;

    static constexpr const char *SERVICE = "orders";

private:
    void start(const std::string &name, const std::vector<std::string> &arguments);
    void putListing(const std::string &id, const nlohmann::json &listing);
    http_response sendRequest(const network_address &address, const std::string &method,
                              const std::string &path, const std::string &body);

    std::string m_folder;
    std::map<std::string, pid_t> m_processes;
};

} // namespace clementinebeam::test
