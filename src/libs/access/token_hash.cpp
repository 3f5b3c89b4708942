#include "access/token_hash.h"

#include <argon2.h>

#include <array>
#include <cstdint>
#include <random>

#include "utils/errors.h"

namespace camphorsaddle::access {

namespace {

    // Parameters of argon2id.
    constexpr std::uint32_t passes = 2;
    constexpr std::uint32_t memoryKib = 19456;
    constexpr std::uint32_t lanes = 1;
    constexpr std::size_t hashBytes = 32;
    constexpr std::size_t maximumEncodedSize = 160;
    constexpr std::size_t minimumSecretSize = 16;

    std::array<std::uint32_t, 4> randomSalt()
    {
        std::random_device source;
        return { source(), source(), source(), source() };
    }

} // namespace

std::string teamOfToken(absl::string_view token)
{
    const auto end = token.find(':');
    return end == absl::string_view::npos ? std::string() : std::string(token.substr(0, end));
}

absl::StatusOr<std::string> hashToken(const std::string& token)
{
    const auto team = teamOfToken(token);
    if (team.empty() || token.size() < team.size() + 1 + minimumSecretSize || token.size() > maximumTokenSize)
        return utils::makeError(absl::StatusCode::kInvalidArgument, "hash a token", "", "a token must have the form TEAM:SECRET with a secret of at least 16 bytes and at most 256 bytes in total");
    const auto salt = randomSalt();
    std::array<char, maximumEncodedSize> encoded {};
    const int code = argon2id_hash_encoded(passes, memoryKib, lanes, token.data(), token.size(), salt.data(), sizeof(salt), hashBytes, encoded.data(), encoded.size());
    if (code != ARGON2_OK)
        return utils::makeError(absl::StatusCode::kInternal, "hash a token", "", argon2_error_message(code));
    return std::string(encoded.data());
}

bool verifyToken(const std::string& hash, const std::string& token)
{
    return argon2id_verify(hash.c_str(), token.data(), token.size()) == ARGON2_OK;
}

} // namespace camphorsaddle::access
