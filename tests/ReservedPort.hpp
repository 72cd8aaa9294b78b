#pragma once

#include <string>

namespace cactuspitch {

/// Loopback port that no other test uses while this object exists. The socket
/// is bound but not listening, so a server that sets SO_REUSEADDR can still
/// listen on the port, and until then connections are refused.
class ReservedPort
{
public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(ReservedPort&& aOther) noexcept;
  ReservedPort& operator=(ReservedPort&&) = delete;
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  int Port() const { return port_; }
  std::string Address() const;

private:
  int fd_ = -1;
  int port_ = 0;
};

}
