#include "Deployment.hpp"

#include "common/HttpConnection.hpp"
#include "common/Strings.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kProcessStartMs = 5000;
constexpr TimeMs kDeploymentStartMs = 15000;

}

Deployment::Deployment(std::string aBinaryDir, DeploymentOptions aOptions)
  : binaryDir_(std::move(aBinaryDir))
  , options_(std::move(aOptions))
  , fleet_(binaryDir_)
{
  for (const auto& service : options_.services_) {
    for (int index = 0; index < service.backends_; ++index) {
      const auto name = Concat("b-", service.name_, "-", index);
      backends_[name] = service;
      Port(name);
    }
  }
  Port("store");
  for (int index = 0; index < options_.instances_; ++index) {
    for (const char* role : { "router", "assigner", "admin" }) {
      Port(Concat(role, "-", index));
      Port(Concat(role, "-rpc-", index));
    }
  }
}

std::string Deployment::Start()
{
  fleet_.Launch(
    "store", "standin-store", { "--listen", Port("store").Address() });
  for (const auto& name : options_.cuts_) {
    LaunchCut(name);
  }
  if (!WaitFor(detail::kProcessStartMs, [this] {
        return HttpCall("GET", Address("store"), "/_health").has_value();
      })) {
    return Concat("store: ", fleet_.LogTail("store"));
  }
  for (int index = 0; index < options_.instances_; ++index) {
    RegisterInstance(index);
  }
  for (const auto& [name, service] : backends_) {
    LaunchBackend(name);
  }
  for (int index = 0; index < options_.instances_; ++index) {
    LaunchAssigner(index);
    LaunchRouter(index);
    if (options_.withAdmin_) {
      LaunchAdmin(index);
    }
  }
  std::string missing;
  const auto isServed = [&] {
    missing.clear();
    for (const auto& router : Routers()) {
      for (const auto& service : options_.services_) {
        missing += Probe(router, service.name_);
      }
    }
    for (int index = 0; options_.withAdmin_ && index < options_.instances_;
         ++index) {
      if (!HttpCall("GET", AdminAddress(index), "/_ready")) {
        AppendTo(missing, "admin-", index, " is not ready\n");
      }
    }
    return missing.empty();
  };
  WaitFor(detail::kDeploymentStartMs, isServed);
  return missing;
}

std::string Deployment::Probe(const std::string& aRouter,
                              const std::string& aService) const
{
  constexpr TimeMs kProbeMs = 1000;
  constexpr size_t kMaxBytes = 1 << 20;
  const SteadyClock clock;
  HttpConnection connection(clock, aRouter);
  const auto answer = connection.Exchange({ "GET",
                                            Concat("/", aService, "/probe"),
                                            { { header::kRequestId, "probe" } },
                                            {} },
                                          clock.NowMs() + kProbeMs,
                                          kMaxBytes);
  if (answer.ok() && answer->head_.Header(header::kOutcome) == "complete") {
    return {};
  }
  return Concat(aService,
                " at ",
                aRouter,
                ": ",
                answer.ok() ? Concat(answer->head_.status_, " ", answer->body_)
                            : answer.status().ToString(),
                "\n");
}

void Deployment::LaunchCut(const std::string& aName)
{
  const auto cut = Concat("cut-", aName);
  const auto control = Concat("cutctl-", aName);
  fleet_.Launch(cut,
                "standin-cut",
                { "--listen",
                  Port(cut).Address(),
                  "--target",
                  Port(aName).Address(),
                  "--control",
                  Port(control).Address() });
  WaitFor(detail::kProcessStartMs, [&] {
    return HttpCall("GET", Address(control), "/_health").has_value();
  });
}

void Deployment::RegisterInstance(int aIndex)
{
  const auto id = Concat("i", aIndex);
  const nlohmann::json document = {
    { "id", id },
    { "failureDomain", FailureDomain(aIndex) },
    { "state", "live" },
    { "assigner", Port(Concat("assigner-rpc-", aIndex)).Address() },
    { "router", Port(Concat("router-rpc-", aIndex)).Address() },
    { "routerHttp", Port(Concat("router-", aIndex)).Address() },
    { "admin", Port(Concat("admin-", aIndex)).Address() },
  };
  HttpCall("PUT",
           Address("store"),
           Concat("/_platform/instance/", id),
           document.dump());
}

void Deployment::LaunchBackend(const std::string& aName)
{
  const auto& service = backends_.at(aName);
  const auto index = std::distance(backends_.begin(), backends_.find(aName));
  std::vector<std::string> flags = {
    "--listen",
    Port(aName).Address(),
    "--advertise",
    PublicAddress(aName),
    "--id",
    aName,
    "--service",
    service.name_,
    "--store",
    Address("store"),
    "--history",
    HistoryFile(aName),
    "--slots",
    std::to_string(service.slots_),
    "--service-us",
    std::to_string(service.serviceUs_),
    "--checks-fence",
    service.checksFence_ ? "true" : "false",
    // Large clock offsets between servers expose code that compares times of
    // different clocks.
    "--clock-offset-ms",
    std::to_string((index + 1) * 1000000),
    "--failure-domain",
    FailureDomain(static_cast<int>(index)),
  };
  flags.insert(flags.end(), service.flags_.begin(), service.flags_.end());
  fleet_.Launch(aName, "standin-backend", flags);
}

void Deployment::LaunchRouter(int aIndex)
{
  fleet_.Launch(Concat("router-", aIndex),
                "cactuspitch-router",
                options_.routerFlags_,
                CommonSettings("router", aIndex));
}

void Deployment::LaunchAssigner(int aIndex)
{
  fleet_.Launch(Concat("assigner-", aIndex),
                "cactuspitch-assigner",
                options_.assignerFlags_,
                CommonSettings("assigner", aIndex));
}

void Deployment::LaunchAdmin(int aIndex)
{
  fleet_.Launch(Concat("admin-", aIndex),
                "cactuspitch-admin",
                options_.adminFlags_,
                CommonSettings("admin", aIndex));
}

ProcessFleet::Environment Deployment::CommonSettings(const std::string& aRole,
                                                     int aIndex) const
{
  return {
    { "CACTUSPITCH_INSTANCE", Concat("i", aIndex) },
    { "CACTUSPITCH_FAILURE_DOMAIN", FailureDomain(aIndex) },
    { "CACTUSPITCH_LISTEN", Address(Concat(aRole, "-", aIndex)) },
    { "CACTUSPITCH_RPC_LISTEN", Address(Concat(aRole, "-rpc-", aIndex)) },
    { "CACTUSPITCH_STORE", PublicAddress("store") },
    { "CACTUSPITCH_ASSIGNERS", AssignerList() },
  };
}

std::vector<std::string> Deployment::Routers() const
{
  std::vector<std::string> routers;
  for (int index = 0; index < options_.instances_; ++index) {
    routers.push_back(Address(Concat("router-", index)));
  }
  return routers;
}

std::string Deployment::AdminAddress(int aIndex) const
{
  return Address(Concat("admin-", aIndex));
}

std::string Deployment::AssignerRpc(int aIndex) const
{
  return Address(Concat("assigner-rpc-", aIndex));
}

std::string Deployment::AssignerList() const
{
  std::string list;
  for (int index = 0; index < options_.instances_; ++index) {
    AppendTo(list, index > 0 ? "," : "", AssignerRpc(index));
  }
  return list;
}

std::string Deployment::FailureDomain(int aIndex) const
{
  const auto& domains = options_.failureDomains_;
  return domains[static_cast<size_t>(aIndex) % domains.size()];
}

const ReservedPort& Deployment::Port(const std::string& aName)
{
  return ports_[aName];
}

std::string Deployment::Address(const std::string& aName) const
{
  return ports_.at(aName).Address();
}

std::string Deployment::PublicAddress(const std::string& aName) const
{
  const auto cut = ports_.find(Concat("cut-", aName));
  return cut == ports_.end() ? Address(aName) : cut->second.Address();
}

std::vector<std::string> Deployment::BackendNames(
  const std::string& aService) const
{
  std::vector<std::string> names;
  for (const auto& [name, service] : backends_) {
    if (service.name_ == aService) {
      names.push_back(name);
    }
  }
  return names;
}

std::string Deployment::HistoryFile(const std::string& aBackend) const
{
  return Concat(fleet_.LogDirectory(), "/", aBackend, ".history");
}

bool Deployment::SetCutMode(const std::string& aName, const std::string& aMode)
{
  const auto target =
    aMode == "silence-open" ? "/_silence-open" : Concat("/_mode/", aMode);
  return HttpCall("PUT", Address(Concat("cutctl-", aName)), target).has_value();
}

bool Deployment::SetStoreFault(const std::string& aJson)
{
  return HttpCall("POST", Address("store"), "/_fault", aJson).has_value();
}

}
