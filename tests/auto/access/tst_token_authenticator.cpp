#include "access/token_authenticator.h"

#include "absl/strings/str_cat.h"
#include "access/token_hash.h"
#include "gtest/gtest.h"

// Must follow gtest, whose macros it uses.
#include "rapidcheck/gtest.h"

namespace camphorsaddle::access {

namespace {

    const utils::time_point begin { utils::seconds(100) };
    constexpr digest_key key { 1, 2, 3, 4 };

    std::map<std::string, model::team_configuration> teamsWith(const std::string& hash)
    {
        std::map<std::string, model::team_configuration> teams;
        teams["a"].tokenHashes = { hash };
        teams["none"] = {};
        return teams;
    }

    TEST(tokenHash, IsSaltedAndVerifiesOnlyItsToken)
    {
        const std::string token = "a:0123456789abcdef";
        const auto hash = hashToken(token);
        ASSERT_TRUE(hash.ok());
        EXPECT_EQ(hash->rfind("$argon2id$", 0), 0U);
        EXPECT_NE(*hash, *hashToken(token));
        EXPECT_TRUE(verifyToken(*hash, token));
        EXPECT_FALSE(verifyToken(*hash, "a:0123456789abcdeg"));
        EXPECT_FALSE(verifyToken("$argon2id$x", token));
        for (const auto* wrong : { "", "a:short", ":0123456789abcdef", "0123456789abcdefgh" })
            EXPECT_TRUE(absl::IsInvalidArgument(hashToken(wrong).status())) << wrong;
    }

    // Test vector of the SipHash paper: key 00..0f, text 00..0e.
    TEST(keyedDigest, MatchesThePublishedTestVector)
    {
        std::string text;
        for (char byte = 0; byte < 15; ++byte)
            text.push_back(byte);
        EXPECT_EQ(sipHash(0x0706050403020100U, 0x0f0e0d0c0b0a0908U, text), 0xa129ca6149be45e5U);
    }

    TEST(tokenAuthenticator, VerifiesOnceUntilTheHashesChange)
    {
        token_authenticator authenticator({}, key);
        EXPECT_TRUE(authenticator.allowsAnonymousAccess());
        authenticator.setTeams(teamsWith("h"));
        EXPECT_FALSE(authenticator.allowsAnonymousAccess());
        EXPECT_EQ(authenticator.check("none:x", "p", begin), token_verdict::Unknown);
        EXPECT_EQ(authenticator.check("a:x", "p", begin), token_verdict::Pending);
        EXPECT_EQ(authenticator.check("a:x", "p", begin), token_verdict::Pending);
        const auto verification = authenticator.startNextVerification();
        ASSERT_TRUE(verification);
        EXPECT_FALSE(authenticator.startNextVerification());
        authenticator.finishVerification(verification->digest, verification->generation, true);
        EXPECT_EQ(authenticator.check("a:x", "p", begin), token_verdict::Known);
        authenticator.setTeams(teamsWith("h"));
        EXPECT_EQ(authenticator.check("a:x", "p", begin), token_verdict::Known);
        authenticator.setTeams(teamsWith("other"));
        EXPECT_EQ(authenticator.check("a:x", "p", begin), token_verdict::Pending);
        authenticator.finishVerification(verification->digest, verification->generation, true);
        EXPECT_EQ(authenticator.check("a:x", "p", begin), token_verdict::Pending);
    }

    TEST(tokenAuthenticator, LimitsVerificationsPerAddressAndInTotal)
    {
        token_authenticator authenticator({}, key);
        authenticator.setTeams(teamsWith("h"));
        int pending = 0;
        for (int number = 0; number < 100; ++number)
            pending += static_cast<int>(authenticator.check(absl::StrCat("a:", number), "p", begin) == token_verdict::Pending);
        EXPECT_EQ(pending, 8);
        EXPECT_EQ(authenticator.check("a:new", "p", begin + utils::milliseconds(500)), token_verdict::Pending);
        for (int number = 0; number < 100; ++number)
            pending += static_cast<int>(authenticator.check(absl::StrCat("a:other", number), absl::StrCat("q", number), begin) == token_verdict::Pending);
        EXPECT_EQ(pending + 1, 16);
    }

    // docs/TESTING.md, "access", lists the mutations of the code that this test detects.
    RC_GTEST_PROP(tokenAuthenticator, AcceptsOnlyVerifiedTokensAndLimitsVerifications, (const std::vector<std::uint8_t>& steps))
    {
        token_authenticator authenticator({}, key);
        std::string secret = "0";
        authenticator.setTeams(teamsWith(secret));
        std::optional<token_verification> running;
        std::size_t verificationCount = 0;
        auto now = begin;
        for (const auto step : steps) {
            now += utils::milliseconds(10);
            const auto token = absl::StrCat("a:", step % 4);
            if (step < 128) {
                const bool isValid = token == absl::StrCat("a:", secret);
                const auto verdict = authenticator.check(token, "p", now);
                RC_ASSERT(verdict != token_verdict::Known || isValid);
                RC_ASSERT(verdict != token_verdict::Unknown || !isValid);
            } else if (step < 224) {
                if (running)
                    authenticator.finishVerification(running->digest, running->generation, running->token == absl::StrCat("a:", running->hashes.front()));
                running = authenticator.startNextVerification();
                verificationCount += running ? 1 : 0;
            } else {
                secret = absl::StrCat(step % 4);
                authenticator.setTeams(teamsWith(secret));
            }
        }
        RC_ASSERT(verificationCount <= 8U + static_cast<std::size_t>((now - begin) / utils::milliseconds(500)) + 1U);
    }

} // namespace

} // namespace camphorsaddle::access
