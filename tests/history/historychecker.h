#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace clementinebeam::history {

/// One run of a request at a target. All times are in microseconds, on the clock that all processes
/// share.
struct execution {
    std::int64_t time = 0; ///< Microseconds.
    std::string target;
    std::string service;
    std::string key;
    std::string requestId;
    std::uint32_t slot = 0;
    std::uint64_t epoch = 0;
};

/// A target's right to a slot, from the grant to the release or the end of the lease.
struct ownership {
    std::string target;
    std::string service;
    std::uint32_t slot = 0;
    std::uint64_t epoch = 0;
    std::int64_t from = 0;
    std::int64_t until = 0;
};

/// A caller's request and its outcome.
struct call {
    std::string requestId; ///< Empty for an idempotent request.
    std::string key;
    std::string body;
    std::int64_t invoked = 0;  ///< When the request was sent; microseconds.
    std::int64_t answered = 0; ///< When the outcome was known; microseconds.
    std::string outcome;       ///< "answered", "not_run", "unknown" or "none" without an answer.
    std::string answerKey;
    std::string answerBody;
    bool isOnlyCopy = false; ///< Whether the id was sent only once.
};

/// A configuration version that an instance reported as in force.
struct version_reading {
    std::string instance;
    std::int64_t time = 0;
    std::uint64_t version = 0;
};

/// An accepted configuration patch, at the time of its acknowledgement.
struct accepted_patch {
    std::int64_t time = 0;
    std::uint64_t base = 0;
    std::uint64_t version = 0;
};

/// When a target was told to leave.
struct departure {
    std::string target;
    std::int64_t time = 0;
};

/// All events of one run.
struct history {
    std::vector<execution> executions;
    std::vector<ownership> ownerships;
    std::vector<call> calls;
    std::vector<version_reading> readings;
    std::vector<accepted_patch> patches;
    std::vector<departure> departures;
};

/// Checks the invariants: at most one owner of a slot at a time; no run in an older epoch after a
/// newer one; at most one run of each request with an id; answers that agree with the runs and the
/// requests; configuration versions that never go back and include every accepted patch; no
/// requests to a target after its departure.
/// @param events all events of a run.
/// @return one line for each violation.
std::vector<std::string> check(const history &events);

/// Adds the events of a history file that targets of one service wrote. Incomplete lines are
/// skipped.
/// @param path the file.
/// @param service the service of the file's targets.
/// @param events receives the events.
void loadTargetHistory(const std::string &path, const std::string &service, history &events);

} // namespace clementinebeam::history
