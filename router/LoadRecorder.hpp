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

/// Load of one window.
struct LoadWindow
{
  std::vector<SliceCount> slices_;
  /// Hot keys of each service, highest load first.
  std::vector<std::pair<std::string, std::vector<HotKey>>> hotKeys_;
};

/// Counts requests and busy time by slice and tracks hot keys. Threads are
/// spread over shards with a lock each, so that locks are rarely contended.
class LoadRecorder
{
public:
  explicit LoadRecorder(const Clock& aClock);

  /// Counts an attempt that a backend server executed.
  void Record(std::string_view aService,
              KeyHash aSliceBegin,
              KeyHash aKey,
              double aBusyMs);
  /// Ends the window and returns its load with up to aHotKeys keys for each
  /// service. Slice counts restart at 0; hot keys decay.
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

/// Shard of the calling thread, below aShards.
size_t ThreadShardIndex(size_t aShards);

}
