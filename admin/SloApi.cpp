#include "SloApi.hpp"

#include "SloPage.hpp"
#include "common/Strings.hpp"
#include "config/RuleResolver.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

ApiResponse StoreFailure(const std::string& aObject,
                         const absl::Status& aStatus)
{
  Findings findings;
  findings.Add("store", aObject, "", std::string(ToStd(aStatus.message())));
  return FindingsResponse(503, findings);
}

/// Adds the services that have request counts in aSlots.
void AddServices(const std::map<int64_t, SloCells>& aSlots,
                 std::map<std::string, ServiceRules>& aRules)
{
  for (const auto& [slot, cells] : aSlots) {
    for (const auto& [key, requests] : cells) {
      aRules.try_emplace(key.service_);
    }
  }
}

}

SloApi::SloApi(ConfigEditor& aEditor,
               SloArchive& aArchive,
               const TableFollower& aFollower,
               ConfigEditor::UnixClock aUnixClock)
  : editor_(aEditor)
  , archive_(aArchive)
  , follower_(aFollower)
  , unixClock_(std::move(aUnixClock))
{
}

std::vector<ApiRoute> SloApi::Routes()
{
  const auto show = [this](ApiRequest& aRequest) {
    SloReport report;
    ApiResponse failure;
    return MakeReport(aRequest, report, failure)
             ? JsonResponse(200, ToJson(report))
             : failure;
  };
  const auto page = [this](ApiRequest& aRequest) {
    SloReport report;
    ApiResponse failure;
    return MakeReport(aRequest, report, failure)
             ? ApiResponse{ 200,
                            RenderSloPage(report),
                            "text/html; charset=utf-8" }
             : failure;
  };
  return { { "GET", "/v1/slo", show }, { "GET", "/v1/slo.html", page } };
}

bool SloApi::MakeReport(ApiRequest& aRequest,
                        SloReport& aReport,
                        ApiResponse& aFailure)
{
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto service = query.Text("service", false);
  query.RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    aFailure = FindingsResponse(400, aRequest.findings_);
    return false;
  }
  const auto nowMs = unixClock_();
  const auto stored = editor_.Read();
  if (!stored.ok()) {
    aFailure = detail::StoreFailure("config/fleet", stored.status());
    return false;
  }
  const auto history = archive_.Load(nowMs);
  if (!history.ok()) {
    aFailure = detail::StoreFailure("slo", history.status());
    return false;
  }
  std::map<std::string, ServiceRules> rules;
  detail::AddServices(history->hours_, rules);
  for (const auto& followed : follower_.Tables()) {
    rules.try_emplace(followed->table_.service_);
  }
  const RuleResolver resolver(stored->document_, nowMs);
  for (auto& [name, objectives] : rules) {
    objectives = resolver.Resolve({ .service_ = name });
  }
  aReport = MakeSloReport(*history, rules, resolver.Resolve({}), nowMs);
  std::erase_if(aReport.objectives_, [&](const SloObjective& aObjective) {
    return !service.empty() && aObjective.service_ != service;
  });
  return true;
}

}
