#include "policy/SuspectExchange.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Suspect requests of one datagram, about a kilobyte.
constexpr size_t kMaxSuspects = 48;
/// Crashes of one moment are told together.
constexpr TimeMs kGatherMs = 10;
constexpr TimeMs kRepeatMs = 250;
/// Gateways agree within this time after a change; one that still differs
/// missed it.
constexpr TimeMs kSettleMs = 300;
constexpr TimeMs kCompareMs = 1000;
constexpr TimeMs kDigestMs = 20;

}

SuspectExchange::SuspectExchange(CrashQuarantine& aQuarantine)
  : quarantine_(aQuarantine)
{
}

void SuspectExchange::OnChanged(TimeMs aNowMs)
{
  dueMs_ = std::min(dueMs_, aNowMs + detail::kGatherMs);
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
  // When many servers end at once, each gateway has a few requests that one of
  // them may explain; the leader tells them together.
  message.recipients_ = isUrgent || aIsLeading || !aKnowsLeader
                          ? Recipients::All
                          : Recipients::Leader;
  return message;
}

uint64_t SuspectExchange::Digest(TimeMs aNowMs)
{
  // The leader of a large fleet compares hundreds a second.
  if (digestMs_ == INT64_MIN || aNowMs - digestMs_ >= detail::kDigestMs) {
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
      aNowMs - digestChangedMs_ < detail::kSettleMs) {
    return std::nullopt;
  }
  auto& comparedMs = comparedMs_[aPeer];
  if (comparedMs != 0 && aNowMs - comparedMs < detail::kCompareMs) {
    return std::nullopt;
  }
  comparedMs = aNowMs;
  return quarantine_.EntriesForSync(detail::kMaxSuspects, aNowMs);
}

}
