#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/routing/iquarantine.h"

#include <array>
#include <map>

namespace clementinebeam {

/// Refuses a request after two crashes of targets that were running it.
///
/// A frequent request is usually running when a target crashes for another reason. A request that
/// was answered recently is therefore never a suspect.
class quarantine : public i_quarantine
{
public:
    bool isQuarantined(const service_name &service, std::uint64_t fingerprint) const override;
    bool noteCrash(const service_name &service, std::uint64_t fingerprint,
                   const target_id &target) override;
    void noteAnswer(const service_name &service, std::uint64_t fingerprint) override;

private:
    /// Crashes after which a request is refused.
    static constexpr std::uint32_t CRASH_LIMIT = 2;
    /// How long a request stays refused after the last crash.
    static constexpr std::chrono::minutes QUARANTINE_DURATION{30};
    /// Losses of the same target within this time count as one crash.
    static constexpr std::chrono::milliseconds SAME_CRASH_WINDOW{1000};
    static constexpr std::size_t MAX_RECORDS = 10000;
    static constexpr std::size_t ANSWERED_TABLE_SIZE = 1 << 15;

    struct crash_record {
        std::uint32_t crashes = 0;
        target_id lastTarget;
        instant lastCrash{};
    };

    using request_key = std::pair<service_name, std::uint64_t>;

    static std::uint64_t answeredKey(const service_name &service, std::uint64_t fingerprint);
    void evictOldestIfFull();

    mutable ordered_mutex m_mutex{lock_rank::RoutingTable};
    std::map<request_key, crash_record> m_records;
    std::array<std::uint64_t, ANSWERED_TABLE_SIZE>
            m_answered{}; ///< Hash table of answered requests; a collision overwrites.
};

} // namespace clementinebeam
