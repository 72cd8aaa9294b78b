#include "RouterSettings.hpp"

#include "common/ProcessSettings.hpp"
#include "common/Strings.hpp"

namespace cactuspitch {

namespace detail {

void CheckAddresses(const RouterSettings& aRouter, Findings& aFindings)
{
  if (aRouter.listen_ == aRouter.rpcListen_) {
    aFindings.Add(
      "settings", "rpc-listen", aRouter.rpcListen_, "must differ from listen");
  }
}

void CheckLimits(const RouterSettings& aRouter, Findings& aFindings)
{
  if (aRouter.maxParked_ >= aRouter.threads_) {
    aFindings.Add("settings",
                  "max-parked",
                  std::to_string(aRouter.maxParked_),
                  Concat("must be below threads (",
                         aRouter.threads_,
                         "), or parked requests can block all of them"));
  }
  if (aRouter.stopTimeoutMs_ <= aRouter.readyFailMs_) {
    aFindings.Add(
      "settings",
      "stop-timeout-ms",
      std::to_string(aRouter.stopTimeoutMs_),
      Concat("must exceed ready-fail-ms (", aRouter.readyFailMs_, ")"));
  }
}

}

std::vector<SettingSpec> RouterSettingSpecs()
{
  constexpr auto kInteger = SettingType::Integer;
  return WithProcessSettings({
    { "rpc-listen", SettingType::Address, "", "Thrift address.", true },
    { "threads",
      kInteger,
      "256",
      "Number of caller connections served concurrently.",
      false,
      2,
      16384 },
    { "max-parked",
      kInteger,
      "128",
      "Limit of requests that wait for an owner concurrently.",
      false,
      1,
      16384 },
    { "max-path-bytes",
      kInteger,
      "4096",
      "Longest accepted path including the query.",
      false,
      16,
      16000 },
    { "ledger-entries",
      kInteger,
      "1000000",
      "Capacity of the request ledger; an entry takes about 80 bytes.",
      false,
      1,
      100000000 },
    { "keep-alive-ms",
      kInteger,
      "60000",
      "Time after which an idle caller connection is closed.",
      false,
      1,
      3600000 },
    { "write-timeout-ms",
      kInteger,
      "30000",
      "Time after which a caller that does not read is disconnected.",
      false,
      100,
      3600000 },
    { "ready-fail-ms",
      kInteger,
      "3000",
      "When stopping, time for which connections are still accepted after "
      "/_ready fails.",
      false,
      0,
      600000 },
    { "stop-timeout-ms",
      kInteger,
      "60000",
      "Time limit for stopping, after which requests in flight are aborted.",
      false,
      1,
      3600000 },
    { "peer-timeout-ms",
      kInteger,
      "200",
      "Timeout of a call to another router or an assigner.",
      false,
      1,
      60000 },
  });
}

RouterSettings ReadRouterSettings(const Settings& aSettings)
{
  RouterSettings router;
  router.instance_ = aSettings.Text("instance");
  router.failureDomain_ = aSettings.Text("failure-domain");
  router.listen_ = aSettings.Text("listen");
  router.rpcListen_ = aSettings.Text("rpc-listen");
  router.assigners_ = aSettings.List("assigners");
  router.secret_ = aSettings.Text("auth-token");
  router.threads_ = static_cast<int>(aSettings.Integer("threads"));
  router.maxParked_ = static_cast<int>(aSettings.Integer("max-parked"));
  router.maxPathBytes_ =
    static_cast<size_t>(aSettings.Integer("max-path-bytes"));
  router.ledgerEntries_ =
    static_cast<size_t>(aSettings.Integer("ledger-entries"));
  router.keepAliveMs_ = aSettings.Integer("keep-alive-ms");
  router.writeTimeoutMs_ = aSettings.Integer("write-timeout-ms");
  router.readyFailMs_ = aSettings.Integer("ready-fail-ms");
  router.stopTimeoutMs_ = aSettings.Integer("stop-timeout-ms");
  router.peerTimeoutMs_ =
    static_cast<int>(aSettings.Integer("peer-timeout-ms"));
  router.logLevel_ = ProcessLogLevel(aSettings);
  return router;
}

void CheckRouterSettings(const Settings& aSettings, Findings& aFindings)
{
  CheckProcessSettings(aSettings, aFindings);
  const auto router = ReadRouterSettings(aSettings);
  detail::CheckAddresses(router, aFindings);
  detail::CheckLimits(router, aFindings);
}

}
