#include "tests/SoakBackend.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cactuspitch {

namespace {

using Json = nlohmann::json;

constexpr TimeMs kBeatMs = 870;
/// An entry lapses after three beats of silence.
constexpr TimeMs kLapseMs = 3 * kBeatMs;
constexpr TimeMs kDrainMs = 2000;
constexpr TimeMs kEndSlackMs = 700;
constexpr TimeMs kReplacedAfterMs = 1200;
constexpr TimeMs kMaxLateCopyMs = 30;
constexpr double kMsPerSecond = 1000;
/// Clocks of servers may run so much slow.
constexpr double kSlowClock = 1.02;

std::string Text(int aStatus, std::string_view aFields, std::string_view aBody)
{
  return Concat("HTTP/1.1 ",
                aStatus,
                " X\r\n",
                aFields,
                "Content-Length: ",
                aBody.size(),
                "\r\n\r\n",
                aBody);
}

std::string IdOf(const ScriptedServer::Exchange& aExchange)
{
  return std::string(aExchange.head_.Field("Cactuspitch-Request-Id"));
}

}

const std::vector<uint32_t>& SoakBackend::Keys()
{
  static const std::vector<uint32_t> kKeys = [] {
    constexpr uint32_t kCount = 24;
    constexpr uint32_t kStep = 2731; // spread over 0 to 65535
    std::vector<uint32_t> keys;
    for (uint32_t index = 0; index < kCount; ++index) {
      keys.push_back(index * kStep);
    }
    return keys;
  }();
  return kKeys;
}

SoakBackend::SoakBackend(EventLoop& aLoop,
                         PlatformStore& aStore,
                         SoakJournal& aJournal,
                         Options aOptions,
                         uint32_t aSeed)
  : loop_(aLoop)
  , store_(aStore)
  , journal_(aJournal)
  , options_(std::move(aOptions))
  , random_(aSeed)
  , server_(aLoop, [this](Exchange& aExchange) { OnExchange(aExchange); })
  , address_(server_.Address().ToText())
  , tasks_(aLoop)
  , beatTimer_(aLoop, [this] { Beat(); })
{
  if (options_.linked_) {
    const auto listen = FreeEndpoint().ToText();
    link_ = std::make_unique<TcpFaultProxy>(listen, address_);
    if (!link_->Start().ok()) {
      throw std::runtime_error("the link does not listen");
    }
    address_ = listen;
  }
  Start();
}

SoakBackend::~SoakBackend()
{
  if (link_ != nullptr) {
    link_->Stop();
  }
}

void SoakBackend::After(TimeMs aDelayMs, std::function<void()> aTask)
{
  tasks_.After(aDelayMs, [this, life = life_, task = std::move(aTask)] {
    if (life == life_ && up_) {
      task();
    }
  });
}

void SoakBackend::Start()
{
  ++life_;
  id_ = Concat(options_.name_, ".", life_);
  startTimeMs_ = UnixNowMs();
  seq_ = 0;
  up_ = true;
  frozen_ = leaving_ = draining_ = false;
  pausedUntilMs_ = ordersDelayedUntilMs_ = 0;
  trouble_ = AnswerTrouble::None;
  Beat();
}

void SoakBackend::End()
{
  up_ = false;
  journal_.OnServerTrouble(id_);
  server_.Crash();
  beatTimer_.Stop();
  frozenInput_.clear();
  running_.clear();
  waiting_.clear();
  holds_.clear();
  releases_.clear();
}

void SoakBackend::Register(std::string_view aState)
{
  store_.Put("servers",
             id_,
             { { "address", address_ },
               { "born", startTimeMs_ },
               { "info",
                 { { "service", options_.service_ },
                   { "zone", options_.failureDomain_ },
                   { "slots", options_.slots_ } } },
               { "status", { { "state", aState }, { "seq", ++seq_ } } } });
}

void SoakBackend::Beat()
{
  if (!frozen_) {
    Register(draining_ ? "draining" : "ready");
  }
  beatTimer_.Start(kBeatMs);
}

void SoakBackend::Crash(TimeMs aBackAfterMs)
{
  if (!up_) {
    return;
  }
  const auto id = id_;
  End();
  tasks_.After(kLapseMs, [this, id] { store_.Remove("servers", id); });
  tasks_.After(aBackAfterMs, [this] {
    server_.Restart();
    Start();
  });
}

void SoakBackend::Freeze(TimeMs aForMs)
{
  if (!up_ || frozen_) {
    return;
  }
  frozen_ = true;
  journal_.OnServerTrouble(id_);
  if (aForMs > kLapseMs) {
    After(kLapseMs, [this] { store_.Remove("servers", id_); });
  }
  After(aForMs, [this] {
    frozen_ = false;
    journal_.OnServerTrouble(id_);
    for (auto& exchange : std::exchange(frozenInput_, {})) {
      Handle(exchange);
    }
    Beat();
  });
}

void SoakBackend::Leave()
{
  if (!up_ || leaving_) {
    return;
  }
  leaving_ = true;
  std::uniform_int_distribution<TimeMs> lag(0, 3000);
  const TimeMs lagMs = lag(random_);
  After(lagMs, [this] {
    draining_ = true;
    Register("draining");
    if (store_.FaultMode() == StoreFaultMode::None) {
      journal_.OnDrainingAccepted(id_);
    }
  });
  After(lagMs + kDrainMs + kEndSlackMs, [this] {
    const auto id = id_;
    End();
    store_.Remove("servers", id);
    tasks_.After(kReplacedAfterMs, [this] {
      server_.Restart();
      Start();
    });
  });
}

void SoakBackend::Pause(TimeMs aForMs)
{
  pausedUntilMs_ = loop_.NowMs() + aForMs;
}

void SoakBackend::SetFaultMode(AnswerTrouble aTrouble, TimeMs aForMs)
{
  if (!up_) {
    return;
  }
  trouble_ = aTrouble;
  journal_.OnServerTrouble(id_);
  After(aForMs, [this] {
    trouble_ = AnswerTrouble::None;
    journal_.OnServerTrouble(id_);
  });
}

void SoakBackend::DelayOrders(TimeMs aForMs)
{
  ordersDelayedUntilMs_ = loop_.NowMs() + aForMs;
}

void SoakBackend::CutLink(ProxyMode aMode, TimeMs aForMs)
{
  if (link_ == nullptr) {
    return;
  }
  journal_.OnServerTrouble(id_);
  link_->SetMode(aMode);
  tasks_.After(aForMs, [this] {
    journal_.OnServerTrouble(id_);
    link_->SetMode(ProxyMode::Pass);
  });
}

void SoakBackend::SilenceConnections()
{
  if (link_ != nullptr) {
    journal_.OnServerTrouble(id_);
    link_->StallOpenConnections();
  }
}

std::string SoakBackend::Notice() const
{
  return leaving_ ? "Server-Leaving: 1\r\n" : "";
}

void SoakBackend::OnExchange(Exchange& aExchange)
{
  const auto id = IdOf(aExchange);
  if (!id.empty()) {
    journal_.OnArrived(id, id_, aExchange.head_, aExchange.body_);
  }
  if (frozen_) {
    frozenInput_.push_back(aExchange);
  } else {
    Handle(aExchange);
  }
}

void SoakBackend::Refuse(const Exchange& aExchange,
                         int aStatus,
                         std::string_view aFields) const
{
  aExchange.write_(Text(aStatus,
                        Concat("Cactuspitch-Not-Executed: 1\r\n",
                               "Cactuspitch-Request-Id: ",
                               IdOf(aExchange),
                               "\r\n",
                               Notice(),
                               aFields),
                        ""));
}

void SoakBackend::Handle(const Exchange& aExchange)
{
  constexpr int kMisdirected = 421;
  constexpr int kUnavailable = 503;
  const auto& head = aExchange.head_;
  const auto target = head.Field("Cactuspitch-Target-Instance");
  if (!target.empty() && target != id_) {
    // Another life or server is meant, which leaves or not for itself.
    aExchange.write_(Text(kMisdirected, "Cactuspitch-Not-Executed: 1\r\n", ""));
    return;
  }
  if (head.target_.starts_with("/-/")) {
    HandleOrder(aExchange);
    return;
  }
  Work work{ aExchange, IdOf(aExchange), -1 };
  const TimeMs restMs = pausedUntilMs_ - loop_.NowMs();
  if (restMs > 0) {
    const double seconds = static_cast<double>(restMs) / kMsPerSecond;
    journal_.OnPauseTold(work.id_, id_, restMs);
    Refuse(aExchange, kUnavailable, Concat("Retry-After: ", seconds, "\r\n"));
    return;
  }
  if (options_.keyed_) {
    ParseNumber(head.Field("Cactuspitch-Shard-Key"), work.key_);
    if (!Holds(work.key_)) {
      Refuse(aExchange, kMisdirected);
      return;
    }
  }
  if (std::ssize(running_) < options_.slots_) {
    Begin(work);
  } else if (std::ssize(waiting_) < options_.slots_) {
    waiting_.push_back(std::move(work));
  } else {
    Refuse(aExchange, kUnavailable);
  }
}

bool SoakBackend::Holds(int64_t aKey) const
{
  const auto found = holds_.find(static_cast<uint32_t>(aKey));
  return aKey >= 0 && found != holds_.end() &&
         found->second.untilMs_ > loop_.NowMs();
}

bool SoakBackend::IsOwner(uint32_t aKey) const
{
  return up_ && Holds(aKey) && !holds_.at(aKey).excused_;
}

void SoakBackend::Begin(const Work& aWork)
{
  journal_.OnBegun(aWork.id_, id_);
  if (aWork.exchange_.head_.target_ == "/safe/crash") {
    journal_.OnCrashed(id_);
    constexpr TimeMs kBackMs = 1500;
    // Not from within the handler of a connection that ends with it.
    After(1, [this] { Crash(kBackMs); });
    return;
  }
  running_.push_back(aWork);
  std::uniform_int_distribution<TimeMs> workMs(options_.serviceTimeMs_ / 2,
                                               options_.serviceTimeMs_ * 2);
  After(workMs(random_), [this, work = aWork] { Finish(work); });
}

void SoakBackend::Finish(const Work& aWork)
{
  if (frozen_) {
    constexpr TimeMs kAgainMs = 20;
    After(kAgainMs, [this, work = aWork] { Finish(work); });
    return;
  }
  std::erase_if(running_,
                [&](const Work& aOther) { return aOther.id_ == aWork.id_; });
  constexpr int kOk = 200;
  constexpr int kFailed = 500;
  const bool lapsed =
    aWork.key_ >= 0 && !Holds(aWork.key_) &&
    std::ranges::none_of(releases_, [&](const auto& aOther) {
      return aOther.first_ <= aWork.key_ && aWork.key_ <= aOther.last_;
    });
  WriteAnswer(aWork,
              lapsed || trouble_ == AnswerTrouble::Failing ? kFailed : kOk);
  AnswerReleases();
  StartWaiting();
}

void SoakBackend::StartWaiting()
{
  while (!waiting_.empty() && std::ssize(running_) < options_.slots_) {
    const auto next = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    if (options_.keyed_ && !Holds(next.key_)) {
      constexpr int kMisdirected = 421;
      Refuse(next.exchange_, kMisdirected);
    } else {
      Begin(next);
    }
  }
}

void SoakBackend::WriteAnswer(const Work& aWork, int aStatus)
{
  const auto& exchange = aWork.exchange_;
  const auto text = Text(aStatus,
                         Concat("Cactuspitch-Request-Id: ",
                                aWork.id_,
                                "\r\nCactuspitch-Response-Seal: s\r\n",
                                "Cactuspitch-Server-Load: ",
                                running_.size(),
                                ",",
                                waiting_.size(),
                                ",",
                                options_.slots_,
                                "\r\n",
                                Notice()),
                         SoakJournal::BodyOf(aWork.id_));
  switch (trouble_) {
    case AnswerTrouble::Lost:
      return;
    case AnswerTrouble::Truncated:
      exchange.write_(text.substr(0, text.size() - 1));
      exchange.close_();
      return;
    case AnswerTrouble::Garbage:
      exchange.write_("\x01\x02 no answer at all\r\n\r\n");
      return;
    case AnswerTrouble::Endless:
      exchange.write_(
        Concat("HTTP/1.1 200 OK\r\nX: ", std::string(100000, 'x')));
      return;
    case AnswerTrouble::LateCopy:
      After(std::uniform_int_distribution<TimeMs>(1, kMaxLateCopyMs)(random_),
            [exchange, text] { exchange.write_(text); });
      break;
    default:
      break;
  }
  journal_.OnRunToEnd(aWork.id_);
  if (leaving_) {
    journal_.OnLeavingTold(aWork.id_, id_);
  }
  exchange.write_(text);
}

void SoakBackend::HandleOrder(const Exchange& aExchange)
{
  const TimeMs nowMs = loop_.NowMs();
  if (nowMs >= ordersDelayedUntilMs_) {
    ApplyOrder(aExchange, nowMs, true);
    return;
  }
  std::uniform_int_distribution<TimeMs> delay(200, 2500);
  After(delay(random_),
        [this, aExchange, nowMs] { ApplyOrder(aExchange, nowMs, false); });
}

void SoakBackend::ApplyOrder(const Exchange& aExchange,
                             TimeMs aArrivedMs,
                             bool aAnswers)
{
  const auto order = Json::parse(aExchange.body_);
  if (aExchange.head_.target_ == "/-/release") {
    Release(aExchange, order);
    return;
  }
  const int status = Grant(order, aArrivedMs);
  if (aAnswers) {
    aExchange.write_(Text(status, Notice(), ""));
  }
}

int SoakBackend::Grant(const nlohmann::json& aOrder, TimeMs aArrivedMs)
{
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  const uint32_t first = aOrder.at("from");
  const uint32_t last = aOrder.at("to");
  const int64_t fence = aOrder.at("fence");
  const double holdMs =
    aOrder.at("hold-s").get<double>() * kMsPerSecond * kSlowClock;
  const TimeMs untilMs = aArrivedMs + static_cast<TimeMs>(holdMs);
  std::vector<uint32_t> keys;
  std::ranges::copy_if(Keys(), std::back_inserter(keys), [&](uint32_t aKey) {
    return first <= aKey && aKey <= last;
  });
  if (std::ranges::any_of(
        keys, [&](uint32_t aKey) { return holds_[aKey].fence_ > fence; })) {
    return kConflict;
  }
  const TimeMs nowMs = loop_.NowMs();
  for (const auto key : keys) {
    auto& hold = holds_[key];
    if (untilMs <= nowMs) {
      hold.fence_ = fence;
      continue;
    }
    const bool held = hold.untilMs_ > nowMs;
    if (!held || hold.fence_ != fence) {
      journal_.OnKeyTaken(key, fence, id_);
    }
    hold.excused_ = journal_.IsThawing();
    hold.fence_ = fence;
    hold.untilMs_ = std::max(hold.untilMs_, untilMs);
  }
  return kOk;
}

void SoakBackend::Release(const Exchange& aExchange,
                          const nlohmann::json& aOrder)
{
  const uint32_t first = aOrder.at("from");
  const uint32_t last = aOrder.at("to");
  const int64_t fence = aOrder.at("fence");
  for (auto& [key, hold] : holds_) {
    if (first <= key && key <= last && hold.fence_ <= fence) {
      hold.untilMs_ = 0;
    }
  }
  releases_.push_back({ aExchange, first, last });
  AnswerReleases();
}

void SoakBackend::AnswerReleases()
{
  std::erase_if(releases_, [&](const PendingRelease& aRelease) {
    const bool busy = std::ranges::any_of(running_, [&](const Work& aWork) {
      return aRelease.first_ <= aWork.key_ && aWork.key_ <= aRelease.last_;
    });
    if (!busy) {
      aRelease.exchange_.write_(
        Text(200, Concat("Cactuspitch-Handover: h\r\n", Notice()), ""));
    }
    return !busy;
  });
}

}
