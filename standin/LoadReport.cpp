#include "LoadReport.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace detail {

constexpr int64_t kReportUsPerMs = 1000;
constexpr int64_t kReportUsPerSecond = 1000000;

template<typename Counts>
nlohmann::json CountsToJson(const Counts& aCounts)
{
  auto document = nlohmann::json::object();
  for (size_t index = 0; index < aCounts.size(); ++index) {
    const auto name = EnumName(static_cast<LoadOutcome>(index));
    document[std::string(name)] = aCounts[index];
  }
  return document;
}

template<typename Target, typename Source>
void AddCounts(Target& aTarget, const Source& aSource)
{
  for (const auto& [name, count] : aSource) {
    aTarget[name] += count;
  }
}

template<typename Target>
void Append(Target& aTarget, const Target& aSource)
{
  aTarget.insert(aTarget.end(), aSource.begin(), aSource.end());
}

}

LoadReport::LoadReport(const LoadOptions& aOptions, int64_t aStartUs)
  : options_(aOptions)
  , startUs_(aStartUs)
{
}

void LoadReport::Add(const LoadResult& aResult)
{
  const auto outcome = static_cast<size_t>(aResult.outcome_);
  const bool isComplete = aResult.outcome_ == LoadOutcome::Complete;
  ++sends_[outcome];
  lastUs_ = std::max(lastUs_, aResult.doneUs_);
  auto& times = keys_[{ aResult.job_.service_, aResult.job_.key_ }];
  if (isComplete) {
    times.completeUs_.push_back(aResult.doneUs_);
  } else {
    times.failedUs_.push_back(aResult.job_.dueUs_);
  }
  if (!aResult.reason_.empty()) {
    ++reasons_[aResult.reason_];
  }
  if (aResult.outcome_ == LoadOutcome::NotRun && !aResult.hasRetryAfter_) {
    ++withoutRetryTime_;
  }
  if (!aResult.isFinal_) {
    return;
  }
  ++requests_;
  ++finals_[outcome];
  const int64_t latencyUs = aResult.doneUs_ - aResult.job_.intendedUs_;
  const bool isLate = latencyUs > options_.deadlineMs_ * detail::kReportUsPerMs;
  deadlineMissed_ += isLate ? 1 : 0;
  if (!isComplete) {
    return;
  }
  ++servers_[aResult.server_];
  latenciesUs_.push_back(static_cast<uint32_t>(latencyUs));
  if (!isLate) {
    ++good_;
    const auto second =
      static_cast<size_t>(std::max<int64_t>(0, aResult.doneUs_ - startUs_) /
                          detail::kReportUsPerSecond);
    goodBySecond_.resize(std::max(goodBySecond_.size(), second + 1));
    ++goodBySecond_[second];
  }
}

void LoadReport::Merge(const LoadReport& aOther)
{
  requests_ += aOther.requests_;
  good_ += aOther.good_;
  deadlineMissed_ += aOther.deadlineMissed_;
  withoutRetryTime_ += aOther.withoutRetryTime_;
  lastUs_ = std::max(lastUs_, aOther.lastUs_);
  std::ranges::transform(
    sends_, aOther.sends_, sends_.begin(), std::plus<int64_t>());
  std::ranges::transform(
    finals_, aOther.finals_, finals_.begin(), std::plus<int64_t>());
  detail::AddCounts(reasons_, aOther.reasons_);
  detail::AddCounts(servers_, aOther.servers_);
  goodBySecond_.resize(
    std::max(goodBySecond_.size(), aOther.goodBySecond_.size()));
  std::ranges::transform(aOther.goodBySecond_,
                         goodBySecond_,
                         goodBySecond_.begin(),
                         std::plus<int64_t>());
  detail::Append(latenciesUs_, aOther.latenciesUs_);
  for (const auto& [id, times] : aOther.keys_) {
    detail::Append(keys_[id].failedUs_, times.failedUs_);
    detail::Append(keys_[id].completeUs_, times.completeUs_);
  }
}

double LoadReport::GoodputPerSecond() const
{
  const auto skip = std::min<size_t>(
    static_cast<size_t>(options_.warmupMs_ / detail::kReportUsPerMs),
    goodBySecond_.size());
  const auto end = std::min<size_t>(
    static_cast<size_t>(options_.durationMs_ / detail::kReportUsPerMs),
    goodBySecond_.size());
  if (end <= skip) {
    return 0;
  }
  int64_t sum = 0;
  for (size_t second = skip; second < end; ++second) {
    sum += goodBySecond_[second];
  }
  return static_cast<double>(sum) / static_cast<double>(end - skip);
}

double LoadReport::LatencyMs(double aShare) const
{
  if (latenciesUs_.empty()) {
    return 0;
  }
  const auto rank = std::min(
    latenciesUs_.size() - 1,
    static_cast<size_t>(aShare * static_cast<double>(latenciesUs_.size())));
  const auto nth = latenciesUs_.begin() + static_cast<ptrdiff_t>(rank);
  std::nth_element(latenciesUs_.begin(), nth, latenciesUs_.end());
  return *nth / static_cast<double>(detail::kReportUsPerMs);
}

/// A gap begins with a failed send and ends with the next complete answer of
/// the key; overlapping gaps count once.
LoadReport::Gaps LoadReport::FindGaps() const
{
  Gaps gaps;
  for (const auto& [id, times] : keys_) {
    auto failed = times.failedUs_;
    auto complete = times.completeUs_;
    std::ranges::sort(failed);
    std::ranges::sort(complete);
    int64_t coveredUntil = 0;
    for (const int64_t begin : failed) {
      if (begin < coveredUntil) {
        continue;
      }
      const auto next = std::ranges::upper_bound(complete, begin);
      coveredUntil = next == complete.end() ? lastUs_ : *next;
      const int64_t length = std::max<int64_t>(0, coveredUntil - begin);
      gaps.longestUs_ = std::max(gaps.longestUs_, length);
      gaps.sumUs_ += length;
    }
  }
  return gaps;
}

double LoadReport::LongestGapMs() const
{
  return static_cast<double>(FindGaps().longestUs_) / detail::kReportUsPerMs;
}

double LoadReport::UnavailableKeySeconds() const
{
  return static_cast<double>(FindGaps().sumUs_) / detail::kReportUsPerSecond;
}

nlohmann::json LoadReport::ToJson() const
{
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  const auto gaps = FindGaps();
  return {
    { "requests", requests_ },
    { "outcomes", detail::CountsToJson(finals_) },
    { "sends", detail::CountsToJson(sends_) },
    { "notRunReasons", reasons_ },
    { "notRunWithoutRetryTime", withoutRetryTime_ },
    { "deadlineMissed", deadlineMissed_ },
    { "good", good_ },
    { "goodputPerSecond", GoodputPerSecond() },
    { "goodBySecond", goodBySecond_ },
    { "p50Ms", LatencyMs(kMedian) },
    { "p99Ms", LatencyMs(kTail) },
    { "maxMs", LatencyMs(1.0) },
    { "longestGapMs",
      static_cast<double>(gaps.longestUs_) / detail::kReportUsPerMs },
    { "unavailableKeySeconds",
      static_cast<double>(gaps.sumUs_) / detail::kReportUsPerSecond },
    { "servers", servers_ },
  };
}

}
