// Case review/14: workers crash and start again under the ids that they had.
// Checks that a key which the earlier life had is granted to the new life with
// a higher fencing token only.

#include "GatewayProcesses.hpp"
#include "KeyedWorker.hpp"
#include "Record.hpp"
#include "net/HttpClient.hpp"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>

namespace cactuspitch {
namespace {

constexpr int kGateways = 4;
constexpr int kWorkers = 10;
constexpr const char* kService = "registry";
constexpr TimeMs kStartMs = 4000;
constexpr TimeMs kRunMs = 60000;
/// A worker goes down for half of 1.4 s.
constexpr TimeMs kDownMs = 700;
constexpr TimeMs kCrashEveryMs = 3000;
constexpr TimeMs kRequestMs = 8;
constexpr TimeMs kDeadlineMs = 2000;
/// The busy keys are close to one another and change.
constexpr uint32_t kBusyKeys = 4096;
constexpr TimeMs kBusyForMs = 3000;
constexpr int kBusyPercent = 70;

class FenceCase
{
public:
  FenceCase(const char* aRecord, bool aTrouble, uint32_t aSeed)
    : trouble_(aTrouble)
    , record_(loop_, aRecord)
    , store_(loop_)
    , tasks_(loop_)
    , client_(loop_)
    , random_(aSeed)
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
    requestTimer_.Start(kRequestMs);
    if (trouble_) {
      BeginTrouble();
    }
    RunLoopFor(loop_, kRunMs);
    int staleTakes = 0;
    for (const auto& worker : workers_) {
      staleTakes += worker->StaleTakes();
    }
    record_.Finding(Concat("requests sent ",
                           sent_,
                           ", answered 200 ",
                           served_,
                           "; crashes ",
                           nextWorker_,
                           "; grants taken with a fence of an earlier life ",
                           staleTakes));
    if (served_ * 2 < sent_) {
      record_.Finding("fewer than half of the requests were served");
      return 2;
    }
    return staleTakes > 0 ? 1 : 0;
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
    workers_.push_back(
      std::make_unique<KeyedWorker>(loop_,
                                    store_,
                                    record_,
                                    Concat("i-", number),
                                    kService,
                                    Concat("z", number % 2),
                                    [](KeyedWorker&, uint32_t) {}));
  }
  void StartGateways()
  {
    for (int index = 0; index < kGateways; ++index) {
      gateways_.push_back(NewGatewayAddresses(
        Concat("g", index), Concat("z", index % 2), store_.Address()));
      processes_.Start(gateways_.back());
    }
  }
  std::string Leader() const
  {
    const auto spec = store_.Spec("cactuspitch-leader", "leader");
    return spec.is_object() ? spec.value("instance", "") : "";
  }
  bool HasLeader() const { return !Leader().empty(); }

  void BeginTrouble()
  {
    // One after the other, so that few are down at a time.
    auto& worker = workers_[nextWorker_++ % workers_.size()];
    worker->Crash(kDownMs);
    tasks_.After(kCrashEveryMs, [this] { BeginTrouble(); });
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

  bool trouble_;
  EventLoop loop_;
  Record record_;
  PlatformStore store_;
  DelayedTasks tasks_;
  HttpClient client_;
  std::minstd_rand random_;
  Timer requestTimer_;
  std::vector<GatewayAddresses> gateways_;
  std::vector<std::unique_ptr<KeyedWorker>> workers_;
  int lastWorker_ = 0;
  size_t nextWorker_ = 0;
  int64_t sent_ = 0;
  int64_t served_ = 0;
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
    cactuspitch::FenceCase run(
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
