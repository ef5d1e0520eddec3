#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/configuration/servicesettings.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace clementinebeam;

namespace {

nlohmann::json validDaemonSettings()
{
    return nlohmann::json::parse(R"({
        "instance": "i1", "data_centre": "palermo", "data_centres": ["palermo", "catania"],
        "caller_listener": {"address": "127.0.0.1", "port": 8100},
        "operator_listener": {"address": "127.0.0.1", "port": 8200},
        "peer_listener": {"address": "127.0.0.1", "port": 8300},
        "platform": {"address": "127.0.0.1", "port": 9000},
        "peer_key": "0123456789abcdef",
        "departments": [{"name": "d", "token": "0123456789abcdef", "services": ["*"]}]
    })");
}

nlohmann::json validRoutingConfiguration()
{
    return nlohmann::json::parse(R"({"services": {"orders": {"department": "d", "slots": 8,
        "kinds": {"order": {"idempotent": false}}}}})");
}

/// Sets one value in a valid document; path is where the problem must be reported.
struct invalid_value {
    const char *pointer;
    nlohmann::json value;
    const char *path;
};

std::ostream &operator<<(std::ostream &stream, const invalid_value &row)
{
    return stream << row.pointer << " = " << row.value;
}

const std::vector<invalid_value> INVALID_DAEMON_VALUES{
        {"/instance", 5, "instance"},
        {"/unknown_field", true, "unknown_field"},
        {"/caller_listener/port", 0, "caller_listener.port"},
        {"/caller_listener/port", 65536, "caller_listener.port"},
        {"/caller_listener/port", "8100", "caller_listener.port"},
        {"/caller_listener/address", "localhost", "caller_listener.address"},
        {"/caller_listener/typo", 1, "caller_listener.typo"},
        {"/operator_listener/port", 8100, "operator_listener"},
        {"/data_centre", "rome", "data_centre"},
        {"/peer_key", "short", "peer_key"},
        {"/departments/0/token", "short", "departments[0].token"},
        {"/departments", nullptr, "departments"},
        {"/caller_threads", -1, "caller_threads"},
        {"/caller_threads", 18446744073709551615ULL, "caller_threads"},
        {"/coordination", {{"lease_ms", 100}}, "coordination.lease_ms"},
        {"/coordination", {{"lease", 100}}, "coordination.lease"},
};

const std::vector<invalid_value> INVALID_ROUTING_VALUES{
        {"/services/orders/slots", 0, "services.orders.slots"},
        {"/services/orders/slots", 1.5, "services.orders.slots"},
        {"/services/orders/shards", 9, "services.orders.shards"},
        {"/services/orders/policy", "best", "services.orders.policy"},
        {"/services/orders/kinds", nlohmann::json::object(), "services.orders.kinds"},
        {"/services/orders/kinds/order/idempotent", "no", "services.orders.kinds.order.idempotent"},
        {"/services/orders/kinds/or der", nlohmann::json::object(), "services.orders.kinds.or der"},
        {"/services/orders/imbalance_release", 2.0, "services.orders.imbalance_release"},
        {"/services/orders/drained", {{"t1", false}}, "services.orders.drained.t1"},
        {"/services/bad name", nlohmann::json::object(), "services.bad name"},
        {"/extra", 1, "extra"},
        {"/services", 3, "services"},
};

bool hasProblemAt(const settings_problems &problems, const std::string &path)
{
    return std::any_of(problems.begin(), problems.end(),
                       [&](const settings_problem &problem) { return problem.path == path; });
}

} // namespace

BOOST_AUTO_TEST_CASE(valid_settings_pass)
{
    BOOST_TEST(std::holds_alternative<daemon_settings>(
            parseDaemonSettings(validDaemonSettings().dump())));
    BOOST_TEST(std::holds_alternative<routing_configuration>(
            parseRoutingConfiguration(validRoutingConfiguration())));
}

BOOST_AUTO_TEST_CASE(comments_are_allowed)
{
    const auto text = "// a comment\n" + validDaemonSettings().dump();
    BOOST_TEST(std::holds_alternative<daemon_settings>(parseDaemonSettings(text)));
}

BOOST_AUTO_TEST_CASE(syntax_error_is_reported)
{
    const auto parsed = parseDaemonSettings("{");
    BOOST_TEST(std::get<settings_problems>(parsed).size() == 1U);
}

BOOST_DATA_TEST_CASE(invalid_daemon_setting_is_reported_with_its_path, INVALID_DAEMON_VALUES, row)
{
    auto document = validDaemonSettings();
    document[nlohmann::json::json_pointer(row.pointer)] = row.value;
    const auto parsed = parseDaemonSettings(document.dump());
    BOOST_REQUIRE(std::holds_alternative<settings_problems>(parsed));
    BOOST_TEST(hasProblemAt(std::get<settings_problems>(parsed), row.path));
}

BOOST_DATA_TEST_CASE(invalid_routing_setting_is_reported_with_its_path, INVALID_ROUTING_VALUES, row)
{
    auto document = validRoutingConfiguration();
    document[nlohmann::json::json_pointer(row.pointer)] = row.value;
    const auto parsed = parseRoutingConfiguration(document);
    BOOST_REQUIRE(std::holds_alternative<settings_problems>(parsed));
    BOOST_TEST(hasProblemAt(std::get<settings_problems>(parsed), row.path));
}

BOOST_AUTO_TEST_CASE(every_missing_required_field_is_reported_at_once)
{
    const auto parsed = parseDaemonSettings("{}");
    const auto &problems = std::get<settings_problems>(parsed);
    for (const auto *field : {"instance", "data_centre", "caller_listener", "operator_listener",
                              "peer_listener", "platform", "peer_key", "departments"})
        BOOST_TEST(hasProblemAt(problems, field));
}
