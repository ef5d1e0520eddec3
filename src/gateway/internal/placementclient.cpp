#include "internal/placementclient.h"

#include "clementinebeam/kernel/networkaddress.h"
#include "clementinebeam/kernel/randomsource.h"
#include "clementinebeam/kernel/scopeexit.h"
#include "clementinebeam/observability/logline.h"
#include "clementinebeam/placement/answerpatience.h"

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Interval at which a waiting request is sent again, to detect that the coordinator was lost.
constexpr milliseconds WAITING_RESEND_INTERVAL{250};
/// How long no requests are sent to a silent coordinator.
constexpr milliseconds SILENT_COORDINATOR_BACKOFF{700};
/// Age of a coordinator's list of targets above which it counts as disconnected from the store. It
/// reads the list three times a second.
constexpr milliseconds MAX_COORDINATOR_LIST_AGE{900};
/// A request waits a short time while the own list, which has become too old, is being read.
constexpr milliseconds LIST_WAIT{25};
constexpr std::uint32_t MAX_LIST_WAITS = 12;
constexpr milliseconds REPORT_RESEND_INTERVAL{70};
constexpr std::uint32_t MAX_REPORT_SENDS = 5;
/// Local placement sends each target one request at a time, as other instances do the same.
constexpr std::uint32_t LOCAL_SLOTS = 1;
constexpr std::size_t MAX_LOCAL_WAITING = 64;
constexpr double LOCAL_RETRY_CAPACITY = 1.0;
constexpr double LOCAL_RETRY_SHARE = 0.05;
/// While a coordinator is silent, this many other instances are queried for its successor, at this
/// interval. A takeover takes up to two seconds.
constexpr std::size_t QUERIED_PEERS = 3;
constexpr milliseconds PEER_QUERY_INTERVAL{200};
/// Shortest interval between reads of ownership while a coordinator is missing. In a large fleet
/// all instances read at the same time, and peers tell of a successor anyway.
constexpr milliseconds OWNERSHIP_READ_INTERVAL{1500};
/// Limit of remembered requests of other instances.
constexpr std::size_t MAX_REQUESTERS = 20000;
/// A statement that targets repeat in each answer is passed on to the coordinator this often.
constexpr milliseconds STATEMENT_INTERVAL{1000};
/// Statements in one message, which has to fit into a datagram.
constexpr std::size_t MAX_STATEMENTS = 24;
/// Time without local placements after which the next one begins a new period of them.
constexpr milliseconds LOCAL_PLACEMENT_PAUSE{1000};
/// Instances that each instance tells of a request that crashes its targets.
constexpr std::size_t NOTIFIED_PEERS = 8;
/// Other instances whose messages show an older state of evacuations are told this often.
constexpr milliseconds EVACUATION_NOTICE_INTERVAL{20};

std::optional<udp_endpoint> parsePeer(const std::string &text)
{
    const auto address = parseNetworkAddress(text);
    if (!address)
        return std::nullopt;
    return udpEndpointOf(*address);
}

std::int64_t micros(boost::asio::steady_timer::duration value)
{
    return std::chrono::duration_cast<microseconds>(value).count();
}

place_request_message messageOf(const service_name &service, const dispatch_request &request,
                                instant now)
{
    place_request_message message;
    message.service = service;
    message.token = request.token;
    message.hasKey = request.key.has_value();
    message.key = request.key.value_or(0);
    message.priority = request.priority;
    message.isRetry = request.isRetry;
    message.ageUs = micros(now - request.arrival);
    message.objectiveUs = micros(request.objective - now);
    message.deadlineUs = micros(request.deadline - now);
    message.dataCentre = request.dataCentre;
    message.excluded = request.excluded;
    message.fingerprint = request.fingerprint;
    return message;
}

dispatch_request requestOf(const place_request_message &message, instant now)
{
    dispatch_request request;
    request.token = message.token;
    if (message.hasKey)
        request.key = message.key;
    request.priority = message.priority;
    request.isRetry = message.isRetry;
    request.arrival = now - microseconds(message.ageUs);
    request.objective = now + microseconds(message.objectiveUs);
    request.deadline = now + microseconds(message.deadlineUs);
    request.dataCentre = message.dataCentre;
    request.excluded = message.excluded;
    request.fingerprint = message.fingerprint;
    return request;
}

place_answer_message messageOf(const service_name &service, const dispatch_decision &decision)
{
    place_answer_message message;
    message.service = service;
    message.token = decision.token;
    message.target = decision.target;
    message.reason = static_cast<std::int32_t>(decision.reason);
    message.retryAfterMs = decision.retryAfter.count();
    message.waitedUs = decision.waited.count();
    message.queueLength = static_cast<std::uint32_t>(decision.queueLength);
    message.hasSendLimit = decision.sendBefore.has_value();
    if (decision.sendBefore)
        message.sendWithinMs =
                std::chrono::floor<milliseconds>(*decision.sendBefore - boot_clock::now()).count();
    return message;
}

stated_target messageOf(const target_id &target,
                        const target_directory::received_statement &received, instant now)
{
    const auto &statement = received.statement;
    stated_target message;
    message.target = target;
    message.requestAgeMs =
            std::chrono::duration_cast<milliseconds>(now - received.requestedAt).count();
    message.ageMs = std::chrono::duration_cast<milliseconds>(now - received.receivedAt).count();
    message.hasRateLimit = statement.rateLimit.has_value();
    message.rateLimit = statement.rateLimit.value_or(0.0);
    message.isLeaving = statement.isLeaving;
    message.pauseMs = statement.pause.count();
    return message;
}

target_directory::received_statement statementOf(const stated_target &message, instant now)
{
    target_directory::received_statement received;
    if (message.hasRateLimit)
        received.statement.rateLimit = message.rateLimit;
    received.statement.isLeaving = message.isLeaving;
    received.statement.pause = milliseconds(message.pauseMs);
    received.requestedAt = now - milliseconds(message.requestAgeMs);
    received.receivedAt = now - milliseconds(message.ageMs);
    return received;
}

dispatch_decision quarantineDecision(request_token token)
{
    dispatch_decision decision;
    decision.token = token;
    decision.reason = error_kind::RequestQuarantined;
    decision.retryAfter = request_quarantine::RETRY_AFTER;
    return decision;
}

} // namespace

placement_client::placement_client(boost::asio::io_context &context, peer_channel &channel,
                                   target_directory &targets, request_quarantine &quarantine)
    : m_context(context)
    , m_channel(channel)
    , m_targets(targets)
    , m_quarantine(quarantine)
    , m_peers(makeSystemSeededSource())
    , m_nextToken(makeSystemSeededSource()())
    , m_random(makeSystemSeededSource())
{
    m_quarantine.setNoticeSender(
            [this](const crash_notice_message &notice) { sendCrashNotice(notice); });
}

std::optional<udp_endpoint> placement_client::coordinatorOf(const service_name &service) const
{
    const auto known = m_coordinators.find(service);
    return known ? std::optional(known->peer) : std::nullopt;
}

bool placement_client::isSilent(const service_name &service) const
{
    const auto found = m_silentUntil.find(service);
    return found != m_silentUntil.end() && boot_clock::now() < found->second;
}

request_token placement_client::place(const service_name &service, dispatch_request request,
                                      decision_handler done)
{
    const auto item = std::make_shared<pending_request>(m_context);
    request.token = m_nextToken++;
    if (m_quarantine.isQuarantined(service, request.fingerprint)) {
        done(quarantineDecision(request.token), {});
        return request.token;
    }
    item->service = service;
    item->request = std::move(request);
    item->done = std::move(done);
    m_pending.emplace(item->request.token, item);
    requestPlacement(item);
    return item->request.token;
}

void placement_client::requestPlacement(const pending_pointer &item)
{
    if (auto *own = m_coordination->placing(item->service)) {
        m_placed[item->request.token] = {decider::Coordination, {}};
        own->enqueue(item->request);
        return;
    }
    const auto peer = coordinatorOf(item->service);
    if (!peer)
        reportMissing(item->service);
    if (!peer || isSilent(item->service)) {
        queryPeers(item->service);
        placeLocally(item);
        return;
    }
    const auto now = boot_clock::now();
    if (item->unanswered == 0)
        item->askedAt = now;
    const auto objective = item->request.objective;
    if (item->unanswered > 0 && answer_patience::isExhausted(objective, item->askedAt, now)) {
        log_line(log_level::Warning, "coordinator_silent")
                .add("service", item->service)
                .add("coordinator", peer->address().to_string())
                .add("unanswered", item->unanswered);
        markSilent(item->service);
        placeLocally(item);
        return;
    }
    ++item->unanswered;
    auto message = messageOf(item->service, item->request, now);
    message.configuration = m_configuration;
    message.era = m_era;
    m_channel.send(*peer, message);
    requestPlacementLater(
            item, answer_patience::nextDelay(objective, item->askedAt, item->unanswered, now));
}

void placement_client::requestPlacementLater(const pending_pointer &item, milliseconds delay)
{
    item->timer.expires_after(delay);
    item->timer.async_wait([this, item](boost::system::error_code error) {
        if (!error && m_pending.contains(item->request.token))
            requestPlacement(item);
    });
}

placement_client::local_service &placement_client::local(const service_name &service)
{
    auto &item = m_local[service];
    if (item.dispatcher)
        return item;
    dispatch_settings settings;
    settings.lookahead = 0;
    settings.maxWaiting = MAX_LOCAL_WAITING;
    settings.retryShare = LOCAL_RETRY_SHARE;
    settings.retryCapacity = LOCAL_RETRY_CAPACITY;
    // The limit is divided by the number of instances, a fixed amount is not.
    settings.ownerLimitExtra = 0.0;
    settings.mayUseColdTargets = false;
    // Requests with a key wait for its owner, also while the owners are not known yet.
    item.dispatcher = std::make_unique<service_dispatcher>(settings, &item.owners);
    item.timer = std::make_unique<boost::asio::steady_timer>(m_context);
    updateLocal(service, item);
    return item;
}

void placement_client::updateLocal(const service_name &service, local_service &item)
{
    const auto now = boot_clock::now();
    std::vector<dispatch_target> targets;
    for (const auto &[id, listed] : m_targets.targets()) {
        if (listed.entry.service != service)
            continue;
        auto target = listed.toDispatchTarget(now);
        target.slots = LOCAL_SLOTS;
        // The other instances place requests locally as well.
        if (target.rateLimit)
            *target.rateLimit /= static_cast<double>(m_peers.size() + 1);
        targets.push_back(std::move(target));
    }
    item.dispatcher->setTargets(targets, now);
    if (const auto *record = m_coordination->record(service))
        item.owners.assign(record->ranges);
}

void placement_client::updateTargets()
{
    for (auto &[service, item] : m_local)
        updateLocal(service, item);
}

/// @return whether a request has to wait for a fresh list of targets. Its timer then expires after
///     LIST_WAIT; the caller waits for it, or sets it again.
bool placement_client::waitForList(const pending_pointer &item)
{
    const bool isListStale =
            m_targets.isStoreReachable() && m_streamAge(store_stream::Targets) > MAX_OWN_LIST_AGE;
    if (!isListStale || item->listWaits >= MAX_LIST_WAITS)
        return false;
    ++item->listWaits;
    m_onStale(store_stream::Targets);
    item->timer.expires_after(LIST_WAIT);
    return true;
}

void placement_client::placeLocally(const pending_pointer &item)
{
    if (waitForList(item)) {
        requestPlacementLater(item, LIST_WAIT);
        return;
    }
    item->timer.cancel();
    m_placed[item->request.token] = {decider::Local, {}};
    updateLimits(item->service);
    dispatch_decisions decisions;
    local(item->service).dispatcher->enqueue(item->request, boot_clock::now(), decisions);
    for (const auto &decision : decisions)
        finish(decision);
    scheduleLocal(item->service);
}

/// At the beginning of a period of local placements, takes the present limits of the targets. All
/// instances begin at about the same time, so each waits for a random part of its share.
void placement_client::updateLimits(const service_name &service)
{
    const auto now = boot_clock::now();
    auto &item = local(service);
    if (now > item.usedAt + LOCAL_PLACEMENT_PAUSE) {
        updateLocal(service, item);
        std::uniform_real_distribution<double> share(0.0, 1.0);
        item.dispatcher->delayLimitedTargets(share(m_random), now);
    }
    item.usedAt = now;
}

void placement_client::advanceLocal(const service_name &service)
{
    const scope_exit setTimer([this, &service] { scheduleLocal(service); });
    dispatch_decisions decisions;
    local(service).dispatcher->advance(boot_clock::now(), decisions);
    for (const auto &decision : decisions)
        finish(decision);
}

void placement_client::scheduleLocal(const service_name &service)
{
    auto &item = local(service);
    const auto now = boot_clock::now();
    const auto next = item.dispatcher->nextDeadline(now);
    if (next == instant::max()) {
        item.timer->cancel();
        return;
    }
    item.timer->expires_after(next - now);
    item.timer->async_wait([this, service](boost::system::error_code error) {
        if (!error)
            advanceLocal(service);
    });
}

bool placement_client::acceptsNoRequests(const dispatch_decision &decision, bool isKeyed) const
{
    const auto *listed = m_targets.find(decision.target);
    return listed && !listed->mayTake(isKeyed, boot_clock::now());
}

/// @return whether this instance knows from an answer that the target wants no requests. That binds
///     it even if the coordinator, which may not have been told, places requests there.
bool placement_client::hasOwnStatement(const target_id &target) const
{
    const auto *listed = m_targets.find(target);
    return listed
            && (listed->stated.statement.isLeaving || boot_clock::now() < listed->pausedUntil);
}

void placement_client::finish(const dispatch_decision &decision)
{
    const auto *listed = m_targets.find(decision.target);
    const auto found = m_pending.find(decision.token);
    const bool isKeyed = found != m_pending.end() && found->second->request.key.has_value();
    finish(decision,
           {listed ? listed->entry.address : network_address{},
            acceptsNoRequests(decision, isKeyed)});
}

void placement_client::finish(const dispatch_decision &decision, const placement &where)
{
    const auto found = m_pending.find(decision.token);
    if (found == m_pending.end())
        return;
    const auto item = found->second;
    m_pending.erase(found);
    item->timer.cancel();
    if (decision.target.empty())
        m_placed.erase(decision.token);
    item->done(decision, where);
}

void placement_client::onDecision(const service_name &service, const dispatch_decision &decision)
{
    const auto requester = m_requesters.find(decision.token);
    if (requester == m_requesters.end()) {
        finish(decision);
        return;
    }
    sendPlacement(requester->second, messageOf(service, decision));
    if (decision.target.empty())
        m_requesters.erase(requester);
}

void placement_client::onCoordinatorChanged(const service_name &service)
{
    const auto *record = m_coordination->record(service);
    const auto peer = record ? parsePeer(record->coordinator) : std::nullopt;
    if (peer && m_coordinators.note(service, {record->term, *peer})) {
        m_silentUntil.erase(service);
        tellStatements(service);
    }
    resendRequests(service);
}

/// Sends all waiting requests of a service to its present coordinator.
void placement_client::resendRequests(const service_name &service)
{
    std::vector<pending_pointer> waiting;
    for (const auto &[token, item] : m_pending) {
        if (item->service == service)
            waiting.push_back(item);
    }
    for (const auto &item : waiting) {
        withdrawLocal(service, item->request.token);
        // The withdrawal of another request may have led to a local placement of this one.
        if (!m_pending.contains(item->request.token))
            continue;
        item->unanswered = 0;
        requestPlacement(item);
    }
}

/// Removes a request that waits for a local placement, as it is sent to a coordinator.
void placement_client::withdrawLocal(const service_name &service, request_token token)
{
    const auto placed = m_placed.find(token);
    if (placed == m_placed.end() || placed->second.decidedBy != decider::Local)
        return;
    m_placed.erase(placed);
    dispatch_decisions decisions;
    local(service).dispatcher->complete({token, run_result::NotUsed, microseconds(0), std::nullopt},
                                        boot_clock::now(), decisions);
    for (const auto &decision : decisions)
        finish(decision);
}

void placement_client::report(const service_name &service, const run_report &report)
{
    const auto waiting = m_pending.find(report.token);
    if (waiting != m_pending.end()) {
        waiting->second->timer.cancel();
        m_pending.erase(waiting);
    }
    // A request that is placed here has its entry at once. One sent to a coordinator in another
    // instance gets it only with the decision, so that a report without an entry goes to that
    // coordinator.
    const auto found = m_placed.find(report.token);
    const auto placed = found == m_placed.end() ? placed_request{decider::Peer, {}} : found->second;
    m_placed.erase(report.token);
    if (placed.decidedBy == decider::Coordination) {
        if (auto *own = m_coordination->coordinated(service))
            own->complete(report);
        return;
    }
    if (placed.decidedBy == decider::Local) {
        dispatch_decisions decisions;
        auto localReport = report;
        // The owners known here may be outdated while no coordinator answers, and their holds may
        // have ended: further requests wait a while rather than being refused as well.
        if (localReport.result == run_result::WrongOwner)
            localReport.result = run_result::Lost;
        local(service).dispatcher->complete(localReport, boot_clock::now(), decisions);
        for (const auto &decision : decisions)
            finish(decision);
        scheduleLocal(service);
        return;
    }
    const auto peer = placed.peer.port() != 0 ? std::optional(placed.peer) : coordinatorOf(service);
    if (!peer)
        return;
    const auto item = std::make_shared<unconfirmed_report>(m_context);
    item->peer = *peer;
    item->message.service = service;
    item->message.token = report.token;
    item->message.result = static_cast<std::uint8_t>(report.result);
    item->message.durationUs = report.duration.count();
    if (report.load) {
        item->message.hasLoad = true;
        item->message.running = report.load->running;
        item->message.waiting = report.load->waiting;
        item->message.slots = report.load->slots;
        item->message.workPercent = report.load->workPercent;
    }
    m_unconfirmed[report.token] = item;
    sendReport(item);
}

void placement_client::sendReport(const std::shared_ptr<unconfirmed_report> &item)
{
    if (item->sends++ >= MAX_REPORT_SENDS) {
        // The coordinator frees the slot itself after the request's deadline.
        m_unconfirmed.erase(item->message.token);
        return;
    }
    m_channel.send(item->peer, item->message);
    item->timer.expires_after(REPORT_RESEND_INTERVAL);
    item->timer.async_wait([this, item](boost::system::error_code error) {
        if (!error)
            sendReport(item);
    });
}

void placement_client::sendPlacement(const udp_endpoint &peer, place_answer_message message)
{
    message.configuration = m_configuration;
    message.era = m_era;
    message.targetListAgeMs = m_streamAge(store_stream::Targets).count();
    message.configurationAgeMs = m_streamAge(store_stream::Configuration).count();
    message.hasDeferredRemovals = m_targets.hasDeferredRemovals();
    message.storeServedMs = m_targets.storeServedFor(boot_clock::now()).count();
    if (const auto other = m_peers.pickOne(peer))
        message.peer = textOf(*other);
    message.rank = static_cast<std::uint8_t>(m_coordination->rank());
    message.evacuations = evacuations();
    if (const auto *listed = m_targets.find(message.target)) {
        message.targetHost = listed->entry.address.host;
        message.targetPort = listed->entry.address.port;
    }
    m_channel.send(peer, message);
}

void placement_client::checkConfigurationVersion(std::uint64_t version)
{
    if (version > m_configuration)
        m_onStale(store_stream::Configuration);
}

/// Another instance that names a later era has heard from the store since it came back. The era
/// itself is taken from the store's answers only.
void placement_client::checkEra(store_era era)
{
    if (era > m_era)
        m_onStale(store_stream::Configuration);
}

void placement_client::onMessage(const udp_endpoint &peer, const peer_message &message)
{
    m_peers.note(peer, boot_clock::now());
    if (const auto *placeRequest = std::get_if<place_request_message>(&message))
        handlePlaceRequest(peer, *placeRequest);
    else if (const auto *placement = std::get_if<place_answer_message>(&message))
        handlePlacement(peer, *placement);
    else if (const auto *ended = std::get_if<ended_message>(&message))
        handleEnded(peer, *ended);
    else if (const auto *ack = std::get_if<ended_ack_message>(&message))
        handleEndedAck(*ack);
    else if (const auto *notCoordinator = std::get_if<not_coordinator_message>(&message))
        handleNotCoordinator(peer, *notCoordinator);
    else if (const auto *query = std::get_if<coordinator_query_message>(&message))
        handleQuery(peer, *query);
    else if (const auto *notice = std::get_if<crash_notice_message>(&message))
        handleCrashNotice(peer, *notice);
    else if (const auto *statements = std::get_if<target_statements_message>(&message))
        handleStatements(*statements);
    else if (const auto *evacuations = std::get_if<evacuations_message>(&message))
        handleEvacuations(peer, *evacuations);
}

evacuations_message placement_client::evacuations() const
{
    evacuations_message message;
    if (!m_evacuations)
        return message;
    message.version = m_evacuations->version();
    for (const auto &item : m_evacuations->notes(boot_clock::now()))
        message.dataCentres.push_back({item.dataCentre, item.age.count()});
    return message;
}

/// Takes over a newer state of the evacuations, and tells its sender of the own one if that is
/// newer: the sender may be disconnected from the store.
void placement_client::handleEvacuations(const udp_endpoint &peer,
                                         const evacuations_message &message)
{
    if (!m_evacuations || message.version == m_evacuations->version())
        return;
    const auto now = boot_clock::now();
    if (message.version > m_evacuations->version()) {
        std::vector<evacuation_note> notes;
        for (const auto &item : message.dataCentres)
            notes.push_back({item.name, milliseconds(item.ageMs)});
        m_onEvacuations(message.version, notes);
    } else if (now >= m_evacuationsToldAt + EVACUATION_NOTICE_INTERVAL) {
        m_evacuationsToldAt = now;
        m_channel.send(peer, evacuations());
    }
}

/// @return whether this instance knows of an evacuation of the target's data centre. That binds it
///     even if the coordinator, which may not know yet, places requests there. While such a
///     coordinator uses targets that are not listed here, their data centre is unknown.
bool placement_client::isEvacuatedByOwnView(const place_answer_message &message) const
{
    if (const auto *listed = m_targets.find(message.target))
        return listed->isEvacuated;
    return m_evacuations && !m_evacuations->evacuated().empty()
            && message.evacuations.version < m_evacuations->version();
}

void placement_client::noteStatement(const target_entry &target, const target_statement &statement,
                                     instant requestedAt)
{
    const auto now = boot_clock::now();
    const target_directory::received_statement received{statement, requestedAt, now};
    const bool isChanged = m_targets.noteStatement(target.id, received);
    if (isChanged)
        onStatementsChanged(target.service);
    if (m_coordination->placing(target.service))
        return;
    const auto toldAt = m_statementsToldAt.find(target.id);
    const bool isRepetitionDue = !statement.empty()
            && (toldAt == m_statementsToldAt.end() || now >= toldAt->second + STATEMENT_INTERVAL);
    const auto coordinator = coordinatorOf(target.service);
    if (!coordinator || !(isChanged || isRepetitionDue))
        return;
    std::erase_if(m_statementsToldAt,
                  [&](const auto &item) { return now >= item.second + STATEMENT_INTERVAL; });
    if (!statement.empty())
        m_statementsToldAt[target.id] = now;
    m_channel.send(
            *coordinator,
            target_statements_message{target.service, {messageOf(target.id, received, now)}});
}

/// Lets the dispatchers of a service take over what its targets stated.
void placement_client::onStatementsChanged(const service_name &service)
{
    if (auto *own = m_coordination->coordinated(service))
        own->updateTargets();
    const auto found = m_local.find(service);
    if (found != m_local.end() && found->second.dispatcher)
        updateLocal(service, found->second);
}

/// Tells a new coordinator which statements of targets are in force.
void placement_client::tellStatements(const service_name &service)
{
    const auto coordinator = coordinatorOf(service);
    if (!coordinator || m_coordination->placing(service))
        return;
    const auto now = boot_clock::now();
    target_statements_message message{service, {}};
    const auto send = [&] {
        if (!message.targets.empty())
            m_channel.send(*coordinator, message);
        message.targets.clear();
    };
    for (const auto &[id, listed] : m_targets.targets()) {
        const auto received = listed.statementInForce(now);
        if (listed.entry.service != service || received.statement.empty())
            continue;
        message.targets.push_back(messageOf(id, received, now));
        if (message.targets.size() >= MAX_STATEMENTS)
            send();
    }
    send();
}

void placement_client::handleStatements(const target_statements_message &message)
{
    const auto now = boot_clock::now();
    bool isChanged = false;
    for (const auto &stated : message.targets)
        isChanged |= m_targets.noteStatement(stated.target, statementOf(stated, now));
    if (isChanged)
        onStatementsChanged(message.service);
}

void placement_client::handleCrashNotice(const udp_endpoint &peer,
                                         const crash_notice_message &notice)
{
    if (m_quarantine.onNotice(notice))
        m_channel.send(peer, m_quarantine.noticeOf(notice.service, notice.fingerprint));
}

void placement_client::sendCrashNotice(const crash_notice_message &notice)
{
    const auto coordinator = coordinatorOf(notice.service).value_or(udp_endpoint{});
    auto receivers = m_peers.pick(NOTIFIED_PEERS, coordinator);
    if (coordinator.port() != 0)
        receivers.push_back(coordinator);
    for (const auto &peer : receivers)
        m_channel.send(peer, notice);
}

void placement_client::queryCoordinator(const service_name &service)
{
    if (const auto peer = coordinatorOf(service))
        m_channel.send(*peer, coordinator_query_message{service, m_era});
}

void placement_client::handleQuery(const udp_endpoint &peer,
                                   const coordinator_query_message &message)
{
    checkEra(message.era);
    if (!m_coordination->placing(message.service)) {
        sendNotCoordinator(peer, message.service, 0);
        return;
    }
    place_answer_message answer;
    answer.service = message.service;
    sendPlacement(peer, answer);
}

void placement_client::handlePlaceRequest(const udp_endpoint &peer,
                                          const place_request_message &message)
{
    checkEra(message.era);
    checkConfigurationVersion(message.configuration);
    auto *own = m_coordination->placing(message.service);
    if (!own) {
        sendNotCoordinator(peer, message.service, message.token);
        return;
    }
    if (m_quarantine.isQuarantined(message.service, message.fingerprint)) {
        m_channel.send(peer, m_quarantine.noticeOf(message.service, message.fingerprint));
        sendPlacement(peer, messageOf(message.service, quarantineDecision(message.token)));
        return;
    }
    // Drops entries of requests that ended without a report. Waiting requests are sent again.
    if (m_requesters.size() >= MAX_REQUESTERS)
        m_requesters.clear();
    m_requesters[message.token] = peer;
    if (const auto *decision = own->placed(message.token)) {
        sendPlacement(peer, messageOf(message.service, *decision));
        return;
    }
    if (!own->isWaiting(message.token))
        own->enqueue(requestOf(message, boot_clock::now()));
    if (own->isWaiting(message.token)) {
        place_answer_message waiting;
        waiting.service = message.service;
        waiting.token = message.token;
        sendPlacement(peer, waiting);
    }
}

void placement_client::handlePlacement(const udp_endpoint &peer,
                                       const place_answer_message &message)
{
    m_silentUntil.erase(message.service);
    checkEra(message.era);
    checkConfigurationVersion(message.configuration);
    handleEvacuations(peer, message.evacuations);
    notePeer(message.peer);
    noteCoordinatorView(message);
    const auto found = m_pending.find(message.token);
    if (found == m_pending.end()) {
        // The request was decided in another way meanwhile. The slot is given back, unless it is
        // the one in use.
        const auto placed = m_placed.find(message.token);
        const bool isInUse = placed != m_placed.end() && placed->second.decidedBy == decider::Peer;
        if (!message.target.empty() && !isInUse && !m_unconfirmed.contains(message.token)) {
            ended_message unused;
            unused.service = message.service;
            unused.token = message.token;
            unused.result = static_cast<std::uint8_t>(run_result::NotUsed);
            m_channel.send(peer, unused);
        }
        return;
    }
    const auto item = found->second;
    const auto reason = static_cast<error_kind>(message.reason);
    if (message.target.empty() && reason == error_kind::None) {
        item->unanswered = 0;
        requestPlacementLater(item, WAITING_RESEND_INTERVAL);
        return;
    }
    // The coordinator's list of targets is outdated or keeps some that have left, so the own one
    // has to be fresh to show whether the target is leaving.
    const auto coordinators = coordinatorListQuality(message);
    const bool isOwnListNeeded = coordinators.age > MAX_COORDINATOR_LIST_AGE
            || mayListGoneTargets(ownListQuality(), coordinators);
    if (!message.target.empty() && isOwnListNeeded && waitForList(item)) {
        auto delayed = message;
        delayed.sendWithinMs -= LIST_WAIT.count();
        item->timer.async_wait([this, peer, delayed](boost::system::error_code error) {
            if (!error)
                handlePlacement(peer, delayed);
        });
        return;
    }
    dispatch_decision decision;
    decision.token = message.token;
    decision.target = message.target;
    decision.reason = reason;
    decision.retryAfter = milliseconds(message.retryAfterMs);
    decision.waited = microseconds(message.waitedUs);
    decision.queueLength = message.queueLength;
    if (message.hasSendLimit)
        decision.sendBefore = boot_clock::now() + milliseconds(message.sendWithinMs);
    if (!decision.target.empty())
        m_placed[message.token] = {decider::Peer, peer};
    const bool isKeyed = item->request.key.has_value();
    const bool isBoundByStatement = hasOwnStatement(decision.target);
    // The coordinator may know better that the target has started again.
    if (isBoundByStatement)
        m_onStale(store_stream::Targets);
    const bool isEvacuated = isEvacuatedByOwnView(message);
    const bool isUnlisted = isEvacuated && !m_targets.find(decision.target);
    const bool isOwnViewPreferred =
            isOwnListPreferred(ownListQuality(), coordinators) || isBoundByStatement || isEvacuated;
    const bool isRefused = isUnlisted
            || (isOwnViewPreferred && acceptsNoRequests(decision, isKeyed))
            || (coordinators.age > MAX_COORDINATOR_LIST_AGE
                && isUnlimitedWhileCold(decision, message));
    finish(decision, {{message.targetHost, message.targetPort}, isRefused});
}

/// @return whether a coordinator whose list of targets is outdated places a request without regard
///     to a warm-up limit that this instance's newer list shows.
bool placement_client::isUnlimitedWhileCold(const dispatch_decision &decision,
                                            const place_answer_message &message) const
{
    const auto *listed = m_targets.find(decision.target);
    return listed && listed->warmUpLimit && !decision.sendBefore
            && boot_clock::now() < listed->warmUp.coldUntil()
            && m_streamAge(store_stream::Targets) < milliseconds(message.targetListAgeMs);
}

list_quality placement_client::ownListQuality() const
{
    return {m_streamAge(store_stream::Targets), m_targets.hasDeferredRemovals(),
            m_targets.isStoreReachable(), false};
}

/// A coordinator that is disconnected from the store may place requests by an outdated list. After
/// its return it keeps targets whose entries may have lapsed meanwhile; an instance that was
/// connected knows better.
list_quality placement_client::coordinatorListQuality(const place_answer_message &message) const
{
    const auto outdated = m_listOutdatedAt.find(message.service);
    const bool wasOutdated = outdated != m_listOutdatedAt.end()
            && boot_clock::now() < outdated->second + target_directory::REGISTRATION_TIME;
    return {milliseconds(message.targetListAgeMs), message.hasDeferredRemovals, true, wasOutdated};
}

void placement_client::reportMissing(const service_name &service)
{
    m_coordination->noteCoordinatorMissing(service);
    // This instance now needs its own view of which targets are leaving and which instance
    // coordinates next. A coordinator that is disconnected from the store goes on for a while after
    // it was replaced.
    m_onStale(store_stream::Targets);
    const auto now = boot_clock::now();
    if (now < m_nextOwnershipRead)
        return;
    m_nextOwnershipRead = now + OWNERSHIP_READ_INTERVAL;
    m_onStale(store_stream::Coordination);
}

/// Stops sending requests to the coordinator of a service for a while, and looks for its successor.
void placement_client::markSilent(const service_name &service)
{
    m_silentUntil[service] = boot_clock::now() + SILENT_COORDINATOR_BACKOFF;
    reportMissing(service);
    queryPeers(service);
}

void placement_client::noteCoordinatorView(const place_answer_message &message)
{
    const milliseconds targetListAge(message.targetListAgeMs);
    m_relayedView.noteAnswer(targetListAge, milliseconds(message.configurationAgeMs),
                             boot_clock::now());
    if (targetListAge > MAX_COORDINATOR_LIST_AGE) {
        m_listOutdatedAt[message.service] = boot_clock::now();
        reportMissing(message.service);
        return;
    }
    // A coordinator that lives in an earlier era does not know which entries the store has lost.
    const bool hasStore = message.storeServedMs > 0 && message.era == m_era;
    if (hasStore
        && m_targets.noteStoreServing(boot_clock::now() - milliseconds(message.storeServedMs))) {
        updateTargets();
        m_coordination->onTargetsChanged();
    }
    if (message.rank <= static_cast<std::uint8_t>(coordination::coordinator_rank::Large)) {
        m_coordination->noteCoordinatorAnswer(
                message.service, static_cast<coordination::coordinator_rank>(message.rank));
    }
}

void placement_client::sendNotCoordinator(const udp_endpoint &peer, const service_name &service,
                                          request_token token)
{
    not_coordinator_message answer{service, token, 0, {}, evacuations(), m_era};
    if (const auto known = m_coordinators.find(service)) {
        answer.term = known->term;
        answer.coordinator = textOf(known->peer);
    }
    m_channel.send(peer, answer);
}

void placement_client::handleNotCoordinator(const udp_endpoint &peer,
                                            const not_coordinator_message &message)
{
    checkEra(message.era);
    handleEvacuations(peer, message.evacuations);
    const auto reported = parsePeer(message.coordinator);
    if (reported && m_coordinators.note(message.service, {message.term, *reported})) {
        log_line(log_level::Info, "coordinator_told")
                .add("service", message.service)
                .add("term", message.term)
                .add("coordinator", message.coordinator)
                .add("by", peer.address().to_string());
        m_silentUntil.erase(message.service);
        tellStatements(message.service);
        resendRequests(message.service);
        return;
    }
    // From other instances, this message only shows that they know no newer coordinator. From the
    // known coordinator itself, it shows that that one no longer coordinates the service.
    const bool isFromCoordinator = coordinatorOf(message.service) == peer;
    if (!isFromCoordinator || (message.token != 0 && !m_pending.contains(message.token)))
        return;
    // After a restart, the process at the coordinator's address knows of no successor.
    log_line(log_level::Info, "coordinator_gone")
            .add("service", message.service)
            .add("coordinator", peer.address().to_string());
    markSilent(message.service);
    resendRequests(message.service);
}

/// Queries other instances for the successor of a silent coordinator.
void placement_client::queryPeers(const service_name &service)
{
    const auto now = boot_clock::now();
    auto &queriedAt = m_peersQueriedAt[service];
    if (now < queriedAt + PEER_QUERY_INTERVAL)
        return;
    queriedAt = now;
    const auto silent = coordinatorOf(service).value_or(udp_endpoint{});
    auto queried = m_peers.pick(QUERIED_PEERS, silent);
    // Coordinators of other services have the most recent view of the store.
    for (const auto &[other, known] : m_coordinators.all()) {
        if (known.peer != silent && !isSilent(other))
            queried.push_back(known.peer);
    }
    for (const auto &peer : queried)
        m_channel.send(peer, coordinator_query_message{service, m_era});
}

void placement_client::notePeer(const std::string &address)
{
    if (const auto peer = parsePeer(address))
        m_peers.note(*peer, boot_clock::now());
}

void placement_client::refreshRelayedView()
{
    if (!m_relayedView.isQueryDue(boot_clock::now()))
        return;
    for (const auto &[service, known] : m_coordinators.all()) {
        if (!m_coordination->placing(service))
            queryCoordinator(service);
    }
}

void placement_client::handleEnded(const udp_endpoint &peer, const ended_message &message)
{
    m_channel.send(peer, ended_ack_message{message.token});
    m_requesters.erase(message.token);
    auto *own = m_coordination->coordinated(message.service);
    if (!own || message.result > static_cast<std::uint8_t>(LAST_RUN_RESULT))
        return;
    run_report report;
    report.token = message.token;
    report.result = static_cast<run_result>(message.result);
    report.duration = microseconds(message.durationUs);
    if (message.hasLoad)
        report.load =
                target_load{message.running, message.waiting, message.slots, message.workPercent};
    own->complete(report);
}

void placement_client::handleEndedAck(const ended_ack_message &message)
{
    const auto found = m_unconfirmed.find(message.token);
    if (found == m_unconfirmed.end())
        return;
    found->second->timer.cancel();
    m_unconfirmed.erase(found);
}

} // namespace clementinebeam
