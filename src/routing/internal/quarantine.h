#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/routing/iquarantine.h"

#include <map>

namespace clementinebeam {

/// Refuses a request after targets crashed a few times while they ran it.
class quarantine : public i_quarantine
{
public:
    bool isQuarantined(const service_name &service, std::uint64_t fingerprint) const override;
    void noteCrash(const service_name &service, std::uint64_t fingerprint) override;

private:
    /// Crashes after which a request is refused.
    static constexpr std::uint32_t CRASH_LIMIT = 2;
    /// How long a request stays refused after the last crash.
    static constexpr std::chrono::minutes MEMORY {30};
    static constexpr std::size_t MAX_ENTRIES = 10000;

    struct record {
        std::uint32_t crashes = 0;
        instant lastCrash {};
    };

    using record_key = std::pair<service_name, std::uint64_t>;

    void makeRoom();

    mutable ordered_mutex m_mutex {lock_rank::RoutingTable};
    std::map<record_key, record> m_records;
};

} // namespace clementinebeam
