#include "FleetApi.hpp"

#include "ServiceStatistics.hpp"
#include "common/KeyHash.hpp"
#include "common/Log.hpp"
#include "config/JsonReader.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <thread>

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr int64_t kMoveHistoryMs = 3600000;
constexpr int64_t kMsPerMinute = 60000;
constexpr int64_t kMaxWaitMs = 25000;
constexpr int64_t kMaxListEntries = 1000;
constexpr auto kPollInterval = std::chrono::milliseconds(100);

/// Hashes are sent as text, because JSON numbers are exact only up to 53 bits.
std::string FormatHash(uint64_t aHash)
{
  return absl::StrFormat("0x%016x", aHash);
}

/// Nothing unless aText has 1 to 16 hexadecimal digits, optionally after 0x.
std::optional<uint64_t> ParseHash(std::string_view aText)
{
  constexpr int kHex = 16;
  constexpr size_t kMaxDigits = 16;
  aText.remove_prefix(aText.starts_with("0x") ? 2 : 0);
  uint64_t hash = 0;
  const auto* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, hash, kHex);
  return !aText.empty() && aText.size() <= kMaxDigits && error == std::errc() &&
             last == end
           ? std::optional(hash)
           : std::nullopt;
}

bool IsLagging(const PeerStatus& aStatus, int64_t aVersion)
{
  return !aStatus.error_.empty() || aStatus.status_.configVersion < aVersion;
}

nlohmann::json ToJson(const PeerStatus& aStatus)
{
  nlohmann::json entry = { { "program", aStatus.program_ },
                           { "instance", aStatus.instance_ },
                           { "failureDomain", aStatus.failureDomain_ },
                           { "address", aStatus.address_ } };
  if (!aStatus.error_.empty()) {
    entry["error"] = aStatus.error_;
    return entry;
  }
  entry["version"] = aStatus.status_.configVersion;
  entry["confirmedAgeMs"] = aStatus.status_.configAgeMs;
  entry["uptimeMs"] = aStatus.status_.uptimeMs;
  return entry;
}

nlohmann::json LaggingProcesses(const std::vector<PeerStatus>& aStatuses,
                                int64_t aVersion)
{
  auto list = nlohmann::json::array();
  for (const auto& status : aStatuses) {
    if (IsLagging(status, aVersion)) {
      list.push_back(Concat(status.program_, " ", status.instance_));
    }
  }
  return list;
}

nlohmann::json ToJson(const BackendServerRecord* aServer)
{
  if (!aServer) {
    return nullptr;
  }
  return { { "id", aServer->id_ },
           { "address", aServer->address_ },
           { "failureDomain", aServer->failureDomain_ },
           { "draining", aServer->draining_ } };
}

ApiResponse ServiceNotFoundResponse(const std::string& aService)
{
  Findings findings;
  findings.Add(
    "query", "service", aService, "no assignment table for this service");
  return FindingsResponse(404, findings);
}

nlohmann::json ToJson(const OwnerMove& aMove, const FleetDetails& aDetails)
{
  return { { "time", aMove.timeMs_ },
           { "service", aMove.service_ },
           { "group", aMove.group_ },
           { "begin", FormatHash(aMove.begin_) },
           { "end", FormatHash(aMove.end_) },
           { "from", aMove.from_ },
           { "to", aMove.to_ },
           { "epoch", aMove.epoch_ },
           { "gapMs", aMove.gapMs_ },
           { "reason",
             aDetails.MoveReason(
               aMove.service_, aMove.begin_, aMove.epoch_) } };
}

/// Merges the entries of all routers by fingerprint. The copies of an entry
/// normally differ only in the time that is left; the largest value is taken.
nlohmann::json MergeQuarantine(
  const std::vector<QuarantineResponse>& aResponses)
{
  std::map<int64_t, nlohmann::json> merged;
  for (const auto& response : aResponses) {
    for (const auto& entry : response.entries_) {
      auto& item = merged[entry.fingerprint];
      if (item.is_null()) {
        item = { { "fingerprint",
                   FormatHash(static_cast<uint64_t>(entry.fingerprint)) },
                 { "crashes", entry.crashes },
                 { "expiresInMs", entry.expiresInMs },
                 { "quarantined", entry.quarantined },
                 { "reason", entry.reason },
                 { "routers", nlohmann::json::array() } };
      }
      item["crashes"] = std::max(item["crashes"].get<int32_t>(), entry.crashes);
      item["expiresInMs"] =
        std::max(item["expiresInMs"].get<int32_t>(), entry.expiresInMs);
      item["quarantined"] =
        item["quarantined"].get<bool>() || entry.quarantined;
      item["routers"].push_back(response.instance_);
    }
  }
  auto list = nlohmann::json::array();
  for (auto& [fingerprint, item] : merged) {
    list.push_back(std::move(item));
  }
  return list;
}

/// Routers whose call failed, with the error.
nlohmann::json FailedCalls(const std::vector<QuarantineResponse>& aResponses)
{
  auto list = nlohmann::json::array();
  for (const auto& response : aResponses) {
    if (!response.error_.empty()) {
      list.push_back(
        { { "instance", response.instance_ }, { "error", response.error_ } });
    }
  }
  return list;
}

}

FleetApi::FleetApi(ConfigEditor& aEditor,
                   FleetClient& aFleet,
                   const TableFollower& aFollower,
                   const MoveLog& aMoves,
                   const Clock& aClock,
                   ConfigEditor::UnixClock aUnixClock,
                   std::string aInstance)
  : editor_(aEditor)
  , fleet_(aFleet)
  , follower_(aFollower)
  , moves_(aMoves)
  , clock_(aClock)
  , unixClock_(std::move(aUnixClock))
  , instance_(std::move(aInstance))
{
}

std::vector<ApiRoute> FleetApi::Routes()
{
  const auto bind = [this](Handler aHandler) {
    return [this, aHandler](ApiRequest& aRequest) {
      return (this->*aHandler)(aRequest);
    };
  };
  return {
    { "GET", "/v1/versions", bind(&FleetApi::ShowVersions) },
    { "GET", "/v1/wait", bind(&FleetApi::Wait) },
    { "GET", "/v1/owner", bind(&FleetApi::ShowOwner) },
    { "GET", "/v1/slices", bind(&FleetApi::ShowSlices) },
    { "GET", "/v1/moves", bind(&FleetApi::ShowMoves) },
    { "GET", "/v1/measures", bind(&FleetApi::ShowMeasures) },
    { "GET", "/v1/quarantine", bind(&FleetApi::ListQuarantine) },
    { "POST", "/v1/quarantine/release", bind(&FleetApi::ReleaseQuarantine) },
  };
}

std::vector<std::shared_ptr<const FollowedTable>> FleetApi::Tables(
  const std::string& aService) const
{
  auto tables = follower_.Tables();
  std::erase_if(tables, [&](const auto& aTable) {
    return !aTable ||
           (!aService.empty() && aTable->table_.service_ != aService);
  });
  return tables;
}

int64_t FleetApi::NewestVersion(const std::vector<PeerStatus>& aStatuses)
{
  int64_t newest = 0;
  const auto stored = editor_.Read();
  if (stored.ok()) {
    newest = stored->document_.version_;
  }
  for (const auto& status : aStatuses) {
    newest = std::max(newest, status.status_.configVersion);
  }
  if (const auto config = follower_.Config()) {
    newest = std::max(newest, config->version_);
  }
  editor_.ObserveVersion(newest);
  return newest;
}

ApiResponse FleetApi::ShowVersions(ApiRequest& aRequest)
{
  QueryReader(aRequest.query_, aRequest.findings_).RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  const auto statuses = fleet_.FetchStatuses();
  const auto newest = NewestVersion(statuses);
  auto processes = nlohmann::json::array();
  for (const auto& status : statuses) {
    processes.push_back(detail::ToJson(status));
  }
  const auto config = follower_.Config();
  return JsonResponse(
    200,
    { { "newest", newest },
      { "answeredBy", instance_ },
      { "answererVersion", config ? config->version_ : 0 },
      { "processes", std::move(processes) },
      { "lagging", detail::LaggingProcesses(statuses, newest) } });
}

ApiResponse FleetApi::Wait(ApiRequest& aRequest)
{
  constexpr int64_t kDefaultWaitMs = 5000;
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto version = query.Integer("version", 1, INT64_MAX);
  const auto timeoutMs =
    query.Integer("timeoutMs", 0, detail::kMaxWaitMs).value_or(kDefaultWaitMs);
  query.RefuseUnknown();
  if (!version && aRequest.findings_.IsEmpty()) {
    aRequest.findings_.Add("query", "version", "", "required");
  }
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  const auto startMs = clock_.NowMs();
  auto lagging = fleet_.FetchStatuses();
  const auto processCount = lagging.size();
  const auto removeUpToDate = [&] {
    std::erase_if(lagging, [&](const PeerStatus& aStatus) {
      return !detail::IsLagging(aStatus, *version);
    });
  };
  removeUpToDate();
  while (!lagging.empty() && clock_.NowMs() < startMs + timeoutMs) {
    std::this_thread::sleep_for(detail::kPollInterval);
    fleet_.RefreshStatuses(lagging);
    removeUpToDate();
  }
  // With no known process, no version counts as in force.
  const bool inForce = lagging.empty() && processCount > 0;
  return JsonResponse(
    200,
    { { "version", *version },
      { "inForce", inForce },
      { "processes", processCount },
      { "elapsedMs", clock_.NowMs() - startMs },
      { "lagging", detail::LaggingProcesses(lagging, *version) } });
}

ApiResponse FleetApi::ShowOwner(ApiRequest& aRequest)
{
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto service = query.Text("service", true);
  const auto key = query.Text("key", true);
  query.RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  const auto hash = HashKey(key);
  const auto followed = follower_.Table(service, hash);
  if (!followed) {
    return detail::ServiceNotFoundResponse(service);
  }
  const auto& table = followed->table_;
  const auto& slice = table.FindSlice(hash);
  const auto index = static_cast<size_t>(&slice - table.slices_.data());
  nlohmann::json response = {
    { "service", service },
    { "key", key },
    { "hash", detail::FormatHash(hash) },
    { "group", table.group_ },
    { "term", table.term_ },
    { "sequence", table.sequence_ },
    { "assigner", table.assigner_ },
    { "deputy", table.deputy_ },
    { "begin", detail::FormatHash(slice.begin_) },
    { "end", detail::FormatHash(table.SliceEnd(index)) },
    { "epoch", slice.epoch_ },
    { "owner", detail::ToJson(table.Server(slice.owner_)) },
    { "standby", detail::ToJson(table.Server(slice.standby_)) },
    { "since", nullptr },
  };
  const auto since = moves_.OwnedSinceMs(service, table.group_, hash);
  if (since) {
    response["since"] = *since;
  }
  return JsonResponse(200, response);
}

ApiResponse FleetApi::ShowSlices(ApiRequest& aRequest)
{
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto service = query.Text("service", true);
  const auto offset = query.Integer("offset", 0, INT32_MAX).value_or(0);
  const auto limit = query.Integer("limit", 1, detail::kMaxListEntries)
                       .value_or(detail::kMaxListEntries);
  query.RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  const auto tables = Tables(service);
  if (tables.empty()) {
    return detail::ServiceNotFoundResponse(service);
  }
  const FleetDetails details(fleet_.FetchStatuses());
  auto list = nlohmann::json::array();
  int64_t count = 0;
  for (const auto& followed : tables) {
    const auto& table = followed->table_;
    for (size_t i = 0; i < table.slices_.size(); ++i) {
      const auto number = count++;
      if (number < offset || number >= offset + limit) {
        continue;
      }
      const auto& slice = table.slices_[i];
      const auto* owner = table.Server(slice.owner_);
      const auto* standby = table.Server(slice.standby_);
      const auto load = details.SliceLoad(service, slice.begin_);
      list.push_back(
        { { "group", table.group_ },
          { "begin", detail::FormatHash(slice.begin_) },
          { "end", detail::FormatHash(table.SliceEnd(i)) },
          { "epoch", slice.epoch_ },
          { "owner", owner ? owner->id_ : "" },
          { "standby", standby ? standby->id_ : "" },
          { "load", load ? nlohmann::json(*load) : nlohmann::json(nullptr) } });
    }
  }
  return JsonResponse(200,
                      { { "service", service },
                        { "total", count },
                        { "offset", offset },
                        { "slices", std::move(list) } });
}

ApiResponse FleetApi::ShowMoves(ApiRequest& aRequest)
{
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto service = query.Text("service", false);
  query.RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  if (!service.empty() && Tables(service).empty()) {
    return detail::ServiceNotFoundResponse(service);
  }
  const FleetDetails details(fleet_.FetchStatuses());
  auto moves = moves_.Moves(service, unixClock_() - detail::kMoveHistoryMs);
  const auto total = moves.size();
  moves.resize(std::min<size_t>(total, detail::kMaxListEntries));
  auto list = nlohmann::json::array();
  for (const auto& move : moves) {
    list.push_back(detail::ToJson(move, details));
  }
  return JsonResponse(200,
                      { { "total", total }, { "moves", std::move(list) } });
}

ApiResponse FleetApi::ShowMeasures(ApiRequest& aRequest)
{
  QueryReader query(aRequest.query_, aRequest.findings_);
  const auto service = query.Text("service", false);
  query.RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  const auto tables = Tables(service);
  if (tables.empty() && !service.empty()) {
    return detail::ServiceNotFoundResponse(service);
  }
  std::map<std::string, std::vector<std::string>> servers;
  for (const auto& followed : tables) {
    auto& ids = servers[followed->table_.service_];
    std::ranges::transform(followed->table_.servers_,
                           std::back_inserter(ids),
                           &BackendServerRecord::id_);
  }
  const auto nowMs = unixClock_();
  const FleetDetails details(fleet_.FetchStatuses());
  constexpr int64_t kMinutes = 60;
  const auto samples =
    fleet_.FetchSloSamples(nowMs / detail::kMsPerMinute - kMinutes);
  auto result = nlohmann::json::object();
  for (const auto& [name, ids] : servers) {
    result[name] = ToJson(
      ComputeServiceStatistics(name, ids, samples, moves_, details, nowMs));
  }
  return JsonResponse(
    200, { { "routers", samples.size() }, { "services", std::move(result) } });
}

ApiResponse FleetApi::ListQuarantine(ApiRequest& aRequest)
{
  QueryReader(aRequest.query_, aRequest.findings_).RefuseUnknown();
  if (!aRequest.findings_.IsEmpty()) {
    return FindingsResponse(400, aRequest.findings_);
  }
  const auto responses = fleet_.ListQuarantine();
  return JsonResponse(200,
                      { { "entries", detail::MergeQuarantine(responses) },
                        { "unanswered", detail::FailedCalls(responses) } });
}

ApiResponse FleetApi::ReleaseQuarantine(ApiRequest& aRequest)
{
  constexpr size_t kMaxReleaseBytes = 4096;
  auto& findings = aRequest.findings_;
  QueryReader(aRequest.query_, findings).RefuseUnknown();
  const auto parsed =
    ParseJson(aRequest.body_, kMaxReleaseBytes, "release", findings);
  if (!parsed) {
    return FindingsResponse(400, findings);
  }
  JsonReader reader(*parsed, "release", findings);
  const auto text = reader.Text("fingerprint", {});
  const auto author = reader.Text("author", {});
  const auto reason = reader.Text("reason", { kMaxReasonBytes });
  reader.RefuseUnknown();
  const auto fingerprint = detail::ParseHash(text);
  if (!fingerprint && !text.empty()) {
    findings.Add(
      "release", "fingerprint", text, "expected at most 16 hexadecimal digits");
  }
  if (!findings.IsEmpty()) {
    return FindingsResponse(400, findings);
  }
  const auto number = static_cast<int64_t>(*fingerprint);
  const auto listed = fleet_.ListQuarantine();
  const bool isKnown =
    std::ranges::any_of(listed, [&](const QuarantineResponse& aResponse) {
      return std::ranges::any_of(aResponse.entries_, [&](const auto& aEntry) {
        return aEntry.fingerprint == number;
      });
    });
  if (!isKnown) {
    findings.Add("release",
                 "fingerprint",
                 text,
                 "no router has this fingerprint in quarantine");
    return FindingsResponse(404, findings);
  }
  const auto responses = fleet_.ReleaseQuarantine(number);
  Log(LogLevel::Info,
      "quarantined request released",
      { { "fingerprint", text }, { "author", author }, { "reason", reason } });
  const auto failed = detail::FailedCalls(responses);
  return JsonResponse(200,
                      { { "fingerprint", detail::FormatHash(*fingerprint) },
                        { "released", responses.size() - failed.size() },
                        { "unanswered", failed } });
}

}
