// Stand-ins of the platform's store, of workers and of clients, for the scripts of the third
// review. They follow the users' pages: PROTOCOL.md, and the news on the store's drill and on
// statements.
#pragma once

#include <utility>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char **environ;

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

constexpr int HELD = 0;
constexpr int BROKEN = 1;
constexpr int NOT_RUN = 2;

constexpr unsigned KEYS = 65536;
constexpr milliseconds HEARTBEAT{870};

/// Ids of the system's processes that run now, so that they are ended however the script ends.
inline std::array<std::atomic<pid_t>, 8> startedProcesses;

/// Ends the system's processes and the script; may be called by a signal handler.
[[noreturn]] inline void giveUp(int)
{
    for (const auto &id : startedProcesses)
        if (id > 0)
            ::kill(id, SIGKILL);
    _exit(NOT_RUN);
}

inline steady::time_point startTime = steady::now();

inline long nowMs()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - startTime).count();
}

inline void pauseFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Writes record.txt: one line an event, with the time in milliseconds since the start.
class recorder
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
        if (!m_file)
            giveUp(0);
    }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%7ld ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

inline recorder record;

/// A reply, or none: then the connection is closed without an answer.
using reply = std::optional<response>;

inline response makeReply(unsigned status, std::string body = {})
{
    response answer;
    answer.version(11);
    answer.result(status);
    answer.body() = std::move(body);
    return answer;
}

/// An HTTP server with one thread a connection.
class server
{
public:
    using handler = std::function<reply(const request &)>;

    server(const std::string &host, unsigned short port, handler onRequest)
        : m_onRequest(std::move(onRequest))
        , m_acceptor(m_context)
    {
        m_address = {asio::ip::make_address(host), port};
        if (const auto error = open()) {
            std::fprintf(stderr, "can't listen on %s:%u: %s\n", host.c_str(), port,
                         error.message().c_str());
            giveUp(0);
        }
        std::thread([this] { accept(); }).detach();
    }

    /// New connections are refused from now on, as while no process listens.
    void stopListening()
    {
        m_isListening = false;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    }

    void listenAgain() { m_isListening = true; }

    /// Resets all open connections.
    void resetAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &weak : m_sockets) {
            if (const auto socket = weak.lock()) {
                boost::system::error_code ignored;
                socket->shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
        m_sockets.clear();
    }

private:
    boost::system::error_code open()
    {
        boost::system::error_code error;
        m_acceptor.open(m_address.protocol(), error);
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        m_acceptor.bind(m_address, error);
        if (!error)
            m_acceptor.listen(256, error);
        return error;
    }

    void accept()
    {
        for (;;) {
            if (!m_isListening) {
                boost::system::error_code ignored;
                m_acceptor.close(ignored);
                while (!m_isListening)
                    pauseFor(milliseconds(5));
                open();
            }
            auto socket = std::make_shared<tcp::socket>(m_context);
            boost::system::error_code error;
            m_acceptor.accept(*socket, error);
            if (error) {
                pauseFor(milliseconds(10));
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_sockets, [](const auto &item) { return item.expired(); });
                m_sockets.push_back(socket);
            }
            std::thread([this, socket] { serve(*socket); }).detach();
        }
    }

    void serve(tcp::socket &socket)
    {
        beast::flat_buffer buffer;
        boost::system::error_code error;
        socket.set_option(tcp::no_delay(true), error);
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(std::uint64_t(128) << 20);
            http::read(socket, buffer, parser, error);
            if (error)
                break;
            const auto call = parser.release();
            auto answer = m_onRequest(call);
            if (!answer)
                break;
            answer->keep_alive(call.keep_alive());
            if (call.method() != http::verb::head)
                answer->prepare_payload();
            http::write(socket, *answer, error);
            if (error || !answer->keep_alive())
                break;
        }
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
    }

    handler m_onRequest;
    asio::io_context m_context;
    tcp::endpoint m_address;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_isListening{true};
    std::mutex m_mutex;
    std::vector<std::weak_ptr<tcp::socket>> m_sockets;
};

inline std::string parameter(const std::string &target, const std::string &name)
{
    for (const std::string &start : {"?" + name + "=", "&" + name + "="}) {
        const auto found = target.find(start);
        if (found == std::string::npos)
            continue;
        const auto begin = found + start.size();
        return target.substr(begin, target.find('&', begin) - begin);
    }
    return {};
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text += static_cast<char>(value >> static_cast<unsigned>(shift));
    return text;
}

inline std::string encodeBase64(const std::string &bytes)
{
    static const char DIGITS[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        unsigned group = 0;
        for (std::size_t next = index; next < index + 3; ++next)
            group = group << 8U
                    | (next < bytes.size() ? static_cast<unsigned char>(bytes[next]) : 0U);
        for (int digit = 0; digit < 4; ++digit)
            text += index + static_cast<std::size_t>(digit) <= bytes.size()
                    ? DIGITS[group >> static_cast<unsigned>(18 - 6 * digit) & 63U]
                    : '=';
    }
    return text;
}

inline long parseMs(const std::string &text)
{
    const double value = std::stod(text);
    const bool isMs = text.size() > 2 && text.substr(text.size() - 2) == "ms";
    return static_cast<long>(isMs ? value : value * 1000.0);
}

/// The platform's store: keyed topics of one partition, conditional appends, long polls, one group.
class store
{
public:
    struct entry {
        std::string key;
        std::string value;
    };
    using topics = std::map<std::string, std::vector<entry>>;

    static constexpr unsigned short PORT = 8384;

    /// @param hosts one address for each machine, so that the store can tell them apart.
    explicit store(const std::vector<std::string> &hosts)
        : m_isTurnedAway(hosts.size(), false)
    {
        for (std::size_t index = 0; index < hosts.size(); ++index)
            m_servers.push_back(std::make_unique<server>(
                    hosts[index], PORT,
                    [this, index](const request &call) { return handle(index, call); }));
    }

    /// The store answers the calls of a machine with 503, and serves the others.
    void turnAway(std::size_t machine, bool isTurnedAway)
    {
        const std::lock_guard lock(m_mutex);
        m_isTurnedAway[machine] = isTurnedAway;
    }

    /// @return the newest value of a key in the topics that the system itself writes.
    std::string ownValue(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        std::string value;
        for (const auto &[topic, records] : m_topics) {
            if (topic == "keyed.op" || topic == "keyed.servers")
                continue;
            for (const auto &item : records)
                if (item.key == key)
                    value = item.value;
        }
        return value;
    }

    /// Appends a record, as operators and workers do. Returns false while the store is away.
    bool put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isAway)
            return false;
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
        return true;
    }

    std::string newestValue(const std::string &topic, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        std::string value;
        for (const auto &item : m_topics[topic])
            if (item.key == key)
                value = item.value;
        return value;
    }

    std::size_t end(const std::string &topic)
    {
        const std::lock_guard lock(m_mutex);
        return m_topics[topic].size();
    }

    topics copy()
    {
        const std::lock_guard lock(m_mutex);
        return m_topics;
    }

    /// The store answers nothing any more; open connections end.
    void leave()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isAway = true;
            m_leftAt = steady::now();
            m_changed.notify_all();
        }
        for (const auto &item : m_servers)
            item->resetAll();
    }

    /// The store is back, from the copy if there is one.
    void comeBack(const std::optional<topics> &from)
    {
        const std::lock_guard lock(m_mutex);
        if (from) {
            m_topics = *from;
            ++m_era;
        }
        const auto now = steady::now();
        for (auto &[member, expiry] : m_members)
            expiry += now - m_leftAt;
        m_isAway = false;
    }

    int era() const { return m_era; }

private:
    reply handle(std::size_t machine, const request &call)
    {
        std::unique_lock lock(m_mutex);
        if (m_isAway)
            return std::nullopt;
        auto answer = m_isTurnedAway[machine] ? makeReply(503) : execute(call, lock);
        if (answer)
            answer->set("Store-Era", std::to_string(m_era));
        return answer;
    }

    reply execute(const request &call, std::unique_lock<std::mutex> &lock)
    {
        const std::string target(call.target());
        const auto path = target.substr(0, target.find('?'));
        const auto topic = parameter(target, "topic");
        if (path == "/log-newest")
            return newest(topic);
        if (path == "/log-append")
            return append(topic, parameter(target, "at"), call.body());
        if (path == "/log-read")
            return read(topic, std::stoull(parameter(target, "from")), parameter(target, "wait-ms"),
                        lock);
        if (path == "/log-join")
            return join(json::parse(call.body()));
        if (path == "/log-leave") {
            if (m_members.erase(json::parse(call.body()).at("member").get<std::string>()) > 0)
                ++m_generation;
            return makeReply(200, "{}");
        }
        return makeReply(404);
    }

    response newest(const std::string &topic)
    {
        std::map<std::string, std::pair<std::string, std::size_t>> values;
        const auto &records = m_topics[topic];
        for (std::size_t offset = 0; offset < records.size(); ++offset)
            values[records[offset].key] = {records[offset].value, offset};
        json items = json::array();
        for (const auto &[key, item] : values) {
            if (!item.first.empty())
                items.push_back({{"key", key},
                                 {"value", encodeBase64(item.first)},
                                 {"offset", item.second}});
        }
        return makeReply(200,
                         json{{"items", items}, {"more", false}, {"end", records.size()}}.dump());
    }

    response append(const std::string &topic, const std::string &at, const std::string &body)
    {
        if (topic == "keyed.op" || topic == "keyed.servers")
            return makeReply(403);
        auto &records = m_topics[topic];
        if (!at.empty() && std::stoull(at) != records.size())
            return makeReply(412, json{{"end", records.size()}}.dump());
        const auto offset = records.size();
        for (std::size_t begin = 0; begin + 4 < body.size();) {
            std::size_t size = 0;
            for (int index = 0; index < 4; ++index)
                size = size << 8U | static_cast<unsigned char>(body[begin + index]);
            const auto content = body.substr(begin + 4, size);
            const auto keySize = static_cast<unsigned char>(content.at(0));
            records.push_back({content.substr(1, keySize), content.substr(1 + keySize)});
            begin += 4 + size;
        }
        m_changed.notify_all();
        return makeReply(200, json{{"offset", offset}, {"end", records.size()}}.dump());
    }

    reply read(const std::string &topic, std::size_t from, const std::string &wait,
               std::unique_lock<std::mutex> &lock)
    {
        const auto era = m_era;
        const auto until = steady::now() + milliseconds(wait.empty() ? 0 : std::stol(wait));
        const auto isDone = [&] {
            return m_isAway || m_era != era || from < m_topics[topic].size();
        };
        if (from == m_topics[topic].size())
            m_changed.wait_until(lock, until, isDone);
        // A read that waited while the store went away gets no answer.
        if (m_isAway || m_era != era)
            return std::nullopt;
        const auto &records = m_topics[topic];
        if (from > records.size())
            return makeReply(410, json{{"first", 0}}.dump());
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t index = from; index < records.size() && body.size() < 400000; ++index) {
            const auto &item = records[index];
            body += bigEndian(1 + item.key.size() + item.value.size(), 4)
                    + static_cast<char>(item.key.size()) + item.key + item.value;
        }
        return makeReply(200, body);
    }

    response join(const json &call)
    {
        const auto member = call.at("member").get<std::string>();
        const auto now = steady::now();
        if (std::erase_if(m_members, [&](const auto &item) { return item.second < now; }) > 0)
            ++m_generation;
        if (!m_members.contains(member))
            ++m_generation;
        m_members[member] = now + milliseconds(parseMs(call.at("ttl_time").get<std::string>()));
        const auto index =
                static_cast<unsigned>(std::distance(m_members.begin(), m_members.find(member)));
        json parts = json::array();
        for (unsigned part = index; part < 8; part += m_members.size())
            parts.push_back({call.at("topics").at(0), part, 0});
        return makeReply(200,
                         json{{"generation", m_generation},
                              {"ttl_time", call.at("ttl_time")},
                              {"parts", parts}}
                                 .dump());
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    topics m_topics;
    std::map<std::string, steady::time_point> m_members;
    std::uint64_t m_generation = 1;
    bool m_isAway = false;
    steady::time_point m_leftAt{};
    int m_era = 1;
    std::vector<bool> m_isTurnedAway;
    std::vector<std::unique_ptr<server>> m_servers;
};

/// Checks the holds of keys of all workers: the rule OWNER.
class owner_check
{
public:
    struct hold {
        std::uint64_t fence = 0;
        steady::time_point until{};
    };

    /// Called with each accepted grant.
    void noteGrant(unsigned first, unsigned last, std::uint64_t fence, const std::string &worker)
    {
        const std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        std::string before;
        std::uint64_t had = 0;
        for (unsigned key = first; key <= last; ++key) {
            auto &[highest, owner] = m_highest[key];
            const bool isRising = fence > highest || owner.empty();
            if (!isRising && owner != worker) {
                ++count;
                before = owner;
                had = highest;
                continue;
            }
            if (isRising)
                m_highest[key] = {fence, worker};
        }
        if (count == 0)
            return;
        ++m_lowTokens;
        record.line("BROKEN OWNER: %s takes %zu keys of %u..%u with token %llu, %s had them with "
                    "%llu",
                    worker.c_str(), count, first, last, static_cast<unsigned long long>(fence),
                    before.c_str(), static_cast<unsigned long long>(had));
    }

    int lowTokens()
    {
        const std::lock_guard lock(m_mutex);
        return m_lowTokens;
    }

private:
    std::mutex m_mutex;
    std::vector<std::pair<std::uint64_t, std::string>> m_highest{KEYS};
    int m_lowTokens = 0;
};

inline owner_check owners;

/// A worker: takes grants and releases, and runs requests in its slots.
class worker
{
public:
    worker(store &shared, std::string id, std::string service, bool isKeyed, std::string host,
           std::string zone, milliseconds work, unsigned slots = 2)
        : m_store(shared)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_isKeyed(isKeyed)
        , m_host(std::move(host))
        , m_zone(std::move(zone))
        , m_work(work)
        , m_slots(slots)
        , m_holds(isKeyed ? KEYS : 0)
        , m_seen(isKeyed ? KEYS : 0, 0)
        , m_busy(isKeyed ? KEYS : 0, 0)
        , m_server(m_host, PORT, [this](const request &call) { return handle(call); })
    { }

    static constexpr unsigned short PORT = 8080;

    void start()
    {
        const std::lock_guard lock(m_mutex);
        m_born = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
        m_sequence = 0;
        m_server.listenAgain();
        m_isUp = true;
    }

    /// The process ends; its holds and all that it knew are gone.
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isUp = false;
            m_holds.assign(m_holds.size(), {});
            m_seen.assign(m_seen.size(), 0);
            ++m_run;
        }
        m_server.stopListening();
        m_server.resetAll();
    }

    /// Writes its entry, which it does with each heartbeat.
    void beat()
    {
        json entry;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isUp || m_isCut)
                return;
            entry = {{"address", m_host + ':' + std::to_string(PORT)},
                     {"born", m_born},
                     {"info",
                      {{"backend", m_service},
                       {"resource-version", "v1"},
                       {"zone", m_zone},
                       {"slots", m_slots}}},
                     {"status",
                      {{"phase", m_isDraining ? "draining" : "ready"},
                       {"sequence", ++m_sequence},
                       {"warmup-left", "0ms"}}}};
        }
        if (m_store.put("keyed.servers", m_id, entry.dump()))
            m_beatAt = nowMs();
    }

    void setDraining() { m_isDraining = true; }
    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    bool isUp() const { return m_isUp; }
    long beatAt() const { return m_beatAt; }

    std::size_t heldKeys()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = steady::now();
        std::size_t count = 0;
        for (const auto &item : m_holds)
            count += m_isUp && now < item.until ? 1 : 0;
        return count;
    }

    /// Copies the keys that it holds now, with their tokens; 0 where it holds none.
    void copyHolds(std::vector<std::uint64_t> &fences)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = steady::now();
        fences.assign(KEYS, 0);
        for (unsigned key = 0; key < m_holds.size(); ++key)
            if (m_isUp && now < m_holds[key].until)
                fences[key] = m_holds[key].fence;
    }

    /// Called with each request that arrives, before it is handled; may answer it.
    std::function<reply(worker &, const request &)> onArrival;
    /// Called with the id of each request that begins to run.
    std::function<void(worker &, const request &)> onRun;
    /// Added to each answer.
    std::function<void(worker &, response &)> onAnswer;

    response answerTo(const request &call, unsigned status, const std::string &body) const
    {
        auto answer = makeReply(status, body);
        const auto id = call["X-Clementinebeam-Request-Id"];
        if (!id.empty())
            answer.set("X-Clementinebeam-Request-Id", id);
        if (status == 200)
            answer.set("X-Clementinebeam-Response-Signature", "sig." + m_id);
        return answer;
    }

    response rejection(const request &call, unsigned status, const std::string &why) const
    {
        auto answer = answerTo(call, status, why);
        answer.set("X-Clementinebeam-Not-Executed", "1");
        return answer;
    }

private:
    reply handle(const request &call)
    {
        if (!m_isUp)
            return std::nullopt;
        const auto expected = call["X-Clementinebeam-Expect-Instance"];
        if (!expected.empty() && expected != m_id) {
            auto answer = rejection(call, 421, "another worker");
            answer.set("X-Clementinebeam-Instance-Id", m_id);
            return answer;
        }
        const std::string path(call.target());
        if (path == "/grant" && call.method() == http::verb::post)
            return grant(json::parse(call.body()));
        if (path == "/release" && call.method() == http::verb::post)
            return release(json::parse(call.body()));
        if (path == "/healthz") {
            auto answer = makeReply(200);
            answer.set("X-Clementinebeam-Instance-Id", m_id);
            return answer;
        }
        reply answer;
        if (onArrival)
            answer = onArrival(*this, call);
        if (!answer)
            answer = run(call);
        if (answer && onAnswer)
            onAnswer(*this, *answer);
        return answer;
    }

    response grant(const json &order)
    {
        const auto arrival = steady::now();
        const unsigned first = order.at("from");
        const unsigned last = order.at("target");
        const std::uint64_t fence = order.at("fence");
        const auto hold = milliseconds(parseMs(order.at("hold_time").get<std::string>()));
        const std::lock_guard lock(m_mutex);
        if (!m_isUp || !m_isKeyed || last >= KEYS || first > last)
            return makeReply(400);
        for (unsigned key = first; key <= last; ++key)
            if (m_seen[key] > fence)
                return makeReply(409);
        bool isNew = false;
        for (unsigned key = first; key <= last; ++key) {
            isNew |= m_holds[key].fence != fence || arrival >= m_holds[key].until;
            m_seen[key] = fence;
            m_holds[key] = {fence, arrival + hold};
        }
        // The same grant, sent once more, only renews.
        if (isNew) {
            record.line("granted %s keys %u..%u token %llu", m_id.c_str(), first, last,
                        static_cast<unsigned long long>(fence));
            owners.noteGrant(first, last, fence, m_id);
        }
        return makeReply(200);
    }

    response release(const json &order)
    {
        const unsigned first = order.at("from");
        const unsigned last = order.at("target");
        const std::uint64_t fence = order.at("fence");
        std::unique_lock lock(m_mutex);
        if (!m_isKeyed || last >= KEYS || first > last)
            return makeReply(400);
        for (unsigned key = first; key <= last; ++key)
            if (m_holds[key].fence <= fence)
                m_holds[key].until = {};
        record.line("released %s keys %u..%u token %llu", m_id.c_str(), first, last,
                    static_cast<unsigned long long>(fence));
        m_ended.wait(lock, [&] {
            for (unsigned key = first; key <= last; ++key)
                if (m_busy[key] > 0)
                    return false;
            return true;
        });
        auto answer = makeReply(200);
        answer.set("X-Clementinebeam-Handover", m_id + '-' + std::to_string(++m_releases));
        return answer;
    }

    reply run(const request &call)
    {
        const std::string id(call["X-Clementinebeam-Request-Id"]);
        if (id.empty())
            return rejection(call, 400, "no id");
        const unsigned key = m_isKeyed
                ? static_cast<unsigned>(std::strtoul(
                        std::string(call["X-Clementinebeam-Shard-Key"]).c_str(), nullptr, 10))
                : 0;
        std::unique_lock lock(m_mutex);
        const auto run = m_run;
        if (m_running >= m_slots) {
            if (m_waiting >= MAX_WAITING)
                return rejection(call, 503, "full");
            ++m_waiting;
            const bool hasSlot =
                    m_ended.wait_for(lock, milliseconds(1000), [&] { return m_running < m_slots; });
            --m_waiting;
            if (!hasSlot)
                return rejection(call, 503, "deadline");
        }
        if (run != m_run || !m_isUp)
            return std::nullopt;
        if (m_isKeyed && !(key < KEYS && steady::now() < m_holds[key].until))
            return rejection(call, 421, "key not held");
        ++m_running;
        if (m_isKeyed)
            ++m_busy[key];
        lock.unlock();
        record.line("run %s at %s (%s) %s", id.c_str(), m_id.c_str(), m_service.c_str(),
                    std::string(call.target()).c_str());
        if (onRun)
            onRun(*this, call);
        pauseFor(m_work);
        lock.lock();
        --m_running;
        if (m_isKeyed)
            --m_busy[key];
        m_ended.notify_all();
        if (run != m_run || !m_isUp)
            return std::nullopt;
        if (m_isKeyed && steady::now() >= m_holds[key].until)
            return answerTo(call, 500, "the lease has run out");
        auto answer = answerTo(call, 200, m_service + ' ' + std::string(call.target()));
        answer.set("X-Clementinebeam-Server-Load",
                   std::to_string(m_running) + ',' + std::to_string(m_waiting) + ','
                           + std::to_string(m_slots));
        return answer;
    }

    static constexpr unsigned MAX_WAITING = 8;

    store &m_store;
    const std::string m_id;
    const std::string m_service;
    const bool m_isKeyed;
    const std::string m_host;
    const std::string m_zone;
    const milliseconds m_work;
    const unsigned m_slots;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::vector<owner_check::hold> m_holds;
    std::vector<std::uint64_t> m_seen;
    std::vector<int> m_busy;
    std::atomic<bool> m_isUp{false};
    std::atomic<bool> m_isCut{false};
    std::atomic<bool> m_isDraining{false};
    std::atomic<long> m_beatAt{0};
    long m_born = 0;
    long m_sequence = 0;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    int m_run = 0;
    int m_releases = 0;
    server m_server;
};

/// All workers of a case: their heartbeats, the removal of entries that lapse, and the rule OWNER.
class worker_group
{
public:
    explicit worker_group(store &shared)
        : m_store(shared)
    { }

    worker &add(const std::string &id, const std::string &service, bool isKeyed,
                const std::string &host, const std::string &zone, milliseconds work,
                unsigned slots = 2)
    {
        auto item =
                std::make_unique<worker>(m_store, id, service, isKeyed, host, zone, work, slots);
        auto &added = *item;
        const std::lock_guard lock(m_mutex);
        m_workers.push_back(std::move(item));
        return added;
    }

    void begin()
    {
        std::thread([this] { beatAll(); }).detach();
        std::thread([this] { watchKeys(); }).detach();
    }

    /// Writes all entries at once, as after the return of the store.
    void writeAgain()
    {
        for (auto *item : all())
            item->beat();
    }

    std::vector<worker *> all()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<worker *> found;
        for (const auto &item : m_workers)
            found.push_back(item.get());
        return found;
    }

    std::size_t heldKeys(const std::string &service)
    {
        std::size_t count = 0;
        for (auto *item : all())
            if (item->service() == service)
                count += item->heldKeys();
        return count;
    }

    int doubleHolds() const { return m_doubleHolds; }

private:
    void beatAll()
    {
        for (;;) {
            for (auto *item : all()) {
                item->beat();
                const bool hasLapsed =
                        !item->isUp() && nowMs() > item->beatAt() + 3 * HEARTBEAT.count();
                if (hasLapsed && !m_store.newestValue("keyed.servers", item->id()).empty())
                    m_store.put("keyed.servers", item->id(), {});
            }
            pauseFor(HEARTBEAT);
        }
    }

    /// Two workers that are up must not hold the same keys for over half a second.
    void watchKeys()
    {
        std::vector<std::vector<std::uint64_t>> holds;
        std::vector<long> since(KEYS, 0);
        for (;;) {
            const auto workers = all();
            holds.resize(workers.size());
            for (std::size_t index = 0; index < workers.size(); ++index)
                workers[index]->copyHolds(holds[index]);
            const auto now = nowMs();
            std::size_t count = 0;
            unsigned sample = 0;
            for (unsigned key = 0; key < KEYS; ++key) {
                int holders = 0;
                for (const auto &item : holds)
                    holders += item[key] > 0 ? 1 : 0;
                if (holders < 2)
                    since[key] = 0;
                else if (since[key] == 0)
                    since[key] = now;
                else if (since[key] > 0 && now > since[key] + 500) {
                    since[key] = -1;
                    ++count;
                    sample = key;
                }
            }
            if (count > 0) {
                ++m_doubleHolds;
                std::string who;
                for (std::size_t index = 0; index < workers.size(); ++index)
                    if (holds[index][sample] > 0)
                        who += ' ' + workers[index]->id() + " (token "
                                + std::to_string(holds[index][sample]) + ')';
                record.line("BROKEN OWNER: %zu keys, among them %u, have been held for over 500 ms "
                            "by%s",
                            count, sample, who.c_str());
            }
            pauseFor(milliseconds(20));
        }
    }

    store &m_store;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::atomic<int> m_doubleHolds{0};
};

/// The answer that a client got; status 0 if the connection ended without one.
struct outcome {
    unsigned status = 0;
    std::string body;
    response answer;
};

inline std::string newId()
{
    static std::atomic<unsigned> count{0};
    return "r" + std::to_string(++count);
}

/// Sends one request on a new connection and waits for its answer.
inline outcome ask(const std::string &host, unsigned short port, request call,
                   milliseconds deadline, const std::string &what)
{
    const std::string id(call["X-Clementinebeam-Request-Id"]);
    record.line("sent %s to %s: %s", id.c_str(), host.c_str(), what.c_str());
    asio::io_context context;
    beast::tcp_stream stream(context);
    outcome result;
    boost::system::error_code error;
    beast::flat_buffer buffer;
    const auto run = [&] {
        context.restart();
        context.run();
    };
    stream.expires_after(deadline + milliseconds(500));
    stream.async_connect(tcp::endpoint(asio::ip::make_address(host), port),
                         [&](boost::system::error_code code) { error = code; });
    run();
    if (!error) {
        http::async_write(stream, call,
                          [&](boost::system::error_code code, std::size_t) { error = code; });
        run();
    }
    if (!error) {
        http::async_read(stream, buffer, result.answer,
                         [&](boost::system::error_code code, std::size_t) { error = code; });
        run();
    }
    if (!error) {
        result.status = result.answer.result_int();
        result.body = result.answer.body();
    }
    record.line("answered %s: %u %s", id.c_str(), result.status,
                error ? error.message().c_str()
                      : result.body.substr(0, result.body.find('\n')).c_str());
    return result;
}

inline request makeCall(http::verb method, const std::string &host, const std::string &path,
                        milliseconds deadline, std::optional<unsigned> key = {},
                        std::string body = {})
{
    request call;
    call.version(11);
    call.method(method);
    call.target(path);
    call.set(http::field::host, host);
    call.set("X-Clementinebeam-Request-Id", newId());
    call.set("X-Clementinebeam-Deadline-Ms", std::to_string(deadline.count()));
    if (key)
        call.set("X-Clementinebeam-Shard-Key", std::to_string(*key));
    call.body() = std::move(body);
    call.prepare_payload();
    return call;
}

/// A machine with the system's process, started with the command of the deploy file.
class gateway
{
public:
    gateway(std::string name, std::string host, std::string zone, std::string storeAddress,
            const std::string &folder)
        : m_name(std::move(name))
        , m_host(std::move(host))
        , m_settings(folder + '/' + m_name + ".json")
        , m_log(folder + '/' + m_name + ".log")
    {
        const json settings{{"instance", m_name},
                            {"data_centre", zone},
                            {"address", m_host},
                            {"caller_listener", m_host + ":8381"},
                            {"readiness_listener", m_host + ":8388"},
                            {"first_internal_port", 7200},
                            {"processor_share", 0.2},
                            {"link_mbps", 1000.0},
                            {"memory_mb", 260},
                            {"max_descriptors", 4100},
                            {"store", storeAddress},
                            {"store_parts", 8},
                            {"target_heartbeat", "870ms"},
                            {"bounds",
                             {{"retry_share", 0.2},
                              {"retry_slack", 64},
                              {"hold_max", "10000ms"},
                              {"grace", "6s"},
                              {"drain", "2000ms"}}}};
        std::ofstream(m_settings) << settings.dump(2);
    }

    static constexpr unsigned short FRONT = 8381;
    static constexpr unsigned short READINESS = 8388;

    void start()
    {
        const std::string program = "target/src/gatewaydaemon/clementinebeam-gateway";
        char *arguments[] = {const_cast<char *>(program.c_str()), nullptr};
        std::string variable = "CLEMENTINEBEAM_CONFIG=" + m_settings;
        std::vector<char *> environment;
        for (char **item = environ; *item; ++item)
            environment.push_back(*item);
        environment.push_back(variable.data());
        environment.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        for (const int output : {STDOUT_FILENO, STDERR_FILENO})
            posix_spawn_file_actions_addopen(&files, output, m_log.c_str(),
                                             O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
        pid_t id = 0;
        if (posix_spawn(&id, program.c_str(), &files, nullptr, arguments, environment.data())
            != 0) {
            std::fprintf(stderr, "can't start %s\n", program.c_str());
            giveUp(0);
        }
        posix_spawn_file_actions_destroy(&files);
        setProcess(id);
        record.line("machine %s starts", m_name.c_str());
    }

    void signal(int number)
    {
        if (m_process > 0) {
            record.line("machine %s gets signal %d", m_name.c_str(), number);
            ::kill(m_process, number);
        }
    }

    bool isRunning()
    {
        if (m_process > 0 && waitpid(m_process, &m_status, WNOHANG) == m_process) {
            record.line("machine %s has ended with status %d", m_name.c_str(), m_status);
            setProcess(0);
        }
        return m_process > 0;
    }

    /// Waits for the end of the process; kills it after the grace time.
    void awaitEnd()
    {
        const auto end = steady::now() + milliseconds(6000);
        while (isRunning() && steady::now() < end)
            pauseFor(milliseconds(20));
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            waitpid(m_process, &m_status, 0);
            setProcess(0);
        }
    }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        waitpid(m_process, &m_status, 0);
        setProcess(0);
    }

    bool isReady()
    {
        asio::io_context context;
        tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect({asio::ip::make_address(m_host), READINESS}, error);
        if (error)
            return false;
        http::request<http::empty_body> call(http::verb::get, "/readyz", 11);
        call.set(http::field::host, m_host);
        http::write(socket, call, error);
        beast::flat_buffer buffer;
        response answer;
        if (!error)
            http::read(socket, buffer, answer, error);
        return !error && answer.result_int() == 200;
    }

    bool awaitReady(milliseconds limit)
    {
        const auto end = steady::now() + limit;
        while (steady::now() < end) {
            if (isReady())
                return true;
            pauseFor(milliseconds(50));
        }
        return false;
    }

    /// Counts the lines of its log that contain a text.
    int logged(const std::string &text) const
    {
        std::ifstream file(m_log);
        std::string row;
        int count = 0;
        while (std::getline(file, row))
            count += row.find(text) != std::string::npos ? 1 : 0;
        return count;
    }

    pid_t id() const { return m_process; }
    const std::string &name() const { return m_name; }
    const std::string &host() const { return m_host; }

private:
    void setProcess(pid_t id)
    {
        if (id == 0) {
            for (auto &item : startedProcesses) {
                pid_t expected = m_process;
                item.compare_exchange_strong(expected, 0);
            }
        } else {
            for (auto &item : startedProcesses) {
                pid_t expected = 0;
                if (item.compare_exchange_strong(expected, id))
                    break;
            }
        }
        m_process = id;
    }

    const std::string m_name;
    const std::string m_host;
    const std::string m_settings;
    const std::string m_log;
    std::atomic<pid_t> m_process{0};
    int m_status = 0;
};

/// What all cases share: addresses, a temporary folder, the store, workers and machines.
class deployment
{
public:
    deployment()
        : m_net("127." + std::to_string(64 + getpid() % 128) + '.'
                + std::to_string(getpid() / 128 % 250) + '.')
        , m_folder(makeFolder())
        , shared(storeHosts(m_net))
        , workers(shared)
    { }

    /// Ends all processes. The threads of the stand-ins go on until the program exits.
    void end()
    {
        for (auto &item : machines)
            item->kill();
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(m_folder);
        else
            std::printf("logs: %s\n", m_folder.c_str());
    }

    static constexpr unsigned MACHINES = 4;

    std::string address(unsigned number) const { return m_net + std::to_string(number); }

    gateway &addMachine(const std::string &zone)
    {
        const auto number = static_cast<unsigned>(machines.size());
        machines.push_back(std::make_unique<gateway>(
                "front-" + std::to_string(number), address(10 + number), zone,
                address(200 + number) + ':' + std::to_string(store::PORT), m_folder));
        return *machines.back();
    }

    worker &addWorker(const std::string &service, bool isKeyed, const std::string &zone,
                      milliseconds work, unsigned slots = 2)
    {
        const auto number = ++m_workerCount;
        return workers.add("i-" + service + '-' + std::to_string(number), service, isKeyed,
                           address(100 + number), zone, work, slots);
    }

private:
    static std::string makeFolder()
    {
        std::string name = std::filesystem::temp_directory_path().string() + "/review3-XXXXXX";
        if (!mkdtemp(name.data()))
            giveUp(0);
        return name;
    }

    static std::vector<std::string> storeHosts(const std::string &net)
    {
        std::vector<std::string> hosts;
        for (unsigned number = 0; number < MACHINES; ++number)
            hosts.push_back(net + std::to_string(200 + number));
        return hosts;
    }

    const std::string m_net;
    const std::string m_folder;
    unsigned m_workerCount = 0;

public:
    store shared;
    worker_group workers;
    std::vector<std::unique_ptr<gateway>> machines;
};

/// A row of the table of routes.
struct route_row {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
};

inline std::string configuration(int version, const std::vector<route_row> &routes,
                                 const std::vector<std::pair<std::string, bool>> &services,
                                 const std::string &timeout = "1500ms")
{
    json table{{"columns",
                {"name", "hostname", "path-prefix", "type", "timeout", "target-latency", "priority",
                 "traffic-split", "max-attempts", "backend"}},
               {"rows", json::array()}};
    for (const auto &item : routes)
        table["rows"].push_back({item.name, "shop.example", item.prefix, item.kind, timeout,
                                 "400ms", 1, nullptr, 2, item.service});
    json list{{"columns",
               {"name", "health-path", "max-connections", "protocol", "tls", "sharded", "warm",
                "grants"}},
              {"rows", json::array()}};
    for (const auto &[name, isKeyed] : services)
        list["rows"].push_back({name, "/healthz", 130, "h1", false, isKeyed ? json(true) : json(),
                                isKeyed ? json("5s") : json(), isKeyed ? json("request") : json()});
    return json{{"resource-version", version},
                {"routes", table},
                {"services", list},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", 67108864},
                  {"header-timeout", "3000ms"},
                  {"idle-timeout", "15000ms"}}}}
            .dump();
}

} // namespace review
