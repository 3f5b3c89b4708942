#include "utils/events.h"

#include <fstream>
#include <set>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace camphorsaddle::utils {

namespace {

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    struct format_case {
        std::string name;
        std::string value;
        std::string expected;
    };

    class event_format : public testing::TestWithParam<format_case> { };

    TEST_P(event_format, QuotesValuesOnlyWhereNeeded)
    {
        const auto& param = GetParam();
        EXPECT_EQ(formatEvent(events::processStarted, { { "key", param.value } }), "event=100 name=process_started key=" + param.expected);
    }

    INSTANTIATE_TEST_SUITE_P(values, event_format,
        testing::Values(format_case { "plain", "abc", "abc" }, format_case { "space", "a b", "\"a b\"" },
            format_case { "quote", "a\"b", "\"a\\\"b\"" }, format_case { "line", "a\nb", "\"a\\nb\"" }, format_case { "empty", "", "\"\"" }),
        [](const auto& info) { return info.param.name; });

    TEST(event_catalogue, NumbersAreUniqueAndOrdered)
    {
        int last = 0;
        for (const auto& kind : eventCatalogue()) {
            EXPECT_GT(kind.number, last);
            last = kind.number;
        }
    }

    TEST(event_catalogue, MatchesDocumentation)
    {
        const std::string page = readFile(SOURCE_FOLDER "/docs/EVENTS.md");
        std::size_t rows = 0;
        for (std::size_t at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1)) {
            if (std::isdigit(static_cast<unsigned char>(page[at + 3])) != 0)
                ++rows;
        }
        EXPECT_EQ(rows, eventCatalogue().size());
        for (const auto& kind : eventCatalogue())
            EXPECT_NE(page.find(absl::StrCat("| ", kind.number, " | ", kind.name, " |")), std::string::npos) << kind.name;
    }

} // namespace

} // namespace camphorsaddle::utils
