#pragma once

#include "clementinebeam/http/httpserver.h"
#include "platformlog.h"

#include <atomic>
#include <nlohmann/json.hpp>

namespace clementinebeam {

/// Faults that the stand-in shows until told otherwise.
struct platform_faults {
    bool isDown = false;       ///< Answers nothing useful; appends have no effect.
    bool losesAnswers = false; ///< Appends take effect but are answered with an error.
    std::chrono::milliseconds delay{0};
    bool isListFrozen = false; ///< The instance list shows no changes.
};

/// Model of the platform over HTTP: log streams and a lagging instance list.
class platform_server
{
public:
    platform_server(const network_address &address, std::chrono::milliseconds retention,
                    std::chrono::milliseconds listLag);

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
