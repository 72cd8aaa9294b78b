#pragma once

#include "policy/CrashQuarantine.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// What a gateway tells the others of the requests in its quarantine, when and
/// to whom. Changes are told at once and once more against loss; digests in
/// all messages show who missed them, started later or was cut off. Pure.
class SuspectExchange
{
public:
  enum class Recipients : uint8_t
  {
    Leader, ///< who tells all
    All
  };
  struct Message
  {
    Recipients recipients_ = Recipients::All;
    std::vector<CrashSuspect> suspects_;
  };

  explicit SuspectExchange(CrashQuarantine& aQuarantine);

  /// This gateway counted or cleared crashes.
  void OnChanged(TimeMs aNowMs);
  /// Time of the next TakeDueMessage, INT64_MAX while there is nothing to tell.
  TimeMs DueMs() const { return dueMs_; }
  std::optional<Message> TakeDueMessage(TimeMs aNowMs,
                                        bool aIsLeading,
                                        bool aKnowsLeader);
  /// Takes over what another gateway told; true when any of it was new.
  bool OnReceived(const std::vector<CrashSuspect>& aSuspects,
                  TimeMs aNowMs,
                  bool aIsLeading);
  /// Of the quarantine, at most 20 ms old.
  uint64_t Digest(TimeMs aNowMs);
  /// What to tell a gateway whose digest differs, if it is time for that.
  std::optional<std::vector<CrashSuspect>>
  EntriesForPeer(const std::string& aPeer, uint64_t aDigest, TimeMs aNowMs);

private:
  CrashQuarantine& quarantine_;
  TimeMs dueMs_ = INT64_MAX;
  uint64_t digest_ = 0;
  TimeMs digestMs_ = INT64_MIN; ///< when it was worked out
  TimeMs digestChangedMs_ = 0;
  /// When each other gateway was last answered by Compare.
  std::map<std::string, TimeMs> comparedMs_;
};

}
