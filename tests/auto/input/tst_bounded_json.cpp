#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <limits>

#include "input/bounded_json.h"

using namespace camphorsaddle;
using nlohmann::json;

namespace {

constexpr input::document_limits limits { 1'000, 4, true };

std::string errorOf(const std::function<void()>& read)
{
    try {
        read();
    } catch (const input::input_error& failure) {
        return failure.what();
    }
    return {};
}

struct document_case {
    const char* name;
    std::string text;
    std::string error;
};

class document : public testing::TestWithParam<document_case> {
};

struct number_case {
    const char* text;
    bool isAccepted;
};

class whole_number : public testing::TestWithParam<number_case> {
};

class endpoint_text : public testing::TestWithParam<number_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Documents, document,
    testing::Values(document_case { "empty", "", "is not JSON at byte 1 of 0" }, document_case { "object", "{}", "" }, document_case { "deepest", R"({"a":[[[1]]]})", "" }, document_case { "tooDeep", R"({"a":[[[[1]]]]})", "is nested more than 4 deep" },
        document_case { "bracketsInText", R"({"a":"[[[[[[\"[[["})", "" }, document_case { "siblings", R"({"a":[[],[],[],[],[],[]]})", "" }, document_case { "tooLong", std::string(1'001, ' '), "has 1001 bytes, at most 1000 are allowed" }, document_case { "list", "[1]", "is of type array instead of an object" },
        document_case { "hugeNumber", R"({"a":1e999})", "has a number that no floating-point type holds" }, document_case { "repeatedKey", R"({"a":{"b":1,"b":2}})", "has the key \"b\" twice" }, document_case { "sameKeyElsewhere", R"({"a":{"a":1},"b":{"a":1}})", "" },
        document_case { "closedTooOften", "{}}]]", "is not JSON at byte 3 of 5" }, document_case { "endsInEscape", "{\"\\", "is not JSON at byte 4 of 3" }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(document, IsParsedWithinItsLimits)
{
    EXPECT_EQ(errorOf([&] { input::parseObject(GetParam().text, limits); }), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(Numbers, whole_number,
    testing::Values(number_case { "-1", true }, number_case { "-2", false }, number_case { "7", true }, number_case { "8", false }, number_case { "0", true }, number_case { "-0.0", false }, number_case { "1.0", false }, number_case { "9223372036854775808", false }, number_case { "18446744073709551615", false },
        number_case { "-9223372036854775808", false }, number_case { "1e30", false }, number_case { "\"1\"", false }, number_case { "true", false }, number_case { "null", false }, number_case { "[1]", false }));

TEST_P(whole_number, IsReadWithinItsRange)
{
    const auto value = json::parse(GetParam().text);
    const auto error = errorOf([&] { input::readWhole(value, "Field", { -1, 7 }); });
    EXPECT_EQ(error.empty(), GetParam().isAccepted) << error;
    if (!GetParam().isAccepted) {
        EXPECT_TRUE(error.starts_with("Field is ")) << error;
        EXPECT_TRUE(error.ends_with("from -1 to 7")) << error;
    }
}

TEST(WholeNumber, KeepsTheLimitsOfItsType)
{
    using limits_of = std::numeric_limits<std::int64_t>;
    const input::whole_range everything { limits_of::min(), limits_of::max() };
    EXPECT_EQ(input::readWhole(json::parse("-9223372036854775808"), "a", everything), limits_of::min());
    EXPECT_EQ(input::readWhole(json::parse("9223372036854775807"), "a", everything), limits_of::max());
    EXPECT_NE(errorOf([&] { input::readWhole(json::parse("9223372036854775808"), "a", everything); }), "");
    EXPECT_EQ(input::readUnsigned(json::parse("18446744073709551615"), "a"), std::numeric_limits<std::uint64_t>::max());
    EXPECT_NE(errorOf([&] { input::readUnsigned(json::parse("-1"), "a"); }), "");
}

TEST(RealNumber, IsReadWithinItsRange)
{
    const input::real_range range { 0, 1.5 };
    EXPECT_EQ(input::readReal(json::parse("1.5"), "a", range), 1.5);
    EXPECT_EQ(input::readReal(json::parse("1"), "a", range), 1);
    for (const char* text : { "1.6", "-0.1", "1e308", "-1e308", "18446744073709551615", "\"1\"", "null", "true" })
        EXPECT_NE(errorOf([&] { input::readReal(json::parse(text), "a", range); }), "") << text;
    EXPECT_NE(errorOf([&] { input::readReal(json(std::numeric_limits<double>::quiet_NaN()), "a", range); }), "");
}

INSTANTIATE_TEST_SUITE_P(Endpoints, endpoint_text,
    testing::Values(number_case { "10.0.0.1:1", true }, number_case { "255.255.255.255:65535", true }, number_case { "10.0.0.1:0", false }, number_case { "10.0.0.1:65536", false }, number_case { "10.0.0.1:01", false }, number_case { "10.0.0.1:", false }, number_case { ":80", false }, number_case { "10.0.0.1", false },
        number_case { "10.0.0.1:80/", false }, number_case { "10.0.0.1:99999999999999999999", false }, number_case { "host:80", false }, number_case { "", false }));

TEST_P(endpoint_text, HasAnAddressAndAPort)
{
    const auto error = errorOf([&] { input::readEndpoint(json(GetParam().text), "Address"); });
    EXPECT_EQ(error.empty(), GetParam().isAccepted) << error;
}

TEST(Text, IsBounded)
{
    EXPECT_EQ(input::readText(json("four"), "a", { 4 }), "four");
    EXPECT_EQ(input::readText(json("a\nb"), "a", { 4, input::text_content::Any }), "a\nb");
    EXPECT_EQ(errorOf([] { input::readText(json("fives"), "a", { 4 }); }), "a has 5 bytes, at most 4 are allowed");
    EXPECT_EQ(errorOf([] { input::readText(json("a\nb"), "a", { 4 }); }), "a has a control character: \"a\\nb\"");
}

TEST(PrintableText, IsBoundedAndEscaped)
{
    EXPECT_EQ(input::printableText("plain text"), "plain text");
    for (const char byte : { '\x01', '\xff', '\n' }) {
        const auto shown = input::printableText(std::string(1'000'000, byte));
        EXPECT_LE(shown.size(), 450u);
        EXPECT_TRUE(std::ranges::all_of(shown, [](unsigned char character) { return character >= 0x20 && character < 0x7f; }));
    }
}

TEST(Field, MissingOnesAreReportedByName)
{
    const auto object = json::parse(R"({"a":1,"row":[1]})");
    EXPECT_EQ(input::wholeField(object, "b", { 0, 9 }, 5), 5);
    EXPECT_EQ(errorOf([&] { input::wholeField(object, "b", { 0, 9 }); }), "b is missing");
    EXPECT_EQ(errorOf([&] { input::elementAt(object["row"], "run", 1); }), "run is missing: the row is of type array with 1 elements");
    EXPECT_EQ(errorOf([&] { input::findField(object["a"], "b"); }), "what should have the field b is 1");
}
