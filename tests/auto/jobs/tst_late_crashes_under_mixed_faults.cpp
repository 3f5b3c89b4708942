#include <gtest/gtest.h>

#include "jobs/crash_scenarios.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs::test;

class late_crashes_under_mixed_faults : public testing::TestWithParam<std::uint64_t> {
};

INSTANTIATE_TEST_SUITE_P(Seeds, late_crashes_under_mixed_faults, testing::Range<std::uint64_t>(1, 41));

TEST_P(late_crashes_under_mixed_faults, OneTaskCrashesWorkerAfterWorker)
{
    playMixedFaults(GetParam(), [](auto& random) { return utils::milliseconds(random() % 3000); });
}
