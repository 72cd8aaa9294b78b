#pragma once

#include "net/EventLoop.hpp"
#include "net/TcpStream.hpp"
#include "tests/ScriptedServer.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cactuspitch {

/// Carries the datagrams between the gateways of a soak, so that single
/// gateways can be cut off from all others. Each gateway reaches each other one
/// at an address of its own.
class SoakPeerLinks
{
public:
  SoakPeerLinks(EventLoop& aLoop, std::vector<Endpoint> aGateways);
  ~SoakPeerLinks();
  SoakPeerLinks(const SoakPeerLinks&) = delete;
  SoakPeerLinks& operator=(const SoakPeerLinks&) = delete;

  /// Replaces the addresses of the other gateways in a text for gateway
  /// aReader. Does not change its length.
  std::string Rewrite(size_t aReader, std::string aText) const;
  void SetCutOff(size_t aGateway, bool aCutOff);

private:
  /// Receives what gateway from_ sends to gateway to_.
  struct Link
  {
    size_t from_ = 0;
    size_t to_ = 0;
    int fd_ = -1;
    Endpoint address_;
    std::unique_ptr<IoWatcher> watcher_;
  };

  void AddLink(size_t aFrom, size_t aTo);
  const Link& Find(size_t aFrom, size_t aTo) const;
  void Forward(const Link& aLink) const;

  EventLoop& loop_;
  std::vector<Endpoint> gateways_;
  std::vector<std::unique_ptr<Link>> links_;
  std::set<size_t> cutOff_;
};

}
