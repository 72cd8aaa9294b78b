#pragma once

#include "FailureRun.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {

/// Starts a deployment under load before each test and checks the recorded
/// histories afterwards.
class FailureFixture : public testing::Test
{
protected:
  explicit FailureFixture(
    DeploymentOptions aOptions = FailureRun::DefaultOptions())
    : run_(BINARY_DIR, std::move(aOptions))
  {
  }
  void SetUp() override
  {
    ASSERT_EQ(run_.Start(), "");
    FailureRun::SleepFor(1000);
  }
  void TearDown() override { EXPECT_EQ(run_.Finish(), ""); }

  FailureRun run_;
};

}
