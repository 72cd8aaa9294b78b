#include "LinkCut.hpp"

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

sockaddr_in LoopbackAddress(const std::string& aText)
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
  const auto address = LoopbackAddress(aListen);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Closes with a reset instead of an orderly end.
void Reset(int aFd)
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(aFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(aFd);
}

}

struct LinkCut::Link
{
  /// Bytes read from one side and not yet written to the other.
  struct Direction
  {
    std::vector<char> pending_;
    bool sourceEnded_ = false;
    bool endForwarded_ = false;
  };

  int client_ = -1;
  int server_ = -1;
  bool silenced_ = false;
  Direction up_;
  Direction down_;
};

LinkCut::LinkCut(std::string aListen, std::string aTarget)
  : listen_(std::move(aListen))
  , target_(std::move(aTarget))
{
}

LinkCut::~LinkCut()
{
  Stop();
}

absl::Status LinkCut::Start()
{
  listener_ = detail::OpenListener(listen_);
  if (listener_ < 0) {
    return absl::UnavailableError(Concat("cannot listen on ", listen_));
  }
  thread_ = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void LinkCut::Stop()
{
  stopping_ = true;
  wake_.Cancel();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void LinkCut::SetMode(LinkMode aMode)
{
  mode_ = aMode;
  wake_.Cancel();
}

void LinkCut::SilenceOpen()
{
  silenceOpen_ = true;
  wake_.Cancel();
}

bool LinkCut::IsCut(const Link& aLink, bool aUp) const
{
  const auto mode = mode_.load();
  return aLink.silenced_ || mode == LinkMode::DropBoth ||
         mode == (aUp ? LinkMode::DropUp : LinkMode::DropDown);
}

void LinkCut::ApplyCommands()
{
  wake_.Reset();
  if (silenceOpen_.exchange(false)) {
    std::ranges::for_each(links_, [](Link& aLink) { aLink.silenced_ = true; });
  }
  if (mode_ == LinkMode::Refuse && listener_ >= 0) {
    close(listener_);
    listener_ = -1;
    for (const auto& link : links_) {
      detail::Reset(link.client_);
      detail::Reset(link.server_);
    }
    links_.clear();
  } else if (mode_ != LinkMode::Refuse && listener_ < 0) {
    listener_ = detail::OpenListener(listen_);
  }
}

void LinkCut::Accept()
{
  Link link;
  link.client_ =
    accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (link.client_ < 0) {
    return;
  }
  link.server_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto target = detail::LoopbackAddress(target_);
  // On loopback the connect ends at once, with success or a refusal.
  if (connect(link.server_,
              reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0) {
    detail::Reset(link.client_);
    close(link.server_);
    return;
  }
  fcntl(link.server_, F_SETFL, O_NONBLOCK);
  const int enabled = 1;
  for (const int fd : { link.client_, link.server_ }) {
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  }
  links_.push_back(std::move(link));
}

bool LinkCut::Move(Link& aLink, bool aUp) const
{
  constexpr size_t kBufferBytes = 64 * 1024;
  const int from = aUp ? aLink.client_ : aLink.server_;
  const int to = aUp ? aLink.server_ : aLink.client_;
  auto& direction = aUp ? aLink.up_ : aLink.down_;
  if (IsCut(aLink, aUp)) {
    return true;
  }
  if (direction.pending_.empty() && !direction.sourceEnded_) {
    direction.pending_.resize(kBufferBytes);
    const auto got = recv(from, direction.pending_.data(), kBufferBytes, 0);
    direction.pending_.resize(got > 0 ? static_cast<size_t>(got) : 0);
    if (got == 0) {
      direction.sourceEnded_ = true;
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
  if (direction.sourceEnded_ && direction.pending_.empty() &&
      !direction.endForwarded_) {
    shutdown(to, SHUT_WR);
    direction.endForwarded_ = true;
  }
  return !(aLink.up_.endForwarded_ && aLink.down_.endForwarded_);
}

void LinkCut::Run()
{
  while (!stopping_) {
    std::vector<pollfd> entries = { { wake_.FileDescriptor(), POLLIN, 0 },
                                    { listener_, POLLIN, 0 } };
    for (const auto& link : links_) {
      const auto events = [&](bool aReadsUp) {
        const auto& reads = aReadsUp ? link.up_ : link.down_;
        const auto& writes = aReadsUp ? link.down_ : link.up_;
        const bool wantsRead = !IsCut(link, aReadsUp) &&
                               reads.pending_.empty() && !reads.sourceEnded_;
        const bool wantsWrite =
          !IsCut(link, !aReadsUp) && !writes.pending_.empty();
        return static_cast<short>((wantsRead ? POLLIN : 0) |
                                  (wantsWrite ? POLLOUT : 0));
      };
      // A negative descriptor is ignored; a cut side must not wake the loop
      // when the peer hangs up.
      const short up = events(true);
      const short down = events(false);
      entries.push_back({ up ? link.client_ : -1, up, 0 });
      entries.push_back({ down ? link.server_ : -1, down, 0 });
    }
    poll(entries.data(), entries.size(), -1);
    ApplyCommands();
    if (listener_ >= 0 && entries[1].revents != 0) {
      Accept();
    }
    std::erase_if(links_, [this](Link& aLink) {
      if (Move(aLink, true) && Move(aLink, false)) {
        return false;
      }
      detail::Reset(aLink.client_);
      detail::Reset(aLink.server_);
      return true;
    });
  }
  for (const auto& link : links_) {
    close(link.client_);
    close(link.server_);
  }
  if (listener_ >= 0) {
    close(listener_);
  }
}

}
