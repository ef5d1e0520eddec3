#include "internal/coordination.h"

#include "clementinebeam/kernel/scopeexit.h"
#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Time after which the store drops a silent member. Short, so that a killed coordinator is
/// replaced before the holds that it granted run out.
constexpr milliseconds MEMBERSHIP_LIFETIME{1400};
/// Three calls fit into the lifetime of a membership, so that it survives a lost call.
constexpr milliseconds JOIN_INTERVAL{400};
constexpr milliseconds APPEND_RETRY{150};
/// How long appends wait until the stream was read up to the end that the store reported: long
/// enough for several reads. After that the reported end may be wrong, and an append is tried
/// anyway.
constexpr milliseconds REPORTED_END_LIFETIME{2000};
/// Oldest list of targets that a claim may be based on. A restarted target registers within a
/// second.
constexpr milliseconds MAX_LIST_AGE{1000};
/// After the store has come back from an older copy, coordinators have this time to claim their
/// services again: several of their longest pauses between failed reads. Others don't know the
/// moves that the copy lacks, so their claims leave all keys without an owner for seconds.
constexpr milliseconds RECLAIM_TIME{2000};
/// Oldest read of the stream after which a record may be appended. The store compares offsets only,
/// so an append of an instance that has not heard from it since it came back from a copy may
/// succeed after claims of the later era. A coordinator reads the stream at least every 1.2 s.
constexpr milliseconds MAX_READ_AGE{1500};

} // namespace

coordination::coordination(environment env)
    : m_environment(std::move(env))
    , m_memberName(m_environment.peerAddress + '/' + std::to_string(m_environment.processRun))
    , m_candidacy(m_environment.processorShare, m_environment.linkMbps)
    , m_joinTimer(m_environment.context)
    , m_retryTimer(m_environment.context)
    , m_claimTimer(m_environment.context)
{ }

void coordination::start()
{
    updateCandidacy();
}

void coordination::leave()
{
    m_isLeaving = true;
    if (m_isCandidate)
        leaveGroup();
}

void coordination::leaveGroup()
{
    m_isCandidate = false;
    m_joinTimer.cancel();
    m_parts.clear();
    m_generation = 0;
    m_environment.store.leaveCoordinators(m_memberName, [] {});
}

void coordination::noteCoordinatorMissing(const service_name &service)
{
    m_candidacy.noteMissing(service, boot_clock::now());
    updateCandidacy();
}

void coordination::updateCandidacy()
{
    if (m_isLeaving)
        return;
    const auto now = boot_clock::now();
    for (const auto &service : m_services) {
        if (m_appliedEnd && !record(service.name) && hasTargets(service.name))
            m_candidacy.noteMissing(service.name, now);
    }
    const bool shouldBeCandidate =
            m_candidacy.shouldBeCandidate(isCoordinating(), !m_parts.empty(), now);
    if (shouldBeCandidate == m_isCandidate)
        return;
    log_line(log_level::Info, shouldBeCandidate ? "candidacy_begun" : "candidacy_ended")
            .add("processor_share", m_environment.processorShare)
            .add("link_mbps", m_environment.linkMbps)
            .add("coordinating", m_coordinated.size());
    if (!shouldBeCandidate) {
        leaveGroup();
        return;
    }
    m_isCandidate = true;
    join();
}

void coordination::scheduleJoin(milliseconds delay)
{
    m_joinTimer.expires_after(delay);
    m_joinTimer.async_wait([this](boost::system::error_code error) {
        if (!error && m_isCandidate)
            join();
    });
}

void coordination::join()
{
    m_environment.store.joinCoordinators(
            m_memberName, m_generation, MEMBERSHIP_LIFETIME, [this](const membership &result) {
                if (!m_isCandidate)
                    return;
                const scope_exit joinAgain([this] { scheduleJoin(JOIN_INTERVAL); });
                m_environment.metrics.countStoreCall("join", nameOf(result.failure));
                if (result.failure == store_failure::None) {
                    const std::set<std::uint32_t> parts(result.parts.begin(), result.parts.end());
                    if (parts != m_parts) {
                        log_line(log_level::Info, "coordination_parts_changed")
                                .add("generation", result.generation)
                                .add("parts", parts.size());
                        // A claim must be based on the newest record.
                        m_environment.onOwnershipReadNeeded();
                    }
                    m_generation = result.generation;
                    m_parts = parts;
                    updateClaims();
                }
            });
}

void coordination::setServices(const std::vector<routed_service> &services)
{
    m_services = services;
    updateClaims();
}

void coordination::setStoreReachable(bool isReachable)
{
    m_isStoreReachable = isReachable;
    for (const auto &[name, service] : m_coordinated)
        service->setStoreReachable(isReachable);
}

void coordination::onTargetsChanged()
{
    for (const auto &[name, service] : m_coordinated)
        service->updateTargets();
    updateClaims();
}

std::vector<evacuation_remainder> coordination::evacuationRemainders() const
{
    std::vector<evacuation_remainder> result;
    for (const auto &[name, service] : m_coordinated) {
        const auto remainders = service->evacuationRemainders();
        result.insert(result.end(), remainders.begin(), remainders.end());
    }
    return result;
}

void coordination::restartStalledServices()
{
    std::vector<service_name> stalled;
    for (const auto &[name, service] : m_coordinated) {
        if (service->isStalled())
            stalled.push_back(name);
    }
    for (const auto &name : stalled) {
        log_line(log_level::Error, "coordination_stalled").add("service", name);
        m_servicesToStore.erase(name);
        m_coordinated.erase(name);
    }
    if (stalled.empty())
        return;
    updateClaims();
    // Requests that waited for a decision of the service are placed again.
    for (const auto &name : stalled)
        m_environment.onCoordinatorChanged(name);
}

coordinated_service *coordination::coordinated(const service_name &service)
{
    const auto found = m_coordinated.find(service);
    return found == m_coordinated.end() ? nullptr : found->second.get();
}

coordinated_service *coordination::placing(const service_name &service)
{
    auto *own = coordinated(service);
    return own && !own->isSuperseded() ? own : nullptr;
}

const ownership_record *coordination::record(const service_name &service) const
{
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : &found->second;
}

bool coordination::isResponsibleFor(const service_name &service) const
{
    const auto parts = std::max<std::uint32_t>(1, m_environment.store.coordinatorParts());
    return m_parts.contains(static_cast<std::uint32_t>(hashOf(service) % parts));
}

void coordination::beginEra(store_era era, instant now)
{
    m_era = era;
    m_eraBegunAt = now;
    // Another member may hold the parts by what the store knows now.
    m_parts.clear();
    m_generation = 0;
    onStreamRestarted();
    m_isAppending = false;
    for (const auto &[name, record] : m_records)
        m_termEndTimes[name].emplace(record.term, now);
    for (const auto &[name, service] : m_coordinated) {
        service->claimAgain(nextTerm(name), now);
        m_servicesToStore.insert(name);
    }
}

void coordination::onStreamRestarted()
{
    m_appliedEnd.reset();
    m_reportedEnd = {};
}

bool coordination::isOfPresentEra(const ownership_record &record) const
{
    return eraOf(record.term) >= m_era;
}

/// @return the term of the next claim of a service.
std::uint64_t coordination::nextTerm(const service_name &service) const
{
    const auto *known = record(service);
    return raisedTo(m_era, known ? known->term : 0) + 1;
}

void coordination::updateClaims()
{
    if (!m_appliedEnd || m_isLeaving)
        return;
    const bool isReclaimTime = boot_clock::now() < m_eraBegunAt + RECLAIM_TIME;
    for (const auto &service : m_services) {
        const auto *known = record(service.name);
        const bool isCoordinated = coordinated(service.name) != nullptr;
        const bool isReclaimAwaited =
                known && !isOwn(*known) && isReclaimTime && !isOfPresentEra(*known);
        if (isCoordinated || isReclaimAwaited || !isResponsibleFor(service.name)
            || (known && !isOwn(*known) && !mayReplace(*known)))
            continue;
        // A claim based on an old list would take ranges from targets that have started since.
        if (mayClaimByList() && hasTargets(service.name))
            m_servicesToStore.insert(service.name);
        else
            m_environment.onTargetReadNeeded();
    }
    storeNextRecord();
}

coordination::coordinator_rank coordination::rank() const
{
    if (m_isLeaving)
        return coordinator_rank::Leaving;
    return m_candidacy.isLarge() ? coordinator_rank::Large : coordinator_rank::Small;
}

void coordination::noteCoordinatorAnswer(const service_name &service, coordinator_rank rank)
{
    m_candidacy.noteAnswer(service);
    if (rank >= this->rank()) {
        m_takeoverPolicy.noteAnswer(service, boot_clock::now());
        return;
    }
    m_takeoverPolicy.noteReplaceable(service);
    if (isResponsibleFor(service))
        updateClaims();
}

/// Decides whether this instance, which is responsible for a service, may replace its coordinator,
/// and sends the coordinator a query if that is not clear yet.
/// @return whether the coordinator is silent or should be replaced.
bool coordination::mayReplace(const ownership_record &known)
{
    const auto now = boot_clock::now();
    const bool isMissing = m_candidacy.isMissing(known.service, now);
    const auto action = m_takeoverPolicy.decide(known.service, known.term, isMissing, now);
    if (action == takeover_policy::action::Query) {
        m_environment.onCoordinatorQueryNeeded(known.service);
        m_claimTimer.expires_after(takeover_policy::ANSWER_TIMEOUT);
        m_claimTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                updateClaims();
        });
    }
    return action == takeover_policy::action::Claim;
}

/// @return whether a claim may be based on the present list of targets. While the store is
///     unreachable, a list of any age will do, as no newer one can be read.
bool coordination::mayClaimByList() const
{
    return !m_environment.targets.isStoreReachable()
            || m_environment.targetListAge() <= MAX_LIST_AGE;
}

bool coordination::hasTargets(const service_name &service) const
{
    const auto &targets = m_environment.targets.targets();
    return std::any_of(targets.begin(), targets.end(),
                       [&](const auto &item) { return item.second.entry.service == service; });
}

ownership_record coordination::makeClaim(const routed_service &service) const
{
    const auto *known = record(service.name);
    auto claim = claimOf(known ? *known : ownership_record{},
                         {m_era, m_environment.peerAddress, m_environment.processRun,
                          m_environment.isFirstStart, [this](const target_id &id) {
                              const auto *target = m_environment.targets.find(id);
                              return target && !target->isLeaving();
                          }});
    claim.service = service.name;
    if (!service.isKeyed)
        claim.ranges.clear();
    return claim;
}

/// @return whether an append would be refused again, as records at the end of the stream are not
///     applied yet.
bool coordination::isBehindStream() const
{
    return m_appliedEnd && *m_appliedEnd < m_reportedEnd
            && boot_clock::now() < m_reportedAt + REPORTED_END_LIFETIME;
}

bool coordination::isReadOutdated() const
{
    return boot_clock::now() > m_readAt + MAX_READ_AGE;
}

void coordination::storeNextRecord()
{
    if (m_isAppending || m_isApplyingRecords || m_servicesToStore.empty() || !m_appliedEnd)
        return;
    if (isBehindStream() || isReadOutdated()) {
        m_environment.onOwnershipReadNeeded();
        return;
    }
    const auto name = *m_servicesToStore.begin();
    m_servicesToStore.erase(m_servicesToStore.begin());
    ownership_record record;
    auto *service = coordinated(name);
    const bool isClaim = service == nullptr;
    if (service) {
        record = service->record();
    } else {
        const auto rule = std::find_if(m_services.begin(), m_services.end(),
                                       [&](const auto &item) { return item.name == name; });
        if (rule == m_services.end() || !isResponsibleFor(name)) {
            storeNextRecord();
            return;
        }
        record = makeClaim(*rule);
    }
    const store_record encoded{name, encodeBinary(record), false};
    const auto sentAt = boot_clock::now();
    append(encoded, [this, record, isClaim, sentAt](const append_outcome &outcome) {
        onAppended(record, isClaim, sentAt, outcome);
    });
}

/// Appends a record at the applied end, which must be known.
/// @param done called with the outcome, unless a later era has begun meanwhile: the outcome then
///     tells nothing that holds any more.
void coordination::append(const store_record &record, i_cluster_store::append_handler done)
{
    m_isAppending = true;
    m_environment.store.appendAt(
            store_stream::Coordination, *m_appliedEnd, record,
            [this, era = m_era, done = std::move(done)](const append_outcome &outcome) {
                if (era != m_era)
                    return;
                m_isAppending = false;
                done(outcome);
            });
}

void coordination::onAppended(const ownership_record &record, bool isClaim, instant sentAt,
                              const append_outcome &outcome)
{
    m_environment.metrics.countStoreCall("append", nameOf(outcome.failure));
    if (outcome.failure == store_failure::None) {
        noteAppended(outcome.end);
        applyRecord(record, sentAt);
        storeNextRecord();
        return;
    }
    log_line(log_level::Warning, "append_failed")
            .add("service", record.service)
            .add("term", record.term)
            .add("claim", isClaim ? 1 : 0)
            .add("era", numberOf(m_era))
            .add("end", m_appliedEnd ? m_appliedEnd->offset : 0)
            .add("error", nameOf(outcome.failure));
    // The append may have been carried out all the same; the stream shows whether it was. Until
    // then it is repeated at the same offset.
    m_servicesToStore.insert(record.service);
    retryAfterFailure(outcome);
}

void coordination::retryAfterFailure(const append_outcome &outcome)
{
    if (outcome.failure == store_failure::Conflict) {
        m_reportedEnd = outcome.end;
        m_reportedAt = boot_clock::now();
        m_environment.onOwnershipReadNeeded();
    }
    m_retryTimer.expires_after(APPEND_RETRY);
    m_retryTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            storeNextRecord();
    });
}

void coordination::storeCrashRecords()
{
    // Ownership of keys comes first: targets serve nothing without it.
    if (m_isAppending || !m_servicesToStore.empty() || !m_appliedEnd || !m_isStoreReachable
        || isBehindStream() || isReadOutdated())
        return;
    for (const auto &[name, service] : m_coordinated) {
        if (const auto record = m_environment.takeCrashRecord(name)) {
            storeCrashRecord(*record);
            return;
        }
    }
}

void coordination::storeCrashRecord(const crash_record &record)
{
    const bool isRemoval = record.suspects.empty();
    const store_record encoded{crashRecordKey(record.service),
                               isRemoval ? std::string() : encodeBinary(record), isRemoval};
    append(encoded, [this, record](const append_outcome &outcome) {
        m_environment.metrics.countStoreCall("append_crashes", nameOf(outcome.failure));
        log_line(outcome.failure == store_failure::None ? log_level::Info : log_level::Warning,
                 "crashes_stored")
                .add("service", record.service)
                .add("suspects", record.suspects.size())
                .add("error", nameOf(outcome.failure));
        if (outcome.failure != store_failure::None) {
            retryAfterFailure(outcome);
            return;
        }
        noteAppended(outcome.end);
        m_environment.onCrashRecordStored(record);
        storeNextRecord();
    });
}

/// Moves the applied end past an own append, unless the stream has to be read anew.
void coordination::noteAppended(store_position end)
{
    if (m_appliedEnd)
        m_appliedEnd = std::max(*m_appliedEnd, end);
}

void coordination::onOwnership(const std::vector<ownership_record> &records, store_position end,
                               instant requestedAt)
{
    // Nothing may be appended at the new end before all records up to it are applied. Otherwise
    // this instance could store its state after an own record, although a claim of its successor
    // follows in the same batch.
    {
        m_isApplyingRecords = true;
        const scope_exit endOfRecords([this] { m_isApplyingRecords = false; });
        for (const auto &record : records)
            applyRecord(record, requestedAt);
    }
    m_appliedEnd = m_appliedEnd ? std::max(*m_appliedEnd, end) : end;
    m_readAt = boot_clock::now();
    for (const auto &[name, service] : m_coordinated) {
        // A record of an earlier era may have been followed by others that the store has lost.
        const auto *known = record(name);
        if (known && isOfPresentEra(*known))
            service->confirmAuthority(requestedAt);
    }
    updateClaims();
}

void coordination::applyRecord(const ownership_record &record, instant confirmedAt)
{
    const auto *known = this->record(record.service);
    // A record of this instance arrives twice: with the result of the append and in the stream.
    // Records that are older than the known one are ignored.
    const bool isOld = known
            && (record.term < known->term
                || (record.term == known->term && record.nextFence < known->nextFence));
    if (isOld) {
        // An append that was sent in an earlier era has succeeded after the claim, so that those
        // who read the newest record of the service don't see the claim.
        if (isOfPresentEra(*known) && !isOfPresentEra(record) && coordinated(record.service))
            m_servicesToStore.insert(record.service);
        return;
    }
    const bool isNewCoordinator = !known || known->term != record.term;
    if (known && isNewCoordinator)
        m_termEndTimes[record.service].emplace(known->term, boot_clock::now());
    m_records[record.service] = record;
    if (!isOfPresentEra(record))
        m_termEndTimes[record.service].emplace(record.term, m_eraBegunAt);
    // A new claim shows that the coordinator is alive.
    if (isNewCoordinator)
        m_candidacy.noteAnswer(record.service);
    if (!isOwn(record)) {
        stopCoordinating(record.service, record);
    } else if (!isOfPresentEra(record)) {
        log_line(log_level::Info, "claim_of_earlier_era")
                .add("service", record.service)
                .add("term", record.term)
                .add("era", numberOf(m_era));
    } else if (auto *service = coordinated(record.service)) {
        service->onStored(record.nextFence);
    } else if (isNewCoordinator) {
        const auto rule = std::find_if(m_services.begin(), m_services.end(), [&](const auto &item) {
            return item.name == record.service;
        });
        const bool isKeyed = rule != m_services.end() && rule->isKeyed;
        log_line(log_level::Info, "coordination_taken")
                .add("service", record.service)
                .add("term", record.term)
                .add("fence", record.nextFence)
                .add("ranges", record.ranges.size());
        const auto [position, isNew] = m_coordinated.emplace(
                record.service,
                std::make_unique<coordinated_service>(
                        coordinated_service::environment{
                                m_environment.context, m_environment.format, m_environment.targets,
                                m_environment.metrics,
                                [this, name = record.service](const dispatch_decision &decision) {
                                    m_environment.onDecision(name, decision);
                                },
                                [this, name = record.service] {
                                    m_servicesToStore.insert(name);
                                    storeNextRecord();
                                },
                                m_environment.onOwnershipReadNeeded},
                        record, isKeyed, m_environment.bounds, confirmedAt,
                        m_termEndTimes[record.service], m_eraBegunAt));
        position->second->setStoreReachable(m_isStoreReachable);
        position->second->start();
        m_environment.onTargetReadNeeded();
    }
    if (isNewCoordinator)
        m_environment.onCoordinatorChanged(record.service);
}

void coordination::stopCoordinating(const service_name &service, const ownership_record &successor)
{
    m_servicesToStore.erase(service);
    if (m_coordinated.erase(service) == 0)
        return;
    log_line(log_level::Info, "coordination_lost")
            .add("service", service)
            .add("term", successor.term)
            .add("coordinator", successor.coordinator);
}

} // namespace clementinebeam
