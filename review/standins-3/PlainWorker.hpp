#pragma once

#include "Record.hpp"
#include "common/Strings.hpp"
#include "tests/DelayedTasks.hpp"
#include "tests/PlatformStore.hpp"
#include "tests/ScriptedServer.hpp"

#include <functional>
#include <string>
#include <utility>

namespace cactuspitch {

/// Worker of a service that is not divided by key. What it does with a request
/// is the script of the case.
class PlainWorker
{
public:
  static constexpr TimeMs kHeartbeatMs = 870;
  static constexpr int kSlots = 6;

  using Exchange = ScriptedServer::Exchange;
  /// Runs a request that was sent to this worker.
  using Runner =
    std::function<void(PlainWorker& aWorker, const Exchange& aExchange)>;

  PlainWorker(EventLoop& aLoop,
              PlatformStore& aStore,
              Record& aRecord,
              std::string aId,
              std::string aService,
              Runner aRunner)
    : store_(aStore)
    , record_(aRecord)
    , id_(std::move(aId))
    , service_(std::move(aService))
    , runner_(std::move(aRunner))
    , bornMs_(UnixNowMs())
    , tasks_(aLoop)
    , heartbeat_(aLoop, [this] { Register(); })
    , server_(aLoop, [this](auto& aExchange) { Serve(aExchange); })
  {
    Register();
  }

  const std::string& Id() const { return id_; }
  /// Runs aTask after aDelayMs.
  void After(TimeMs aDelayMs, std::function<void()> aTask)
  {
    tasks_.After(aDelayMs, std::move(aTask));
  }
  static std::string RequestId(const Exchange& aExchange)
  {
    return std::string(aExchange.head_.Field("Cactuspitch-Request-Id"));
  }
  static std::string Response(const Exchange& aExchange,
                              int aStatus,
                              std::string_view aFields,
                              std::string_view aBody)
  {
    return Concat("HTTP/1.1 ",
                  aStatus,
                  " X\r\nCactuspitch-Request-Id: ",
                  RequestId(aExchange),
                  "\r\n",
                  aFields,
                  "Content-Length: ",
                  aBody.size(),
                  "\r\n\r\n",
                  aBody);
  }

private:
  void Register()
  {
    store_.Put("servers",
               id_,
               { { "address", server_.Address().ToText() },
                 { "born", bornMs_ },
                 { "info",
                   { { "service", service_ },
                     { "zone", "z0" },
                     { "version", "1" },
                     { "slots", kSlots } } },
                 { "status", { { "state", "ready" }, { "seq", ++seq_ } } } });
    heartbeat_.Start(kHeartbeatMs);
  }
  void Serve(const Exchange& aExchange)
  {
    constexpr int kMisdirected = 421;
    const auto target = aExchange.head_.Field("Cactuspitch-Target-Instance");
    if (!target.empty() && target != id_) {
      aExchange.write_(Response(
        aExchange, kMisdirected, "Cactuspitch-Not-Executed: 1\r\n", ""));
      return;
    }
    record_.Line(Concat("run ", RequestId(aExchange), " by ", id_));
    runner_(*this, aExchange);
  }

  PlatformStore& store_;
  Record& record_;
  std::string id_;
  std::string service_;
  Runner runner_;
  int64_t bornMs_;
  int64_t seq_ = 0;
  DelayedTasks tasks_;
  Timer heartbeat_;
  ScriptedServer server_;
};

}
