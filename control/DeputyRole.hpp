#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <set>

namespace cactuspitch {

/// The deputy's side of the agreement with the assigner.
class DeputyRole
{
public:
  /// aWitnessed: this process saw the term begin, so it knows all that it has
  /// promised in it. A restarted process does not.
  void BeginTerm(TimeMs aNowMs, Term aTerm, bool aWitnessed);
  PeerAnswer OnQuestion(const PeerQuestion& aQuestion,
                        bool aStoreReachable,
                        TimeMs aNowMs);
  /// The store answered this process.
  void OnStoreAnswer();
  /// The assigner asked to arm, but this process knows the store as reachable.
  /// An outage is noticed by one of the two first, so the store is asked; true
  /// once for each such question.
  bool TakeStoreProbe();
  /// The assigner is silent, or asked to arm although the store answers.
  bool ShouldTakeOver(TimeMs aNowMs) const;
  /// From now on questions of this term are refused.
  void Refuse() { refuses_ = true; }
  /// The takeover was certainly not written.
  void Resume()
  {
    refuses_ = takesOver_ = false;
    probe_ = StoreProbe::None;
  }
  bool IsArmed() const { return armed_; }
  Term GetTerm() const { return term_; }
  /// When the right of the assigner ends; kNever when it may be armed.
  TimeMs AssignerEndMs() const;
  bool HasStopped(const std::string& aServer) const
  {
    return stopped_.contains(aServer);
  }

private:
  enum class StoreProbe : uint8_t
  {
    None,
    Due,
    Sent
  };

  Term term_ = 0;
  TimeMs heardMs_ = 0;
  TimeMs promisedMs_ = 0;
  std::set<std::string> stopped_;
  bool witnessed_ = false;
  bool armed_ = false;
  bool refuses_ = false;
  bool takesOver_ = false;
  StoreProbe probe_ = StoreProbe::None;
};

}
