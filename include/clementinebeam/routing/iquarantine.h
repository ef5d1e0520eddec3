#pragma once

#include "clementinebeam/dispatch/crashrecord.h"
#include "clementinebeam/kernel/identifiers.h"

#include <vector>

namespace clementinebeam {

/// Tracks requests that crash their targets, so that they are not sent again. Thread-safe.
class i_quarantine
{
public:
    virtual ~i_quarantine() = default;

    /// @param service the service.
    /// @param fingerprint hash of the request's kind, key and body.
    /// @return whether the request must not be sent any more.
    virtual bool isQuarantined(const service_name &service, std::uint64_t fingerprint) const = 0;

    /// Counts the crash of a target that was running the request, seen by this or another instance.
    /// @param service the service.
    /// @param fingerprint hash of the request's kind, key and body.
    /// @param target the target; copies of the request that were lost in one crash count once.
    /// @return whether the request is a suspect; one that was answered recently is not.
    virtual bool noteCrash(const service_name &service, std::uint64_t fingerprint,
                           const target_id &target) = 0;

    /// Records that the request was answered, which shows that it does not crash its targets, and
    /// clears its crashes.
    /// @param service the service.
    /// @param fingerprint hash of the request's kind, key and body.
    virtual void noteAnswer(const service_name &service, std::uint64_t fingerprint) = 0;

    /// @return what is known, for another instance; one record for each service.
    virtual std::vector<crash_record> records() const = 0;

    /// Takes over what another instance knows; records that are not consistent are ignored.
    virtual void restore(const std::vector<crash_record> &records) = 0;
};

} // namespace clementinebeam
