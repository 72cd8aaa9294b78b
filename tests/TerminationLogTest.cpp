#include "gateway/TerminationLog.hpp"

#include <stdexcept>

#include <gtest/gtest.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

void Throw()
{
  throw std::runtime_error("bad token");
}

// Guards against a process that ends without an event that says why.
TEST(TerminationLogDeathTest, UnhandledExceptionIsTheLastEvent)
{
  const auto terminate = [](bool aThrows) noexcept {
    SteadyClock clock;
    EventLog log(clock, LogLevel::Error, STDERR_FILENO);
    const TerminationLog terminationLog(log);
    if (aThrows) {
      Throw();
    }
    std::terminate();
  };
  EXPECT_EXIT(terminate(true),
              testing::KilledBySignal(SIGABRT),
              "level=error event=gateway-terminated cause=\"bad token\"");
  EXPECT_EXIT(terminate(false),
              testing::KilledBySignal(SIGABRT),
              "event=gateway-terminated cause=\"no exception\"");
}

}
}
