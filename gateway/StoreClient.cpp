#include "gateway/StoreClient.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Part of a target that log lines name.
constexpr size_t kMaxTargetBytes = 256;

}

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

void StoreClient::Call(StoreRequest aRequest, Callback aCallback)
{
  if (aRequest.expectedEra_ && *aRequest.expectedEra_ < Era()) {
    // The number may have been given out again for another state.
    loop_.Defer([callback = std::move(aCallback)] {
      StoreResponse response;
      response.status_ = StoreStatus::Restored;
      callback(std::move(response));
    });
    return;
  }
  ++calls_;
  // After a failure idle connections may be dead.
  aRequest.connectionPolicy_ =
    failures_ > 0 ? ConnectionPolicy::NewOnly : ConnectionPolicy::ReuseOrNew;
  client_.Call(store_,
               aRequest,
               [this,
                sentMs = loop_.NowMs(),
                expectedEra = aRequest.expectedEra_,
                target = aRequest.target_,
                callback = std::move(aCallback)](const CallResult& aResult) {
                 auto response = protocol_.ParseResponse(aResult);
                 ApplyEra(expectedEra, response);
                 if (response.isMalformed_) {
                   ReportMalformed(response, target, aResult.cause_);
                 } else {
                   RecordResult(response, aResult.cause_, sentMs);
                 }
                 callback(std::move(response));
               });
}

void StoreClient::ApplyEra(const std::optional<int64_t>& aExpectedEra,
                           StoreResponse& aResponse)
{
  const int64_t responseEra = aResponse.era_.value_or(Era());
  const auto order = [&](int64_t& aRevision) {
    aRevision = MakeRevision(responseEra, aRevision);
  };
  order(aResponse.list_.revision_);
  order(aResponse.object_.revision_);
  for (auto& item : aResponse.list_.items_) {
    order(item.revision_);
  }
  for (auto& event : aResponse.list_.events_) {
    order(event.object_.revision_);
  }
  const bool failed = aResponse.status_ == StoreStatus::NotApplied ||
                      aResponse.status_ == StoreStatus::Unknown;
  const bool isLate = responseEra < Era();
  if (!failed &&
      (isLate || responseEra != aExpectedEra.value_or(responseEra))) {
    aResponse.status_ = StoreStatus::Restored;
  }
  const bool restored = era_ && responseEra > *era_;
  if (aResponse.era_ && !isLate) {
    era_ = responseEra;
  }
  if (restored) {
    log_.Write(LogLevel::Warning, "store-restored", { { "era", responseEra } });
    if (observer_.onRestored_) {
      observer_.onRestored_();
    }
  }
}

void StoreClient::ReportMalformed(const StoreResponse& aResponse,
                                  std::string_view aTarget,
                                  std::string_view aCause)
{
  // The store is neither lost, nor does the answer say anything.
  const auto path =
    aTarget.substr(0, std::min(aTarget.find('?'), detail::kMaxTargetBytes));
  if (reportedMalformed_.Passes(path, loop_.NowMs())) {
    log_.Write(LogLevel::Warning,
               "store-answer-malformed",
               { { "target", aTarget.substr(0, detail::kMaxTargetBytes) },
                 { "http", aResponse.httpStatus_ },
                 { "cause", aCause } });
  }
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
    lastFailedSentMs_ = std::max(lastFailedSentMs_, aSentMs);
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
    client_.CloseIdle(store_);
    log_.Write(LogLevel::Info,
               "store-regained",
               { { "after_ms", loop_.NowMs() - unreachableSinceMs_ } });
    if (observer_.onRecovered_) {
      observer_.onRecovered_();
    }
  }
}

}
