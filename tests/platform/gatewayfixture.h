#pragma once

#include "clementinebeam/asynchttp/clientconnection.h"
#include "internal/gateway.h"
#include "platform/platformcodec.h"
#include "platform/storeclient.h"
#include "storestandin.h"
#include "targetstandin.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace clementinebeam::test {

using nlohmann::json;
using std::chrono::milliseconds;
namespace http = boost::beast::http;

inline constexpr std::uint16_t STORE_PORT = 21800;
inline constexpr std::uint16_t TARGET_PORT = 21810;
inline constexpr std::uint16_t GATEWAY_PORT = 21820;
inline const std::string HOST = "127.0.0.1";

inline tcp_endpoint local(std::uint16_t port)
{
    return {boost::asio::ip::make_address_v4(HOST), port};
}

inline std::string configurationText(std::uint64_t version, const std::string &service)
{
    const json routes{
            {"columns",
             {"name", "hostname", "path-prefix", "type", "timeout", "target-latency", "priority",
              "max-attempts", "backend"}},
            {"rows",
             {{"read", "a.example", "/read/", "safe", "800ms", "400ms", 1, 2, service},
              {"write", "a.example", "/write/", "unsafe", "800ms", "400ms", 0, 2, service},
              {"slow", "a.example", "/slow/", "unsafe", "9s", "400ms", 0, 2, service},
              {"key", "a.example", "/key/", "safe", "800ms", "400ms", 0, 2, "keyed"}}}};
    const json services{{"columns", {"name", "health-path", "sharded"}},
                        {"rows", {{"plain", "/healthz", nullptr}, {"keyed", "/healthz", true}}}};
    return json{{"resource-version", version}, {"routes", routes}, {"services", services}}.dump();
}

inline std::string entryText(std::uint16_t port, const std::string &service,
                             const std::string &phase)
{
    return json{{"address", HOST + ':' + std::to_string(port)},
                {"born", 1},
                {"info",
                 {{"backend", service}, {"resource-version", "v1"}, {"zone", "p"}, {"slots", 2}}},
                {"status", {{"phase", phase}, {"sequence", 1}, {"warmup-left", "0ms"}}}}
            .dump();
}

/// @param offset added to the ports of the first instance.
inline gateway_settings settingsOf(std::uint16_t offset = 0)
{
    const std::uint16_t port = GATEWAY_PORT + offset;
    gateway_settings settings;
    settings.instance = "i1";
    settings.dataCentre = "p";
    settings.callerListener = {HOST, port};
    settings.readinessListener = {HOST, static_cast<std::uint16_t>(port + 1)};
    settings.peerListener = {HOST, static_cast<std::uint16_t>(port + 2)};
    settings.metricsListener = {HOST, static_cast<std::uint16_t>(port + 3)};
    settings.store = {HOST, STORE_PORT};
    settings.storeParts = 8;
    return settings;
}

/// The platform's formats, with a call before each grant that a test can let fail.
class hooked_codec : public platform_codec
{
public:
    http_call grantCall(const grant_order &order) const override
    {
        if (beforeGrant)
            beforeGrant(order);
        return platform_codec::grantCall(order);
    }

    std::function<void(const grant_order &)> beforeGrant;
};

/// A gateway with a store, two targets of a service without keys and one of a keyed service, all on
/// one event loop.
class gateway_fixture
{
public:
    gateway_fixture()
        : store(context)
        , first(context, "t1")
        , second(context, "t2")
        , keyed(context, "k1")
        , m_client(context, local(STORE_PORT), 8)
        , m_gateway(context, settingsOf(), m_client, codec)
    {
        BOOST_REQUIRE(!store.listen(local(STORE_PORT)));
        BOOST_REQUIRE(!first.listen(local(TARGET_PORT)));
        BOOST_REQUIRE(!second.listen(local(TARGET_PORT + 1)));
        BOOST_REQUIRE(!keyed.listen(local(TARGET_PORT + 2)));
        store.put("keyed.op", "config", configurationText(1, "plain"));
        store.put("keyed.servers", "t1", entryText(TARGET_PORT, "plain", "ready"));
        store.put("keyed.servers", "t2", entryText(TARGET_PORT + 1, "plain", "ready"));
        store.put("keyed.servers", "k1", entryText(TARGET_PORT + 2, "keyed", "ready"));
        BOOST_REQUIRE(!m_gateway.start());
        runUntil([this] { return keyed.grants() > 0; });
        run(milliseconds(50));
    }

    void run(milliseconds time) { context.run_for(time); }

    template <class condition_type>
    void runUntil(const condition_type &condition)
    {
        for (int round = 0; round < 300 && !condition(); ++round)
            run(milliseconds(10));
        BOOST_REQUIRE(condition());
    }

    static http_call request(http::verb method, const std::string &target, const std::string &id)
    {
        http_call call;
        call.version(11);
        call.method(method);
        call.target(target);
        call.set(http::field::host, "a.example");
        call.set("X-Clementinebeam-Request-Id", id);
        call.set("X-Clementinebeam-Deadline-Ms", "700");
        call.prepare_payload();
        return call;
    }

    std::shared_ptr<client_connection> connect(std::uint16_t port = GATEWAY_PORT)
    {
        return std::make_shared<client_connection>(context, local(port), milliseconds(500));
    }

    http_answer ask(http_call call, std::uint16_t port = GATEWAY_PORT)
    {
        std::optional<http_answer> result;
        const auto connection = connect(port);
        connection->exchange(std::move(call), {},
                             [&](exchange_failure failure, http_answer &&answer) {
                                 BOOST_CHECK(failure == exchange_failure::None);
                                 result = std::move(answer);
                             });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    gateway &instance() { return m_gateway; }

    boost::asio::io_context context{1};
    store_standin store;
    target_standin first;
    target_standin second;
    target_standin keyed;
    hooked_codec codec;

private:
    store_client m_client;
    gateway m_gateway;
};

/// The same with a second instance.
class two_instance_fixture : public gateway_fixture
{
public:
    static constexpr std::uint16_t OTHER_OFFSET = 10;

    two_instance_fixture()
        : m_otherClient(context, local(STORE_PORT), 8)
        , other(context, settingsOf(OTHER_OFFSET), m_otherClient, m_otherCodec)
    {
        BOOST_REQUIRE(!other.start());
        run(milliseconds(700));
    }

    /// Stops the first instance, which coordinates, and waits for its successor.
    void replaceCoordinator()
    {
        bool isStopped = false;
        instance().stop([&] { isStopped = true; });
        run(milliseconds(2600)); // Until the balancer has removed the instance.
        runUntil([&] { return isStopped && other.isCoordinating(); });
    }

private:
    store_client m_otherClient;
    platform_codec m_otherCodec;

public:
    gateway other;
};

} // namespace clementinebeam::test
