// Small stand-ins of the platform's store, of workers and of clients, for the cases of the review.
// They use blocking sockets and one thread for each connection.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr const char *HOST = "127.0.0.1";

/// Writes record.txt; each line begins with the milliseconds since the start.
class recorder
{
public:
    explicit recorder(const std::string &path);
    void line(const std::string &text);
    long elapsed() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

struct http_message {
    std::string first;                         ///< Request line or status line.
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// A connected socket with a buffer of received bytes.
class stream
{
public:
    explicit stream(int handle)
        : m_handle(handle)
    { }
    ~stream();
    stream(const stream &) = delete;
    stream &operator=(const stream &) = delete;

    bool send(const std::string &bytes);
    /// @return the next message with its whole body, or nothing if the connection ended or the time
    ///     is over.
    std::optional<http_message> receive(milliseconds limit);
    /// Reads once.
    /// @return the bytes; empty at the end or at an error, which is stored in lastError().
    std::string readSome(std::size_t size, milliseconds limit);
    int lastError() const { return m_error; }
    /// Ends the connection for all threads.
    void shut();
    /// Ends the connection with a reset.
    void reset();
    int handle() const { return m_handle; }

private:
    bool fill(steady::time_point end);

    int m_handle;
    int m_error = 0;
    std::string m_buffer;
};

/// @param receiveBuffer size of the receive buffer, 0 for the system's.
std::shared_ptr<stream> connectTo(std::uint16_t port, int receiveBuffer = 0);
std::uint16_t freePort();
/// @return the first of some ports that are free for TCP and UDP.
std::uint16_t freePorts(int count);

/// Accepts connections; a thread handles each one.
class server
{
public:
    using handler = std::function<void(const std::shared_ptr<stream> &)>;

    server(std::uint16_t port, handler handle);
    ~server();
    bool start();
    /// Closes the listener and all connections, as the end of a process does.
    void stop();

private:
    void accept();

    std::uint16_t m_port;
    handler m_handle;
    std::mutex m_mutex;
    int m_listener = -1;
    std::vector<std::weak_ptr<stream>> m_streams;
    std::thread m_acceptor;
};

/// The platform's store: keyed topics, conditional appends, long polls and one group.
class store
{
public:
    explicit store(std::uint16_t port);
    bool start() { return m_server.start(); }
    void stop();
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct record {
        std::string key;
        std::string value;
    };

    void handle(const std::shared_ptr<stream> &connection);
    std::string answer(const http_message &call);
    std::string read(const std::string &topic, std::size_t from, long wait);
    std::string newest(const std::string &topic);
    std::string append(const std::string &topic, const std::string &at, const std::string &body);
    std::string join(const std::string &body);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<record>> m_topics;
    std::map<std::string, steady::time_point> m_members;
    std::uint64_t m_generation = 0;
    bool m_isStopped = false;
    server m_server;
};

/// @return the answer of a store or worker, ready to be sent.
std::string makeAnswer(int status, const std::string &fields, const std::string &body);

/// A gateway process, started with the command of the deploy file.
class gateway
{
public:
    /// @param program path of the gateway's program.
    gateway(std::string program, std::string folder, std::string name, std::uint16_t storePort,
            int memoryMb = 260);
    ~gateway();
    void start();
    void signal(int number);
    /// Waits for the end of the process; kills it at the limit.
    /// @return whether it ended by itself.
    bool waitForEnd(milliseconds limit);
    bool isRunning();
    bool isReady();
    std::uint16_t port() const { return m_port; }

private:
    std::string m_program;
    std::string m_folder;
    std::string m_name;
    std::uint16_t m_port;
    pid_t m_process = 0;
};

bool waitUntil(const std::function<bool()> &condition, milliseconds limit);
std::string jsonEntry(std::uint16_t port, const std::string &service, const std::string &phase,
                      long born);

} // namespace review
