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

/// Outcome of one attempt, as the client sees it.
enum class LoadOutcome : uint8_t
{
  Complete,
  NotRun,
  Unknown,
  ConnectionLost, ///< the connection closed without a response
  TimedOut,       ///< no response by the deadline plus 100 ms
  Truncated,      ///< the connection closed within the body
  Mismatched,     ///< the response belongs to another request
  Unreachable,    ///< no entry instance accepted a connection
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

/// Result of one attempt.
struct LoadResult
{
  ScheduledRequest request_;
  int64_t sentUs_ = 0;
  int64_t doneUs_ = 0;
  LoadOutcome outcome_ = LoadOutcome::Unreachable;
  int status_ = 0;
  std::string reason_;  ///< X-Not-Run of a not-run response
  std::string server_;  ///< server named in the body; may be empty
  bool isFinal_ = true; ///< false: another attempt follows
  TimeMs retryAfterMs_ = 0;
  bool hasRetryAfter_ = false;
};

/// Statistics of one worker, or of all workers after Merge().
class LoadReport
{
public:
  explicit LoadReport(const LoadOptions& aOptions, int64_t aStartUs);

  void AddResult(const LoadResult& aResult);
  void Merge(const LoadReport& aOther);

  /// Number of attempts with the outcome.
  int64_t Count(LoadOutcome aOutcome) const
  {
    return attemptOutcomes_[static_cast<size_t>(aOutcome)];
  }
  /// Number of requests, whatever their number of attempts.
  int64_t Requests() const { return requests_; }
  /// Number of requests completed within the deadline.
  int64_t GoodRequests() const { return goodRequests_; }
  /// Mean rate of good requests, without the warm-up.
  double GoodputPerSecond() const;
  /// Quantile, from 0 to 1, of the latency of complete requests, counted from
  /// the intended send time; 0 when there are none.
  double LatencyMs(double aQuantile) const;
  /// Longest time from a failed attempt for a key to the next complete response
  /// for that key.
  double LongestGapMs() const;
  /// Sum of these times over all gaps of all keys, in seconds.
  double UnavailableKeySeconds() const;
  /// Number of complete requests by the server that ran them.
  const std::map<std::string, int64_t>& Servers() const { return servers_; }
  nlohmann::json ToJson() const;

private:
  /// Index of the service and index of the key.
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
