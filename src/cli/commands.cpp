#include "commands.h"

#include "explain.h"

#include "clementinebeam/kernel/bootclock.h"
#include "formatter.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace clementinebeam {

namespace {

constexpr std::chrono::milliseconds POLL_INTERVAL{100};

exit_code reportFailure(const operator_response &response)
{
    const auto &document = response.document;
    std::cerr << "refused (" << response.status << "): "
              << document.value("text", document.value("verdict", std::string("no reason given")));
    if (document.contains("detail"))
        std::cerr << ": " << formatCell(document["detail"]);
    std::cerr << '\n';
    return exit_code::Failed;
}

exit_code reportNoResponse(const std::error_code &error)
{
    if (error.category() == errorCategory())
        std::cerr << "the instance does not respond; see --instance\n";
    else
        std::cerr << "the instance's answer is broken (" << error.message()
                  << "); a change may have been made\n";
    return exit_code::Unreachable;
}

exit_code showTable(const command_context &context, const std::string &path,
                    const std::string &query, const std::vector<table_column> &columns)
{
    const auto response = context.client.get(path, query);
    if (!response)
        return reportNoResponse(response.error());
    if (response.value().status != 200)
        return reportFailure(response.value());
    if (context.options.isJson)
        std::cout << response.value().document.dump(2) << '\n';
    else
        std::cout << formatTable(response.value().document, columns);
    return exit_code::Success;
}

exit_code runStatus(const command_context &context)
{
    const auto response = context.client.get("/v1/status");
    if (!response)
        return reportNoResponse(response.error());
    if (response.value().status != 200)
        return reportFailure(response.value());
    const auto &document = response.value().document;
    if (context.options.isJson) {
        std::cout << document.dump(2) << '\n';
        return exit_code::Success;
    }
    std::cout << "instance " << formatCell(document["instance"]) << " in "
              << formatCell(document["data_centre"]) << ", configuration version "
              << document["version"] << "\n\n";
    std::cout << formatTable(document["shards"],
                             {{"SHARD", "shard"},
                              {"ROLE", "role"},
                              {"TERM", "term"},
                              {"LEADER", "leader"},
                              {"STANDBY", "standby"},
                              {"SETTLED", "settled"},
                              {"UNSERVED", "unserved_slots"}});
    return exit_code::Success;
}

exit_code runServices(const command_context &context)
{
    return showTable(context, "/v1/services", "",
                     {{"SERVICE", "service"},
                      {"DEPARTMENT", "department"},
                      {"SLOTS", "slots"},
                      {"SHARDS", "shards"},
                      {"POLICY", "policy"},
                      {"CHECKS", "checks_grants"},
                      {"KINDS", "kinds"}});
}

exit_code runSlots(const command_context &context)
{
    return showTable(context, "/v1/slots", "service=" + encodeQuery(context.arguments[0]),
                     {{"SLOT", "slot"}, {"OWNER", "owner"}, {"EPOCH", "epoch"}});
}

exit_code runLeases(const command_context &context)
{
    const auto response = context.client.get("/v1/status");
    if (!response)
        return reportNoResponse(response.error());
    if (response.value().status != 200)
        return reportFailure(response.value());
    auto rows = nlohmann::json::array();
    for (const auto &shard : response.value().document["shards"]) {
        for (auto row : shard["targets"]) {
            row["shard"] = shard["shard"];
            rows.push_back(std::move(row));
        }
    }
    if (context.options.isJson)
        std::cout << rows.dump(2) << '\n';
    else
        std::cout << formatTable(rows,
                                 {{"SHARD", "shard"},
                                  {"TARGET", "target"},
                                  {"ALIVE", "alive"},
                                  {"DRAINING", "draining"},
                                  {"SLOTS", "held_slots"},
                                  {"SILENT MS", "since_reply_ms"}});
    return exit_code::Success;
}

exit_code runInstances(const command_context &context)
{
    return showTable(context, "/v1/instances", "",
                     {{"ID", "id"},
                      {"ROLE", "role"},
                      {"STATE", "state"},
                      {"DATA CENTRE", "data_centre"},
                      {"ADDRESS", "address"},
                      {"SERVICE", "service"},
                      {"VERSION", "version"}});
}

exit_code runConfiguration(const command_context &context)
{
    const auto response = context.client.get("/v1/configuration");
    if (!response)
        return reportNoResponse(response.error());
    if (response.value().status != 200)
        return reportFailure(response.value());
    std::cout << response.value().document.dump(2) << '\n';
    return exit_code::Success;
}

exit_code runHistory(const command_context &context)
{
    return showTable(context, "/v1/history", "",
                     {{"OFFSET", "offset"},
                      {"VERDICT", "verdict"},
                      {"BASE", "base_version"},
                      {"VERSION", "version"},
                      {"DEPARTMENT", "department"},
                      {"AUTHOR", "author"},
                      {"PATHS", "touched_paths"}});
}

exit_code runAudit(const command_context &context)
{
    const auto query =
            context.arguments.empty() ? "" : "limit=" + encodeQuery(context.arguments[0]);
    return showTable(context, "/v1/audit", query,
                     {{"STREAM", "stream"},
                      {"OFFSET", "offset"},
                      {"ACTION", "action"},
                      {"AUTHOR", "author"},
                      {"SUBJECT", "subject"},
                      {"RESULT", "result"},
                      {"DETAIL", "detail"}});
}

/// Counts the live instances that have not applied a version yet.
std::size_t countOutdated(const nlohmann::json &instances, std::uint64_t version)
{
    return static_cast<std::size_t>(
            std::count_if(instances.begin(), instances.end(), [version](const auto &entry) {
                const bool isInstance = entry["role"] == "instance" && entry["state"] == "live";
                return isInstance && (entry["version"].is_null() || entry["version"] < version);
            }));
}

exit_code waitUntilInForce(const command_context &context, std::uint64_t version)
{
    const auto deadline = boot_clock::now() + context.options.wait;
    std::size_t outdated = 0;
    do {
        const auto response = context.client.get("/v1/instances");
        if (!response)
            return reportNoResponse(response.error());
        outdated = countOutdated(response.value().document, version);
        if (outdated == 0) {
            std::cerr << "version " << version << " is in force everywhere\n";
            return exit_code::Success;
        }
        std::cerr << "version " << version << ": waiting for " << outdated << " instance(s)\n";
        std::this_thread::sleep_for(POLL_INTERVAL);
    } while (boot_clock::now() < deadline);
    return exit_code::NotInForce;
}

exit_code submitPatch(const command_context &context, const std::string &base,
                      const std::string &patch)
{
    const auto query =
            "base=" + encodeQuery(base) + "&author=" + encodeQuery(context.options.author);
    const auto response = context.client.post("/v1/patches", query, patch);
    if (!response)
        return reportNoResponse(response.error());
    const auto &document = response.value().document;
    if (context.options.isJson)
        std::cout << document.dump(2) << '\n';
    if (response.value().status == 409) {
        std::cerr << "conflict: the current version is " << formatCell(document["version"])
                  << "; touched paths: " << formatCell(document["touched_paths"]) << '\n';
        return exit_code::Conflict;
    }
    if (response.value().status == 422) {
        reportFailure(response.value());
        return exit_code::Invalid;
    }
    if (response.value().status != 200)
        return reportFailure(response.value());
    const auto version = document["version"].get<std::uint64_t>();
    if (!context.options.isJson)
        std::cout << "accepted as version " << version << '\n';
    return waitUntilInForce(context, version);
}

exit_code runPatch(const command_context &context)
{
    std::ifstream file(context.arguments[1]);
    if (!file) {
        std::cerr << "cannot read " << context.arguments[1] << '\n';
        return exit_code::Usage;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return submitPatch(context, context.arguments[0], text.str());
}

exit_code runWait(const command_context &context)
{
    const auto &text = context.arguments[0];
    std::uint64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        std::cerr << "wait: expected a version number, found " << text << '\n';
        return exit_code::Usage;
    }
    return waitUntilInForce(context, version);
}

exit_code setDrained(const command_context &context, const nlohmann::json &value)
{
    const auto current = context.client.get("/v1/configuration");
    if (!current)
        return reportNoResponse(current.error());
    if (current.value().status != 200)
        return reportFailure(current.value());
    nlohmann::json patch;
    patch["services"][context.arguments[0]]["drained"][context.arguments[1]] = value;
    return submitPatch(context, formatCell(current.value().document["version"]), patch.dump());
}

exit_code runDrain(const command_context &context)
{
    return setDrained(context, true);
}

exit_code runUndrain(const command_context &context)
{
    return setDrained(context, nullptr);
}

exit_code runConfirmLost(const command_context &context)
{
    const auto query = "service=" + encodeQuery(context.arguments[0])
            + "&shard=" + encodeQuery(context.arguments[1]);
    const auto response = context.client.post("/v1/confirm-lost", query, "");
    if (!response)
        return reportNoResponse(response.error());
    if (response.value().status != 200)
        return reportFailure(response.value());
    std::cout << "confirmed\n";
    return exit_code::Success;
}

exit_code runCompletion(const command_context &)
{
    std::cout << "complete -W \"";
    for (const auto &entry : commands())
        std::cout << entry.name << ' ';
    std::cout << "\" clementinebeam\n";
    return exit_code::Success;
}

} // namespace

namespace {

constexpr std::size_t MAX_LOG_FILES = 1000;

exit_code runExplain(const command_context &context)
{
    const auto &id = context.arguments.front();
    std::vector<logged_event> events;
    for (std::size_t index = 1; index < context.arguments.size(); ++index) {
        std::ifstream file(context.arguments[index]);
        if (!file) {
            std::cerr << "cannot read " << context.arguments[index] << '\n';
            return exit_code::Usage;
        }
        for (std::string line; std::getline(file, line);) {
            auto event = parseLogLine(line);
            if (!event.name.empty())
                events.push_back(std::move(event));
        }
    }
    const auto timeline = explainRequest(events, id);
    if (timeline.empty()) {
        std::cerr << "request " << id << " is in none of the " << events.size()
                  << " log events; the logs may be from other instances or another time, or its "
                     "lines were dropped (see event=log_lines_dropped)\n";
        return exit_code::Failed;
    }
    for (const auto &event : timeline)
        std::cout << event.time << ' ' << event.instance << ' ' << event.name << ' ' << event.text
                  << '\n';
    return exit_code::Success;
}

} // namespace

const std::vector<command> &commands()
{
    static const std::vector<command> COMMANDS{
            {"status", "", "shows the instance and its shards", 0, 0, runStatus},
            {"services", "", "lists the configured services", 0, 0, runServices},
            {"slots", "SERVICE", "lists a service's slots with owner and epoch", 1, 1, runSlots},
            {"leases", "", "lists the targets that this instance leads", 0, 0, runLeases},
            {"instances", "", "lists instances and targets with the version in force", 0, 0,
             runInstances},
            {"configuration", "", "prints the configuration in force", 0, 0, runConfiguration},
            {"patch", "BASE FILE",
             "submits a JSON merge patch against version BASE and waits until it "
             "is in force",
             2, 2, runPatch},
            {"wait", "VERSION", "waits until a version is in force everywhere", 1, 1, runWait},
            {"history", "", "lists the newest patches with their results", 0, 0, runHistory},
            {"drain", "SERVICE TARGET", "moves all slots off a target", 2, 2, runDrain},
            {"undrain", "SERVICE TARGET", "lets a target own slots again", 2, 2, runUndrain},
            {"audit", "[LIMIT]", "lists the newest changes", 0, 1, runAudit},
            {"confirm-lost", "SERVICE SHARD",
             "confirms that no earlier leader of a shard is active any more", 2, 2, runConfirmLost},
            {"explain", "ID FILE...", "prints a request's timeline from gateway logs", 2,
             MAX_LOG_FILES + 1, runExplain},
            {"completion", "", "prints a completion rule for the shell", 0, 0, runCompletion},
    };
    return COMMANDS;
}

const command *findCommand(const std::string &name)
{
    const auto &all = commands();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const command &entry) { return entry.name == name; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace clementinebeam
