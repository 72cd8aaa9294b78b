#include "policy/SilentConnectionDetector.hpp"

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

class SilentConnection : public testing::Test
{
protected:
  void Exchange(uint64_t aConnection, TimeMs aSentMs, TimeMs aAnswerMs)
  {
    detector_.OnSend(aConnection, aSentMs);
    detector_.OnResponse(aConnection, aAnswerMs);
  }

  SilentConnectionDetector detector_;
};

// Guards against waiting for the timeout of an attempt on a connection that
// delivers no response while the server responds on another one.
TEST_F(SilentConnection, SilentWhileAnotherConnectionResponds)
{
  const auto idle = detector_.Open(0);
  const auto silent = detector_.Open(1);
  const auto alive = detector_.Open(2);
  detector_.OnSend(silent, 1000);
  Exchange(alive, 1200, 1210);
  EXPECT_FALSE(detector_.IsSilent(silent, 1249));
  EXPECT_TRUE(detector_.IsSilent(silent, 1250));
  EXPECT_EQ(detector_.OlderIdleConnections(silent), std::vector{ idle });
}

// Guards against closing the connections to a server that is frozen or slow on
// all of them.
TEST_F(SilentConnection, FrozenServerIsNotSilent)
{
  const auto first = detector_.Open(0);
  const auto second = detector_.Open(0);
  Exchange(second, 999, 1001);
  detector_.OnSend(first, 1000);
  detector_.OnSend(second, 1002);
  EXPECT_FALSE(detector_.IsSilent(first, 5000));
  EXPECT_FALSE(detector_.IsSilent(second, 5000));
}

// Guards against closing connections to a server with slow responses.
TEST_F(SilentConnection, LimitFollowsTheLatency)
{
  const auto slow = detector_.Open(0);
  const auto other = detector_.Open(0);
  EXPECT_EQ(detector_.SilenceLimitMs(), 250);
  Exchange(other, 0, 200);
  EXPECT_EQ(detector_.SilenceLimitMs(), 800);
  for (TimeMs now = 1000; now < 2000; now += 10) {
    Exchange(other, now, now + 2);
  }
  detector_.OnSend(slow, 2000);
  Exchange(other, 2500, 2510);
  EXPECT_FALSE(detector_.IsSilent(slow, 2700));
  EXPECT_TRUE(detector_.IsSilent(slow, 2800));
}

// Guards against treating responses on the same connection as evidence that it
// is silent.
TEST_F(SilentConnection, OwnResponsesAreNoEvidence)
{
  const auto only = detector_.Open(0);
  Exchange(only, 0, 5);
  detector_.OnSend(only, 10);
  EXPECT_FALSE(detector_.IsSilent(only, 10000));
  detector_.Close(only);
  EXPECT_FALSE(detector_.IsSilent(only, 10000));
  EXPECT_EQ(detector_.Connections(), 0u);
}

}
}
