#include "bench/Measurement.hpp"
#include "common/HttpConnection.hpp"
#include "common/Strings.hpp"
#include "rpc/ThriftChannel.hpp"
#include "tests/Deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <vector>

#include <AssignerPeer.h>
#include <RouterPeer.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {
namespace {

constexpr int kInstances = 8;
constexpr int kChanges = 100;
constexpr double kMaxSpreadMs = 5000;
constexpr int kCallMs = 1000;

/// Asks every router and assigner for the version that it has in force.
class VersionWatch
{
public:
  explicit VersionWatch(const Deployment& aDeployment)
  {
    for (int index = 0; index < kInstances; ++index) {
      Add<wire::AssignerPeerClient>(
        aDeployment.Address(Concat("assigner-rpc-", index)));
      Add<wire::RouterPeerClient>(
        aDeployment.Address(Concat("router-rpc-", index)));
    }
  }

  /// Smallest version of all processes; -1 when one does not answer.
  int64_t Smallest()
  {
    int64_t smallest = INT64_MAX;
    for (auto& process : processes_) {
      const int64_t version = process.ask_();
      if (version >= 0) {
        reverts_ += version < process.last_ ? 1 : 0;
        process.last_ = version;
      }
      smallest = std::min(smallest, version);
    }
    return smallest;
  }
  int Reverts() const { return reverts_; }

private:
  struct Process
  {
    std::function<int64_t()> ask_;
    int64_t last_ = 0;
  };

  template<typename Client>
  void Add(const std::string& aAddress)
  {
    auto channel =
      std::make_shared<ThriftChannel<Client>>(aAddress, kCallMs, kCallMs);
    processes_.push_back({ [channel] {
      wire::ProcessStatus status;
      const auto asked =
        channel->Run([&](Client& aClient) { aClient.GetStatus(status); });
      return asked.ok() ? status.configVersion : -1;
    } });
  }

  std::vector<Process> processes_;
  int reverts_ = 0;
};

/// Version of the accepted change; the answer as an error otherwise.
absl::StatusOr<int64_t> Change(const std::string& aAdmin,
                               int64_t aBase,
                               int aNumber)
{
  constexpr int kOk = 200;
  constexpr TimeMs kChangeMs = 10000;
  constexpr size_t kMaxBytes = 1 << 20;
  const nlohmann::json change = {
    { "baseVersion", aBase },
    { "author", "bench" },
    { "reason", "measures how fast a change spreads" },
    { "defaults", { { "queueLimit", 32 + aNumber } } },
  };
  const auto text = change.dump();
  const SteadyClock clock;
  HttpConnection connection(clock, aAdmin);
  const auto answer = connection.Exchange(
    { "POST", "/v1/changes", {}, text }, clock.NowMs() + kChangeMs, kMaxBytes);
  if (!answer.ok()) {
    return answer.status();
  }
  if (answer->head_.status_ != kOk) {
    return absl::UnknownError(
      Concat(answer->head_.status_, " ", answer->body_));
  }
  return nlohmann::json::parse(answer->body_).value("version", int64_t{ 0 });
}

int Measure()
{
  DeploymentOptions options;
  options.instances_ = kInstances;
  options.failureDomains_ = { "cairo-a", "cairo-b", "giza-a", "alex-a" };
  options.services_ = { { .name_ = "registry-query", .backends_ = 2 } };
  options.withAdmin_ = true;
  Deployment deployment(BINARY_DIR, options);
  const auto missing = deployment.Start();
  if (!missing.empty()) {
    return ReportFailure("config-spread", missing);
  }
  const SteadyClock clock;
  VersionWatch watch(deployment);
  int64_t version = watch.Smallest();
  const auto first =
    HttpCall("GET", deployment.AdminAddress(0), "/v1/defaults");
  if (first) {
    version = nlohmann::json::parse(*first).value("version", version);
  }
  std::vector<double> spreadMs;
  for (int number = 0; number < kChanges; ++number) {
    const auto admin = deployment.AdminAddress(number % kInstances);
    const TimeMs start = clock.NowMs();
    const auto next = Change(admin, version, number);
    if (!next.ok() || *next <= version) {
      return ReportFailure(
        "config-spread",
        Concat("change ", number, ": ", next.status().ToString()));
    }
    version = *next;
    const bool everywhere = WaitFor(static_cast<TimeMs>(kMaxSpreadMs) * 2, [&] {
      return watch.Smallest() >= version;
    });
    spreadMs.push_back(static_cast<double>(clock.NowMs() - start));
    if (!everywhere) {
      break;
    }
  }
  std::ranges::sort(spreadMs);
  std::printf("changes %zu, median %.0f ms, reverts %d\n",
              spreadMs.size(),
              spreadMs[spreadMs.size() / 2],
              watch.Reverts());
  const int reverts =
    ReportAtMost("config-spread-reverts", watch.Reverts(), "reverts", 0);
  const int spread =
    ReportAtMost("config-spread", spreadMs.back(), "ms", kMaxSpreadMs);
  return std::max(reverts, spread);
}

}
}

int main()
{
  return cactuspitch::Measure();
}
