#include "historychecker.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

namespace clementinebeam::history {

namespace {

/// A leaving target may still get new requests for this long after it was told to leave.
constexpr std::int64_t DEPARTURE_GRACE_US = 3'000'000;

using violations = std::vector<std::string>;
using slot_key = std::pair<std::string, std::uint32_t>;

void checkSingleOwner(const history &events, violations &found)
{
    std::map<slot_key, std::vector<const ownership *>> bySlot;
    for (const auto &item : events.ownerships)
        bySlot[{item.service, item.slot}].push_back(&item);
    for (auto &[slot, items] : bySlot) {
        std::sort(items.begin(), items.end(),
                  [](const auto *left, const auto *right) { return left->from < right->from; });
        const ownership *last = nullptr;
        for (const auto *item : items) {
            const bool overlaps = last && last->target != item->target && item->from < last->until;
            if (overlaps)
                found.push_back("two owners of " + slot.first + '/' + std::to_string(slot.second)
                                + ": " + last->target + " and " + item->target);
            if (!last || item->until > last->until)
                last = item;
        }
    }
}

void checkEpochs(const history &events, violations &found)
{
    auto executions = events.executions;
    std::sort(executions.begin(), executions.end(),
              [](const execution &left, const execution &right) { return left.time < right.time; });
    std::map<slot_key, std::uint64_t> highest;
    for (const auto &item : executions) {
        auto &epoch = highest[{item.service, item.slot}];
        if (item.epoch < epoch)
            found.push_back("request ran at " + item.target + " in epoch "
                            + std::to_string(item.epoch) + " after epoch " + std::to_string(epoch));
        epoch = std::max(epoch, item.epoch);
    }
}

void checkAtMostOnce(const history &events, violations &found)
{
    std::set<std::string> seen;
    for (const auto &item : events.executions) {
        if (!item.requestId.empty() && !seen.insert(item.requestId).second)
            found.push_back("request " + item.requestId + " ran twice");
    }
    for (const auto &item : events.calls) {
        if (item.requestId.empty())
            continue;
        const bool ran = seen.contains(item.requestId);
        if (item.outcome == "answered" && !ran)
            found.push_back("request " + item.requestId + " was answered but did not run");
        if (item.outcome == "not_run" && item.isOnlyCopy && ran)
            found.push_back("request " + item.requestId
                            + " ran although it was said not to have run");
    }
}

void checkAnswers(const history &events, violations &found)
{
    for (const auto &item : events.calls) {
        const bool isRight = item.answerKey == item.key && item.answerBody == item.body;
        if (item.outcome == "answered" && !isRight)
            found.push_back("call for key " + item.key + " got the answer for " + item.answerKey);
    }
}

void checkVersions(const history &events, violations &found)
{
    auto readings = events.readings;
    std::stable_sort(readings.begin(), readings.end(),
                     [](const auto &left, const auto &right) { return left.time < right.time; });
    std::map<std::string, std::uint64_t> highest;
    for (const auto &item : readings) {
        auto &version = highest[item.instance];
        if (item.version < version)
            found.push_back("instance " + item.instance + " went back to version "
                            + std::to_string(item.version));
        version = std::max(version, item.version);
    }
    std::set<std::uint64_t> bases;
    std::uint64_t newest = 0;
    for (const auto &item : events.patches) {
        if (!bases.insert(item.base).second)
            found.push_back("two patches were accepted on version " + std::to_string(item.base));
        newest = std::max(newest, item.version);
    }
    for (const auto &[instance, version] : highest) {
        if (version < newest)
            found.push_back("instance " + instance + " never showed version "
                            + std::to_string(newest));
    }
}

void checkDepartures(const history &events, violations &found)
{
    for (const auto &departure : events.departures) {
        for (const auto &item : events.executions) {
            if (item.target == departure.target && item.time > departure.time + DEPARTURE_GRACE_US)
                found.push_back("leaving target " + item.target + " still got a request");
        }
    }
}

/// Derives the ownerships of one target's slots from its events.
class ownership_tracker
{
public:
    ownership_tracker(std::string target, std::string service, history &events)
        : m_target(std::move(target))
        , m_service(std::move(service))
        , m_events(events)
    { }

    void applyControlEvent(const nlohmann::json &event)
    {
        const auto time = event.at("time_us").get<std::int64_t>();
        for (const auto &item : event.at("released"))
            endOwnership(item.at(0).get<std::uint32_t>(), time);
        for (const auto &item : event.at("granted")) {
            const auto slot = item.at(0).get<std::uint32_t>();
            endOwnership(slot, time);
            m_open[slot] = {m_target, m_service, slot, item.at(1).get<std::uint64_t>(), time, time};
        }
        m_leaseUntil = event.at("lease_until_us").get<std::int64_t>();
    }

    /// Ends the ownership of all slots, at the end of the lease if that comes before the given
    /// time: a killed target logs no end of its own.
    void endAll(std::int64_t time)
    {
        for (auto &[slot, item] : std::exchange(m_open, {})) {
            item.until = std::max(item.from, std::min(time, m_leaseUntil));
            m_events.ownerships.push_back(item);
        }
    }

private:
    void endOwnership(std::uint32_t slot, std::int64_t time)
    {
        const auto open = m_open.find(slot);
        if (open == m_open.end())
            return;
        open->second.until = std::max(open->second.from, std::min(time, m_leaseUntil));
        m_events.ownerships.push_back(open->second);
        m_open.erase(open);
    }

    std::string m_target;
    std::string m_service;
    history &m_events;
    std::int64_t m_leaseUntil = 0;
    std::map<std::uint32_t, ownership> m_open;
};

} // namespace

std::vector<std::string> check(const history &events)
{
    violations found;
    checkSingleOwner(events, found);
    checkEpochs(events, found);
    checkAtMostOnce(events, found);
    checkAnswers(events, found);
    checkVersions(events, found);
    checkDepartures(events, found);
    return found;
}

void loadTargetHistory(const std::string &path, const std::string &service, history &events)
{
    std::ifstream file(path);
    std::string line;
    std::int64_t time = 0;
    std::map<std::string, ownership_tracker> trackers;
    while (std::getline(file, line)) {
        const auto event = nlohmann::json::parse(line, nullptr, false);
        if (event.is_discarded())
            continue; // The process was killed while it wrote this line.
        const auto target = event.at("target").get<std::string>();
        const auto kind = event.at("event").get<std::string>();
        time = event.at("time_us").get<std::int64_t>();
        auto &tracker = trackers.try_emplace(target, target, service, events).first->second;
        if (kind == "control")
            tracker.applyControlEvent(event);
        if (kind == "start" || kind == "lapse" || kind == "stop")
            tracker.endAll(time);
        if (kind == "execute")
            events.executions.push_back({time, target, service, event.at("key"),
                                         event.at("request_id"), event.at("slot"),
                                         event.at("epoch")});
    }
    constexpr std::int64_t FOREVER = INT64_MAX;
    for (auto &[target, tracker] : trackers)
        tracker.endAll(FOREVER);
}

} // namespace clementinebeam::history
