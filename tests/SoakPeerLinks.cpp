#include "tests/SoakPeerLinks.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace cactuspitch {

SoakPeerLinks::SoakPeerLinks(EventLoop& aLoop, std::vector<Endpoint> aGateways)
  : loop_(aLoop)
  , gateways_(std::move(aGateways))
{
  for (size_t from = 0; from < gateways_.size(); ++from) {
    for (size_t to = 0; to < gateways_.size(); ++to) {
      if (from != to) {
        AddLink(from, to);
      }
    }
  }
}

SoakPeerLinks::~SoakPeerLinks()
{
  for (const auto& link : links_) {
    link->watcher_->Stop();
    ::close(link->fd_);
  }
}

void SoakPeerLinks::AddLink(size_t aFrom, size_t aTo)
{
  auto link = std::make_unique<Link>();
  link->from_ = aFrom;
  link->to_ = aTo;
  // An address of the same length keeps the length of rewritten texts.
  const auto length = gateways_[aTo].ToText().size();
  do {
    link->address_ = FreeEndpoint();
  } while (link->address_.ToText().size() != length);
  link->fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto address = link->address_.ToSockaddr();
  if (link->fd_ < 0 || ::bind(link->fd_,
                              reinterpret_cast<const sockaddr*>(&address),
                              sizeof address) != 0) {
    throw std::runtime_error("cannot bind a link between gateways");
  }
  link->watcher_ = std::make_unique<IoWatcher>(
    loop_, [this, self = link.get()](bool, bool) { Forward(*self); });
  link->watcher_->Set(link->fd_, true, false);
  links_.push_back(std::move(link));
}

const SoakPeerLinks::Link& SoakPeerLinks::Find(size_t aFrom, size_t aTo) const
{
  return **std::ranges::find_if(links_, [&](const auto& aLink) {
    return aLink->from_ == aFrom && aLink->to_ == aTo;
  });
}

void SoakPeerLinks::Forward(const Link& aLink) const
{
  constexpr size_t kMaxDatagramBytes = 65507;
  static std::array<char, kMaxDatagramBytes> buffer;
  const bool isCut =
    cutOff_.contains(aLink.from_) || cutOff_.contains(aLink.to_);
  const auto target = gateways_[aLink.to_].ToSockaddr();
  // The receiver replies to the address from which it receives.
  const int sender = Find(aLink.to_, aLink.from_).fd_;
  for (;;) {
    const auto count = ::recv(aLink.fd_, buffer.data(), buffer.size(), 0);
    if (count < 0) {
      return;
    }
    if (!isCut) {
      [[maybe_unused]] const auto sent =
        ::sendto(sender,
                 buffer.data(),
                 static_cast<size_t>(count),
                 MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr*>(&target),
                 sizeof target);
    }
  }
}

std::string SoakPeerLinks::Rewrite(size_t aReader, std::string aText) const
{
  for (const auto& link : links_) {
    if (link->from_ != aReader) {
      continue;
    }
    const auto real = gateways_[link->to_].ToText();
    const auto seen = link->address_.ToText();
    for (auto at = aText.find(real); at != std::string::npos;
         at = aText.find(real, at + seen.size())) {
      aText.replace(at, real.size(), seen);
    }
  }
  return aText;
}

void SoakPeerLinks::SetCutOff(size_t aGateway, bool aCutOff)
{
  if (aCutOff) {
    cutOff_.insert(aGateway);
  } else {
    cutOff_.erase(aGateway);
  }
}

}
