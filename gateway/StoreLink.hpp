#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/PlatformPort.hpp"
#include "net/HttpClient.hpp"

#include <functional>
#include <random>
#include <string>

namespace cactuspitch {

/// The one client of the platform's store. Notes when the store is lost and
/// when it is back.
class StoreLink
{
public:
  using Done = std::function<void(StoreAnswer aAnswer)>;
  /// Told of every failed call, and of the first good one after failures.
  struct Watcher
  {
    std::function<void()> onDisturbed_;
    std::function<void()> onRegained_;
  };

  StoreLink(EventLoop& aLoop,
            EventLog& aLog,
            HttpClient& aClient,
            const ObjectProtocol& aProtocol,
            Endpoint aStore);

  void SetWatcher(Watcher aWatcher) { watcher_ = std::move(aWatcher); }
  void Call(CallRequest aRequest, Done aDone);
  const ObjectProtocol& Protocol() const { return protocol_; }
  bool IsReachable() const { return failures_ == 0; }
  /// Since the first failed call, 0 while the store is reachable.
  TimeMs LostForMs() const
  {
    return IsReachable() ? 0 : loop_.NowMs() - lostMs_;
  }
  /// Since the store's last answer.
  TimeMs AnswerAgeMs() const { return loop_.NowMs() - answeredMs_; }
  int64_t Calls() const { return calls_; }
  /// A random part of aMs, so that the gateways do not call in step.
  TimeMs Jitter(TimeMs aMs);

private:
  void Note(const StoreAnswer& aAnswer,
            std::string_view aCause,
            TimeMs aSentMs);

  EventLoop& loop_;
  EventLog& log_;
  HttpClient& client_;
  const ObjectProtocol& protocol_;
  Endpoint store_;
  Watcher watcher_;
  int failures_ = 0;
  TimeMs lostMs_ = 0;
  TimeMs answeredMs_ = 0; ///< last answer of the store
  int64_t calls_ = 0;
  std::minstd_rand random_;
};

}
