#pragma once

#include "common/Clock.hpp"
#include "policy/HotKeySketch.hpp"

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace cactuspitch {

struct SliceCount
{
  std::string service_;
  KeyHash begin_ = 0;
  int64_t requests_ = 0;
  double busyMs_ = 0;
};

/// Counts of one window by service.
struct LoadWindow
{
  std::vector<SliceCount> slices_;
  /// Hot keys of each service, heaviest first.
  std::vector<std::pair<std::string, std::vector<HotKey>>> hotKeys_;
};

/// Load by slice and key. Threads write to shards of their own, so a lock is
/// rarely contended.
class LoadRecorder
{
public:
  explicit LoadRecorder(const Clock& aClock);

  /// Counts an attempt that a backend server ran.
  void Record(std::string_view aService,
              KeyHash aSliceBegin,
              KeyHash aKey,
              double aBusyMs);
  /// Ends the window: slice counts restart, hot keys decay.
  LoadWindow EndWindow(size_t aHotKeys);

private:
  struct Load
  {
    int64_t requests_ = 0;
    double busyMs_ = 0;
  };
  struct ServiceLoad
  {
    absl::flat_hash_map<KeyHash, Load> slices_;
    HotKeySketch hotKeys_;
  };
  struct alignas(64) Shard
  {
    std::mutex mutex_;
    uint32_t sample_ = 0;
    absl::flat_hash_map<std::string, std::unique_ptr<ServiceLoad>> services_;
  };
  static constexpr size_t kShards = 16;
  static constexpr uint32_t kKeySampling = 4;

  const Clock& clock_;
  std::array<Shard, kShards> shards_;
};

/// Index of the calling thread among aShards.
size_t ThreadShardIndex(size_t aShards);

}
