#include "cluster.h"

#include "clementinebeam/http/httpconnection.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace clementinebeam::test {

namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t PLATFORM_PORT = 23000;
constexpr std::uint16_t CALLER_PORT = 23100;
constexpr std::uint16_t OPERATOR_PORT = 23200;
constexpr std::uint16_t PEER_PORT = 23300;
constexpr std::uint16_t TARGET_PORT = 23400;
constexpr const char *TOKEN = "process-test-token";
constexpr milliseconds POLL_INTERVAL{20};

network_address addressOf(std::uint16_t base, std::size_t number)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(base + number)};
}

nlohmann::json listener(std::uint16_t base, std::size_t number)
{
    return {{"address", "127.0.0.1"}, {"port", base + number}};
}

std::string dataCentre(std::size_t number)
{
    return "dc" + std::to_string(number % 3);
}

} // namespace

cluster::cluster()
{
    std::signal(SIGPIPE, SIG_IGN);
    char pattern[] = "/tmp/clementinebeam-XXXXXX";
    m_folder = mkdtemp(pattern);
    start("platform",
          {PLATFORM_PROGRAM, "--port=" + std::to_string(PLATFORM_PORT), "--list_lag_ms=100"});
    waitFor([this] {
        return sendRequest(addressOf(PLATFORM_PORT, 0), "GET", "/instances", "").status == 200;
    });
}

cluster::~cluster()
{
    for (const auto &[name, process] : m_processes) {
        kill(process, SIGCONT);
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    std::filesystem::remove_all(m_folder);
}

void cluster::start(const std::string &name, const std::vector<std::string> &arguments)
{
    std::vector<char *> argv;
    for (const auto &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    const auto log = m_folder + '/' + name + ".log";
    posix_spawn_file_actions_t fileActions;
    posix_spawn_file_actions_init(&fileActions);
    for (const int output : {STDOUT_FILENO, STDERR_FILENO})
        posix_spawn_file_actions_addopen(&fileActions, output, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
    pid_t process = 0;
    posix_spawn(&process, argv[0], &fileActions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&fileActions);
    m_processes[name] = process;
}

void cluster::startInstance(std::size_t number)
{
    const auto id = "i" + std::to_string(number);
    const nlohmann::json settings{
            {"instance", id},
            {"data_centre", dataCentre(number)},
            {"data_centres", {"dc0", "dc1", "dc2"}},
            {"caller_listener", listener(CALLER_PORT, number)},
            {"operator_listener", listener(OPERATOR_PORT, number)},
            {"peer_listener", listener(PEER_PORT, number)},
            {"platform", listener(PLATFORM_PORT, 0)},
            {"peer_key", "process-test-key-of-all"},
            {"caller_threads", 32},
            {"departments", {{{"name", "all"}, {"token", TOKEN}, {"services", {"*"}}}}},
    };
    const auto path = m_folder + '/' + id + ".json";
    std::ofstream(path) << settings.dump();
    start(id, {DAEMON_PROGRAM, "--settings=" + path});
    putListing(id,
               {{"role", "instance"},
                {"state", "live"},
                {"data_centre", dataCentre(number)},
                {"address", "127.0.0.1"},
                {"port", CALLER_PORT + number},
                {"peer_port", PEER_PORT + number}});
}

void cluster::startTarget(std::size_t number, const std::vector<std::string> &flags)
{
    const auto id = "t" + std::to_string(number);
    std::vector<std::string> arguments{TARGET_PROGRAM, "--id=" + id,
                                       "--port=" + std::to_string(TARGET_PORT + number),
                                       "--history=" + m_folder + '/' + id + ".jsonl"};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    start(id, arguments);
    putListing(id,
               {{"role", "target"},
                {"state", "live"},
                {"service", SERVICE},
                {"data_centre", dataCentre(number)},
                {"address", "127.0.0.1"},
                {"port", TARGET_PORT + number}});
}

int cluster::signalProcess(const std::string &name, int signal)
{
    const auto process = m_processes.at(name);
    kill(process, signal);
    if (signal != SIGKILL && signal != SIGTERM)
        return 0;
    int status = 0;
    waitpid(process, &status, 0);
    m_processes.erase(name);
    return status;
}

http_response cluster::sendRequest(const network_address &address, const std::string &method,
                                   const std::string &path, const std::string &body)
{
    http_connection connection;
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (connection.open(address))
        return {0, {}, {}};
    auto response = connection.exchange(request, boot_clock::now() + milliseconds(3000));
    return response ? std::move(response.value()) : http_response{0, {}, {}};
}

void cluster::putListing(const std::string &id, const nlohmann::json &listing)
{
    sendRequest(addressOf(PLATFORM_PORT, 0), "PUT", "/listings/" + id, listing.dump());
}

void cluster::setFaults(const nlohmann::json &faults)
{
    sendRequest(addressOf(PLATFORM_PORT, 0), "POST", "/faults", faults.dump());
}

void cluster::setBehaviour(std::size_t target, const nlohmann::json &behaviour)
{
    sendRequest(addressOf(TARGET_PORT, target), "POST", "/behaviour", behaviour.dump());
}

void cluster::listLeaving(std::size_t target)
{
    putListing("t" + std::to_string(target),
               {{"role", "target"},
                {"state", "leaving"},
                {"service", SERVICE},
                {"data_centre", dataCentre(target)},
                {"address", "127.0.0.1"},
                {"port", TARGET_PORT + target}});
}

result<http_response> cluster::sendOperatorRequest(std::size_t instance, const std::string &method,
                                                   const std::string &path,
                                                   const std::string &query,
                                                   const std::string &body)
{
    http_connection connection;
    http_request request;
    request.method = method;
    request.path = path;
    request.query = query;
    request.body = body;
    request.headers.add("Authorization", std::string("Bearer ") + TOKEN);
    if (const auto error = connection.open(addressOf(OPERATOR_PORT, instance)))
        return error;
    return connection.exchange(request, boot_clock::now() + milliseconds(10000));
}

nlohmann::json cluster::status(std::size_t instance)
{
    const auto response = sendOperatorRequest(instance, "GET", "/v1/status");
    return response ? nlohmann::json::parse(response.value().body, nullptr, false)
                    : nlohmann::json();
}

nlohmann::json cluster::slots(std::size_t instance)
{
    const auto response =
            sendOperatorRequest(instance, "GET", "/v1/slots", std::string("service=") + SERVICE);
    return response ? nlohmann::json::parse(response.value().body, nullptr, false)
                    : nlohmann::json();
}

std::size_t cluster::leader(std::size_t queriedInstance)
{
    const auto document = status(queriedInstance);
    if (!document.is_object() || document["shards"].empty())
        return 0;
    const auto name = document["shards"][0]["leader"].get<std::string>();
    return name.empty() ? 0 : std::stoul(name.substr(1));
}

std::size_t cluster::standby(std::size_t queriedInstance)
{
    const auto document = status(queriedInstance);
    if (!document.is_object() || document["shards"].empty())
        return 0;
    const auto name = document["shards"][0]["standby"].get<std::string>();
    return name.empty() ? 0 : std::stoul(name.substr(1));
}

int cluster::patch(std::size_t instance, std::uint64_t base, const nlohmann::json &document)
{
    const auto response =
            sendOperatorRequest(instance, "POST", "/v1/patches",
                                "base=" + std::to_string(base) + "&author=test", document.dump());
    return response ? response.value().status : 0;
}

bool cluster::waitFor(const std::function<bool()> &condition, milliseconds limit)
{
    const auto end = boot_clock::now() + limit;
    while (boot_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    return condition();
}

bool cluster::waitUntilServed(std::size_t queriedInstance)
{
    return waitFor([&] {
        const auto leaderNumber = leader(queriedInstance);
        if (leaderNumber == 0 || standby(queriedInstance) == 0)
            return false;
        const auto document = status(leaderNumber);
        if (!document.is_object() || document["shards"].empty())
            return false;
        const auto &shard = document["shards"][0];
        return shard["role"] == "leader" && shard["unserved_slots"] == 0;
    });
}

network_address cluster::callerAddress(std::size_t instance) const
{
    return addressOf(CALLER_PORT, instance);
}

void cluster::loadHistories(history::history &events) const
{
    for (const auto &file : std::filesystem::directory_iterator(m_folder)) {
        if (file.path().extension() == ".jsonl")
            history::loadTargetHistory(file.path(), SERVICE, events);
    }
}

} // namespace clementinebeam::test
