#include "clementinebeam/kernel/plaintext.h"

#include <boost/locale/utf.hpp>

namespace clementinebeam {

bool isPlainText(std::string_view text)
{
    using utf8 = boost::locale::utf::utf_traits<char>;
    constexpr boost::locale::utf::code_point FIRST_PRINTABLE = 0x20;
    constexpr boost::locale::utf::code_point DELETE = 0x7f;
    for (const auto *position = text.begin(); position != text.end();) {
        const auto character = utf8::decode(position, text.end());
        // The values that report illegal and incomplete sequences are no valid code points.
        if (!boost::locale::utf::is_valid_codepoint(character) || character < FIRST_PRINTABLE
            || character == DELETE)
            return false;
    }
    return true;
}

} // namespace clementinebeam
