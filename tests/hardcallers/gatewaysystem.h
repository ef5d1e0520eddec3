#pragma once

#include "crowd.h"
#include "gatewayprocess.h"
#include "storestandin.h"
#include "targetstandin.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace clementinebeam::test {

/// Settings of one test; all lower than those of a deployment.
struct crowd_limits {
    std::size_t memoryMb = 64;         ///< Memory of the gateway process.
    std::size_t bodyBytes = 4U << 20U; ///< Largest body of a request.
    std::size_t descriptors = 1024;    ///< Descriptor limit of the gateway process.
    /// Time that a request, and an idle connection, may take.
    std::string headerTimeout = "3s";
    std::string idleTimeout = "15s";
};

/// A gateway process with a store and a target in the test's process.
class gateway_system
{
public:
    explicit gateway_system(const crowd_limits &limits);
    ~gateway_system();

    /// Runs the event loop until a condition holds.
    /// @return false if it does not hold after a long time.
    template <class condition_type>
    bool runUntil(const condition_type &condition)
    {
        for (int round = 0; round < 6000; ++round) {
            if (condition())
                return true;
            context.run_for(std::chrono::milliseconds(10));
            observe();
        }
        return condition();
    }

    void run(std::chrono::milliseconds time);

    /// Sends requests, each on a new connection, until one is answered with 200.
    /// @param body the body of each.
    /// @return false if none was for a long time.
    bool isOrdinaryRequestServed(const std::string &body = {});

    bool isRunning() { return m_process.isRunning(); }
    /// @return the largest resident memory of the process so far, in MB.
    std::size_t peakMemoryMb() const { return m_peakMemoryMb; }
    /// @return the largest number of open descriptors seen so far.
    std::size_t peakDescriptors() const { return m_peakDescriptors; }

    boost::asio::ip::tcp::endpoint callers() const { return endpoint(m_gatewayPort); }
    boost::asio::ip::tcp::endpoint readiness() const { return endpoint(m_gatewayPort + 1); }
    std::uint16_t peerPort() const { return m_gatewayPort + 2; }

    boost::asio::io_context context{1};
    target_standin target;

private:
    static boost::asio::ip::tcp::endpoint endpoint(std::uint16_t port);
    std::string settingsText(const crowd_limits &limits) const;
    void observe();
    unsigned ask(const std::string &body);

    const std::uint16_t m_firstPort;
    const std::uint16_t m_gatewayPort;
    const std::string m_folder;
    store_standin m_store;
    gateway_process m_process;
    std::size_t m_peakMemoryMb = 0;
    std::size_t m_peakDescriptors = 0;
    int m_asked = 0;
};

} // namespace clementinebeam::test
