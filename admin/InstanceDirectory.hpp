#pragma once

#include "common/Clock.hpp"
#include "store/ObjectStore.hpp"

#include <mutex>
#include <string>
#include <vector>

namespace cactuspitch {

/// Entry instance in the platform's list. A process that the instance does not
/// run has an empty address.
struct EntryInstance
{
  std::string id_;
  std::string failureDomain_;
  std::string state_;
  std::string assigner_; ///< Thrift address
  std::string router_;   ///< Thrift address
  std::string admin_;    ///< HTTP address
};

/// Cache of the platform's list of entry instances, which is read from the
/// store at most every 3 s. While the store is unavailable, the last list is
/// used.
class InstanceDirectory
{
public:
  InstanceDirectory(ObjectStore& aStore, const Clock& aClock);

  /// Instances that are not leaving, sorted by id.
  std::vector<EntryInstance> Instances();
  /// Rank of aInstance among the instances with an admin process, by rendezvous
  /// hashing of aItem. 0 is the highest; -1 when the list lacks aInstance.
  int Rank(const std::string& aItem, const std::string& aInstance);

private:
  ObjectStore& store_;
  const Clock& clock_;
  std::mutex mutex_;
  std::vector<EntryInstance> instances_;
  TimeMs nextReadMs_ = 0;
};

}
