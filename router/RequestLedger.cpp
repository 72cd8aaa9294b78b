#include "RequestLedger.hpp"

#include <xxhash.h>

namespace cactuspitch {

RequestLedger::RequestLedger(size_t aMaxEntries)
  : maxEntries_(aMaxEntries)
{
}

RequestLedger::Key RequestLedger::MakeKey(std::string_view aService,
                                          std::string_view aRequestId)
{
  const auto seed = XXH3_64bits(aService.data(), aService.size());
  const auto hash =
    XXH3_128bits_withSeed(aRequestId.data(), aRequestId.size(), seed);
  return { hash.high64, hash.low64 };
}

void RequestLedger::Expire(TimeMs aNowMs)
{
  while (!expiries_.empty() && expiries_.front().expiresMs_ <= aNowMs) {
    const auto& expiry = expiries_.front();
    const auto found = entries_.find(expiry.key_);
    // An id that was removed and recorded again has a later expiry.
    if (found != entries_.end() &&
        found->second.generation_ == expiry.generation_) {
      entries_.erase(found);
    }
    expiries_.pop_front();
  }
}

bool RequestLedger::Insert(const Key& aKey,
                           LedgerEntryState aState,
                           uint64_t aToken,
                           TimeMs aNowMs)
{
  // Counts expiries, since ids that were removed still occupy one.
  if (expiries_.size() >= maxEntries_) {
    return false;
  }
  const auto generation = nextGeneration_++;
  entries_.emplace(aKey, Entry{ aState, generation, aToken });
  expiries_.push_back({ aKey, generation, aNowMs + kRetentionMs });
  return true;
}

RequestLedger::BeginResult RequestLedger::Begin(std::string_view aService,
                                                std::string_view aRequestId,
                                                uint64_t aToken,
                                                TimeMs aNowMs,
                                                LedgerEntryState& aState)
{
  Expire(aNowMs);
  const auto key = MakeKey(aService, aRequestId);
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    const auto& entry = found->second;
    aState = entry.state_;
    const bool isRepeatedMessage =
      entry.token_ == aToken && entry.state_ == LedgerEntryState::InProgress;
    return isRepeatedMessage ? BeginResult::Recorded : BeginResult::Seen;
  }
  aState = LedgerEntryState::Unseen;
  return Insert(key, LedgerEntryState::InProgress, aToken, aNowMs)
           ? BeginResult::Recorded
           : BeginResult::Full;
}

void RequestLedger::Finish(std::string_view aService,
                           std::string_view aRequestId,
                           uint64_t aToken,
                           LedgerEntryState aState,
                           TimeMs aNowMs)
{
  Expire(aNowMs);
  const auto key = MakeKey(aService, aRequestId);
  const auto found = entries_.find(key);
  if (aState == LedgerEntryState::NotRun) {
    if (found != entries_.end() &&
        found->second.state_ == LedgerEntryState::InProgress &&
        found->second.token_ == aToken) {
      entries_.erase(found);
    }
    return;
  }
  if (found != entries_.end()) {
    found->second.state_ = aState;
  } else {
    Insert(key, aState, aToken, aNowMs);
  }
}

}
