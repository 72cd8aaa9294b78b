#pragma once

#include "RouterBackgroundTasks.hpp"
#include "RouterContext.hpp"
#include "RouterSettings.hpp"
#include "SynchronizedLedger.hpp"
#include "ThriftLedgerTransport.hpp"
#include "common/HttpServer.hpp"
#include "rpc/ThriftServer.hpp"

#include <atomic>
#include <memory>
#include <string>

#include <absl/status/status.h>

namespace cactuspitch {

/// The router: serves callers over HTTP and peers over Thrift. The source of
/// the routing tables is passed in.
class Router
{
public:
  Router(const Clock& aClock, RouterSettings aSettings, RoutingTables& aTables);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Starts the listeners and the background tasks.
  absl::Status Start();
  /// Fails the readiness check, waits for the load balancer, completes the
  /// requests in flight and stops. False when requests were still in flight
  /// when the stop timeout expired.
  bool StopGracefully();

  const RouterContext& Context() const { return context_; }
  const RouterBackgroundTasks& BackgroundTasks() const
  {
    return backgroundTasks_;
  }

private:
  void Handle(HttpExchange& aExchange);
  void HandleInternalEndpoint(HttpExchange& aExchange);
  std::string MetricsText() const;
  wire::ProcessStatus Status() const;

  const Clock& clock_;
  const RouterSettings settings_;
  RoutingTables& tables_;
  const TimeMs startMs_;
  StateRegistry registry_;
  RuleCache rules_;
  SynchronizedLedger localLedger_;
  RouterChannelPool routerPool_;
  AssignerChannelPool assignerPool_;
  ThriftLedgerTransport ledgerTransport_;
  LedgerClient ledger_;
  SynchronizedQuarantine quarantine_;
  LoadRecorder loadRecorder_;
  SloCounters slo_;
  CancellationSender cancellationSender_;
  RouterContext context_;
  RouterBackgroundTasks backgroundTasks_;
  ThriftServer rpc_;
  HttpServer http_;
  std::atomic<bool> ready_ = false;
};

}
