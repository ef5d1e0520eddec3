#pragma once

#include "clementinebeam/keyspace/keycoordinator.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace clementinebeam {

/// What goes wrong in a run of the model.
struct model_faults {
    double lostAnswers = 0.03;  ///< Share of orders that are carried out without an answer.
    double lateOrders = 0.02;   ///< Share of orders that are carried out seconds later.
    double cutsPerMinute = 6.0; ///< Of an instance from the store or from a target.
    double freezesPerMinute = 2.0;
    double restartsPerMinute = 4.0; ///< Of targets.
    double takeoversPerMinute = 5.0;
    double outagesPerMinute = 1.0; ///< Of the store.
};

/// Several coordinators, targets with clocks of their own and a store, in virtual time.
///
/// Checks that no two targets hold a key at once and that tokens rise with each change of owner.
class key_model
{
public:
    /// @param seed decides the run.
    /// @param faults what goes wrong.
    /// @param settings times of the coordinators.
    key_model(std::uint64_t seed, const model_faults &faults, const coordinator_settings &settings);

    /// Runs the model.
    /// @param length virtual time.
    /// @return the first violation, or an empty text.
    std::string run(std::chrono::seconds length);

    /// @return grants that targets accepted.
    std::size_t grantCount() const { return m_grantCount; }

    /// @return how often the coordinator changed.
    std::size_t takeoverCount() const { return m_takeoverCount; }

private:
    static constexpr std::size_t SAMPLES = 64; ///< Keys at which holds are checked.

    struct sample_hold {
        instant until{};
        fence_number fence = 0; ///< Highest token seen in this life.
        bool isHeld = false;
    };

    struct model_target {
        target_id id;
        std::uint64_t incarnation = 1;
        double clockRate = 1.0; ///< Real time per time that its clock shows.
        bool isUp = true;
        bool isListed = true;
        bool isLeaving = false;
        std::vector<sample_hold> holds = std::vector<sample_hold>(SAMPLES);
    };

    /// A connection of an instance to one life of a target.
    struct connection {
        instant openedAt{};
        std::uint64_t incarnation = 0;
    };

    struct model_instance {
        std::unique_ptr<key_coordinator> coordinator;
        std::uint64_t term = 0;
        instant frozenUntil{};
        instant storeCutUntil{};
        std::map<target_id, instant> targetCutUntil;
        std::map<target_id, connection> connections;
        succession succeeded;
        std::uint64_t seenTerm = 0;
        instant nextRead{};
    };

    struct event {
        instant at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    bool chance(double share);
    std::chrono::milliseconds between(int least, int most);
    void after(std::chrono::milliseconds delay, std::function<void()> run);
    void inject();
    void step();
    void stepInstance(std::size_t index);
    void noteRequests(key_coordinator &coordinator);
    void readStore(std::size_t index);
    void claim(std::size_t index);
    void store(std::size_t index, const ownership_record &record);
    void sendGrant(std::size_t index, const grant_order &order);
    void sendRelease(std::size_t index, const release_order &order);
    order_result applyGrant(model_target &target, const grant_order &order, instant arrival,
                            std::uint64_t incarnation);
    bool canReach(std::size_t index, const target_id &target) const;
    bool canReachStore(std::size_t index) const;
    model_target *find(const target_id &id);
    std::vector<key_holder> listing() const;
    void check();

    std::mt19937_64 m_random;
    model_faults m_faults;
    coordinator_settings m_settings;
    instant m_now{std::chrono::seconds(1000)};
    std::vector<model_target> m_targets;
    std::vector<model_instance> m_instances;
    std::vector<event> m_events; ///< A heap.
    std::uint64_t m_eventCount = 0;
    ownership_record m_stored;
    std::uint64_t m_end = 0;
    instant m_outageUntil{};
    std::map<std::size_t, fence_number> m_lastFence; ///< By sample: token of the last owner.
    std::map<std::size_t, target_id> m_lastOwner;
    std::string m_violation;
    std::size_t m_grantCount = 0;
    std::size_t m_takeoverCount = 0;
};

} // namespace clementinebeam
