#include "explain.h"

#include <algorithm>
#include <set>

namespace clementinebeam {

namespace {

/// Maximum number of state changes shown with a request; older ones are omitted.
constexpr std::size_t MAX_STATE_CHANGES = 12;

/// Events that change an instance's view of services, targets or the store.
const std::set<std::string> STATE_CHANGE_EVENTS{
        "configuration_taken", "coordination_lost", "coordination_taken", "coordinator_silent",
        "grant_failed",        "loop_lagging",      "range_released",     "release_failed",
        "right_expired",       "store_lost",        "store_regained",     "target_gone",
        "target_listed"};

/// @return the value of a key in text like "key=value key=value", up to the next space; empty if
/// the
///         key is missing.
std::string valueOf(const std::string &text, const std::string &key)
{
    const auto searchable = ' ' + text;
    const auto found = searchable.find(' ' + key + '=');
    if (found == std::string::npos)
        return {};
    const auto begin = found + key.size() + 2;
    return searchable.substr(begin, searchable.find(' ', begin) - begin);
}

/// @return whether an event is about a target or service of the request, or about an instance that
///         handled it.
bool isRelated(const logged_event &event, const std::set<std::string> &subjects,
               const std::set<std::string> &instances)
{
    const auto service = valueOf(event.text, "service");
    const auto target = valueOf(event.text, "target");
    if (!target.empty())
        return subjects.contains(target);
    const bool isOnHandlingInstance = instances.contains(event.instance);
    if (event.name == "coordinator_silent" || service.empty())
        return isOnHandlingInstance && (service.empty() || subjects.contains(service));
    return subjects.contains(service);
}

} // namespace

logged_event parseLogLine(const std::string &line)
{
    // A log collector may have added a prefix to the line.
    const auto start = line.find("time=");
    const auto event = line.find(" event=");
    if (start == std::string::npos || event == std::string::npos || event < start)
        return {};
    const auto fieldsBeforeEvent = line.substr(start, event - start);
    const auto nameBegin = event + 7;
    const auto nameEnd = std::min(line.find(' ', nameBegin), line.size());
    logged_event result;
    result.time = valueOf(fieldsBeforeEvent, "time");
    result.instance = valueOf(fieldsBeforeEvent, "instance");
    result.name = line.substr(nameBegin, nameEnd - nameBegin);
    result.text = nameEnd < line.size() ? line.substr(nameEnd + 1) : std::string{};
    return result;
}

std::vector<logged_event> explainRequest(const std::vector<logged_event> &events,
                                         const std::string &requestId)
{
    std::vector<logged_event> timeline;
    std::set<std::string> subjects;
    std::set<std::string> instances;
    for (const auto &event : events) {
        if (valueOf(event.text, "request") != requestId)
            continue;
        timeline.push_back(event);
        subjects.insert(valueOf(event.text, "service"));
        subjects.insert(valueOf(event.text, "target"));
        instances.insert(event.instance);
    }
    if (timeline.empty())
        return timeline;
    subjects.erase(std::string());
    subjects.erase(std::string("\"\""));
    const auto isEarlier = [](const auto &left, const auto &right) {
        return left.time < right.time;
    };
    std::stable_sort(timeline.begin(), timeline.end(), isEarlier);
    std::vector<logged_event> stateChanges;
    for (const auto &event : events) {
        const bool isBefore = event.time <= timeline.back().time;
        if (isBefore && STATE_CHANGE_EVENTS.contains(event.name)
            && isRelated(event, subjects, instances))
            stateChanges.push_back(event);
    }
    std::stable_sort(stateChanges.begin(), stateChanges.end(), isEarlier);
    if (stateChanges.size() > MAX_STATE_CHANGES)
        stateChanges.erase(stateChanges.begin(), stateChanges.end() - MAX_STATE_CHANGES);
    timeline.insert(timeline.end(), stateChanges.begin(), stateChanges.end());
    std::stable_sort(timeline.begin(), timeline.end(), isEarlier);
    return timeline;
}

} // namespace clementinebeam
