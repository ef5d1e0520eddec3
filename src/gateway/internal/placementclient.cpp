#include "internal/placementclient.h"

#include "clementinebeam/kernel/networkaddress.h"
#include "clementinebeam/kernel/randomsource.h"
#include "clementinebeam/observability/logline.h"

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Round trips within a region take up to 3 ms; a lost datagram is repeated after this time.
constexpr milliseconds ASK_AGAIN{45};
/// A waiting request asks again at this interval, to notice a coordinator that was lost.
constexpr milliseconds WAITING_INTERVAL{250};
/// Messages without an answer after which the coordinator counts as silent.
constexpr std::uint32_t SILENT_MESSAGES = 3;
/// How long a silent coordinator is not asked.
constexpr milliseconds SILENCE_TIME{700};
/// Age of a coordinator's list of targets from which it counts as cut from the store; it reads the
/// list three times a second.
constexpr milliseconds MAX_VIEW_AGE{900};
/// Alone, an instance places requests only by a list that is well within the targets' drain time;
/// it waits a short time for one that is being read.
constexpr milliseconds MAX_LIST_AGE_ALONE{1200};
constexpr milliseconds LIST_WAIT{25};
constexpr std::uint32_t MAX_LIST_WAITS = 12;
constexpr milliseconds REPORT_AGAIN{70};
constexpr std::uint32_t MAX_REPORTS = 5;
/// Alone, an instance gives each target one request at a time: others do the same.
constexpr std::uint32_t SLOTS_ALONE = 1;
constexpr std::size_t MAX_WAITING_ALONE = 16;
constexpr double RETRY_CAPACITY_ALONE = 1.0;
constexpr double RETRY_SHARE_ALONE = 0.05;
/// While a coordinator is silent, this many other instances are asked for its successor, at this
/// interval: a takeover takes two seconds.
constexpr std::size_t ASKED_PEERS = 3;
constexpr milliseconds PEER_INTERVAL{200};
/// Owners of keys are read this often while a coordinator is missing: in a large fleet all
/// instances read them at once, and peers tell of a successor.
constexpr milliseconds OWNERSHIP_READ_INTERVAL{1500};
/// Requests of other instances that are remembered.
constexpr std::size_t MAX_ASKERS = 20000;

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

place_message messageOf(const service_name &service, const dispatch_request &request, instant now)
{
    place_message message;
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
    return message;
}

dispatch_request requestOf(const place_message &message, instant now)
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
    return request;
}

placement_message messageOf(const service_name &service, const dispatch_decision &decision)
{
    placement_message message;
    message.service = service;
    message.token = decision.token;
    message.target = decision.target;
    message.reason = static_cast<std::int32_t>(decision.reason);
    message.retryAfterMs = decision.retryAfter.count();
    message.waitedUs = decision.waited.count();
    message.queueLength = static_cast<std::uint32_t>(decision.queueLength);
    return message;
}

} // namespace

placement_client::placement_client(boost::asio::io_context &context, peer_channel &channel,
                                   const target_directory &targets)
    : m_context(context)
    , m_channel(channel)
    , m_targets(targets)
    , m_peers(makeSystemSeededSource())
    , m_nextToken(makeSystemSeededSource()())
{ }

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
    item->service = service;
    item->request = std::move(request);
    item->done = std::move(done);
    m_pending.emplace(item->request.token, item);
    ask(item);
    return item->request.token;
}

void placement_client::ask(const pending_pointer &item)
{
    if (auto *own = m_coordination->coordinated(item->service)) {
        m_placed[item->request.token] = {decider::Coordination, {}};
        own->enqueue(item->request);
        return;
    }
    const auto peer = coordinatorOf(item->service);
    if (!peer || isSilent(item->service)) {
        askPeers(item->service);
        decideAlone(item);
        return;
    }
    if (item->unanswered >= SILENT_MESSAGES) {
        log_line(log_level::Warning, "coordinator_silent")
                .add("service", item->service)
                .add("coordinator", peer->address().to_string())
                .add("unanswered", item->unanswered);
        noteSilent(item->service);
        decideAlone(item);
        return;
    }
    ++item->unanswered;
    auto message = messageOf(item->service, item->request, boot_clock::now());
    message.configuration = m_configuration;
    m_channel.send(*peer, message);
    askLater(item, ASK_AGAIN);
}

void placement_client::askLater(const pending_pointer &item, milliseconds delay)
{
    item->timer.expires_after(delay);
    item->timer.async_wait([this, item](boost::system::error_code error) {
        if (!error && m_pending.contains(item->request.token))
            ask(item);
    });
}

placement_client::local_service &placement_client::local(const service_name &service)
{
    auto &item = m_local[service];
    if (item.dispatcher)
        return item;
    const auto *record = m_coordination->record(service);
    item.isKeyed = record && !record->ranges.empty();
    dispatch_settings settings;
    settings.lookahead = 0;
    settings.maxWaiting = MAX_WAITING_ALONE;
    settings.retryShare = RETRY_SHARE_ALONE;
    settings.retryCapacity = RETRY_CAPACITY_ALONE;
    item.dispatcher =
            std::make_unique<service_dispatcher>(settings, item.isKeyed ? &item.owners : nullptr);
    item.timer = std::make_unique<boost::asio::steady_timer>(m_context);
    updateLocal(service, item);
    return item;
}

void placement_client::updateLocal(const service_name &service, local_service &item)
{
    const auto now = boot_clock::now();
    std::vector<dispatch_target> targets;
    for (const auto &[id, listed] : m_targets.targets()) {
        if (listed.entry.service != service || (listed.isLeaving() && !item.isKeyed))
            continue;
        targets.push_back(listed.forDispatch());
        targets.back().slots = SLOTS_ALONE;
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

/// @return whether a request has to wait for a fresh list of targets; its timer is then set.
bool placement_client::waitForList(const pending_pointer &item)
{
    const bool isListOld =
            m_targets.isStoreReachable() && m_streamAge(store_stream::Targets) > MAX_LIST_AGE_ALONE;
    if (!isListOld || item->listWaits >= MAX_LIST_WAITS)
        return false;
    ++item->listWaits;
    m_onStale(store_stream::Targets);
    item->timer.expires_after(LIST_WAIT);
    return true;
}

void placement_client::decideAlone(const pending_pointer &item)
{
    if (waitForList(item)) {
        askLater(item, LIST_WAIT);
        return;
    }
    item->timer.cancel();
    m_placed[item->request.token] = {decider::Alone, {}};
    dispatch_decisions decisions;
    local(item->service).dispatcher->enqueue(item->request, boot_clock::now(), decisions);
    for (const auto &decision : decisions)
        finish(decision);
    scheduleLocal(item->service);
}

void placement_client::advanceLocal(const service_name &service)
{
    dispatch_decisions decisions;
    local(service).dispatcher->advance(boot_clock::now(), decisions);
    for (const auto &decision : decisions)
        finish(decision);
    scheduleLocal(service);
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

bool placement_client::isLeaving(const dispatch_decision &decision, bool isKeyed) const
{
    const auto *listed = m_targets.find(decision.target);
    return listed && !listed->mayTake(isKeyed, boot_clock::now());
}

void placement_client::finish(const dispatch_decision &decision)
{
    const auto *listed = m_targets.find(decision.target);
    const auto found = m_pending.find(decision.token);
    const bool isKeyed = found != m_pending.end() && found->second->request.key.has_value();
    finish(decision,
           {listed ? listed->entry.address : network_address{}, isLeaving(decision, isKeyed)});
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
    const auto asker = m_askers.find(decision.token);
    if (asker == m_askers.end()) {
        finish(decision);
        return;
    }
    sendPlacement(asker->second, messageOf(service, decision));
    if (decision.target.empty())
        m_askers.erase(asker);
}

void placement_client::onCoordinatorChanged(const service_name &service)
{
    const auto *record = m_coordination->record(service);
    const auto peer = record ? parsePeer(record->coordinator) : std::nullopt;
    if (peer && m_coordinators.note(service, {record->term, *peer}))
        m_silentUntil.erase(service);
    askAnew(service);
}

/// Asks the present coordinator for all requests that wait.
void placement_client::askAnew(const service_name &service)
{
    std::vector<pending_pointer> waiting;
    for (const auto &[token, item] : m_pending) {
        if (item->service == service)
            waiting.push_back(item);
    }
    for (const auto &item : waiting) {
        item->unanswered = 0;
        ask(item);
    }
}

void placement_client::report(const service_name &service, const run_report &report)
{
    const auto waiting = m_pending.find(report.token);
    if (waiting != m_pending.end()) {
        waiting->second->timer.cancel();
        m_pending.erase(waiting);
    }
    const auto found = m_placed.find(report.token);
    const auto placed = found == m_placed.end() ? placed_request{decider::Peer, {}} : found->second;
    m_placed.erase(report.token);
    if (placed.by == decider::Coordination) {
        if (auto *own = m_coordination->coordinated(service))
            own->complete(report);
        return;
    }
    if (placed.by == decider::Alone) {
        dispatch_decisions decisions;
        auto noted = report;
        // What is known of owners may be old while no coordinator answers.
        if (noted.result == run_result::WrongOwner)
            noted.result = run_result::NotExecuted;
        local(service).dispatcher->complete(noted, boot_clock::now(), decisions);
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
    }
    m_unconfirmed[report.token] = item;
    sendReport(item);
}

void placement_client::sendReport(const std::shared_ptr<unconfirmed_report> &item)
{
    if (item->tries++ >= MAX_REPORTS) {
        // The coordinator frees the place itself after the request's deadline.
        m_unconfirmed.erase(item->message.token);
        return;
    }
    m_channel.send(item->peer, item->message);
    item->timer.expires_after(REPORT_AGAIN);
    item->timer.async_wait([this, item](boost::system::error_code error) {
        if (!error)
            sendReport(item);
    });
}

void placement_client::sendPlacement(const udp_endpoint &peer, placement_message message)
{
    message.configuration = m_configuration;
    message.targetAgeMs = m_streamAge(store_stream::Targets).count();
    message.configurationAgeMs = m_streamAge(store_stream::Configuration).count();
    if (const auto other = m_peers.drawOne(peer))
        message.peer = textOf(*other);
    message.rank = static_cast<std::uint8_t>(m_coordination->rank());
    if (const auto *listed = m_targets.find(message.target)) {
        message.targetHost = listed->entry.address.host;
        message.targetPort = listed->entry.address.port;
    }
    m_channel.send(peer, message);
}

void placement_client::compareConfiguration(std::uint64_t version)
{
    if (version > m_configuration)
        m_onStale(store_stream::Configuration);
}

void placement_client::onMessage(const udp_endpoint &peer, const peer_message &message)
{
    m_peers.note(peer, boot_clock::now());
    if (const auto *place = std::get_if<place_message>(&message))
        takePlaceRequest(peer, *place);
    else if (const auto *placement = std::get_if<placement_message>(&message))
        takePlacement(peer, *placement);
    else if (const auto *ended = std::get_if<ended_message>(&message))
        takeEnded(peer, *ended);
    else if (const auto *ack = std::get_if<ended_ack_message>(&message))
        takeEndedAck(*ack);
    else if (const auto *refusal = std::get_if<not_coordinator_message>(&message))
        takeNotCoordinator(peer, *refusal);
    else if (const auto *query = std::get_if<coordinator_query_message>(&message))
        takeQuery(peer, *query);
}

void placement_client::queryCoordinator(const service_name &service)
{
    if (const auto peer = coordinatorOf(service))
        m_channel.send(*peer, coordinator_query_message{service});
}

void placement_client::takeQuery(const udp_endpoint &peer, const coordinator_query_message &message)
{
    if (!m_coordination->coordinated(message.service)) {
        sendNotCoordinator(peer, message.service, 0);
        return;
    }
    placement_message answer;
    answer.service = message.service;
    sendPlacement(peer, answer);
}

void placement_client::takePlaceRequest(const udp_endpoint &peer, const place_message &message)
{
    compareConfiguration(message.configuration);
    auto *own = m_coordination->coordinated(message.service);
    if (!own) {
        sendNotCoordinator(peer, message.service, message.token);
        return;
    }
    if (m_askers.size() >= MAX_ASKERS)
        m_askers.clear(); // Askers that ended without a report; those that live ask again.
    m_askers[message.token] = peer;
    if (const auto *decision = own->placed(message.token)) {
        sendPlacement(peer, messageOf(message.service, *decision));
        return;
    }
    if (!own->isWaiting(message.token))
        own->enqueue(requestOf(message, boot_clock::now()));
    if (own->isWaiting(message.token)) {
        placement_message waiting;
        waiting.service = message.service;
        waiting.token = message.token;
        sendPlacement(peer, waiting);
    }
}

void placement_client::takePlacement(const udp_endpoint &peer, const placement_message &message)
{
    m_silentUntil.erase(message.service);
    compareConfiguration(message.configuration);
    notePeer(message.peer);
    noteCoordinatorView(message);
    const auto found = m_pending.find(message.token);
    if (found == m_pending.end()) {
        // Decided otherwise meanwhile: the place goes back, unless it is the one in use.
        const auto placed = m_placed.find(message.token);
        const bool isInUse = placed != m_placed.end() && placed->second.by == decider::Peer;
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
        askLater(item, WAITING_INTERVAL);
        return;
    }
    // Neither the coordinator's list of targets nor the own one may show that the target leaves.
    const bool isViewOld = milliseconds(message.targetAgeMs) > MAX_VIEW_AGE;
    if (!message.target.empty() && isViewOld && waitForList(item)) {
        item->timer.async_wait([this, peer, message](boost::system::error_code error) {
            if (!error)
                takePlacement(peer, message);
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
    if (!decision.target.empty())
        m_placed[message.token] = {decider::Peer, peer};
    // A coordinator that is cut from the store may place requests by an old list.
    const bool isOwnListNewer =
            m_streamAge(store_stream::Targets) < milliseconds(message.targetAgeMs);
    const bool isKeyed = item->request.key.has_value();
    finish(decision,
           {{message.targetHost, message.targetPort},
            isOwnListNewer && isLeaving(decision, isKeyed)});
}

void placement_client::noteMissing(const service_name &service)
{
    m_coordination->noteCoordinatorMissing(service);
    // This instance has to know itself which targets leave and who coordinates next. A coordinator
    // that is cut from the store goes on for a while after it was replaced.
    m_onStale(store_stream::Targets);
    const auto now = boot_clock::now();
    if (now < m_nextOwnershipRead)
        return;
    m_nextOwnershipRead = now + OWNERSHIP_READ_INTERVAL;
    m_onStale(store_stream::Coordination);
}

/// Stops asking the coordinator of a service for a while, and looks for its successor.
void placement_client::noteSilent(const service_name &service)
{
    m_silentUntil[service] = boot_clock::now() + SILENCE_TIME;
    noteMissing(service);
    askPeers(service);
}

void placement_client::noteCoordinatorView(const placement_message &message)
{
    const milliseconds targetAge(message.targetAgeMs);
    m_news.noteAnswer(targetAge, milliseconds(message.configurationAgeMs), boot_clock::now());
    if (targetAge > MAX_VIEW_AGE)
        noteMissing(message.service);
    else if (message.rank <= static_cast<std::uint8_t>(coordination::coordinator_rank::Large))
        m_coordination->noteCoordinatorAnswer(
                message.service, static_cast<coordination::coordinator_rank>(message.rank));
}

void placement_client::sendNotCoordinator(const udp_endpoint &peer, const service_name &service,
                                          request_token token)
{
    not_coordinator_message answer{service, token, 0, {}};
    if (const auto known = m_coordinators.find(service)) {
        answer.term = known->term;
        answer.coordinator = textOf(known->peer);
    }
    m_channel.send(peer, answer);
}

void placement_client::takeNotCoordinator(const udp_endpoint &peer,
                                          const not_coordinator_message &message)
{
    const auto told = parsePeer(message.coordinator);
    if (told && m_coordinators.note(message.service, {message.term, *told})) {
        log_line(log_level::Info, "coordinator_told")
                .add("service", message.service)
                .add("term", message.term)
                .add("coordinator", message.coordinator)
                .add("by", peer.address().to_string());
        m_silentUntil.erase(message.service);
        askAnew(message.service);
        return;
    }
    // Others than the coordinator know no newer one either.
    const bool isRefused = coordinatorOf(message.service) == peer;
    if (!isRefused || (message.token != 0 && !m_pending.contains(message.token)))
        return;
    // A process that has restarted at the coordinator's address knows of no successor.
    log_line(log_level::Info, "coordinator_gone")
            .add("service", message.service)
            .add("coordinator", peer.address().to_string());
    noteSilent(message.service);
    askAnew(message.service);
}

/// Asks other instances who coordinates a service whose coordinator is silent.
void placement_client::askPeers(const service_name &service)
{
    const auto now = boot_clock::now();
    auto &askedAt = m_peersAskedAt[service];
    if (now < askedAt + PEER_INTERVAL)
        return;
    askedAt = now;
    const auto silent = coordinatorOf(service).value_or(udp_endpoint{});
    auto asked = m_peers.draw(ASKED_PEERS, silent);
    // Coordinators follow the store most closely.
    for (const auto &[other, known] : m_coordinators.all()) {
        if (known.peer != silent && !isSilent(other))
            asked.push_back(known.peer);
    }
    for (const auto &peer : asked)
        m_channel.send(peer, coordinator_query_message{service});
}

void placement_client::notePeer(const std::string &address)
{
    if (const auto peer = parsePeer(address))
        m_peers.note(*peer, boot_clock::now());
}

void placement_client::keepInformed()
{
    if (!m_news.isDue(boot_clock::now()))
        return;
    for (const auto &[service, known] : m_coordinators.all()) {
        if (!m_coordination->coordinated(service))
            queryCoordinator(service);
    }
}

void placement_client::takeEnded(const udp_endpoint &peer, const ended_message &message)
{
    m_channel.send(peer, ended_ack_message{message.token});
    m_askers.erase(message.token);
    auto *own = m_coordination->coordinated(message.service);
    if (!own || message.result > static_cast<std::uint8_t>(run_result::NotUsed))
        return;
    run_report report;
    report.token = message.token;
    report.result = static_cast<run_result>(message.result);
    report.duration = microseconds(message.durationUs);
    if (message.hasLoad)
        report.load = target_load{message.running, message.waiting, message.slots};
    own->complete(report);
}

void placement_client::takeEndedAck(const ended_ack_message &message)
{
    const auto found = m_unconfirmed.find(message.token);
    if (found == m_unconfirmed.end())
        return;
    found->second->timer.cancel();
    m_unconfirmed.erase(found);
}

} // namespace clementinebeam
