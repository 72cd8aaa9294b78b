#include "LoadRecorder.hpp"

#include "common/Strings.hpp"

#include <atomic>
#include <map>

namespace cactuspitch {

size_t ThreadShardIndex(size_t aShards)
{
  static std::atomic<size_t> next = 0;
  static thread_local const size_t kIndex =
    next.fetch_add(1, std::memory_order_relaxed);
  return kIndex % aShards;
}

LoadRecorder::LoadRecorder(const Clock& aClock)
  : clock_(aClock)
{
}

void LoadRecorder::Record(std::string_view aService,
                          KeyHash aSliceBegin,
                          KeyHash aKey,
                          double aBusyMs)
{
  auto& shard = shards_[ThreadShardIndex(kShards)];
  const std::lock_guard lock(shard.mutex_);
  auto found = shard.services_.find(ToAbsl(aService));
  if (found == shard.services_.end()) {
    found = shard.services_
              .emplace(std::string(aService), std::make_unique<ServiceLoad>())
              .first;
  }
  auto& load = found->second->slices_[aSliceBegin];
  ++load.requests_;
  load.busyMs_ += aBusyMs;
  // An update of the sketch costs more than the counters above, so only one in
  // kKeySampling requests updates it. Hot keys are still sampled often enough.
  if (++shard.sample_ % kKeySampling == 0) {
    found->second->hotKeys_.Add(aKey, kKeySampling, clock_.NowMs());
  }
}

LoadWindow LoadRecorder::EndWindow(size_t aHotKeys)
{
  std::map<std::string, std::map<KeyHash, Load>> slices;
  std::map<std::string, HotKeySketch> sketches;
  const TimeMs now = clock_.NowMs();
  for (auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex_);
    for (auto& [service, load] : shard.services_) {
      auto& merged = slices[service];
      for (const auto& [begin, count] : load->slices_) {
        auto& target = merged[begin];
        target.requests_ += count.requests_;
        target.busyMs_ += count.busyMs_;
      }
      load->slices_.clear();
      sketches[service].Merge(load->hotKeys_, now);
    }
  }
  LoadWindow window;
  for (const auto& [service, loads] : slices) {
    for (const auto& [begin, load] : loads) {
      window.slices_.push_back(
        { service, begin, load.requests_, load.busyMs_ });
    }
    window.hotKeys_.emplace_back(service, sketches[service].Top(aHotKeys, now));
  }
  return window;
}

}
