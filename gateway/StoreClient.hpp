#pragma once

#include "common/RepeatFilter.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/PlatformInterface.hpp"
#include "net/HttpClient.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace cactuspitch {

/// Client of the platform's store, shared by the whole process. Tracks whether
/// the store is reachable.
class StoreClient
{
public:
  using Callback = std::function<void(StoreResponse aResponse)>;
  struct Observer
  {
    /// Called after every failed call.
    std::function<void()> onCallFailed_;
    /// Called after the first successful call that follows a failure.
    std::function<void()> onRecovered_;
    /// A response shows that the store was restored from an older copy.
    std::function<void()> onRestored_;
  };

  StoreClient(EventLoop& aLoop,
              EventLog& aLog,
              HttpClient& aClient,
              const ObjectProtocol& aProtocol,
              Endpoint aStore);

  void SetObserver(Observer aObserver) { observer_ = std::move(aObserver); }
  /// Sends the request and calls aCallback once with the response.
  /// Revisions in it are those of StoreRevision.hpp. A call that refers to a
  /// revision of an earlier era gets StoreStatus::Restored.
  void Call(StoreRequest aRequest, Callback aCallback);
  const ObjectProtocol& Protocol() const { return protocol_; }
  bool IsReachable() const { return failures_ == 0; }
  /// Latest era of the store that a response has shown.
  int64_t Era() const { return era_.value_or(0); }
  /// Time since the first failed call, 0 while the store is reachable.
  TimeMs UnreachableForMs() const
  {
    return IsReachable() ? 0 : loop_.NowMs() - unreachableSinceMs_;
  }
  /// Time since the store's last response.
  TimeMs ResponseAgeMs() const { return loop_.NowMs() - lastResponseMs_; }
  /// When the last failed call was sent, 0 if there was none.
  TimeMs LastFailedSentMs() const { return lastFailedSentMs_; }
  /// Number of calls since the start of the process.
  int64_t Calls() const { return calls_; }
  /// Random time from 0 to aMs, so that the gateways do not call in step.
  TimeMs Jitter(TimeMs aMs);

private:
  /// Orders the response's revisions by its era, and its era by those before.
  void ApplyEra(const std::optional<int64_t>& aExpectedEra,
                StoreResponse& aResponse);
  void ReportMalformed(const StoreResponse& aResponse,
                       std::string_view aTarget,
                       std::string_view aCause);
  void RecordResult(const StoreResponse& aResponse,
                    std::string_view aCause,
                    TimeMs aSentMs);

  EventLoop& loop_;
  EventLog& log_;
  HttpClient& client_;
  const ObjectProtocol& protocol_;
  Endpoint store_;
  Observer observer_;
  std::optional<int64_t> era_;
  int failures_ = 0;
  TimeMs unreachableSinceMs_ = 0;
  TimeMs lastResponseMs_ = 0; ///< last response of the store
  TimeMs lastFailedSentMs_ = 0;
  RepeatFilter reportedMalformed_; ///< answers, by the path of the call
  int64_t calls_ = 0;
  std::minstd_rand random_;
};

}
