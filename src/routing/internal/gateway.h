#pragma once

#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/http/httpserver.h"
#include "internal/requestrouter.h"

#include <atomic>

namespace clementinebeam {

/// Serves the HTTP requests of callers.
class gateway
{
public:
    gateway(const daemon_settings &settings, request_router &router,
            std::shared_ptr<i_control_plane> plane, std::shared_ptr<i_metrics> metrics);

    std::error_code start() { return m_server.start(); }

    /// Refuses new requests and waits for those in flight, up to the stop limit of the settings.
    void drain();
    void stop() { m_server.stop(); }

private:
    http_response handle(const http_request &request);
    http_response handleRequest(const http_request &request);
    http_response health() const;

    daemon_settings m_settings;
    request_router &m_router;
    std::shared_ptr<i_control_plane> m_plane;
    std::shared_ptr<i_metrics> m_metrics;
    std::atomic<bool> m_draining{false};
    std::atomic<int> m_inFlight{0};
    http_server m_server;
};

} // namespace clementinebeam
