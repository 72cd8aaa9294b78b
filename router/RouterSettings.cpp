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
                         "), or waiting requests hold all of them"));
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
      "Connections of callers served at once.",
      false,
      2,
      16384 },
    { "max-parked",
      kInteger,
      "128",
      "Requests that may wait for an owner at once.",
      false,
      1,
      16384 },
    { "max-path-bytes",
      kInteger,
      "4096",
      "Longest path with query.",
      false,
      16,
      16000 },
    { "ledger-entries",
      kInteger,
      "1000000",
      "Ids that the request ledger remembers, about 80 bytes each.",
      false,
      1,
      100000000 },
    { "keep-alive-ms",
      kInteger,
      "60000",
      "Time after which an idle connection of a caller is closed.",
      false,
      1,
      3600000 },
    { "write-timeout-ms",
      kInteger,
      "30000",
      "Time after which a caller that does not read is given up.",
      false,
      100,
      3600000 },
    { "ready-fail-ms",
      kInteger,
      "3000",
      "Time between the failure of /_ready and the end of new connections "
      "when stopping.",
      false,
      0,
      600000 },
    { "stop-timeout-ms",
      kInteger,
      "60000",
      "Longest time to stop; requests in flight are cut off after it.",
      false,
      1,
      3600000 },
    { "peer-timeout-ms",
      kInteger,
      "200",
      "Time limit of a call to another router or an assigner.",
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
