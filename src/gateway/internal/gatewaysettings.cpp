#include "clementinebeam/gateway/gatewaysettings.h"

#include "clementinebeam/configuration/settingsreader.h"
#include "clementinebeam/kernel/durationtext.h"

#include <algorithm>
#include <arpa/inet.h>

namespace clementinebeam {

namespace {

constexpr value_range<std::int64_t> PORT_RANGE{1, 65535};
constexpr value_range<std::int64_t> PARTS_RANGE{1, 1024};
constexpr value_range<std::int64_t> MEMORY_MB_RANGE{16, 1LL << 20};
constexpr value_range<std::int64_t> DESCRIPTORS_RANGE{64, 1LL << 30};
constexpr std::size_t BYTES_PER_MB = 1UL << 20U;
constexpr value_range<std::chrono::milliseconds> HEARTBEAT_RANGE{std::chrono::milliseconds(10),
                                                                 std::chrono::minutes(10)};
constexpr value_range<double> PROCESSOR_SHARE_RANGE{0.001, 1024.0};
constexpr value_range<double> LINK_MBPS_RANGE{0.1, 1e6};

/// Reads an address of the form "IPv4:port".
network_address readAddress(settings_reader &reader, const std::string &field)
{
    std::string text;
    reader.readString(field, text, true);
    if (text.empty())
        return {};
    const auto address = parseNetworkAddress(text);
    if (!address)
        reader.report(field, "an IPv4 number and a port", '"' + text + '"');
    return address.value_or(network_address{});
}

/// Reads a duration such as "2000ms" or "6s" and checks its range.
void readDuration(settings_reader &reader, const std::string &field,
                  std::chrono::milliseconds &value, value_range<std::chrono::milliseconds> range)
{
    std::string text;
    reader.readString(field, text, false);
    if (!reader.has(field) || text.empty())
        return;
    const auto parsed = parseDuration(text);
    if (parsed && range.least <= *parsed && *parsed <= range.most)
        value = *parsed;
    else
        reader.report(field,
                      "a time from " + formatDuration(range.least) + " to "
                              + formatDuration(range.most),
                      '"' + text + '"');
}

void readBounds(settings_reader &parent, service_bounds &bounds, settings_problems &problems)
{
    using std::chrono::milliseconds;
    settings_reader reader(parent.object("bounds", false), parent.pathOf("bounds"), problems);
    reader.readDouble("retry_share", bounds.retryShare, {0.0, 10.0});
    reader.readDouble("retry_slack", bounds.retrySlack, {0.0, 1e6});
    readDuration(reader, "drain", bounds.drain, {milliseconds(100), milliseconds(600000)});
    readDuration(reader, "grace", bounds.grace, {milliseconds(500), milliseconds(600000)});
    readDuration(reader, "hold_max", bounds.maxHoldTime, {milliseconds(500), milliseconds(600000)});
    reader.readDouble("warm_up_factor", bounds.warmUpFactor, {1.0, 100.0});
    reader.readDouble("warm_up_slack", bounds.warmUpSlack, {0.0, 1e6});
    readDuration(reader, "evacuation", bounds.evacuation,
                 {milliseconds(100), milliseconds(600000)});
    reader.finish();
}

/// Reads the address of the internal ports: the first is for messages between instances, the next
/// one serves metrics.
void readInternalPorts(settings_reader &reader, gateway_settings &settings)
{
    std::string host;
    reader.readString("address", host, true);
    in_addr parsed{};
    if (!host.empty() && inet_pton(AF_INET, host.c_str(), &parsed) != 1)
        reader.report("address", "an IPv4 number", '"' + host + '"');
    std::uint16_t port = 0;
    reader.readInteger("first_internal_port", port, PORT_RANGE, true);
    settings.peerListener = {host, port};
    settings.metricsListener = {host, static_cast<std::uint16_t>(port + 1)};
}

/// @return the syntax error of the document with its line; empty if there is none.
settings_problems checkSyntax(const std::string &text)
{
    try {
        const auto parsed = nlohmann::json::parse(text, nullptr, true, true);
        return {};
    } catch (const nlohmann::json::parse_error &error) {
        const auto errorOffset = std::min(error.byte, text.size());
        const auto line =
                1 + std::count(text.begin(), text.begin() + static_cast<long>(errorOffset), '\n');
        return {{"(document) line " + std::to_string(line), "JSON with comments",
                 "a syntax error"}};
    }
}

} // namespace

std::variant<gateway_settings, settings_problems> parseGatewaySettings(const std::string &text)
{
    auto problems = checkSyntax(text);
    if (!problems.empty())
        return problems;
    const auto document = nlohmann::json::parse(text, nullptr, false, true);
    gateway_settings settings;
    settings_reader reader(document, "", problems);
    reader.readString("instance", settings.instance, true);
    reader.readString("data_centre", settings.dataCentre, true);
    settings.callerListener = readAddress(reader, "caller_listener");
    settings.readinessListener = readAddress(reader, "readiness_listener");
    readInternalPorts(reader, settings);
    settings.store = readAddress(reader, "store");
    reader.readInteger("store_parts", settings.storeParts, PARTS_RANGE);
    reader.readDouble("processor_share", settings.processorShare, PROCESSOR_SHARE_RANGE);
    reader.readDouble("link_mbps", settings.linkMbps, LINK_MBPS_RANGE);
    std::size_t memoryMb = settings.memory / BYTES_PER_MB;
    reader.readInteger("memory_mb", memoryMb, MEMORY_MB_RANGE);
    settings.memory = memoryMb * BYTES_PER_MB;
    reader.readInteger("max_descriptors", settings.descriptors, DESCRIPTORS_RANGE);
    readDuration(reader, "target_heartbeat", settings.targetHeartbeat, HEARTBEAT_RANGE);
    reader.readBool("first_start", settings.isFirstStart);
    readBounds(reader, settings.bounds, problems);
    reader.finish();
    if (!problems.empty())
        return problems;
    return settings;
}

} // namespace clementinebeam
