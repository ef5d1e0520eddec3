#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/result.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <semaphore>
#include <set>
#include <string>

struct mg_context;
struct mg_connection;

namespace clementinebeam {

/// Computes the response to a request. Called on several worker threads at once.
using http_handler = std::function<http_response(const http_request &)>;

/// Listening address and limits of a server.
struct server_settings {
    network_address address;
    std::size_t threads = 8; ///< Connections that are served at a time.
    /// Requests that are handled at a time; others wait with their bodies. 0: as many as threads.
    std::size_t handlers = 0;
    std::size_t maxBodyBytes = 1 << 20;
    /// Largest sum of the bodies that are received or handled; 0: unlimited.
    std::size_t maxTotalBodyBytes = 0;
    std::size_t maxHeaderBytes = 16384;
    /// For a head, and for each pause in a body.
    std::chrono::milliseconds requestTimeout{10000};
    /// For a whole body. While most threads read bodies, a slow one ends earlier.
    std::chrono::milliseconds bodyTimeout{10000};
    std::chrono::milliseconds keepAliveTimeout{30000};
    /// How long a stop waits for callers to read their last responses.
    std::chrono::milliseconds stopTimeout{2000};
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

    /// Waits for requests in flight, and for a while until callers have read their responses, then
    /// closes all connections.
    void stop();

private:
    static int handleRequest(mg_connection *connection, void *self);
    static void onConnectionClosed(const mg_connection *connection);
    int handle(mg_connection *connection);
    bool isEnded(const mg_connection *connection) const;
    http_response respond(mg_connection *connection);
    int readBody(mg_connection *connection, std::string &body);
    bool isTooSlow(std::size_t received, std::chrono::milliseconds age) const;

    server_settings m_settings;
    http_handler m_handler;
    std::counting_semaphore<> m_handlerSlots;
    std::atomic<std::size_t> m_readers{0};   ///< Threads that read a body.
    std::atomic<std::size_t> m_bodyBytes{0}; ///< Of all bodies that are received or handled.
    std::atomic<std::size_t> m_writers{0};   ///< Threads that write a response.
    mutable std::mutex m_endedMutex;
    /// Connections whose last response was written and that their callers have not closed yet.
    std::set<const mg_connection *> m_ended;
    mg_context *m_context = nullptr;
};

} // namespace clementinebeam
