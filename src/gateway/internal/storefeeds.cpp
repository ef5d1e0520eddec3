#include "internal/storefeeds.h"

#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// How long the store may wait for news. Probes of the connection notice one that went silent.
constexpr milliseconds NEWS_WAIT{8000};
/// A coordinator proves its right with each read, and has to see a successor soon; of the
/// configuration it tells others how long ago it was the newest.
constexpr milliseconds COORDINATOR_WAIT{1000};
/// Entries of targets change all the time, so they are read at intervals: fast where places are
/// given out, below the drain time of 2 s where the coordinator can't be relied on.
constexpr milliseconds COORDINATOR_TARGETS_INTERVAL{350};
constexpr milliseconds FOLLOWED_TARGETS_INTERVAL{900};
/// Other instances are told with each placement where to send the request.
constexpr milliseconds IDLE_TARGETS_INTERVAL{8000};
/// Changes of a longer time are not read one by one; two of the longer intervals of close reading.
constexpr milliseconds MAX_CATCH_UP = FOLLOWED_TARGETS_INTERVAL * 2;
/// How long targets are read at short intervals after the last sign that this is needed.
constexpr milliseconds FOLLOW_TIME{3000};
/// Owners of keys matter to others only while a coordinator is silent; a new coordinator is read of
/// at once when the old one falls silent or says that it has been replaced.
constexpr milliseconds OWNERSHIP_PAUSE{8000};
constexpr milliseconds COORDINATOR_OWNERSHIP_PAUSE{120};
/// Proofs of the coordinator's right that are asked for within this time are one read.
constexpr milliseconds PROOF_INTERVAL{60};
/// An instance that coordinators keep informed reads a stream only so often, as a reserve for
/// times in which neither the store nor a coordinator can be reached, and looks at these intervals
/// whether they still do: at the short one for the configuration, and for the store's return. A
/// silent coordinator has targets and ownership read at once.
constexpr milliseconds INFORMED_INTERVAL{30000};
constexpr milliseconds SHORT_REST{250};
constexpr milliseconds REST{1000};
/// Changes that follow each other closely are read together.
constexpr milliseconds MIN_PAUSE{60};
constexpr milliseconds FIRST_BACKOFF{150};
constexpr milliseconds MAX_BACKOFF{800};
/// Others than coordinators hear of the store's return from these.
constexpr milliseconds MAX_IDLE_BACKOFF{1600};
constexpr milliseconds MIN_REFRESH_INTERVAL{400};
/// Failed reads in a row after which the store counts as away.
constexpr std::uint32_t AWAY_FAILURES = 2;

} // namespace

const char *nameOf(store_stream stream)
{
    switch (stream) {
    case store_stream::Configuration:
        return "configuration";
    case store_stream::Targets:
        return "targets";
    case store_stream::Coordination:
        break;
    }
    return "ownership";
}

store_feeds::store_feeds(boost::asio::io_context &context, i_cluster_store &store,
                         const i_message_format &format, target_directory &targets,
                         i_feed_listener &listener, gateway_metrics &metrics)
    : m_store(store)
    , m_format(format)
    , m_targets(targets)
    , m_listener(listener)
    , m_metrics(metrics)
    , m_configuration(store_stream::Configuration, context)
    , m_targetFeed(store_stream::Targets, context)
    , m_ownership(store_stream::Coordination, context)
{ }

void store_feeds::start()
{
    for (auto *item : {&m_configuration, &m_targetFeed, &m_ownership})
        read(*item);
}

void store_feeds::stop()
{
    m_isStopped = true;
    for (auto *item : {&m_configuration, &m_targetFeed, &m_ownership})
        item->timer.cancel();
}

bool store_feeds::isComplete() const
{
    return m_configuration.wasComplete && m_targetFeed.wasComplete && m_ownership.wasComplete;
}

bool store_feeds::isStoreReachable() const
{
    return m_ownership.failures < AWAY_FAILURES && m_ownership.wasComplete;
}

store_feeds::feed &store_feeds::feedOf(store_stream stream)
{
    if (stream == store_stream::Configuration)
        return m_configuration;
    return stream == store_stream::Targets ? m_targetFeed : m_ownership;
}

milliseconds store_feeds::age(store_stream stream, instant now)
{
    return std::chrono::duration_cast<milliseconds>(now - feedOf(stream).confirmedAt);
}

void store_feeds::refresh(store_stream stream)
{
    auto &item = feedOf(stream);
    const bool isUnderWay = item.isReading && item.isRefreshing;
    if (m_isStopped || isUnderWay || boot_clock::now() < item.askedAt + MIN_REFRESH_INTERVAL)
        return;
    item.timer.cancel();
    item.isRefreshing = true;
    read(item);
}

void store_feeds::followTargets()
{
    const auto now = boot_clock::now();
    m_followUntil = now + FOLLOW_TIME;
    // The next read may have been scheduled for much later.
    const auto due = std::max(now, m_targetFeed.askedAt + pauseOf(m_targetFeed));
    if (!m_isStopped && !m_targetFeed.isReading && due < m_targetFeed.dueAt)
        schedule(m_targetFeed, std::chrono::duration_cast<milliseconds>(due - now));
}

void store_feeds::prove()
{
    const auto askedAt = boot_clock::now();
    if (m_isStopped || m_isProving || !m_ownership.isPositioned
        || askedAt < m_provedAt + PROOF_INTERVAL)
        return;
    m_isProving = true;
    m_provedAt = askedAt;
    const bool isWhole = isWholeRead(m_ownership);
    const auto done = [this, askedAt, isWhole](const store_batch &batch) {
        m_isProving = false;
        m_metrics.countStoreCall(isWhole ? "prove_newest" : "prove", nameOf(batch.failure));
        if (batch.failure != store_failure::None || m_isStopped)
            return;
        advancePosition(m_ownership, batch, askedAt);
        applyOwnership(batch, askedAt);
    };
    if (isWhole)
        m_store.readNewest(store_stream::Coordination, done);
    else
        m_store.readFrom(store_stream::Coordination, m_ownership.next, milliseconds(0), done);
}

/// Reads overlap, and the answer to an earlier one may come later.
void store_feeds::advancePosition(feed &item, const store_batch &batch, instant askedAt)
{
    item.next = std::max(item.next, batch.next);
    item.confirmedAt = std::max(item.confirmedAt, askedAt);
}

void store_feeds::restartHungReads(instant before)
{
    for (auto *item : {&m_configuration, &m_ownership}) {
        if (item->askedAt < before)
            refresh(item->stream);
    }
}

milliseconds store_feeds::waitOf(const feed &item) const
{
    // After a failure the first answer counts more than the news.
    if (item.failures > 0 || item.isRefreshing)
        return milliseconds(0);
    if (item.stream == store_stream::Targets)
        return milliseconds(0);
    return m_listener.isCoordinating() ? COORDINATOR_WAIT : NEWS_WAIT;
}

milliseconds store_feeds::pauseOf(const feed &item) const
{
    const bool isCoordinating = m_listener.isCoordinating();
    switch (item.stream) {
    case store_stream::Targets:
        if (isCoordinating)
            return COORDINATOR_TARGETS_INTERVAL;
        return boot_clock::now() < m_followUntil ? FOLLOWED_TARGETS_INTERVAL
                                                 : IDLE_TARGETS_INTERVAL;
    case store_stream::Coordination:
        return isCoordinating ? COORDINATOR_OWNERSHIP_PAUSE : OWNERSHIP_PAUSE;
    case store_stream::Configuration:
        break;
    }
    return MIN_PAUSE;
}

milliseconds store_feeds::backoff(const feed &item) const
{
    const auto most = m_listener.isCoordinating() ? MAX_BACKOFF : MAX_IDLE_BACKOFF;
    const auto doublings = std::min<std::uint32_t>(item.failures, 5);
    return std::min(FIRST_BACKOFF * (1U << doublings) / 2, most);
}

void store_feeds::schedule(feed &item, milliseconds delay)
{
    if (m_isStopped)
        return;
    item.dueAt = boot_clock::now() + delay;
    item.timer.expires_after(delay);
    item.timer.async_wait([this, &item](boost::system::error_code error) {
        if (!error && !m_isStopped)
            readWhenNeeded(item);
    });
}

/// @return whether a stream need not be read now: coordinators would tell of news, or the store is
/// away and the reads of the configuration find out when it is back.
bool store_feeds::mayRest(const feed &item) const
{
    const auto now = boot_clock::now();
    const bool isProbed =
            m_configuration.failures >= AWAY_FAILURES && item.stream != store_stream::Configuration;
    if (item.failures >= AWAY_FAILURES && isProbed && !m_listener.isCoordinating())
        return true;
    return item.isPositioned && item.failures == 0 && now < item.confirmedAt + INFORMED_INTERVAL
            && now >= m_followUntil && !m_listener.isCoordinating() && m_listener.isInformed();
}

void store_feeds::readWhenNeeded(feed &item)
{
    if (!mayRest(item)) {
        read(item);
        return;
    }
    const bool isShort = item.stream == store_stream::Configuration || item.failures > 0;
    schedule(item, isShort ? SHORT_REST : REST);
}

/// After a long time the newest records are fewer than all changes since the last read, which may
/// not fit into one answer of the store.
bool store_feeds::isWholeRead(const feed &item) const
{
    const bool isLongAgo = item.stream != store_stream::Configuration
            && boot_clock::now() > item.confirmedAt + MAX_CATCH_UP;
    return !item.isPositioned || isLongAgo;
}

void store_feeds::read(feed &item)
{
    const auto askedAt = boot_clock::now();
    const auto number = ++item.reads;
    const bool isWhole = isWholeRead(item);
    item.askedAt = askedAt;
    item.isReading = true;
    const auto done = [this, &item, number, askedAt, isWhole](const store_batch &batch) {
        if (number == item.reads)
            onBatch(item, batch, askedAt, isWhole);
    };
    if (isWhole)
        m_store.readNewest(item.stream, done);
    else
        m_store.readFrom(item.stream, item.next, waitOf(item), done);
}

void store_feeds::noteReachable(feed &item, store_failure failure)
{
    const bool isReachable = failure == store_failure::None || failure == store_failure::Forgotten;
    item.failures = isReachable ? 0 : item.failures + 1;
    const bool shows =
            isReachable != item.isReachable && (isReachable || item.failures >= AWAY_FAILURES);
    if (!shows)
        return;
    item.isReachable = isReachable;
    log_line(isReachable ? log_level::Info : log_level::Warning,
             isReachable ? "store_regained" : "store_lost")
            .add("stream", nameOf(item.stream))
            .add("error", nameOf(failure))
            .add("offset", item.next);
}

void store_feeds::noteTargetRead(const feed &item, instant askedAt, instant now)
{
    const bool isReachable = item.failures == 0;
    m_targets.setStoreReachable(isReachable, now);
    if (!isReachable && m_lostAt == instant{})
        m_lostAt = askedAt;
    if (!isReachable || m_lostAt == instant{})
        return;
    // A store that was away never answers what it was asked before it went.
    restartHungReads(now);
    m_lostAt = instant{};
}

void store_feeds::onBatch(feed &item, const store_batch &batch, instant askedAt, bool isWhole)
{
    if (m_isStopped)
        return;
    const auto now = boot_clock::now();
    item.isReading = false;
    item.isRefreshing = false;
    m_metrics.countStoreCall(std::string(isWhole ? "newest_" : "read_") + nameOf(item.stream),
                             nameOf(batch.failure));
    noteReachable(item, batch.failure);
    if (item.stream == store_stream::Targets)
        noteTargetRead(item, askedAt, now);
    if (batch.failure == store_failure::Forgotten) {
        log_line(log_level::Warning, "stream_forgotten")
                .add("stream", nameOf(item.stream))
                .add("offset", item.next);
        item.isPositioned = false;
        schedule(item, MIN_PAUSE);
        return;
    }
    if (batch.failure != store_failure::None) {
        schedule(item, backoff(item));
        return;
    }
    advancePosition(item, batch, askedAt);
    item.isPositioned = true;
    apply(item, batch, askedAt, isWhole);
    item.wasComplete = true;
    schedule(item, pauseOf(item));
}

void store_feeds::apply(feed &item, const store_batch &batch, instant askedAt, bool isWhole)
{
    switch (item.stream) {
    case store_stream::Configuration:
        applyConfiguration(batch);
        break;
    case store_stream::Targets:
        applyTargets(batch, boot_clock::now(), isWhole);
        break;
    case store_stream::Coordination:
        applyOwnership(batch, askedAt);
        break;
    }
}

void store_feeds::applyConfiguration(const store_batch &batch)
{
    // Each record holds the configuration in full, so only the newest one counts.
    const auto newest = std::find_if(batch.records.rbegin(), batch.records.rend(),
                                     [](const store_record &record) { return !record.isRemoved; });
    if (newest == batch.records.rend())
        return;
    auto configuration = m_format.readConfiguration(newest->value);
    if (!configuration) {
        log_line(log_level::Error, "configuration_unreadable")
                .add("bytes", newest->value.size())
                .add("error", configuration.error().message());
        return;
    }
    m_listener.onConfiguration(std::move(configuration.value()));
}

void store_feeds::applyTargets(const store_batch &batch, instant now, bool isWhole)
{
    std::map<std::string, const store_record *> newest;
    for (const auto &record : batch.records)
        newest[record.key] = &record;
    const auto before = m_targets.revision();
    std::vector<target_entry> entries;
    for (const auto &[id, record] : newest) {
        if (record->isRemoved) {
            m_targets.remove(id, now);
            continue;
        }
        auto entry = m_format.readTarget(id, record->value);
        if (!entry) {
            log_line(log_level::Warning, "target_entry_unreadable").add("target", id);
            continue;
        }
        if (isWhole)
            entries.push_back(std::move(entry.value()));
        else
            m_targets.update(entry.value(), now);
    }
    if (isWhole)
        m_targets.replaceAll(entries, now);
    m_targets.advance(now);
    if (m_targets.revision() != before || isWhole)
        m_listener.onTargetsChanged();
}

void store_feeds::applyOwnership(const store_batch &batch, instant askedAt)
{
    std::vector<ownership_record> records;
    for (const auto &record : batch.records) {
        auto decoded = decodeBinary<ownership_record>(record.value);
        if (decoded)
            records.push_back(std::move(decoded.value()));
        else
            log_line(log_level::Error, "ownership_record_unreadable").add("service", record.key);
    }
    m_listener.onOwnership(records, batch.next, askedAt);
}

} // namespace clementinebeam
