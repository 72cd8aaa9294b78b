#include "Clock.hpp"

#include <chrono>
#include <ctime>

namespace cactuspitch {

int64_t UnixNowMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

TimeMs SteadyClock::NowMs() const
{
  constexpr int64_t kMsPerSecond = 1000;
  constexpr int64_t kNsPerMs = 1000000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs;
}

}
