#include "internal/coordination.h"

#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// How long the store keeps a silent member: short, so that a killed coordinator is replaced before
/// the holds that it granted run out.
constexpr milliseconds MEMBERSHIP_LIFETIME{1400};
/// Three calls within the lifetime, so that a lost one does no harm.
constexpr milliseconds JOIN_INTERVAL{400};
constexpr milliseconds APPEND_RETRY{150};
/// Several reads of the stream; after that the end that the store named is in doubt.
constexpr milliseconds TOLD_END_LIFE{2000};
/// Age of the list of targets up to which a claim may rest on it; targets register anew within a
/// second of their start.
constexpr milliseconds MAX_LIST_AGE{1000};

} // namespace

coordination::coordination(environment around)
    : m_around(std::move(around))
    , m_memberName(m_around.peerAddress + '/' + std::to_string(m_around.processRun))
    , m_candidacy(m_around.processorShare)
    , m_joinTimer(m_around.context)
    , m_retryTimer(m_around.context)
    , m_claimTimer(m_around.context)
{ }

void coordination::start()
{
    updateCandidacy();
}

void coordination::leave()
{
    m_isLeaving = true;
    if (m_isStanding)
        leaveGroup();
}

void coordination::leaveGroup()
{
    m_isStanding = false;
    m_joinTimer.cancel();
    m_parts.clear();
    m_generation = 0;
    m_around.store.leaveCoordinators(m_memberName, [] {});
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
        if (m_isEndKnown && !record(service.name) && hasTargets(service.name))
            m_candidacy.noteMissing(service.name, now);
    }
    const bool shouldStand = m_candidacy.shouldStand(isCoordinating(), !m_parts.empty(), now);
    if (shouldStand == m_isStanding)
        return;
    log_line(log_level::Info, shouldStand ? "candidacy_begun" : "candidacy_ended")
            .add("processor_share", m_around.processorShare)
            .add("coordinating", m_coordinated.size());
    if (!shouldStand) {
        leaveGroup();
        return;
    }
    m_isStanding = true;
    join();
}

void coordination::scheduleJoin(milliseconds delay)
{
    m_joinTimer.expires_after(delay);
    m_joinTimer.async_wait([this](boost::system::error_code error) {
        if (!error && m_isStanding)
            join();
    });
}

void coordination::join()
{
    m_around.store.joinCoordinators(
            m_memberName, m_generation, MEMBERSHIP_LIFETIME, [this](const membership &result) {
                if (!m_isStanding)
                    return;
                m_around.metrics.countStoreCall("join", nameOf(result.failure));
                if (result.failure == store_failure::None) {
                    const std::set<std::uint32_t> parts(result.parts.begin(), result.parts.end());
                    if (parts != m_parts) {
                        log_line(log_level::Info, "coordination_parts_changed")
                                .add("generation", result.generation)
                                .add("parts", parts.size());
                        // A claim has to start from the newest record.
                        m_around.onProofWanted();
                    }
                    m_generation = result.generation;
                    m_parts = parts;
                    considerClaims();
                }
                scheduleJoin(JOIN_INTERVAL);
            });
}

void coordination::setServices(const std::vector<routed_service> &services)
{
    m_services = services;
    considerClaims();
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
    considerClaims();
}

coordinated_service *coordination::coordinated(const service_name &service)
{
    const auto found = m_coordinated.find(service);
    return found == m_coordinated.end() ? nullptr : found->second.get();
}

const ownership_record *coordination::record(const service_name &service) const
{
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : &found->second;
}

bool coordination::isResponsibleFor(const service_name &service) const
{
    const auto parts = std::max<std::uint32_t>(1, m_around.store.coordinatorParts());
    return m_parts.contains(static_cast<std::uint32_t>(hashOf(service) % parts));
}

void coordination::considerClaims()
{
    if (!m_isEndKnown || m_isLeaving)
        return;
    for (const auto &service : m_services) {
        const auto *known = record(service.name);
        if (!isResponsibleFor(service.name) || (known && (isOwn(*known) || !mayReplace(*known))))
            continue;
        // A claim by an old list would take ranges from targets that have started since.
        if (isListFresh() && hasTargets(service.name))
            m_unstored.insert(service.name);
        else
            m_around.onTargetsWanted();
    }
    storeNext();
}

coordination::coordinator_rank coordination::rank() const
{
    if (m_isLeaving)
        return coordinator_rank::Leaving;
    return m_candidacy.isStrong() ? coordinator_rank::Large : coordinator_rank::Small;
}

void coordination::noteCoordinatorAnswer(const service_name &service, coordinator_rank rank)
{
    m_candidacy.noteAnswer(service);
    if (rank >= this->rank()) {
        m_incumbents.noteAnswer(service, boot_clock::now());
        return;
    }
    m_incumbents.noteYielding(service);
    if (isResponsibleFor(service))
        considerClaims();
}

/// @return whether the coordinator of a service that this instance is responsible for is silent or
///     wishes to be replaced.
bool coordination::mayReplace(const ownership_record &known)
{
    const auto now = boot_clock::now();
    const bool isMissing = m_candidacy.isMissing(known.service, now);
    const auto verdict = m_incumbents.judge(known.service, known.term, isMissing, now);
    if (verdict == incumbent_watch::verdict::Ask) {
        m_around.onQueryWanted(known.service);
        m_claimTimer.expires_after(incumbent_watch::PATIENCE);
        m_claimTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                considerClaims();
        });
    }
    return verdict == incumbent_watch::verdict::Claim;
}

bool coordination::isListFresh() const
{
    return !m_around.targets.isStoreReachable() || m_around.targetAge() <= MAX_LIST_AGE;
}

bool coordination::hasTargets(const service_name &service) const
{
    const auto &targets = m_around.targets.targets();
    return std::any_of(targets.begin(), targets.end(),
                       [&](const auto &item) { return item.second.entry.service == service; });
}

ownership_record coordination::claimOf(const routed_service &service) const
{
    ownership_record claim;
    if (const auto *known = record(service.name))
        claim = *known;
    claim.service = service.name;
    ++claim.term;
    claim.coordinator = m_around.peerAddress;
    claim.coordinatorRun = m_around.processRun;
    // One new token for all ranges: targets then refuse orders of earlier coordinators.
    for (auto &range : claim.ranges) {
        range.fence = claim.nextFence;
        const auto *target = m_around.targets.find(range.target);
        if (target && !target->isLeaving())
            range.grantTerm = claim.term;
    }
    ++claim.nextFence;
    if (!service.isKeyed)
        claim.ranges.clear();
    return claim;
}

/// @return whether an append would be refused again, as records at the end are not taken in yet.
bool coordination::isBehind() const
{
    return m_end < m_toldEnd && boot_clock::now() < m_toldAt + TOLD_END_LIFE;
}

void coordination::storeNext()
{
    if (m_isAppending || m_isTakingIn || m_unstored.empty() || !m_isEndKnown)
        return;
    if (isBehind()) {
        m_around.onProofWanted();
        return;
    }
    const auto name = *m_unstored.begin();
    m_unstored.erase(m_unstored.begin());
    ownership_record record;
    auto *service = coordinated(name);
    const bool isClaim = service == nullptr;
    if (service) {
        record = service->record();
    } else {
        const auto rule = std::find_if(m_services.begin(), m_services.end(),
                                       [&](const auto &item) { return item.name == name; });
        if (rule == m_services.end() || !isResponsibleFor(name)) {
            storeNext();
            return;
        }
        record = claimOf(*rule);
    }
    m_isAppending = true;
    const auto sentAt = boot_clock::now();
    m_around.store.appendAt(store_stream::Coordination, m_end, {name, encodeBinary(record), false},
                            [this, record, isClaim, sentAt](const append_outcome &outcome) {
                                onAppended(record, isClaim, sentAt, outcome);
                            });
}

void coordination::onAppended(const ownership_record &record, bool isClaim, instant sentAt,
                              const append_outcome &outcome)
{
    m_isAppending = false;
    m_around.metrics.countStoreCall("append", nameOf(outcome.failure));
    if (outcome.failure == store_failure::None) {
        m_end = std::max(m_end, outcome.end);
        take(record, sentAt);
        storeNext();
        return;
    }
    log_line(log_level::Warning, "append_failed")
            .add("service", record.service)
            .add("term", record.term)
            .add("claim", isClaim ? 1 : 0)
            .add("end", m_end)
            .add("error", nameOf(outcome.failure));
    if (outcome.failure == store_failure::Conflict) {
        m_toldEnd = outcome.end;
        m_toldAt = boot_clock::now();
        m_around.onProofWanted();
    }
    // What became of it shows in the stream; until then the same place is tried again.
    m_unstored.insert(record.service);
    m_retryTimer.expires_after(APPEND_RETRY);
    m_retryTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            storeNext();
    });
}

void coordination::onOwnership(const std::vector<ownership_record> &records, std::uint64_t end,
                               instant askedAt)
{
    // Nothing may be stored at the new end before all that leads up to it has been taken in: the
    // records may begin with an own one and go on with a successor's claim.
    m_isTakingIn = true;
    for (const auto &record : records)
        take(record, askedAt);
    m_isTakingIn = false;
    m_end = std::max(m_end, end);
    m_isEndKnown = true;
    for (const auto &[name, service] : m_coordinated)
        service->confirmRight(askedAt);
    considerClaims();
}

void coordination::take(const ownership_record &record, instant claimedAt)
{
    const auto *known = this->record(record.service);
    // The own append and the stream may both bring a record; older ones change nothing.
    const bool isOld = known
            && (record.term < known->term
                || (record.term == known->term && record.nextFence < known->nextFence));
    if (isOld)
        return;
    const bool isNewCoordinator = !known || known->term != record.term;
    if (known && isNewCoordinator)
        m_succession[record.service].emplace(known->term, boot_clock::now());
    m_records[record.service] = record;
    // A claim is a sign of life.
    if (isNewCoordinator)
        m_candidacy.noteAnswer(record.service);
    if (!isOwn(record)) {
        resign(record.service, record);
    } else if (auto *service = coordinated(record.service)) {
        service->onStored(record.nextFence);
    } else {
        const auto rule = std::find_if(m_services.begin(), m_services.end(), [&](const auto &item) {
            return item.name == record.service;
        });
        const bool isKeyed = rule != m_services.end() && rule->isKeyed;
        log_line(log_level::Info, "coordination_taken")
                .add("service", record.service)
                .add("term", record.term)
                .add("fence", record.nextFence)
                .add("ranges", record.ranges.size());
        const auto [place, isNew] = m_coordinated.emplace(
                record.service,
                std::make_unique<coordinated_service>(
                        coordinated_service::environment{
                                m_around.context, m_around.format, m_around.targets,
                                m_around.metrics,
                                [this, name = record.service](const dispatch_decision &decision) {
                                    m_around.onDecision(name, decision);
                                },
                                [this, name = record.service] {
                                    m_unstored.insert(name);
                                    storeNext();
                                },
                                m_around.onProofWanted},
                        record, isKeyed, m_around.bounds, claimedAt, m_succession[record.service]));
        place->second->setStoreReachable(m_isStoreReachable);
        place->second->start();
        m_around.onTargetsWanted();
    }
    if (isNewCoordinator)
        m_around.onCoordinatorChanged(record.service);
}

void coordination::resign(const service_name &service, const ownership_record &successor)
{
    m_unstored.erase(service);
    if (m_coordinated.erase(service) == 0)
        return;
    log_line(log_level::Info, "coordination_lost")
            .add("service", service)
            .add("term", successor.term)
            .add("coordinator", successor.coordinator);
}

} // namespace clementinebeam
