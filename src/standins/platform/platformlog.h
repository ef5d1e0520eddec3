#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/nativelog/nativelogtypes.h"

#include <deque>
#include <map>
#include <mutex>

namespace clementinebeam {

/// In-memory log of the platform stand-in: streams of records with consecutive offsets and a
/// retention time. Thread-safe.
class platform_log
{
public:
    explicit platform_log(std::chrono::milliseconds retention)
        : m_retention(retention)
    { }

    /// Appends a record to a stream and drops expired records. Creates the stream if needed.
    /// @return the record's offset.
    log_offset append(const std::string &stream, std::string payload, instant now);

    /// @param from first offset; expired offsets are skipped.
    /// @param maxRecords upper limit of the number of records.
    /// @return records in order of their offsets, and the range of offsets that the stream holds.
    log_batch read(const std::string &stream, log_offset from, std::size_t maxRecords, instant now);

private:
    struct stored_entry {
        log_entry entry;
        instant appendedAt;
    };

    struct stream_state {
        std::deque<stored_entry> entries;
        log_offset firstOffset = 0;
        log_offset nextOffset = 0;
    };

    void expire(stream_state &stream, instant now) const;

    std::chrono::milliseconds m_retention;
    std::mutex m_mutex;
    std::map<std::string, stream_state> m_streams;
};

} // namespace clementinebeam
