#pragma once

#include "clementinebeam/http/httpserver.h"
#include "platformlog.h"

#include <atomic>
#include <nlohmann/json.hpp>

namespace clementinebeam {

/// Injected faults of the stand-in; in effect until a request to /faults changes them.
struct platform_faults {
    bool isDown = false;       ///< Stream requests are answered with status 503 and have no effect.
    bool losesAnswers = false; ///< Appends take effect but are answered with an error.
    std::chrono::milliseconds delay{0}; ///< Added to each request for streams or the list.
    bool isListFrozen = false;          ///< Changes to the instance list stay invisible.
};

/// HTTP server of the platform stand-in: log streams, and an instance list that shows changes after
/// a delay.
class platform_server
{
public:
    /// @param address address to listen on.
    /// @param retention retention time of log records.
    /// @param listLag delay until the instance list shows a change.
    platform_server(const network_address &address, std::chrono::milliseconds retention,
                    std::chrono::milliseconds listLag);

    /// @return the error if the address cannot be listened on.
    std::error_code start() { return m_server.start(); }
    void stop() { m_server.stop(); }

private:
    http_response handle(const http_request &request);
    http_response handleStream(const http_request &request, const std::string &stream);
    http_response handleList();
    http_response handleListing(const http_request &request, const std::string &id);
    http_response handleFaults(const http_request &request);
    platform_faults faults();

    struct list_change {
        instant visibleAt;
        std::string id;
        nlohmann::json entry; ///< Null removes the entry.
    };

    platform_log m_log;
    std::chrono::milliseconds m_listLag;
    std::mutex m_mutex;
    platform_faults m_faults;
    std::map<std::string, nlohmann::json> m_listings;
    std::deque<list_change> m_changes;
    http_server m_server;
};

} // namespace clementinebeam
