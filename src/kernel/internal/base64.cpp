#include "clementinebeam/kernel/base64.h"

#include <openssl/evp.h>

namespace clementinebeam {

namespace {

constexpr std::size_t BYTES_PER_GROUP = 3;
constexpr std::size_t CHARACTERS_PER_GROUP = 4;

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    const auto groupCount = (bytes.size() + BYTES_PER_GROUP - 1) / BYTES_PER_GROUP;
    std::string text(groupCount * CHARACTERS_PER_GROUP + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       asBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

result<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % CHARACTERS_PER_GROUP != 0)
        return make_error_code(error_kind::BadMessage);
    std::string bytes(text.size() / CHARACTERS_PER_GROUP * BYTES_PER_GROUP + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       asBytes(text), static_cast<int>(text.size()));
    if (length < 0)
        return make_error_code(error_kind::BadMessage);
    auto size = static_cast<std::size_t>(length);
    for (auto character = text.rbegin(); character != text.rend() && *character == '=' && size > 0;
         ++character)
        --size;
    bytes.resize(size);
    return bytes;
}

} // namespace clementinebeam
