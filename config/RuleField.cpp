#include "RuleField.hpp"

#include "common/Strings.hpp"
#include "config/JsonReader.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr uint8_t kService = ScopeBit(ScopeDimension::Service);
constexpr uint8_t kServer = kService | ScopeBit(ScopeDimension::FailureDomain) |
                            ScopeBit(ScopeDimension::Server);
constexpr uint8_t kAny = kServer | ScopeBit(ScopeDimension::Key);
constexpr double kDayMs = 86400000;

const RuleField kFields[] = {
  { "defaultDeadlineMs",
    &ServiceRules::defaultDeadlineMs_,
    1,
    600000,
    "ms",
    "Deadline of a request that sets none.",
    kAny },
  { "maxDeadlineMs",
    &ServiceRules::maxDeadlineMs_,
    1,
    600000,
    "ms",
    "Largest deadline that a caller may set.",
    kAny },
  { "attemptTimeoutMs",
    &ServiceRules::attemptTimeoutMs_,
    1,
    600000,
    "ms",
    "Time limit of one attempt at a backend server.",
    kAny },
  { "maxAttempts",
    &ServiceRules::maxAttempts_,
    1,
    10,
    "attempts",
    "Largest number of attempts for one idempotent request.",
    kAny },
  { "retryBudgetPercent",
    &ServiceRules::retryBudgetPercent_,
    0,
    100,
    "%",
    "Largest number of retries as a share of the requests.",
    kService },
  { "queueLimit",
    &ServiceRules::queueLimit_,
    0,
    100000,
    "requests",
    "Requests waiting for one backend server in a router.",
    kServer },
  { "maxRequestBytes",
    &ServiceRules::maxRequestBytes_,
    0,
    1 << 30,
    "B",
    "Largest request body.",
    kAny },
  { "quarantineMs",
    &ServiceRules::quarantineMs_,
    1000,
    kDayMs,
    "ms",
    "How long a request that crashes backend servers is rejected.",
    kService },
  { "admissionPolicy",
    &ServiceRules::admissionPolicy_,
    0,
    0,
    "name",
    "Admission control strategy.",
    kService,
    "adaptive,static" },
  { "balancingPolicy",
    &ServiceRules::balancingPolicy_,
    0,
    0,
    "name",
    "Balancing strategy.",
    kService,
    "load-per-key" },
  { "churnPercentPerMinute",
    &ServiceRules::churnPercentPerMinute_,
    0,
    100,
    "%/min",
    "Share of the load that balancing may move in a minute.",
    kService },
  { "actAbovePercent",
    &ServiceRules::actAbovePercent_,
    101,
    1000,
    "%",
    "Peak over mean load at which balancing starts.",
    kService },
  { "stopBelowPercent",
    &ServiceRules::stopBelowPercent_,
    100,
    1000,
    "%",
    "Peak over mean load at which balancing stops.",
    kService },
  { "hotKeyPercent",
    &ServiceRules::hotKeyPercent_,
    1,
    100,
    "%",
    "Share of the mean server load above which a key gets its own slice.",
    kService },
  { "warmupMs",
    &ServiceRules::warmupMs_,
    0,
    3600000,
    "ms",
    "Time in which a new backend server ramps up to full load.",
    kServer },
  { "availabilityPercent",
    &ServiceRules::availabilityPercent_,
    50,
    99.999,
    "%",
    "Objective: share of requests with a complete response.",
    kService },
  { "latencyMs",
    &ServiceRules::latencyMs_,
    1,
    600000,
    "ms",
    "Objective: time in which a response counts as fast.",
    kService },
  { "latencyPercent",
    &ServiceRules::latencyPercent_,
    50,
    99.999,
    "%",
    "Objective: share of the complete responses that are fast.",
    kService },
};

const RuleRelation kRelations[] = {
  { "attemptTimeoutMs", "maxDeadlineMs" },
  { "defaultDeadlineMs", "maxDeadlineMs" },
  { "latencyMs", "maxDeadlineMs" },
  { "stopBelowPercent", "actAbovePercent", true },
};

bool IsChoice(std::string_view aChoices, const std::string& aText)
{
  const std::vector<std::string> choices =
    absl::StrSplit(ToAbsl(aChoices), ',');
  return std::ranges::find(choices, aText) != choices.end();
}

std::optional<int64_t> AsInteger(const nlohmann::json& aValue)
{
  if (!aValue.is_number_integer() ||
      (aValue.is_number_unsigned() && aValue.get<uint64_t>() > INT64_MAX)) {
    return std::nullopt;
  }
  return aValue.get<int64_t>();
}

}

std::span<const RuleField> RuleFields()
{
  return detail::kFields;
}

std::span<const RuleRelation> RuleRelations()
{
  return detail::kRelations;
}

const RuleField* FindRuleField(std::string_view aName)
{
  const auto fields = RuleFields();
  const auto found = std::ranges::find(fields, aName, &RuleField::name_);
  return found == fields.end() ? nullptr : &*found;
}

RuleValue RuleField::Get(const ServiceRules& aRules) const
{
  return std::visit([&](auto aMember) -> RuleValue { return aRules.*aMember; },
                    member_);
}

void RuleField::Set(ServiceRules& aRules, const RuleValue& aValue) const
{
  std::visit(
    [&](auto aMember) {
      using Value = std::decay_t<decltype(aRules.*aMember)>;
      aRules.*aMember = std::get<Value>(aValue);
    },
    member_);
}

std::string_view RuleField::TypeName() const
{
  constexpr std::string_view kNames[] = { "integer", "number", "name" };
  return kNames[member_.index()];
}

std::optional<RuleValue> RuleField::Parse(const nlohmann::json& aValue,
                                          const std::string& aObject,
                                          Findings& aFindings) const
{
  const auto reject = [&](std::string aRule) {
    aFindings.Add(
      aObject, std::string(name_), FormatValue(aValue), std::move(aRule));
    return std::nullopt;
  };
  if (std::holds_alternative<std::string ServiceRules::*>(member_)) {
    if (!aValue.is_string() ||
        !detail::IsChoice(choices_, aValue.get_ref<const std::string&>())) {
      return reject(Concat("expected one of ", choices_));
    }
    return aValue.get<std::string>();
  }
  const auto inRange = [&](auto aNumber) {
    return static_cast<double>(aNumber) >= min_ &&
           static_cast<double>(aNumber) <= max_;
  };
  const auto rule =
    Concat("expected ", TypeName(), " from ", min_, " to ", max_, " ", unit_);
  if (std::holds_alternative<int64_t ServiceRules::*>(member_)) {
    const auto number = detail::AsInteger(aValue);
    return number && inRange(*number) ? std::optional<RuleValue>(*number)
                                      : reject(rule);
  }
  if (!aValue.is_number() || !inRange(aValue.get<double>())) {
    return reject(rule);
  }
  return aValue.get<double>();
}

std::string ToText(const RuleValue& aValue)
{
  return std::visit(
    [](const auto& aAlternative) { return Concat(aAlternative); }, aValue);
}

nlohmann::json ToJson(const RuleValue& aValue)
{
  return std::visit(
    [](const auto& aAlternative) { return nlohmann::json(aAlternative); },
    aValue);
}

}
