#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"

#include <cstdint>
#include <deque>
#include <string_view>

#include <absl/container/flat_hash_map.h>

namespace cactuspitch {

/// State of a request id in the ledger. The values equal those of
/// wire::LedgerState.
enum class LedgerEntryState : uint8_t
{
  Unseen,
  InProgress,
  Completed,
  NotRun,
  Unknown,
  Count
};

template<>
struct EnumNames<LedgerEntryState>
{
  static constexpr std::string_view kNames[] = {
    "unseen", "in-progress", "completed", "not-run", "unknown",
  };
};

/// Request ids of non-idempotent requests, kept for 10 min in bounded memory to
/// detect duplicates. Not thread-safe; callers pass the current time.
class RequestLedger
{
public:
  enum class BeginResult : uint8_t
  {
    Recorded, ///< the id was unseen
    Seen,     ///< the id is a duplicate; aState is its state
    Full      ///< no space: entries younger than 10 min are never evicted
  };

  explicit RequestLedger(size_t aMaxEntries);

  /// Records an unseen id as in progress, or sets aState to its recorded state.
  /// aToken identifies the attempt: a repeated message of the attempt that
  /// recorded the id returns Recorded again.
  BeginResult Begin(std::string_view aService,
                    std::string_view aRequestId,
                    uint64_t aToken,
                    TimeMs aNowMs,
                    LedgerEntryState& aState);
  /// Sets the state of an id. NotRun removes the id, so that a retry may be
  /// executed, unless a later attempt (another aToken) has recorded it: a
  /// delayed message must not remove that record. Other states are recorded
  /// even if Begin() did not reach this replica.
  void Finish(std::string_view aService,
              std::string_view aRequestId,
              uint64_t aToken,
              LedgerEntryState aState,
              TimeMs aNowMs);
  size_t Size() const { return entries_.size(); }

  static constexpr TimeMs kRetentionMs = 600000;

private:
  /// 128-bit hash, so that ids do not collide in practice.
  struct Key
  {
    uint64_t high_ = 0;
    uint64_t low_ = 0;
    bool operator==(const Key&) const = default;
    template<typename H>
    friend H AbslHashValue(H aHash, const Key& aKey)
    {
      return H::combine(std::move(aHash), aKey.high_, aKey.low_);
    }
  };
  struct Entry
  {
    LedgerEntryState state_ = LedgerEntryState::Unseen;
    uint32_t generation_ = 0;
    uint64_t token_ = 0;
  };
  struct Expiry
  {
    Key key_;
    uint32_t generation_ = 0;
    TimeMs expiresMs_ = 0;
  };

  static Key MakeKey(std::string_view aService, std::string_view aRequestId);
  void Expire(TimeMs aNowMs);
  bool Insert(const Key& aKey,
              LedgerEntryState aState,
              uint64_t aToken,
              TimeMs aNowMs);

  size_t maxEntries_;
  uint32_t nextGeneration_ = 0;
  absl::flat_hash_map<Key, Entry> entries_;
  std::deque<Expiry> expiries_; ///< oldest first
};

}
