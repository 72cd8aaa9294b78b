#pragma once

#include "common/Types.hpp"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace cactuspitch {

struct SloCount
{
  int64_t epochMinute_ = 0;
  std::string service_;
  std::string cause_; ///< empty when the request met the objective
  std::string server_;
  std::string failureDomain_;
  int64_t requests_ = 0;
};

/// Counts requests by minute, service, cause and backend server for the SLO
/// burn report. Thread-safe.
class SloCounters
{
public:
  /// Returns the current minute since the epoch; tests pass their own.
  using MinuteSource = std::function<int64_t()>;

  explicit SloCounters(MinuteSource aCurrentMinute);

  /// Counts a request. aServer is empty when no backend server was chosen.
  /// aCause must outlive the object, as a string literal does.
  void Record(std::string_view aService,
              std::string_view aCause,
              std::string_view aServer,
              std::string_view aFailureDomain);
  /// Counts from aSinceMinute on, the current minute included.
  std::vector<SloCount> Since(int64_t aSinceMinute);

  /// Minutes after which counts are dropped.
  static constexpr int64_t kRetentionMinutes = 65;

private:
  struct ServerCounts
  {
    std::string failureDomain_;
    std::vector<std::pair<std::string_view, int64_t>> causes_;
  };
  using ServiceCounts = absl::flat_hash_map<std::string, ServerCounts>;
  struct alignas(64) Shard
  {
    std::mutex mutex_;
    int64_t minute_ = 0;
    absl::flat_hash_map<std::string, ServiceCounts> services_;
  };
  using Key = std::tuple<int64_t, std::string, std::string, std::string>;
  struct Total
  {
    std::string failureDomain_;
    int64_t requests_ = 0;
  };
  static constexpr size_t kShards = 16;

  /// Adds the counts of the shard to totals_, clears them and drops expired
  /// minutes. The caller holds the shard's lock.
  void Flush(Shard& aShard);

  MinuteSource currentMinute_;
  std::array<Shard, kShards> shards_;
  std::mutex totalsMutex_;
  std::map<Key, Total> totals_; ///< minute, service, cause, server
};

}
