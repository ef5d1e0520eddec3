#include "explain.h"

#include <algorithm>
#include <set>

namespace clementinebeam {

namespace {

/// Changes of belief that are shown before the request's first event.
constexpr std::size_t MAX_CONTEXT = 12;

/// Events that change what an instance believes about services, targets or the store.
const std::set<std::string> BELIEF_CHANGES{
        "configuration_taken", "coordination_lost", "coordination_taken", "coordinator_silent",
        "grant_failed",        "loop_lagging",      "range_released",     "release_failed",
        "right_expired",       "store_lost",        "store_regained",     "target_gone",
        "target_listed"};

/// @return the value of a key in "key=value key=value", without quotes; empty if it is missing.
std::string valueOf(const std::string &text, const std::string &key)
{
    const auto padded = ' ' + text;
    const auto found = padded.find(' ' + key + '=');
    if (found == std::string::npos)
        return {};
    const auto begin = found + key.size() + 2;
    return padded.substr(begin, padded.find(' ', begin) - begin);
}

/// Whether an event concerns the request's target, its service, or the instance that took it.
bool concerns(const logged_event &event, const std::set<std::string> &subjects,
              const std::set<std::string> &instances)
{
    const auto service = valueOf(event.text, "service");
    const auto target = valueOf(event.text, "target");
    if (!target.empty())
        return subjects.contains(target);
    const bool isSeenThere = instances.contains(event.instance);
    if (event.name == "coordinator_silent" || service.empty())
        return isSeenThere && (service.empty() || subjects.contains(service));
    return subjects.contains(service);
}

} // namespace

logged_event parseLogLine(const std::string &line)
{
    // Whatever collected the lines may have put something before them.
    const auto start = line.find("time=");
    const auto event = line.find(" event=");
    if (start == std::string::npos || event == std::string::npos || event < start)
        return {};
    const auto head = line.substr(start, event - start);
    const auto nameBegin = event + 7;
    const auto nameEnd = std::min(line.find(' ', nameBegin), line.size());
    logged_event result;
    result.time = valueOf(head, "time");
    result.instance = valueOf(head, "instance");
    result.name = line.substr(nameBegin, nameEnd - nameBegin);
    result.text = nameEnd < line.size() ? line.substr(nameEnd + 1) : std::string{};
    return result;
}

std::vector<logged_event> explainRequest(const std::vector<logged_event> &events,
                                         const std::string &requestId)
{
    std::vector<logged_event> story;
    std::set<std::string> subjects;
    std::set<std::string> instances;
    for (const auto &event : events) {
        if (valueOf(event.text, "request") != requestId)
            continue;
        story.push_back(event);
        subjects.insert(valueOf(event.text, "service"));
        subjects.insert(valueOf(event.text, "target"));
        instances.insert(event.instance);
    }
    if (story.empty())
        return story;
    subjects.erase(std::string());
    subjects.erase(std::string("\"\""));
    const auto isEarlier = [](const auto &left, const auto &right) {
        return left.time < right.time;
    };
    std::stable_sort(story.begin(), story.end(), isEarlier);
    std::vector<logged_event> context;
    for (const auto &event : events) {
        const bool isBefore = event.time <= story.back().time;
        if (isBefore && BELIEF_CHANGES.contains(event.name) && concerns(event, subjects, instances))
            context.push_back(event);
    }
    std::stable_sort(context.begin(), context.end(), isEarlier);
    if (context.size() > MAX_CONTEXT)
        context.erase(context.begin(), context.end() - MAX_CONTEXT);
    story.insert(story.end(), context.begin(), context.end());
    std::stable_sort(story.begin(), story.end(), isEarlier);
    return story;
}

} // namespace clementinebeam
