// Time until a key that becomes hot has a slice of its own, with real
// processes: sketches of the routers, reports, assigner and table.

#include "BenchReport.hpp"
#include "Measurement.hpp"
#include "common/HttpConnection.hpp"
#include "common/KeyHash.hpp"
#include "common/Strings.hpp"
#include "rpc/TableCodec.hpp"
#include "rpc/ThriftChannel.hpp"
#include "standin/LoadGenerator.hpp"
#include "tests/Deployment.hpp"

#include <atomic>
#include <thread>
#include <vector>

#include <AssignerPeer.h>

namespace cactuspitch {
namespace {

constexpr char kName[] = "hot-key-live";
constexpr char kService[] = "kiosk-catalogue";
constexpr int kInstances = 4;
constexpr int kBackends = 5;
constexpr int kFloodThreads = 6;
constexpr TimeMs kLimitMs = 40000;
constexpr TimeMs kBaseLoadMs = 8000;

/// True when a table of any assigner has a slice with only this hash.
bool IsIsolated(const Deployment& aDeployment, KeyHash aHash)
{
  constexpr int kCallMs = 1000;
  wire::GetTablesRequest request;
  request.instance = "bench";
  request.role = "admin";
  for (int i = 0; i < kInstances; ++i) {
    ThriftChannel<wire::AssignerPeerClient> channel(
      aDeployment.AssignerRpc(i), kCallMs, kCallMs);
    wire::GetTablesResponse response;
    const auto status =
      channel.Run([&](auto& aClient) { aClient.GetTables(response, request); });
    for (const auto& message : response.tables) {
      GroupTable table;
      if (!status.ok() || !ApplyWire(message, table).ok() ||
          table.slices_.empty()) {
        continue;
      }
      const auto& slice = table.FindSlice(aHash);
      const auto index = static_cast<size_t>(&slice - table.slices_.data());
      if (slice.begin_ == aHash && table.SliceEnd(index) == aHash) {
        return true;
      }
    }
  }
  return false;
}

/// Requests for one key over all routers, as fast as they are answered.
class Flood
{
public:
  Flood(const Clock& aClock, const std::vector<std::string>& aRouters)
  {
    for (int i = 0; i < kFloodThreads; ++i) {
      const auto& router = aRouters[static_cast<size_t>(i) % aRouters.size()];
      threads_.emplace_back([this, router, &aClock] {
        constexpr size_t kMaxBytes = 1 << 16;
        HttpConnection connection(aClock, router);
        while (!stopping_) {
          const auto response = connection.Exchange(
            { "GET", Concat("/", kService, "/hot"), {}, {} },
            aClock.NowMs() + 3000,
            kMaxBytes);
          if (!response.ok()) {
            connection.Close();
          }
        }
      });
    }
  }
  ~Flood()
  {
    stopping_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
  }
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

private:
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
};

int Run()
{
  Deployment deployment(BINARY_DIR,
                        { .instances_ = kInstances,
                          .services_ = { { .name_ = kService,
                                           .backends_ = kBackends,
                                           .slots_ = 3,
                                           .serviceUs_ = 5000 } } });
  const auto missing = deployment.Start();
  if (!missing.empty()) {
    return ReportFailure(kName, missing);
  }
  const SteadyClock clock;
  LoadOptions base;
  base.targets_ = deployment.Routers();
  base.services_ = { kService };
  base.rate_ = 600;
  base.durationMs_ = kBaseLoadMs;
  base.zipfExponent_ = 0.5;
  RunLoad(clock, base);
  const KeyHash hash = HashKey("hot");
  if (IsIsolated(deployment, hash)) {
    return ReportFailure(kName, "the key was isolated before it was hot");
  }
  std::atomic<bool> isIsolated = false;
  const TimeMs startMs = clock.NowMs();
  TimeMs isolatedMs = INT32_MAX;
  {
    const Flood flood(clock, deployment.Routers());
    std::thread background([&] {
      while (!isIsolated && clock.NowMs() < startMs + kLimitMs) {
        base.durationMs_ = 1000;
        ++base.seed_;
        RunLoad(clock, base);
      }
    });
    if (WaitFor(kLimitMs, [&] { return IsIsolated(deployment, hash); })) {
      isolatedMs = clock.NowMs() - startMs;
    }
    isIsolated = true;
    background.join();
  }
  constexpr double kMsPerSecond = 1000;
  BenchReport report;
  report.AtMost(kName,
                static_cast<double>(isolatedMs) / kMsPerSecond,
                "s until the hot key has a slice of its own",
                20);
  return report.ExitCode();
}

}
}

int main()
{
  return cactuspitch::Run();
}
