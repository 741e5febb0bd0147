#include "acaciafork/operators/Tokens.h"

#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace acaciafork::operators {

std::string tokenDigest(std::string_view token)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(),
           reinterpret_cast<unsigned char *>(digest.data()));
    return digest;
}

bool equalDigests(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<TeamName> teamOf(const state::Teams &teams, std::string_view digest)
{
    std::optional<TeamName> found;
    for (const auto &[name, team] : teams.all()) {
        if (equalDigests(team.token_digest(), digest))
            found = TeamName { name };
    }
    return found;
}

std::optional<std::string> digestFromHex(std::string_view hex)
{
    std::string digest;
    try {
        boost::algorithm::unhex(hex.begin(), hex.end(), std::back_inserter(digest));
    } catch (const boost::algorithm::hex_decode_error &) {
        return std::nullopt;
    }
    if (digest.size() != SHA256_DIGEST_LENGTH)
        return std::nullopt;
    return digest;
}

std::string hexFromDigest(std::string_view digest)
{
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.end(), std::back_inserter(hex));
    return hex;
}

} // namespace acaciafork::operators
