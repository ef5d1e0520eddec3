#include "internal/jsonviews.h"

namespace clementinebeam {

namespace {

const char *roleName(shard_role role)
{
    switch (role) {
    case shard_role::Leader:
        return "leader";
    case shard_role::Standby:
        return "standby";
    case shard_role::Observer:
        break;
    }
    return "observer";
}

} // namespace

nlohmann::json toJson(const patch_result &result)
{
    auto problems = nlohmann::json::array();
    for (const auto &problem : result.problems)
        problems.push_back(problem.text());
    return {
            {"offset", result.offset},
            {"verdict", patchVerdictName(result.verdict)},
            {"base_version", result.baseVersion},
            {"version", result.version},
            {"department", result.department},
            {"author", result.author},
            {"submitted_at_ms", result.submittedAt},
            {"touched_paths", result.touchedPaths},
            {"problems", problems},
    };
}

nlohmann::json toJson(const shard_status &status)
{
    auto targets = nlohmann::json::array();
    for (const auto &target : status.targets) {
        const auto replyAge =
                std::chrono::duration_cast<std::chrono::milliseconds>(target.timeSinceReply);
        targets.push_back({{"target", target.id},
                           {"alive", target.alive},
                           {"draining", target.draining},
                           {"held_slots", target.heldSlots},
                           {"since_reply_ms", replyAge.count()}});
    }
    return {
            {"shard", status.shard.text()},
            {"role", roleName(status.role)},
            {"term", status.term},
            {"leader", status.leader.instance},
            {"standby", status.standby.instance},
            {"right_valid", status.authorityValid},
            {"settled", status.settled},
            {"unserved_slots", status.unservedSlots},
            {"targets", targets},
    };
}

nlohmann::json toJson(const audit_entry &entry)
{
    return {
            {"stream", entry.stream}, {"offset", entry.offset},   {"action", entry.action},
            {"author", entry.author}, {"subject", entry.subject}, {"result", entry.result},
            {"detail", entry.detail},
    };
}

nlohmann::json toJson(const listing &entry)
{
    return {
            {"id", entry.id},
            {"role", entry.role == listed_role::Target ? "target" : "instance"},
            {"state", entry.leaving ? "leaving" : "live"},
            {"data_centre", entry.dataCentre},
            {"address", entry.address.text()},
            {"service", entry.service},
    };
}

nlohmann::json slotsToJson(const routing_view &view, const service_name &service)
{
    auto slots = nlohmann::json::array();
    const auto found = view.services.find(service);
    if (found == view.services.end())
        return slots;
    for (std::size_t slot = 0; slot < found->second.slots.size(); ++slot) {
        const auto &route = found->second.slots[slot];
        slots.push_back({{"slot", slot}, {"owner", route.owner}, {"epoch", route.epoch}});
    }
    return slots;
}

nlohmann::json servicesToJson(const routing_view &view)
{
    auto services = nlohmann::json::array();
    for (const auto &[name, service] : view.configuration->routing.services) {
        auto kinds = nlohmann::json::array();
        for (const auto &[kind, settings] : service.kinds)
            kinds.push_back(kind + (settings.idempotent ? "" : " (once)"));
        services.push_back({{"service", name},
                            {"department", service.department},
                            {"slots", service.slots},
                            {"shards", service.shards},
                            {"policy", service.policy},
                            {"checks_grants", service.checksGrants},
                            {"kinds", kinds}});
    }
    return services;
}

} // namespace clementinebeam
