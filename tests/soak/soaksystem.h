#pragma once

#include "chaosproxy.h"
#include "clementinebeam/keyspace/keyspacetypes.h"
#include "gatewayprocess.h"
#include "runhistory.h"
#include "soakcaller.h"
#include "soaktarget.h"
#include "storestandin.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace clementinebeam::test {

/// Gateway processes, callers, and stand-ins for the store and the targets behind proxies. Injects
/// random faults that a seed determines.
class soak_system
{
public:
    /// @param seed determines the faults and the load.
    /// @param host loopback address of all listeners; systems with different addresses can run in
    ///     parallel.
    soak_system(std::uint64_t seed, std::string host);
    ~soak_system();

    /// Starts the system, injects faults, ends them and checks the recovery. Blocks for the whole
    /// run.
    /// @return one line for each violated guarantee.
    std::vector<std::string> run();

    const run_history &history() const { return m_history; }

    /// @return descriptions of the injected faults, with their times.
    const std::vector<std::string> &faults() const { return m_faults; }

    /// @return the folder with the processes' settings and logs; deleted on destruction
    ///     unless kept.
    const std::string &folder() const { return m_folder; }

    /// Keeps the folder on destruction, so that a failure can be examined.
    void keepFolder() { m_isFolderKept = true; }

private:
    struct instance {
        std::unique_ptr<chaos_proxy> storeProxy;
        std::unique_ptr<gateway_process> process;
        instant newServiceSeenAt{}; ///< First answer under the new configuration since the start.
        instant restartAt{};        ///< Zero if no restart is due.
        instant stopDeadline{};     ///< When the process must have ended after a SIGTERM.
        bool isFrozen = false;
        bool isStopping = false;
    };

    void addTarget(const std::string &service, bool isKeyed);
    void addInstance(std::size_t number);
    void publishTarget(std::size_t number, const std::string &phase);
    void publishConfiguration(std::uint64_t version, const std::string &readService);
    std::string settingsOf(std::size_t number) const;
    void checkRecord(const std::string &service, const std::string &bytes);
    void superviseProcesses();
    void runFor(std::chrono::milliseconds time);
    void waitForService();
    void restartInstanceWithoutFaults();
    void injectRandomFault();
    void injectInstanceFault();
    void injectStoreFault();
    void injectStoreConnectionFault();
    void injectTargetFault();
    void drainTarget(std::size_t number);
    void crashTarget(std::size_t number);
    void endAllFaults();
    void checkRecovery();
    void onEvent(const caller_event &event);
    void runAfter(std::chrono::milliseconds delay, std::function<void()> action);
    std::chrono::milliseconds randomTime(int minimum, int maximum);
    std::size_t randomIndex(std::size_t count);
    void recordFault(const std::string &fault);

    tcp_endpoint endpointAt(std::size_t port) const;
    std::string addressText(std::size_t port) const;

    const std::string m_host;
    boost::asio::io_context m_context{1};
    std::mt19937_64 m_random;
    std::string m_folder;
    bool m_isFolderKept = false;
    run_history m_history;
    store_standin m_store;
    std::vector<std::unique_ptr<soak_target>> m_targets;
    std::vector<std::unique_ptr<chaos_proxy>> m_targetProxies;
    std::vector<instance> m_instances;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::vector<std::string> m_faults;
    instant m_begin;
    std::map<std::string, ownership_record> m_records; ///< Newest stored one by service.
    std::uint64_t m_version = 0;
    /// Instance in a graceful stop without other faults.
    std::optional<std::size_t> m_stoppedWithoutFaults;
    bool m_isCheckingRecovery = false;
    std::size_t m_recentAnswers = 0;
    std::size_t m_recentFailures = 0;
    std::size_t m_keyedAnswers = 0;
};

} // namespace clementinebeam::test
