#pragma once

#include "CallerRequest.hpp"
#include "CancellationSender.hpp"
#include "LedgerClient.hpp"
#include "LoadRecorder.hpp"
#include "RoutingTables.hpp"
#include "RuleCache.hpp"
#include "SloCounters.hpp"
#include "StateRegistry.hpp"
#include "SynchronizedQuarantine.hpp"

#include <array>
#include <atomic>
#include <string>

namespace cactuspitch {

/// Shared state of all requests. Router owns it and the objects it refers to.
struct RouterContext
{
  const Clock& clock_;
  RoutingTables& tables_;
  StateRegistry& registry_;
  RuleCache& rules_;
  LedgerClient& ledger_;
  SynchronizedQuarantine& quarantine_;
  LoadRecorder& loadRecorder_;
  SloCounters& slo_;
  CancellationSender& cancellationSender_;
  std::string instance_;
  InputLimits limits_;
  /// Limit of requests that wait for an owner at the same time. Each blocks a
  /// thread; without a limit they would starve requests to other services.
  int maxParked_ = 1;

  std::atomic<int> parked_ = 0;
  std::atomic<int> routers_ = 1; ///< live routers, this one included
  std::atomic<uint64_t> nextRequest_ = 1;
  std::array<std::atomic<int64_t>, static_cast<size_t>(Outcome::Count)>
    outcomes_{};
};

}
