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

/// Gateways as processes, the store and targets as stand-ins behind proxies, and callers; harmed by
/// a schedule of faults that a seed decides.
class soak_system
{
public:
    /// @param seed decides the faults and the load.
    /// @param host loopback address of everything; soaks with different ones may run side by side.
    soak_system(std::uint64_t seed, std::string host);
    ~soak_system();

    /// Runs the whole schedule.
    /// @return everything that broke a promise.
    std::vector<std::string> run();

    const run_history &history() const { return m_history; }

    /// @return the faults that were injected, for people.
    const std::vector<std::string> &faults() const { return m_faults; }

    /// @return the folder with the processes' logs.
    const std::string &folder() const { return m_folder; }

    /// Keeps the folder for a look at a failure.
    void keepFolder() { m_isFolderKept = true; }

private:
    struct instance {
        std::unique_ptr<chaos_proxy> storeLink;
        std::unique_ptr<gateway_process> process;
        instant newServiceSeen{}; ///< First answer by the new configuration in this life.
        instant restartAt{};      ///< Zero if no restart is due.
        instant endDue{};         ///< When a SIGTERM has to have ended the process.
        bool isFrozen = false;
        bool isStopping = false;
    };

    void addTarget(const std::string &service, bool isKeyed);
    void addInstance(std::size_t number);
    void listTarget(std::size_t number, const std::string &phase);
    void publishConfiguration(std::uint64_t version, const std::string &readService);
    std::string settingsOf(std::size_t number) const;
    void checkRecord(const std::string &service, const std::string &bytes);
    void superviseProcesses();
    void runFor(std::chrono::milliseconds time);
    void waitForService();
    void restartInstanceCalmly();
    void injectFault();
    void harmInstance();
    void harmStore();
    void harmStoreLink();
    void harmTarget();
    void drainTarget(std::size_t number);
    void crashTarget(std::size_t number);
    void healAll();
    void checkRecovery();
    void onEvent(const caller_event &event);
    void after(std::chrono::milliseconds delay, std::function<void()> action);
    std::chrono::milliseconds randomTime(int least, int most);
    std::size_t pick(std::size_t count);
    void note(const std::string &fault);

    tcp_endpoint local(std::size_t port) const;
    std::string addressText(std::size_t port) const;

    const std::string m_host;
    boost::asio::io_context m_context{1};
    std::mt19937_64 m_random;
    std::string m_folder;
    bool m_isFolderKept = false;
    run_history m_history;
    store_standin m_store;
    std::vector<std::unique_ptr<soak_target>> m_targets;
    std::vector<std::unique_ptr<chaos_proxy>> m_targetLinks;
    std::vector<instance> m_instances;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::vector<std::string> m_faults;
    instant m_begin;
    std::map<std::string, ownership_record> m_records; ///< Newest stored one by service.
    std::uint64_t m_version = 0;
    std::optional<std::size_t> m_calmlyStopped; ///< Instance in an otherwise calm graceful stop.
    bool m_isHealed = false;
    std::size_t m_recentAnswers = 0;
    std::size_t m_recentFailures = 0;
    std::size_t m_keyedAnswers = 0;
};

} // namespace clementinebeam::test
