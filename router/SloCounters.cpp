#include "SloCounters.hpp"

#include "LoadRecorder.hpp"
#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

template<typename Map>
auto& FindOrAdd(Map& aMap, std::string_view aKey)
{
  const auto found = aMap.find(ToAbsl(aKey));
  return found != aMap.end() ? found->second : aMap[std::string(aKey)];
}

}

SloCounters::SloCounters(MinuteSource aCurrentMinute)
  : currentMinute_(std::move(aCurrentMinute))
{
}

void SloCounters::Record(std::string_view aService,
                         std::string_view aCause,
                         std::string_view aServer,
                         std::string_view aFailureDomain)
{
  const auto minute = currentMinute_();
  auto& shard = shards_[ThreadShardIndex(kShards)];
  const std::lock_guard lock(shard.mutex_);
  if (shard.minute_ != minute) {
    Flush(shard);
    shard.minute_ = minute;
  }
  auto& counts =
    detail::FindOrAdd(detail::FindOrAdd(shard.services_, aService), aServer);
  if (counts.failureDomain_.empty()) {
    counts.failureDomain_ = aFailureDomain;
  }
  const auto found = std::ranges::find(
    counts.causes_, aCause, &std::pair<std::string_view, int64_t>::first);
  if (found != counts.causes_.end()) {
    ++found->second;
  } else {
    counts.causes_.emplace_back(aCause, 1);
  }
}

void SloCounters::Flush(Shard& aShard)
{
  const std::lock_guard lock(totalsMutex_);
  for (auto& [service, servers] : aShard.services_) {
    for (auto& [server, counts] : servers) {
      for (const auto& [cause, requests] : counts.causes_) {
        auto& total =
          totals_[{ aShard.minute_, service, std::string(cause), server }];
        total.failureDomain_ = counts.failureDomain_;
        total.requests_ += requests;
      }
      counts.causes_.clear();
    }
  }
  const auto oldest = currentMinute_() - kRetentionMinutes;
  while (!totals_.empty() && std::get<0>(totals_.begin()->first) < oldest) {
    totals_.erase(totals_.begin());
  }
}

std::vector<SloCount> SloCounters::Since(int64_t aSinceMinute)
{
  for (auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex_);
    Flush(shard);
  }
  const std::lock_guard lock(totalsMutex_);
  std::vector<SloCount> counts;
  for (auto it = totals_.lower_bound({ aSinceMinute, "", "", "" });
       it != totals_.end();
       ++it) {
    const auto& [minute, service, cause, server] = it->first;
    counts.push_back({ minute,
                       service,
                       cause,
                       server,
                       it->second.failureDomain_,
                       it->second.requests_ });
  }
  return counts;
}

}
