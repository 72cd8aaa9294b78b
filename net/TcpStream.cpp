#include "net/TcpStream.hpp"

#include "common/Strings.hpp"

#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

constexpr size_t kReadBytes = 32768;
constexpr int kAcceptBacklog = 1024;
/// A connection whose peer acknowledges nothing for this long is broken. A
/// middlebox that drops packets, or an instance without power, shows in no
/// other way.
constexpr int kUserTimeoutMs = 3000;
constexpr int kKeepAliveIdleS = 2;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

void SetOption(int aFd, int aLevel, int aName, int aValue)
{
  ::setsockopt(aFd, aLevel, aName, &aValue, sizeof aValue);
}

void ConfigureSocket(int aFd)
{
  SetOption(aFd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aFd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(aFd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

bool WouldBlock(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR;
}

}

bool Endpoint::Parse(std::string_view aText, Endpoint& aResult)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  in_addr address{};
  Endpoint result;
  if (::inet_pton(
        AF_INET, std::string(aText.substr(0, colon)).c_str(), &address) != 1 ||
      !ParseNumber(aText.substr(colon + 1), result.port_)) {
    return false;
  }
  result.ip_ = address.s_addr;
  aResult = result;
  return true;
}

std::string Endpoint::ToText() const
{
  std::array<char, INET_ADDRSTRLEN> text{};
  in_addr address{ ip_ };
  ::inet_ntop(AF_INET, &address, text.data(), text.size());
  return Concat(text.data(), ":", port_);
}

sockaddr_in Endpoint::ToSockaddr() const
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = ip_;
  address.sin_port = htons(port_);
  return address;
}

TcpStream::TcpStream(EventLoop& aLoop, StreamHandler& aHandler)
  : loop_(aLoop)
  , handler_(aHandler)
  , watcher_(aLoop, [this](bool aReadable, bool aWritable) {
    OnIo(aReadable, aWritable);
  })
{
}

TcpStream::~TcpStream()
{
  Close();
}

bool TcpStream::Connect(const Endpoint& aEndpoint)
{
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    return false;
  }
  detail::ConfigureSocket(fd_);
  const auto address = aEndpoint.ToSockaddr();
  if (::connect(fd_,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0 &&
      errno != EINPROGRESS) {
    Close();
    return false;
  }
  watcher_.Set(fd_, false, true);
  return true;
}

void TcpStream::Adopt(int aFd)
{
  fd_ = aFd;
  connected_ = true;
  detail::ConfigureSocket(fd_);
  UpdateEvents();
}

void TcpStream::Write(std::string_view aBytes)
{
  if (fd_ < 0) {
    return;
  }
  const bool wasEmpty = PendingOutput() == 0;
  if (connected_ && wasEmpty) {
    // Direct writing avoids a copy in the usual case.
    const auto count = ::send(fd_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count > 0) {
      writtenBytes_ += count;
      aBytes.remove_prefix(count);
    }
  }
  if (!aBytes.empty()) {
    // A peer that reads slowly may never let the output drain.
    if (outputOffset_ >= output_.size() / 2) {
      output_.erase(0, std::exchange(outputOffset_, 0));
    }
    output_.append(aBytes);
    UpdateEvents();
  }
}

bool TcpStream::HasPeerClosed() const
{
  char next = 0;
  const auto count = ::recv(fd_, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && !detail::WouldBlock(errno));
}

void TcpStream::PauseReading(bool aPaused)
{
  if (paused_ != aPaused) {
    paused_ = aPaused;
    UpdateEvents();
  }
}

void TcpStream::ShutdownOutput()
{
  if (fd_ >= 0) {
    ::shutdown(fd_, SHUT_WR);
  }
}

void TcpStream::Close()
{
  if (fd_ < 0) {
    return;
  }
  watcher_.Stop();
  ::close(std::exchange(fd_, -1));
  connected_ = false;
}

void TcpStream::Abort()
{
  if (fd_ >= 0) {
    const linger resetOnClose{ 1, 0 };
    ::setsockopt(
      fd_, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
  }
  Close();
}

void TcpStream::OnIo(bool aReadable, bool aWritable)
{
  if (!connected_) {
    FinishConnect();
    return;
  }
  if (aWritable) {
    Flush();
  }
  if (aReadable && fd_ >= 0) {
    ReadAvailable();
  }
}

void TcpStream::FinishConnect()
{
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    Fail(error == ECONNREFUSED ? CloseReason::Refused
                               : CloseReason::Unreachable);
    return;
  }
  connected_ = true;
  handler_.OnConnected();
  if (fd_ >= 0) {
    Flush();
  }
}

void TcpStream::ReadAvailable()
{
  // One buffer for all streams: the loop has a single thread.
  static std::array<char, detail::kReadBytes> buffer;
  const auto count = ::recv(fd_, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    input_.append(buffer.data(), count);
    handler_.OnInput();
    return;
  }
  if (count == 0) {
    Fail(CloseReason::EndOfStream);
  } else if (!detail::WouldBlock(errno)) {
    Fail(CloseReason::Reset);
  }
}

void TcpStream::Flush()
{
  const bool hadOutput = PendingOutput() > 0;
  while (PendingOutput() > 0) {
    const auto count = ::send(
      fd_, output_.data() + outputOffset_, PendingOutput(), MSG_NOSIGNAL);
    if (count < 0) {
      if (!detail::WouldBlock(errno)) {
        Fail(CloseReason::Reset);
        return;
      }
      break;
    }
    outputOffset_ += count;
    writtenBytes_ += count;
  }
  if (PendingOutput() == 0) {
    output_.clear();
    outputOffset_ = 0;
    if (output_.capacity() > detail::kReadBytes) {
      output_.shrink_to_fit();
    }
  }
  UpdateEvents();
  if (hadOutput && PendingOutput() == 0) {
    handler_.OnOutputDrained();
  }
}

void TcpStream::UpdateEvents()
{
  if (fd_ >= 0 && connected_) {
    watcher_.Set(fd_, !paused_, PendingOutput() > 0);
  }
}

void TcpStream::Fail(CloseReason aReason)
{
  Close();
  handler_.OnStreamClosed(aReason);
}

TcpListener::TcpListener(EventLoop& aLoop, AcceptCallback aCallback)
  : callback_(std::move(aCallback))
  , watcher_(aLoop, [this](bool, bool) { AcceptAvailable(); })
{
}

TcpListener::~TcpListener()
{
  Close();
}

bool TcpListener::Listen(const Endpoint& aEndpoint)
{
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    return false;
  }
  detail::SetOption(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
  const auto address = aEndpoint.ToSockaddr();
  if (::bind(fd_,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
      ::listen(fd_, detail::kAcceptBacklog) != 0) {
    Close();
    return false;
  }
  watcher_.Set(fd_, true, false);
  return true;
}

void TcpListener::Close()
{
  if (fd_ >= 0) {
    watcher_.Stop();
    ::close(std::exchange(fd_, -1));
  }
}

void TcpListener::AcceptAvailable()
{
  while (fd_ >= 0) {
    const int fd =
      ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    callback_(fd);
  }
}

}
