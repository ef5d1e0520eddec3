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

exit_code reportFailure(const operator_answer &answer)
{
    const auto &document = answer.document;
    std::cerr << "refused (" << answer.status << "): "
              << document.value("text", document.value("verdict", std::string("no reason given")));
    if (document.contains("detail"))
        std::cerr << ": " << formatCell(document["detail"]);
    std::cerr << '\n';
    return exit_code::Failed;
}

exit_code reportUnreachable()
{
    std::cerr << "the instance does not answer; see --instance\n";
    return exit_code::Unreachable;
}

exit_code show(const command_context &context, const std::string &path, const std::string &query,
               const std::vector<table_column> &columns)
{
    const auto answer = context.client.get(path, query);
    if (!answer)
        return reportUnreachable();
    if (answer.value().status != 200)
        return reportFailure(answer.value());
    if (context.options.isJson)
        std::cout << answer.value().document.dump(2) << '\n';
    else
        std::cout << formatTable(answer.value().document, columns);
    return exit_code::Success;
}

exit_code runStatus(const command_context &context)
{
    const auto answer = context.client.get("/v1/status");
    if (!answer)
        return reportUnreachable();
    if (answer.value().status != 200)
        return reportFailure(answer.value());
    const auto &document = answer.value().document;
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
    return show(context, "/v1/services", "",
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
    return show(context, "/v1/slots", "service=" + encodeQuery(context.arguments[0]),
                {{"SLOT", "slot"}, {"OWNER", "owner"}, {"EPOCH", "epoch"}});
}

exit_code runLeases(const command_context &context)
{
    const auto answer = context.client.get("/v1/status");
    if (!answer)
        return reportUnreachable();
    if (answer.value().status != 200)
        return reportFailure(answer.value());
    auto rows = nlohmann::json::array();
    for (const auto &shard : answer.value().document["shards"]) {
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
    return show(context, "/v1/instances", "",
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
    const auto answer = context.client.get("/v1/configuration");
    if (!answer)
        return reportUnreachable();
    if (answer.value().status != 200)
        return reportFailure(answer.value());
    std::cout << answer.value().document.dump(2) << '\n';
    return exit_code::Success;
}

exit_code runHistory(const command_context &context)
{
    return show(context, "/v1/history", "",
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
    return show(context, "/v1/audit", query,
                {{"STREAM", "stream"},
                 {"OFFSET", "offset"},
                 {"ACTION", "action"},
                 {"AUTHOR", "author"},
                 {"SUBJECT", "subject"},
                 {"RESULT", "result"},
                 {"DETAIL", "detail"}});
}

/// Counts the instances that do not have a version yet.
std::size_t countBehind(const nlohmann::json &instances, std::uint64_t version)
{
    return static_cast<std::size_t>(
            std::count_if(instances.begin(), instances.end(), [version](const auto &entry) {
                const bool isInstance = entry["role"] == "instance" && entry["state"] == "live";
                return isInstance && (entry["version"].is_null() || entry["version"] < version);
            }));
}

exit_code waitInForce(const command_context &context, std::uint64_t version)
{
    const auto deadline = boot_clock::now() + context.options.wait;
    std::size_t behind = 0;
    do {
        const auto answer = context.client.get("/v1/instances");
        if (!answer)
            return reportUnreachable();
        behind = countBehind(answer.value().document, version);
        if (behind == 0) {
            std::cerr << "version " << version << " is in force everywhere\n";
            return exit_code::Success;
        }
        std::cerr << "version " << version << ": waiting for " << behind << " instance(s)\n";
        std::this_thread::sleep_for(POLL_INTERVAL);
    } while (boot_clock::now() < deadline);
    return exit_code::NotInForce;
}

exit_code submitPatch(const command_context &context, const std::string &base,
                      const std::string &patch)
{
    const auto query =
            "base=" + encodeQuery(base) + "&author=" + encodeQuery(context.options.author);
    const auto answer = context.client.post("/v1/patches", query, patch);
    if (!answer)
        return reportUnreachable();
    const auto &document = answer.value().document;
    if (context.options.isJson)
        std::cout << document.dump(2) << '\n';
    if (answer.value().status == 409) {
        std::cerr << "conflict: the current version is " << formatCell(document["version"])
                  << "; touched paths: " << formatCell(document["touched_paths"]) << '\n';
        return exit_code::Conflict;
    }
    if (answer.value().status == 422) {
        reportFailure(answer.value());
        return exit_code::Invalid;
    }
    if (answer.value().status != 200)
        return reportFailure(answer.value());
    const auto version = document["version"].get<std::uint64_t>();
    if (!context.options.isJson)
        std::cout << "accepted as version " << version << '\n';
    return waitInForce(context, version);
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
    return waitInForce(context, version);
}

exit_code changeDrain(const command_context &context, const nlohmann::json &value)
{
    const auto current = context.client.get("/v1/configuration");
    if (!current)
        return reportUnreachable();
    if (current.value().status != 200)
        return reportFailure(current.value());
    nlohmann::json patch;
    patch["services"][context.arguments[0]]["drained"][context.arguments[1]] = value;
    return submitPatch(context, formatCell(current.value().document["version"]), patch.dump());
}

exit_code runDrain(const command_context &context)
{
    return changeDrain(context, true);
}

exit_code runUndrain(const command_context &context)
{
    return changeDrain(context, nullptr);
}

exit_code runConfirmLost(const command_context &context)
{
    const auto query = "service=" + encodeQuery(context.arguments[0])
            + "&shard=" + encodeQuery(context.arguments[1]);
    const auto answer = context.client.post("/v1/confirm-lost", query, "");
    if (!answer)
        return reportUnreachable();
    if (answer.value().status != 200)
        return reportFailure(answer.value());
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
    const auto story = explainRequest(events, id);
    if (story.empty()) {
        std::cerr << "request " << id << " is in none of the " << events.size()
                  << " lines; the log may be of other instances or another time, or the line was "
                     "dropped (see event=log_lines_dropped)\n";
        return exit_code::Failed;
    }
    for (const auto &event : story)
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
             "states that no earlier leader of a shard is active any more", 2, 2, runConfirmLost},
            {"explain", "ID FILE...", "tells a request's story from the logs of gateways", 2,
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
