#include "policy/SuspectExchange.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Suspects per datagram, which make about a kilobyte.
constexpr size_t kMaxSuspects = 48;
/// Changes within this time are sent in one message.
constexpr TimeMs kBatchDelayMs = 10;
constexpr TimeMs kRepeatMs = 250;
/// Gateways agree within this time after a change; a gateway whose digest still
/// differs has missed it.
constexpr TimeMs kPropagationMs = 300;
constexpr TimeMs kMinSyncIntervalMs = 1000;
constexpr TimeMs kDigestMaxAgeMs = 20;

}

SuspectExchange::SuspectExchange(CrashQuarantine& aQuarantine)
  : quarantine_(aQuarantine)
{
}

void SuspectExchange::OnChanged(TimeMs aNowMs)
{
  dueMs_ = std::min(dueMs_, aNowMs + detail::kBatchDelayMs);
}

std::optional<SuspectExchange::Message> SuspectExchange::TakeDueMessage(
  TimeMs aNowMs,
  bool aIsLeading,
  bool aKnowsLeader)
{
  if (aNowMs < dueMs_) {
    return std::nullopt;
  }
  dueMs_ = INT64_MAX;
  Message message;
  message.suspects_ = quarantine_.TakeUnsent(detail::kMaxSuspects, aNowMs);
  if (message.suspects_.empty()) {
    return std::nullopt;
  }
  dueMs_ = aNowMs + detail::kRepeatMs;
  const bool isUrgent =
    std::ranges::any_of(message.suspects_, [](const CrashSuspect& aSuspect) {
      return aSuspect.crashRecords_.size() > 1;
    });
  // When many servers crash at once, each gateway has a few suspects with a
  // single crash. The leader collects these and sends them together.
  message.recipients_ = isUrgent || aIsLeading || !aKnowsLeader
                          ? Recipients::All
                          : Recipients::Leader;
  return message;
}

uint64_t SuspectExchange::Digest(TimeMs aNowMs)
{
  // The leader of a large fleet compares hundreds of digests per second.
  if (digestMs_ == INT64_MIN || aNowMs - digestMs_ >= detail::kDigestMaxAgeMs) {
    digestMs_ = aNowMs;
    const auto digest = quarantine_.Digest(aNowMs);
    if (std::exchange(digest_, digest) != digest) {
      digestChangedMs_ = aNowMs;
    }
  }
  return digest_;
}

bool SuspectExchange::OnReceived(const std::vector<CrashSuspect>& aSuspects,
                                 TimeMs aNowMs,
                                 bool aIsLeading)
{
  const bool isNew = quarantine_.Merge(aSuspects, aNowMs, aIsLeading);
  if (isNew && aIsLeading) {
    OnChanged(aNowMs);
  }
  return isNew;
}

std::optional<std::vector<CrashSuspect>> SuspectExchange::EntriesForPeer(
  const std::string& aPeer,
  uint64_t aDigest,
  TimeMs aNowMs)
{
  if (aDigest == Digest(aNowMs) ||
      aNowMs - digestChangedMs_ < detail::kPropagationMs) {
    return std::nullopt;
  }
  auto& syncedMs = syncedMs_[aPeer];
  if (syncedMs != 0 && aNowMs - syncedMs < detail::kMinSyncIntervalMs) {
    return std::nullopt;
  }
  syncedMs = aNowMs;
  return quarantine_.EntriesForSync(detail::kMaxSuspects, aNowMs);
}

}
