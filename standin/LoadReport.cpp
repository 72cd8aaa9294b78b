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

void LoadReport::AddResult(const LoadResult& aResult)
{
  const auto outcome = static_cast<size_t>(aResult.outcome_);
  const bool isComplete = aResult.outcome_ == LoadOutcome::Complete;
  ++attemptOutcomes_[outcome];
  lastDoneUs_ = std::max(lastDoneUs_, aResult.doneUs_);
  auto& times = keys_[{ aResult.request_.service_, aResult.request_.key_ }];
  if (isComplete) {
    times.completeUs_.push_back(aResult.doneUs_);
  } else {
    times.failedUs_.push_back(aResult.request_.dueUs_);
  }
  if (!aResult.reason_.empty()) {
    ++reasons_[aResult.reason_];
  }
  if (aResult.outcome_ == LoadOutcome::NotRun && !aResult.hasRetryAfter_) {
    ++notRunWithoutRetryAfter_;
  }
  if (!aResult.isFinal_) {
    return;
  }
  ++requests_;
  ++finalOutcomes_[outcome];
  const int64_t latencyUs = aResult.doneUs_ - aResult.request_.intendedUs_;
  const bool isLate = latencyUs > options_.deadlineMs_ * detail::kReportUsPerMs;
  deadlineMissed_ += isLate ? 1 : 0;
  if (!isComplete) {
    return;
  }
  ++servers_[aResult.server_];
  latenciesUs_.push_back(static_cast<uint32_t>(latencyUs));
  if (!isLate) {
    ++goodRequests_;
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
  goodRequests_ += aOther.goodRequests_;
  deadlineMissed_ += aOther.deadlineMissed_;
  notRunWithoutRetryAfter_ += aOther.notRunWithoutRetryAfter_;
  lastDoneUs_ = std::max(lastDoneUs_, aOther.lastDoneUs_);
  std::ranges::transform(attemptOutcomes_,
                         aOther.attemptOutcomes_,
                         attemptOutcomes_.begin(),
                         std::plus<int64_t>());
  std::ranges::transform(finalOutcomes_,
                         aOther.finalOutcomes_,
                         finalOutcomes_.begin(),
                         std::plus<int64_t>());
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

double LoadReport::LatencyMs(double aQuantile) const
{
  if (latenciesUs_.empty()) {
    return 0;
  }
  const auto rank = std::min(
    latenciesUs_.size() - 1,
    static_cast<size_t>(aQuantile * static_cast<double>(latenciesUs_.size())));
  const auto nth = latenciesUs_.begin() + static_cast<ptrdiff_t>(rank);
  std::nth_element(latenciesUs_.begin(), nth, latenciesUs_.end());
  return *nth / static_cast<double>(detail::kReportUsPerMs);
}

/// A gap begins when an attempt that fails was due, and ends with the next
/// complete response for the key. Failures within a gap start no new gap.
LoadReport::Gaps LoadReport::FindGaps() const
{
  Gaps gaps;
  for (const auto& [id, times] : keys_) {
    auto failed = times.failedUs_;
    auto complete = times.completeUs_;
    std::ranges::sort(failed);
    std::ranges::sort(complete);
    int64_t gapEnd = 0;
    for (const int64_t begin : failed) {
      if (begin < gapEnd) {
        continue;
      }
      const auto next = std::ranges::upper_bound(complete, begin);
      gapEnd = next == complete.end() ? lastDoneUs_ : *next;
      const int64_t length = std::max<int64_t>(0, gapEnd - begin);
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
  constexpr double kMedianQuantile = 0.5;
  constexpr double kTailQuantile = 0.99;
  const auto gaps = FindGaps();
  return {
    { "requests", requests_ },
    { "outcomes", detail::CountsToJson(finalOutcomes_) },
    { "sends", detail::CountsToJson(attemptOutcomes_) },
    { "notRunReasons", reasons_ },
    { "notRunWithoutRetryTime", notRunWithoutRetryAfter_ },
    { "deadlineMissed", deadlineMissed_ },
    { "good", goodRequests_ },
    { "goodputPerSecond", GoodputPerSecond() },
    { "goodBySecond", goodBySecond_ },
    { "p50Ms", LatencyMs(kMedianQuantile) },
    { "p99Ms", LatencyMs(kTailQuantile) },
    { "maxMs", LatencyMs(1.0) },
    { "longestGapMs",
      static_cast<double>(gaps.longestUs_) / detail::kReportUsPerMs },
    { "unavailableKeySeconds",
      static_cast<double>(gaps.sumUs_) / detail::kReportUsPerSecond },
    { "servers", servers_ },
  };
}

}
