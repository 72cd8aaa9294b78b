#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/PlatformPort.hpp"
#include "keyspace/KeyOwnership.hpp"
#include "net/HttpClient.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace cactuspitch {

/// Sends the leader's orders to backend servers, a few at a time to each.
class OrderSender
{
public:
  /// Told of the life of a server that answered an order.
  using LeavingCallback =
    std::function<void(const std::string& aBackend, int64_t aBornMs)>;

  struct Handlers
  {
    /// Whether holds may be granted anew now, or only prolonged.
    std::function<GrantScope()> scope_;
    std::function<void(const KeyOrder&, const OrderAnswer&)> onDone_;
    /// The server said in its answer that it leaves.
    LeavingCallback onLeaving_;
  };

  OrderSender(EventLoop& aLoop,
              EventLog& aLog,
              HttpClient& aClient,
              const OrderProtocol& aProtocol,
              Handlers aHandlers);

  /// Addresses stay known when the registration is gone: the server may hold
  /// keys.
  void SetServer(const std::string& aBackend,
                 const Endpoint& aEndpoint,
                 int64_t aBornMs);
  void Send(const KeyOrder& aOrder);
  /// Drops waiting orders; answers to those under way are ignored.
  void Reset();

private:
  struct Server
  {
    Endpoint endpoint_;
    int64_t bornMs_ = 0;
  };
  struct Lane
  {
    int inFlight_ = 0;
    std::deque<KeyOrder> waiting_;
  };

  void SendWaiting(const std::string& aBackend);
  void SendNow(const KeyOrder& aOrder);
  /// aBornMs names the life that the order was sent to.
  void OnDone(const KeyOrder& aOrder,
              int64_t aBornMs,
              const CallResult& aResult);

  EventLoop& loop_;
  EventLog& log_;
  HttpClient& client_;
  const OrderProtocol& protocol_;
  Handlers handlers_;
  uint64_t run_ = 0; ///< grows with Reset
  std::map<std::string, Server> servers_;
  std::set<std::string> failing_; ///< servers whose last order went unanswered
  std::map<std::string, Lane> lanes_;
};

}
