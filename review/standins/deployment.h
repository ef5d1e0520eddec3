// What the cases share: the record of a run, the project's gateways as processes, the
// configuration, workers and clients.
#pragma once

#include "http.h"
#include "store.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

constexpr int BROKEN = 1;
constexpr int CANNOT_RUN = 2;

/// @return whether the disruption is to be made.
inline bool hasTrouble()
{
    const char *const text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// The file record.txt of a case.
class run_record
{
public:
    explicit run_record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    { }
    ~run_record() { std::fclose(m_file); }

    double now() const { return std::chrono::duration<double>(clock::now() - m_start).count(); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f %s\n", now(), text.c_str());
        std::fflush(m_file);
    }

private:
    std::FILE *m_file;
    std::mutex m_mutex;
    clock::time_point m_start = clock::now();
};

inline bool isFree(int port)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int handle = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const int on = 1;
        if (type == SOCK_STREAM)
            setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = loopback(port);
        const bool isBound =
                ::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(handle);
        if (!isBound)
            return false;
    }
    return true;
}

/// @return the first of @p count free ports in a row, below the range for outgoing connections.
inline int freePorts(int count)
{
    static std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int first = std::uniform_int_distribution(12000, 30000)(random);
        bool areFree = true;
        for (int port = first; areFree && port < first + count; ++port)
            areFree = isFree(port);
        if (areFree)
            return first;
    }
    return 0;
}

/// The program of the deploy file, run as a process with a settings file in the template's format.
class gateway
{
public:
    gateway(std::string name, std::string folder, std::string zone, int storePort)
        : m_name(std::move(name))
        , m_folder(std::move(folder))
        , m_port(freePorts(4))
    {
        const json settings{{"instance", m_name},
                            {"data_centre", std::move(zone)},
                            {"address", HOST},
                            {"caller_listener", address(m_port)},
                            {"readiness_listener", address(m_port + 1)},
                            {"first_internal_port", m_port + 2},
                            {"processor_share", 0.2},
                            {"memory_mb", 260},
                            {"store", address(storePort)},
                            {"store_parts", 8},
                            {"bounds",
                             {{"retry_share", 0.2},
                              {"retry_slack", 64},
                              {"hold_max", "10000ms"},
                              {"grace", "6s"},
                              {"drain", "2000ms"}}}};
        std::ofstream(settingsPath()) << settings.dump(1);
    }
    ~gateway() { kill(); }

    static std::string address(int port) { return std::string(HOST) + ':' + std::to_string(port); }

    int port() const { return m_port; }
    const std::string &name() const { return m_name; }
    std::string logPath() const { return m_folder + '/' + m_name + ".log"; }

    bool start()
    {
        const std::string variable = "CLEMENTINEBEAM_CONFIG=" + settingsPath();
        std::string program = "target/src/gatewaydaemon/clementinebeam-gateway";
        char *arguments[] = {program.data(), nullptr};
        std::string path = variable;
        char *environment[] = {path.data(), nullptr};
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        for (const int output : {STDOUT_FILENO, STDERR_FILENO})
            posix_spawn_file_actions_addopen(&files, output, logPath().c_str(),
                                             O_WRONLY | O_CREAT | O_APPEND, 0600);
        const bool isStarted =
                posix_spawn(&m_process, program.c_str(), &files, nullptr, arguments, environment)
                == 0;
        posix_spawn_file_actions_destroy(&files);
        if (!isStarted)
            m_process = 0;
        return isStarted;
    }

    void signal(int number) const
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }

    bool isRunning()
    {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
            m_process = 0;
        return m_process > 0;
    }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGCONT);
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = 0;
    }

    bool isReady() const
    {
        const int handle = connectTo(m_port + 1);
        if (handle < 0)
            return false;
        stream peer(handle);
        message answer;
        return peer.write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                && peer.read(answer, clock::now() + milliseconds(500), true)
                && answer.status() == 200;
    }

private:
    std::string settingsPath() const { return m_folder + '/' + m_name + ".json"; }

    std::string m_name;
    std::string m_folder;
    int m_port;
    pid_t m_process = 0;
};

/// A worker that follows the pages: slots, a queue, keys that it holds under grants.
class worker
{
public:
    struct grant_call {
        int from = 0;
        int to = 0;
        std::uint64_t fence = 0;
        clock::time_point arrivedAt{};
        milliseconds hold{0};
    };
    /// May change the text of an answer before it is written; empty text: no answer.
    using answer_filter = std::function<std::string(const message &call, std::string answer)>;
    /// Called after a grant was applied.
    using grant_handler = std::function<void(const grant_call &)>;

    worker(run_record &record, store &store, std::string id, std::string service, bool isKeyed,
           milliseconds work)
        : m_record(record)
        , m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_isKeyed(isKeyed)
        , m_work(work)
        , m_port(freePorts(1))
    { }
    ~worker() { stop(); }

    const std::string &id() const { return m_id; }
    int port() const { return m_port; }
    /// The port that the worker's entry names, if it isn't its own. To be called before start().
    void setListedPort(int port) { m_listedPort = port; }

    /// Begins a life: nothing is held, and no fencing token is known.
    bool start()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_born = std::chrono::duration_cast<milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
            m_sequence = 0;
            m_until.assign(KEYS, {});
            m_fences.assign(KEYS, 0);
            m_running = 0;
            m_phase = "ready";
            m_isUp = true;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_isListed = true;
        }
        if (!m_server.start(m_port, [this](const message &call, stream &peer) {
                return handle(call, peer);
            }))
            return false;
        publish();
        m_heartbeat = std::thread([this] {
            auto next = clock::now() + HEARTBEAT;
            while (m_isUp) {
                std::this_thread::sleep_for(milliseconds(10));
                if (clock::now() < next)
                    continue;
                next += HEARTBEAT;
                if (m_isUp)
                    publish();
            }
        });
        return true;
    }

    /// Ends the process, without a word to anyone.
    void stop()
    {
        m_isUp = false;
        m_slotFreed.notify_all();
        m_server.stop();
        if (m_heartbeat.joinable())
            m_heartbeat.join();
    }

    /// Leaves without having reported that it drains: its entry is removed, and it serves on.
    void leaveAbruptly()
    {
        unlist();
        m_record.line(m_id + " is removed from the list");
    }
    void drain()
    {
        m_phase = "draining";
        publish();
        m_record.line(m_id + " reports draining");
    }
    void removeEntry() { unlist(); }

    void setAnswerFilter(answer_filter filter) { m_answerFilter = std::move(filter); }
    /// Called when a request begins to run here.
    void setRunHandler(std::function<void(const std::string &id)> handler)
    {
        m_onRun = std::move(handler);
    }
    void setGrantHandler(grant_handler handler) { m_onGrant = std::move(handler); }

    bool holds(int key)
    {
        const std::lock_guard lock(m_mutex);
        return m_isUp && clock::now() < m_until[static_cast<std::size_t>(key)];
    }
    bool isUp() const { return m_isUp; }

    /// Takes the keys of a grant, unless a higher token was seen on one of them.
    /// @return the status of the answer.
    int applyGrant(const grant_call &grant)
    {
        const std::lock_guard lock(m_mutex);
        for (int key = grant.from; key <= grant.to; ++key) {
            if (m_fences[static_cast<std::size_t>(key)] > grant.fence)
                return 409;
        }
        for (int key = grant.from; key <= grant.to; ++key) {
            m_fences[static_cast<std::size_t>(key)] = grant.fence;
            m_until[static_cast<std::size_t>(key)] = grant.arrivedAt + grant.hold;
        }
        return 200;
    }

private:
    static constexpr std::size_t KEYS = 65536;
    static constexpr int SLOTS = 2;
    static constexpr int QUEUE = 8;
    static constexpr milliseconds HEARTBEAT{870};

    void unlist()
    {
        const std::lock_guard lock(m_mutex);
        m_isListed = false;
        m_store.put("keyed.servers", m_id, {});
    }

    void publish()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isListed)
            return;
        const json entry{{"address", gateway::address(m_listedPort)},
                         {"born", m_born},
                         {"info",
                          {{"backend", m_service},
                           {"resource-version", "v1"},
                           {"zone", "p"},
                           {"slots", SLOTS}}},
                         {"status",
                          {{"phase", std::string(m_phase)},
                           {"sequence", ++m_sequence},
                           {"warmup-left", "0ms"}}}};
        m_store.put("keyed.servers", m_id, entry.dump());
    }

    std::string load()
    {
        return std::to_string(m_running) + ',' + std::to_string(m_waiting) + ','
                + std::to_string(SLOTS);
    }

    bool send(const message &call, stream &peer, std::string answer)
    {
        if (m_answerFilter)
            answer = m_answerFilter(call, std::move(answer));
        return answer.empty() ? false : peer.write(answer);
    }

    bool handle(const message &call, stream &peer)
    {
        const auto expected = call.header("X-Clementinebeam-Expect-Instance");
        const auto id = call.header("X-Clementinebeam-Request-Id");
        if (!expected.empty() && expected != m_id)
            return send(call, peer,
                        answerText(421,
                                   {{"X-Clementinebeam-Request-Id", id},
                                    {"X-Clementinebeam-Instance-Id", m_id},
                                    {"X-Clementinebeam-Not-Executed", "1"}},
                                   {}));
        if (call.target() == "/grant")
            return handleGrant(call, peer);
        if (call.target() == "/release")
            return handleRelease(call, peer);
        return handleRequest(call, peer, id);
    }

    bool handleGrant(const message &call, stream &peer)
    {
        const auto body = json::parse(call.body);
        const auto text = body.at("hold_time").get<std::string>();
        grant_call grant{body.at("from"), body.at("target"), body.at("fence"), clock::now(),
                         milliseconds(std::stol(text))};
        const int status = applyGrant(grant);
        if (status == 200 && m_onGrant)
            m_onGrant(grant);
        m_record.line(m_id + " grant " + std::to_string(grant.from) + '-' + std::to_string(grant.to)
                      + " fence " + std::to_string(grant.fence) + " for " + text + " -> "
                      + std::to_string(status));
        return send(call, peer, answerText(status, {}, {}));
    }

    bool handleRelease(const message &call, stream &peer)
    {
        const auto body = json::parse(call.body);
        const int from = body.at("from");
        const int to = body.at("target");
        const std::uint64_t fence = body.at("fence");
        {
            std::unique_lock lock(m_mutex);
            for (int key = from; key <= to; ++key) {
                if (m_fences[static_cast<std::size_t>(key)] <= fence)
                    m_until[static_cast<std::size_t>(key)] = {};
            }
            // Answered when the work that ran on these keys has ended.
            m_slotFreed.wait_for(lock, std::chrono::seconds(2), [&] {
                for (const auto key : m_keysAtWork) {
                    if (key >= from && key <= to)
                        return false;
                }
                return true;
            });
        }
        std::string handover = "5c0e7a21d94b" + std::to_string(1000 + ++m_releases);
        m_record.line(m_id + " release " + std::to_string(from) + '-' + std::to_string(to)
                      + " fence " + std::to_string(fence) + " -> 200, handover " + handover);
        return send(call, peer, answerText(200, {{"X-Clementinebeam-Handover", handover}}, {}));
    }

    bool handleRequest(const message &call, stream &peer, const std::string &id)
    {
        const auto reject = [&](int status) {
            m_record.line(m_id + " rejects " + id + " with " + std::to_string(status));
            return send(call, peer,
                        answerText(status,
                                   {{"X-Clementinebeam-Request-Id", id},
                                    {"X-Clementinebeam-Not-Executed", "1"},
                                    {"X-Clementinebeam-Server-Load", load()}},
                                   {}));
        };
        std::unique_lock lock(m_mutex);
        if (m_waiting >= QUEUE)
            return reject(503);
        ++m_waiting;
        m_slotFreed.wait(lock, [this] { return m_running < SLOTS || !m_isUp; });
        --m_waiting;
        if (!m_isUp)
            return false;
        const auto keyText = call.header("X-Clementinebeam-Shard-Key");
        const int key = m_isKeyed && !keyText.empty() ? std::stoi(keyText) : -1;
        if (key >= 0 && clock::now() >= m_until[static_cast<std::size_t>(key)])
            return reject(421);
        ++m_running;
        const auto atWork = m_keysAtWork.insert(key);
        m_record.line(m_id + " runs " + id + (key >= 0 ? " key " + keyText : std::string()));
        lock.unlock();
        if (m_onRun)
            m_onRun(id);
        std::this_thread::sleep_for(m_work);
        lock.lock();
        --m_running;
        m_keysAtWork.erase(atWork);
        m_slotFreed.notify_all();
        const auto loadText = load();
        lock.unlock();
        if (!m_isUp)
            return false;
        std::map<std::string, std::string> headers{
                {"X-Clementinebeam-Request-Id", id},
                {"X-Clementinebeam-Response-Signature", "sig-" + m_id},
                {"X-Clementinebeam-Server-Load", loadText}};
        if (std::string(m_phase) == "draining")
            headers["Server-Leaving"] = "1";
        return send(call, peer, answerText(200, headers, m_id + ' ' + call.target()));
    }

    run_record &m_record;
    store &m_store;
    std::string m_id;
    std::string m_service;
    bool m_isKeyed;
    milliseconds m_work;
    int m_port;
    int m_listedPort = m_port;
    http_server m_server;
    std::thread m_heartbeat;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    std::atomic<bool> m_isUp{false};
    bool m_isListed = false; ///< Guarded by m_mutex, as are the members below.
    std::atomic<const char *> m_phase{"ready"};
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::vector<clock::time_point> m_until;
    std::vector<std::uint64_t> m_fences;
    std::multiset<int> m_keysAtWork;
    int m_running = 0;
    int m_waiting = 0;
    std::atomic<int> m_releases{0};
    answer_filter m_answerFilter;
    grant_handler m_onGrant;
    std::function<void(const std::string &)> m_onRun;
};

/// Starts the gateways and waits until all are ready.
inline bool startAll(std::vector<std::unique_ptr<gateway>> &gateways)
{
    for (auto &item : gateways) {
        if (!item->start())
            return false;
    }
    const auto readyBy = clock::now() + std::chrono::seconds(10);
    for (auto &item : gateways) {
        while (!item->isReady()) {
            if (clock::now() > readyBy || !item->isRunning())
                return false;
            std::this_thread::sleep_for(milliseconds(100));
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    return true;
}

struct outgoing_request {
    std::string method;
    std::string path;
    std::string id;
    int key = -1;
};

/// Sends a request on a new connection.
/// @return the answer; its status is 0 if there was none before the deadline.
inline message ask(run_record &record, const gateway &instance, const outgoing_request &request,
                   clock::time_point deadline)
{
    message answer;
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
    const int handle = connectTo(instance.port());
    if (handle >= 0) {
        stream peer(handle);
        std::string call = request.method + ' ' + request.path
                + " HTTP/1.1\r\nHost: a.example\r\nX-Clementinebeam-Request-Id: " + request.id
                + "\r\nX-Clementinebeam-Deadline-Ms: " + std::to_string(left) + "\r\n";
        if (request.key >= 0)
            call += "X-Clementinebeam-Shard-Key: " + std::to_string(request.key) + "\r\n";
        call += "Content-Length: 0\r\n\r\n";
        record.line(request.id + " sent to " + instance.name());
        if (!peer.write(call) || !peer.read(answer, deadline, true))
            answer = {};
    }
    record.line(request.id + " answered " + std::to_string(answer.status()) + ' '
                + answer.header("X-Clementinebeam-Response-Signature"));
    return answer;
}

/// A folder for settings and logs that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
        m_path = mkdtemp(pattern.data());
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_path, ignored);
    }
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// Runs a request at a fixed rate, each in a thread of its own.
class open_load
{
public:
    ~open_load() { stop(); }
    void start(double perSecond, std::function<void(int)> send)
    {
        m_thread = std::thread([this, perSecond, send = std::move(send)] {
            const auto begin = clock::now();
            for (int number = 0; !m_isStopped; ++number) {
                std::this_thread::sleep_until(
                        begin
                        + std::chrono::duration_cast<clock::duration>(
                                std::chrono::duration<double>(number / perSecond)));
                if (m_isStopped)
                    break;
                ++m_active;
                std::thread([this, number, send] {
                    send(number);
                    --m_active;
                }).detach();
            }
        });
    }
    void stop()
    {
        m_isStopped = true;
        if (m_thread.joinable())
            m_thread.join();
        while (m_active > 0)
            std::this_thread::sleep_for(milliseconds(5));
    }

private:
    std::atomic<bool> m_isStopped{false};
    std::atomic<int> m_active{0};
    std::thread m_thread;
};

/// @return the first lines of a gateway's log that contain @p text.
inline std::vector<std::string> logLines(const gateway &instance, const std::string &text,
                                         std::size_t most)
{
    std::vector<std::string> lines;
    std::ifstream file(instance.logPath());
    for (std::string line; lines.size() < most && std::getline(file, line);) {
        if (line.find(text) != std::string::npos)
            lines.push_back(line);
    }
    return lines;
}

} // namespace review
