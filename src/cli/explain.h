#pragma once

#include <string>
#include <vector>

namespace clementinebeam {

/// One line of an instance's log.
struct logged_event {
    std::string time; ///< As written; sorts by time.
    std::string instance;
    std::string name; ///< The event's name.
    std::string text; ///< All further key=value pairs.
};

/// @param line a line of a log.
/// @return the event, or one without a name if the line is none.
logged_event parseLogLine(const std::string &line);

/// Tells the story of a request from the logs of several instances.
/// @param events all events that were logged.
/// @param requestId the request.
/// @return its events in order, with changes of what its instances believed shortly before, or
///     nothing if the request is not known.
std::vector<logged_event> explainRequest(const std::vector<logged_event> &events,
                                         const std::string &requestId);

} // namespace clementinebeam
