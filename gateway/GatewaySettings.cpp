#include "gateway/GatewaySettings.hpp"

#include "common/Log.hpp"
#include "common/NameCheck.hpp"
#include "common/Strings.hpp"

namespace cactuspitch {

namespace detail {

constexpr int64_t kMaxDurationMs = 600000;
constexpr int64_t kMinHoldMs = 1000;
constexpr int64_t kMinBackendDrainMs = 600;
constexpr double kPercent = 100;
constexpr int64_t kMinMemoryMb = 32;
constexpr int64_t kMaxMemoryMb = 1 << 20;
constexpr int kBytesPerMbShift = 20;
constexpr int64_t kMaxCrossDomainMsPerKb = 10000;

Endpoint EndpointOf(const Settings& aSettings, std::string_view aName)
{
  Endpoint endpoint;
  Endpoint::Parse(aSettings.Text(aName), endpoint);
  return endpoint;
}

}

std::vector<SettingSpec> GatewaySettingSpecs()
{
  const auto address = [](const char* aName, const char* aHelp) {
    return SettingSpec{ aName, SettingType::Address, "", aHelp, true };
  };
  const auto integer = [](const char* aName,
                          const char* aDefault,
                          const char* aHelp,
                          int64_t aMin,
                          int64_t aMax) {
    return SettingSpec{
      aName, SettingType::Integer, aDefault, aHelp, false, aMin, aMax
    };
  };
  return {
    { "instance", SettingType::Text, "", "name of this instance", true },
    { "failure-domain",
      SettingType::Text,
      "",
      "failure domain of this instance",
      true },
    address("listen", "requests of callers"),
    address("ready-listen", "health checks of the load balancer"),
    address("peer-listen", "datagrams of other gateways"),
    address("metrics-listen", "counters and latencies for scrapers"),
    address("store", "the platform's object store"),
    integer(
      "retry-percent", "20", "retries per 100 requests of a service", 0, 1000),
    integer("retry-extra",
            "56",
            "additional retries in 10 s, shared by all gateways",
            0,
            1000000),
    integer("grace-ms",
            "6000",
            "time from SIGTERM to the exit of the process, ms",
            500,
            detail::kMaxDurationMs),
    integer("max-hold-ms",
            "10000",
            "longest lease of keys that backend servers accept, ms",
            detail::kMinHoldMs,
            detail::kMaxDurationMs),
    integer("backend-drain-ms",
            "2000",
            "time after which a leaving backend server gets no requests, ms",
            detail::kMinBackendDrainMs,
            detail::kMaxDurationMs),
    integer("evacuation-ms",
            "0",
            "time after which an evacuation must be in force, ms; 0: off",
            0,
            detail::kMaxDurationMs),
    integer("cold-overshoot-percent",
            "0",
            "requests that a cold backend server gets, percent of its rate; 0: "
            "not limited",
            0,
            10000),
    integer("cold-slack",
            "0",
            "requests in one second beyond the rate of a cold backend server",
            0,
            1000000),
    integer("cpu-percent",
            "100",
            "CPU of this instance, percent of a core",
            1,
            100000),
    integer("memory-mb",
            "256",
            "memory that this process may use, MB",
            detail::kMinMemoryMb,
            detail::kMaxMemoryMb),
    integer("cross-domain-cost-ms-per-kb",
            "5",
            "cost of a KB between failure domains, in ms of waiting",
            0,
            detail::kMaxCrossDomainMsPerKb),
    integer("cross-domain-cost-max-percent",
            "50",
            "upper limit of that cost, percent of the latency objective",
            1,
            100),
    { "check",
      SettingType::Boolean,
      "false",
      "checks the settings and exits: true or false" },
    { "log-level", SettingType::Text, "info", "debug, info, warning or error" },
  };
}

void CheckGatewaySettings(const Settings& aSettings, Findings& aFindings)
{
  if (!ParseEnum<LogLevel>(aSettings.Text("log-level"))) {
    aFindings.Add("setting",
                  "log-level",
                  aSettings.Text("log-level"),
                  "must be debug, info, warning or error");
  }
  // Both are part of documents in the store and of messages.
  for (const auto* name : { "instance", "failure-domain" }) {
    const auto text = aSettings.Text(name);
    if (!IsPlainText(text)) {
      aFindings.Add(
        "setting", name, text, "must be UTF-8 without control characters");
    }
  }
}

GatewaySettings ReadGatewaySettings(const Settings& aSettings)
{
  GatewaySettings settings;
  settings.instance_ = aSettings.Text("instance");
  settings.failureDomain_ = aSettings.Text("failure-domain");
  settings.listen_ = detail::EndpointOf(aSettings, "listen");
  settings.readyListen_ = detail::EndpointOf(aSettings, "ready-listen");
  settings.peerListen_ = detail::EndpointOf(aSettings, "peer-listen");
  settings.metricsListen_ = detail::EndpointOf(aSettings, "metrics-listen");
  settings.store_ = detail::EndpointOf(aSettings, "store");
  settings.retryRatio_ =
    static_cast<double>(aSettings.Integer("retry-percent")) / detail::kPercent;
  settings.retryExtra_ = static_cast<double>(aSettings.Integer("retry-extra"));
  settings.graceMs_ = aSettings.Integer("grace-ms");
  settings.maxHoldMs_ = aSettings.Integer("max-hold-ms");
  settings.backendDrainMs_ = aSettings.Integer("backend-drain-ms");
  settings.evacuationMs_ = aSettings.Integer("evacuation-ms");
  settings.coldOvershoot_ =
    static_cast<double>(aSettings.Integer("cold-overshoot-percent")) /
    detail::kPercent;
  settings.coldSlack_ = static_cast<double>(aSettings.Integer("cold-slack"));
  settings.cpuPercent_ = static_cast<int>(aSettings.Integer("cpu-percent"));
  settings.memoryBytes_ = static_cast<size_t>(aSettings.Integer("memory-mb"))
                          << detail::kBytesPerMbShift;
  settings.crossing_.msPerKb_ =
    static_cast<double>(aSettings.Integer("cross-domain-cost-ms-per-kb"));
  settings.crossing_.maxCostShare_ =
    static_cast<double>(aSettings.Integer("cross-domain-cost-max-percent")) /
    detail::kPercent;
  settings.logLevel_ =
    ParseEnum<LogLevel>(aSettings.Text("log-level")).value_or(LogLevel::Info);
  return settings;
}

}
