#include "modelinstance.h"

#include "modelsystem.h"

namespace clementinebeam::model {

namespace {

constexpr std::chrono::milliseconds TICK_INTERVAL{50};
constexpr std::chrono::milliseconds READ_INTERVAL{100};
constexpr std::chrono::milliseconds READ_TIMEOUT{500};
constexpr std::chrono::milliseconds CONTROL_TIMEOUT{200};

/// Wall-clock time that belongs to zero on a virtual clock, since the Unix epoch. Wall clocks
/// differ as much as the virtual clocks of the processes do.
constexpr std::chrono::hours WALL_CLOCK_START{450000};

/// Sends the requests of one instance over the virtual network.
class virtual_transport : public i_peer_transport
{
public:
    virtual_transport(model_system &system, model_instance &self)
        : m_system(system)
        , m_self(self)
    { }

    void setPeers(const std::vector<peer_address> &) override { }
    void setMessageHandler(peer_message_handler) override { }
    void setRequestHandler(peer_request_handler) override { }

    void send(const instance_id &, const peer_message &) override { }

    void request(const instance_id &to, const peer_message &message,
                 std::chrono::milliseconds timeout, peer_reply_callback callback) override
    {
        auto isDone = std::make_shared<bool>(false);
        const auto finish = [isDone, callback](result<peer_message> reply) {
            if (!std::exchange(*isDone, true))
                callback(std::move(reply));
        };
        auto &network = m_system.network;
        network.after(m_self.process, timeout,
                      [finish] { finish(make_error_code(error_kind::PeerUnreachable)); });
        auto *receiver = m_system.findInstance(to);
        if (!receiver)
            return;
        const auto from = m_self.self();
        network.send(m_self.process, receiver->process,
                     [&network, &sender = m_self, receiver, from, message, finish] {
                         const auto respond = [&network, &sender, receiver, from,
                                               finish](const peer_message &reply) {
                             network.send(receiver->process, sender.process,
                                          [&sender, from, finish, reply] {
                                              if (sender.self() == from)
                                                  finish(reply);
                                          });
                         };
                         receiver->handleRequest(from, message, respond);
                     });
    }

private:
    model_system &m_system;
    model_instance &m_self;
};

/// Discards all metrics.
class null_metrics : public i_metrics
{
public:
    void countRequest(const service_name &, const std::string &, error_kind,
                      std::chrono::microseconds) override
    { }
    void countDrop(std::string_view) override { }
    void countBrokenAnswer(std::string_view, std::string_view) override { }
    void countRetry(const service_name &, std::string_view) override { }
    void countMoves(const service_name &, std::string_view, std::size_t) override { }
    void observeAdmission(std::chrono::microseconds) override { }
    void setConfigurationVersion(std::uint64_t) override { }
    void setLogReachable(bool) override { }
    void setShard(const shard_id &, int, std::size_t) override { }
    std::string render() const override { return {}; }
};

} // namespace

wall_time virtual_clock::wall() const
{
    const auto since =
            std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch());
    return wall_time(WALL_CLOCK_START + since);
}

model_instance::model_instance(model_system &system, std::size_t index,
                               const daemon_settings &settings)
    : m_system(system)
    , m_index(index)
    , m_settings(settings)
{
    process.name = "i" + std::to_string(index);
    m_clock = std::make_shared<virtual_clock>(system.network, process);
}

void model_instance::start()
{
    m_self = {process.name, m_system.network.randomBelow(1U << 30U) + 1};
    m_settings.instance = process.name;
    m_shards = std::make_unique<shard_table>(m_self, m_settings, m_self.incarnation);
    m_admissions = std::make_unique<admission_service>(
            *m_shards, std::make_shared<virtual_transport>(m_system, *this),
            std::make_shared<null_metrics>(), m_clock);
    m_replay.restart(0);
    routing_configuration configuration;
    auto &service = configuration.services[model_system::SHARD.service];
    service.slots = m_system.options.slots;
    service.kinds["order"] = {};
    std::vector<listing> listings;
    for (std::size_t index = 0; index < m_system.options.instances; ++index) {
        const auto centre = "dc" + std::to_string(index % 3);
        listings.push_back(
                {"i" + std::to_string(index), listed_role::Instance, false, centre, {}, 0, ""});
    }
    for (std::size_t index = 0; index < m_system.options.targets; ++index)
        listings.push_back({"t" + std::to_string(index),
                            listed_role::Target,
                            false,
                            "dc0",
                            {},
                            0,
                            model_system::SHARD.service});
    m_shards->update(configuration, listings, now());
    tickLoop();
    readLoop();
}

void model_instance::beginStop()
{
    action_list actions;
    {
        const ordered_lock lock(m_shards->mutex());
        m_shards->find(model_system::SHARD)->controller.beginStop(now(), actions);
    }
    run(actions);
}

void model_instance::tickLoop()
{
    action_list actions;
    {
        const ordered_lock lock(m_shards->mutex());
        auto &entry = *m_shards->find(model_system::SHARD);
        entry.controller.tick(now(), actions);
        entry.keeper.update(entry.controller, m_clock->wall());
        entry.keeper.ledger().expire(now(), m_clock->wall());
    }
    run(actions);
    m_admissions->syncStandbys();
    m_system.network.after(process, TICK_INTERVAL, [this] { tickLoop(); });
}

void model_instance::readLoop()
{
    const auto readStart = now();
    const auto from = m_replay.nextOffset();
    auto isDone = std::make_shared<bool>(false);
    const auto scheduleNextRead = [this, isDone] {
        if (!std::exchange(*isDone, true))
            m_system.network.after(process, READ_INTERVAL, [this] { readLoop(); });
    };
    m_system.network.after(process, READ_TIMEOUT, scheduleNextRead);
    const auto incarnation = m_self;
    m_system.network.send(process, m_system.log,
                          [this, readStart, from, isDone, scheduleNextRead, incarnation] {
                              if (m_system.isLogDown)
                                  return;
                              const auto &all = m_system.records();
                              const std::vector<ownership_record> records(
                                      all.begin()
                                              + static_cast<std::ptrdiff_t>(
                                                      std::min<std::size_t>(from, all.size())),
                                      all.end());
                              m_system.network.send(m_system.log, process,
                                                    [this, readStart, from, records, isDone,
                                                     scheduleNextRead, incarnation] {
                                                        if (*isDone || incarnation != m_self)
                                                            return;
                                                        applyRead(readStart, from, records);
                                                        scheduleNextRead();
                                                    });
                          });
}

void model_instance::applyRead(instant readStart, log_offset from,
                               const std::vector<ownership_record> &records)
{
    auto offset = from;
    for (const auto &record : records) {
        action_list actions;
        {
            const ordered_lock lock(m_shards->mutex());
            m_replay.apply(offset, record);
            const auto *state = m_replay.find(model_system::SHARD);
            m_system.checkReplay(offset, *state);
            auto &entry = *m_shards->find(model_system::SHARD);
            entry.controller.onRecord(record, *state, now(), actions);
            entry.keeper.update(entry.controller, m_clock->wall());
        }
        run(actions);
        ++offset;
    }
    const ordered_lock lock(m_shards->mutex());
    m_shards->find(model_system::SHARD)->controller.onLogRead(readStart, offset);
}

void model_instance::handleMessage(const incarnation_id &from, const coordination_message &message)
{
    action_list actions;
    {
        const ordered_lock lock(m_shards->mutex());
        m_shards->find(model_system::SHARD)->controller.onMessage(from, message, now(), actions);
    }
    run(actions);
}

void model_instance::handleRequest(const incarnation_id &from, const peer_message &message,
                                   peer_responder respond)
{
    if (const auto *admit = std::get_if<admit_request>(&message))
        m_admissions->admit(from, *admit, std::move(respond));
    else if (const auto *report = std::get_if<outcome_report>(&message))
        m_admissions->complete(*report, std::move(respond));
    else if (const auto *copy = std::get_if<ledger_copy>(&message))
        m_admissions->store(from, *copy, respond);
}

void model_instance::run(const action_list &actions)
{
    auto &network = m_system.network;
    for (const auto &action : actions.peers) {
        auto *receiver = m_system.findInstance(action.to);
        if (receiver)
            network.send(process, receiver->process,
                         [receiver, from = m_self, message = action.message] {
                             receiver->handleMessage(from, message);
                         });
    }
    for (const auto &action : actions.targets)
        sendControl(action);
    for (const auto &action : actions.appends)
        network.send(process, m_system.log, [this, record = action.record] {
            if (!m_system.isLogDown)
                m_system.append(record);
        });
}

void model_instance::sendControl(const target_action &action)
{
    auto &network = m_system.network;
    const auto sequence = action.request.sequence;
    auto isDone = std::make_shared<bool>(false);
    network.after(process, CONTROL_TIMEOUT, [this, isDone, target = action.to, sequence] {
        if (std::exchange(*isDone, true))
            return;
        const ordered_lock lock(m_shards->mutex());
        m_shards->find(model_system::SHARD)->controller.onTargetFailure(target, sequence);
    });
    auto *target = m_system.findTarget(action.to);
    if (!target)
        return;
    network.send(process, target->process, [this, target, action, isDone, sequence, self = m_self] {
        const auto reply = m_system.applyControl(*target, action.request);
        m_system.network.send(target->process, process,
                              [this, target, reply, isDone, sequence, self] {
                                  if (self != m_self || std::exchange(*isDone, true))
                                      return;
                                  action_list actions;
                                  {
                                      const ordered_lock lock(m_shards->mutex());
                                      m_shards->find(model_system::SHARD)
                                              ->controller.onTargetReply(target->id, sequence,
                                                                         reply, now(), actions);
                                  }
                                  run(actions);
                              });
    });
}

} // namespace clementinebeam::model
