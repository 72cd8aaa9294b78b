#include "common/Metrics.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

// Guards against a name in one label that makes the whole page unreadable: the
// text format knows three escapes only, and takes UTF-8 as it is.
TEST(Metrics, LabelsHoldAnyName)
{
  MetricsRegistry registry;
  registry
    .GetCounter("notices_total",
                { { "server", "a\"b\\c\nd\te\r \xc3\xa9&+#%" } })
    .Add();
  EXPECT_EQ(registry.ToPrometheus(),
            "# TYPE notices_total counter\n"
            "notices_total{server=\"a\\\"b\\\\c\\nd\te\r \xc3\xa9&+#%\"} 1\n");
}

}
}
