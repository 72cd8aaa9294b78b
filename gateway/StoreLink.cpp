#include "gateway/StoreLink.hpp"

#include <utility>

namespace cactuspitch {

StoreLink::StoreLink(EventLoop& aLoop,
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

TimeMs StoreLink::Jitter(TimeMs aMs)
{
  return std::uniform_int_distribution<TimeMs>(0, aMs)(random_);
}

void StoreLink::Call(CallRequest aRequest, Done aDone)
{
  ++calls_;
  // After a failure the kept connections are not trusted.
  aRequest.connectionPolicy_ =
    failures_ > 0 ? ConnectionPolicy::NewOnly : ConnectionPolicy::ReuseOrNew;
  client_.Call(store_,
               aRequest,
               [this, sentMs = loop_.NowMs(), done = std::move(aDone)](
                 const CallResult& aResult) {
                 auto answer = protocol_.ReadAnswer(aResult);
                 Note(answer, aResult.cause_, sentMs);
                 done(std::move(answer));
               });
}

void StoreLink::Note(const StoreAnswer& aAnswer,
                     std::string_view aCause,
                     TimeMs aSentMs)
{
  const bool failed = aAnswer.status_ == StoreStatus::NotDone ||
                      aAnswer.status_ == StoreStatus::Unknown;
  if (failed && aSentMs < answeredMs_) {
    // The store has answered since: this tells of an outage that is over.
    return;
  }
  if (failed) {
    if (failures_++ == 0) {
      lostMs_ = loop_.NowMs();
      log_.Write(LogLevel::Warning,
                 "store-lost",
                 { { "status", EnumName(aAnswer.status_) },
                   { "http", aAnswer.httpStatus_ },
                   { "cause", aCause } });
    }
    if (watcher_.onDisturbed_) {
      watcher_.onDisturbed_();
    }
    return;
  }
  answeredMs_ = loop_.NowMs();
  if (std::exchange(failures_, 0) > 0) {
    client_.CloseIdle(store_);
    log_.Write(LogLevel::Info,
               "store-regained",
               { { "after_ms", loop_.NowMs() - lostMs_ } });
    if (watcher_.onRegained_) {
      watcher_.onRegained_();
    }
  }
}

}
