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

    /// Counts a crash that this or another instance saw.
    virtual void noteCrash(const service_name &service, std::uint64_t fingerprint) = 0;
};

} // namespace clementinebeam
