#include "gateway/StoreClient.hpp"

#include <utility>

namespace cactuspitch {

StoreClient::StoreClient(EventLoop& aLoop,
                         EventLog& aLog,
                         HttpClient& aClient,
                         const ObjectProtocol& aProtocol,
                         Endpoint aStore)
  : loop_(aLoop)
  , log_(aLog)
  , client_(aClient)
  , protocol_(aProtocol)
  , store_(aStore)
  , random_(std::random_device{}())
{
}

TimeMs StoreClient::Jitter(TimeMs aMs)
{
  return std::uniform_int_distribution<TimeMs>(0, aMs)(random_);
}

void StoreClient::Call(CallRequest aRequest, Callback aCallback)
{
  ++calls_;
  // After a failure idle connections may be dead.
  aRequest.connecting_ = failures_ > 0 ? Connecting::Fresh : Connecting::Reuse;
  client_.Call(store_,
               aRequest,
               [this, sentMs = loop_.NowMs(), callback = std::move(aCallback)](
                 const CallResult& aResult) {
                 auto response = protocol_.ParseResponse(aResult);
                 RecordResult(response, aResult.cause_, sentMs);
                 callback(std::move(response));
               });
}

void StoreClient::RecordResult(const StoreResponse& aResponse,
                               std::string_view aCause,
                               TimeMs aSentMs)
{
  const bool failed = aResponse.status_ == StoreStatus::NotApplied ||
                      aResponse.status_ == StoreStatus::Unknown;
  if (failed && aSentMs < lastResponseMs_) {
    // A later call has succeeded, so this failure belongs to an outage that is
    // over.
    return;
  }
  if (failed) {
    if (failures_++ == 0) {
      unreachableSinceMs_ = loop_.NowMs();
      log_.Write(LogLevel::Warning,
                 "store-lost",
                 { { "status", EnumName(aResponse.status_) },
                   { "http", aResponse.httpStatus_ },
                   { "cause", aCause } });
    }
    if (observer_.onCallFailed_) {
      observer_.onCallFailed_();
    }
    return;
  }
  lastResponseMs_ = loop_.NowMs();
  if (std::exchange(failures_, 0) > 0) {
    client_.DropIdle(store_);
    log_.Write(LogLevel::Info,
               "store-regained",
               { { "after_ms", loop_.NowMs() - unreachableSinceMs_ } });
    if (observer_.onRecovered_) {
      observer_.onRecovered_();
    }
  }
}

}
