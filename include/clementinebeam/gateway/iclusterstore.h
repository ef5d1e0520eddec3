#pragma once

#include "clementinebeam/answers/answererror.h"
#include "clementinebeam/gateway/eratracker.h"
#include "clementinebeam/gateway/gatewaytypes.h"
#include "clementinebeam/kernel/storeera.h"

#include <functional>

namespace clementinebeam {

/// Streams of the platform's store that the gateway uses.
enum class store_stream {
    Configuration, ///< Routing configuration, written by operators; read only here.
    Targets,       ///< Entries that targets publish; read only here.
    /// Written by coordinators: ownership records, whose record key is the service, and crash
    /// records, see crashRecordKey().
    Coordination,
};

/// Why a call to the store failed.
enum class store_failure {
    None,
    Unreachable, ///< No answer; a write may have been applied or may still be applied.
    Refused,     ///< Nothing was done: the store is busy, full, or limits this instance.
    Conflict,    ///< The stream's end is not at the position that the writer expected.
    /// The stream does not continue from the requested position: its records are no longer
    /// retained, or the position is of an earlier era.
    Forgotten,
};

/// @param failure the result of a call.
/// @return its name in logs and metrics; a static string.
const char *nameOf(store_failure failure);

/// A record of a stream; readNewest() returns only the newest one with each record key.
struct store_record {
    std::string key; ///< Record key; not a key of a key space.
    std::string value;
    bool isRemoved = false; ///< The record key was deleted.
};

/// @param service a service.
/// @return the record key of its crash record.
std::string crashRecordKey(const service_name &service);

/// The result of a read.
struct store_batch {
    store_failure failure = store_failure::None;
    std::vector<store_record> records;
    store_position next;    ///< Position of the next record to read.
    bool isComplete = true; ///< The stream ended at next; otherwise there is more to read.
};

/// The result of an append.
struct append_outcome {
    store_failure failure = store_failure::None;
    store_position end; ///< End of the stream; offset 0 if the store did not report it.
};

/// The result of joining the coordinator group.
struct membership {
    store_failure failure = store_failure::None;
    std::uint64_t generation = 0;     ///< Changes when members join or leave.
    std::vector<std::uint32_t> parts; ///< Parts assigned to this member.
};

/// The platform's store. All calls are asynchronous; each invokes its handler exactly once on the
/// event loop.
class i_cluster_store
{
public:
    virtual ~i_cluster_store() = default;

    using batch_handler = std::function<void(store_batch)>;
    using append_handler = std::function<void(append_outcome)>;
    using membership_handler = std::function<void(membership)>;

    /// @param handler called for each answer of the store that is refused because it is broken; the
    /// call then ends with Unreachable.
    virtual void setBrokenAnswerHandler(const broken_answer_handler & /*handler*/) { }

    /// @param handler called with each later era that the store names, before the handler of the
    /// answer that names it. Answers that name an earlier era end their calls with Unreachable.
    virtual void setEraHandler(const era_tracker::rise_handler & /*handler*/) { }

    /// Reads the newest record of each record key.
    /// @param done gets the records and the position that readFrom() continues at.
    virtual void readNewest(store_stream stream, batch_handler done) = 0;

    /// Reads the records from a position on.
    /// @param from position of the first record to read.
    /// @param wait long-poll timeout: time that the store may wait for a first record.
    /// @param done gets the records, none after a timeout; Forgotten if the stream does not
    /// continue from the position.
    virtual void readFrom(store_stream stream, store_position from, std::chrono::milliseconds wait,
                          batch_handler done) = 0;

    /// Appends one record if the stream still ends at the expected position.
    /// @param end the expected end of the stream.
    /// @param record the record to append.
    /// @param done gets Conflict if the stream ends elsewhere, Unreachable if the record was
    /// appended in another era than that of the expected end.
    virtual void appendAt(store_stream stream, store_position end, const store_record &record,
                          append_handler done) = 0;

    /// Joins the coordinator group or renews the membership.
    /// @param member unique name of this process.
    /// @param generation the generation received last; 0 before the first join.
    /// @param lifetime time after which the membership expires unless it is renewed.
    /// @param done gets the generation and the parts of this member.
    virtual void joinCoordinators(const std::string &member, std::uint64_t generation,
                                  std::chrono::milliseconds lifetime, membership_handler done) = 0;

    /// Leaves the coordinator group.
    /// @param member the name that joined.
    /// @param done called when the call has ended, whether it succeeded or not.
    virtual void leaveCoordinators(const std::string &member, std::function<void()> done) = 0;

    /// @return the number of parts of each stream, which are divided among the members of the
    /// group.
    virtual std::uint32_t coordinatorParts() const = 0;
};

} // namespace clementinebeam
