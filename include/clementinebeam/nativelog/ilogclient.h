#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/result.h"
#include "clementinebeam/nativelog/nativelogtypes.h"

#include <functional>

namespace clementinebeam {

/// The platform's append-only log service.
class i_log_client
{
public:
    virtual ~i_log_client() = default;

    /// Appends a record in the background. The log may store the record even if no confirmation
    /// arrives.
    /// @param stream name of the stream.
    /// @param payload content of the record, any bytes.
    /// @param onAppended called on a thread of the client once the log confirms the append; not
    ///        called on failure.
    virtual void append(const std::string &stream, std::string payload,
                        std::function<void()> onAppended) = 0;

    /// Reads records in order of offset; blocks until the response or the timeout.
    /// @param stream name of the stream.
    /// @param from first offset to read.
    /// @param timeout longest wait for the response.
    /// @return records from @p from on, or from the first one that is still stored; LogUnavailable
    ///         if the stream cannot be read, BadMessage if the response cannot be parsed.
    virtual result<log_batch> read(const std::string &stream, log_offset from,
                                   std::chrono::milliseconds timeout) = 0;
};

} // namespace clementinebeam
