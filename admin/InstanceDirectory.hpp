#pragma once

#include "common/Clock.hpp"
#include "store/ObjectStore.hpp"

#include <mutex>
#include <string>
#include <vector>

namespace cactuspitch {

/// Entry instance as the platform lists it.
struct EntryInstance
{
  std::string id_;
  std::string failureDomain_;
  std::string state_;
  std::string assigner_; ///< Thrift address
  std::string router_;   ///< Thrift address
  std::string admin_;    ///< HTTP address
};

/// The platform's list of entry instances, read from the store at most every
/// few seconds. When the store is down, the last list stays in use.
class InstanceDirectory
{
public:
  InstanceDirectory(ObjectStore& aStore, const Clock& aClock);

  /// Instances that are not leaving, sorted by id.
  std::vector<EntryInstance> Instances();
  /// Place of aInstance among the admin processes for aItem, 0 is the first;
  /// -1 when the list does not hold it.
  int Rank(const std::string& aItem, const std::string& aInstance);

private:
  ObjectStore& store_;
  const Clock& clock_;
  std::mutex mutex_;
  std::vector<EntryInstance> instances_;
  TimeMs nextReadMs_ = 0;
};

}
