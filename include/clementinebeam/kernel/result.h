#pragma once

#include "clementinebeam/kernel/errorkind.h"

#include <boost/outcome/std_result.hpp>

namespace clementinebeam {

/// A value, or the std::error_code that explains why there is none.
template <class value_type>
using result = boost::outcome_v2::std_result<value_type>;

} // namespace clementinebeam
