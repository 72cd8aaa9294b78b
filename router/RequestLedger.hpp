#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"

#include <cstdint>
#include <deque>
#include <string_view>

#include <absl/container/flat_hash_map.h>

namespace cactuspitch {

/// What a holder knows of a request id. The values are those of the wire.
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

/// Ids of non-idempotent requests that were begun, kept for 10 min in bounded
/// memory. Not thread-safe; time is an input.
class RequestLedger
{
public:
  enum class BeginResult : uint8_t
  {
    Recorded, ///< the id was unseen
    Seen,     ///< see aState
    Full      ///< no room: an entry younger than 10 min is never dropped
  };

  explicit RequestLedger(size_t aMaxEntries);

  /// Records the id as in progress, or reports how it is recorded. aToken names
  /// the attempt to begin, so that a repeated message is recognised.
  BeginResult Begin(std::string_view aService,
                    std::string_view aRequestId,
                    uint64_t aToken,
                    TimeMs aNowMs,
                    LedgerEntryState& aState);
  /// Sets the state. NotRun forgets the id, so that a repeat may run, unless
  /// it was begun again since: a late message must not forget that. Other
  /// states are also recorded by a holder that could not be asked at the begin.
  void Finish(std::string_view aService,
              std::string_view aRequestId,
              uint64_t aToken,
              LedgerEntryState aState,
              TimeMs aNowMs);
  size_t Size() const { return entries_.size(); }

  static constexpr TimeMs kRetentionMs = 600000;

private:
  /// 128 bits, so that two ids do not collide in practice.
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
    TimeMs atMs_ = 0;
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
