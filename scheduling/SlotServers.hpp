#pragma once

#include "common/Types.hpp"
#include "scheduling/ServerSlots.hpp"
#include "scheduling/SlotQueue.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace cactuspitch {

/// Backend server with its requests.
struct ScheduledServer
{
  ServerSlots slots_;
  SlotQueue queue_ = {}; ///< requests that only this server can run
  std::vector<SlotEntry*> inUse_ = {}; ///< oldest first
  /// Work that is owed to the ranks below each rank.
  std::array<double, SlotQueue::kRanks> owedMs_ = {};
};

/// What the servers can do together.
struct SlotCapacity
{
  double slots_ = 0;
  double speed_ = 0; ///< slots weighted by the speed of their servers
  double work_ = 0;  ///< the part of it that limits of cold servers leave
  double free_ = 0;  ///< the part of it that is free now
};

/// The servers of a scheduler, and which of them is the best for a request.
/// Does no I/O.
class SlotServers
{
public:
  using ById = std::map<uint32_t, ScheduledServer>;

  explicit SlotServers(ColdLimits aCold);

  /// Servers that are not in aServers stay until their slots are given back.
  void Set(const std::vector<SlotServer>& aServers, TimeMs aNowMs);
  /// Applies with the next Set().
  void SetColdLimits(ColdLimits aLimits) { cold_ = aLimits; }
  /// Erases the server if it is not listed and has no slots in use.
  void EraseUnused(uint32_t aServer);
  ById& All() { return servers_; }
  ScheduledServer* Find(uint32_t aServer);
  /// The same for servers that may get requests.
  ScheduledServer* FindListed(uint32_t aServer);

  /// The server with room where the request takes the least time. Null if there
  /// is none, or if the request should wait for a faster one.
  ScheduledServer* Best(const SlotEntry& aEntry, size_t aAhead, TimeMs aNowMs);
  /// Whether the request should start at the server rather than wait for a
  /// faster one behind aAhead others.
  bool ShouldRun(const SlotEntry& aEntry,
                 const ServerSlots& aServer,
                 size_t aAhead,
                 TimeMs aNowMs) const;
  /// Whether any server that is listed, can be reached, or has room may get the
  /// request.
  bool AnyListed(const SlotEntry& aEntry) const;
  bool AnyReachable(const SlotEntry& aEntry, TimeMs aNowMs) const;
  bool AnyRoom(const SlotEntry& aEntry, TimeMs aNowMs) const;
  size_t Room(TimeMs aNowMs) const;
  SlotCapacity Capacity(double aMeanWorkMs, TimeMs aNowMs) const;

private:
  template<class Predicate>
  bool Any(const SlotEntry& aEntry, Predicate aIsUsable) const;

  ColdLimits cold_;
  ById servers_;
};

}
