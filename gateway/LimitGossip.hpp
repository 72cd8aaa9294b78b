#pragma once

#include "gateway/BackendPool.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/GatewayMetrics.hpp"
#include "gossip_types.h"
#include "net/EventLoop.hpp"
#include "policy/RequestLimiter.hpp"

#include <string_view>

namespace cactuspitch {

/// Request limits and permits as parts of the datagrams between gateways.
class LimitGossip
{
public:
  LimitGossip(EventLoop& aLoop,
              EventLog& aLog,
              GatewayMetrics& aMetrics,
              RequestLimiter& aLimiter,
              const BackendPool& aPool);

  void AddNotices(wire::Gossip& aGossip);
  /// Adds the due requests for permits. Returns false if there are none.
  bool AddRequests(wire::Gossip& aGossip);
  /// Replies to the requests in aRequests if this gateway issues permits.
  /// Returns false if there is no reply.
  bool AddReplies(const wire::Gossip& aRequests, wire::Gossip& aReplies);
  /// Merges the sender's limits. Returns true if that changed any.
  bool ApplyNotices(const wire::Gossip& aGossip);
  /// Returns true if there were replies for this gateway.
  bool ApplyReplies(const wire::Gossip& aGossip);
  /// Logs and counts a change. aSource is the gateway that told it, or "answer"
  /// for an answer of the server to this gateway.
  void Report(uint32_t aIncarnation,
              LimitChange aChange,
              std::string_view aSource);

private:
  EventLoop& loop_;
  EventLog& log_;
  GatewayMetrics& metrics_;
  RequestLimiter& limiter_;
  const BackendPool& pool_;
};

}
