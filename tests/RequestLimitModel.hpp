#pragma once

#include "bench/EventQueue.hpp"
#include "common/EnumNames.hpp"
#include "policy/RequestLimiter.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace cactuspitch {

/// How the gateways of the model divide a server's limit.
enum class LimitPolicy : uint8_t
{
  Permits,    ///< RequestLimiter
  EqualShare, ///< a token bucket in each gateway
  RandomDrop, ///< each gateway drops the share of the excess at random
  Ignored,
  Count
};

template<>
struct EnumNames<LimitPolicy>
{
  static constexpr std::string_view kNames[] = { "permits",
                                                 "equal-share",
                                                 "random-drop",
                                                 "ignored" };
};

/// Discrete-event simulation of gateways that share the request limit of one
/// backend server, with message delay and loss, and gateways that are killed,
/// restarted, frozen and cut off from the others. Checks the sum of the
/// requests from all gateways that were told, in every window.
class RequestLimitModel
{
public:
  struct Options
  {
    int gateways_ = 8;
    double limit_ = 8;        ///< requests per second
    double offered_ = 40;     ///< requests per second, all gateways
    bool oneGateway_ = false; ///< all callers use the same gateway
    bool changes_ = false;    ///< the server names other limits now and then
    bool leaderless_ = false; ///< no gateway is elected
    bool faults_ = false;     ///< kills, freezes and cuts
    double loss_ = 0.05;      ///< fraction of lost messages between gateways
    TimeMs limitedMs_ = 20000;
    LimitPolicy policy_ = LimitPolicy::Permits;
  };
  struct Result
  {
    /// Largest excess over one and a half times the limit plus 5 requests, in
    /// any 4 s; negative if the rule always held.
    double worstExcess_ = -1e9;
    int64_t windows_ = 0;
    double used_ = 0; ///< requests while limited, as a fraction of the limit
    /// The same for the requests that count, in the second half of that time.
    double toldUsed_ = 0;
    int64_t sent_ = 0;
    int64_t refused_ = 0;
    double longestWaitMs_ = 0; ///< of a request before it was sent or refused
    /// Requests in the busiest 100 ms from the end of the limit on.
    int64_t burstAfterEnd_ = 0;
    double rateAfterRecovery_ = 0; ///< requests per second
  };

  RequestLimitModel(Options aOptions, uint32_t aSeed);
  Result Run();

private:
  struct Gateway
  {
    std::unique_ptr<RequestLimiter> limiter_;
    bool up_ = true;
    bool cut_ = false;
    TimeMs frozenUntilMs_ = 0;
    std::optional<TimeMs> toldMs_; ///< first answer with the limit
    TimeMs disturbedMs_ = -1000000;
    double tokens_ = 0;
    TimeMs tokensAtMs_ = 0;
    bool requestsScheduled_ = false;
  };
  struct Arrival
  {
    TimeMs atMs_ = 0;
    bool counts_ = false;
  };
  using MayPass = PermitVerdict (RequestLimitModel::*)(size_t, uint64_t);

  void Reset(size_t aGateway);
  void DrawFault();
  void Elect();
  void SendNextCall();
  void Dispatch(size_t aGateway, uint64_t aCall, TimeMs aReceivedMs);
  void OnArrival(size_t aGateway, TimeMs aSentMs);
  void OnAnswer(size_t aGateway, std::optional<double> aNamed, TimeMs aSentMs);
  PermitVerdict PassPermits(size_t aGateway, uint64_t aCall);
  PermitVerdict PassEqualShare(size_t aGateway, uint64_t aCall);
  PermitVerdict PassRandomDrop(size_t aGateway, uint64_t aCall);
  PermitVerdict PassAll(size_t aGateway, uint64_t aCall);
  RequestLimiter::FleetView ViewOf(size_t aGateway) const;
  void SendRequests(size_t aGateway);
  void SendNotices(size_t aFrom);
  void TickLeader();
  /// Delivers aAction at another gateway, unless it is lost.
  void Deliver(size_t aFrom, size_t aTo, std::function<void()> aAction);
  bool IsReachable(size_t aGateway) const;
  std::optional<double> LimitAt(TimeMs aAtMs) const;
  double LimitIntegral(TimeMs aFromMs, TimeMs aToMs) const;
  Result Evaluate() const;
  void After(TimeMs aDelayMs, EventQueue::Action aAction);
  TimeMs Random(TimeMs aLow, TimeMs aHigh);

  Options options_;
  std::mt19937 random_;
  EventQueue events_;
  std::vector<Gateway> gateways_;
  std::optional<size_t> leader_;
  std::vector<std::pair<TimeMs, double>> limits_; ///< by start time
  std::vector<Arrival> arrivals_;
  uint64_t calls_ = 0;
  Result result_;
};

}
