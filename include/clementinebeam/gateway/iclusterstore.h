#pragma once

#include "clementinebeam/gateway/gatewaytypes.h"

#include <functional>

namespace clementinebeam {

/// Streams of the platform's store that the system uses.
enum class store_stream {
    Configuration, ///< The operators' configuration; read only.
    Targets,       ///< Entries of targets; read only.
    Coordination,  ///< Ownership records of the system, by service.
};

/// Why a call to the store failed.
enum class store_failure {
    None,
    Unreachable, ///< No answer; a write may have been done, or may be done later.
    Refused,     ///< The store did nothing: it is busy, full, or limits this instance.
    Conflict,    ///< The stream does not end where the writer expected.
    Forgotten,   ///< The requested records are no longer kept.
};

/// @param failure why a call failed.
/// @return its name for logs and metrics.
const char *nameOf(store_failure failure);

/// A record of a keyed stream.
struct store_record {
    std::string key;
    std::string value;
    bool isRemoved = false; ///< The key was dropped.
};

/// Records that were read.
struct store_batch {
    store_failure failure = store_failure::None;
    std::vector<store_record> records;
    std::uint64_t next = 0; ///< Offset to read on from.
};

/// The outcome of an append.
struct append_outcome {
    store_failure failure = store_failure::None;
    std::uint64_t end = 0; ///< End of the stream, if the store told it.
};

/// The outcome of joining a group.
struct membership {
    store_failure failure = store_failure::None;
    std::uint64_t generation = 0;
    std::vector<std::uint32_t> parts; ///< Parts that this member is responsible for.
};

/// The platform's store. All calls are asynchronous and call back on the event loop exactly once.
class i_cluster_store
{
public:
    virtual ~i_cluster_store() = default;

    using batch_handler = std::function<void(store_batch)>;
    using append_handler = std::function<void(append_outcome)>;
    using membership_handler = std::function<void(membership)>;

    /// Reads the newest record of each key.
    virtual void readNewest(store_stream stream, batch_handler done) = 0;

    /// Reads records from an offset on.
    /// @param wait how long the store may wait for the first record.
    virtual void readFrom(store_stream stream, std::uint64_t offset, std::chrono::milliseconds wait,
                          batch_handler done) = 0;

    /// Appends one record if the stream ends at an offset.
    virtual void appendAt(store_stream stream, std::uint64_t end, const store_record &record,
                          append_handler done) = 0;

    /// Joins the group of coordinators, or stays in it.
    /// @param member this process; unique.
    /// @param generation the last one received; 0 at first.
    /// @param lifetime how long the membership lasts without another call.
    virtual void joinCoordinators(const std::string &member, std::uint64_t generation,
                                  std::chrono::milliseconds lifetime, membership_handler done) = 0;

    /// Leaves the group of coordinators.
    virtual void leaveCoordinators(const std::string &member, std::function<void()> done) = 0;

    /// @return the number of parts that members of the group share.
    virtual std::uint32_t coordinatorParts() const = 0;
};

} // namespace clementinebeam
