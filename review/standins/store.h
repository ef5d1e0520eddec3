// Stand-in of the platform's store: keyed topics, conditional appends, long polls and one group.
#pragma once

#include "http.h"

#include <condition_variable>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

using nlohmann::json;

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *const DIGITS =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = group << 8U
                    | (index + offset < bytes.size()
                               ? static_cast<unsigned char>(bytes[index + offset])
                               : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            text += index + digit > bytes.size() ? '=' : DIGITS[group >> (18U - 6U * digit) & 63U];
    }
    return text;
}

class store
{
public:
    ~store() { stop(); }

    /// Serves one machine of the system; each has a port of its own.
    bool start(int port)
    {
        auto &entry = m_entries.emplace_back(std::make_unique<machine_entry>());
        const auto machine = static_cast<int>(m_entries.size()) - 1;
        return entry->server.start(port,
                                   [=, this, &entry = *entry](const message &call, stream &peer) {
                                       return entry.isRefused ? peer.write(answerText(503, {}, {}))
                                                              : handle(call, peer, machine);
                                   });
    }
    void stop()
    {
        m_isStopped = true;
        m_changed.notify_all();
        for (auto &entry : m_entries)
            entry->server.stop();
    }

    /// Turns away a machine with 503, in the order of start(), or serves it again.
    void setRefused(std::size_t machine, bool isRefused)
    {
        m_entries.at(machine)->isRefused = isRefused;
    }

    /// @return the machine that last wrote a record with a key under a condition, or -1.
    int lastWriter(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_writers.find(key);
        return found == m_writers.end() ? -1 : found->second;
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

private:
    struct record {
        std::string key;
        std::string value;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        auto start = target.find('?');
        while (start != std::string::npos) {
            const auto end = target.find('&', start + 1);
            const auto item = target.substr(start + 1, end - start - 1);
            if (item.rfind(name + '=', 0) == 0)
                return item.substr(name.size() + 1);
            start = end;
        }
        return {};
    }

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text += static_cast<char>(value >> static_cast<unsigned>(shift));
        return text;
    }

    bool handle(const message &call, stream &peer, int machine)
    {
        const auto target = call.target();
        const auto path = target.substr(0, target.find('?'));
        const auto topic = parameter(target, "topic");
        std::unique_lock lock(m_mutex);
        int status = 200;
        std::string body;
        if (path == "/log-newest")
            body = newest(topic);
        else if (path == "/log-append")
            body = append(topic, parameter(target, "at"), call.body, status, machine);
        else if (path == "/log-read")
            body = read(topic, target, lock);
        else if (path == "/log-join")
            body = join(call.body);
        else if (path == "/log-leave")
            body = leave(call.body);
        else
            status = 404;
        lock.unlock();
        return peer.write(answerText(status, {}, body));
    }

    std::string newest(const std::string &topic)
    {
        std::map<std::string, std::string> values;
        for (const auto &item : m_topics[topic])
            values[item.key] = item.value;
        json items = json::array();
        for (const auto &[key, value] : values) {
            if (!value.empty())
                items.push_back({{"key", key}, {"value", encodeBase64(value)}, {"offset", 0}});
        }
        return json{{"items", items}, {"more", false}, {"end", m_topics[topic].size()}}.dump();
    }

    std::string append(const std::string &topic, const std::string &at, const std::string &body,
                       int &status, int machine)
    {
        auto &records = m_topics[topic];
        if (!at.empty() && std::stoul(at) != records.size()) {
            status = 412;
            return json{{"end", records.size()}}.dump();
        }
        const auto keySize = static_cast<unsigned char>(body.at(4));
        records.push_back({body.substr(5, keySize), body.substr(5U + keySize)});
        m_writers[records.back().key] = machine;
        m_changed.notify_all();
        return json{{"offset", records.size() - 1}, {"end", records.size()}}.dump();
    }

    std::string read(const std::string &topic, const std::string &target,
                     std::unique_lock<std::mutex> &lock)
    {
        const auto from = std::stoul(parameter(target, "from"));
        const auto wait = parameter(target, "wait-ms");
        if (!wait.empty())
            m_changed.wait_for(lock, milliseconds(std::stoul(wait)),
                               [&] { return m_isStopped || m_topics[topic].size() > from; });
        const auto &records = m_topics[topic];
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (auto index = from; index < records.size(); ++index) {
            const auto &item = records[index];
            body += bigEndian(1 + item.key.size() + item.value.size(), 4)
                    + static_cast<char>(item.key.size()) + item.key + item.value;
        }
        return body;
    }

    std::string join(const std::string &body)
    {
        const auto call = json::parse(body);
        const auto member = call.at("member").get<std::string>();
        const auto text = call.at("ttl_time").get<std::string>();
        const bool isMilliseconds = text.ends_with("ms");
        const milliseconds lifetime(
                static_cast<long>(std::stod(text) * (isMilliseconds ? 1.0 : 1000.0)));
        const auto now = clock::now();
        if (std::erase_if(m_members, [&](const auto &item) { return item.second < now; }) > 0)
            ++m_generation;
        if (!m_members.contains(member))
            ++m_generation;
        m_members[member] = now + lifetime;
        std::size_t index = 0;
        for (const auto &[name, until] : m_members) {
            if (name == member)
                break;
            ++index;
        }
        json parts = json::array();
        for (auto part = index; part < PARTS; part += m_members.size())
            parts.push_back({call.at("topics").at(0), part, 0});
        return json{{"generation", m_generation}, {"parts", parts}}.dump();
    }

    std::string leave(const std::string &body)
    {
        if (m_members.erase(json::parse(body).at("member").get<std::string>()) > 0)
            ++m_generation;
        return "{}";
    }

    struct machine_entry {
        http_server server;
        std::atomic<bool> isRefused{false};
    };

    static constexpr std::size_t PARTS = 8;
    std::vector<std::unique_ptr<machine_entry>> m_entries;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isStopped{false};
    std::map<std::string, std::vector<record>> m_topics;
    std::map<std::string, clock::time_point> m_members;
    std::map<std::string, int> m_writers;
    std::uint64_t m_generation = 0;
};

} // namespace review
