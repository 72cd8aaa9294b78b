#include "RouterSettings.hpp"

#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

bool IsLoopback(std::string_view aAddress)
{
  return aAddress.starts_with("127.") || aAddress.starts_with("[::1]:");
}

void CheckAddresses(const Settings& aSettings,
                    const RouterSettings& aRouter,
                    Findings& aFindings)
{
  if (aRouter.listen_ == aRouter.rpcListen_) {
    aFindings.Add(
      "settings", "rpc-listen", aRouter.rpcListen_, "must differ from listen");
  }
  const bool allLoopback = IsLoopback(aRouter.listen_) &&
                           IsLoopback(aRouter.rpcListen_) &&
                           std::ranges::all_of(aRouter.assigners_, IsLoopback);
  if (!allLoopback && aSettings.Text("auth-token").empty()) {
    aFindings.Add(
      "settings", "auth-token", "", "required when an address is not loopback");
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
  constexpr auto kText = SettingType::Text;
  constexpr auto kInteger = SettingType::Integer;
  return {
    { "instance", kText, "", "Name of this entry instance.", true },
    { "failure-domain", kText, "", "Failure domain of the instance.", true },
    { "listen", SettingType::Address, "", "Address for callers.", true },
    { "rpc-listen", SettingType::Address, "", "Thrift address.", true },
    { "assigners",
      SettingType::AddressList,
      "",
      "Thrift addresses of assigners to start from.",
      true },
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
    { "auth-token", kText, "", "Shared secret.", false },
    { "log-level", kText, "info", "debug, info, warning or error.", false },
  };
}

RouterSettings ReadRouterSettings(const Settings& aSettings,
                                  Findings& aFindings)
{
  RouterSettings router;
  router.instance_ = aSettings.Text("instance");
  router.failureDomain_ = aSettings.Text("failure-domain");
  router.listen_ = aSettings.Text("listen");
  router.rpcListen_ = aSettings.Text("rpc-listen");
  router.assigners_ = aSettings.List("assigners");
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
  const auto level = ParseEnum<LogLevel>(aSettings.Text("log-level"));
  if (level) {
    router.logLevel_ = *level;
  } else {
    aFindings.Add("settings",
                  "log-level",
                  aSettings.Text("log-level"),
                  "expected debug, info, warning or error");
  }
  detail::CheckAddresses(aSettings, router, aFindings);
  detail::CheckLimits(router, aFindings);
  return router;
}

}
