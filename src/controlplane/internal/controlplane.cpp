#include "internal/controlplane.h"

#include "clementinebeam/kernel/binarycodec.h"
#include "clementinebeam/observability/logline.h"

#include <algorithm>

namespace clementinebeam {

namespace {

constexpr std::chrono::milliseconds TICK_INTERVAL{20};
constexpr std::chrono::milliseconds LISTING_TIMEOUT{500};
constexpr std::chrono::milliseconds STATE_REQUEST_TIMEOUT{1000};
constexpr std::chrono::milliseconds CRASH_HISTORY_TIMEOUT{300};
constexpr std::chrono::milliseconds LOAD_REPORT_INTERVAL{1000};
constexpr std::chrono::milliseconds EXPIRY_INTERVAL{500};
constexpr std::chrono::milliseconds PATCH_RETRY_INTERVAL{700};
constexpr std::chrono::milliseconds STOP_POLL_INTERVAL{10};
constexpr std::chrono::milliseconds HANDOVER_TIMEOUT{1200};

template <class... handler_types>
struct overloaded : handler_types... {
    using handler_types::operator()...;
};

template <class... handler_types>
overloaded(handler_types...) -> overloaded<handler_types...>;

} // namespace

control_plane::control_plane(const incarnation_id &self, const daemon_settings &settings)
    : m_self(self)
    , m_settings(settings)
    , m_shards(self, settings, makeSystemSeededSource()())
{ }

control_plane::~control_plane()
{
    stop();
}

void control_plane::start(const control_plane_services &services)
{
    m_services = services;
    m_runner = std::make_unique<action_runner>(m_shards, services.log, services.peers,
                                               services.targets, m_settings);
    m_runner->setAppendHandler([this] { wakeReader(); });
    m_reader = std::make_unique<stream_reader>(m_shards, *m_runner, services.log, services.audit,
                                               services.metrics, m_self);
    m_admissions = std::make_unique<admission_service>(m_shards, services.peers, services.metrics,
                                                       std::make_shared<machine_clock>());
    services.peers->setMessageHandler(
            [this](const incarnation_id &from, const peer_message &message) {
                handleMessage(from, message);
            });
    services.peers->setRequestHandler(
            [this](const incarnation_id &from, const peer_message &message,
                   const peer_responder &respond) { handleRequest(from, message, respond); });
    m_readThread = std::thread([this] { readLoop(); });
    m_listingThread = std::thread([this] { listingLoop(); });
    m_tickThread = std::thread([this] { tickLoop(); });
}

void control_plane::stop()
{
    if (m_stopping.exchange(true))
        return;
    wakeReader();
    for (auto *thread : {&m_readThread, &m_listingThread, &m_tickThread}) {
        if (thread->joinable())
            thread->join();
    }
}

void control_plane::handOver()
{
    std::vector<std::pair<shard_id, action_list>> actionsByShard;
    {
        const ordered_lock lock(m_shards.mutex());
        for (auto &[shard, entry] : m_shards.entries()) {
            actionsByShard.emplace_back(shard, action_list{});
            entry->controller.beginStop(boot_clock::now(), actionsByShard.back().second);
        }
    }
    for (const auto &[shard, actions] : actionsByShard)
        m_runner->run(shard, actions);
    const auto limit = boot_clock::now() + HANDOVER_TIMEOUT;
    const auto allStopped = [this] {
        const ordered_lock lock(m_shards.mutex());
        const auto now = boot_clock::now();
        return std::all_of(
                m_shards.entries().begin(), m_shards.entries().end(),
                [now](const auto &item) { return item.second->controller.isStopped(now); });
    };
    while (!allStopped() && boot_clock::now() < limit)
        std::this_thread::sleep_for(STOP_POLL_INTERVAL);
}

void control_plane::wakeReader()
{
    {
        const std::lock_guard lock(m_wakeReaderMutex);
        m_wakeReaderRequested = true;
    }
    m_wakeReader.notify_one();
}

void control_plane::readLoop()
{
    while (!m_stopping) {
        readOnce();
        std::unique_lock lock(m_wakeReaderMutex);
        m_wakeReader.wait_for(lock, m_settings.logPollInterval,
                              [this] { return m_wakeReaderRequested; });
        m_wakeReaderRequested = false;
    }
}

void control_plane::readOnce()
{
    stream_reader::round_result round;
    do {
        round = m_reader->read();
        if (round.hasOwnRecords)
            notifyPeers();
    } while (round.isReachable && !round.isAtEnd && !m_stopping);
    bool isKnown = false;
    {
        const ordered_lock lock(m_shards.mutex());
        isKnown = m_reader->isKnown();
    }
    if (!isKnown)
        askPeersForState();
    if (round.hasConfigurationChanged || !m_ready)
        updateShards();
    if (round.hasChanged || !m_ready)
        publishView();
    m_ready = m_ready || isKnown;
}

void control_plane::askPeersForState()
{
    for (const auto &entry : listings()) {
        const bool isPeer = entry.role == listed_role::Instance && entry.id != m_self.instance;
        if (!isPeer)
            continue;
        auto reply = m_services.peers->call(entry.id, state_request{true}, STATE_REQUEST_TIMEOUT);
        const auto *state = reply ? std::get_if<state_reply>(&reply.value()) : nullptr;
        if (!state || !state->isReady)
            continue;
        m_reader->adopt(*state);
        updateShards();
        publishView();
        m_ready = true;
        return;
    }
}

void control_plane::listingLoop()
{
    while (!m_stopping) {
        fetchListings();
        std::this_thread::sleep_for(m_settings.listPollInterval);
    }
}

void control_plane::fetchListings()
{
    auto fetched = m_services.instances->fetch(LISTING_TIMEOUT);
    if (!fetched)
        return;
    std::vector<peer_address> peers;
    std::vector<target_address> targets;
    for (const auto &entry : fetched.value()) {
        if (entry.role == listed_role::Instance)
            peers.push_back({entry.id, {entry.address.host, entry.peerPort}});
        else
            targets.push_back({entry.id, entry.address});
    }
    m_services.peers->setPeers(peers);
    m_services.targets->setTargets(targets);
    {
        const ordered_lock lock(m_listingMutex);
        m_listings = std::move(fetched.value());
    }
    updateShards();
    if (!m_hasCrashHistory)
        askPeersForCrashes();
}

/// Learns from the first instance that answers which requests have crashed targets. Otherwise, a
/// restart of all instances in turn would make all of them forget.
void control_plane::askPeersForCrashes()
{
    for (const auto &entry : listings()) {
        if (entry.role != listed_role::Instance || entry.id == m_self.instance)
            continue;
        const auto reply =
                m_services.peers->call(entry.id, crash_history_request{}, CRASH_HISTORY_TIMEOUT);
        const auto *history = reply ? std::get_if<crash_history_reply>(&reply.value()) : nullptr;
        if (!history)
            continue;
        m_services.quarantine->restore(history->records);
        m_hasCrashHistory = true;
        log_line(log_level::Info, "crash_history_received")
                .add("from", entry.id)
                .add("services", history->records.size());
        return;
    }
}

std::vector<listing> control_plane::listings() const
{
    const ordered_lock lock(m_listingMutex);
    return m_listings;
}

void control_plane::updateShards()
{
    std::shared_ptr<const configuration_snapshot> current;
    {
        const ordered_lock lock(m_shards.mutex());
        current = m_reader->configuration().current();
    }
    m_shards.update(current->routing, listings(), boot_clock::now());
    m_reader->seedControllers();
}

void control_plane::publishView()
{
    std::shared_ptr<routing_view> next;
    {
        const ordered_lock lock(m_shards.mutex());
        next = view_publisher::makeView(m_reader->configuration().current(), m_reader->ownership());
    }
    m_routes->publish(std::move(next));
}

void control_plane::notifyPeers()
{
    stream_notice notice;
    {
        const ordered_lock lock(m_shards.mutex());
        notice = {m_reader->configuration().nextOffset(), m_reader->ownership().nextOffset()};
    }
    for (const auto &entry : listings()) {
        if (entry.role == listed_role::Instance && entry.id != m_self.instance)
            m_services.peers->send(entry.id, notice);
    }
}

void control_plane::tickLoop()
{
    while (!m_stopping) {
        tickShards();
        m_admissions->syncStandbys();
        const auto now = boot_clock::now();
        if (now >= m_nextLoadReport) {
            m_nextLoadReport = now + LOAD_REPORT_INTERVAL;
            reportLoad();
            updateControllerLoads();
            reportMetrics();
            writeConfigurationCheckpoint();
        }
        std::this_thread::sleep_for(TICK_INTERVAL);
    }
}

void control_plane::tickShards()
{
    std::vector<std::pair<shard_id, action_list>> actionsByShard;
    {
        const ordered_lock lock(m_shards.mutex());
        const auto now = boot_clock::now();
        const bool isExpiryDue = now >= m_nextExpiry;
        if (isExpiryDue)
            m_nextExpiry = now + EXPIRY_INTERVAL;
        for (auto &[shard, entry] : m_shards.entries()) {
            actionsByShard.emplace_back(shard, action_list{});
            entry->controller.tick(now, actionsByShard.back().second);
            entry->keeper.update(entry->controller, wallNow());
            if (isExpiryDue)
                entry->keeper.ledger().expire(now, wallNow());
        }
    }
    for (const auto &[shard, actions] : actionsByShard) {
        if (actions.wantsCheckpoint)
            writeCheckpoint(shard);
        m_runner->run(shard, actions);
    }
}

void control_plane::writeCheckpoint(const shard_id &shard)
{
    ownership_record record;
    {
        const ordered_lock lock(m_shards.mutex());
        auto random = makeSystemSeededSource();
        record = {newRecordId(random), m_self.instance, m_reader->ownership().checkpoint(shard)};
    }
    m_runner->append(record);
}

void control_plane::writeConfigurationCheckpoint()
{
    const auto now = boot_clock::now();
    if (now < m_nextConfigurationCheckpoint || !m_ready)
        return;
    // Only the leader of the first shard writes it, so that not every instance does.
    configuration_checkpoint checkpoint;
    {
        const ordered_lock lock(m_shards.mutex());
        auto &entries = m_shards.entries();
        const bool isWriter = !entries.empty() && entries.begin()->second->controller.leads(now);
        if (!isWriter || !m_reader->configuration().isKnown())
            return;
        checkpoint = m_reader->configuration().checkpoint();
    }
    m_nextConfigurationCheckpoint = now + m_settings.coordination.checkpointInterval;
    auto random = makeSystemSeededSource();
    checkpoint.id = newRecordId(random);
    m_services.log->append(CONFIGURATION_STREAM, encodeBinary(configuration_record(checkpoint)),
                           [] {});
}

void control_plane::addLoad(const shard_id &shard, slot_index slot, double seconds)
{
    const ordered_lock lock(m_shards.mutex());
    if (auto *entry = m_shards.find(shard))
        entry->load.addLocal(slot, seconds);
}

void control_plane::reportLoad()
{
    std::vector<std::pair<instance_id, load_report>> reports;
    {
        const ordered_lock lock(m_shards.mutex());
        for (auto &[shard, entry] : m_shards.entries()) {
            auto loads = entry->load.takeLocal();
            const auto &leader = entry->controller.state().leader;
            if (leader == m_self)
                entry->load.addReport(loads);
            else if (!leader.empty() && !loads.empty())
                reports.emplace_back(leader.instance, load_report{shard, std::move(loads)});
        }
    }
    for (const auto &[leader, report] : reports)
        m_services.peers->send(leader, report);
}

void control_plane::updateControllerLoads()
{
    const ordered_lock lock(m_shards.mutex());
    for (auto &[shard, entry] : m_shards.entries()) {
        if (entry->controller.role() == shard_role::Leader)
            entry->controller.setLoad(entry->load.endPeriod(boot_clock::now()));
    }
}

void control_plane::reportMetrics()
{
    for (const auto &status : shards())
        m_services.metrics->setShard(status.shard, static_cast<int>(status.role),
                                     status.unservedSlots);
}

void control_plane::handleMessage(const incarnation_id &from, const peer_message &message)
{
    std::visit(overloaded{
                       [&](const coordination_message &body) { handleCoordination(from, body); },
                       [&](const crash_report &body) {
                           m_services.quarantine->noteCrash(body.service, body.fingerprint,
                                                            body.target);
                       },
                       [&](const load_report &body) {
                           const ordered_lock lock(m_shards.mutex());
                           if (auto *entry = m_shards.find(body.shard))
                               entry->load.addReport(body.loads);
                       },
                       [&](const stream_notice &) { wakeReader(); },
                       [](const auto &) {},
               },
               message);
}

void control_plane::handleCoordination(const incarnation_id &from,
                                       const coordination_message &message)
{
    const auto shard = std::visit([](const auto &body) { return body.shard; }, message);
    action_list actions;
    bool isBehind = false;
    {
        const ordered_lock lock(m_shards.mutex());
        auto *entry = m_shards.find(shard);
        if (!entry)
            return;
        isBehind = entry->controller.onMessage(from, message, boot_clock::now(), actions);
        entry->keeper.update(entry->controller, wallNow());
    }
    if (isBehind)
        wakeReader();
    m_runner->run(shard, actions);
}

void control_plane::handleRequest(const incarnation_id &from, const peer_message &message,
                                  const peer_responder &respond)
{
    std::visit(overloaded{
                       [&](const admit_request &body) { m_admissions->admit(from, body, respond); },
                       [&](const outcome_report &body) { m_admissions->complete(body, respond); },
                       [&](const ledger_copy &body) { m_admissions->store(from, body, respond); },
                       [&](const crash_history_request &) {
                           respond(crash_history_reply{m_services.quarantine->records()});
                       },
                       [&](const state_request &body) {
                           respond(body.withState ? fullState() : position());
                       },
                       [](const auto &) {},
               },
               message);
}

state_reply control_plane::position() const
{
    const ordered_lock lock(m_shards.mutex());
    state_reply reply;
    reply.isReady = m_ready;
    reply.configurationOffset = m_reader->configuration().nextOffset();
    reply.ownershipOffset = m_reader->ownership().nextOffset();
    reply.version = m_reader->configuration().current()->version;
    return reply;
}

state_reply control_plane::fullState() const
{
    auto reply = position();
    const ordered_lock lock(m_shards.mutex());
    const auto &ownership = m_reader->ownership();
    reply.configurationOffset = m_reader->configuration().nextOffset();
    reply.ownershipOffset = ownership.nextOffset();
    reply.version = m_reader->configuration().current()->version;
    reply.document = m_reader->configuration().current()->document.dump();
    for (const auto &shard : ownership.shards())
        reply.shards.push_back(*ownership.find(shard));
    return reply;
}

result<patch_result> control_plane::submitPatch(const patch_record &record,
                                                std::chrono::milliseconds timeout)
{
    const auto deadline = boot_clock::now() + timeout;
    const auto payload = encodeBinary(configuration_record(record));
    while (boot_clock::now() < deadline) {
        m_services.log->append(CONFIGURATION_STREAM, payload, [this] { wakeReader(); });
        const auto retryAt = std::min(deadline, boot_clock::now() + PATCH_RETRY_INTERVAL);
        while (boot_clock::now() < retryAt) {
            const auto current = m_routes->view();
            const auto serial = current ? current->serial : 0;
            {
                const ordered_lock lock(m_shards.mutex());
                if (const auto *found = m_reader->configuration().find(record.id))
                    return *found;
            }
            m_routes->waitForNewer(serial, retryAt);
        }
    }
    return make_error_code(error_kind::LogUnavailable);
}

std::vector<patch_result> control_plane::history() const
{
    const ordered_lock lock(m_shards.mutex());
    const auto &entries = m_reader->configuration().history();
    return {entries.begin(), entries.end()};
}

std::vector<shard_status> control_plane::shards() const
{
    const ordered_lock lock(m_shards.mutex());
    std::vector<shard_status> all;
    for (const auto &[shard, entry] : m_shards.entries())
        all.push_back(entry->controller.status(boot_clock::now()));
    return all;
}

std::error_code control_plane::confirmEarlierLeadersLost(const shard_id &shard)
{
    action_list actions;
    {
        const ordered_lock lock(m_shards.mutex());
        auto *entry = m_shards.find(shard);
        if (!entry)
            return error_kind::NotFound;
        if (!entry->controller.leads(boot_clock::now()))
            return error_kind::NotLeader;
        entry->controller.confirmEarlierLeadersLost(boot_clock::now(), actions);
    }
    m_runner->run(shard, actions);
    return {};
}

} // namespace clementinebeam
