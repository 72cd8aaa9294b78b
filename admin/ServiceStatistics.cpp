#include "ServiceStatistics.hpp"

#include "common/Log.hpp"

#include <algorithm>
#include <numeric>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr int64_t kMsPerMinute = 60000;
constexpr int64_t kMsPerHour = 3600000;
constexpr int64_t kImbalanceMinutes = 5;
constexpr double kSecondsPerMinute = 60;
constexpr double kPercent = 100;

/// Failure causes which mean that no backend server was serving the key.
constexpr std::string_view kUnservedCauses[] = {
  "no-owner",    "not-owner",  "stale-epoch", "lease-expired",
  "unreachable", "view-lease", "draining",
};

bool IsUnserved(const std::string& aCause)
{
  return std::ranges::find(kUnservedCauses, aCause) !=
         std::end(kUnservedCauses);
}

/// Parses a hash written as an integer or as hexadecimal text. Returns nothing
/// when it is malformed.
std::optional<KeyHash> ParseHash(const nlohmann::json& aValue)
{
  if (aValue.is_number_unsigned() || aValue.is_number_integer()) {
    return aValue.get<KeyHash>();
  }
  if (!aValue.is_string()) {
    return std::nullopt;
  }
  constexpr int kHex = 16;
  std::string_view text = aValue.get_ref<const std::string&>();
  text.remove_prefix(text.starts_with("0x") ? 2 : 0);
  KeyHash hash = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), hash, kHex);
  return error == std::errc() && end == text.data() + text.size()
           ? std::optional(hash)
           : std::nullopt;
}

std::optional<KeyHash> ParseBeginHash(const nlohmann::json& aValue)
{
  const auto found = aValue.find("begin");
  return found == aValue.end() ? std::nullopt : ParseHash(*found);
}

double ComputeChurnPercent(const std::vector<OwnerMove>& aMoves,
                           const FleetDetails& aDetails,
                           double aServiceLoad,
                           int64_t aFromMs,
                           int64_t aEndMs)
{
  double share = 0;
  for (const auto& move : aMoves) {
    if (move.timeMs_ < aFromMs || move.timeMs_ >= aEndMs) {
      continue;
    }
    const auto load = aDetails.SliceLoad(move.service_, move.begin_);
    share +=
      aServiceLoad > 0 ? load.value_or(0) / aServiceLoad : move.HashShare();
  }
  return share * kPercent;
}

void ComputeChurn(const std::string& aService,
                  const MoveLog& aMoves,
                  const FleetDetails& aDetails,
                  int64_t aNowMs,
                  ServiceStatistics& aResult)
{
  auto moves = aMoves.Moves(aService, aNowMs - kMsPerHour);
  // The loss of an owner isn't counted, since the assignment of the next owner,
  // such as the promotion of the standby, is a move of the same slice.
  std::erase_if(moves,
                [](const OwnerMove& aMove) { return aMove.to_.empty(); });
  const double load = aDetails.ServiceLoad(aService);
  aResult.isChurnByLoad_ = load > 0;
  for (auto end = aNowMs; end > aNowMs - kMsPerHour; end -= kMsPerMinute) {
    const auto churn =
      ComputeChurnPercent(moves, aDetails, load, end - kMsPerMinute, end);
    if (end == aNowMs) {
      aResult.churnLastMinutePercent_ = churn;
    }
    aResult.churnPeakPercent_ = std::max(aResult.churnPeakPercent_, churn);
  }
}

void ComputeImbalance(const SloCells& aCells,
                      const std::string& aService,
                      const std::vector<std::string>& aServers,
                      ServiceStatistics& aResult)
{
  for (const auto& server : aServers) {
    aResult.requestsByServer_[server] = 0;
  }
  for (const auto& [key, requests] : aCells) {
    const auto found = aResult.requestsByServer_.find(key.server_);
    if (key.service_ == aService && found != aResult.requestsByServer_.end()) {
      found->second += requests;
    }
  }
  int64_t sum = 0;
  int64_t peak = 0;
  for (const auto& [server, requests] : aResult.requestsByServer_) {
    sum += requests;
    peak = std::max(peak, requests);
  }
  aResult.imbalance_ =
    sum == 0 ? 0
             : static_cast<double>(peak) *
                 static_cast<double>(aResult.requestsByServer_.size()) /
                 static_cast<double>(sum);
}

void ComputeUnavailability(const std::map<int64_t, SloCells>& aMinutes,
                           const std::string& aService,
                           ServiceStatistics& aResult)
{
  for (const auto& [minute, cells] : aMinutes) {
    int64_t requests = 0;
    int64_t unserved = 0;
    for (const auto& [key, count] : cells) {
      if (key.service_ == aService) {
        requests += count;
        unserved += IsUnserved(key.cause_) ? count : 0;
      }
    }
    aResult.requests_ += requests;
    aResult.unservedRequests_ += unserved;
    if (requests > 0) {
      aResult.unavailableSeconds_ += kSecondsPerMinute *
                                     static_cast<double>(unserved) /
                                     static_cast<double>(requests);
    }
  }
}

}

FleetDetails::FleetDetails(const std::vector<PeerStatus>& aStatuses)
{
  for (const auto& status : aStatuses) {
    const auto details =
      nlohmann::json::parse(status.status_.json, nullptr, false);
    if (!details.is_object() || !details.contains("groups")) {
      continue;
    }
    try {
      for (const auto& group : details["groups"]) {
        AddGroup(group);
      }
    } catch (const nlohmann::json::exception& failure) {
      Log(LogLevel::Warning,
          "process status has malformed details",
          { { "instance", status.instance_ }, { "reason", failure.what() } });
    }
  }
}

void FleetDetails::AddGroup(const nlohmann::json& aGroup)
{
  const auto service = aGroup.value("service", std::string());
  const auto none = nlohmann::json::array();
  for (const auto& slice : aGroup.value("slices", none)) {
    const auto begin = detail::ParseBeginHash(slice);
    const auto load = slice.find("load");
    if (begin && load != slice.end() && load->is_number()) {
      loads_[{ service, *begin }] = load->get<double>();
    }
  }
  for (const auto& move : aGroup.value("moves", none)) {
    const auto begin = detail::ParseBeginHash(move);
    if (begin) {
      reasons_[{ { service, *begin }, move.value("epoch", Epoch{ 0 }) }] =
        move.value("reason", std::string());
    }
  }
}

std::optional<double> FleetDetails::SliceLoad(const std::string& aService,
                                              KeyHash aBegin) const
{
  const auto found = loads_.find({ aService, aBegin });
  return found == loads_.end() ? std::nullopt : std::optional(found->second);
}

double FleetDetails::ServiceLoad(const std::string& aService) const
{
  return std::accumulate(
    loads_.lower_bound({ aService, 0 }),
    loads_.upper_bound({ aService, UINT64_MAX }),
    0.0,
    [](double aSum, const auto& aEntry) { return aSum + aEntry.second; });
}

std::string FleetDetails::MoveReason(const std::string& aService,
                                     KeyHash aBegin,
                                     Epoch aEpoch) const
{
  const auto found = reasons_.find({ { aService, aBegin }, aEpoch });
  return found == reasons_.end() ? std::string() : found->second;
}

ServiceStatistics ComputeServiceStatistics(
  const std::string& aService,
  const std::vector<std::string>& aServers,
  const std::vector<SloSample>& aSamples,
  const MoveLog& aMoves,
  const FleetDetails& aDetails,
  int64_t aNowMs)
{
  const auto nowMinute = aNowMs / detail::kMsPerMinute;
  std::map<int64_t, SloCells> minutes;
  SloCells recent;
  for (const auto& sample : aSamples) {
    for (const auto& [minute, cells] : sample.minutes_) {
      AddCells(minutes[minute], cells);
      if (minute < nowMinute &&
          minute >= nowMinute - detail::kImbalanceMinutes) {
        AddCells(recent, cells);
      }
    }
  }
  ServiceStatistics result;
  detail::ComputeImbalance(recent, aService, aServers, result);
  detail::ComputeUnavailability(minutes, aService, result);
  detail::ComputeChurn(aService, aMoves, aDetails, aNowMs, result);
  result.longestGapMs_ =
    aMoves.LongestGapMs(aService, aNowMs - detail::kMsPerHour, aNowMs);
  return result;
}

nlohmann::json ToJson(const ServiceStatistics& aStatistics)
{
  return { { "imbalance", aStatistics.imbalance_ },
           { "requestsByServer", aStatistics.requestsByServer_ },
           { "churnLastMinutePercent", aStatistics.churnLastMinutePercent_ },
           { "churnPeakPercent", aStatistics.churnPeakPercent_ },
           { "churnWeightedBy",
             aStatistics.isChurnByLoad_ ? "load" : "hash share" },
           { "requests", aStatistics.requests_ },
           { "unservedRequests", aStatistics.unservedRequests_ },
           { "unavailableSeconds", aStatistics.unavailableSeconds_ },
           { "longestGapMs", aStatistics.longestGapMs_ } };
}

}
