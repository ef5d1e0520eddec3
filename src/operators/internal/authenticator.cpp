#include "internal/authenticator.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace clementinebeam {

namespace {

using token_digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

constexpr std::string_view SCHEME = "Bearer ";

/// Hashes a token. All digests have the same length, so that the time of a comparison does not
/// reveal the length of a token.
token_digest hashToken(std::string_view token)
{
    token_digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(), digest.data());
    return digest;
}

} // namespace

authenticator::authenticator(std::vector<department_settings> departments)
    : m_departments(std::move(departments))
{ }

const department_settings *authenticator::authenticate(const http_request &request) const
{
    const auto header = request.headers.find("Authorization");
    if (header.substr(0, SCHEME.size()) != SCHEME)
        return nullptr;
    const auto actual = hashToken(header.substr(SCHEME.size()));
    const department_settings *found = nullptr;
    for (const auto &department : m_departments) {
        const auto expected = hashToken(department.token);
        if (CRYPTO_memcmp(actual.data(), expected.data(), expected.size()) == 0)
            found = &department;
    }
    return found;
}

} // namespace clementinebeam
