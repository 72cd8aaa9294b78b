// Cuts the leader off from the store and from the other gateways, but not from
// the backend servers. Meanwhile two servers drain, crash, and start again
// under their ids. Checks that no two servers hold the same key.

#include "review/standins-2/Testbed.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <thread>

namespace {

using namespace review;

constexpr size_t kGateways = 6;
constexpr size_t kWorkers = 14;
constexpr size_t kCallers = 40;
constexpr int kCycles = 8;
constexpr Millis kCycleMs = 12500;
constexpr Millis kCutForMs = 4000;
/// The planned work: two of 14 servers drain.
constexpr size_t kDraining = 2;
constexpr Millis kDrainAtMs = 1200;
constexpr Millis kDrainMs = 2500;
/// The same servers crash and are down for this long.
constexpr Millis kCrashAtMs = 1600;
constexpr Millis kDownMs = 300;
/// Grants that arrive this soon after a cut has healed don't count.
constexpr Millis kThawSlackMs = 300;
/// Two servers may hold a key for so long.
constexpr Millis kDoubleHoldMs = 500;
constexpr Millis kCheckMs = 10;
constexpr uint32_t kKeyStep = 32;
constexpr uint32_t kHotKeys = 200;

/// The servers, some of which are replaced during the run.
class Fleet
{
public:
  Fleet(Record& aRecord, Store& aStore)
    : record_(aRecord)
    , store_(aStore)
  {
    for (size_t index = 0; index < kWorkers; ++index) {
      Add();
    }
  }

  std::vector<std::shared_ptr<Worker>> All()
  {
    const std::lock_guard lock(mutex_);
    return { workers_.begin(), workers_.end() };
  }

  /// The oldest servers drain.
  std::vector<std::shared_ptr<Worker>> DrainOldest()
  {
    std::vector<std::shared_ptr<Worker>> oldest;
    {
      const std::lock_guard lock(mutex_);
      oldest.assign(workers_.begin(), workers_.begin() + kDraining);
    }
    for (const auto& worker : oldest) {
      worker->Drain();
    }
    return oldest;
  }

  /// The servers crash and start again under their ids.
  void Restart(const std::vector<std::shared_ptr<Worker>>& aWorkers)
  {
    for (const auto& worker : aWorkers) {
      worker->Crash();
    }
    SleepMs(kDownMs);
    for (const auto& worker : aWorkers) {
      Replace(worker, worker->NextLife());
    }
  }

  /// The servers end, and others take their places.
  void EndAndReplace(const std::vector<std::shared_ptr<Worker>>& aWorkers)
  {
    for (const auto& worker : aWorkers) {
      worker->End();
      auto options = worker->NextLife();
      options.id_ = "i-" + NewRequestId();
      options.port_ = 0;
      Replace(worker, options);
    }
  }

private:
  void Replace(const std::shared_ptr<Worker>& aOld,
               const Worker::Options& aOptions)
  {
    auto worker = std::make_shared<Worker>(record_, store_, aOptions);
    const std::lock_guard lock(mutex_);
    std::erase(workers_, aOld);
    workers_.push_back(std::move(worker));
    // Its connections may still be in use.
    ended_.push_back(aOld);
  }

  void Add()
  {
    constexpr std::array kZones = { "hobart-wharf", "huon-jetty" };
    Worker::Options options;
    options.id_ = "i-" + NewRequestId();
    options.service_ = "kiosk-catalogue";
    options.sharded_ = true;
    const std::lock_guard lock(mutex_);
    options.zone_ = kZones.at(workers_.size() % kZones.size());
    workers_.push_back(std::make_shared<Worker>(record_, store_, options));
  }

  Record& record_;
  Store& store_;
  std::mutex mutex_;
  std::deque<std::shared_ptr<Worker>> workers_;
  std::vector<std::shared_ptr<Worker>> ended_;
};

struct Holder
{
  std::string worker_;
  Worker::Hold hold_;
};

/// Looks at some of the keys all the time.
class Checker
{
public:
  Checker(Record& aRecord, Fleet& aFleet)
    : record_(aRecord)
    , fleet_(aFleet)
    , since_(Worker::kKeys / kKeyStep)
  {
  }

  void SetHealed(Millis aMs) { healedMs_ = aMs; }
  int Violations() const { return violations_; }

  void Run()
  {
    for (;;) {
      const auto workers = fleet_.All();
      for (uint32_t key = 0; key < Worker::kKeys; key += kKeyStep) {
        Check(key, workers);
      }
      SleepMs(kCheckMs);
    }
  }

private:
  bool IsExempt(const Worker::Hold& aHold) const
  {
    const Millis healedMs = healedMs_;
    return healedMs != 0 && aHold.grantedMs_ >= healedMs &&
           aHold.grantedMs_ < healedMs + kThawSlackMs;
  }

  void Check(uint32_t aKey, const std::vector<std::shared_ptr<Worker>>& aAll)
  {
    std::vector<Holder> holders;
    for (const auto& worker : aAll) {
      const auto hold = worker->HoldOf(aKey);
      if (hold.fence_ != 0 && !IsExempt(hold)) {
        holders.push_back({ worker->Id(), hold });
      }
    }
    auto& since = since_[aKey / kKeyStep];
    const Millis nowMs = NowMs();
    if (holders.size() < 2) {
      since = 0;
    } else if (since == 0) {
      since = nowMs;
    } else if (since > 0 && nowMs - since > kDoubleHoldMs) {
      Report(aKey, holders, since);
      since = -1;
    }
  }

  void Report(uint32_t aKey,
              const std::vector<Holder>& aHolders,
              Millis aSinceMs)
  {
    constexpr int kMaxLines = 20;
    if (++violations_ > kMaxLines) {
      return;
    }
    std::string text = "OWNER: key " + std::to_string(aKey) +
                       " has been held for " +
                       std::to_string(NowMs() - aSinceMs) + " ms by";
    for (const auto& holder : aHolders) {
      text += " " + holder.worker_ + " (fence " +
              std::to_string(holder.hold_.fence_) + ", last request began " +
              (holder.hold_.lastBeginMs_ >= aSinceMs ? "meanwhile" : "before") +
              ")";
    }
    record_.Line(text);
  }

  Record& record_;
  Fleet& fleet_;
  std::vector<Millis> since_; ///< -1: reported
  std::atomic<Millis> healedMs_{ 0 };
  std::atomic<int> violations_{ 0 };
};

/// Counts of what the callers got.
struct Answers
{
  std::atomic<int> served_{ 0 };
  std::atomic<int> failed_{ 0 };
};

void RunCaller(Record& aRecord,
               const std::vector<std::unique_ptr<Gateway>>& aGateways,
               const std::atomic<uint32_t>& aHotKey,
               Answers& aAnswers)
{
  constexpr Millis kDeadlineMs = 500;
  constexpr uint32_t kMaxPauseMs = 120;
  constexpr uint32_t kPercent = 100;
  constexpr uint32_t kHotPercent = 35;
  for (;;) {
    SleepMs(Draw(kMaxPauseMs));
    const auto index = Draw(kGateways);
    const auto socket = Socket::Connect(aGateways[index]->Port());
    if (socket == nullptr) {
      ++aAnswers.failed_;
      continue;
    }
    const auto key = Draw(kPercent) < kHotPercent ? aHotKey + Draw(kHotKeys)
                                                  : Draw(Worker::kKeys);
    const auto id = NewRequestId();
    socket->Write(
      RequestText("GET",
                  "/stock/" + std::to_string(key),
                  id,
                  kDeadlineMs,
                  "Cactuspitch-Shard-Key: " + std::to_string(key) + "\r\n"));
    Message answer;
    const bool answered =
      socket->Read(answer, kDeadlineMs) == ReadResult::Complete;
    const bool served = answered && answer.Status() == 200;
    aRecord.Line("request " + id + " key " + std::to_string(key) +
                 " to gateway " + std::to_string(index) + " -> " +
                 (answered ? std::to_string(answer.Status()) : "no answer"));
    ++(served ? aAnswers.served_ : aAnswers.failed_);
  }
}

/// Ends the program. The threads of the stand-ins are still running, so nothing
/// is destroyed but the gateways.
[[noreturn]] void End(std::vector<std::unique_ptr<Gateway>>& aGateways,
                      int aResult)
{
  aGateways.clear();
  std::fflush(nullptr);
  std::_Exit(aResult);
}

[[noreturn]] void Run(const std::string& aFolder)
{
  const bool trouble = HasTrouble();
  Record record("review/7/record.txt");
  record.Line(trouble ? "run with the disruption" : "run without disruption");
  Links links;
  // All gateways reach each other through links.
  Store store(record,
              kGateways,
              [&](size_t aReader,
                  const std::string& aGateway,
                  const std::string& aAddress) {
                const auto index =
                  static_cast<size_t>(std::atoi(&aGateway.back()));
                return aReader == index
                         ? aAddress
                         : links.Address(aReader, index, aAddress);
              });
  const auto makeConfig = [] {
    return Config(
      { { { "name", "kiosk-catalogue" },
          { "health-path", "/health" },
          { "max-connections", 110 },
          { "protocol", "h1" },
          { "tls", false },
          { "sharded", true },
          { "warm-s", 2.0 },
          { "grants", "invocation" } } },
      { Route(
        "stock-lookup", "/stock/", "safe", "kiosk-catalogue", 0.5, 0.2, 2) });
  };
  store.Put("config", "main", makeConfig());
  Fleet fleet(record, store);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (size_t index = 0; index < kGateways; ++index) {
    gateways.push_back(
      std::make_unique<Gateway>(record,
                                "front-" + std::to_string(index),
                                index % 2 == 0 ? "hobart-wharf" : "huon-jetty",
                                store.Address(index),
                                SmallSite(),
                                aFolder));
  }
  constexpr Millis kStartMs = 8000;
  for (const auto& gateway : gateways) {
    if (!gateway->WaitUntilReady(kStartMs)) {
      record.Line("a gateway is not ready");
      End(gateways, 2);
    }
  }
  std::atomic<uint32_t> hotKey{ 0 };
  Answers answers;
  for (size_t index = 0; index < kCallers; ++index) {
    std::thread([&] { RunCaller(record, gateways, hotKey, answers); }).detach();
  }
  Checker checker(record, fleet);
  std::thread([&] { checker.Run(); }).detach();
  constexpr Millis kWarmUpMs = 5000;
  SleepMs(kWarmUpMs);
  for (int cycle = 0; cycle < kCycles && checker.Violations() == 0; ++cycle) {
    const Millis startMs = NowMs();
    record.Line("cycle " + std::to_string(cycle) + ": served " +
                std::to_string(answers.served_) + ", not served " +
                std::to_string(answers.failed_));
    hotKey = Draw(Worker::kKeys - kHotKeys);
    const auto at = [&](Millis aMs) { SleepMs(startMs + aMs - NowMs()); };
    const int leader = store.LastWriter("cactuspitch-leader");
    if (trouble) {
      record.Line("gateway " + std::to_string(leader) +
                  ", the leader, is cut off from the store and the others");
      store.SetSilentFor(leader);
      links.SetCutOff(leader);
    }
    at(kDrainAtMs);
    const auto draining = fleet.DrainOldest();
    if (trouble) {
      at(kCrashAtMs);
      fleet.Restart(draining);
      at(kCutForMs);
      store.SetSilentFor(-1);
      links.SetCutOff(-1);
      checker.SetHealed(NowMs());
      record.Line("the cut has healed");
    } else {
      at(kDrainAtMs + kDrainMs);
      fleet.EndAndReplace(draining);
    }
    at(kCycleMs);
  }
  record.Line("served " + std::to_string(answers.served_) + ", not served " +
              std::to_string(answers.failed_) + ", keys with two holders " +
              std::to_string(checker.Violations()));
  End(gateways, answers.served_ == 0 ? 2 : checker.Violations() > 0 ? 1 : 0);
}

}

int main(int aArgc, char** aArgv)
{
  if (aArgc != 2) {
    std::fprintf(stderr, "usage: stale-leader FOLDER\n");
    return 2;
  }
  Run(aArgv[1]);
}
