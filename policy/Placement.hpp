#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace cactuspitch {

/// Backend server that could receive a request, as seen by this gateway.
struct PlacementCandidate
{
  double expectedMs_ = 0;    ///< expected latency of one more request
  double serviceTimeMs_ = 0; ///< expected latency without queueing
  double failureShare_ = 0;  ///< fraction of recent requests that failed
  bool sameDomain_ = true;   ///< same failure domain as this gateway
  bool preferred_ = true;    ///< preferred by this gateway (PreferredServers)
  bool down_ = false;        ///< does not accept connections
  bool full_ = false;  ///< can't get another request from this gateway now
  bool tried_ = false; ///< has already failed this request
};

struct PlacementRequest
{
  TimeMs remainingMs_ = 0; ///< time until the deadline of the final response
  TimeMs objectiveMs_ = 0; ///< latency objective of the route
  TimeMs waitedMs_ = 0;    ///< time since the request was read
  /// Size of the body and the expected response, which cross between failure
  /// domains if the server is in another one.
  size_t bytes_ = 0;
};

enum class PlacementVerdict : uint8_t
{
  Send,
  Wait, ///< try again when a request finishes or the candidates change
  Refuse,
  Count
};

template<>
struct EnumNames<PlacementVerdict>
{
  static constexpr std::string_view kNames[] = { "send", "wait", "refuse" };
};

struct PlacementDecision
{
  PlacementVerdict verdict_ = PlacementVerdict::Refuse;
  size_t index_ = 0;        ///< with Send: candidate to send to
  TimeMs retryAfterMs_ = 0; ///< with Refuse: delay before the caller retries
};

struct PlacementOptions
{
  /// A server that queues requests is used only if the response is expected
  /// within this fraction of the objective. Otherwise the queue at the server
  /// would make all responses late.
  double objectiveShare_ = 1.0;
  /// A request waits at the gateway for at most this fraction of its objective.
  /// Waiting longer is worse for the caller than a retry.
  double maxWaitShare_ = 0.125;
  /// Cost of sending a request to another failure domain, in ms of latency: at
  /// least crossDomainMs_, in proportion to its bytes, and at most
  /// crossDomainMaxShare_ of its objective.
  double crossDomainMs_ = 4;
  double crossDomainMsPerKb_ = 5;
  double crossDomainMaxShare_ = 0.5;
  /// A server of the same domain has no cross-domain cost, but only while its
  /// response is expected within this fraction of the objective. The margin
  /// allows for varying service times.
  double sameDomainShare_ = 0.7;
  /// Added latency factor of a server that is preferred by other gateways.
  double nonPreferredPenalty_ = 0.25;
  /// Added latency factor of a server that fails all requests; proportionally
  /// less if it fails some.
  double failurePenalty_ = 6;
  /// Upper limit of Retry-After as a fraction of the remaining time. Callers
  /// honour at most a third of it.
  double maxRetryAfterShare_ = 0.3;
  TimeMs minRetryAfterMs_ = 30;
};

/// Retry-After for a rejected caller: aWantedMs within the limits of aOptions.
TimeMs RetryAfterMs(const PlacementOptions& aOptions,
                    TimeMs aRemainingMs,
                    double aWantedMs);

/// Chooses the server for a request, or decides that the request waits or is
/// rejected. Does no I/O.
PlacementDecision Place(const PlacementOptions& aOptions,
                        const PlacementRequest& aRequest,
                        std::span<const PlacementCandidate> aCandidates);

}
