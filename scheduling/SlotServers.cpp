#include "scheduling/SlotServers.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace cactuspitch {

namespace detail {

constexpr double kFailurePenalty = 6;
/// Cost of a new connection.
constexpr double kConnectMs = 8;

bool Contains(const std::vector<uint32_t>& aServers, uint32_t aServer)
{
  return std::ranges::find(aServers, aServer) != aServers.end();
}

}

SlotServers::SlotServers(ColdLimits aCold)
  : cold_(aCold)
{
}

void SlotServers::Set(const std::vector<SlotServer>& aServers, TimeMs aNowMs)
{
  for (auto& [id, server] : servers_) {
    server.slots_.SetListed(false);
  }
  for (const auto& server : aServers) {
    if (server.id_ == 0) {
      continue;
    }
    const auto [known, isNew] = servers_.try_emplace(
      server.id_,
      ScheduledServer{ .slots_ = ServerSlots(server, cold_, aNowMs) });
    if (!isNew) {
      known->second.slots_.Update(server, cold_, aNowMs);
    }
  }
}

void SlotServers::EraseUnused(uint32_t aServer)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end() && !found->second.slots_.IsListed() &&
      found->second.inUse_.empty() && found->second.queue_.Size() == 0) {
    servers_.erase(found);
  }
}

ScheduledServer* SlotServers::Find(uint32_t aServer)
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second;
}

ScheduledServer* SlotServers::FindListed(uint32_t aServer)
{
  auto* server = Find(aServer);
  return server != nullptr && server->slots_.IsListed() ? server : nullptr;
}

ScheduledServer* SlotServers::Best(const SlotEntry& aEntry,
                                   size_t aAhead,
                                   TimeMs aNowMs)
{
  const auto& request = aEntry.request_;
  ScheduledServer* best = nullptr;
  double bestMs = std::numeric_limits<double>::max();
  for (auto& [id, server] : servers_) {
    const auto& slots = server.slots_;
    if (slots.Room(aNowMs) == 0 || detail::Contains(request.avoided_, id)) {
      continue;
    }
    const double ms =
      aEntry.workMs_ * slots.TimeFactor(aNowMs) *
        (1 + detail::kFailurePenalty * slots.FailureShare(aNowMs)) -
      (detail::Contains(request.connected_, id) ? detail::kConnectMs : 0);
    if (ms < bestMs) {
      bestMs = ms;
      best = &server;
    }
  }
  return best != nullptr && ShouldRun(aEntry, best->slots_, aAhead, aNowMs)
           ? best
           : nullptr;
}

bool SlotServers::ShouldRun(const SlotEntry& aEntry,
                            const ServerSlots& aServer,
                            size_t aAhead,
                            TimeMs aNowMs) const
{
  const auto& avoided = aEntry.request_.avoided_;
  if (detail::Contains(avoided, aServer.Id())) {
    return false;
  }
  const auto leftMs = static_cast<double>(aEntry.objectiveAtMs_ - aNowMs);
  if (aEntry.late_ || aEntry.workMs_ * aServer.TimeFactor(aNowMs) <= leftMs) {
    return true;
  }
  // Slots of the faster servers, and requests that they start per ms.
  double slots = 0;
  double rate = 0;
  for (const auto& [id, other] : servers_) {
    const double expectedMs = aEntry.workMs_ * other.slots_.TimeFactor(aNowMs);
    if (expectedMs <= leftMs && !detail::Contains(avoided, id)) {
      const double usable = other.slots_.UsableSlots(aNowMs);
      slots += usable;
      rate += usable / std::max(expectedMs, 1.0);
    }
  }
  return rate == 0 || (static_cast<double>(aAhead + 1) + slots) / rate > leftMs;
}

template<class Predicate>
bool SlotServers::Any(const SlotEntry& aEntry, Predicate aIsUsable) const
{
  return std::ranges::any_of(servers_, [&](const auto& aServer) {
    return aIsUsable(aServer.second.slots_) &&
           !detail::Contains(aEntry.request_.avoided_, aServer.first);
  });
}

bool SlotServers::AnyListed(const SlotEntry& aEntry) const
{
  return Any(aEntry,
             [](const ServerSlots& aSlots) { return aSlots.IsListed(); });
}

bool SlotServers::AnyReachable(const SlotEntry& aEntry, TimeMs aNowMs) const
{
  return Any(aEntry, [aNowMs](const ServerSlots& aSlots) {
    return aSlots.IsReachable(aNowMs);
  });
}

bool SlotServers::AnyRoom(const SlotEntry& aEntry, TimeMs aNowMs) const
{
  return Any(aEntry, [aNowMs](const ServerSlots& aSlots) {
    return aSlots.Room(aNowMs) > 0;
  });
}

size_t SlotServers::Room(TimeMs aNowMs) const
{
  return std::accumulate(servers_.begin(),
                         servers_.end(),
                         size_t{ 0 },
                         [aNowMs](size_t aSum, const auto& aServer) {
                           return aSum + static_cast<size_t>(
                                           aServer.second.slots_.Room(aNowMs));
                         });
}

SlotCapacity SlotServers::Capacity(double aMeanWorkMs, TimeMs aNowMs) const
{
  SlotCapacity capacity;
  for (const auto& [id, server] : servers_) {
    const auto& slots = server.slots_;
    const double factor = slots.TimeFactor(aNowMs);
    const double usable = slots.UsableSlots(aNowMs);
    capacity.slots_ += usable;
    capacity.speed_ += usable / factor;
    capacity.work_ += slots.Capacity(aMeanWorkMs, aNowMs);
    capacity.free_ += slots.Room(aNowMs) / factor;
  }
  return capacity;
}

}
