#pragma once

#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/http/httptypes.h"

namespace clementinebeam {

/// Identifies the department of an operator by the bearer token of the request.
class authenticator
{
public:
    /// @param departments all departments with their tokens.
    explicit authenticator(std::vector<department_settings> departments);

    /// @param request an operator's request.
    /// @return the department, owned by this object, or null if the token is missing or unknown.
    ///         The time taken does not depend on how much of a token is right.
    const department_settings *authenticate(const http_request &request) const;

private:
    std::vector<department_settings> m_departments;
};

} // namespace clementinebeam
