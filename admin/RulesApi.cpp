#include "RulesApi.hpp"

#include "common/Strings.hpp"
#include "config/RuleResolver.hpp"

#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kChangeTimeoutMs = 8000;
constexpr TimeMs kReadTimeoutMs = 2000;
constexpr auto kReadRetryDelay = std::chrono::milliseconds(20);

nlohmann::json DescribeFields()
{
  auto list = nlohmann::json::array();
  for (const auto& field : RuleFields()) {
    auto scopes = nlohmann::json::array();
    for (const auto dimension : kAllDimensions) {
      if ((field.scopes_ & ScopeBit(dimension)) != 0) {
        scopes.push_back(EnumName(dimension));
      }
    }
    nlohmann::json entry = { { "name", field.name_ },
                             { "type", field.TypeName() },
                             { "unit", field.unit_ },
                             { "help", field.help_ },
                             { "scopes", std::move(scopes) } };
    if (!std::holds_alternative<std::string ServiceRules::*>(field.member_)) {
      entry["min"] = field.min_;
      entry["max"] = field.max_;
    } else {
      entry["choices"] = field.choices_;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

nlohmann::json ToJson(const RuleDifference& aDifference)
{
  return { { "target", cactuspitch::ToJson(aDifference.target_) },
           { "field", aDifference.field_ },
           { "from", cactuspitch::ToJson(aDifference.from_) },
           { "to", cactuspitch::ToJson(aDifference.to_) } };
}

nlohmann::json ToJson(const std::vector<ChangeRecord>& aChanges)
{
  auto list = nlohmann::json::array();
  for (const auto& change : aChanges) {
    list.push_back(cactuspitch::ToJson(change));
  }
  return list;
}

/// HTTP status by ChangeOutcome.
constexpr int kOutcomeStatus[] = { 200, 409, 400, 503, 504 };
static_assert(std::size(kOutcomeStatus) ==
              static_cast<size_t>(ChangeOutcome::Count));

ApiResponse ToResponse(const ChangeResult& aResult)
{
  nlohmann::json body = { { "outcome", EnumName(aResult.outcome_) },
                          { "id", aResult.id_ },
                          { "version", aResult.version_ } };
  if (aResult.outcome_ != ChangeOutcome::Accepted) {
    body["error"] = aResult.error_;
    body["findings"] = cactuspitch::ToJson(aResult.findings_);
  }
  if (aResult.outcome_ == ChangeOutcome::Conflict) {
    body["since"] = ToJson(aResult.since_);
    body["sinceIsTruncated"] = aResult.isTruncated_;
  }
  return JsonResponse(kOutcomeStatus[static_cast<size_t>(aResult.outcome_)],
                      body);
}

}

RulesApi::RulesApi(ConfigEditor& aEditor,
                   const Clock& aClock,
                   ConfigEditor::UnixClock aUnixClock)
  : editor_(aEditor)
  , clock_(aClock)
  , unixClock_(std::move(aUnixClock))
{
}

std::vector<ApiRoute> RulesApi::Routes()
{
  const auto bind = [this](Handler aHandler) {
    return [this, aHandler](ApiRequest& aRequest) {
      return (this->*aHandler)(aRequest);
    };
  };
  return { { "GET", "/v1/defaults", bind(&RulesApi::ShowDefaults) },
           { "GET", "/v1/exceptions", bind(&RulesApi::ListExceptions) },
           { "GET", "/v1/rules", bind(&RulesApi::ShowRules) },
           { "POST", "/v1/preview", bind(&RulesApi::Preview) },
           { "POST", "/v1/changes", bind(&RulesApi::Change) },
           { "GET", "/v1/history", bind(&RulesApi::ShowHistory) } };
}

bool RulesApi::ReadDocument(FleetDocument& aDocument, ApiResponse& aFailure)
{
  const TimeMs deadlineMs = clock_.NowMs() + detail::kReadTimeoutMs;
  auto stored = editor_.Read();
  while (absl::IsUnavailable(stored.status()) && clock_.NowMs() < deadlineMs) {
    std::this_thread::sleep_for(detail::kReadRetryDelay);
    stored = editor_.Read();
  }
  if (stored.ok()) {
    aDocument = std::move(stored->document_);
    return true;
  }
  Findings findings;
  findings.Add(
    "store", "config/fleet", "", std::string(ToStd(stored.status().message())));
  aFailure = FindingsResponse(503, findings);
  return false;
}

ApiResponse RulesApi::ShowDefaults(ApiRequest& aRequest)
{
  QueryReader(aRequest.query_, aRequest.findings_).RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  FleetDocument document;
  ApiResponse failure;
  if (!ReadDocument(document, failure)) {
    return failure;
  }
  return JsonResponse(200,
                      { { "version", document.version_ },
                        { "defaults", ToJson(document.defaults_) },
                        { "fields", detail::DescribeFields() } });
}

ApiResponse RulesApi::ListExceptions(ApiRequest& aRequest)
{
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto target = query.Target();
  query.RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  FleetDocument document;
  ApiResponse failure;
  if (!ReadDocument(document, failure)) {
    return failure;
  }
  auto list = nlohmann::json::array();
  for (const auto& exception : document.exceptions_) {
    if (target.Contains(exception.scope_)) {
      auto entry = ToJson(exception);
      entry["inForce"] = exception.IsInForce(unixClock_());
      list.push_back(std::move(entry));
    }
  }
  return JsonResponse(
    200, { { "version", document.version_ }, { "exceptions", list } });
}

ApiResponse RulesApi::ShowRules(ApiRequest& aRequest)
{
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto target = query.Target();
  query.RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  FleetDocument document;
  ApiResponse failure;
  if (!ReadDocument(document, failure)) {
    return failure;
  }
  const RuleResolver resolver(document, unixClock_());
  auto rules = nlohmann::json::array();
  for (const auto& origin : resolver.Explain(target)) {
    nlohmann::json entry = { { "field", origin.field_->name_ },
                             { "value", ToJson(origin.value_) },
                             { "unit", origin.field_->unit_ },
                             { "from", "default" } };
    if (origin.exception_) {
      entry["from"] = "exception";
      entry["exception"] = ToJson(*origin.exception_);
    }
    rules.push_back(std::move(entry));
  }
  return JsonResponse(200,
                      { { "version", document.version_ },
                        { "target", ToJson(target) },
                        { "rules", std::move(rules) } });
}

ApiResponse RulesApi::Preview(ApiRequest& aRequest)
{
  QueryReader(aRequest.query_, aRequest.findings_).RefuseUnknown();
  const auto change = ParseConfigChange(aRequest.body_, aRequest.findings_);
  if (!change || !aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  FleetDocument document;
  ApiResponse failure;
  if (!ReadDocument(document, failure)) {
    return failure;
  }
  const auto nowMs = unixClock_();
  const auto changed =
    ApplyChange(document, *change, nowMs, aRequest.findings_);
  if (!changed) {
    return FindingsResponse(400, aRequest.findings_);
  }
  auto differences = nlohmann::json::array();
  for (const auto& difference : CompareRules(document, *changed, nowMs)) {
    differences.push_back(detail::ToJson(difference));
  }
  return JsonResponse(
    200,
    { { "version", document.version_ },
      { "baseIsNewest", document.version_ == change->baseVersion_ },
      { "summary", change->Summary() },
      { "differences", std::move(differences) } });
}

ApiResponse RulesApi::Change(ApiRequest& aRequest)
{
  QueryReader(aRequest.query_, aRequest.findings_).RefuseUnknown();
  auto change = ParseConfigChange(aRequest.body_, aRequest.findings_);
  if (!change || !aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  return detail::ToResponse(editor_.Submit(
    std::move(*change), clock_.NowMs() + detail::kChangeTimeoutMs));
}

ApiResponse RulesApi::ShowHistory(ApiRequest& aRequest)
{
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto since = query.Integer("since", 0, INT64_MAX).value_or(0);
  query.RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  FleetDocument document;
  ApiResponse failure;
  if (!ReadDocument(document, failure)) {
    return failure;
  }
  std::erase_if(document.changes_, [&](const ChangeRecord& aChange) {
    return aChange.version_ <= since;
  });
  return JsonResponse(200,
                      { { "version", document.version_ },
                        { "changes", detail::ToJson(document.changes_) } });
}

}
