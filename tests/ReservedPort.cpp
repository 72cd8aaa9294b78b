#include "ReservedPort.hpp"

#include "common/Strings.hpp"

#include <atomic>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

// Below the kernel's range of ephemeral ports, which starts at 32768.
// scripts/demo uses the 100 ports before.
constexpr int kFirstPort = 23000;
constexpr int kPortCount = 9000;

/// Bound socket, or -1 when the port is taken.
int BindPort(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // Without SO_REUSEADDR the bind fails when another test reserved the port.
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  return fd;
}

}

ReservedPort::ReservedPort()
{
  // Tests that run at the same time start their search at different ports.
  static std::atomic<int> next = getpid() * 37;
  for (int attempt = 0; attempt < detail::kPortCount; ++attempt) {
    port_ = detail::kFirstPort + next.fetch_add(1) % detail::kPortCount;
    fd_ = detail::BindPort(port_);
    if (fd_ >= 0) {
      return;
    }
  }
  throw std::runtime_error("no free port in the reserved range");
}

ReservedPort::~ReservedPort()
{
  if (fd_ >= 0) {
    close(fd_);
  }
}

ReservedPort::ReservedPort(ReservedPort&& aOther) noexcept
  : fd_(std::exchange(aOther.fd_, -1))
  , port_(aOther.port_)
{
}

std::string ReservedPort::Address() const
{
  return Concat("127.0.0.1:", port_);
}

}
