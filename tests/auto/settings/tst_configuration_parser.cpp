#include "settings/configuration_parser.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "auto/settings/sample_files.h"
#include "nlohmann/json.hpp"
#include "gtest/gtest.h"

// Must be included after gtest.h, whose macros it uses.
#include "rapidcheck/gtest.h"

namespace camphorsaddle::settings {

namespace {

    using nlohmann::json;

    named_document pregonBase()
    {
        return { "base", readSourceFile("share/pregon-unido/base.json") };
    }

    struct sample_deployment {
        std::string folder;
        std::vector<std::string> sites;
    };

    class sample_configuration : public testing::TestWithParam<sample_deployment> { };

    TEST_P(sample_configuration, IsValidWithEveryOverlayAndRoundTrips)
    {
        const std::string folder = "share/" + GetParam().folder;
        const named_document base { "base", readSourceFile(folder + "/base.json") };
        std::vector<named_document> overlays;
        for (const std::string& site : GetParam().sites)
            overlays.push_back({ site, readSourceFile(absl::StrCat(folder, "/overlays/", site, ".json")) });
        const auto errors = checkConfiguration(base, overlays);
        ASSERT_TRUE(errors.empty()) << describe(errors.front());
        for (const named_document& overlay : overlays) {
            ASSERT_FALSE(overlay.text.empty());
            const auto merged = parseConfiguration(base, overlay);
            ASSERT_TRUE(merged.ok());
            EXPECT_EQ(merged->services.size(), 2U);
            EXPECT_EQ(readConfiguration(renderConfiguration(*merged), "r").value, *merged);
        }
    }

    INSTANTIATE_TEST_SUITE_P(deployments, sample_configuration, testing::Values(sample_deployment { "pregon-unido", { "vc-1", "vc-2", "pac-1" } }, sample_deployment { "liffey", { "dub-1", "dub-2", "crk-1" } }));

    struct bad_overlay {
        std::string overlay;
        setting_error expected;
    };

    class bad_overlays : public testing::TestWithParam<bad_overlay> { };

    TEST_P(bad_overlays, AreReportedWithKeyValueAndBound)
    {
        const auto errors = checkConfiguration(pregonBase(), { { "vc-1", "" }, { "o", GetParam().overlay } });
        ASSERT_EQ(errors.size(), 1U);
        EXPECT_EQ(errors.front(), GetParam().expected) << describe(errors.front());
        EXPECT_FALSE(parseConfiguration(pregonBase(), { "o", GetParam().overlay }).ok());
    }

    const bad_overlay badOverlays[] = {
        { R"({"surprise":1})", { "o", "surprise", "1", "unknown key" } },
        { R"({"services":{"renewals":{"prio":1}}})", { "o", "services.renewals.prio", "1", "unknown key" } },
        { R"({"services":{"Bad Name":{}}})", { "o", "services.Bad Name", "", "must be a name of 1 to 63 lower-case letters, digits, '-' or '_'" } },
        { R"({"services":{"renewals":4}})", { "o", "services.renewals", "4", "must be an object" } },
        { R"({"teams":4})", { "o", "teams", "4", "must be an object" } },
        { R"({"services":{"renewals":{"retry_budget":1.5}}})", { "o", "services.renewals.retry_budget", "1.5", "must be within 0 to 1 share of requests" } },
        { R"({"services":{"renewals":{"latency_target_ms":1001}}})", { "o", "services.renewals.latency_target_ms", "1001", "must be at most deadline_ms, 1000 ms" } },
        { R"({"services":{"grants":{"hedging":true}}})", { "o", "services.grants.hedging", "true", "requires repeatable to be true" } },
        { R"({"services":{"grants":{"replicas":1}}})", { "o", "services.grants.spread", "2", "must be at most replicas, 1" } },
        { R"({"batch_kinds":{"pitch_review":{"size":{"processors_milli":0}}}})", { "o", "batch_kinds.pitch_review.size.processors_milli", "0", "must be within 1 to 1000000000 thousandths of a core" } },
        { R"({"batch_kinds":{"pitch_review":{"size":{"memory_mib":-5}}}})", { "o", "batch_kinds.pitch_review.size.memory_mib", "-5", "must be within 1 to 1000000000 MiB" } },
        { R"({"teams":{"councils":{"rights":["fly"]}}})", { "o", "teams.councils.rights", "[\"fly\"]", "fly is not one of submit, cancel, configure, observe, operate" } },
        { R"({"teams":{"councils":{"rights":["submit","submit"]}}})", { "o", "teams.councils.rights", "[\"submit\",\"submit\"]", "contains submit more than once" } },
        { R"({"teams":{"councils":{"token_hashes":["plain"]}}})", { "o", "teams.councils.token_hashes", "", "every hash must start with $argon2id$" } },
        { R"({"teams":{"councils":{"token_hashes":["$argon2id$x"]},"festivals":{"token_hashes":["$argon2id$x"]}}})", { "o", "teams.festivals.token_hashes", "\"$argon2id$x\"", "is also a token hash of team councils" } },
        { R"({"teams":{"councils":{"quota":{"processors_milli":100,"accelerators":0}}}})", { "o", "teams.councils.quota", R"({"accelerators":0,"memory_mib":800000,"processors_milli":100})", "must be large enough for a task of at least one batch kind" } },
        { R"({"weights":{"tail":0,"throughput":0,"evictions":0}})", { "o", "weights", "", "at least one weight must be greater than 0" } },
        { R"({"weights":{"tail":null}})", { "o", "weights.tail", "null", "null is only allowed to remove an entry of services, batch_kinds or teams" } },
        { R"({"services":null})", { "o", "services", "null", "null is only allowed to remove an entry of services, batch_kinds or teams" } },
        { R"({"services":{"ghosts":null}})", { "o", "services.ghosts", "null", "removes an entry that does not exist in the base" } },
        { "[]", { "o", "", "[]", "must be an object" } },
    };

    INSTANTIATE_TEST_SUITE_P(table, bad_overlays, testing::ValuesIn(badOverlays));

    TEST(configuration_merge, AppliesOnlyTheDifferencesInTheOverlay)
    {
        const auto merged = parseConfiguration(pregonBase(), { "o", R"({"services":{"grants":null,"renewals":{"replicas":5}}})" });
        ASSERT_TRUE(merged.ok());
        model::configuration expected = readConfiguration(pregonBase().text, "base").value;
        expected.services.erase("grants");
        expected.services.at("renewals").replicas = 5;
        EXPECT_EQ(*merged, expected);
    }

    TEST(configuration_check, ReportsErrorsOfTheBaseOnceAndOfEveryOverlay)
    {
        json base = json::parse(pregonBase().text);
        base["surprise"] = 1;
        const auto errors = checkConfiguration({ "base", base.dump() }, { { "a", R"({"other":1})" }, { "b", "{" }, { "c", "{}" } });
        ASSERT_EQ(errors.size(), 3U);
        EXPECT_EQ(errors[0].file, "base");
        EXPECT_EQ(errors[1].file, "a");
        EXPECT_EQ(errors[2].file, "b");
        EXPECT_EQ(checkConfiguration({ "base", "{" }, { { "b", "{" } }).size(), 2U);
    }

    RC_GTEST_PROP(configuration_properties, AnyTextResultsInErrorsOrAValue, (const std::string& text))
    {
        const auto read = readConfiguration(text, "f");
        RC_ASSERT(!read.errors.empty() || read.value.services.empty());
        RC_ASSERT(checkConfiguration({ "f", text }, { { "o", text } }).size() >= read.errors.size());
    }

    RC_GTEST_PROP(configuration_properties, CorruptOverlayNeverCrashes, ())
    {
        std::string text = readSourceFile("share/pregon-unido/overlays/pac-1.json");
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(position, *rc::gen::inRange<std::size_t>(0, 12), *rc::gen::arbitrary<std::string>());
        const bool isAccepted = parseConfiguration(pregonBase(), { "o", text }).ok();
        RC_ASSERT(isAccepted == checkConfiguration(pregonBase(), { { "o", text } }).empty());
    }

    model::configuration arbitraryConfiguration()
    {
        model::configuration value;
        for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
            auto& service = value.services["service-" + std::to_string(i)];
            service.priority = *rc::gen::inRange(0, 101);
            service.repeatable = service.hedging = *rc::gen::arbitrary<bool>();
            service.retryBudget = *rc::gen::inRange(0, 1001) / 1000.0;
            service.size = { *rc::gen::inRange(1, 64000), *rc::gen::inRange(1, 250000), *rc::gen::inRange(0, 9) };
            auto& team = value.teams["team-" + std::to_string(i)];
            team.quota = { *rc::gen::inRange(1, 64000), *rc::gen::inRange(1, 250000), 0 };
            team.rights = { model::team_right::Cancel, *rc::gen::element(model::team_right::Submit, model::team_right::Configure) };
        }
        return value;
    }

    RC_GTEST_PROP(configuration_properties, RenderedConfigurationParsesToTheSameValue, ())
    {
        const model::configuration value = arbitraryConfiguration();
        const auto read = readConfiguration(renderConfiguration(value), "f");
        RC_ASSERT(read.errors.empty());
        RC_ASSERT(read.value == value);
    }

    RC_GTEST_PROP(configuration_properties, EmptyOverlayChangesNothing, ())
    {
        const std::string base = renderConfiguration(arbitraryConfiguration());
        const auto merged = mergeOverlay(base, "{}");
        RC_ASSERT(merged.ok());
        RC_ASSERT(*merged == base);
        RC_ASSERT(parseConfiguration({ "b", base }, { "o", "{}" }).value() == readConfiguration(base, "b").value);
        RC_ASSERT(parseConfiguration({ "b", base }, { "o", "" }).value() == readConfiguration(base, "b").value);
    }

} // namespace

} // namespace camphorsaddle::settings
