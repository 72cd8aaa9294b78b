#include "DeadlineSocket.hpp"

#include "Strings.hpp"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

boost::beast::error_code LastError()
{
  return { errno, boost::system::system_category() };
}

struct SocketAddress
{
  sockaddr_storage storage_{};
  socklen_t size_ = 0;
};

bool ParseAddress(const std::string& aText, SocketAddress& aResult)
{
  const auto colon = aText.rfind(':');
  uint32_t port = 0;
  if (colon == std::string::npos ||
      !ParseNumber(aText.substr(colon + 1), port) || port > USHRT_MAX) {
    return false;
  }
  auto host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') {
    auto* address = reinterpret_cast<sockaddr_in6*>(&aResult.storage_);
    address->sin6_family = AF_INET6;
    address->sin6_port = htons(static_cast<uint16_t>(port));
    aResult.size_ = sizeof(*address);
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &address->sin6_addr) == 1;
  }
  auto* address = reinterpret_cast<sockaddr_in*>(&aResult.storage_);
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<uint16_t>(port));
  aResult.size_ = sizeof(*address);
  return inet_pton(AF_INET, host.c_str(), &address->sin_addr) == 1;
}

absl::Status ConnectStatus(const std::string& aAddress, int aErrno)
{
  const auto text =
    Concat("connect to ", aAddress, ": ", std::strerror(aErrno));
  return aErrno == ECONNREFUSED ? absl::UnavailableError(text)
                                : absl::UnknownError(text);
}

}

DeadlineSocket::DeadlineSocket(const Clock& aClock)
  : clock_(aClock)
{
}

DeadlineSocket::~DeadlineSocket()
{
  Close();
}

void DeadlineSocket::SetDeadline(TimeMs aDeadlineMs,
                                 const CancelSignal* aCancel)
{
  deadlineMs_ = aDeadlineMs;
  cancel_ = aCancel;
}

absl::Status DeadlineSocket::Connect(const std::string& aAddress)
{
  Close();
  detail::SocketAddress address;
  if (!detail::ParseAddress(aAddress, address)) {
    return absl::InvalidArgumentError(
      Concat("'", aAddress, "' is not IP:port"));
  }
  fd_ = socket(
    address.storage_.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    return absl::ResourceExhaustedError(std::strerror(errno));
  }
  const int enabled = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  const auto* target = reinterpret_cast<const sockaddr*>(&address.storage_);
  if (connect(fd_, target, address.size_) == 0) {
    return absl::OkStatus();
  }
  int failure = errno;
  if (failure == EINPROGRESS) {
    boost::beast::error_code error;
    if (!Wait(POLLOUT, error)) {
      Close();
      return error == boost::asio::error::operation_aborted
               ? absl::CancelledError("connect cancelled")
               : absl::DeadlineExceededError(
                   Concat("connect to ", aAddress, ": timed out"));
    }
    socklen_t size = sizeof(failure);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &failure, &size);
  }
  if (failure != 0) {
    Close();
    return detail::ConnectStatus(aAddress, failure);
  }
  return absl::OkStatus();
}

void DeadlineSocket::Close()
{
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

bool DeadlineSocket::IsClosedOrReadable() const
{
  char byte = 0;
  const auto got = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

size_t DeadlineSocket::Receive(void* aData,
                               size_t aSize,
                               boost::beast::error_code& aError)
{
  aError = {};
  if (aSize == 0) {
    return 0;
  }
  if (std::exchange(pollBeforeNextRead_, false) && !Wait(POLLIN, aError)) {
    return 0;
  }
  while (true) {
    const auto got = recv(fd_, aData, aSize, 0);
    if (got > 0) {
      return static_cast<size_t>(got);
    }
    if (got == 0) {
      aError = boost::asio::error::eof;
      return 0;
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      aError = detail::LastError();
      return 0;
    }
    if (!Wait(POLLIN, aError)) {
      return 0;
    }
  }
}

size_t DeadlineSocket::Send(const iovec* aParts,
                            size_t aCount,
                            boost::beast::error_code& aError)
{
  aError = {};
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(aParts);
  message.msg_iovlen = aCount;
  while (true) {
    const auto sent = sendmsg(fd_, &message, MSG_NOSIGNAL);
    if (sent >= 0) {
      bytesWritten_ += static_cast<size_t>(sent);
      return static_cast<size_t>(sent);
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      aError = detail::LastError();
      return 0;
    }
    if (!Wait(POLLOUT, aError)) {
      return 0;
    }
  }
}

bool DeadlineSocket::Wait(short aEvents, boost::beast::error_code& aError) const
{
  while (true) {
    const TimeMs left = deadlineMs_ - clock_.NowMs();
    if (left <= 0) {
      aError = boost::asio::error::timed_out;
      return false;
    }
    pollfd entries[2] = {
      { fd_, aEvents, 0 },
      { cancel_ ? cancel_->FileDescriptor() : -1, POLLIN, 0 }
    };
    const int count =
      poll(entries, 2, static_cast<int>(std::min<TimeMs>(left, INT_MAX)));
    if (count < 0 && errno != EINTR) {
      aError = detail::LastError();
      return false;
    }
    if (entries[1].revents != 0) {
      aError = boost::asio::error::operation_aborted;
      return false;
    }
    if (entries[0].revents != 0) {
      return true;
    }
  }
}

}
