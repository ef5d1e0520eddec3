#pragma once

#include "clementinebeam/gateway/iclusterstore.h"
#include "clementinebeam/gateway/imessageformat.h"
#include "clementinebeam/gateway/targetdirectory.h"
#include "internal/gatewaymetrics.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace clementinebeam {

/// Takes what the store's streams bring.
class i_feed_listener
{
public:
    virtual ~i_feed_listener() = default;

    virtual void onConfiguration(routing_configuration configuration) = 0;
    virtual void onTargetsChanged() = 0;

    /// Takes ownership records, newest last.
    /// @param records the records.
    /// @param end offset after the last of them.
    /// @param askedAt when the read was sent; the records were the newest at some later moment.
    virtual void onOwnership(const std::vector<ownership_record> &records, std::uint64_t end,
                             instant askedAt) = 0;

    /// @return whether this instance coordinates a service and needs news quickly.
    virtual bool isCoordinating() const = 0;

    /// @return whether coordinators tell this instance when there are news to be read.
    virtual bool isInformed() const = 0;
};

/// Follows the store's streams: configuration, targets and ownership.
class store_feeds
{
public:
    store_feeds(boost::asio::io_context &context, i_cluster_store &store,
                const i_message_format &format, target_directory &targets,
                i_feed_listener &listener, gateway_metrics &metrics);

    void start();
    void stop();

    /// Reads a stream at once on another connection, as when a peer knows of something newer or the
    /// present read may hang; not more often than a few times a second, and not while such a read
    /// is under way: a large answer takes its time on a slow link.
    void refresh(store_stream stream);

    /// Reads the targets now and for some seconds at short intervals, as when this instance has to
    /// know itself which targets leave.
    void followTargets();

    /// Reads the ownership stream without waiting for news, as soon as reads that were already
    /// asked for this purpose are answered.
    void prove();

    /// @return whether all streams were read at least once.
    bool isComplete() const;

    /// @return whether the ownership stream could be read lately.
    bool isStoreReachable() const;

    /// @return the time since a stream was last confirmed to be up to date.
    std::chrono::milliseconds age(store_stream stream, instant now);

private:
    /// Reading position in one stream.
    struct feed {
        feed(store_stream which, boost::asio::io_context &context)
            : stream(which)
            , timer(context)
        { }

        store_stream stream;
        boost::asio::steady_timer timer;
        std::uint64_t next = 0;
        bool isPositioned = false; ///< next is known; else the newest records are read first.
        bool isReading = false;
        bool isRefreshing = false; ///< The present read does not wait for news.
        bool isReachable = false;
        bool wasComplete = false;
        std::uint32_t failures = 0;
        std::uint64_t reads =
                0; ///< Number of the present read; answers to earlier ones are dropped.
        instant askedAt{};
        instant dueAt{}; ///< When the next read is scheduled.
        instant confirmedAt{};
    };

    void readWhenNeeded(feed &item);
    bool mayRest(const feed &item) const;
    void read(feed &item);
    void onBatch(feed &item, const store_batch &batch, instant askedAt, bool isWhole);
    static void advancePosition(feed &item, const store_batch &batch, instant askedAt);
    void noteTargetRead(const feed &item, instant askedAt, instant now);
    void restartHungReads(instant before);
    void apply(feed &item, const store_batch &batch, instant askedAt, bool isWhole);
    void applyConfiguration(const store_batch &batch);
    void applyTargets(const store_batch &batch, instant now, bool isWhole);
    void applyOwnership(const store_batch &batch, instant askedAt);
    void schedule(feed &item, std::chrono::milliseconds delay);
    std::chrono::milliseconds waitOf(const feed &item) const;
    std::chrono::milliseconds pauseOf(const feed &item) const;
    bool isWholeRead(const feed &item) const;
    std::chrono::milliseconds backoff(const feed &item) const;
    void noteReachable(feed &item, store_failure failure);
    feed &feedOf(store_stream stream);

    i_cluster_store &m_store;
    const i_message_format &m_format;
    target_directory &m_targets;
    i_feed_listener &m_listener;
    gateway_metrics &m_metrics;
    feed m_configuration;
    feed m_targetFeed;
    feed m_ownership;
    bool m_isProving = false;
    instant m_provedAt{};
    instant m_followUntil{}; ///< Targets are read at short intervals until then.
    instant m_lostAt{};      ///< First failed read of targets since the last success; zero if none.
    bool m_isStopped = false;
};

/// @param stream a stream.
/// @return its name for logs and metrics.
const char *nameOf(store_stream stream);

} // namespace clementinebeam
