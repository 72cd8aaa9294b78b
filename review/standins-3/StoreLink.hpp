#pragma once

#include "net/EventLoop.hpp"
#include "net/TcpStream.hpp"

#include <memory>
#include <set>

namespace cactuspitch {

/// TCP proxy before the store that delays what the store answers.
class StoreLink
{
public:
  StoreLink(EventLoop& aLoop, Endpoint aStore);
  ~StoreLink();
  StoreLink(const StoreLink&) = delete;
  StoreLink& operator=(const StoreLink&) = delete;

  Endpoint Address() const { return address_; }
  void SetDelay(TimeMs aDelayMs) { delayMs_ = aDelayMs; }

private:
  class Connection;

  EventLoop& loop_;
  Endpoint store_;
  Endpoint address_;
  TimeMs delayMs_ = 0;
  TcpListener listener_;
  std::set<std::shared_ptr<Connection>> connections_;
};

}
