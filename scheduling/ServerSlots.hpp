#pragma once

#include "common/Types.hpp"
#include "scheduling/ColdRate.hpp"
#include "scheduling/SlotMessages.hpp"

#include <cstdint>
#include <optional>

namespace cactuspitch {

/// Backend server of the scheduler's service and failure domain.
struct SlotServer
{
  uint32_t id_ = 0;          ///< hash of the server's id
  uint32_t incarnation_ = 0; ///< hash of this run of the server
  int slots_ = 1;
  TimeMs coldUntilMs_ = 0;
};

/// State of one backend server as its scheduler sees it: slots in use, load
/// that others put on it, speed and failures. Does no I/O.
class ServerSlots
{
public:
  ServerSlots(const SlotServer& aServer, ColdLimits aCold, TimeMs aNowMs);

  /// Updates slots and cold time. A new incarnation starts without failures.
  void Update(const SlotServer& aServer, ColdLimits aCold, TimeMs aNowMs);
  void SetListed(bool aListed) { listed_ = aListed; }
  bool IsListed() const { return listed_; }
  uint32_t Id() const { return server_.id_; }

  /// Takes a slot, and the token of a cold server.
  void Take(TimeMs aNowMs);
  void Release(TimeMs aNowMs);
  void OnServed(TimeMs aNowMs);
  /// aFactor: duration of a request relative to the mean work of its route,
  /// without the current slowness.
  void OnSpeedSample(double aFactor, TimeMs aNowMs);
  /// The server rejected a request, with that load if it reported one.
  void OnRejected(const std::optional<SlotLoad>& aLoad, TimeMs aNowMs);
  void OnFailed(TimeMs aNowMs);
  void OnUnreachable(TimeMs aNowMs);
  /// Load report of a response. aOtherSlots: slots in use without that of the
  /// response. Returns how many of them are free at the server: their end was
  /// lost.
  int OnReport(const SlotLoad& aLoad, int aOtherSlots, TimeMs aNowMs);

  /// Requests that keep all slots of the server busy: more than it has slots,
  /// because some are on their way.
  int Depth() const;
  int InUse() const { return inUse_; }
  int Slots() const { return server_.slots_; }
  /// Requests that may be started now; of a cold server one at a time.
  int Room(TimeMs aNowMs) const;
  /// The same for requests that no other server can run: while requests are
  /// long on their way, up to as many as it has slots wait at the server, so
  /// that it is never idle.
  int OwnerRoom(TimeMs aNowMs) const;
  /// Slots that this scheduler can fill once they are free.
  double UsableSlots(TimeMs aNowMs) const;
  /// Work that it can do, in slots of a server of average speed. A cold server
  /// is limited by the number of its requests.
  double Capacity(double aMeanWorkMs, TimeMs aNowMs) const;
  /// Time of a piece of work now, relative to its mean.
  double TimeFactor(TimeMs aNowMs) const;
  /// The part of it that lasts.
  double SpeedFactor(TimeMs aNowMs) const;
  double Slowness(TimeMs aNowMs) const;
  double FailureShare(TimeMs aNowMs) const;
  bool IsReachable(TimeMs aNowMs) const;
  bool IsCold(TimeMs aNowMs) const { return server_.coldUntilMs_ > aNowMs; }
  /// Time until a cold server may get one more request after aAhead others; 0
  /// if it is not limited.
  TimeMs ColdWaitMs(size_t aAhead, TimeMs aNowMs) const;

private:
  int RoomUpTo(int aDepth, TimeMs aNowMs) const;
  double OtherLoad(TimeMs aNowMs) const;
  /// Most slots in use while the last reports travelled.
  int RecentInUse(TimeMs aNowMs) const;
  bool IsColdLimited(TimeMs aNowMs) const;

  SlotServer server_;
  bool listed_ = true;
  int inUse_ = 0;
  int recentInUse_ = 0; ///< before the last slot was given back
  TimeMs recentMs_ = 0;
  /// Part of the requests in use that is at the server, in its reports while
  /// its slots are all in use. The others are on their way on narrow links.
  double presentShare_ = 1;
  double others_ = 0; ///< requests that other schedulers and gateways sent
  TimeMs othersMs_ = 0;
  double speedFactor_ = 1;
  TimeMs speedMs_ = 0;
  /// Last reported slowness, and the mean of the reports.
  double slowness_ = 1;
  double meanSlowness_ = 1;
  TimeMs slownessMs_ = 0;
  double failureShare_ = 0;
  TimeMs failureMs_ = 0;
  TimeMs noStartUntilMs_ = 0;
  bool unreachable_ = false; ///< until it serves a request again
  /// Slots in use that are free at the server, by all reports since then.
  int unconfirmedFree_ = 0;
  TimeMs unconfirmedMs_ = 0;
  std::optional<ColdRate> cold_;
  ColdLimits coldLimits_;
};

}
