#pragma once

#include "clementinebeam/answers/answererror.h"

#include <boost/beast/http/message.hpp>

namespace clementinebeam {

/// Checks a head for what the parser accepts although HTTP/1.1 forbids it.
/// @param head a complete head, as the parser returned it.
/// @return why it is not the head of an answer; no error if it is.
std::error_code checkAnswerHead(const boost::beast::http::response_header<> &head);

} // namespace clementinebeam
