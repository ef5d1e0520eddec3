#include "clementinebeam/configuration/servicesettings.h"

#include "clementinebeam/assignment/policycatalogue.h"
#include "clementinebeam/configuration/settingsreader.h"

#include <algorithm>
#include <cctype>

namespace clementinebeam {

namespace {

constexpr slot_index MAX_SLOTS = 65536;
constexpr std::int64_t MAX_SHARDS = 4096;
constexpr std::size_t MAX_NAME_BYTES = 64;

bool isValidName(const std::string &text)
{
    const bool hasValidCharacters =
            std::all_of(text.begin(), text.end(), [](unsigned char character) {
                return std::isalnum(character) || character == '_' || character == '-'
                        || character == '.';
            });
    return !text.empty() && text.size() <= MAX_NAME_BYTES && hasValidCharacters;
}

void readKinds(settings_reader &parent, service_settings &service, settings_problems &problems)
{
    for (const auto &[name, item] : parent.object("kinds", true).items()) {
        const auto path = parent.pathOf("kinds") + '.' + name;
        if (!isValidName(name))
            problems.push_back({path, "a name of letters, digits, '_', '-', '.'", name});
        kind_settings kind;
        settings_reader reader(item, path, problems);
        reader.readBool("idempotent", kind.idempotent);
        reader.readDouble("weight", kind.weight, {0.0, 1000.0});
        reader.finish();
        service.kinds[name] = kind;
    }
    if (service.kinds.empty() && parent.has("kinds"))
        parent.report("kinds", "at least one kind", "none");
}

void readMembers(settings_reader &parent, service_settings &service, settings_problems &problems)
{
    for (const auto &[name, item] : parent.object("members", false).items()) {
        double share = 1.0;
        settings_reader reader(item, parent.pathOf("members") + '.' + name, problems);
        reader.readDouble("share", share, {0.01, 1000.0});
        reader.finish();
        service.members[name] = share;
    }
}

void readDrained(settings_reader &parent, service_settings &service)
{
    for (const auto &[target, item] : parent.object("drained", false).items()) {
        if (item != true)
            parent.report("drained." + target, "true", describe(item));
        service.drained.insert(target);
    }
}

void readPolicy(settings_reader &reader, service_settings &service)
{
    reader.readString("policy", service.policy, false);
    const auto names = policy_catalogue::instance().names();
    if (std::find(names.begin(), names.end(), service.policy) == names.end()) {
        std::string expected = "one of";
        for (const auto &name : names)
            expected += ' ' + name;
        reader.report("policy", expected, '"' + service.policy + '"');
    }
    auto &limits = service.limits;
    reader.readDouble("imbalance_threshold", limits.imbalanceThreshold, {1.0, 100.0});
    reader.readDouble("imbalance_release", limits.imbalanceRelease, {1.0, 100.0});
    reader.readDouble("bound_factor", limits.boundFactor, {1.0, 100.0});
    reader.readInteger("max_moves_per_round", limits.maxMovesPerRound, {1, 1000});
    if (limits.imbalanceRelease > limits.imbalanceThreshold)
        reader.report("imbalance_release", "at most imbalance_threshold",
                      describe(limits.imbalanceRelease));
}

service_settings readService(const nlohmann::json &item, const std::string &path,
                             settings_problems &problems)
{
    service_settings service;
    settings_reader reader(item, path, problems);
    reader.readString("department", service.department, true);
    reader.readInteger("slots", service.slots, {1, MAX_SLOTS}, true);
    reader.readInteger("shards", service.shards, {1, MAX_SHARDS});
    if (service.slots > 0 && service.shards > service.slots)
        reader.report("shards", "at most slots", std::to_string(service.shards));
    reader.readBool("checks_grants", service.checksGrants);
    readPolicy(reader, service);
    readKinds(reader, service, problems);
    readMembers(reader, service, problems);
    readDrained(reader, service);
    reader.readInteger("max_concurrency", service.maxConcurrency, {1, 1000});
    reader.readInteger("max_queue", service.maxQueue, {0, 100000});
    reader.finish();
    return service;
}

} // namespace

std::variant<routing_configuration, settings_problems>
parseRoutingConfiguration(const nlohmann::json &document)
{
    settings_problems problems;
    routing_configuration configuration;
    settings_reader reader(document, "", problems);
    for (const auto &[name, item] : reader.object("services", false).items()) {
        const auto path = "services." + name;
        if (!isValidName(name))
            problems.push_back({path, "a name of letters, digits, '_', '-', '.'", name});
        configuration.services[name] = readService(item, path, problems);
    }
    reader.finish();
    if (!problems.empty())
        return problems;
    return configuration;
}

} // namespace clementinebeam
