#pragma once

#include "clementinebeam/kernel/identifiers.h"

namespace clementinebeam {

/// Requests after which targets crashed.
class i_quarantine
{
public:
    virtual ~i_quarantine() = default;

    /// @param service the service.
    /// @param fingerprint hash of the request's kind, key and body.
    /// @return whether the request must not be sent any more.
    virtual bool isQuarantined(const service_name &service, std::uint64_t fingerprint) const = 0;

    /// Counts the end of a target that ran the request, as this or another instance saw it.
    /// @param service the service.
    /// @param fingerprint hash of the request's kind, key and body.
    /// @param target the target; several requests that were lost with it count once.
    /// @return whether the request is under suspicion now; one that was answered lately is not.
    virtual bool noteCrash(const service_name &service, std::uint64_t fingerprint,
                           const target_id &target) = 0;

    /// Notes that the request was answered, so it does not crash its targets.
    virtual void noteAnswer(const service_name &service, std::uint64_t fingerprint) = 0;
};

} // namespace clementinebeam
