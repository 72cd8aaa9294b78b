#include "AssignerAuthority.hpp"

#include <algorithm>

namespace cactuspitch {

void AssignerAuthority::BeginTerm(TimeMs aNowMs,
                                  TimeMs aWriteStartedMs,
                                  bool aHasDeputy)
{
  *this = AssignerAuthority();
  termStartMs_ = aNowMs;
  hasDeputy_ = aHasDeputy;
  validUntilMs_ = aWriteStartedMs + timing::kAuthorityMs;
}

bool AssignerAuthority::IsValid(TimeMs aNowMs) const
{
  return armed_ || !hasDeputy_ || aNowMs < validUntilMs_;
}

bool AssignerAuthority::IsDeputySilent(TimeMs aNowMs) const
{
  return aNowMs - std::max(lastReplyMs_, termStartMs_) >
         timing::kSilenceTimeoutMs;
}

bool AssignerAuthority::IsHeartbeatDue(TimeMs aNowMs) const
{
  return aNowMs - lastHeartbeatSentMs_ >= timing::kHeartbeatIntervalMs;
}

void AssignerAuthority::RecordHeartbeat(const PeerHeartbeat& aHeartbeat,
                                        TimeMs aNowMs)
{
  constexpr size_t kMaxOutstanding = 16;
  lastHeartbeatSentMs_ = aNowMs;
  outstanding_[aHeartbeat.id_] = aNowMs;
  if (outstanding_.size() > kMaxOutstanding) {
    outstanding_.erase(outstanding_.begin());
  }
  armRequested_ |= aHeartbeat.arm_;
}

void AssignerAuthority::OnHeartbeatReply(const PeerHeartbeatReply& aReply,
                                         TimeMs aNowMs)
{
  const auto sent = outstanding_.find(aReply.id_);
  if (sent == outstanding_.end()) {
    return;
  }
  lastReplyMs_ = aNowMs;
  if (aReply.granted_) {
    validUntilMs_ =
      std::max(validUntilMs_, sent->second + timing::kAuthorityMs);
    armed_ |= armRequested_ && aReply.armed_;
  } else {
    refused_ = true;
  }
  for (const auto& server : aReply.stoppedRenewing_) {
    stopAcknowledgedMs_.emplace(server, aNowMs);
  }
  outstanding_.erase(sent);
}

TimeMs AssignerAuthority::DeputyLeaseEndMs(const std::string& aServer) const
{
  if (!armRequested_) {
    return 0;
  }
  const auto stopped = stopAcknowledgedMs_.find(aServer);
  return stopped == stopAcknowledgedMs_.end()
           ? timing::kNever
           : stopped->second + AddClockDrift(timing::kLeaseMs);
}

}
