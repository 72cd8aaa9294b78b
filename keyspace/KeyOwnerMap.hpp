#pragma once

#include "keyspace/KeySegment.hpp"

#include <map>
#include <string>
#include <vector>

namespace cactuspitch {

/// Owner of a key as a gateway believes it.
struct KeyOwner
{
  std::string id_;
  int64_t fence_ = 0;
  bool active_ = false; ///< the owner has taken its grant
};

/// Owners of all keys, merged from the store's table and from what gateways
/// tell each other. The highest fence wins for each key, so messages may be
/// lost, repeated or come out of order.
class KeyOwnerMap
{
public:
  struct Range
  {
    uint32_t first_ = 0;
    uint32_t last_ = 0;
    KeyOwner owner_;
  };

  /// True when the view changed.
  bool Apply(const std::string& aService, const Range& aRange);
  /// Null when no owner is known.
  const KeyOwner* Find(const std::string& aService, uint32_t aKey) const;
  const std::vector<Range>& Ranges(const std::string& aService) const;

private:
  std::map<std::string, std::vector<Range>> services_;
};

}
