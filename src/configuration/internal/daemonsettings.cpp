#include "clementinebeam/configuration/daemonsettings.h"

#include "clementinebeam/configuration/settingsreader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <set>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MIN_SECRET_BYTES = 16;
constexpr value_range<std::int64_t> PORT_RANGE{1, 65535};
constexpr value_range<std::int64_t> THREAD_COUNT_RANGE{1, 4096};
constexpr value_range<milliseconds> POLL_INTERVAL_RANGE{milliseconds(10), milliseconds(10000)};
constexpr value_range<milliseconds> DEADLINE_RANGE{milliseconds(1), milliseconds(600000)};
constexpr value_range<milliseconds> LONG_DURATION_RANGE{milliseconds(1), milliseconds(86400000)};

bool isIpAddress(const std::string &text)
{
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, text.c_str(), &v4) == 1
            || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

network_address readAddress(settings_reader &parent, const std::string &field,
                            settings_problems &problems)
{
    network_address address;
    settings_reader reader(parent.object(field, true), parent.pathOf(field), problems);
    if (!parent.has(field))
        return address;
    reader.readString("address", address.host, true);
    if (!address.host.empty() && !isIpAddress(address.host))
        reader.report("address", "an IP address", '"' + address.host + '"');
    reader.readInteger("port", address.port, PORT_RANGE, true);
    reader.finish();
    return address;
}

void readDataCentres(settings_reader &reader, daemon_settings &settings)
{
    reader.readString("data_centre", settings.dataCentre, true);
    for (const auto &item : reader.array("data_centres", true)) {
        if (item.is_string())
            settings.dataCentres.push_back(item.get<std::string>());
        else
            reader.report("data_centres", "texts", describe(item));
    }
    const auto &allDataCentres = settings.dataCentres;
    const bool isKnown =
            std::find(allDataCentres.begin(), allDataCentres.end(), settings.dataCentre)
            != allDataCentres.end();
    if (!isKnown && !settings.dataCentre.empty())
        reader.report("data_centre", "one of data_centres", '"' + settings.dataCentre + '"');
}

department_settings readDepartment(const nlohmann::json &item, const std::string &path,
                                   settings_problems &problems)
{
    department_settings department;
    settings_reader reader(item, path, problems);
    reader.readString("name", department.name, true);
    reader.readString("token", department.token, true);
    if (!department.token.empty() && department.token.size() < MIN_SECRET_BYTES)
        reader.report("token", "at least 16 characters", "a shorter text");
    for (const auto &service : reader.array("services", true)) {
        if (service.is_string())
            department.services.push_back(service.get<std::string>());
        else
            reader.report("services", "texts", describe(service));
    }
    reader.finish();
    return department;
}

void readDepartments(settings_reader &reader, daemon_settings &settings,
                     settings_problems &problems)
{
    std::size_t index = 0;
    std::set<std::string> names;
    for (const auto &item : reader.array("departments", true)) {
        const auto path = reader.pathOf("departments") + '[' + std::to_string(index++) + ']';
        auto department = readDepartment(item, path, problems);
        if (!names.insert(department.name).second)
            problems.push_back({path + ".name", "a unique name", '"' + department.name + '"'});
        settings.departments.push_back(std::move(department));
    }
}

void readCoordination(settings_reader &parent, coordination_settings &settings,
                      settings_problems &problems)
{
    constexpr value_range<milliseconds> SHORT_DURATION_RANGE{milliseconds(10), milliseconds(60000)};
    settings_reader reader(parent.object("coordination", false), parent.pathOf("coordination"),
                           problems);
    reader.readMilliseconds("heartbeat_interval_ms", settings.heartbeatInterval,
                            SHORT_DURATION_RANGE);
    reader.readInteger("missed_heartbeats", settings.missedHeartbeats, {2, 100});
    reader.readMilliseconds("lease_ms", settings.lease, SHORT_DURATION_RANGE);
    reader.readMilliseconds("clock_margin_ms", settings.clockMargin,
                            {milliseconds(0), milliseconds(10000)});
    reader.readInteger("clock_drift_ppm", settings.clockDriftPpm, {0, 100000});
    reader.readMilliseconds("isolation_limit_ms", settings.isolationLimit, LONG_DURATION_RANGE);
    reader.readMilliseconds("checkpoint_interval_ms", settings.checkpointInterval,
                            LONG_DURATION_RANGE);
    reader.finish();
    if (settings.lease < settings.heartbeatInterval * 2)
        reader.report("lease_ms", "at least twice heartbeat_interval_ms",
                      std::to_string(settings.lease.count()));
}

void checkListeners(const daemon_settings &settings, settings_problems &problems)
{
    std::set<network_address> used;
    const std::vector<std::pair<std::string, network_address>> listeners{
            {"caller_listener", settings.callerListener},
            {"operator_listener", settings.operatorListener},
            {"peer_listener", settings.peerListener},
    };
    for (const auto &[name, address] : listeners) {
        if (!address.host.empty() && !used.insert(address).second)
            problems.push_back(
                    {name, "an address that no other listener uses", address.text() + " twice"});
    }
}

} // namespace

bool department_settings::mayChange(const std::string &service) const
{
    return std::any_of(services.begin(), services.end(), [&](const std::string &allowed) {
        return allowed == "*" || allowed == service;
    });
}

std::variant<daemon_settings, settings_problems> parseDaemonSettings(const std::string &text)
{
    settings_problems problems;
    const auto document = nlohmann::json::parse(text, nullptr, false, true);
    if (document.is_discarded())
        return settings_problems{{"(document)", "JSON with comments", "a syntax error"}};
    daemon_settings settings;
    settings_reader reader(document, "", problems);
    reader.readString("instance", settings.instance, true);
    readDataCentres(reader, settings);
    settings.callerListener = readAddress(reader, "caller_listener", problems);
    settings.operatorListener = readAddress(reader, "operator_listener", problems);
    settings.peerListener = readAddress(reader, "peer_listener", problems);
    settings.platformAddress = readAddress(reader, "platform", problems);
    reader.readString("peer_key", settings.peerKey, true);
    if (!settings.peerKey.empty() && settings.peerKey.size() < MIN_SECRET_BYTES)
        reader.report("peer_key", "at least 16 characters", "a shorter text");
    reader.readString("certificate_file", settings.certificateFile, false);
    readDepartments(reader, settings, problems);
    reader.readInteger("caller_threads", settings.callerThreads, THREAD_COUNT_RANGE);
    reader.readInteger("connections_per_target", settings.connectionsPerTarget, {1, 128});
    reader.readMilliseconds("log_poll_interval_ms", settings.logPollInterval, POLL_INTERVAL_RANGE);
    reader.readMilliseconds("list_poll_interval_ms", settings.listPollInterval,
                            POLL_INTERVAL_RANGE);
    reader.readMilliseconds("default_deadline_ms", settings.defaultDeadline, DEADLINE_RANGE);
    reader.readMilliseconds("max_deadline_ms", settings.maxDeadline, DEADLINE_RANGE);
    reader.readMilliseconds("request_id_life_ms", settings.requestIdLife, LONG_DURATION_RANGE);
    reader.readMilliseconds("clock_skew_limit_ms", settings.clockSkewLimit, LONG_DURATION_RANGE);
    reader.readMilliseconds("stop_limit_ms", settings.stopLimit, LONG_DURATION_RANGE);
    readCoordination(reader, settings.coordination, problems);
    reader.finish();
    checkListeners(settings, problems);
    if (!problems.empty())
        return problems;
    return settings;
}

} // namespace clementinebeam
