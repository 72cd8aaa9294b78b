#pragma once

#include "BackendServer.hpp"
#include "ServiceState.hpp"
#include "common/Strings.hpp"

#include <memory>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace cactuspitch {

/// Objects found by name from many threads and created on first use.
template<typename T>
class NamedObjects
{
public:
  template<typename Make>
  std::shared_ptr<T> Get(std::string_view aName, Make&& aMake)
  {
    {
      const std::shared_lock lock(mutex_);
      const auto found = objects_.find(ToAbsl(aName));
      if (found != objects_.end()) {
        return found->second;
      }
    }
    const std::unique_lock lock(mutex_);
    auto& object = objects_[std::string(aName)];
    if (!object) {
      object = aMake();
    }
    return object;
  }

  std::vector<std::shared_ptr<T>> All() const
  {
    const std::shared_lock lock(mutex_);
    std::vector<std::shared_ptr<T>> all;
    for (const auto& [name, object] : objects_) {
      all.push_back(object);
    }
    return all;
  }

  /// Removes the objects for which aPredicate holds.
  template<typename Predicate>
  void EraseIf(Predicate&& aPredicate)
  {
    const std::unique_lock lock(mutex_);
    absl::erase_if(
      objects_, [&](const auto& aEntry) { return aPredicate(*aEntry.second); });
  }

private:
  mutable std::shared_mutex mutex_;
  absl::flat_hash_map<std::string, std::shared_ptr<T>> objects_;
};

/// Backend servers and services that this router has met.
class StateRegistry
{
public:
  explicit StateRegistry(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /// A server that came back under another address is a new object.
  std::shared_ptr<BackendServer> Server(const BackendServerRecord& aRecord)
  {
    return servers_.Get(aRecord.address_, [&] {
      return std::make_shared<BackendServer>(clock_, aRecord);
    });
  }
  std::shared_ptr<ServiceState> Service(std::string_view aName)
  {
    return services_.Get(aName, [&] {
      return std::make_shared<ServiceState>(std::string(aName));
    });
  }
  NamedObjects<BackendServer>& Servers() { return servers_; }
  NamedObjects<ServiceState>& Services() { return services_; }

private:
  const Clock& clock_;
  NamedObjects<BackendServer> servers_;
  NamedObjects<ServiceState> services_;
};

}
