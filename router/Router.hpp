#pragma once

#include "LedgerHolder.hpp"
#include "RouterContext.hpp"
#include "RouterDuties.hpp"
#include "RouterSettings.hpp"
#include "ThriftLedgerPeers.hpp"
#include "common/HttpServer.hpp"
#include "rpc/ThriftServer.hpp"

#include <atomic>
#include <memory>
#include <string>

#include <absl/status/status.h>

namespace cactuspitch {

/// The router process without its table follower, which is passed in.
class Router
{
public:
  Router(const Clock& aClock, RouterSettings aSettings, RoutingTables& aTables);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  absl::Status Start();
  /// Fails readiness, waits for the balancer, finishes the requests in flight
  /// and stops. False when requests were still in flight at the time limit.
  bool StopGracefully();

  const RouterContext& Context() const { return context_; }
  const RouterDuties& Duties() const { return duties_; }

private:
  void Handle(HttpExchange& aExchange);
  void HandleOwn(HttpExchange& aExchange);
  std::string MetricsText() const;
  wire::ProcessStatus Status() const;

  const Clock& clock_;
  const RouterSettings settings_;
  RoutingTables& tables_;
  const TimeMs startMs_;
  StateRegistry registry_;
  RuleBook rules_;
  LedgerHolder ledgerHolder_;
  RouterPeerPool routerPool_;
  AssignerPeerPool assignerPool_;
  ThriftLedgerPeers ledgerPeers_;
  LedgerClient ledger_;
  QuarantineKeeper quarantine_;
  Measurements measurements_;
  SloCounters slo_;
  Canceller canceller_;
  RouterContext context_;
  RouterDuties duties_;
  ThriftServer rpc_;
  HttpServer http_;
  std::atomic<bool> ready_ = false;
};

}
