#include "StoreLink.hpp"

#include "tests/ScriptedServer.hpp"

#include <deque>
#include <stdexcept>
#include <string>
#include <utility>

namespace cactuspitch {

class StoreLink::Connection final
  : public std::enable_shared_from_this<Connection>
{
public:
  Connection(StoreLink& aLink, int aFd)
    : link_(aLink)
    , gatewayEvents_(*this, true)
    , storeEvents_(*this, false)
    , gateway_(aLink.loop_, gatewayEvents_)
    , store_(aLink.loop_, storeEvents_)
    , timer_(aLink.loop_, [this] { Deliver(); })
  {
    gateway_.Adopt(aFd);
    store_.Connect(aLink.store_);
  }

private:
  struct Side final : StreamHandler
  {
    Side(Connection& aOwner, bool aIsGateway)
      : owner_(aOwner)
      , isGateway_(aIsGateway)
    {
    }
    void OnInput() override { owner_.OnInput(isGateway_); }
    void OnStreamClosed(CloseReason) override { owner_.End(); }

    Connection& owner_;
    bool isGateway_;
  };

  void OnInput(bool aIsGateway)
  {
    if (aIsGateway) {
      store_.Write(std::exchange(gateway_.Input(), {}));
      return;
    }
    const TimeMs dueMs = link_.loop_.NowMs() + link_.delayMs_;
    waiting_.emplace_back(dueMs, std::exchange(store_.Input(), {}));
    Deliver();
  }
  void Deliver()
  {
    const TimeMs nowMs = link_.loop_.NowMs();
    while (!waiting_.empty() && waiting_.front().first <= nowMs) {
      gateway_.Write(waiting_.front().second);
      waiting_.pop_front();
    }
    if (!waiting_.empty()) {
      timer_.Start(waiting_.front().first - nowMs);
    }
  }
  void End()
  {
    const auto self = shared_from_this();
    timer_.Stop();
    gateway_.Close();
    store_.Close();
    link_.connections_.erase(self);
    link_.loop_.Defer([self] {});
  }

  StoreLink& link_;
  Side gatewayEvents_;
  Side storeEvents_;
  TcpStream gateway_;
  TcpStream store_;
  Timer timer_;
  std::deque<std::pair<TimeMs, std::string>> waiting_;
};

StoreLink::StoreLink(EventLoop& aLoop, Endpoint aStore)
  : loop_(aLoop)
  , store_(aStore)
  , address_(FreeEndpoint())
  , listener_(aLoop, [this](int aFd) {
    connections_.insert(std::make_shared<Connection>(*this, aFd));
  })
{
  if (!listener_.Listen(address_)) {
    throw std::runtime_error("cannot listen for the link to the store");
  }
}

StoreLink::~StoreLink() = default;

}
