#pragma once

#include <map>
#include <string>

namespace cactuspitch {

/// Mean of recent values by name; a new value counts with a fixed weight.
class MovingAverages
{
public:
  explicit MovingAverages(double aWeight)
    : weight_(aWeight)
  {
  }

  void Add(const std::string& aName, double aValue)
  {
    const auto [entry, isNew] = means_.try_emplace(aName, aValue);
    if (!isNew) {
      entry->second += (aValue - entry->second) * weight_;
    }
  }
  /// aDefault before the first value.
  double Get(const std::string& aName, double aDefault) const
  {
    const auto found = means_.find(aName);
    return found == means_.end() ? aDefault : found->second;
  }
  /// Forgets all names for which aIsKept(name) is false.
  template<typename Predicate>
  void Keep(const Predicate& aIsKept)
  {
    std::erase_if(means_,
                  [&](const auto& aEntry) { return !aIsKept(aEntry.first); });
  }

private:
  double weight_;
  std::map<std::string, double> means_;
};

}
