#include "policy/SilentConnectionDetector.hpp"

#include <algorithm>

namespace cactuspitch {

SilentConnectionDetector::ConnectionId SilentConnectionDetector::Open(
  TimeMs aNowMs)
{
  const ConnectionId id = nextId_++;
  connections_.emplace(id, State{ .openedMs_ = aNowMs });
  return id;
}

void SilentConnectionDetector::Close(ConnectionId aConnection)
{
  connections_.erase(aConnection);
}

void SilentConnectionDetector::OnSend(ConnectionId aConnection, TimeMs aNowMs)
{
  const auto found = connections_.find(aConnection);
  if (found != connections_.end()) {
    found->second.sentMs_ = aNowMs;
    found->second.waiting_ = true;
  }
}

void SilentConnectionDetector::OnResponse(ConnectionId aConnection,
                                          TimeMs aNowMs)
{
  const auto found = connections_.find(aConnection);
  if (found == connections_.end() || !found->second.waiting_) {
    return;
  }
  found->second.waiting_ = false;
  RecordLatency(aNowMs - found->second.sentMs_);
  if (responses_[0].connection_ != aConnection) {
    responses_[1] = responses_[0];
  }
  responses_[0] = { aConnection, aNowMs };
}

bool SilentConnectionDetector::IsSilent(ConnectionId aConnection,
                                        TimeMs aNowMs) const
{
  const auto found = connections_.find(aConnection);
  if (found == connections_.end() || !found->second.waiting_) {
    return false;
  }
  const TimeMs sentMs = found->second.sentMs_;
  const TimeMs limitMs = SilenceLimitMs();
  if (aNowMs - sentMs < limitMs) {
    return false;
  }
  const Response& other =
    responses_[0].connection_ == aConnection ? responses_[1] : responses_[0];
  // A response right after the send is no evidence that the connection is at
  // fault: the server may have frozen since then, and a frozen server responds
  // on no connection.
  return other.atMs_ >= sentMs + limitMs / 2;
}

std::vector<SilentConnectionDetector::ConnectionId>
SilentConnectionDetector::OlderIdleConnections(ConnectionId aSilent) const
{
  std::vector<ConnectionId> siblings;
  const auto silent = connections_.find(aSilent);
  if (silent == connections_.end()) {
    return siblings;
  }
  for (const auto& [id, state] : connections_) {
    // Ids are in the order of opening, also within the same millisecond.
    if (!state.waiting_ && id < aSilent) {
      siblings.push_back(id);
    }
  }
  return siblings;
}

TimeMs SilentConnectionDetector::SilenceLimitMs() const
{
  constexpr TimeMs kMinMs = 250;
  constexpr TimeMs kFactor = 4;
  return std::max(kMinMs, kFactor * p99Ms_);
}

void SilentConnectionDetector::RecordLatency(TimeMs aLatencyMs)
{
  constexpr size_t kRecomputeEvery = 16;
  constexpr size_t kPercentile = 99;
  latencies_[samples_ % kSamples] = aLatencyMs;
  ++samples_;
  if (samples_ % kRecomputeEvery != 0) {
    // A slow response raises the estimate immediately, so that a server that
    // slows down is not mistaken for a set of silent connections.
    p99Ms_ = samples_ < kSamples ? std::max(p99Ms_, aLatencyMs) : p99Ms_;
    return;
  }
  const size_t count = std::min(samples_, kSamples);
  std::vector<TimeMs> sorted(
    latencies_.begin(), latencies_.begin() + static_cast<ptrdiff_t>(count));
  // Nearest-rank percentile; with up to 100 samples it is the largest.
  const size_t index = (count * kPercentile + kPercentile) / 100 - 1;
  const auto rank = sorted.begin() + static_cast<ptrdiff_t>(index);
  std::ranges::nth_element(sorted, rank);
  p99Ms_ = *rank;
}

}
