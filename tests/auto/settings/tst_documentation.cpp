#include "settings/documentation.h"

#include <cstdlib>

#include "absl/strings/match.h"
#include "auto/settings/sample_files.h"
#include "gtest/gtest.h"

namespace camphorsaddle::settings {

namespace {

    // If CAMPHORSADDLE_WRITE_DOCUMENTATION is set, for example to 1, the page is written before it is compared.
    TEST(documentation, EqualsTheCommittedPage)
    {
        const std::string path = "docs/CONFIGURATION.md";
        if (std::getenv("CAMPHORSADDLE_WRITE_DOCUMENTATION"))
            std::ofstream(std::string(SOURCE_FOLDER) + "/" + path) << renderDocumentation();
        EXPECT_EQ(readSourceFile(path), renderDocumentation());
    }

    TEST(documentation, HelpContainsDefaultsAndBounds)
    {
        EXPECT_TRUE(absl::StrContains(renderSettingsHelp(), "  cluster.lease_term_ms (integer, 1000 to 10000 ms, default 3500): "));
        EXPECT_TRUE(absl::StrContains(renderSettingsHelp(), "  deployment (name, required): "));
    }

} // namespace

} // namespace camphorsaddle::settings
