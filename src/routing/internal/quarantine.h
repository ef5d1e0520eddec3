#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/routing/iquarantine.h"

#include <array>
#include <map>

namespace clementinebeam {

/// Refuses a request after two targets ended while they ran it.
///
/// Popular requests are running whenever a target ends. They are told apart by their answers: a
/// request that was answered lately is never suspected.
class quarantine : public i_quarantine
{
public:
    bool isQuarantined(const service_name &service, std::uint64_t fingerprint) const override;
    bool noteCrash(const service_name &service, std::uint64_t fingerprint,
                   const target_id &target) override;
    void noteAnswer(const service_name &service, std::uint64_t fingerprint) override;

private:
    /// Ends of targets after which a request is refused.
    static constexpr std::uint32_t CRASH_LIMIT = 2;
    /// How long a request stays refused after the last crash.
    static constexpr std::chrono::minutes MEMORY{30};
    /// Losses of one target within this time are one end of it.
    static constexpr std::chrono::milliseconds SAME_CRASH{1000};
    static constexpr std::size_t MAX_ENTRIES = 10000;
    static constexpr std::size_t ANSWERED_PLACES = 1 << 15;

    struct record {
        std::uint32_t crashes = 0;
        target_id lastTarget;
        instant lastCrash{};
    };

    using record_key = std::pair<service_name, std::uint64_t>;

    static std::uint64_t answeredKey(const service_name &service, std::uint64_t fingerprint);
    void makeRoom();

    mutable ordered_mutex m_mutex{lock_rank::RoutingTable};
    std::map<record_key, record> m_records;
    std::array<std::uint64_t, ANSWERED_PLACES>
            m_answered{}; ///< Newest answered request of each place.
};

} // namespace clementinebeam
