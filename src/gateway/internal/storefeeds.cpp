#include "internal/storefeeds.h"

#include "clementinebeam/kernel/scopeexit.h"
#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Long-poll timeout of an instance that doesn't coordinate. In practice only the configuration is
/// long-polled so: such an instance reads ownership as snapshots (see OWNERSHIP_PAUSE). It may be
/// long, as TCP keepalive detects a dead connection.
constexpr milliseconds LONG_POLL_TIME{8000};
/// Long-poll timeout of a coordinator. Each of its reads confirms that it still coordinates its
/// services, it has to notice a successor soon, and it tells others how old its view of the
/// configuration is.
constexpr milliseconds COORDINATOR_LONG_POLL_TIME{1000};
/// Entries of targets change all the time, so they are polled at intervals instead of long-polled:
/// a coordinator does so often, an instance that can't rely on a coordinator at an interval below
/// the drain time of 2 s.
constexpr milliseconds COORDINATOR_TARGETS_INTERVAL{350};
constexpr milliseconds FREQUENT_TARGETS_INTERVAL{900};
/// Other instances get the target's address with each placement, so they poll rarely.
constexpr milliseconds RARE_TARGETS_INTERVAL{8000};
/// If the last read is older, a snapshot is read instead of all changes since. Twice the longer one
/// of the short polling intervals.
constexpr milliseconds MAX_INCREMENTAL_AGE = FREQUENT_TARGETS_INTERVAL * 2;
/// How long targets are read at short intervals after each call of pollTargetsOften().
constexpr milliseconds FREQUENT_POLLING_TIME{3000};
/// Pause between reads of the ownership stream. Instances that don't coordinate need the owners of
/// keys only while a coordinator is silent; they refresh the stream as soon as a coordinator falls
/// silent or says that it has been replaced. As their pause exceeds MAX_INCREMENTAL_AGE, they read
/// snapshots; coordinators use long polls.
constexpr milliseconds OWNERSHIP_PAUSE{8000};
constexpr milliseconds COORDINATOR_OWNERSHIP_PAUSE{120};
/// Confirmations of ownership that are requested within this time share one read.
constexpr milliseconds CONFIRMATION_INTERVAL{60};
/// Longest time without a read of a stream while coordinators relay changes. Reads are still made,
/// to have recent data when neither the store nor a coordinator can be reached. If a coordinator
/// falls silent, targets and ownership are read at once.
constexpr milliseconds RELAYED_READ_INTERVAL{30000};
/// Delay until a skipped read is considered again: the short one for the configuration and for
/// streams whose reads fail.
constexpr milliseconds SHORT_CHECK_INTERVAL{250};
constexpr milliseconds CHECK_INTERVAL{1000};
/// Pause after a read of the configuration, so that changes in quick succession are read together.
/// Also the pause after a read of any stream that failed with Forgotten.
constexpr milliseconds CONFIGURATION_PAUSE{60};
constexpr milliseconds FIRST_BACKOFF{150};
constexpr milliseconds MAX_BACKOFF{800};
/// Limit for instances that don't coordinate; coordinators tell them when the store is back.
constexpr milliseconds MAX_NON_COORDINATOR_BACKOFF{1600};
constexpr milliseconds MIN_REFRESH_INTERVAL{400};
/// Failed reads in a row after which the store counts as unreachable.
constexpr std::uint32_t UNREACHABLE_FAILURES = 2;
/// A service whose name begins so can have an ownership record under the key of a crash record, so
/// the content decides of which kind a record is.
constexpr std::string_view CRASH_RECORD_PREFIX = "crashes/";

/// @return the crash record, or nothing if the record is of another kind or can't be read.
std::optional<crash_record> readCrashRecord(const store_record &record)
{
    if (!record.key.starts_with(CRASH_RECORD_PREFIX))
        return std::nullopt;
    const auto service = record.key.substr(CRASH_RECORD_PREFIX.size());
    if (record.isRemoved)
        return crash_record{service, {}};
    auto decoded = decodeBinary<crash_record>(record.value);
    if (!decoded || decoded.value().service != service || !isConsistent(decoded.value()))
        return std::nullopt;
    return std::move(decoded.value());
}

} // namespace

std::string crashRecordKey(const service_name &service)
{
    return std::string(CRASH_RECORD_PREFIX) + service;
}

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
    return m_configuration.wasRead && m_targetFeed.wasRead && m_ownership.wasRead;
}

bool store_feeds::isStoreReachable() const
{
    return m_ownership.failures < UNREACHABLE_FAILURES && m_ownership.wasRead;
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

bool store_feeds::hasReadAny() const
{
    return m_configuration.wasRead || m_targetFeed.wasRead || m_ownership.wasRead;
}

void store_feeds::restart(milliseconds delay)
{
    m_configuration.settlesAt = boot_clock::now() + REWRITE_TIME;
    for (auto *item : {&m_configuration, &m_targetFeed, &m_ownership}) {
        restart(*item);
        // Reads that were sent before hang or don't count any more.
        ++item->lastReadNumber;
        item->isReading = false;
        item->isRefreshing = false;
        schedule(*item, delay);
    }
}

/// Forgets where a stream was read to. All that was read before stays as it is until a snapshot
/// shows what has changed.
void store_feeds::restart(feed &item)
{
    if (item.next)
        item.restartedFrom = item.next;
    item.next.reset();
    if (item.stream == store_stream::Coordination)
        m_listener.onOwnershipRestarted();
}

void store_feeds::logRestarted(feed &item)
{
    if (!item.restartedFrom)
        return;
    log_line(log_level::Warning, "stream_restarted")
            .add("stream", nameOf(item.stream))
            .add("era", numberOf(item.next->era))
            .add("offset", item.next->offset)
            .add("era_before", numberOf(item.restartedFrom->era))
            .add("offset_before", item.restartedFrom->offset);
    item.restartedFrom.reset();
}

void store_feeds::refresh(store_stream stream)
{
    auto &item = feedOf(stream);
    const bool isInProgress = item.isReading && item.isRefreshing;
    if (m_isStopped || isInProgress || boot_clock::now() < item.requestedAt + MIN_REFRESH_INTERVAL)
        return;
    item.timer.cancel();
    item.isRefreshing = true;
    read(item);
}

void store_feeds::pollTargetsOften()
{
    m_pollOftenUntil = boot_clock::now() + FREQUENT_POLLING_TIME;
    bringForward(m_targetFeed);
}

void store_feeds::onCoordinationTaken()
{
    bringForward(m_targetFeed);
    bringForward(m_ownership);
}

/// Schedules the next read anew if the present pause ends before the one it was scheduled with.
void store_feeds::bringForward(feed &item)
{
    const auto now = boot_clock::now();
    const auto due = std::max(now, item.requestedAt + pauseAfter(item));
    if (!m_isStopped && !item.isReading && due < item.nextReadAt)
        schedule(item, std::chrono::duration_cast<milliseconds>(due - now));
}

void store_feeds::confirmOwnership()
{
    const auto requestedAt = boot_clock::now();
    if (m_isStopped || m_isConfirming || !m_ownership.next
        || requestedAt < m_confirmationRequestedAt + CONFIRMATION_INTERVAL)
        return;
    m_isConfirming = true;
    m_confirmationRequestedAt = requestedAt;
    const bool isSnapshot = needsSnapshot(m_ownership);
    const auto done = [this, requestedAt, isSnapshot](const store_batch &batch) {
        m_isConfirming = false;
        m_metrics.countStoreCall(isSnapshot ? "prove_newest" : "prove", nameOf(batch.failure));
        if (batch.failure == store_failure::Forgotten && !m_isStopped) {
            restart(m_ownership);
            bringForward(m_ownership);
        }
        if (batch.failure != store_failure::None || m_isStopped
            || !continues(m_ownership, batch, isSnapshot))
            return;
        advancePosition(m_ownership, batch, requestedAt);
        applyOwnership(batch, requestedAt);
    };
    if (isSnapshot)
        m_store.readNewest(store_stream::Coordination, done);
    else
        m_store.readFrom(store_stream::Coordination, *m_ownership.next, milliseconds(0), done);
}

/// @return whether an answer can be applied: a snapshot always, changes only if the stream was not
///     started over since they were requested.
bool store_feeds::continues(const feed &item, const store_batch &batch, bool isSnapshot)
{
    return isSnapshot || (item.next && item.next->era == batch.next.era);
}

/// Moves the position back only when the stream was started over: reads overlap, and their answers
/// may arrive out of order. A read that returned only a part of the records does not show what the
/// stream holds now.
void store_feeds::advancePosition(feed &item, const store_batch &batch, instant requestedAt)
{
    item.next = item.next ? std::max(*item.next, batch.next) : batch.next;
    logRestarted(item);
    if (batch.isComplete)
        item.confirmedAt = std::max(item.confirmedAt, requestedAt);
}

void store_feeds::rereadAfterOutage(instant before)
{
    for (auto *item : {&m_configuration, &m_ownership}) {
        if (item->requestedAt < before)
            refresh(item->stream);
    }
}

milliseconds store_feeds::longPollTimeOf(const feed &item) const
{
    // After a failure, a quick answer matters more than waiting for a change.
    if (item.failures > 0 || item.isRefreshing)
        return milliseconds(0);
    if (item.stream == store_stream::Targets)
        return milliseconds(0);
    const auto longest = m_listener.isCoordinating() ? COORDINATOR_LONG_POLL_TIME : LONG_POLL_TIME;
    if (item.settlesAt == instant{})
        return longest;
    const auto untilSettled = std::chrono::ceil<milliseconds>(item.settlesAt - boot_clock::now());
    return std::clamp(untilSettled, milliseconds(0), longest);
}

milliseconds store_feeds::pauseAfter(const feed &item) const
{
    const bool isCoordinating = m_listener.isCoordinating();
    switch (item.stream) {
    case store_stream::Targets:
        if (isCoordinating)
            return COORDINATOR_TARGETS_INTERVAL;
        // Until the next read, targets whose removal is deferred count as live.
        return boot_clock::now() < m_pollOftenUntil || m_targets.hasDeferredRemovals()
                ? FREQUENT_TARGETS_INTERVAL
                : RARE_TARGETS_INTERVAL;
    case store_stream::Coordination:
        return isCoordinating ? COORDINATOR_OWNERSHIP_PAUSE : OWNERSHIP_PAUSE;
    case store_stream::Configuration:
        break;
    }
    return CONFIGURATION_PAUSE;
}

milliseconds store_feeds::backoff(const feed &item) const
{
    const auto longest = m_listener.isCoordinating() ? MAX_BACKOFF : MAX_NON_COORDINATOR_BACKOFF;
    const auto doublings = std::min<std::uint32_t>(item.failures, 5);
    return std::min(FIRST_BACKOFF * (1U << doublings) / 2, longest);
}

void store_feeds::schedule(feed &item, milliseconds delay)
{
    if (m_isStopped)
        return;
    item.nextReadAt = boot_clock::now() + delay;
    item.timer.expires_after(delay);
    item.timer.async_wait([this, &item](boost::system::error_code error) {
        if (!error && !m_isStopped)
            readUnlessSkipped(item);
    });
}

/// @return whether a stream need not be read now: either coordinators would tell of changes, or the
/// store is unreachable and the reads of the configuration detect when it is back.
bool store_feeds::canSkipRead(const feed &item) const
{
    const auto now = boot_clock::now();
    const bool isStoreProbed = m_configuration.failures >= UNREACHABLE_FAILURES
            && item.stream != store_stream::Configuration;
    if (item.failures >= UNREACHABLE_FAILURES && isStoreProbed && !m_listener.isCoordinating())
        return true;
    if (item.stream == store_stream::Targets && m_targets.hasDeferredRemovals())
        return false;
    if (hasSettled(item, now))
        return false;
    return item.next && item.failures == 0 && now < item.confirmedAt + RELAYED_READ_INTERVAL
            && now >= m_pollOftenUntil && !m_listener.isCoordinating()
            && m_listener.isRelayedViewFresh();
}

void store_feeds::readUnlessSkipped(feed &item)
{
    if (!canSkipRead(item)) {
        read(item);
        return;
    }
    const bool isFrequent = item.stream == store_stream::Configuration || item.failures > 0;
    schedule(item, isFrequent ? SHORT_CHECK_INTERVAL : CHECK_INTERVAL);
}

/// @return whether what the store had lost must have been written again, so that a snapshot now
/// tells what is missing for good.
bool store_feeds::hasSettled(const feed &item, instant now)
{
    return item.settlesAt != instant{} && now >= item.settlesAt;
}

/// @return whether to read the newest record of each record key instead of the changes since the
/// last read. After a long time the changes are more records and may not fit into one answer of the
/// store.
bool store_feeds::needsSnapshot(const feed &item) const
{
    const bool isOutdated = item.stream != store_stream::Configuration
            && boot_clock::now() > item.confirmedAt + MAX_INCREMENTAL_AGE;
    return !item.next || isOutdated || hasSettled(item, boot_clock::now());
}

void store_feeds::read(feed &item)
{
    const auto requestedAt = boot_clock::now();
    const auto readNumber = ++item.lastReadNumber;
    const bool isSnapshot = needsSnapshot(item);
    item.requestedAt = requestedAt;
    item.isReading = true;
    const auto done = [this, &item, readNumber, requestedAt, isSnapshot](const store_batch &batch) {
        if (readNumber == item.lastReadNumber)
            onReadDone(item, batch, requestedAt, isSnapshot);
    };
    if (isSnapshot)
        m_store.readNewest(item.stream, done);
    else
        m_store.readFrom(item.stream, *item.next, longPollTimeOf(item), done);
}

void store_feeds::updateReachability(feed &item, store_failure failure)
{
    const bool isReachable = failure == store_failure::None || failure == store_failure::Forgotten;
    item.failures = isReachable ? 0 : item.failures + 1;
    const bool isReported = isReachable != item.isReachable
            && (isReachable || item.failures >= UNREACHABLE_FAILURES);
    if (!isReported)
        return;
    item.isReachable = isReachable;
    log_line(isReachable ? log_level::Info : log_level::Warning,
             isReachable ? "store_regained" : "store_lost")
            .add("stream", nameOf(item.stream))
            .add("error", nameOf(failure))
            .add("offset", item.next ? item.next->offset : 0);
}

void store_feeds::noteTargetRead(const feed &item, instant requestedAt, instant now)
{
    const bool isReachable = item.failures == 0;
    m_targets.setStoreReachable(isReachable, isReachable ? now : m_lastAnswerAt);
    if (!isReachable && m_targetReadsFailedSince == instant{})
        m_targetReadsFailedSince = requestedAt;
    if (!isReachable || m_targetReadsFailedSince == instant{})
        return;
    // Reads that were sent before the outage may hang until their timeout, so the other streams
    // are read again now.
    rereadAfterOutage(now);
    m_targetReadsFailedSince = instant{};
}

void store_feeds::onReadDone(feed &item, const store_batch &batch, instant requestedAt,
                             bool isSnapshot)
{
    if (m_isStopped)
        return;
    const auto now = boot_clock::now();
    item.isReading = false;
    item.isRefreshing = false;
    m_metrics.countStoreCall(std::string(isSnapshot ? "newest_" : "read_") + nameOf(item.stream),
                             nameOf(batch.failure));
    updateReachability(item, batch.failure);
    if (item.stream == store_stream::Targets)
        noteTargetRead(item, requestedAt, now);
    if (item.failures == 0)
        m_lastAnswerAt = now;
    if (batch.failure == store_failure::Forgotten) {
        log_line(log_level::Warning, "stream_forgotten")
                .add("stream", nameOf(item.stream))
                .add("offset", item.next ? item.next->offset : 0);
        restart(item);
        schedule(item, CONFIGURATION_PAUSE);
        return;
    }
    if (batch.failure != store_failure::None) {
        schedule(item, backoff(item));
        return;
    }
    if (!continues(item, batch, isSnapshot)) {
        schedule(item, milliseconds(0));
        return;
    }
    const bool hasMore = !batch.isComplete && item.next && batch.next > *item.next;
    advancePosition(item, batch, requestedAt);
    bool isApplied = false;
    const scope_exit readOn([this, &item, &isApplied, hasMore] {
        // Records of a batch that was not applied completely are read again.
        if (!isApplied)
            restart(item);
        schedule(item, hasMore ? milliseconds(0) : pauseAfter(item));
    });
    if (isSnapshot && requestedAt >= item.settlesAt)
        item.settlesAt = instant{};
    apply(item, batch, requestedAt, isSnapshot);
    isApplied = true;
    item.wasRead = true;
}

void store_feeds::apply(feed &item, const store_batch &batch, instant requestedAt, bool isSnapshot)
{
    switch (item.stream) {
    case store_stream::Configuration:
        applyEvacuations(batch, isSnapshot);
        applyConfiguration(batch);
        break;
    case store_stream::Targets:
        applyTargets(batch, boot_clock::now(), isSnapshot);
        break;
    case store_stream::Coordination:
        applyOwnership(batch, requestedAt);
        break;
    }
}

void store_feeds::applyConfiguration(const store_batch &batch)
{
    // Each record holds the complete configuration, so only the newest one is needed.
    const auto newest = std::find_if(
            batch.records.rbegin(), batch.records.rend(), [this](const store_record &record) {
                return !record.isRemoved && !m_format.readEvacuation(record.key);
            });
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

void store_feeds::applyEvacuations(const store_batch &batch, bool isSnapshot)
{
    std::vector<evacuation_change> changes;
    for (const auto &record : batch.records) {
        if (auto dataCentre = m_format.readEvacuation(record.key))
            changes.push_back({std::move(*dataCentre), !record.isRemoved});
    }
    const bool isComplete = isSnapshot && m_configuration.settlesAt == instant{};
    m_listener.onEvacuations(changes, batch.next, isComplete);
}

void store_feeds::applyTargets(const store_batch &batch, instant now, bool isSnapshot)
{
    std::map<std::string, const store_record *> newest;
    for (const auto &record : batch.records) {
        newest[record.key] = &record;
        // A snapshot does not tell when its records were written.
        if (!isSnapshot && !record.isRemoved)
            m_targets.noteWritten(record.key, now);
    }
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
        if (isSnapshot)
            entries.push_back(std::move(entry.value()));
        else
            m_targets.update(entry.value(), now);
    }
    if (isSnapshot)
        m_targets.replaceAll(entries, now);
    m_targets.advance(now);
    if (m_targets.revision() != before || isSnapshot)
        m_listener.onTargetsChanged();
}

void store_feeds::applyOwnership(const store_batch &batch, instant requestedAt)
{
    std::vector<ownership_record> records;
    for (const auto &record : batch.records) {
        if (const auto crashes = readCrashRecord(record)) {
            m_listener.onCrashRecord(*crashes);
            continue;
        }
        auto decoded = decodeBinary<ownership_record>(record.value);
        if (decoded && decoded.value().service == record.key && isConsistent(decoded.value()))
            records.push_back(std::move(decoded.value()));
        else
            log_line(log_level::Error, "ownership_record_unreadable").add("service", record.key);
    }
    // Records that were not read yet may hold the claim of a successor.
    const auto confirmedAt =
            batch.isComplete ? requestedAt : std::min(requestedAt, m_ownership.confirmedAt);
    m_listener.onOwnership(records, batch.next, confirmedAt);
}

} // namespace clementinebeam
