#include "policy/Placement.hpp"

#include <algorithm>
#include <limits>

namespace cactuspitch {

namespace detail {

double CrossDomainCostMs(const PlacementOptions& aOptions,
                         const PlacementRequest& aRequest)
{
  constexpr double kBytesPerKb = 1024;
  const double maxMs =
    static_cast<double>(aRequest.objectiveMs_) * aOptions.crossDomainMaxShare_;
  const double ms = static_cast<double>(aRequest.bytes_) / kBytesPerKb *
                    aOptions.crossDomainMsPerKb_;
  return std::max(aOptions.crossDomainMs_, std::min(ms, maxMs));
}

double Score(const PlacementOptions& aOptions,
             const PlacementRequest& aRequest,
             const PlacementCandidate& aCandidate)
{
  const double objectiveMs = static_cast<double>(aRequest.objectiveMs_);
  const bool isNear =
    aCandidate.sameDomain_ &&
    aCandidate.expectedMs_ <= objectiveMs * aOptions.sameDomainShare_;
  return aCandidate.expectedMs_ *
           (1 + aOptions.failurePenalty_ * aCandidate.failureShare_ +
            (aCandidate.preferred_ ? 0 : aOptions.nonPreferredPenalty_)) +
         (isNear ? 0 : CrossDomainCostMs(aOptions, aRequest));
}

}

TimeMs RetryAfterMs(const PlacementOptions& aOptions,
                    TimeMs aRemainingMs,
                    double aWantedMs)
{
  const double maxMs =
    static_cast<double>(aRemainingMs) * aOptions.maxRetryAfterShare_;
  return static_cast<TimeMs>(std::max(
    0.0,
    std::min(
      maxMs,
      std::max(aWantedMs, static_cast<double>(aOptions.minRetryAfterMs_)))));
}

PlacementDecision Place(const PlacementOptions& aOptions,
                        const PlacementRequest& aRequest,
                        std::span<const PlacementCandidate> aCandidates)
{
  const double objectiveMs = static_cast<double>(aRequest.objectiveMs_);
  const double remainingMs = static_cast<double>(aRequest.remainingMs_);
  const double limitMs =
    std::min(remainingMs, objectiveMs * aOptions.objectiveShare_);
  double bestScore = std::numeric_limits<double>::max();
  double minExpectedMs = std::numeric_limits<double>::max();
  PlacementDecision decision;
  for (size_t index = 0; index < aCandidates.size(); ++index) {
    const auto& candidate = aCandidates[index];
    if (candidate.down_ || candidate.tried_) {
      continue;
    }
    minExpectedMs = std::min(minExpectedMs, candidate.expectedMs_);
    // A server whose service time alone exceeds the objective is still used as
    // long as it doesn't queue.
    const bool queues = candidate.expectedMs_ > candidate.serviceTimeMs_ * 1.01;
    if (candidate.full_ || (queues && candidate.expectedMs_ > limitMs) ||
        candidate.serviceTimeMs_ > remainingMs) {
      continue;
    }
    const double score = detail::Score(aOptions, aRequest, candidate);
    if (score < bestScore) {
      bestScore = score;
      decision.index_ = index;
      decision.verdict_ = PlacementVerdict::Send;
    }
  }
  if (decision.verdict_ == PlacementVerdict::Send) {
    return decision;
  }
  const double maxWaitMs = objectiveMs * aOptions.maxWaitShare_;
  if (static_cast<double>(aRequest.waitedMs_) < maxWaitMs &&
      minExpectedMs < remainingMs) {
    decision.verdict_ = PlacementVerdict::Wait;
    return decision;
  }
  decision.verdict_ = PlacementVerdict::Refuse;
  const double wantedMs = minExpectedMs == std::numeric_limits<double>::max()
                            ? remainingMs
                            : minExpectedMs - limitMs;
  decision.retryAfterMs_ =
    RetryAfterMs(aOptions, aRequest.remainingMs_, wantedMs);
  return decision;
}

}
