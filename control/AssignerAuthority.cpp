#include "AssignerAuthority.hpp"

#include <algorithm>

namespace cactuspitch {

void AssignerAuthority::BeginTerm(TimeMs aNowMs,
                                  TimeMs aFromMs,
                                  bool aHasDeputy)
{
  *this = AssignerAuthority();
  beganMs_ = aNowMs;
  hasDeputy_ = aHasDeputy;
  untilMs_ = aFromMs + timing::kAuthorityMs;
}

bool AssignerAuthority::IsValid(TimeMs aNowMs) const
{
  return armed_ || !hasDeputy_ || aNowMs < untilMs_;
}

bool AssignerAuthority::IsDeputySilent(TimeMs aNowMs) const
{
  return aNowMs - std::max(deputyAnsweredMs_, beganMs_) > timing::kSilentMs;
}

bool AssignerAuthority::IsQuestionDue(TimeMs aNowMs) const
{
  return aNowMs - sentMs_ >= timing::kHeartbeatMs;
}

void AssignerAuthority::NoteQuestion(const PeerQuestion& aQuestion,
                                     TimeMs aNowMs)
{
  constexpr size_t kMaxOutstanding = 16;
  sentMs_ = aNowMs;
  questions_[aQuestion.id_] = aNowMs;
  if (questions_.size() > kMaxOutstanding) {
    questions_.erase(questions_.begin());
  }
  askedToArm_ |= aQuestion.arm_;
}

void AssignerAuthority::OnAnswer(const PeerAnswer& aAnswer, TimeMs aNowMs)
{
  const auto asked = questions_.find(aAnswer.id_);
  if (asked == questions_.end()) {
    return;
  }
  deputyAnsweredMs_ = aNowMs;
  if (aAnswer.granted_) {
    untilMs_ = std::max(untilMs_, asked->second + timing::kAuthorityMs);
    armed_ |= askedToArm_ && aAnswer.armed_;
  } else {
    refused_ = true;
  }
  for (const auto& server : aAnswer.stoppedRenewing_) {
    stoppedMs_.emplace(server, aNowMs);
  }
  questions_.erase(asked);
}

TimeMs AssignerAuthority::DeputyLeaseEndMs(const std::string& aServer) const
{
  if (!askedToArm_) {
    return 0;
  }
  const auto stopped = stoppedMs_.find(aServer);
  return stopped == stoppedMs_.end()
           ? timing::kNever
           : stopped->second + Stretch(timing::kLeaseMs);
}

}
