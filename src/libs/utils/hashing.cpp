#include "utils/hashing.h"

namespace camphorsaddle::utils {

namespace {

    constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
    constexpr std::uint64_t fnvPrime = 1099511628211ULL;

    // Finalizer of SplitMix64: short names differ in few bits, and it distributes them over all bits of the hash.
    std::uint64_t mix(std::uint64_t value)
    {
        value ^= value >> 30;
        value *= 0xbf58476d1ce4e5b9ULL;
        value ^= value >> 27;
        value *= 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

} // namespace

std::uint64_t stableHash(absl::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = fnvOffset ^ mix(seed);
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnvPrime;
    }
    return mix(hash);
}

} // namespace camphorsaddle::utils
