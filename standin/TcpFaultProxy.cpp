#include "TcpFaultProxy.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <cerrno>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

sockaddr_in ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  uint16_t port = 0;
  ParseNumber(std::string_view(aText).substr(colon + 1), port);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int OpenListener(const std::string& aListen)
{
  constexpr int kBacklog = 128;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const auto address = ParseAddress(aListen);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Closes the connection with an RST instead of a FIN.
void ResetConnection(int aFd)
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(aFd);
}

}

/// A client connection and the connection to the target that it is forwarded
/// to.
struct TcpFaultProxy::ConnectionPair
{
  /// State of the forwarding in one direction.
  struct Direction
  {
    std::vector<char> pending_; ///< read, but not yet written
    bool eofReceived_ = false;
    bool eofForwarded_ = false;
  };

  int client_ = -1;
  int server_ = -1;
  bool stalled_ = false;
  Direction toServer_;
  Direction toClient_;
};

TcpFaultProxy::TcpFaultProxy(std::string aListen, std::string aTarget)
  : listen_(std::move(aListen))
  , target_(std::move(aTarget))
{
}

TcpFaultProxy::~TcpFaultProxy()
{
  Stop();
}

absl::Status TcpFaultProxy::Start()
{
  listener_ = detail::OpenListener(listen_);
  if (listener_ < 0) {
    return absl::UnavailableError(Concat("cannot listen on ", listen_));
  }
  thread_ = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void TcpFaultProxy::Stop()
{
  stopping_ = true;
  wake_.Cancel();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void TcpFaultProxy::SetMode(ProxyMode aMode)
{
  mode_ = aMode;
  wake_.Cancel();
}

void TcpFaultProxy::StallOpenConnections()
{
  stallOpenConnections_ = true;
  wake_.Cancel();
}

bool TcpFaultProxy::IsBlocked(const ConnectionPair& aPair, bool aToServer) const
{
  const auto mode = mode_.load();
  return aPair.stalled_ || mode == ProxyMode::DropBoth ||
         mode ==
           (aToServer ? ProxyMode::DropToServer : ProxyMode::DropToClient);
}

void TcpFaultProxy::ApplyCommands()
{
  wake_.Reset();
  if (stallOpenConnections_.exchange(false)) {
    std::ranges::for_each(pairs_,
                          [](ConnectionPair& aPair) { aPair.stalled_ = true; });
  }
  if (mode_ == ProxyMode::Refuse && listener_ >= 0) {
    close(listener_);
    listener_ = -1;
    for (const auto& pair : pairs_) {
      detail::ResetConnection(pair.client_);
      detail::ResetConnection(pair.server_);
    }
    pairs_.clear();
  } else if (mode_ != ProxyMode::Refuse && listener_ < 0) {
    listener_ = detail::OpenListener(listen_);
  }
}

void TcpFaultProxy::Accept()
{
  ConnectionPair pair;
  pair.client_ =
    accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (pair.client_ < 0) {
    return;
  }
  pair.server_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto target = detail::ParseAddress(target_);
  // A blocking connect() on loopback succeeds or is refused at once.
  if (connect(pair.server_,
              reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0) {
    detail::ResetConnection(pair.client_);
    close(pair.server_);
    return;
  }
  fcntl(pair.server_, F_SETFL, O_NONBLOCK);
  const int enabled = 1;
  for (const int fd : { pair.client_, pair.server_ }) {
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  }
  pairs_.push_back(std::move(pair));
}

bool TcpFaultProxy::Forward(ConnectionPair& aPair, bool aToServer) const
{
  constexpr size_t kBufferBytes = 64 * 1024;
  const int from = aToServer ? aPair.client_ : aPair.server_;
  const int to = aToServer ? aPair.server_ : aPair.client_;
  auto& direction = aToServer ? aPair.toServer_ : aPair.toClient_;
  if (IsBlocked(aPair, aToServer)) {
    return true;
  }
  if (direction.pending_.empty() && !direction.eofReceived_) {
    direction.pending_.resize(kBufferBytes);
    const auto got = recv(from, direction.pending_.data(), kBufferBytes, 0);
    direction.pending_.resize(got > 0 ? static_cast<size_t>(got) : 0);
    if (got == 0) {
      direction.eofReceived_ = true;
    } else if (got < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
  }
  if (!direction.pending_.empty()) {
    const auto sent = send(
      to, direction.pending_.data(), direction.pending_.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    if (sent > 0) {
      direction.pending_.erase(direction.pending_.begin(),
                               direction.pending_.begin() + sent);
    }
  }
  if (direction.eofReceived_ && direction.pending_.empty() &&
      !direction.eofForwarded_) {
    shutdown(to, SHUT_WR);
    direction.eofForwarded_ = true;
  }
  return !(aPair.toServer_.eofForwarded_ && aPair.toClient_.eofForwarded_);
}

void TcpFaultProxy::Run()
{
  while (!stopping_) {
    std::vector<pollfd> entries = { { wake_.FileDescriptor(), POLLIN, 0 },
                                    { listener_, POLLIN, 0 } };
    for (const auto& pair : pairs_) {
      const auto events = [&](bool aReadsFromClient) {
        const auto& reads = aReadsFromClient ? pair.toServer_ : pair.toClient_;
        const auto& writes = aReadsFromClient ? pair.toClient_ : pair.toServer_;
        const bool wantsRead = !IsBlocked(pair, aReadsFromClient) &&
                               reads.pending_.empty() && !reads.eofReceived_;
        const bool wantsWrite =
          !IsBlocked(pair, !aReadsFromClient) && !writes.pending_.empty();
        return static_cast<short>((wantsRead ? POLLIN : 0) |
                                  (wantsWrite ? POLLOUT : 0));
      };
      // poll() ignores negative descriptors. Without this, a peer that closes
      // a blocked connection would wake the loop again and again (POLLHUP).
      const short clientEvents = events(true);
      const short serverEvents = events(false);
      entries.push_back({ clientEvents ? pair.client_ : -1, clientEvents, 0 });
      entries.push_back({ serverEvents ? pair.server_ : -1, serverEvents, 0 });
    }
    poll(entries.data(), entries.size(), -1);
    ApplyCommands();
    if (listener_ >= 0 && entries[1].revents != 0) {
      Accept();
    }
    std::erase_if(pairs_, [this](ConnectionPair& aPair) {
      if (Forward(aPair, true) && Forward(aPair, false)) {
        return false;
      }
      detail::ResetConnection(aPair.client_);
      detail::ResetConnection(aPair.server_);
      return true;
    });
  }
  for (const auto& pair : pairs_) {
    close(pair.client_);
    close(pair.server_);
  }
  if (listener_ >= 0) {
    close(listener_);
  }
}

}
