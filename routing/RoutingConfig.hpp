#pragma once

#include "common/EnumNames.hpp"
#include "common/ShortHash.hpp"
#include "common/Types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// How the requests of a route may be executed.
enum class RequestKind : uint8_t
{
  Idempotent,    ///< may run more than once
  NonIdempotent, ///< runs at most once
  Download,      ///< idempotent, with a large response
  Upload,        ///< non-idempotent, with a large body
  Count
};

template<>
struct EnumNames<RequestKind>
{
  static constexpr std::string_view kNames[] = { "idempotent",
                                                 "non-idempotent",
                                                 "download",
                                                 "upload" };
};

inline bool IsRepeatable(RequestKind aKind)
{
  return aKind == RequestKind::Idempotent || aKind == RequestKind::Download;
}

/// Service that receives a share of a route's requests.
struct RouteTarget
{
  std::string service_;
  double weight_ = 1; ///< relative to the other targets of the route
};

struct Route
{
  std::string name_;
  std::string host_;
  std::string pathPrefix_; ///< begins and ends with a slash
  RequestKind kind_ = RequestKind::NonIdempotent;
  TimeMs timeoutMs_ = 0;   ///< longest time until the final response
  TimeMs objectiveMs_ = 0; ///< latency objective
  int priority_ = 0;       ///< 0 is the most urgent
  int maxAttempts_ = 1;    ///< backend servers that a request may be sent to
  std::vector<RouteTarget> targets_;
};

struct ServiceSpec
{
  std::string name_;
  int maxConnections_ = 0; ///< to one backend server, from all instances
  bool keyed_ = false;     ///< requests are routed to the owner of their key
  TimeMs warmupMs_ = 0;    ///< slow phase after keys arrive without handover
  TimeMs coldMs_ = 0;      ///< time for which a server is slow after its start
  /// Requests per second that a cold server bears; 0: no limit.
  double coldPerSecond_ = 0;
};

/// Limits for the requests of callers.
struct CallerLimits
{
  size_t headerBytes_ = 16384;
  size_t bodyBytes_ = 67108864;
  TimeMs headerTimeoutMs_ = 3000;
  TimeMs idleTimeoutMs_ = 15000;
};

struct RoutingConfig
{
  int64_t version_ = 0;
  std::map<std::string, ServiceSpec> services_;
  std::vector<Route> routes_;
  CallerLimits limits_;
};

/// State of a backend server according to its registration.
enum class BackendState : uint8_t
{
  Ready,
  Draining,
  Count
};

template<>
struct EnumNames<BackendState>
{
  static constexpr std::string_view kNames[] = { "ready", "draining" };
};

/// Registration of a backend server.
struct BackendEntry
{
  std::string id_;
  std::string service_;
  std::string address_; ///< IP:port
  std::string failureDomain_;
  int slots_ = 1;
  BackendState state_ = BackendState::Ready;
  TimeMs coldRemainingMs_ = 0; ///< as registered
  /// Until then the server is cold, on this process's clock.
  TimeMs coldUntilMs_ = 0;
  /// Wall clock time at which the server started; identifies its incarnation.
  int64_t startTimeMs_ = 0;
  /// Store revision of the last change of the registration; 0 if unknown.
  int64_t revision_ = 0;
  /// The server has announced that it is leaving, whatever its registration
  /// says.
  bool leaving_ = false;

  bool TakesNewWork() const
  {
    return state_ == BackendState::Ready && !leaving_;
  }

  /// Identifies the incarnation in datagrams.
  uint32_t IncarnationHash() const
  {
    return cactuspitch::IncarnationHash(id_, startTimeMs_);
  }
  bool IsSameIncarnation(const BackendEntry& aOther) const
  {
    return startTimeMs_ == aOther.startTimeMs_ && address_ == aOther.address_ &&
           service_ == aOther.service_;
  }
  /// True if the entries are equal except for how long the server is cold.
  bool IsSameState(const BackendEntry& aOther) const
  {
    return IsSameIncarnation(aOther) && state_ == aOther.state_ &&
           leaving_ == aOther.leaving_ && slots_ == aOther.slots_ &&
           failureDomain_ == aOther.failureDomain_;
  }
};

}
