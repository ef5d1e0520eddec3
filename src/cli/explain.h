#pragma once

#include <string>
#include <vector>

namespace clementinebeam {

/// One event from the log of an instance.
struct logged_event {
    std::string time; ///< As logged; sorts as text in order of time.
    std::string instance;
    std::string name; ///< Value of the key "event".
    std::string text; ///< The key=value pairs after the event name.
};

/// @param line a line of a log, with any prefix.
/// @return the event; its name is empty if the line is not an event.
logged_event parseLogLine(const std::string &line);

/// Builds the timeline of a request from the logs of several instances.
/// @param events logged events of all instances, in any order.
/// @param requestId id of the request.
/// @return the events of the request in order of time, with the latest state changes up to its last
///         event that are about its targets, its services or the instances that handled it; empty
///         if no event has that request id.
std::vector<logged_event> explainRequest(const std::vector<logged_event> &events,
                                         const std::string &requestId);

} // namespace clementinebeam
