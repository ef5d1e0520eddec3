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

/// A whole system of real processes on the loopback interface; ends all of them when it is
/// destroyed.
class cluster
{
public:
    cluster();
    ~cluster();
    cluster(const cluster &) = delete;
    cluster &operator=(const cluster &) = delete;

    void startInstance(std::size_t number);
    void startTarget(std::size_t number, const std::vector<std::string> &flags = {});

    /// @param name "platform", "i<number>" or "t<number>".
    /// @param signal signal to send; after SIGKILL and SIGTERM the process is waited for.
    /// @return the exit status after SIGTERM, else 0.
    int signalProcess(const std::string &name, int signal);

    void setFaults(const nlohmann::json &faults);
    void setBehaviour(std::size_t target, const nlohmann::json &behaviour);
    void listLeaving(std::size_t target);

    /// Sends a JSON request to an instance's operator interface.
    result<http_response> operate(std::size_t instance, const std::string &method,
                                  const std::string &path, const std::string &query = {},
                                  const std::string &body = {});

    /// @return an instance's status document, or null.
    nlohmann::json status(std::size_t instance);

    /// @return slots with owners as an instance sees them.
    nlohmann::json slots(std::size_t instance);

    /// @return the number of the instance that leads, as another one sees it; 0 if there is none.
    std::size_t leader(std::size_t witness);
    std::size_t standby(std::size_t witness);

    /// Submits a patch.
    /// @return its HTTP status.
    int patch(std::size_t instance, std::uint64_t base, const nlohmann::json &document);

    /// Waits until a condition holds.
    /// @return false if it does not within the limit.
    bool waitFor(const std::function<bool()> &condition,
                 std::chrono::milliseconds limit = std::chrono::milliseconds(20000));

    /// Waits until each slot is served, as the leader sees it, and views agree.
    bool waitServed(std::size_t witness);

    network_address callerAddress(std::size_t instance) const;

    /// Adds what the targets wrote.
    void loadHistories(history::history &events) const;

    static constexpr const char *SERVICE = "orders";

private:
    void start(const std::string &name, const std::vector<std::string> &arguments);
    void put(const std::string &id, const nlohmann::json &listing);
    http_response call(const network_address &address, const std::string &method,
                       const std::string &path, const std::string &body);

    std::string m_folder;
    std::map<std::string, pid_t> m_processes;
};

} // namespace clementinebeam::test
