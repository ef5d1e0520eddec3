#pragma once

#include "clementinebeam/dispatch/crashhistory.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>

namespace clementinebeam {

/// A crash as it is stored: with the time of day, which also later runs of a process understand.
struct stored_crash {
    target_id target;
    std::int64_t unixMs = 0; ///< Milliseconds since 1970.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(target, unixMs);
    }
};

/// A request that may crash its targets, as it is stored.
struct stored_suspect {
    std::uint64_t fingerprint = 0;
    std::vector<stored_crash> crashes; ///< Oldest first.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(fingerprint, crashes);
    }
};

/// The stored state of one service's crash history; without suspects, nothing has to be stored.
struct crash_record {
    service_name service;
    std::vector<stored_suspect> suspects;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, suspects);
    }
};

/// @param record a record that another process has stored.
/// @return whether its texts are plain and its times in range.
bool isConsistent(const crash_record &record);

/// One moment by both clocks, to convert times between them.
struct clock_reading {
    instant now;
    std::chrono::system_clock::time_point timeOfDay;
};

/// @return a reading of the clocks.
clock_reading readClocks();

/// @param service the service.
/// @param suspects what is known of its requests.
/// @param clocks the current time.
crash_record recordOf(const service_name &service, const suspect_map &suspects,
                      const clock_reading &clocks);

/// @param record a consistent record.
/// @param clocks the current time; stored times that are later count as the current time.
suspect_map suspectsOf(const crash_record &record, const clock_reading &clocks);

} // namespace clementinebeam
