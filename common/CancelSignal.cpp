#include "CancelSignal.hpp"

#include <cstdint>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace cactuspitch {

CancelSignal::CancelSignal()
  : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

CancelSignal::~CancelSignal()
{
  close(fd_);
}

void CancelSignal::Cancel()
{
  const uint64_t one = 1;
  // The write fails only when the counter is full, and then it is readable.
  [[maybe_unused]] const auto written = write(fd_, &one, sizeof(one));
}

void CancelSignal::Reset()
{
  uint64_t count = 0;
  [[maybe_unused]] const auto got = read(fd_, &count, sizeof(count));
}

bool CancelSignal::IsCancelled() const
{
  pollfd entry{ fd_, POLLIN, 0 };
  return poll(&entry, 1, 0) > 0;
}

}
