#include "gatewaysystem.h"

#include "clementinebeam/asynchttp/clientconnection.h"
#include "processstatus.h"

#include <cstdlib>
#include <filesystem>
#include <sys/resource.h>

namespace clementinebeam::test {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

constexpr std::uint16_t FIRST_PORT = 23600;
constexpr std::uint16_t LAST_PORT = 23980;
/// Store, target and four ports of the gateway.
constexpr std::uint16_t PORT_COUNT = 6;
constexpr milliseconds ANSWER_TIME{5000};
const std::string HOST = "127.0.0.1";

bool isFree(std::uint16_t port)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor.bind({boost::asio::ip::make_address_v4(HOST), port}, error);
    return !error;
}

std::uint16_t findFreePorts()
{
    for (std::uint16_t first = FIRST_PORT; first < LAST_PORT; first += PORT_COUNT) {
        std::uint16_t count = 0;
        while (count < PORT_COUNT && isFree(first + count))
            ++count;
        if (count == PORT_COUNT)
            return first;
    }
    return FIRST_PORT;
}

std::string makeFolder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "clementinebeam-XXXXXX";
    return mkdtemp(pattern.data());
}

std::string address(std::uint16_t port)
{
    return HOST + ':' + std::to_string(port);
}

std::string configurationText(const crowd_limits &limits)
{
    const json routes{{"columns",
                       {"name", "hostname", "path-prefix", "type", "timeout", "target-latency",
                        "priority", "max-attempts", "backend"}},
                      {"rows", {{"all", "a.example", "/", "unsafe", "9s", "9s", 0, 2, "plain"}}}};
    const json services{{"columns", {"name", "health-path", "sharded"}},
                        {"rows", {{"plain", "/healthz", nullptr}}}};
    return json{{"resource-version", 1},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", limits.bodyBytes},
                  {"header-timeout", limits.headerTimeout},
                  {"idle-timeout", limits.idleTimeout}}}}
            .dump();
}

std::string targetEntry(std::uint16_t port)
{
    return json{{"address", address(port)},
                {"born", 1},
                {"info",
                 {{"backend", "plain"}, {"resource-version", "v1"}, {"zone", "p"}, {"slots", 4}}},
                {"status", {{"phase", "ready"}, {"sequence", 1}, {"warmup-left", "0ms"}}}}
            .dump();
}

} // namespace

gateway_system::gateway_system(const crowd_limits &limits)
    : target(context, "t1")
    , m_firstPort(findFreePorts())
    , m_gatewayPort(m_firstPort + 2)
    , m_folder(makeFolder())
    , m_store(context)
    , m_process("i1", m_folder, settingsText(limits))
{
    if (m_store.listen(endpoint(m_firstPort)) || target.listen(endpoint(m_firstPort + 1)))
        return;
    m_store.put("keyed.op", "config", configurationText(limits));
    m_store.put("keyed.servers", "t1", targetEntry(m_firstPort + 1));
    rlimit own{};
    getrlimit(RLIMIT_NOFILE, &own);
    const rlimit lowered{limits.descriptors, own.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    m_process.start();
    setrlimit(RLIMIT_NOFILE, &own);
}

gateway_system::~gateway_system()
{
    m_process.signal(SIGKILL);
    std::filesystem::remove_all(m_folder);
}

tcp::endpoint gateway_system::endpoint(std::uint16_t port)
{
    return {boost::asio::ip::make_address_v4(HOST), port};
}

std::string gateway_system::settingsText(const crowd_limits &limits) const
{
    return json{{"instance", "i1"},
                {"data_centre", "p"},
                {"address", HOST},
                {"caller_listener", address(m_gatewayPort)},
                {"readiness_listener", address(m_gatewayPort + 1)},
                {"first_internal_port", m_gatewayPort + 2},
                {"memory_mb", limits.memoryMb},
                {"store", address(m_firstPort)},
                {"store_parts", 8}}
            .dump();
}

void gateway_system::run(milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    runUntil([end] { return std::chrono::steady_clock::now() >= end; });
}

void gateway_system::observe()
{
    m_peakMemoryMb = std::max(m_peakMemoryMb, peakMemoryMbOf(m_process.id()));
    m_peakDescriptors = std::max(m_peakDescriptors, descriptorsOf(m_process.id()));
}

unsigned gateway_system::ask(const std::string &body)
{
    http_call call;
    call.version(11);
    call.method(boost::beast::http::verb::post);
    call.target("/ordinary");
    call.set(boost::beast::http::field::host, "a.example");
    call.set("X-Clementinebeam-Request-Id", "ordinary-" + std::to_string(++m_asked));
    call.set("X-Clementinebeam-Deadline-Ms", std::to_string(ANSWER_TIME.count()));
    call.body() = body;
    call.prepare_payload();
    const auto connection = std::make_shared<client_connection>(context, callers(), ANSWER_TIME);
    auto status = std::make_shared<std::optional<unsigned>>();
    connection->exchange(std::move(call), {},
                         [status](exchange_failure failure, http_answer &&answer) {
                             *status = failure == exchange_failure::None ? answer.result_int() : 0;
                         });
    const auto end = std::chrono::steady_clock::now() + ANSWER_TIME;
    runUntil([&] { return status->has_value() || std::chrono::steady_clock::now() > end; });
    connection->close();
    return status->value_or(0);
}

bool gateway_system::isOrdinaryRequestServed(const std::string &body)
{
    constexpr int MAX_TRIES = 20;
    constexpr milliseconds TRY_INTERVAL{200};
    for (int count = 0; count < MAX_TRIES && isRunning(); ++count) {
        if (ask(body) == 200)
            return true;
        run(TRY_INTERVAL);
    }
    return false;
}

} // namespace clementinebeam::test
