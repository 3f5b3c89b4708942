#pragma once

#include <array>
#include <compare>
#include <cstdint>

#include "absl/strings/string_view.h"

namespace camphorsaddle::access {

//! \brief 128-bit keyed digest that identifies a text; without the key it reveals nothing about the text.
struct keyed_digest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    auto operator<=>(const keyed_digest&) const = default;
};

using digest_key = std::array<std::uint64_t, 4>;

//! \brief Generates a random key; each process uses a key of its own.
digest_key randomDigestKey();

//! \brief Digest of \a text: SipHash-2-4 with each of the two halves of the key.
keyed_digest computeDigest(const digest_key& key, absl::string_view text);

//! \brief 64-bit SipHash-2-4 of \a text with a 128-bit key.
std::uint64_t sipHash(std::uint64_t key0, std::uint64_t key1, absl::string_view text);

} // namespace camphorsaddle::access
