#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/nativelog/nativelogtypes.h"

#include <deque>
#include <map>
#include <mutex>

namespace clementinebeam {

/// Model of the platform's log: streams with offsets and limited retention.
class platform_log
{
public:
    explicit platform_log(std::chrono::milliseconds retention)
        : m_retention(retention)
    { }

    /// @return the record's offset.
    log_offset append(const std::string &stream, std::string payload, instant now);

    /// @return up to @p most records from an offset on.
    log_batch read(const std::string &stream, log_offset from, std::size_t most, instant now);

private:
    struct kept_entry {
        log_entry entry;
        instant appendedAt;
    };

    struct stream_state {
        std::deque<kept_entry> entries;
        log_offset firstOffset = 0;
        log_offset nextOffset = 0;
    };

    void expire(stream_state &stream, instant now) const;

    std::chrono::milliseconds m_retention;
    std::mutex m_mutex;
    std::map<std::string, stream_state> m_streams;
};

} // namespace clementinebeam
