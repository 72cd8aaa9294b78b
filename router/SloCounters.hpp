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
  std::string cause_; ///< empty: served within the objective
  std::string server_;
  std::string failureDomain_;
  int64_t requests_ = 0;
};

/// Requests by minute, service, cause and backend server, for the burn report.
class SloCounters
{
public:
  /// Current minute since the epoch; passed in so that tests control it.
  using MinuteSource = std::function<int64_t()>;

  explicit SloCounters(MinuteSource aMinutes);

  /// aServer is empty when no backend server was chosen. aCause must outlive
  /// the object (a literal).
  void Record(std::string_view aService,
              std::string_view aCause,
              std::string_view aServer,
              std::string_view aFailureDomain);
  /// Counts of the minutes from aSinceMinute on.
  std::vector<SloCount> Since(int64_t aSinceMinute);

  /// Minutes that are kept for readers.
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

  /// Adds the shard's minute to totals_ and clears it.
  void Flush(Shard& aShard);

  MinuteSource minutes_;
  std::array<Shard, kShards> shards_;
  std::mutex totalsMutex_;
  std::map<Key, Total> totals_; ///< minute, service, cause, server
};

}
