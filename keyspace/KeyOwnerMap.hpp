#pragma once

#include "keyspace/KeySegment.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cactuspitch {

/// Owner of a key, as far as a gateway knows.
struct KeyOwner
{
  std::string id_;
  int64_t fence_ = 0;
  bool active_ = false; ///< the owner has accepted its lease
};

/// Owners of all keys of all services, merged from the table in the store and
/// from gossip between gateways. The highest fence wins for each key, so
/// messages may be lost, duplicated or reordered.
class KeyOwnerMap
{
public:
  struct Range
  {
    uint32_t first_ = 0;
    uint32_t last_ = 0;
    KeyOwner owner_;
  };

  /// Merges the owner of a key range. Returns true if any owner changed.
  bool Apply(const std::string& aService, const Range& aRange);
  /// Owner of aKey; null if none is known.
  const KeyOwner* Find(const std::string& aService, uint32_t aKey) const;
  /// Ranges of a service by key; empty if nothing is known of the service.
  const std::vector<Range>& Ranges(const std::string& aService) const;

private:
  std::map<std::string, std::vector<Range>> services_;
};

/// Brings a table that was restored from an older copy up to date with the
/// owners that gossip has shown since. All earlier owners remain as previous
/// owners, together with kUnknownServer: the last changes may have reached
/// neither. aStartTimeMs returns the start time of a server's incarnation.
KeySegments MergeKnownOwners(
  KeySegments aSegments,
  const std::vector<KeyOwnerMap::Range>& aKnown,
  const std::function<int64_t(const std::string& aServer)>& aStartTimeMs);

}
