#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace clementinebeam::history {

/// One run of a request at a target, on the clock that all processes share.
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

/// What a caller asked and was told.
struct call {
    std::string requestId; ///< Empty for an idempotent request.
    std::string key;
    std::string body;
    std::int64_t invoked = 0;
    std::int64_t answered = 0;
    std::string outcome; ///< "answered", "not_run", "unknown" or "none" without an answer.
    std::string answerKey;
    std::string answerBody;
    bool isOnlyCopy = false; ///< The id was sent once.
};

/// A version that an instance showed as in force.
struct version_reading {
    std::string instance;
    std::int64_t time = 0;
    std::uint64_t version = 0;
};

/// An accepted patch, at the time of its acknowledgement.
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

/// Checks what must always hold.
/// @param events all events of a run.
/// @return one line for each violation.
std::vector<std::string> check(const history &events);

/// Adds the events of one target's history file.
/// @param path the file.
/// @param service the target's service.
/// @param events receives the events.
void loadTargetHistory(const std::string &path, const std::string &service, history &events);

} // namespace clementinebeam::history
