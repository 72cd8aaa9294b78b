// Demo of gateway failover: starts gateways, a store, backend servers and
// callers on loopback, kills and restarts gateways and backend servers
// meanwhile, and reports success rate and latencies of the callers' requests.

#include "common/Strings.hpp"
#include "tests/GatewaySoak.hpp"

#include <algorithm>
#include <cstdio>

namespace cactuspitch {
namespace {

constexpr TimeMs kDemoMs = 10000;
constexpr double kPercent = 100;

TimeMs Quantile(std::vector<TimeMs> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<size_t>(last * aShare)];
}

int64_t Sent(const SoakJournal& aJournal)
{
  int64_t sent = 0;
  for (const auto name : EnumNames<SoakRequestKind>::kNames) {
    sent += aJournal.Count(Concat("sent-", name));
  }
  return sent;
}

int Run()
{
  GatewaySoak soak({ .faultDurationMs_ = kDemoMs,
                     .faults_ = { "kill-gateway",
                                  "stop-gateway",
                                  "leave-backend",
                                  "crash-backend",
                                  "change-config" },
                     .binaryDir_ = BINARY_DIR });
  std::printf(
    "4 gateways, 9 backend servers; times in ms and injected faults:\n");
  const auto violations = soak.Run();
  const auto& journal = soak.Journal();
  const auto& latencies = journal.LatenciesMs();
  const auto sent = Sent(journal);
  const double servedPercent = kPercent *
                               static_cast<double>(latencies.size()) /
                               static_cast<double>(std::max<int64_t>(sent, 1));
  std::printf("requests %ld, served %.1f%%, p50 %ld ms, p99 %ld ms\n",
              sent,
              servedPercent,
              Quantile(latencies, 0.5),
              Quantile(latencies, 0.99));
  std::printf("%s\n", journal.Summary().c_str());
  for (const auto& violation : violations) {
    std::printf("violation: %s\n", violation.c_str());
  }
  std::printf("violations: %zu\n", violations.size());
  return violations.empty() ? 0 : 1;
}

}
}

int main()
{
  return cactuspitch::Run();
}
