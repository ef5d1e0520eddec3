#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/result.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

struct mg_context;
struct mg_connection;

namespace clementinebeam {

/// Computes the response to a request. Called on several worker threads at once.
using http_handler = std::function<http_response(const http_request &)>;

/// Listening address and limits of a server.
struct server_settings {
    network_address address;
    std::size_t threads = 8;
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxHeaderBytes = 16384;
    std::chrono::milliseconds requestTimeout{10000};
    std::chrono::milliseconds keepAliveTimeout{30000};
    std::string certificateFile; ///< PEM file; empty for plain HTTP.
};

/// HTTP server with a pool of worker threads. Each response is sent in one write.
class http_server
{
public:
    /// @param settings listening address and limits.
    /// @param handler computes the response to each request.
    http_server(server_settings settings, http_handler handler);

    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Starts listening.
    /// @return address_in_use if the listener cannot be started, Internal if TLS is not available.
    std::error_code start();

    /// Waits for requests in flight, then closes all connections.
    void stop();

private:
    static int handleRequest(mg_connection *connection, void *self);
    int handle(mg_connection *connection);
    http_response respond(mg_connection *connection);

    server_settings m_settings;
    http_handler m_handler;
    mg_context *m_context = nullptr;
};

} // namespace clementinebeam
