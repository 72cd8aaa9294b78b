#pragma once

#include "LoadOptions.hpp"
#include "LoadSchedule.hpp"
#include "common/EnumNames.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// How one send ended, as the caller sees it.
enum class LoadOutcome : uint8_t
{
  Complete,
  NotRun,
  Unknown,
  ConnectionLost, ///< the connection ended without an answer
  TimedOut,       ///< no answer by the deadline plus 100 ms
  Truncated,      ///< the connection ended within the body
  Mismatched,     ///< the answer belongs to another request
  Unreachable,    ///< no entry instance accepts connections
  Count
};

template<>
struct EnumNames<LoadOutcome>
{
  static constexpr std::string_view kNames[] = {
    "complete",   "not-run",   "unknown",    "lost",
    "unanswered", "truncated", "mismatched", "unreachable",
  };
};

/// One send and its end.
struct LoadResult
{
  ScheduledRequest request_;
  int64_t sentUs_ = 0;
  int64_t doneUs_ = 0;
  LoadOutcome outcome_ = LoadOutcome::Unreachable;
  int status_ = 0;
  std::string reason_; ///< of a not-run answer
  std::string server_; ///< that ran it, where the answer says so
  bool isFinal_ = true;
  TimeMs retryAfterMs_ = 0;
  bool hasRetryAfter_ = false;
};

/// Counts of one worker; merged at the end.
class LoadReport
{
public:
  explicit LoadReport(const LoadOptions& aOptions, int64_t aStartUs);

  void AddResult(const LoadResult& aResult);
  void Merge(const LoadReport& aOther);

  int64_t Count(LoadOutcome aOutcome) const
  {
    return attemptOutcomes_[static_cast<size_t>(aOutcome)];
  }
  int64_t Requests() const { return requests_; }
  /// Complete requests whose latency is within the deadline.
  int64_t GoodRequests() const { return goodRequests_; }
  double GoodputPerSecond() const;
  /// aQuantile from 0 to 1; milliseconds from the intended send time.
  double LatencyMs(double aQuantile) const;
  /// Longest time for which a key that was asked for had no complete answer.
  double LongestGapMs() const;
  /// Sum over the keys of the times without a complete answer, in seconds.
  double UnavailableKeySeconds() const;
  /// Requests by the server that ran them.
  const std::map<std::string, int64_t>& Servers() const { return servers_; }
  nlohmann::json ToJson() const;

private:
  /// Service and key by their numbers.
  using KeyId = std::pair<size_t, size_t>;
  struct KeyTimes
  {
    std::vector<int64_t> failedUs_;
    std::vector<int64_t> completeUs_;
  };
  struct Gaps
  {
    int64_t longestUs_ = 0;
    int64_t sumUs_ = 0;
  };

  Gaps FindGaps() const;

  LoadOptions options_;
  int64_t startUs_;
  int64_t requests_ = 0;
  int64_t goodRequests_ = 0;
  int64_t deadlineMissed_ = 0;
  int64_t notRunWithoutRetryAfter_ = 0;
  std::array<int64_t, static_cast<size_t>(LoadOutcome::Count)>
    attemptOutcomes_{};
  std::array<int64_t, static_cast<size_t>(LoadOutcome::Count)> finalOutcomes_{};
  std::map<std::string, int64_t> reasons_;
  std::map<std::string, int64_t> servers_;
  std::vector<int64_t> goodBySecond_;
  mutable std::vector<uint32_t> latenciesUs_;
  std::map<KeyId, KeyTimes> keys_;
  int64_t lastDoneUs_ = 0;
};

}
