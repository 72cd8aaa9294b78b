#include "gateway/SlotCodec.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxListedServers = 64;
/// Servers of a list that are sent, so that a dozen requests fit into a packet.
constexpr size_t kMaxSentServers = 16;
constexpr int32_t kMaxTimeMs = 3600000;
constexpr int32_t kMaxLoad = 1000000;
constexpr int32_t kMaxSlownessPercent = 1000000;
constexpr int32_t kNoLoad = -1;
constexpr double kPercent = 100;
constexpr double kThousandths = 1000;

bool IsIn(int64_t aValue, int64_t aMin, int64_t aMax)
{
  return aValue >= aMin && aValue <= aMax;
}

bool IsTime(int64_t aMs)
{
  return IsIn(aMs, 0, kMaxTimeMs);
}

template<typename E>
bool IsValueOf(int32_t aValue)
{
  return IsIn(aValue, 0, static_cast<int64_t>(E::Count) - 1);
}

int32_t ClampTime(TimeMs aMs, TimeMs aMinMs = 0)
{
  return static_cast<int32_t>(std::clamp<TimeMs>(aMs, aMinMs, kMaxTimeMs));
}

int32_t ToHash(uint32_t aHash)
{
  return static_cast<int32_t>(aHash);
}

uint32_t FromHash(int32_t aHash)
{
  return static_cast<uint32_t>(aHash);
}

int32_t ToScaled(double aValue, double aScale)
{
  const double scaled = aValue * aScale;
  return std::isfinite(scaled) ? static_cast<int32_t>(std::lround(
                                   std::clamp<double>(scaled, 0, INT32_MAX)))
                               : 0;
}

std::vector<int32_t> ToHashes(const std::vector<uint32_t>& aHashes)
{
  const auto count = std::min(aHashes.size(), kMaxSentServers);
  return { aHashes.begin(), aHashes.begin() + static_cast<ptrdiff_t>(count) };
}

}

wire::SlotRequest SlotCodec::ToWire(const SlotRequest& aRequest)
{
  wire::SlotRequest request;
  request.number = aRequest.number_;
  request.serviceHash = detail::ToHash(aRequest.service_);
  request.domain = detail::ToHash(aRequest.domain_);
  request.route = detail::ToHash(aRequest.route_);
  request.server = detail::ToHash(aRequest.server_);
  request.rank = std::clamp(aRequest.rank_, 0, kMaxRank);
  request.objectiveMs = detail::ClampTime(aRequest.objectiveMs_);
  request.objectiveLeftMs =
    detail::ClampTime(aRequest.objectiveLeftMs_, -detail::kMaxTimeMs);
  request.remainingMs = detail::ClampTime(aRequest.remainingMs_);
  request.bytes =
    static_cast<int32_t>(std::min<uint32_t>(aRequest.bytes_, INT32_MAX));
  request.crossing = aRequest.crossing_;
  request.returned = aRequest.returned_;
  request.refusedBy = detail::ToHash(aRequest.refusedBy_);
  request.avoided = detail::ToHashes(aRequest.avoided_);
  request.connected = detail::ToHashes(aRequest.connected_);
  return request;
}

wire::SlotAnswer SlotCodec::ToWire(const SlotAnswer& aAnswer)
{
  wire::SlotAnswer answer;
  answer.number = aAnswer.number_;
  answer.verdict = static_cast<int32_t>(aAnswer.verdict_);
  answer.cause = static_cast<int32_t>(aAnswer.cause_);
  answer.server = detail::ToHash(aAnswer.server_);
  answer.domain = detail::ToHash(aAnswer.domain_);
  answer.retryAfterMs = detail::ClampTime(aAnswer.retryAfterMs_);
  return answer;
}

wire::SlotEnd SlotCodec::ToWire(const SlotEnd& aEnd)
{
  wire::SlotEnd end;
  end.number = aEnd.number_;
  end.serviceHash = detail::ToHash(aEnd.service_);
  end.server = detail::ToHash(aEnd.server_);
  end.outcome = static_cast<int32_t>(aEnd.outcome_);
  end.latencyMs = detail::ClampTime(aEnd.latencyMs_);
  end.running = detail::kNoLoad;
  if (aEnd.load_) {
    end.running = std::clamp(aEnd.load_->running_, 0, detail::kMaxLoad);
    end.waiting = std::clamp(aEnd.load_->waiting_, 0, detail::kMaxLoad);
    end.slownessPercent =
      std::clamp(detail::ToScaled(aEnd.load_->slowness_, detail::kPercent),
                 1,
                 detail::kMaxSlownessPercent);
  }
  return end;
}

wire::SlotSummary SlotCodec::ToWire(const SlotSummary& aSummary)
{
  wire::SlotSummary summary;
  summary.serviceHash = detail::ToHash(aSummary.service_);
  summary.domain = detail::ToHash(aSummary.domain_);
  summary.freeSlots =
    detail::ToScaled(aSummary.freeSlots_, detail::kThousandths);
  summary.utilization =
    detail::ToScaled(aSummary.utilization_, detail::kThousandths);
  summary.waitMs = detail::ClampTime(aSummary.waitMs_);
  return summary;
}

std::optional<SlotRequest> SlotCodec::FromWire(
  const wire::SlotRequest& aRequest,
  uint32_t aGateway)
{
  const bool valid =
    detail::IsIn(aRequest.rank, 0, kMaxRank) &&
    detail::IsTime(aRequest.objectiveMs) &&
    detail::IsIn(
      aRequest.objectiveLeftMs, -detail::kMaxTimeMs, detail::kMaxTimeMs) &&
    detail::IsTime(aRequest.remainingMs) && aRequest.bytes >= 0 &&
    aRequest.avoided.size() <= detail::kMaxListedServers &&
    aRequest.connected.size() <= detail::kMaxListedServers;
  if (!valid) {
    return std::nullopt;
  }
  SlotRequest request;
  request.gateway_ = aGateway;
  request.number_ = aRequest.number;
  request.service_ = detail::FromHash(aRequest.serviceHash);
  request.domain_ = detail::FromHash(aRequest.domain);
  request.route_ = detail::FromHash(aRequest.route);
  request.server_ = detail::FromHash(aRequest.server);
  request.rank_ = aRequest.rank;
  request.objectiveMs_ = aRequest.objectiveMs;
  request.objectiveLeftMs_ = aRequest.objectiveLeftMs;
  request.remainingMs_ = aRequest.remainingMs;
  request.bytes_ = static_cast<uint32_t>(aRequest.bytes);
  request.crossing_ = aRequest.crossing;
  request.returned_ = aRequest.returned;
  request.refusedBy_ = detail::FromHash(aRequest.refusedBy);
  request.avoided_.assign(aRequest.avoided.begin(), aRequest.avoided.end());
  request.connected_.assign(aRequest.connected.begin(),
                            aRequest.connected.end());
  return request;
}

std::optional<SlotAnswer> SlotCodec::FromWire(const wire::SlotAnswer& aAnswer,
                                              uint32_t aGateway)
{
  if (!detail::IsValueOf<SlotVerdict>(aAnswer.verdict) ||
      !detail::IsValueOf<SlotCause>(aAnswer.cause) ||
      !detail::IsTime(aAnswer.retryAfterMs)) {
    return std::nullopt;
  }
  SlotAnswer answer;
  answer.gateway_ = aGateway;
  answer.number_ = aAnswer.number;
  answer.verdict_ = static_cast<SlotVerdict>(aAnswer.verdict);
  answer.cause_ = static_cast<SlotCause>(aAnswer.cause);
  answer.server_ = detail::FromHash(aAnswer.server);
  answer.domain_ = detail::FromHash(aAnswer.domain);
  answer.retryAfterMs_ = aAnswer.retryAfterMs;
  const bool namesServer =
    answer.verdict_ != SlotVerdict::Assigned || answer.server_ != 0;
  return namesServer ? std::optional(answer) : std::nullopt;
}

std::optional<SlotEnd> SlotCodec::FromWire(const wire::SlotEnd& aEnd,
                                           uint32_t aGateway)
{
  const bool hasLoad = aEnd.running != detail::kNoLoad;
  const bool validLoad =
    !hasLoad ||
    (detail::IsIn(aEnd.running, 0, detail::kMaxLoad) &&
     detail::IsIn(aEnd.waiting, 0, detail::kMaxLoad) &&
     detail::IsIn(aEnd.slownessPercent, 1, detail::kMaxSlownessPercent));
  if (!detail::IsValueOf<SlotOutcome>(aEnd.outcome) ||
      !detail::IsTime(aEnd.latencyMs) || !validLoad) {
    return std::nullopt;
  }
  SlotEnd end;
  end.gateway_ = aGateway;
  end.number_ = aEnd.number;
  end.service_ = detail::FromHash(aEnd.serviceHash);
  end.server_ = detail::FromHash(aEnd.server);
  end.outcome_ = static_cast<SlotOutcome>(aEnd.outcome);
  end.latencyMs_ = aEnd.latencyMs;
  if (hasLoad) {
    end.load_ = { aEnd.running,
                  aEnd.waiting,
                  aEnd.slownessPercent / detail::kPercent };
  }
  return end;
}

std::optional<SlotSummary> SlotCodec::FromWire(
  const wire::SlotSummary& aSummary)
{
  if (aSummary.freeSlots < 0 || aSummary.utilization < 0 ||
      !detail::IsTime(aSummary.waitMs)) {
    return std::nullopt;
  }
  return SlotSummary{ detail::FromHash(aSummary.serviceHash),
                      detail::FromHash(aSummary.domain),
                      aSummary.freeSlots / detail::kThousandths,
                      aSummary.utilization / detail::kThousandths,
                      aSummary.waitMs };
}

}
