#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "platform/formats.h"
#include "utils/errors.h"

using namespace camphorsaddle;
using namespace camphorsaddle::platform;

namespace {

constexpr std::size_t largestStoreValue = 1 << 20;
constexpr std::size_t longestErrorBytes = 400;
const utils::wall_time_point now { utils::milliseconds(1'800'000'000'000) };

absl::StatusOr<jobs::worker_description> parse(const std::string& id, const std::string& entry)
{
    return parseMinion(id, entry, now);
}

const std::vector<std::pair<std::string, std::string>> goodFields {
    { "Service", R"("s")" },
    { "Address", R"("10.0.0.1:80")" },
    { "Zone", R"("z")" },
    { "State", R"("ready")" },
    { "Capacity", R"({"Cpu":16000,"MemMb":32768,"Gpu":1})" },
    { "Labels", R"(["a","r1-3"])" },
    { "born", "1799999999999" },
    { "ClockMs", "482113" },
    { "RemainingMs", "0" },
    { "Seq", "7" },
};

//! A good entry whose field \a name has the text \a value; "Capacity.Cpu" names the inner field; an empty text leaves it out.
std::string entryWith(const std::string& name, const std::string& value)
{
    std::string text;
    for (auto [key, content] : goodFields) {
        if (name.starts_with("Capacity.") && key == "Capacity") {
            const std::map<std::string, std::string> amounts { { "Cpu", "16000" }, { "MemMb", "32768" }, { "Gpu", "1" } };
            content = "{";
            for (const auto& [amount, number] : amounts) {
                const auto& shown = name == "Capacity." + amount ? value : number;
                if (!shown.empty())
                    absl::StrAppend(&content, content == "{" ? "\"" : ",\"", amount, "\":", shown);
            }
            content += "}";
        }
        const auto& shown = key == name ? value : content;
        if (!shown.empty())
            absl::StrAppend(&text, text.empty() ? "{\"" : ",\"", key, "\":", shown);
    }
    return text + "}";
}

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

std::string nested(char open, std::size_t depth, const std::string& closing)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += open == '{' ? "{\"a\":" : "[";
    for (std::size_t level = 0; !closing.empty() && level < depth; ++level)
        text += (level == 0 && open == '{' ? "1" : "") + closing;
    return text;
}

struct odd_field {
    std::string name;
    std::string value;
};

std::ostream& operator<<(std::ostream& stream, const odd_field& field)
{
    return stream << field.name << " " << field.value.substr(0, 60) << " (" << field.value.size() << " bytes)";
}

class odd_minion_field : public testing::TestWithParam<odd_field> {
};

std::vector<odd_field> crossed(const std::vector<std::string>& names, const std::vector<std::string>& values)
{
    std::vector<odd_field> fields;
    for (const auto& name : names) {
        for (const auto& value : values)
            fields.push_back({ name, value });
    }
    return fields;
}

void expectBoundedError(const absl::Status& status)
{
    const auto text = utils::describe(status);
    EXPECT_EQ(status.code(), absl::StatusCode::kInvalidArgument) << text.substr(0, longestErrorBytes);
    EXPECT_LE(text.size(), longestErrorBytes);
    EXPECT_TRUE(std::ranges::all_of(text, [](unsigned char character) { return character >= 0x20 && character < 0x7f; })) << "raw bytes in the error";
}

const std::vector<std::string> wrongTypes { "null", "true", "[]", "{}", "[[1]]" };
const std::vector<std::string> oddNumbers { "-1", "-5", "-0.5", "1e30", "1e308", "-1e308", "9223372036854775807", "9223372036854775808", "18446744073709551615", "-9223372036854775808", "16000.7", "1e-3", "\"7\"", "\"\"", "null", "true", "[]", "{}" };
const std::vector<std::string> numberFields { "Capacity.Cpu", "Capacity.MemMb", "Capacity.Gpu", "born", "ClockMs", "RemainingMs" };
const std::vector<std::string> requiredFields { "Service", "Address", "Zone", "State", "Capacity", "Labels", "Capacity.Cpu", "Capacity.MemMb" };
const std::vector<std::string> textFields { "Service", "Address", "Zone", "State" };
const std::vector<std::string> oddTexts { quoted(std::string(100'000, 'x')), R"("a\u0000b")", R"("a\nb")", R"("\u007f")", "7", "-1.5", "null", "true", "[]", "{}" };

} // namespace

INSTANTIATE_TEST_SUITE_P(Addresses, odd_minion_field,
    testing::ValuesIn(crossed({ "Address" },
        { R"("10.0.0.1:99999")", R"("10.0.0.1:65536")", R"("10.0.0.1:0")", R"("10.0.0.1:-1")", R"("10.0.0.1:4294967376")", R"("10.0.0.1:18446744073709551696")", R"("10.0.0.1")", R"("10.0.0.1:")", R"("")",
            R"("a b:80")", R"("host:80")", R"("10.0.0.1:80/x?y")", R"("10.0.0.1:080")", R"("10.0.0.1:+80")", R"("10.0.0.1: 80")", R"("10.0.0.1:80 ")", R"(" 10.0.0.1:80")", R"("10.0.0.256:80")", R"("10.0.0:80")",
            R"("10.0.0.1:80:80")", R"("::1:80")", R"("[::1]:80")", R"("user@10.0.0.1:80")", R"("10.0.0.1\u0000:80")", R"("10.0.0.1:80\r\nX: y")", R"("10.0.0.1:8\u0660")" })));
INSTANTIATE_TEST_SUITE_P(Numbers, odd_minion_field, testing::ValuesIn(crossed(numberFields, oddNumbers)));
INSTANTIATE_TEST_SUITE_P(NoProcessors, odd_minion_field, testing::ValuesIn(crossed({ "Capacity.Cpu" }, { "0" })));
// An incarnation in the future would hide every real report of the worker.
INSTANTIATE_TEST_SUITE_P(FutureStarts, odd_minion_field, testing::ValuesIn(crossed({ "born" }, { "1800086400001", "1900000000000", "4000000000000" })));
INSTANTIATE_TEST_SUITE_P(Texts, odd_minion_field, testing::ValuesIn(crossed(textFields, oddTexts)));
INSTANTIATE_TEST_SUITE_P(States, odd_minion_field, testing::ValuesIn(crossed({ "State" }, { R"("sleeping")", R"("READY")", R"("")" })));
INSTANTIATE_TEST_SUITE_P(Missing, odd_minion_field, testing::ValuesIn(crossed(requiredFields, { "" })));
INSTANTIATE_TEST_SUITE_P(Capacities, odd_minion_field, testing::ValuesIn(crossed({ "Capacity" }, { "7", "null", "[]", "\"x\"", "{}", "[16000,32768,1]" })));
INSTANTIATE_TEST_SUITE_P(Labels, odd_minion_field,
    testing::ValuesIn(crossed({ "Labels" },
        { "null", "{}", "7", "\"a\"", "[7]", "[null]", "[[]]", R"(["a","r\u0001"])", "[" + quoted(std::string(100'000, 'x')) + "]", R"(["a",7])" })));
INSTANTIATE_TEST_SUITE_P(ManyLabels, odd_minion_field, testing::ValuesIn(crossed({ "Labels" }, { [] {
    std::string text = "[\"a\"";
    for (int number = 0; number < 1'000; ++number)
        text += ",\"a\"";
    return text + "]";
}() })));

TEST_P(odd_minion_field, NamesNoWorker)
{
    const auto& field = GetParam();
    const auto worker = parse("i-1", entryWith(field.name, field.value));
    expectBoundedError(worker.status());
    const auto dot = field.name.find('.');
    const auto name = dot == std::string::npos ? field.name : field.name.substr(dot + 1);
    const bool isSyntaxError = worker.status().message().find("byte") != absl::string_view::npos || worker.status().message().find("floating") != absl::string_view::npos;
    const bool namesField = worker.status().message().find(name) != absl::string_view::npos || (field.name == "Capacity" && worker.status().message().find("Cpu") != absl::string_view::npos);
    EXPECT_TRUE(isSyntaxError || namesField) << worker.status().message();
}

namespace {

struct odd_entry {
    const char* name;
    std::string text;
};

std::ostream& operator<<(std::ostream& stream, const odd_entry& entry)
{
    return stream << entry.name << " (" << entry.text.size() << " bytes)";
}

class odd_minion_entry : public testing::TestWithParam<odd_entry> {
};

std::string goodEntry()
{
    return entryWith("", "");
}

std::vector<odd_entry> oddEntries()
{
    const auto good = goodEntry();
    const auto withExtra = [&](const std::string& extra) {
        return good.substr(0, good.size() - 1) + "," + extra + "}";
    };
    return {
        { "empty", "" },
        { "space", " " },
        { "nulByte", std::string(1, '\0') },
        { "openBrace", "{" },
        { "list", "[]" },
        { "number", "7" },
        { "null", "null" },
        { "notANumber", "NaN" },
        { "notANumberField", entryWith("ClockMs", "NaN") },
        { "infinityField", entryWith("ClockMs", "Infinity") },
        { "hugeExponent", entryWith("ClockMs", "1e999") },
        { "hugeUnreadField", entryWith("Seq", "1e999") },
        { "longNumber", entryWith("ClockMs", std::string(100'000, '9')) },
        { "manyZeros", entryWith("ClockMs", "1" + std::string(100'000, '0')) },
        { "truncated", good.substr(0, good.size() / 2) },
        { "trailingBytes", good + "x" },
        { "trailingNul", good + std::string(1, '\0') },
        { "twoObjects", good + good },
        { "byteOrderMark", "\xef\xbb\xbf{}" },
        { "invalidUtf8", "\xff\xfe" },
        { "invalidUtf8InText", entryWith("Zone", "\"z\xff\xfe\"") },
        { "longTextWithInvalidUtf8", entryWith("Zone", quoted(std::string(500'000, 'x') + "\xff")) },
        { "overlongUtf8", entryWith("Zone", "\"\xc0\xaf\"") },
        { "loneSurrogate", entryWith("Zone", R"("\ud800")") },
        { "rawControlByte", entryWith("Zone", "\"z\x01\"") },
        { "repeatedKey", withExtra(R"("Address":"10.0.0.2:80")") },
        { "repeatedEscapedKey", withExtra(R"("Addres\u0073":"10.0.0.2:80")") },
        { "repeatedInnerKey", entryWith("Capacity", R"({"Cpu":16000,"MemMb":1,"Cpu":1})") },
        { "longRepeatedKey", "{" + quoted(std::string(20'000, 'k')) + ":1," + quoted(std::string(20'000, 'k')) + ":1}" },
        { "deepListsUnclosed", nested('[', 5'000'000, "") },
        { "deepLists", nested('[', 5'000'000, "]") },
        { "deepObjectsUnclosed", nested('{', 5'000'000, "") },
        { "deepObjects", nested('{', 5'000'000, "}") },
        { "deepUnreadField", withExtra("\"x\":" + nested('[', 100'000, "]")) },
        { "deepLabels", entryWith("Labels", nested('[', 100'000, "]")) },
        { "deepCapacity", entryWith("Capacity", nested('{', 100'000, "}")) },
        { "largestValueOfSpaces", std::string(largestStoreValue, ' ') },
        { "largestValueOfText", entryWith("Zone", quoted(std::string(largestStoreValue - 1'000, 'x'))) },
        { "largestValueUnread", withExtra("\"x\":" + quoted(std::string(largestStoreValue - 1'000, 'x'))) },
        { "largestValueOfBytes", std::string(largestStoreValue, '\xff') },
        { "largestValueOfQuotes", std::string(largestStoreValue, '"') },
        { "unclosedText", "{\"" + std::string(largestStoreValue, 'x') },
    };
}

} // namespace

INSTANTIATE_TEST_SUITE_P(Entries, odd_minion_entry, testing::ValuesIn(oddEntries()), [](const auto& info) { return std::string(info.param.name); });

TEST_P(odd_minion_entry, NamesNoWorker)
{
    expectBoundedError(parse("i-1", GetParam().text).status());
}

TEST(OddMinionId, NamesNoWorker)
{
    ASSERT_TRUE(parse(std::string(200, 'i'), goodEntry()).ok());
    for (const auto& id : std::vector<std::string> { "", "i 1", "i\r\nX: y", "i\x01", "i\xff", "i\xc3\xa4", std::string(1, '\0'), std::string(100'000, 'i') })
        expectBoundedError(parse(id, goodEntry()).status());
}

// Bounds that are too narrow would leave out workers.
TEST(GoodMinionEntry, IsAcceptedAtTheBounds)
{
    EXPECT_TRUE(parse("i-1", goodEntry()).ok()) << parse("i-1", goodEntry()).status();
    const std::vector<odd_field> fields { { "Address", R"("255.255.255.255:65535")" }, { "Address", R"("10.0.0.1:1")" }, { "Capacity.Cpu", "1" }, { "Capacity.Cpu", "100000000" }, { "Capacity.MemMb", "0" }, { "Capacity.Gpu", "" }, { "born", "1800086400000" }, { "born", "0" },
        { "born", "" }, { "ClockMs", "" }, { "ClockMs", "1800000000000" }, { "RemainingMs", "" }, { "RemainingMs", "31536000000" }, { "Seq", "18446744073709551615" }, { "Seq", "\"x\"" }, { "Seq", "" }, { "Zone", R"("z\u00e4")" }, { "Labels", "[]" }, { "Service", quoted(std::string(200, 's')) } };
    for (const auto& field : fields)
        EXPECT_TRUE(parse("i-1", entryWith(field.name, field.value)).ok()) << field.name << " " << field.value;
}
