#pragma once

#include "Record.hpp"
#include "common/Strings.hpp"
#include "tests/DelayedTasks.hpp"
#include "tests/PlatformStore.hpp"
#include "tests/ScriptedServer.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cactuspitch {

/// Worker of a service that is divided by key. It registers itself, takes
/// grants and releases, and runs requests for the keys that it holds.
class KeyedWorker
{
public:
  static constexpr uint32_t kKeys = 65536;
  static constexpr TimeMs kHeartbeatMs = 870;
  static constexpr TimeMs kWorkMs = 40;
  static constexpr int kSlots = 6;

  struct Hold
  {
    int64_t fence_ = 0;
    TimeMs untilMs_ = 0;
    TimeMs grantedMs_ = 0; ///< arrival of the last grant
  };
  using OnBegin = std::function<void(KeyedWorker& aWorker, uint32_t aKey)>;

  KeyedWorker(EventLoop& aLoop,
              PlatformStore& aStore,
              Record& aRecord,
              std::string aId,
              std::string aService,
              std::string aZone,
              OnBegin aOnBegin)
    : loop_(aLoop)
    , store_(aStore)
    , record_(aRecord)
    , id_(std::move(aId))
    , service_(std::move(aService))
    , zone_(std::move(aZone))
    , onBegin_(std::move(aOnBegin))
    , bornMs_(UnixNowMs())
    , holds_(kKeys)
    , tasks_(aLoop)
    , heartbeat_(aLoop, [this] { Register(); })
    , server_(aLoop, [this](auto& aExchange) { Serve(aExchange); })
  {
    record_.Line(Concat("worker ", id_, " starts"));
    Register();
  }

  const std::string& Id() const { return id_; }
  bool IsUp() const { return up_; }
  bool IsDraining() const { return draining_; }
  const Hold& HoldOf(uint32_t aKey) const { return holds_[aKey]; }
  bool Holds(uint32_t aKey) const
  {
    return up_ && holds_[aKey].untilMs_ > loop_.NowMs();
  }
  /// Ends without notice and starts again under the same id after aDownMs. The
  /// new life holds nothing and knows nothing of before.
  void Crash(TimeMs aDownMs)
  {
    up_ = false;
    heartbeat_.Stop();
    server_.Crash();
    running_.clear();
    releases_.clear();
    for (uint32_t key = 0; key < kKeys; ++key) {
      earlierFences_[key] = std::max(earlierFences_[key], holds_[key].fence_);
      holds_[key] = Hold{};
    }
    record_.Line(Concat("worker ", id_, " crashes"));
    tasks_.After(aDownMs, [this] {
      ++life_;
      server_.Restart();
      up_ = true;
      bornMs_ = UnixNowMs();
      seq_ = 0;
      record_.Line(Concat(
        "worker ", id_, " starts again, life ", life_, ", born ", bornMs_));
      Register();
    });
  }
  /// Grants that this life accepted with a fence that an earlier life of this
  /// worker had, or a lower one.
  int StaleTakes() const { return staleTakes_; }
  /// Reports that it is draining, and exits after aServeMs.
  void Drain(TimeMs aServeMs)
  {
    draining_ = true;
    record_.Line(Concat("worker ", id_, " drains"));
    Register();
    tasks_.After(aServeMs, [this] { Exit(); });
  }

private:
  using Exchange = ScriptedServer::Exchange;
  using Json = nlohmann::json;

  void Exit()
  {
    up_ = false;
    heartbeat_.Stop();
    server_.Crash();
    store_.Remove("servers", id_);
    record_.Line(Concat("worker ", id_, " exits"));
  }
  void Register()
  {
    store_.Put("servers",
               id_,
               { { "address", server_.Address().ToText() },
                 { "born", bornMs_ },
                 { "info",
                   { { "service", service_ },
                     { "zone", zone_ },
                     { "version", "1" },
                     { "slots", kSlots } } },
                 { "status",
                   { { "state", draining_ ? "draining" : "ready" },
                     { "seq", ++seq_ } } } });
    heartbeat_.Start(kHeartbeatMs);
  }
  static std::string Response(const Exchange& aExchange,
                              int aStatus,
                              std::string_view aFields,
                              std::string_view aBody)
  {
    return Concat("HTTP/1.1 ",
                  aStatus,
                  " X\r\nCactuspitch-Request-Id: ",
                  aExchange.head_.Field("Cactuspitch-Request-Id"),
                  "\r\n",
                  aFields,
                  "Content-Length: ",
                  aBody.size(),
                  "\r\n\r\n",
                  aBody);
  }
  static void Refuse(const Exchange& aExchange, int aStatus)
  {
    aExchange.write_(
      Response(aExchange, aStatus, "Cactuspitch-Not-Executed: 1\r\n", ""));
  }
  void Serve(const Exchange& aExchange)
  {
    const auto& head = aExchange.head_;
    constexpr int kMisdirected = 421;
    const auto target = head.Field("Cactuspitch-Target-Instance");
    if (!target.empty() && target != id_) {
      Refuse(aExchange, kMisdirected);
      return;
    }
    if (head.target_ == "/-/grant") {
      Grant(aExchange, Json::parse(aExchange.body_));
      return;
    }
    if (head.target_ == "/-/release") {
      Release(aExchange, Json::parse(aExchange.body_));
      return;
    }
    uint32_t key = kKeys;
    ParseNumber(head.Field("Cactuspitch-Shard-Key"), key);
    if (key >= kKeys || !Holds(key)) {
      Refuse(aExchange, kMisdirected);
      return;
    }
    Run(aExchange, key);
  }
  void Run(const Exchange& aExchange, uint32_t aKey)
  {
    const std::string id(aExchange.head_.Field("Cactuspitch-Request-Id"));
    record_.Line(Concat("run ", id, " key ", aKey, " by ", id_));
    onBegin_(*this, aKey);
    running_.push_back(aKey);
    tasks_.After(kWorkMs, [this, aExchange, aKey, life = life_] {
      if (up_ && life == life_) {
        running_.erase(std::ranges::find(running_, aKey));
        aExchange.write_(Response(aExchange,
                                  200,
                                  Concat("Cactuspitch-Response-Seal: s\r\n"
                                         "Cactuspitch-Server-Load: ",
                                         running_.size(),
                                         ",0,",
                                         kSlots,
                                         "\r\n"),
                                  "done"));
        AnswerReleases();
      }
    });
  }
  void Grant(const Exchange& aExchange, const Json& aBody)
  {
    constexpr int kOk = 200;
    constexpr int kConflict = 409;
    constexpr double kMsPerSecond = 1000;
    const uint32_t first = aBody.at("from");
    const uint32_t last = aBody.at("to");
    const int64_t fence = aBody.at("fence");
    const TimeMs nowMs = loop_.NowMs();
    const auto begin = holds_.begin() + first;
    const auto end = holds_.begin() + last + 1;
    if (std::any_of(begin, end, [&](const Hold& aHold) {
          return aHold.fence_ > fence;
        })) {
      record_.Line(Concat(
        "grant ", first, "-", last, " fence ", fence, " to ", id_, ": 409"));
      aExchange.write_(Response(aExchange, kConflict, "", ""));
      return;
    }
    const auto untilMs =
      nowMs +
      static_cast<TimeMs>(aBody.at("hold-s").get<double>() * kMsPerSecond);
    if (begin->fence_ != fence || begin->untilMs_ <= nowMs) {
      record_.Line(
        Concat("grant ", first, "-", last, " fence ", fence, " to ", id_));
    }
    CheckFence(first, last, fence);
    std::for_each(begin, end, [&](Hold& aHold) {
      aHold = { fence, std::max(aHold.untilMs_, untilMs), nowMs };
    });
    aExchange.write_(Response(aExchange, kOk, "", ""));
  }
  void CheckFence(uint32_t aFirst, uint32_t aLast, int64_t aFence)
  {
    // A renewal takes nothing.
    const bool takes = holds_[aFirst].untilMs_ <= loop_.NowMs();
    const auto earlier = *std::max_element(earlierFences_.begin() + aFirst,
                                           earlierFences_.begin() + aLast + 1);
    if (takes && aFence <= earlier) {
      ++staleTakes_;
      record_.Finding(Concat("OWNER: life ",
                             life_,
                             " of ",
                             id_,
                             " takes ",
                             aFirst,
                             "-",
                             aLast,
                             " with fence ",
                             aFence,
                             ", an earlier life had ",
                             earlier));
    }
  }
  void Release(const Exchange& aExchange, const Json& aBody)
  {
    const uint32_t first = aBody.at("from");
    const uint32_t last = aBody.at("to");
    const int64_t fence = aBody.at("fence");
    record_.Line(
      Concat("release ", first, "-", last, " fence ", fence, " at ", id_));
    std::for_each(
      holds_.begin() + first, holds_.begin() + last + 1, [&](Hold& aHold) {
        aHold.fence_ = std::max(aHold.fence_, fence);
        aHold.untilMs_ = 0;
      });
    releases_.push_back({ aExchange, first, last });
    AnswerReleases();
  }
  /// A release is answered when the work on its keys has ended.
  void AnswerReleases()
  {
    std::erase_if(releases_, [&](const PendingRelease& aRelease) {
      const bool busy = std::ranges::any_of(running_, [&](uint32_t aKey) {
        return aRelease.first_ <= aKey && aKey <= aRelease.last_;
      });
      if (!busy) {
        aRelease.exchange_.write_(
          Response(aRelease.exchange_,
                   200,
                   Concat("Cactuspitch-Handover: h", ++handovers_, "\r\n"),
                   ""));
      }
      return !busy;
    });
  }

  struct PendingRelease
  {
    Exchange exchange_;
    uint32_t first_ = 0;
    uint32_t last_ = 0;
  };

  EventLoop& loop_;
  PlatformStore& store_;
  Record& record_;
  std::string id_;
  std::string service_;
  std::string zone_;
  OnBegin onBegin_;
  int64_t bornMs_;
  int64_t seq_ = 0;
  bool up_ = true;
  bool draining_ = false;
  int handovers_ = 0;
  int life_ = 1;
  int staleTakes_ = 0;
  std::vector<Hold> holds_;
  std::vector<int64_t> earlierFences_ = std::vector<int64_t>(kKeys);
  std::vector<uint32_t> running_;
  std::vector<PendingRelease> releases_;
  DelayedTasks tasks_;
  Timer heartbeat_;
  ScriptedServer server_;
};

}
