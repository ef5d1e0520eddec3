#pragma once

#include "clementinebeam/dispatch/crashrecord.h"
#include "clementinebeam/evacuation/evacuationview.h"
#include "clementinebeam/gateway/iclusterstore.h"
#include "clementinebeam/gateway/imessageformat.h"
#include "clementinebeam/gateway/targetdirectory.h"
#include "internal/gatewaymetrics.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace clementinebeam {

/// Receives the records read from the store's streams and tells store_feeds how often to read them.
/// All functions are called on the event loop.
class i_feed_listener
{
public:
    virtual ~i_feed_listener() = default;

    /// Called with the newest configuration of a read; its version may be lower than or equal to
    /// the one in use.
    virtual void onConfiguration(routing_configuration configuration) = 0;

    /// Called with each successful read of the stream that holds the evacuations.
    /// @param changes what was read of them, oldest first; may be empty.
    /// @param version the position up to which the stream was read.
    /// @param isComplete whether the read tells all evacuations.
    virtual void onEvacuations(const std::vector<evacuation_change> &changes,
                               store_position version, bool isComplete) = 0;

    /// Called when the directory of targets has changed or was read completely.
    virtual void onTargetsChanged() = 0;

    /// Called when the ownership stream is read from its newest records again, as it does not
    /// continue from where it was read to. The next onOwnership() tells where it stands.
    virtual void onOwnershipRestarted() = 0;

    /// Called with each result of a read of the ownership stream.
    /// @param records the records, newest last; may be empty.
    /// @param end position after the last record.
    /// @param requestedAt time at which the read was sent; the stream ended at that position at
    /// some moment after it.
    virtual void onOwnership(const std::vector<ownership_record> &records, store_position end,
                             instant requestedAt) = 0;

    /// Called with each crash record that was read from the ownership stream.
    /// @param record the record; without suspects if it was removed.
    virtual void onCrashRecord(const crash_record &record) = 0;

    /// @return whether this instance coordinates a service, so that it needs changes quickly.
    virtual bool isCoordinating() const = 0;

    /// @return whether coordinators tell this instance of changes in the streams, so that it need
    /// not poll for them.
    virtual bool isRelayedViewFresh() const = 0;
};

/// Polls the store's streams of configuration, targets and ownership and passes on what it reads.
class store_feeds
{
public:
    store_feeds(boost::asio::io_context &context, i_cluster_store &store,
                const i_message_format &format, target_directory &targets,
                i_feed_listener &listener, gateway_metrics &metrics);

    /// Sends the first read of each stream.
    void start();

    /// Ends the reads; results that still arrive are dropped.
    void stop();

    /// Reads a stream at once on another connection, because a peer knows of a newer record or the
    /// current read may hang. Does nothing if the last read was sent a fraction of a second ago, or
    /// while such a read is in progress, as a large answer takes long on a slow link.
    void refresh(store_stream stream);

    /// Reads the targets at short intervals for some seconds, beginning as soon as the interval
    /// since the last read allows, because this instance has to find out without a coordinator
    /// which targets are leaving.
    void pollTargetsOften();

    /// Brings the next reads forward, as this instance has begun to coordinate a service: it has to
    /// notice a successor soon.
    void onCoordinationTaken();

    /// Reads the ownership stream without long polling, so that a coordinator learns whether it
    /// still coordinates its services. Does nothing while such a read is in progress or directly
    /// after one was sent.
    void confirmOwnership();

    /// Starts all streams over, as the store has come back from an older copy: their positions mean
    /// nothing any more.
    /// @param delay time until the first read, to spread those of many instances.
    void restart(std::chrono::milliseconds delay);

    /// @return whether any stream was read successfully.
    bool hasReadAny() const;

    /// @return whether each stream was read successfully at least once.
    bool isComplete() const;

    /// @return whether the ownership stream can be read: false before the first successful read and
    /// after several failed reads in a row. Reads of the other streams don't count.
    bool isStoreReachable() const;

    /// @return the time since the sending of the last successful read of a stream.
    std::chrono::milliseconds age(store_stream stream, instant now);

private:
    /// State of the reads of one stream.
    struct feed {
        feed(store_stream which, boost::asio::io_context &context)
            : stream(which)
            , timer(context)
        { }

        store_stream stream;
        boost::asio::steady_timer timer;
        /// Position of the next record to read; nothing if a snapshot has to be read first.
        std::optional<store_position> next;
        /// Where the stream stood before it was started over, until a snapshot has been read.
        std::optional<store_position> restartedFrom;
        /// Of the configuration: end of the time in which a snapshot may lack records that are
        /// written again; zero once a later snapshot has been read.
        instant settlesAt{};
        bool isReading = false;
        bool isRefreshing = false; ///< The current read was sent by refresh().
        bool isReachable = false;  ///< As logged last; false before the first successful read.
        bool wasRead = false;
        std::uint32_t failures = 0; ///< Failed reads in a row.
        /// Number of the current read; answers to earlier ones are dropped.
        std::uint64_t lastReadNumber = 0;
        instant requestedAt{}; ///< When the current or last read was sent.
        instant nextReadAt{};  ///< When the next read is scheduled.
        instant confirmedAt{}; ///< When the last successful read was sent.
    };

    void readUnlessSkipped(feed &item);
    bool canSkipRead(const feed &item) const;
    void read(feed &item);
    void onReadDone(feed &item, const store_batch &batch, instant requestedAt, bool isSnapshot);
    static bool continues(const feed &item, const store_batch &batch, bool isSnapshot);
    static void advancePosition(feed &item, const store_batch &batch, instant requestedAt);
    void restart(feed &item);
    static void logRestarted(feed &item);
    void noteTargetRead(const feed &item, instant requestedAt, instant now);
    void rereadAfterOutage(instant before);
    void apply(feed &item, const store_batch &batch, instant requestedAt, bool isSnapshot);
    void applyConfiguration(const store_batch &batch);
    void applyEvacuations(const store_batch &batch, bool isSnapshot);
    void applyTargets(const store_batch &batch, instant now, bool isSnapshot);
    void applyOwnership(const store_batch &batch, instant requestedAt);
    void schedule(feed &item, std::chrono::milliseconds delay);
    void bringForward(feed &item);
    std::chrono::milliseconds longPollTimeOf(const feed &item) const;
    std::chrono::milliseconds pauseAfter(const feed &item) const;
    bool needsSnapshot(const feed &item) const;
    static bool hasSettled(const feed &item, instant now);
    std::chrono::milliseconds backoff(const feed &item) const;
    void updateReachability(feed &item, store_failure failure);
    feed &feedOf(store_stream stream);

    i_cluster_store &m_store;
    const i_message_format &m_format;
    target_directory &m_targets;
    i_feed_listener &m_listener;
    gateway_metrics &m_metrics;
    feed m_configuration;
    feed m_targetFeed;
    feed m_ownership;
    bool m_isConfirming = false;
    instant m_confirmationRequestedAt{};
    instant m_pollOftenUntil{}; ///< End of the time in which targets are read often.
    /// When the first failed read of targets since the last successful one was sent; zero if none.
    instant m_targetReadsFailedSince{};
    instant m_lastAnswerAt{}; ///< When a read of any stream last succeeded.
    bool m_isStopped = false;
};

/// @param stream a stream.
/// @return its name in logs and metrics; a static string.
const char *nameOf(store_stream stream);

} // namespace clementinebeam
