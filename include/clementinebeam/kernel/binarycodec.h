#pragma once

#include "clementinebeam/kernel/boundedarchive.h"
#include "clementinebeam/kernel/result.h"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <string>

namespace clementinebeam {

/// @param value any type that cereal can serialize.
/// @return its encoding in cereal's portable binary format.
template <class value_type>
std::string encodeBinary(const value_type &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return stream.str();
}

/// @param bytes the output of encodeBinary() for the same type.
/// @return the value, or BadMessage if the bytes cannot be decoded; trailing bytes are ignored.
template <class value_type>
result<value_type> decodeBinary(const std::string &bytes)
{
    try {
        bounded_input_archive archive(bytes);
        value_type value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        return make_error_code(error_kind::BadMessage);
    }
}

} // namespace clementinebeam
