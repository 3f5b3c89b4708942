#include "settings/process_settings.h"

#include <algorithm>

#include "auto/settings/sample_files.h"
#include "nlohmann/json.hpp"
#include "utils/errors.h"
#include "gtest/gtest.h"

// After gtest, whose macros it needs.
#include "rapidcheck/gtest.h"

namespace camphorsaddle::settings {

namespace {

    using nlohmann::json;

    json sample()
    {
        return json::parse(readSourceFile("share/pregon-unido/settings-vc-1.json"));
    }

    class sample_settings : public testing::TestWithParam<std::string> { };

    TEST_P(sample_settings, AreValidAndSurviveRendering)
    {
        const auto read = readProcessSettings(readSourceFile(GetParam()), GetParam());
        ASSERT_TRUE(read.errors.empty()) << describe(read.errors.front());
        EXPECT_EQ(read.value.cluster.leaseDuration, utils::milliseconds(3500));
        EXPECT_EQ(read.value.cluster.storeWritesPerSecond, 150);
        EXPECT_EQ(readProcessSettings(renderProcessSettings(read.value), "rendered"), read);
    }

    INSTANTIATE_TEST_SUITE_P(files, sample_settings, testing::Values("share/pregon-unido/settings-vc-1.json", "share/pregon-unido/settings-vc-2.json", "share/pregon-unido/settings-pac-1.json", "share/liffey/settings-dub-1.json", "share/liffey/settings-dub-2.json", "share/liffey/settings-crk-1.json"));

    struct bad_setting {
        //! JSON merge patch on the sample.
        std::string patch;
        setting_error expected;
    };

    class bad_settings : public testing::TestWithParam<bad_setting> { };

    TEST_P(bad_settings, AreNamedWithKeyValueAndBound)
    {
        json changed = sample();
        changed.merge_patch(json::parse(GetParam().patch));
        const auto errors = readProcessSettings(changed.dump(), "f").errors;
        ASSERT_EQ(errors.size(), 1U);
        EXPECT_EQ(errors.front(), GetParam().expected) << describe(errors.front());
    }

    const bad_setting badSettings[] = {
        { R"({"surprise":1})", { "f", "surprise", "1", "unknown key" } },
        { R"({"gateway":{"prt":1}})", { "f", "gateway.prt", "1", "unknown key" } },
        { R"({"log":3})", { "f", "log", "3", "must be an object" } },
        { R"({"deployment":null})", { "f", "deployment", "", "required key is missing" } },
        { R"({"deployment":"Not A Name"})", { "f", "deployment", "\"Not A Name\"", "must be a name of 1 to 63 lower-case letters, digits, '-' or '_'" } },
        { R"({"gateway":{"port":"80"}})", { "f", "gateway.port", "\"80\"", "must be an integer" } },
        { R"({"gateway":{"port":80.5}})", { "f", "gateway.port", "80.5", "must be an integer" } },
        { R"({"gateway":{"port":70000}})", { "f", "gateway.port", "70000", "must be within 1 to 65535" } },
        { R"({"gateway":{"port":18446744073709551615}})", { "f", "gateway.port", "18446744073709551615", "must be within 1 to 65535" } },
        { R"({"gateway":{"address":"localhost"}})", { "f", "gateway.address", "\"localhost\"", "must be an IP number" } },
        { R"({"store_url":"ftp://x"})", { "f", "store_url", "\"ftp://x\"", "must start with http:// or https://" } },
        { R"({"cluster":{"lease_term_ms":999}})", { "f", "cluster.lease_term_ms", "999", "must be within 1000 to 10000 ms" } },
        { R"({"cluster":{"lease_term_ms":10001}})", { "f", "cluster.lease_term_ms", "10001", "must be within 1000 to 10000 ms" } },
        { R"({"cluster":{"batch_shards":65}})", { "f", "cluster.batch_shards", "65", "must be within 1 to 64 per data centre" } },
        { R"({"cluster":{"data_centres":[]}})", { "f", "cluster.data_centres", "[]", "must be a list of 1 to 64 objects" } },
        { R"({"cluster":{"data_centres":[7]}})", { "f", "cluster.data_centres.0", "7", "must be an object" } },
        { R"({"cluster":{"data_centres":[{"name":"vc-1"}]}})", { "f", "cluster.data_centres.0.region", "", "required key is missing" } },
        { R"({"cluster":{"data_centres":[{"name":"vc-1","region":"valle-central"},{"name":"vc-1","region":"valle-central"}]}})", { "f", "cluster.data_centres", "\"vc-1\"", "is stated twice" } },
        { R"({"data_centre":"vc-9"})", { "f", "data_centre", "\"vc-9\"", "must be one of cluster.data_centres" } },
        { R"({"region":"pacifico"})", { "f", "region", "\"pacifico\"", "must be valle-central, which cluster.data_centres states for vc-1" } },
        { R"({"cluster":{"renewal_interval_ms":20000}})", { "f", "cluster.renewal_interval_ms", "20000", "must be below cluster.worker_lease_ms, 20000 ms" } },
        { R"({"cluster":{"renewal_horizon_ms":2000}})", { "f", "cluster.renewal_horizon_ms", "2000", "must be at least cluster.worker_lease_ms, 20000 ms" } },
        { R"({"cluster":{"heartbeat_interval_ms":5000}})", { "f", "cluster.heartbeat_interval_ms", "5000", "must be below cluster.lease_term_ms, 3500 ms" } },
        { R"({"administration":{"port":7101}})", { "f", "administration.port", "7101", "must differ from gateway.port" } },
        { R"({"peer":{"port":7201}})", { "f", "peer.port", "7201", "must differ from gateway.port and administration.port" } },
    };

    INSTANTIATE_TEST_SUITE_P(table, bad_settings, testing::ValuesIn(badSettings));

    class bad_documents : public testing::TestWithParam<std::string> { };

    TEST_P(bad_documents, GiveOneErrorForTheWholeFile)
    {
        const auto errors = readProcessSettings(GetParam(), "f").errors;
        ASSERT_EQ(errors.size(), 1U);
        EXPECT_EQ(errors.front().file, "f");
        EXPECT_EQ(errors.front().key, "");
    }

    INSTANTIATE_TEST_SUITE_P(table, bad_documents, testing::Values("", "{", "[]", "null", "1e999", "{\"a\":\"\xff\"}", std::string(100000, '['), std::string(1000001, ' ')));

    TEST(process_settings_errors, AreAllCollected)
    {
        json changed = sample();
        changed.merge_patch(json::parse(R"({"surprise":1,"region":2,"gateway":{"port":0},"store_url":null})"));
        EXPECT_EQ(readProcessSettings(changed.dump(), "f").errors.size(), 4U);
        const auto status = parseProcessSettings(changed.dump(), "f").status();
        EXPECT_EQ(status.code(), absl::StatusCode::kInvalidArgument);
        EXPECT_EQ(utils::errorPeer(status), "f");
        EXPECT_EQ(std::count(status.message().begin(), status.message().end(), '\n'), 3);
    }

    TEST(process_settings_errors, NameRepeatedKeys)
    {
        const auto errors = readProcessSettings(R"({"region":"a","region":"b"})", "f").errors;
        const auto isTwice = [](const setting_error& error) {
            return error.message == "key is stated twice in one object";
        };
        EXPECT_TRUE(std::any_of(errors.begin(), errors.end(), isTwice));
    }

    RC_GTEST_PROP(process_settings_properties, AnyTextGivesErrorsOrAValue, (const std::string& text))
    {
        RC_ASSERT(!readProcessSettings(text, "f").errors.empty());
    }

    RC_GTEST_PROP(process_settings_properties, DamagedFileNeverCrashesAndSurvivesRenderingWhenAccepted, ())
    {
        std::string text = sample().dump();
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(position, *rc::gen::inRange<std::size_t>(0, 12), *rc::gen::arbitrary<std::string>());
        const auto read = readProcessSettings(text, "f");
        if (read.errors.empty())
            RC_ASSERT(readProcessSettings(renderProcessSettings(read.value), "f") == read);
    }

} // namespace

} // namespace camphorsaddle::settings
