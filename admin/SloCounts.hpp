#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace cactuspitch {

/// Requests are counted by these; cause_ is empty for a request that was
/// served within its objective and "slow" for a complete answer that was not.
struct SloKey
{
  std::string service_;
  std::string cause_;
  std::string server_;
  std::string failureDomain_;

  bool operator<(const SloKey& aOther) const
  {
    return std::tie(service_, cause_, server_, failureDomain_) <
           std::tie(aOther.service_,
                    aOther.cause_,
                    aOther.server_,
                    aOther.failureDomain_);
  }
};

inline constexpr const char kSlowCause[] = "slow";

using SloCells = std::map<SloKey, int64_t>;

/// Counts of one minute. While it is open, the counts of each source (one run
/// of one router) are kept apart. They only grow, so the larger count of a
/// cell is the newer one, and merging twice, in any order or by two writers,
/// gives the same result. Closing adds the sources up; later counts for the
/// minute are then ignored, so nothing is counted twice.
struct SloMinuteCounts
{
  bool isClosed_ = false;
  std::map<std::string, SloCells> sources_;
  SloCells total_;

  /// Sum over the sources, or the closed total.
  SloCells Total() const;
  void Merge(const std::string& aSource, const SloCells& aCells);
  /// Requests within the objective lose their backend server, and beyond
  /// kMaxClosedFailureCells the smallest cells are merged, which bounds the
  /// object.
  void Close();

  static constexpr size_t kMaxClosedFailureCells = 200;
};

/// Counts of consecutive slots, stored as one object. A slot is a minute, or in
/// the block of a day the first minute of an hour.
struct SloBlock
{
  std::map<int64_t, SloMinuteCounts> slots_;
  /// Unix time in ms of the last save.
  int64_t savedMs_ = 0;

  std::string ToText() const;
  /// Nothing when the text is malformed.
  static std::optional<SloBlock> Parse(std::string_view aText);

  /// Recorded source of the same run, so that all writers use one name: the
  /// start times that two processes work out differ a little.
  std::string FindOrMakeSourceName(const std::string& aInstance,
                                   int64_t aStartMs) const;
  /// Closes the slots before aSlot.
  void CloseBefore(int64_t aSlot);
  /// Sum over all slots.
  SloCells Total() const;
};

void AddCells(SloCells& aSum, const SloCells& aCells);

/// Start times of one instance closer than this are taken for one run of the
/// router. A router that is started twice within it is counted too low; clocks
/// of admin processes must agree better than this.
inline constexpr int64_t kSameIncarnationMs = 30000;

}
