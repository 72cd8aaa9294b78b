#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/PlatformInterface.hpp"
#include "net/HttpClient.hpp"

#include <functional>
#include <random>
#include <string>

namespace cactuspitch {

/// Client of the platform's store, shared by the whole process. Tracks whether
/// the store is reachable.
class StoreClient
{
public:
  using Callback = std::function<void(StoreResponse aResponse)>;
  /// Called after every failed call and after the first successful call that
  /// follows a failure.
  struct Observer
  {
    std::function<void()> onCallFailed_;
    std::function<void()> onRecovered_;
  };

  StoreClient(EventLoop& aLoop,
              EventLog& aLog,
              HttpClient& aClient,
              const ObjectProtocol& aProtocol,
              Endpoint aStore);

  void SetObserver(Observer aObserver) { observer_ = std::move(aObserver); }
  /// Sends the request and calls aCallback once with the response.
  void Call(CallRequest aRequest, Callback aCallback);
  const ObjectProtocol& Protocol() const { return protocol_; }
  bool IsReachable() const { return failures_ == 0; }
  /// Time since the first failed call, 0 while the store is reachable.
  TimeMs UnreachableForMs() const
  {
    return IsReachable() ? 0 : loop_.NowMs() - unreachableSinceMs_;
  }
  /// Time since the store's last response.
  TimeMs ResponseAgeMs() const { return loop_.NowMs() - lastResponseMs_; }
  /// Number of calls since the start of the process.
  int64_t Calls() const { return calls_; }
  /// Random time from 0 to aMs, so that the gateways do not call in step.
  TimeMs Jitter(TimeMs aMs);

private:
  void RecordResult(const StoreResponse& aResponse,
                    std::string_view aCause,
                    TimeMs aSentMs);

  EventLoop& loop_;
  EventLog& log_;
  HttpClient& client_;
  const ObjectProtocol& protocol_;
  Endpoint store_;
  Observer observer_;
  int failures_ = 0;
  TimeMs unreachableSinceMs_ = 0;
  TimeMs lastResponseMs_ = 0; ///< last response of the store
  int64_t calls_ = 0;
  std::minstd_rand random_;
};

}
