#include "modelsystem.h"

#include "clementinebeam/kernel/binarycodec.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace clementinebeam::model {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ISOLATION_LIMIT{3000};
constexpr milliseconds REQUEST_LIFE{60000};
constexpr milliseconds REQUEST_DEADLINE{1500};
constexpr milliseconds ADMIT_TIMEOUT{250};
constexpr milliseconds RETRY_DELAY{20};
constexpr int MAX_COPIES = 3;

daemon_settings instanceSettings(const model_options &options, std::size_t index)
{
    daemon_settings settings;
    settings.coordination.isolationLimit = ISOLATION_LIMIT;
    settings.requestIdLife = REQUEST_LIFE;
    // Leaders other than i0 act for much longer without confirmation than i0 assumes.
    if (options.breaksIsolationLimit && index != 0)
        settings.coordination.isolationLimit = ISOLATION_LIMIT * 10;
    if (options.breaksIsolationLimit && index == 0)
        settings.coordination.isolationLimit = milliseconds(1);
    return settings;
}

} // namespace

const shard_id model_system::SHARD{"orders", 0};

model_system::model_system(const model_options &given)
    : network(given.seed)
    , options(given)
{
    const auto randomClockRate = [this] {
        return 1.0 + options.clockDrift * (2.0 * network.uniform() - 1.0);
    };
    for (std::size_t index = 0; index < options.instances; ++index) {
        instances.push_back(
                std::make_unique<model_instance>(*this, index, instanceSettings(options, index)));
        instances.back()->process.clockRate = randomClockRate();
    }
    for (std::size_t index = 0; index < options.targets; ++index) {
        auto target = std::make_unique<model_target>();
        target->id = "t" + std::to_string(index);
        target->process.name = target->id;
        target->process.clockRate = randomClockRate();
        startTarget(*target);
        targets.push_back(std::move(target));
    }
}

void model_system::startTarget(model_target &target)
{
    const auto incarnation = network.randomBelow(1U << 30U) + 1;
    target.leases =
            std::make_unique<lease_holder>(incarnation, incarnation << 20U, milliseconds(30));
    target.running.clear();
}

void model_system::trace(const std::string &text) const
{
    static const bool IS_ON = std::getenv("MODEL_TRACE") != nullptr;
    if (IS_ON)
        std::cout << network.now().time_since_epoch().count() << ' ' << text << '\n';
}

void model_system::append(const ownership_record &record)
{
    m_log.push_back(record);
    std::string text = "log " + std::to_string(m_log.size()) + " by " + record.writer;
    if (const auto *claim = std::get_if<claim_record>(&record.body))
        text += " claim after " + std::to_string(claim->previousTerm) + " standby "
                + claim->standby.instance;
    if (const auto *moves = std::get_if<move_record>(&record.body)) {
        text += " in term " + std::to_string(moves->term);
        for (const auto &move : moves->moves)
            text += ' ' + std::to_string(move.slot) + "->" + move.owner;
    }
    if (std::holds_alternative<settled_record>(record.body))
        text += " settled";
    trace(text);
}

model_instance *model_system::findInstance(const instance_id &id)
{
    const auto found = std::find_if(instances.begin(), instances.end(),
                                    [&](const auto &entry) { return entry->process.name == id; });
    return found == instances.end() ? nullptr : found->get();
}

model_target *model_system::findTarget(const target_id &id)
{
    const auto found = std::find_if(targets.begin(), targets.end(),
                                    [&](const auto &entry) { return entry->id == id; });
    return found == targets.end() ? nullptr : found->get();
}

control_reply model_system::applyControl(model_target &target, control_request request)
{
    request.lease += options.addedTargetLease;
    const auto reply = target.leases->apply(
            request, [&](slot_index slot) { return target.running[slot] > 0; },
            network.clockOf(target.process));
    for (const auto &grant : request.grants)
        trace(target.id + " grant " + std::to_string(grant.slot) + " epoch "
              + std::to_string(grant.epoch) + " term " + std::to_string(request.term) + " from "
              + request.holder + (reply.accepted ? "" : " refused"));
    checkOwners();
    return reply;
}

void model_system::checkOwners()
{
    std::map<slot_index, target_id> owners;
    for (const auto &target : targets) {
        const bool hasLease = target->process.isUp
                && network.clockOf(target->process) < target->leases->leaseUntil();
        if (!hasLease)
            continue;
        for (const auto &[slot, epoch] : target->leases->held()) {
            const auto [owner, isFirst] = owners.try_emplace(slot, target->id);
            if (!isFirst)
                addViolation("slot " + std::to_string(slot) + " has two owners: " + owner->second
                             + " and " + target->id);
        }
    }
}

void model_system::checkReplay(log_offset offset, const shard_state &state)
{
    auto text = encodeBinary(state);
    const auto [known, isFirst] = m_stateByOffset.try_emplace(offset, text);
    if (!isFirst && known->second != text)
        addViolation("two instances replay offset " + std::to_string(offset) + " differently");
}

void model_system::addViolation(const std::string &text)
{
    const auto at = std::chrono::duration_cast<milliseconds>(network.now().time_since_epoch());
    m_violations.push_back("seed " + std::to_string(options.seed) + " at "
                           + std::to_string(at.count()) + " ms: " + text);
}

void model_system::run()
{
    for (auto &instance : instances)
        instance->start();
    network.runUntil(network.now() + milliseconds(3000));
    network.setLossRate(options.lossRate);
    scheduleFaults();
    scheduleRequests();
    network.runUntil(network.now() + options.faultDuration);
    healAll();
    network.runUntil(network.now() + options.recoveryDuration);
    checkServed();
    checkRequests();
}

void model_system::scheduleFaults()
{
    network.schedule(network.randomMillis(200, 2500), [this] {
        if (!m_faultsOn)
            return;
        injectFault();
        scheduleFaults();
    });
}

void model_system::pauseOrStop(virtual_process &process, action restart)
{
    const auto duration = network.randomMillis(50, network.uniform() < 0.2 ? 9000 : 2500);
    const bool pauses = network.uniform() < 0.5;
    if (!process.isUp || process.isPaused)
        return;
    trace(std::string(pauses ? "pause " : "stop ") + process.name + " for "
          + std::to_string(duration.count()));
    if (pauses) {
        network.pause(process);
        network.schedule(duration, [this, &process] {
            if (process.isPaused)
                network.resume(process);
        });
        return;
    }
    network.stop(process);
    network.schedule(duration, [this, &process, restart] {
        if (process.isUp)
            return;
        network.restart(process);
        restart();
    });
}

void model_system::cutLinks()
{
    std::vector<std::string> names{"log"};
    for (const auto &instance : instances)
        names.push_back(instance->process.name);
    for (const auto &target : targets)
        names.push_back(target->process.name);
    std::vector<std::pair<std::string, std::string>> cuts;
    if (network.uniform() < 0.4) {
        cuts.emplace_back(names[network.randomBelow(names.size())],
                          names[network.randomBelow(names.size())]);
    } else {
        // A partition: no process of one side reaches a process of the other one.
        std::vector<std::string> side;
        std::vector<std::string> other;
        for (const auto &name : names)
            (network.uniform() < 0.4 ? side : other).push_back(name);
        for (const auto &left : side) {
            for (const auto &right : other)
                cuts.emplace_back(left, right);
        }
    }
    for (const auto &[left, right] : cuts) {
        network.cut(left, right);
        trace("cut " + left + ' ' + right);
    }
    network.schedule(network.randomMillis(100, 7000), [this, cuts] {
        for (const auto &[left, right] : cuts)
            network.heal(left, right);
    });
}

void model_system::injectFault()
{
    const double kind = network.uniform();
    if (kind < 0.25) {
        auto &instance = *instances[network.randomBelow(instances.size())];
        pauseOrStop(instance.process, [&instance] { instance.start(); });
    } else if (kind < 0.5) {
        auto &target = *targets[network.randomBelow(targets.size())];
        pauseOrStop(target.process, [this, &target] { startTarget(target); });
    } else if (kind < 0.75) {
        cutLinks();
    } else if (kind < 0.9) {
        isLogDown = true;
        trace("log down");
        network.schedule(network.randomMillis(100, 6000), [this] { isLogDown = false; });
    } else {
        auto &instance = *instances[network.randomBelow(instances.size())];
        if (!instance.process.isUp || instance.process.isPaused)
            return;
        trace("graceful stop of " + instance.process.name);
        instance.beginStop();
        network.schedule(milliseconds(1200), [this, &instance] {
            network.stop(instance.process);
            network.restart(instance.process);
            instance.start();
        });
    }
}

void model_system::healAll()
{
    m_faultsOn = false;
    isLogDown = false;
    network.setLossRate(0.0);
    network.healAll();
    for (auto &instance : instances) {
        if (instance->process.isPaused)
            network.resume(instance->process);
        if (!instance->process.isUp) {
            network.restart(instance->process);
            instance->start();
        }
    }
    for (auto &target : targets) {
        if (target->process.isPaused)
            network.resume(target->process);
        if (!target->process.isUp) {
            network.restart(target->process);
            startTarget(*target);
        }
    }
}

void model_system::checkServed()
{
    ownership_replay replay;
    for (log_offset offset = 0; offset < m_log.size(); ++offset)
        replay.apply(offset, m_log[offset]);
    const auto *state = replay.find(SHARD);
    for (slot_index slot = 0; slot < options.slots; ++slot) {
        const auto *target =
                slot < state->slots.size() ? findTarget(state->slots[slot].owner) : nullptr;
        const bool isServed = target
                && target->leases->check(slot, state->slots[slot].epoch, 0, false,
                                         network.clockOf(target->process))
                        == error_kind::None;
        if (!isServed)
            addViolation("slot " + std::to_string(slot) + " is not served after all faults ended");
    }
}

void model_system::checkRequests()
{
    for (const auto &request : m_requests) {
        if (request.executions > 1)
            addViolation("request " + request.id + " ran " + std::to_string(request.executions)
                         + " times");
        if (request.answers > 0 && request.executions == 0)
            addViolation("request " + request.id + " was answered but did not run");
        const bool isReportedNotRun = request.copies == 1 && request.notRunAnswers > 0;
        if (isReportedNotRun && request.executions > 0)
            addViolation("request " + request.id + " was reported as not run, but ran");
    }
}

void model_system::scheduleRequests()
{
    network.schedule(network.randomMillis(5, 60), [this] {
        if (!m_faultsOn)
            return;
        newRequest();
        scheduleRequests();
    });
}

void model_system::newRequest()
{
    model_request request;
    const virtual_clock clock(network, log);
    request.id = std::to_string(clock.wall().time_since_epoch().count()) + "-"
            + std::to_string(m_requests.size());
    request.slot = static_cast<slot_index>(network.randomBelow(options.slots));
    m_requests.push_back(request);
    const auto index = m_requests.size() - 1;
    sendRequestCopy(index);
    if (network.uniform() < 0.2)
        network.schedule(network.randomMillis(0, 300), [this, index] { sendRequestCopy(index); });
}

void model_system::sendRequestCopy(std::size_t request)
{
    if (m_requests[request].copies >= MAX_COPIES)
        return;
    const auto instance = network.randomBelow(instances.size());
    if (!instances[instance]->process.isUp)
        return;
    ++m_requests[request].copies;
    auto copy = std::make_shared<request_copy>();
    copy->request = request;
    copy->instance = instance;
    copy->token = network.randomBelow(SIZE_MAX);
    copy->deadline = network.now() + REQUEST_DEADLINE;
    network.after(instances[instance]->process, milliseconds(1), [this, copy] { askLeader(copy); });
}

void model_system::askLeader(const std::shared_ptr<request_copy> &copy)
{
    auto &instance = *instances[copy->instance];
    const auto &request = m_requests[copy->request];
    const auto *state = instance.replay().find(SHARD);
    auto *leader = state ? findInstance(state->leader.instance) : nullptr;
    if (!leader)
        return retryOrEnd(copy);
    admit_request message{
            SHARD,
            request.id,
            hashOf(request.id),
            copy->token,
            request.slot,
            std::chrono::duration_cast<milliseconds>(copy->deadline - network.now()).count()};
    auto isDone = std::make_shared<bool>(false);
    const auto finish = [this, copy, isDone](const result<peer_message> &reply) {
        if (!std::exchange(*isDone, true))
            onAdmission(copy, reply);
    };
    network.after(instance.process, ADMIT_TIMEOUT,
                  [finish] { finish(make_error_code(error_kind::PeerUnreachable)); });
    network.send(instance.process, leader->process,
                 [this, leader, &instance, from = instance.self(), message, finish] {
                     const auto respond = [this, leader, &instance, from,
                                           finish](const peer_message &reply) {
                         network.send(leader->process, instance.process,
                                      [&instance, from, finish, reply] {
                                          if (instance.self() == from)
                                              finish(reply);
                                      });
                     };
                     leader->handleRequest(from, message, respond);
                 });
}

void model_system::onAdmission(const std::shared_ptr<request_copy> &copy,
                               const result<peer_message> &reply)
{
    if (copy->isDone)
        return;
    if (!reply)
        return retryOrEnd(copy);
    const auto &decision = std::get<admit_reply>(reply.value());
    if (decision.decision == admission::Run)
        trace(m_requests[copy->request].id + " admitted in term " + std::to_string(decision.term)
              + " for i" + std::to_string(copy->instance) + " to " + decision.owner);
    switch (decision.decision) {
    case admission::Run:
        return execute(copy, decision);
    case admission::Recorded:
        return finishRequestCopy(copy, decision.state);
    case admission::Running:
        return retryOrEnd(copy);
    case admission::Refused:
        break;
    }
    if (answerFor(static_cast<error_kind>(decision.reason)).result == outcome::Unknown)
        return finishRequestCopy(copy, ledger_state::Unknown);
    retryOrEnd(copy);
}

void model_system::retryOrEnd(const std::shared_ptr<request_copy> &copy)
{
    if (network.now() + RETRY_DELAY >= copy->deadline) {
        admit_reply tokenOnly;
        tokenOnly.token = copy->token;
        report(copy, tokenOnly, ledger_state::NotRun);
        return finishRequestCopy(copy, ledger_state::NotRun);
    }
    network.after(instances[copy->instance]->process, RETRY_DELAY,
                  [this, copy] { askLeader(copy); });
}

void model_system::execute(const std::shared_ptr<request_copy> &copy, const admit_reply &permit)
{
    auto &instance = *instances[copy->instance];
    auto *target = findTarget(permit.owner);
    if (!target || network.now() >= copy->deadline) {
        report(copy, permit, ledger_state::NotRun);
        copy->token = network.randomBelow(SIZE_MAX);
        return retryOrEnd(copy);
    }
    auto isDone = std::make_shared<bool>(false);
    network.after(instance.process, copy->deadline - network.now(), [this, copy, permit, isDone] {
        if (std::exchange(*isDone, true))
            return;
        report(copy, permit, ledger_state::Unknown);
        finishRequestCopy(copy, ledger_state::Unknown);
    });
    const auto self = instance.self();
    const auto answer = [this, copy, permit, isDone, target, self, &instance](bool ran) {
        network.send(target->process, instance.process,
                     [this, copy, permit, isDone, ran, self, &instance] {
                         if (instance.self() != self || std::exchange(*isDone, true))
                             return;
                         report(copy, permit, ran ? ledger_state::Answered : ledger_state::NotRun);
                         if (ran)
                             return finishRequestCopy(copy, ledger_state::Answered);
                         copy->token = network.randomBelow(SIZE_MAX);
                         retryOrEnd(copy);
                     });
    };
    // A request is sent over TCP, so the network does not duplicate it. It reaches a target twice
    // only if an instance sends it twice.
    auto wasDelivered = std::make_shared<bool>(false);
    network.send(instance.process, target->process,
                 [this, copy, permit, target, answer, wasDelivered] {
                     if (!std::exchange(*wasDelivered, true))
                         runOnTarget(copy, permit, *target, answer);
                 });
}

void model_system::runOnTarget(const std::shared_ptr<request_copy> &copy, const admit_reply &permit,
                               model_target &target, const std::function<void(bool)> &answer)
{
    const auto slot = m_requests[copy->request].slot;
    const auto check = [this, &target, slot, permit](bool isAdmitted) {
        return target.leases->check(slot, permit.epoch, permit.term, isAdmitted,
                                    network.clockOf(target.process))
                == error_kind::None;
    };
    if (!check(false))
        return answer(false);
    ++target.running[slot];
    network.after(target.process, network.randomMillis(1, 40),
                  [this, copy, &target, slot, check, answer] {
                      --target.running[slot];
                      const bool isCommitted = check(true);
                      trace(m_requests[copy->request].id
                            + (isCommitted ? " ran on " : " undone on ") + target.id + " for i"
                            + std::to_string(copy->instance));
                      if (isCommitted)
                          ++m_requests[copy->request].executions;
                      answer(isCommitted);
                  });
}

void model_system::report(const std::shared_ptr<request_copy> &copy, const admit_reply &permit,
                          ledger_state state)
{
    auto &instance = *instances[copy->instance];
    const auto *known = instance.replay().find(SHARD);
    auto *leader = known ? findInstance(known->leader.instance) : nullptr;
    if (!leader)
        return;
    const auto &request = m_requests[copy->request];
    outcome_report message{SHARD, request.id, request.slot, permit.token, state, {}};
    auto isAccepted = std::make_shared<bool>(false);
    network.send(instance.process, leader->process, [this, leader, &instance, message, isAccepted] {
        leader->handleRequest(instance.self(), message,
                              [this, leader, &instance, isAccepted](peer_message reply) {
                                  if (!std::get<outcome_reply>(reply).accepted)
                                      return;
                                  network.send(leader->process, instance.process,
                                               [isAccepted] { *isAccepted = true; });
                              });
    });
    network.after(instance.process, ADMIT_TIMEOUT, [this, copy, permit, state, isAccepted] {
        if (!*isAccepted && m_faultsOn)
            report(copy, permit, state);
    });
}

void model_system::finishRequestCopy(const std::shared_ptr<request_copy> &copy, ledger_state state)
{
    if (std::exchange(copy->isDone, true))
        return;
    auto &request = m_requests[copy->request];
    switch (state) {
    case ledger_state::Answered:
        ++request.answers;
        return;
    case ledger_state::NotRun:
        ++request.notRunAnswers;
        break;
    default:
        ++request.unknownAnswers;
    }
    const auto index = copy->request;
    if (network.uniform() < 0.7)
        network.schedule(network.randomMillis(1, 3000), [this, index] { sendRequestCopy(index); });
}

} // namespace clementinebeam::model
