#pragma once

#include <map>
#include <string>

namespace cactuspitch {

/// Exponential moving averages by name.
class MovingAverages
{
public:
  /// aWeight, from 0 to 1, is the weight of a new value.
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
  /// Average of a name; aDefault before its first value.
  double Get(const std::string& aName, double aDefault) const
  {
    const auto found = means_.find(aName);
    return found == means_.end() ? aDefault : found->second;
  }
  /// Removes all names for which aIsKept(name) is false.
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
