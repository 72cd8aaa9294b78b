#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace cactuspitch {

/// A backend server that could take a request, as this gateway sees it.
struct PlacementCandidate
{
  double expectedMs_ = 0;    ///< until the answer of one more request
  double serviceTimeMs_ = 0; ///< of a request that does not queue
  double failureShare_ = 0;
  bool sameDomain_ = true;
  bool preferred_ = true; ///< preferred by this gateway (PreferredServers)
  bool down_ = false;     ///< takes no connections
  bool full_ = false;     ///< no connection left for this gateway
  bool tried_ = false;    ///< has failed this request before
};

struct PlacementRequest
{
  TimeMs remainingMs_ = 0; ///< until the final answer is due
  TimeMs objectiveMs_ = 0;
  TimeMs waitedMs_ = 0; ///< since the request was read
  /// Body and expected answer: what crosses to a server of another domain.
  size_t bytes_ = 0;
};

enum class PlacementVerdict : uint8_t
{
  Send,
  Wait, ///< try again when a request ends or the candidates change
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
  size_t index_ = 0;        ///< of the candidate to send to
  TimeMs retryAfterMs_ = 0; ///< of a refusal
};

struct PlacementOptions
{
  /// A request is sent where the answer is expected within this part of its
  /// objective; beyond that, queueing at the server makes all answers late.
  double objectiveShare_ = 1.0;
  /// A request waits at the gateway for at most this part of its objective;
  /// longer waits are worse for the caller than coming back.
  double maxWaitShare_ = 0.125;
  /// Cost of bytes that cross failure domains, in ms of latency: at least
  /// crossDomainMs_ for a request and at most a share of its objective.
  double crossDomainMs_ = 4;
  double crossDomainMsPerKb_ = 5;
  double crossDomainMaxShare_ = 0.5;
  /// A near server is preferred for the bytes only while its answer is expected
  /// within this part of the objective; work times vary.
  double sameDomainShare_ = 0.7;
  /// A server that other gateways prefer counts as this much slower.
  double nonPreferredPenalty_ = 0.25;
  /// A server that fails all requests counts as this many times slower.
  double failurePenalty_ = 6;
  /// Callers honour at most a third of their remaining time.
  double maxRetryAfterShare_ = 0.3;
  TimeMs minRetryAfterMs_ = 30;
};

/// Time to come back that a refused caller is given.
TimeMs RetryAfterMs(const PlacementOptions& aOptions,
                    TimeMs aRemainingMs,
                    double aWantedMs);

/// Chooses the server for a request, or says that it should wait or be
/// refused. Pure.
PlacementDecision Place(const PlacementOptions& aOptions,
                        const PlacementRequest& aRequest,
                        std::span<const PlacementCandidate> aCandidates);

}
