// Case review/11: the leader of the gateways is cut off from the other gateways
// while the store is slow and workers are replaced one after the other. Checks
// that no key is held by two workers that are up for over half a second.

#include "GatewayProcesses.hpp"
#include "KeyedWorker.hpp"
#include "Record.hpp"
#include "StoreLink.hpp"
#include "net/HttpClient.hpp"
#include "tests/SoakPeerLinks.hpp"

#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <optional>
#include <random>

namespace cactuspitch {
namespace {

constexpr int kGateways = 8;
constexpr int kWorkers = 8;
constexpr const char* kService = "registry";
constexpr TimeMs kStartMs = 4000;
constexpr TimeMs kRunMs = 106000;
/// The run ends this long after a finding at the latest.
constexpr TimeMs kStepMs = 4000;
/// One worker is replaced at a time, a second apart.
constexpr TimeMs kReplaceMs = 1000;
/// A draining worker serves for drain-s and a little longer.
constexpr TimeMs kDrainMs = 2600;
/// The store takes 4 ms an answer, on a slow day 50 times as long.
constexpr TimeMs kStoreMs = 4;
constexpr TimeMs kSlowStoreMs = 200;
constexpr TimeMs kSlowForMs = 3500;
constexpr TimeMs kCutForMs = 3000;
/// A cut begins at no fixed time between two replacements.
constexpr TimeMs kMinCycleMs = 5000;
constexpr TimeMs kMaxCycleMs = 6000;
/// Grants that arrive within thaw-slack-s after a link healed don't count.
constexpr TimeMs kThawSlackMs = 300;
/// Longest time for which two workers may hold a key.
constexpr TimeMs kMaxBothMs = 500;
constexpr TimeMs kCheckMs = 20;
constexpr uint32_t kCheckedKeyStep = 64;
constexpr TimeMs kRequestMs = 8;
constexpr TimeMs kDeadlineMs = 2000;
/// The busy keys are close to one another and change.
constexpr uint32_t kBusyKeys = 4096;
constexpr TimeMs kBusyForMs = 1500;
constexpr int kBusyPercent = 70;

class OwnerCase
{
public:
  OwnerCase(const char* aRecord, bool aTrouble, uint32_t aSeed)
    : trouble_(aTrouble)
    , record_(loop_, aRecord)
    , store_(loop_)
    , tasks_(loop_)
    , client_(loop_)
    , random_(aSeed)
    , checkTimer_(loop_, [this] { Check(); })
    , requestTimer_(loop_, [this] { SendRequest(); })
  {
  }

  int Run()
  {
    WriteConfig();
    for (int index = 0; index < kWorkers; ++index) {
      AddWorker();
    }
    StartGateways();
    RunLoopFor(loop_, kStartMs);
    if (!HasLeader()) {
      record_.Finding("no leader was elected");
      return 2;
    }
    checkTimer_.Start(kCheckMs);
    requestTimer_.Start(kRequestMs);
    tasks_.After(kReplaceMs, [this] { ReplaceWorker(); });
    if (trouble_) {
      tasks_.After(kReplaceMs, [this] { BeginTrouble(); });
    }
    for (TimeMs ranMs = 0; ranMs < kRunMs && brokenKeys_ == 0;
         ranMs += kStepMs) {
      RunLoopFor(loop_, kStepMs);
    }
    record_.Finding(Concat("requests sent ",
                           sent_,
                           ", answered 200 ",
                           served_,
                           "; leaders ",
                           terms_,
                           "; cuts ",
                           cuts_,
                           "; keys with two holders for over 500 ms ",
                           brokenKeys_,
                           " of ",
                           KeyedWorker::kKeys / kCheckedKeyStep,
                           " checked, requests begun on a key that another "
                           "worker held ",
                           begunOnBoth_));
    if (served_ * 2 < sent_) {
      record_.Finding("fewer than half of the requests were served");
      return 2;
    }
    return brokenKeys_ > 0 ? 1 : 0;
  }

  void EndProcesses() { processes_.EndAll(); }

private:
  using Json = nlohmann::json;

  void WriteConfig()
  {
    store_.Put(
      "config",
      "main",
      { { "version", "r1" },
        { "services",
          Json::array({ { { "name", kService },
                          { "health-path", "/health" },
                          { "max-connections", 110 },
                          { "sharded", true },
                          { "warm-s", 0.5 } } }) },
        { "limits",
          { { "max-header-bytes", 8192 },
            { "max-body-bytes", 100000 },
            { "header-timeout-s", 5 },
            { "idle-timeout-s", 30 } } },
        { "virtual-hosts",
          Json::array(
            { { { "host", "127.0.0.1" },
                { "paths",
                  Json::array({ { { "name", "lookup" },
                                  { "path-prefix", "/lookup/" },
                                  { "kind", "safe" },
                                  { "service", kService },
                                  { "timeout-s", 2.0 },
                                  { "target-latency-s", 0.3 },
                                  { "priority", 2 },
                                  { "max-attempts", 3 } } }) } } }) } });
  }
  void AddWorker()
  {
    const auto number = ++lastWorker_;
    workers_.push_back(std::make_unique<KeyedWorker>(
      loop_,
      store_,
      record_,
      Concat("i-", number),
      kService,
      Concat("z", number % 2),
      [this](KeyedWorker& aWorker, uint32_t aKey) { OnBegin(aWorker, aKey); }));
  }
  void StartGateways()
  {
    std::vector<Endpoint> peers;
    for (int index = 0; index < kGateways; ++index) {
      gateways_.push_back(NewGatewayAddresses(
        Concat("g", index), Concat("z", index % 2), Endpoint()));
      peers.push_back(gateways_.back().peer_);
    }
    peerLinks_ = std::make_unique<SoakPeerLinks>(loop_, peers);
    for (int index = 0; index < kGateways; ++index) {
      const auto view = store_.AddView([this, index](std::string aResponse) {
        return peerLinks_->Rewrite(index, std::move(aResponse));
      });
      storeLinks_.push_back(std::make_unique<StoreLink>(loop_, view));
      storeLinks_.back()->SetDelay(kStoreMs);
      gateways_[index].store_ = storeLinks_.back()->Address();
      processes_.Start(gateways_[index]);
    }
  }
  std::string Leader() const
  {
    const auto spec = store_.Spec("cactuspitch-leader", "leader");
    return spec.is_object() ? spec.value("instance", "") : "";
  }
  bool HasLeader() const { return !Leader().empty(); }

  void ReplaceWorker()
  {
    // The new one starts first, the old one drains.
    AddWorker();
    const auto oldest = std::ranges::find_if(workers_, [](const auto& aWorker) {
      return aWorker->IsUp() && !aWorker->IsDraining();
    });
    (*oldest)->Drain(kDrainMs);
    tasks_.After(kReplaceMs, [this] { ReplaceWorker(); });
  }
  void SetStoreDelay(TimeMs aDelayMs)
  {
    std::ranges::for_each(
      storeLinks_, [&](const auto& aLink) { aLink->SetDelay(aDelayMs); });
  }
  void BeginTrouble()
  {
    record_.Line("the store is slow");
    SetStoreDelay(kSlowStoreMs);
    tasks_.After(kSlowForMs, [this] {
      record_.Line("the store is no longer slow");
      SetStoreDelay(kStoreMs);
    });
    const auto leader = Leader();
    const auto found =
      std::ranges::find(gateways_, leader, &GatewayAddresses::name_);
    if (found != gateways_.end()) {
      const auto index =
        static_cast<size_t>(std::distance(gateways_.begin(), found));
      ++cuts_;
      record_.Line(Concat("cut off from the other gateways: ", leader));
      peerLinks_->SetCutOff(index, true);
      tasks_.After(kCutForMs, [this, index, leader] {
        record_.Line(Concat("no longer cut off: ", leader));
        peerLinks_->SetCutOff(index, false);
        healedMs_ = loop_.NowMs();
      });
    }
    std::uniform_int_distribution<TimeMs> pauseMs(kMinCycleMs, kMaxCycleMs);
    tasks_.After(pauseMs(random_), [this] { BeginTrouble(); });
  }
  void SendRequest()
  {
    requestTimer_.Start(kRequestMs);
    const auto pick = [&](uint32_t aLow, uint32_t aHigh) {
      return std::uniform_int_distribution<uint32_t>(aLow, aHigh)(random_);
    };
    const auto phase = static_cast<uint32_t>(record_.ElapsedMs() / kBusyForMs);
    constexpr uint32_t kPhaseStep = 23456;
    constexpr uint32_t kPercent = 100;
    const auto key =
      pick(1, kPercent) <= kBusyPercent
        ? (phase * kPhaseStep + pick(0, kBusyKeys - 1)) % KeyedWorker::kKeys
        : pick(0, KeyedWorker::kKeys - 1);
    const auto& gateway = gateways_[pick(0, kGateways - 1)];
    const auto id = Concat("q", ++sent_);
    CallRequest request;
    request.method_ = "GET";
    request.target_ = Concat("/lookup/", key);
    request.fields_ = { { "Cactuspitch-Request-Id", id },
                        { "Cactuspitch-Deadline-Remaining",
                          std::to_string(kDeadlineMs) },
                        { "Cactuspitch-Shard-Key", std::to_string(key) } };
    request.timeoutMs_ = kDeadlineMs;
    record_.Line(Concat("send ", id, " key ", key, " to ", gateway.name_));
    client_.Call(
      gateway.front_, request, [this, id](const CallResult& aResult) {
        const int status = aResult.outcome_ == CallOutcome::Completed
                             ? aResult.head_.status_
                             : 0;
        served_ += status == 200 ? 1 : 0;
        record_.Line(Concat("answer ", id, " ", status));
      });
  }
  /// Both workers hold the key, by grants that count.
  bool HoldBoth(const KeyedWorker& aOne,
                const KeyedWorker& aOther,
                uint32_t aKey) const
  {
    const auto counts = [&](const KeyedWorker& aWorker) {
      const auto sinceHealedMs = aWorker.HoldOf(aKey).grantedMs_ - healedMs_;
      return aWorker.Holds(aKey) && !(healedMs_ != 0 && sinceHealedMs >= 0 &&
                                      sinceHealedMs <= kThawSlackMs);
    };
    return counts(aOne) && counts(aOther);
  }
  void OnBegin(const KeyedWorker& aWorker, uint32_t aKey)
  {
    for (const auto& other : workers_) {
      if (other.get() != &aWorker && HoldBoth(aWorker, *other, aKey)) {
        ++begunOnBoth_;
        record_.Line(Concat("key ",
                            aKey,
                            " is also held by ",
                            other->Id(),
                            " (fence ",
                            other->HoldOf(aKey).fence_,
                            ")"));
      }
    }
  }
  void Check()
  {
    checkTimer_.Start(kCheckMs);
    if (const auto spec = store_.Spec("cactuspitch-leader", "leader");
        spec.is_object() && spec.value("term", int64_t{ 0 }) != term_) {
      term_ = spec.value("term", int64_t{ 0 });
      ++terms_;
      record_.Line(Concat("leader of term ", term_, ": ", Leader()));
    }
    if (const auto spec = store_.Spec("cactuspitch-keys", "keys");
        spec.is_object()) {
      const auto write = Concat("key table of term ",
                                spec.value("term", int64_t{ 0 }),
                                ", write ",
                                spec.value("writeId", int64_t{ 0 }));
      if (std::exchange(tableWrite_, write) != write) {
        record_.Line(write);
      }
    }
    for (uint32_t key = 0; key < KeyedWorker::kKeys; key += kCheckedKeyStep) {
      CheckKey(key);
    }
  }
  void CheckKey(uint32_t aKey)
  {
    std::vector<const KeyedWorker*> holders;
    for (const auto& worker : workers_) {
      if (worker->Holds(aKey)) {
        holders.push_back(worker.get());
      }
    }
    if (holders.size() < 2 || !HoldBoth(*holders[0], *holders[1], aKey)) {
      bothSinceMs_.erase(aKey);
      return;
    }
    const auto [since, isNew] = bothSinceMs_.try_emplace(aKey, loop_.NowMs());
    if (isNew || since->second == 0 ||
        loop_.NowMs() - since->second <= kMaxBothMs) {
      return;
    }
    since->second = 0; // reported
    ++brokenKeys_;
    const auto text = Concat("OWNER: key ",
                             aKey,
                             " held by ",
                             holders[0]->Id(),
                             " (fence ",
                             holders[0]->HoldOf(aKey).fence_,
                             ") and ",
                             holders[1]->Id(),
                             " (fence ",
                             holders[1]->HoldOf(aKey).fence_,
                             ") for over 500 ms");
    constexpr int kMaxPrinted = 10;
    if (brokenKeys_ <= kMaxPrinted) {
      record_.Finding(text);
    } else {
      record_.Line(text);
    }
  }

  bool trouble_;
  EventLoop loop_;
  Record record_;
  PlatformStore store_;
  DelayedTasks tasks_;
  HttpClient client_;
  std::minstd_rand random_;
  Timer checkTimer_;
  Timer requestTimer_;
  std::vector<GatewayAddresses> gateways_;
  std::vector<std::unique_ptr<StoreLink>> storeLinks_;
  std::unique_ptr<SoakPeerLinks> peerLinks_;
  std::vector<std::unique_ptr<KeyedWorker>> workers_;
  int lastWorker_ = 0;
  TimeMs healedMs_ = 0;
  int64_t term_ = 0;
  int terms_ = 0;
  std::string tableWrite_;
  int cuts_ = 0;
  int64_t sent_ = 0;
  int64_t served_ = 0;
  int brokenKeys_ = 0;
  int begunOnBoth_ = 0;
  std::map<uint32_t, TimeMs> bothSinceMs_;
  GatewayProcesses processes_; ///< ended before the stand-ins
};

}
}

int main(int aArgc, char** aArgv)
{
  if (aArgc < 2) {
    return 2;
  }
  try {
    const char* trouble = std::getenv("TROUBLE");
    const char* seed = std::getenv("SEED");
    cactuspitch::OwnerCase run(
      aArgv[1],
      trouble == nullptr || std::string(trouble) != "0",
      seed == nullptr ? std::random_device{}()
                      : static_cast<uint32_t>(std::atoi(seed)));
    const int result = run.Run();
    run.EndProcesses();
    // Tasks that are due would run when the stand-ins are destroyed.
    std::fflush(nullptr);
    std::_Exit(result);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
