#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace cactuspitch {

/// Dimensions by which requests are counted. cause_ is empty for a request that
/// met its objectives, "slow" for a complete response that didn't, and
/// the cause of the failure otherwise.
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

/// Number of requests by key; one entry is called a cell.
using SloCells = std::map<SloKey, int64_t>;

/// Counts of one minute. While the minute is open, the counts of each source
/// (one incarnation of one router) are stored separately. A source's counts
/// only grow, so the larger count of a cell is the newer one. Merging is
/// therefore idempotent and commutative, also with several writers. Closing
/// replaces the sources by their sum; counts that arrive later are ignored, so
/// nothing is counted twice.
struct SloMinuteCounts
{
  bool isClosed_ = false;
  std::map<std::string, SloCells> sources_; ///< empty when closed
  SloCells total_;                          ///< empty while open

  /// Sum over the sources, or the closed total.
  SloCells Total() const;
  /// Takes the larger count of each cell; does nothing when closed.
  void Merge(const std::string& aSource, const SloCells& aCells);
  /// Drops the backend server from the counts of requests that met their
  /// objective, and merges the smallest other cells beyond
  /// kMaxClosedFailureCells. Both limit the size of the stored object.
  void Close();

  static constexpr size_t kMaxClosedFailureCells = 200;
};

/// Counts of consecutive slots, stored as one object. A slot is a minute in the
/// block of an hour, and an hour, numbered by its first minute, in the block of
/// a day.
struct SloBlock
{
  std::map<int64_t, SloMinuteCounts> slots_;
  /// Unix time in ms of the last save.
  int64_t savedMs_ = 0;

  /// JSON; invalid UTF-8 is replaced.
  std::string ToText() const;
  /// Nothing when the text is malformed.
  static std::optional<SloBlock> Parse(std::string_view aText);

  /// Name of the source for an incarnation of a router. Returns the recorded
  /// name when the start times differ by less than kSameIncarnationMs, because
  /// the start times that two admin processes compute differ slightly.
  std::string FindOrMakeSourceName(const std::string& aInstance,
                                   int64_t aStartMs) const;
  /// Closes the slots before aSlot.
  void CloseBefore(int64_t aSlot);
  /// Sum over all slots.
  SloCells Total() const;
};

/// Adds the count of each cell to aSum.
void AddCells(SloCells& aSum, const SloCells& aCells);

/// Start times of one instance that differ by less than this are treated as the
/// same incarnation of the router. Hence requests are undercounted when a
/// router is started twice within this time, and the clocks of the admin
/// processes must differ by less.
inline constexpr int64_t kSameIncarnationMs = 30000;

}
