#include "access/keyed_digest.h"

#include <bit>
#include <random>

namespace camphorsaddle::access {

namespace {

    struct sip_state {
        std::uint64_t v0;
        std::uint64_t v1;
        std::uint64_t v2;
        std::uint64_t v3;

        void runRounds(int roundCount)
        {
            for (; roundCount > 0; --roundCount) {
                v0 += v1;
                v2 += v3;
                v1 = std::rotl(v1, 13) ^ v0;
                v3 = std::rotl(v3, 16) ^ v2;
                v0 = std::rotl(v0, 32);
                v2 += v1;
                v0 += v3;
                v1 = std::rotl(v1, 17) ^ v2;
                v3 = std::rotl(v3, 21) ^ v0;
                v2 = std::rotl(v2, 32);
            }
        }

        void compress(std::uint64_t word)
        {
            v3 ^= word;
            runRounds(2);
            v0 ^= word;
        }
    };

    std::uint64_t readLittleEndian(absl::string_view bytes)
    {
        std::uint64_t word = 0;
        for (std::size_t index = 0; index < bytes.size(); ++index)
            word |= std::uint64_t { static_cast<unsigned char>(bytes[index]) } << (8 * index);
        return word;
    }

} // namespace

digest_key randomDigestKey()
{
    std::random_device source;
    digest_key key {};
    for (auto& word : key)
        word = std::uint64_t { source() } << 32U | source();
    return key;
}

std::uint64_t sipHash(std::uint64_t key0, std::uint64_t key1, absl::string_view text)
{
    sip_state state { key0 ^ 0x736f6d6570736575U, key1 ^ 0x646f72616e646f6dU, key0 ^ 0x6c7967656e657261U, key1 ^ 0x7465646279746573U };
    const std::uint64_t length = text.size();
    for (; text.size() >= 8; text.remove_prefix(8))
        state.compress(readLittleEndian(text.substr(0, 8)));
    state.compress(readLittleEndian(text) | length << 56U);
    state.v2 ^= 0xffU;
    state.runRounds(4);
    return state.v0 ^ state.v1 ^ state.v2 ^ state.v3;
}

keyed_digest computeDigest(const digest_key& key, absl::string_view text)
{
    return { sipHash(key[0], key[1], text), sipHash(key[2], key[3], text) };
}

} // namespace camphorsaddle::access
