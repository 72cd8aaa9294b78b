#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"
#include "policy/ServerLimits.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cactuspitch {

/// Which gateway issues the permits that this one uses.
enum class PermitIssuer : uint8_t
{
  Self,   ///< this gateway is the leader
  Leader, ///< another gateway
  None,   ///< no leader is known or reachable
  Count
};

template<>
struct EnumNames<PermitIssuer>
{
  static constexpr std::string_view kNames[] = { "self", "leader", "none" };
};

/// Request of a gateway for permits, sent to the leader.
struct PermitRequest
{
  uint32_t server_ = 0;
  int32_t number_ = 0; ///< distinguishes the requests for this server
  int32_t count_ = 0;
};

/// The leader's answer to a PermitRequest.
struct PermitReply
{
  uint32_t server_ = 0;
  int32_t number_ = 0;
  int32_t granted_ = 0;
  /// Time until another permit may be available.
  TimeMs waitMs_ = 0;
};

enum class PermitVerdict : uint8_t
{
  Unlimited, ///< the server names no limit
  Available, ///< a permit can be taken
  Pending,   ///< the leader has been asked
  Denied,
  Count
};

template<>
struct EnumNames<PermitVerdict>
{
  static constexpr std::string_view kNames[] = { "unlimited",
                                                 "available",
                                                 "pending",
                                                 "denied" };
};

struct PermitDecision
{
  PermitVerdict verdict_ = PermitVerdict::Unlimited;
  /// With Denied: time until a permit may be available.
  TimeMs retryAfterMs_ = 0;
};

/// Keeps the requests of all gateways to a server within the limit that it
/// names. The leader issues one permit for each request, out of one token
/// bucket for each server, which is exact for any number of gateways and any
/// distribution of callers. A gateway that can't reach the leader uses a part
/// of an equal share, so that the sum stays within one and a half times the
/// limit in every partition. Does no I/O.
class RequestLimiter
{
public:
  struct FleetView
  {
    PermitIssuer issuer_ = PermitIssuer::None;
    size_t gateways_ = 1; ///< live gateways, including this one
  };
  struct Handlers
  {
    std::function<FleetView()> fleetView_;
    /// TakeRequests() has something to send to the leader.
    std::function<void()> onRequestsDue_;
  };
  static constexpr uint64_t kAnyRequest = 0;
  static constexpr TimeMs kMaxWaitMs = 100;
  /// Fraction of an equal share that is used without a leader.
  static constexpr double kFallbackShare = 0.4;

  /// aSeed must differ between gateways, so that their fallback shares don't
  /// fall due at the same time.
  RequestLimiter(Handlers aHandlers, uint32_t aSeed);

  const ServerLimits& Limits() const { return limits_; }
  /// See ServerLimits.
  LimitChange OnAnswer(uint32_t aServer,
                       std::optional<double> aNamed,
                       TimeMs aSentMs,
                       TimeMs aNowMs);
  LimitChange Merge(const LimitNotice& aNotice, TimeMs aNowMs);
  std::vector<LimitNotice> TakeNotices(size_t aMaxCount, TimeMs aNowMs)
  {
    return limits_.TakeNotices(aMaxCount, aNowMs);
  }

  bool IsLimited(uint32_t aServer, TimeMs aNowMs) const
  {
    return !limits_.IsEmpty() &&
           limits_.Rate(aServer, aNowMs) != ServerLimits::kUnlimited;
  }
  /// Whether a request may be sent to the server. aRequester identifies the
  /// request, so that one that checks again while it waits counts once, and is
  /// denied after kMaxWaitMs; kAnyRequest asks for one permit for whichever
  /// request comes next.
  PermitDecision Check(uint32_t aServer, uint64_t aRequester, TimeMs aNowMs);
  /// Uses up one permit. To be called for each request that is sent.
  void Take(uint32_t aServer);
  /// This gateway's share of the server's limit if all gateways have the same.
  double EqualShare(uint32_t aServer, TimeMs aNowMs) const;

  /// Requests to send to the leader now.
  std::vector<PermitRequest> TakeRequests();
  /// Whether this gateway issues permits. A leader that may have been replaced
  /// does not.
  bool IsIssuer() const
  {
    return handlers_.fleetView_().issuer_ == PermitIssuer::Self;
  }
  /// Issues permits, as the issuer.
  PermitReply Issue(const PermitRequest& aRequest, TimeMs aNowMs);
  void OnReply(const PermitReply& aReply, TimeMs aNowMs);
  /// Starts with empty buckets, after this gateway became the leader.
  void ResetIssuer() { buckets_.clear(); }
  /// Drops the state of servers without a limit.
  void Expire(TimeMs aNowMs);

private:
  struct Bucket
  {
    double tokens_ = 0;
    TimeMs atMs_ = 0; ///< when tokens were last added

    void Refill(double aPerSecond, double aCapacity, TimeMs aNowMs);
  };
  /// Permits of this gateway for one server.
  struct Account
  {
    int permits_ = 0;
    TimeMs permitsEndMs_ = 0;
    TimeMs deniedUntilMs_ = 0;
    int32_t requestNumber_ = 0;
    bool asking_ = false; ///< a request to the leader is unanswered
    TimeMs askedMs_ = 0;
    TimeMs lastSentMs_ = 0;
    /// Requests that wait for the leader's next reply.
    std::unordered_set<uint64_t> waiting_;
    /// When each of the recent requests checked first.
    std::unordered_map<uint64_t, TimeMs> waitingSinceMs_;
    std::optional<Bucket> fallback_; ///< while the fallback share is in use
  };

  LimitChange Apply(LimitChange aChange, uint32_t aServer);
  PermitDecision AskLeader(uint32_t aServer,
                           Account& aAccount,
                           uint64_t aRequester,
                           TimeMs aNowMs);
  PermitDecision UseFallback(uint32_t aServer,
                             Account& aAccount,
                             TimeMs aNowMs);
  void Credit(Account& aAccount, const PermitReply& aReply, TimeMs aNowMs);

  Handlers handlers_;
  ServerLimits limits_;
  std::unordered_map<uint32_t, Bucket> buckets_;
  std::unordered_map<uint32_t, Account> accounts_;
  std::set<uint32_t> dueServers_;
  TimeMs leaderSilentUntilMs_ = 0;
  std::minstd_rand random_;
};

}
