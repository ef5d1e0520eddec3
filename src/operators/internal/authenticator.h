#pragma once

#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/http/httptypes.h"

namespace clementinebeam {

/// Finds the department that a request's bearer token belongs to.
class authenticator
{
public:
    explicit authenticator(std::vector<department_settings> departments);

    /// @param request an operator's request.
    /// @return the department, or null; takes the same time for all wrong tokens.
    const department_settings *authenticate(const http_request &request) const;

private:
    std::vector<department_settings> m_departments;
};

} // namespace clementinebeam
