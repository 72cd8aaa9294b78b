#pragma once

#include "BackendServer.hpp"
#include "LoadRecorder.hpp"
#include "ServiceState.hpp"
#include "common/Strings.hpp"

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace cactuspitch {

/// Thread-safe map of named objects, which are created on first use and never
/// removed. Threads are spread over copies of the index: with one index under a
/// reader lock, each lookup would contend for a cache line.
template<typename T>
class ShardedObjectMap
{
public:
  template<typename Make>
  T& Get(std::string_view aName, Make&& aMake)
  {
    auto& index = indexes_[ThreadShardIndex(kIndexes)];
    const std::lock_guard lock(index.mutex_);
    const auto found = index.objects_.find(ToAbsl(aName));
    if (found != index.objects_.end()) {
      return *found->second;
    }
    const std::lock_guard ownerLock(mutex_);
    auto& object = objects_[std::string(aName)];
    if (!object) {
      object = aMake();
    }
    index.objects_.emplace(std::string(aName), object.get());
    return *object;
  }

  std::vector<T*> All() const
  {
    const std::lock_guard lock(mutex_);
    std::vector<T*> all;
    for (const auto& [name, object] : objects_) {
      all.push_back(object.get());
    }
    return all;
  }

private:
  struct alignas(64) Index
  {
    std::mutex mutex_;
    absl::flat_hash_map<std::string, T*> objects_;
  };
  static constexpr size_t kIndexes = 64;

  std::array<Index, kIndexes> indexes_;
  mutable std::mutex mutex_;
  absl::flat_hash_map<std::string, std::unique_ptr<T>> objects_;
};

/// Backend servers and services that this router has used.
class StateRegistry
{
public:
  explicit StateRegistry(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /// Objects are found by address, so a server that restarts with another
  /// address gets a new object.
  BackendServer& Server(const BackendServerRecord& aRecord)
  {
    return servers_.Get(aRecord.address_, [&] {
      return std::make_unique<BackendServer>(clock_, aRecord);
    });
  }
  ServiceState& Service(std::string_view aName)
  {
    return services_.Get(aName, [&] {
      return std::make_unique<ServiceState>(std::string(aName));
    });
  }
  ShardedObjectMap<BackendServer>& Servers() { return servers_; }
  ShardedObjectMap<ServiceState>& Services() { return services_; }

private:
  const Clock& clock_;
  ShardedObjectMap<BackendServer> servers_;
  ShardedObjectMap<ServiceState> services_;
};

}
