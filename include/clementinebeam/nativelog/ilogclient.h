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

    /// Appends a record in the background. The record may be kept although no answer arrives.
    /// @param stream name of the stream.
    /// @param payload any bytes.
    /// @param onAppended called on a thread of the client if the log confirmed the append.
    virtual void append(const std::string &stream, std::string payload,
                        std::function<void()> onAppended) = 0;

    /// Reads records in order.
    /// @param stream name of the stream.
    /// @param from first offset wanted.
    /// @param timeout when to give up.
    /// @return records from @p from on, or from the first one kept; LogUnavailable on failure.
    virtual result<log_batch> read(const std::string &stream, log_offset from,
                                   std::chrono::milliseconds timeout) = 0;
};

} // namespace clementinebeam
