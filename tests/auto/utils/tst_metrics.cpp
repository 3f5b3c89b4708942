#include "utils/errors.h"
#include "utils/metrics.h"

#include "gtest/gtest.h"

namespace camphorsaddle::utils {

namespace {

    TEST(errors, DescriptionHasStepAndPeer)
    {
        const auto status = makeError(absl::StatusCode::kUnavailable, "read slot 7", "store 127.0.0.1:1", "timeout after 200 ms");
        EXPECT_EQ(describe(status), "read slot 7: store 127.0.0.1:1: timeout after 200 ms");
        EXPECT_EQ(describe(withContext(status, "outer", "other")), describe(status));
    }

    TEST(distribution, QuantileIsAccurateToOneBin)
    {
        distribution values(0.001, 10, 400);
        for (int index = 1; index <= 1000; ++index)
            values.record(index / 1000.0);
        EXPECT_EQ(values.count(), 1000U);
        EXPECT_NEAR(values.quantile(0.99), 0.99, 0.03);
        EXPECT_NEAR(values.quantile(0.5), 0.5, 0.02);
    }

    TEST(metric_registry, RendersPrometheusText)
    {
        metric_registry registry;
        registry.addCounter("a_total", "reason=\"x\"").add(3);
        registry.addCounter("a_total", "reason=\"y\"").add(1);
        registry.addGauge("level").set(-2);
        EXPECT_EQ(registry.render(), "# TYPE a_total counter\na_total{reason=\"x\"} 3\na_total{reason=\"y\"} 1\n# TYPE level gauge\nlevel -2\n");
    }

} // namespace

} // namespace camphorsaddle::utils
