#pragma once

#include "policy/CrashQuarantine.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Synchronizes the quarantines of the gateways: decides what to send, when and
/// to whom. Changes are sent at once and repeated once, because messages may be
/// lost. Digests in all messages reveal gateways that missed a change, started
/// later or were partitioned. Does no I/O.
class SuspectExchange
{
public:
  enum class Recipients : uint8_t
  {
    Leader, ///< the leader, which forwards the message to all gateways
    All
  };
  struct Message
  {
    Recipients recipients_ = Recipients::All;
    std::vector<CrashSuspect> suspects_;
  };

  explicit SuspectExchange(CrashQuarantine& aQuarantine);

  /// To be called after this gateway has counted or cleared crashes.
  void OnChanged(TimeMs aNowMs);
  /// Time of the next TakeDueMessage(), INT64_MAX if there is nothing to send.
  TimeMs DueMs() const { return dueMs_; }
  /// Message to be sent now; nullopt if none is due.
  std::optional<Message> TakeDueMessage(TimeMs aNowMs,
                                        bool aIsLeading,
                                        bool aKnowsLeader);
  /// Merges the suspects received from another gateway. Returns true if any was
  /// new.
  bool OnReceived(const std::vector<CrashSuspect>& aSuspects,
                  TimeMs aNowMs,
                  bool aIsLeading);
  /// Digest of the quarantine, at most 20 ms old.
  uint64_t Digest(TimeMs aNowMs);
  /// Entries to send to a gateway that reported the digest aDigest; nullopt if
  /// it agrees, a change is still spreading, or it was sent entries recently.
  std::optional<std::vector<CrashSuspect>>
  EntriesForPeer(const std::string& aPeer, uint64_t aDigest, TimeMs aNowMs);

private:
  CrashQuarantine& quarantine_;
  TimeMs dueMs_ = INT64_MAX;
  uint64_t digest_ = 0;
  TimeMs digestMs_ = INT64_MIN; ///< when digest_ was computed
  TimeMs digestChangedMs_ = 0;
  /// When each gateway was last sent entries by EntriesForPeer().
  std::map<std::string, TimeMs> syncedMs_;
};

}
