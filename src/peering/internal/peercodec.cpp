#include "clementinebeam/peering/peercodec.h"

#include "clementinebeam/kernel/binarycodec.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace clementinebeam {

namespace {

constexpr std::size_t VERSION_BYTES = 2;
constexpr std::size_t AUTHENTICATION_CODE_BYTES = 32;
constexpr std::size_t HEADER_BYTES = VERSION_BYTES + AUTHENTICATION_CODE_BYTES;
constexpr unsigned BITS_PER_BYTE = 8;

using authentication_code = std::array<unsigned char, AUTHENTICATION_CODE_BYTES>;

authentication_code authenticate(std::string_view bytes, std::string_view key)
{
    authentication_code code{};
    unsigned length = AUTHENTICATION_CODE_BYTES;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), code.data(), &length);
    return code;
}

std::string versionBytes()
{
    return {static_cast<char>(PEER_PROTOCOL_VERSION >> BITS_PER_BYTE),
            static_cast<char>(PEER_PROTOCOL_VERSION & 0xff)};
}

} // namespace

std::string encodePeerMessage(const peer_envelope &envelope, std::string_view key)
{
    const auto body = encodeBinary(envelope);
    const auto code = authenticate(body, key);
    auto bytes = versionBytes();
    bytes.append(reinterpret_cast<const char *>(code.data()), code.size());
    return bytes + body;
}

result<peer_envelope> decodePeerBody(std::string_view bytes)
{
    return decodeBinary<peer_envelope>(std::string(bytes));
}

result<peer_envelope> decodePeerMessage(std::string_view bytes, std::string_view key)
{
    if (bytes.size() > MAX_PEER_MESSAGE_BYTES)
        return make_error_code(error_kind::TooLarge);
    if (bytes.size() < HEADER_BYTES)
        return make_error_code(error_kind::BadMessage);
    if (bytes.substr(0, VERSION_BYTES) != versionBytes())
        return make_error_code(error_kind::MessageVersion);
    const auto body = bytes.substr(HEADER_BYTES);
    const auto code = authenticate(body, key);
    if (CRYPTO_memcmp(code.data(), bytes.data() + VERSION_BYTES, AUTHENTICATION_CODE_BYTES) != 0)
        return make_error_code(error_kind::MessageUnauthenticated);
    return decodePeerBody(body);
}

} // namespace clementinebeam
