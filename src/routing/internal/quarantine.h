#pragma once

#include "clementinebeam/dispatch/crasharchive.h"
#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/routing/iquarantine.h"

namespace clementinebeam {

/// The quarantine of one process: a crash_history that threads share.
class quarantine : public i_quarantine
{
public:
    bool isQuarantined(const service_name &service, std::uint64_t fingerprint) const override;
    bool noteCrash(const service_name &service, std::uint64_t fingerprint,
                   const target_id &target) override;
    void noteAnswer(const service_name &service, std::uint64_t fingerprint) override;
    std::vector<crash_record> records() const override;
    void restore(const std::vector<crash_record> &records) override;

private:
    mutable ordered_mutex m_mutex{lock_rank::RoutingTable};
    crash_history m_history;
};

} // namespace clementinebeam
