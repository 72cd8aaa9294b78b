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
  struct Handlers
  {
    /// Whether holds may be granted anew now, or only prolonged.
    std::function<GrantScope()> scope_;
    std::function<
      void(const KeyOrder&, OrderResult, const std::string& aHandover)>
      onDone_;
  };

  OrderSender(EventLoop& aLoop,
              EventLog& aLog,
              HttpClient& aClient,
              const OrderProtocol& aProtocol,
              Handlers aHandlers);

  /// Addresses stay known when the registration is gone: the server may hold
  /// keys.
  void SetAddress(const std::string& aBackend, const Endpoint& aEndpoint);
  void Send(const KeyOrder& aOrder);
  /// Drops waiting orders; answers to those under way are ignored.
  void Reset();

private:
  struct Lane
  {
    int inFlight_ = 0;
    std::deque<KeyOrder> waiting_;
  };

  void SendWaiting(const std::string& aBackend);
  void SendNow(const KeyOrder& aOrder);
  void OnDone(const KeyOrder& aOrder, const CallResult& aResult);

  EventLoop& loop_;
  EventLog& log_;
  HttpClient& client_;
  const OrderProtocol& protocol_;
  Handlers handlers_;
  uint64_t run_ = 0; ///< grows with Reset
  std::map<std::string, Endpoint> addresses_;
  std::set<std::string> failing_; ///< servers whose last order went unanswered
  std::map<std::string, Lane> lanes_;
};

}
