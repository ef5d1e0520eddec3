#pragma once

#include "clementinebeam/configuration/settingsproblem.h"
#include "clementinebeam/coordination/coordinationtypes.h"
#include "clementinebeam/http/httptypes.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementinebeam {

/// A department and the services whose configuration it may change.
struct department_settings {
    std::string name;
    std::string token;                 ///< Secret that its requests carry; at least 16 bytes.
    std::vector<std::string> services; ///< Services that it may change; "*" for all.

    /// @param service name of the service.
    /// @return whether the department may change it.
    bool mayChange(const std::string &service) const;
};

/// Settings of one daemon process, read once at start.
struct daemon_settings {
    instance_id instance;
    std::string dataCentre;
    std::vector<std::string> dataCentres; ///< All data centres, that of the instance included.
    network_address callerListener;
    network_address operatorListener;
    network_address peerListener;
    network_address platformAddress;
    std::string peerKey;         ///< Authenticates messages between instances; at least 16 bytes.
    std::string certificateFile; ///< Enables TLS on the caller and operator listeners if set.
    std::vector<department_settings> departments;
    /// Threads that serve requests of callers.
    std::size_t callerThreads = 64;
    /// Longest wait before the log is read again.
    std::chrono::milliseconds logPollInterval{100};
    /// Time between two reads of the lists of instances and targets.
    std::chrono::milliseconds listPollInterval{500};
    /// Deadline of requests that state none.
    std::chrono::milliseconds defaultDeadline{2000};
    /// Longer deadlines of requests are reduced to this value.
    std::chrono::milliseconds maxDeadline{30000};
    /// Age at which a request id that is not in the ledger is rejected as expired.
    std::chrono::milliseconds requestIdLife{600000};
    /// Request ids created further than this in the future are rejected.
    std::chrono::milliseconds clockSkewLimit{2000};
    /// Longest wait for requests in flight at shutdown.
    std::chrono::milliseconds stopLimit{5000};
    std::size_t connectionsPerTarget = 4;
    coordination_settings coordination;
};

/// @param text JSON with comments.
/// @return the settings, or all problems found.
std::variant<daemon_settings, settings_problems> parseDaemonSettings(const std::string &text);

} // namespace clementinebeam
