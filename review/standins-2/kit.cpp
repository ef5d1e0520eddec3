#include "kit.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in addressOf(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, HOST, &address.sin_addr);
    return address;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>(value >> static_cast<unsigned>(shift));
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *LETTERS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        unsigned value = 0;
        for (std::size_t next = 0; next < 3; ++next)
            value = value << 8U
                    | (index + next < bytes.size() ? static_cast<unsigned char>(bytes[index + next])
                                                   : 0U);
        for (int letter = 0; letter < 4; ++letter) {
            const bool isPadding = index + static_cast<std::size_t>(letter) > bytes.size();
            text += isPadding ? '='
                              : LETTERS[value >> static_cast<unsigned>(18 - 6 * letter) & 63U];
        }
    }
    return text;
}

std::string parameter(const std::string &target, const std::string &name)
{
    for (const char *separator : {"?", "&"}) {
        const auto start = target.find(separator + name + '=');
        if (start == std::string::npos)
            continue;
        const auto begin = start + name.size() + 2;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    return {};
}

std::string textField(const std::string &body, const std::string &name)
{
    const auto start = body.find('"' + name + "\":\"");
    if (start == std::string::npos)
        return {};
    const auto begin = start + name.size() + 4;
    return body.substr(begin, body.find('"', begin) - begin);
}

bool canBind(std::uint16_t port, int type)
{
    const int handle = ::socket(AF_INET, type, 0);
    const auto address = addressOf(port);
    const bool isFree =
            ::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(handle);
    return isFree;
}

} // namespace

recorder::recorder(const std::string &path)
    : m_file(path)
{ }

long recorder::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_start).count();
}

void recorder::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << elapsed() << ' ' << text << std::endl;
}

std::string http_message::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::string http_message::method() const
{
    return first.substr(0, first.find(' '));
}

std::string http_message::target() const
{
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
}

int http_message::status() const
{
    return std::atoi(first.c_str() + first.find(' '));
}

stream::~stream()
{
    ::close(m_handle);
}

bool stream::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string stream::readSome(std::size_t size, milliseconds limit)
{
    m_error = 0;
    pollfd item{m_handle, POLLIN, 0};
    if (::poll(&item, 1, static_cast<int>(limit.count())) <= 0) {
        m_error = ETIMEDOUT;
        return {};
    }
    std::string bytes(size, '\0');
    const auto count = ::recv(m_handle, bytes.data(), size, 0);
    if (count <= 0) {
        m_error = count < 0 ? errno : 0;
        return {};
    }
    bytes.resize(static_cast<std::size_t>(count));
    return bytes;
}

bool stream::fill(steady::time_point end)
{
    const auto left = std::chrono::duration_cast<milliseconds>(end - steady::now());
    if (left.count() <= 0) {
        m_error = ETIMEDOUT;
        return false;
    }
    const auto bytes = readSome(65536, left);
    m_buffer += bytes;
    return !bytes.empty();
}

std::optional<http_message> stream::receive(milliseconds limit)
{
    const auto end = steady::now() + limit;
    std::size_t headEnd = 0;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(end))
            return std::nullopt;
    }
    http_message message;
    std::istringstream lines(m_buffer.substr(0, headEnd));
    std::getline(lines, message.first);
    if (!message.first.empty() && message.first.back() == '\r')
        message.first.pop_back();
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const auto begin = line.find_first_not_of(' ', colon + 1);
        message.fields[name] = begin == std::string::npos ? std::string() : line.substr(begin);
    }
    m_buffer.erase(0, headEnd + 4);
    const auto length = message.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size) {
        if (!fill(end))
            return std::nullopt;
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return message;
}

void stream::shut()
{
    ::shutdown(m_handle, SHUT_RDWR);
}

void stream::reset()
{
    const linger option{1, 0};
    ::setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    ::shutdown(m_handle, SHUT_RD);
}

std::shared_ptr<stream> connectTo(std::uint16_t port, int receiveBuffer)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const auto address = addressOf(port);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(handle);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_shared<stream>(handle);
}

std::uint16_t freePorts(int count)
{
    // Below the range from which the system takes the ports of outgoing connections.
    static std::uint16_t next = static_cast<std::uint16_t>(12000 + ::getpid() % 190 * 100);
    for (;;) {
        bool isFree = true;
        for (int index = 0; index < count; ++index) {
            const auto port = static_cast<std::uint16_t>(next + index);
            isFree = isFree && canBind(port, SOCK_STREAM) && canBind(port, SOCK_DGRAM);
        }
        const auto first = next;
        next = static_cast<std::uint16_t>(next + count);
        if (isFree)
            return first;
    }
}

std::uint16_t freePort()
{
    return freePorts(1);
}

server::server(std::uint16_t port, handler handle)
    : m_port(port)
    , m_handle(std::move(handle))
{ }

server::~server()
{
    stop();
}

bool server::start()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = addressOf(m_port);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(listener, 512) != 0) {
        ::close(listener);
        return false;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_listener = listener;
    }
    m_acceptor = std::thread([this] { accept(); });
    return true;
}

void server::accept()
{
    for (;;) {
        int listener = -1;
        {
            const std::lock_guard lock(m_mutex);
            listener = m_listener;
        }
        if (listener < 0)
            return;
        const int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0)
            return;
        const int on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const auto connection = std::make_shared<stream>(handle);
        {
            const std::lock_guard lock(m_mutex);
            std::erase_if(m_streams, [](const auto &item) { return item.expired(); });
            m_streams.push_back(connection);
        }
        std::thread([this, connection] {
            m_handle(connection);
            connection->shut();
        }).detach();
    }
}

void server::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_listener < 0)
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_listener = -1;
        for (const auto &item : m_streams) {
            if (const auto connection = item.lock())
                connection->shut();
        }
        m_streams.clear();
    }
    if (m_acceptor.joinable())
        m_acceptor.join();
}

std::string makeAnswer(int status, const std::string &fields, const std::string &body)
{
    const char *reason = status == 200 ? "OK" : "Other";
    return "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

store::store(std::uint16_t port)
    : m_server(port, [this](const auto &connection) { handle(connection); })
{ }

void store::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

void store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({key, value});
    }
    m_changed.notify_all();
}

void store::handle(const std::shared_ptr<stream> &connection)
{
    while (const auto call = connection->receive(std::chrono::minutes(3))) {
        if (!connection->send(answer(*call)))
            return;
    }
}

std::string store::answer(const http_message &call)
{
    const auto target = call.target();
    const auto path = target.substr(0, target.find('?'));
    const auto topic = parameter(target, "topic");
    if (path == "/log-newest")
        return newest(topic);
    if (path == "/log-read") {
        const auto wait = parameter(target, "wait-ms");
        return read(topic, std::stoul(parameter(target, "from")),
                    wait.empty() ? 0 : std::stol(wait));
    }
    if (path == "/log-append")
        return append(topic, parameter(target, "at"), call.body);
    if (path == "/log-join")
        return join(call.body);
    if (path == "/log-leave") {
        const std::lock_guard lock(m_mutex);
        if (m_members.erase(textField(call.body, "member")) > 0)
            ++m_generation;
        return makeAnswer(200, "Content-Type: application/json\r\n", "{}");
    }
    return makeAnswer(404, "", "");
}

std::string store::read(const std::string &topic, std::size_t from, long wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, milliseconds(wait),
                       [&] { return m_isStopped || m_topics[topic].size() > from; });
    const auto &records = m_topics[topic];
    auto body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t index = from; index < records.size(); ++index) {
        const auto &[key, value] = records[index];
        body += bigEndian(1 + key.size() + value.size(), 4) + bigEndian(key.size(), 1) + key
                + value;
    }
    return makeAnswer(200, "", body);
}

std::string store::newest(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::pair<std::string, std::size_t>> values;
    const auto &records = m_topics[topic];
    for (std::size_t index = 0; index < records.size(); ++index)
        values[records[index].key] = {records[index].value, index};
    std::string items;
    for (const auto &[key, value] : values) {
        if (value.first.empty())
            continue;
        items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
                + base64(value.first) + "\",\"offset\":" + std::to_string(value.second) + '}';
    }
    return makeAnswer(200, "Content-Type: application/json\r\n",
                      "{\"items\":[" + items
                              + "],\"more\":false,\"end\":" + std::to_string(records.size()) + '}');
}

std::string store::append(const std::string &topic, const std::string &at, const std::string &body)
{
    std::string answered;
    {
        const std::lock_guard lock(m_mutex);
        auto &records = m_topics[topic];
        if (!at.empty() && std::stoul(at) != records.size())
            return makeAnswer(412, "Content-Type: application/json\r\n",
                              "{\"end\":" + std::to_string(records.size()) + '}');
        const auto keySize = static_cast<unsigned char>(body.at(4));
        records.push_back({body.substr(5, keySize), body.substr(5 + keySize)});
        answered = "{\"offset\":" + std::to_string(records.size() - 1)
                + ",\"end\":" + std::to_string(records.size()) + '}';
    }
    m_changed.notify_all();
    return makeAnswer(200, "Content-Type: application/json\r\n", answered);
}

std::string store::join(const std::string &body)
{
    constexpr std::size_t PARTS = 8;
    const std::lock_guard lock(m_mutex);
    const auto now = steady::now();
    if (std::erase_if(m_members, [now](const auto &item) { return item.second < now; }) > 0)
        ++m_generation;
    const auto member = textField(body, "member");
    const auto lifetime = std::stol(textField(body, "ttl_time"));
    if (!m_members.contains(member))
        ++m_generation;
    m_members[member] = now + milliseconds(lifetime);
    const auto position = std::distance(m_members.begin(), m_members.find(member));
    std::string parts;
    for (auto part = static_cast<std::size_t>(position); part < PARTS; part += m_members.size())
        parts += (parts.empty() ? "" : ",") + std::string("[\"coordinators\",")
                + std::to_string(part) + ",0]";
    return makeAnswer(200, "Content-Type: application/json\r\n",
                      "{\"generation\":" + std::to_string(m_generation) + ",\"ttl_time\":\""
                              + std::to_string(lifetime) + "ms\",\"parts\":[" + parts + "]}");
}

gateway::gateway(std::string program, std::string folder, std::string name, std::uint16_t storePort,
                 int memoryMb)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_name(std::move(name))
    , m_port(freePorts(6))
{
    const auto at = [this](int offset) {
        return '"' + std::string(HOST) + ':' + std::to_string(m_port + offset) + '"';
    };
    std::ofstream(m_folder + '/' + m_name + ".json")
            << "{\"instance\":\"" << m_name << "\",\"data_centre\":\"p\",\"address\":\"" << HOST
            << "\",\"caller_listener\":" << at(0) << ",\"readiness_listener\":" << at(1)
            << ",\"first_internal_port\":" << m_port + 2
            << ",\"processor_share\":0.2,\"link_mbps\":1000.0,\"memory_mb\":" << memoryMb
            << ",\"max_descriptors\":4100,\"store\":\"" << HOST << ':' << storePort
            << "\",\"store_parts\":8,\"target_heartbeat\":\"870ms\",\"bounds\":{\"retry_share\":0."
               "2,"
               "\"retry_slack\":64,\"hold_max\":\"10000ms\",\"grace\":\"6s\",\"drain\":\"2000ms\"}"
               "}";
}

gateway::~gateway()
{
    if (!isRunning())
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void gateway::start()
{
    const auto settings = m_folder + '/' + m_name + ".json";
    const auto log = m_folder + '/' + m_name + ".log";
    m_process = ::fork();
    if (m_process != 0)
        return;
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // A gateway does not outlive the case.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("CLEMENTINEBEAM_CONFIG", settings.c_str(), 1);
    ::execl(m_program.c_str(), m_program.c_str(), nullptr);
    ::_exit(127);
}

void gateway::signal(int number)
{
    if (isRunning())
        ::kill(m_process, number);
}

bool gateway::isRunning()
{
    if (m_process == 0)
        return false;
    if (::waitpid(m_process, nullptr, WNOHANG) != m_process)
        return true;
    m_process = 0;
    return false;
}

bool gateway::waitForEnd(milliseconds limit)
{
    if (waitUntil([this] { return !isRunning(); }, limit))
        return true;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    m_process = 0;
    return false;
}

bool gateway::isReady()
{
    const auto connection = connectTo(static_cast<std::uint16_t>(m_port + 1));
    if (!connection || !connection->send("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n"))
        return false;
    const auto answer = connection->receive(milliseconds(500));
    return answer && answer->status() == 200;
}

bool waitUntil(const std::function<bool()> &condition, milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (!condition()) {
        if (steady::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

std::string jsonEntry(std::uint16_t port, const std::string &service, const std::string &phase,
                      long born)
{
    return "{\"address\":\"" + std::string(HOST) + ':' + std::to_string(port)
            + "\",\"born\":" + std::to_string(born) + ",\"info\":{\"backend\":\"" + service
            + "\",\"resource-version\":\"v1\",\"zone\":\"p\",\"slots\":2},\"status\":{\"phase\":\""
            + phase + "\",\"sequence\":1,\"warmup-left\":\"0ms\"}}";
}

} // namespace review
