#include "policy/RequestLimiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Size of a token bucket: a few requests and what accrues in this time, so
/// that uneven arrivals don't leave part of the limit unused. In 4 s, the
/// bucket, the unused permits and the fallback shares of all gateways add up to
/// less than half of the limit.
constexpr double kBurstRequests = 2;
constexpr double kBurstSeconds = 0.1;
constexpr double kMsPerSecond = 1000;
/// Unused permits expire, because they may have been issued for callers that
/// have left.
constexpr TimeMs kPermitLifeMs = 300;
/// An unanswered request is sent again after this time, in case of a lost
/// datagram, and given up after kReplyTimeoutMs.
constexpr TimeMs kResendMs = 40;
constexpr TimeMs kReplyTimeoutMs = 100;
/// A leader that did not answer is not asked again for this long. A failed
/// leader is replaced within a second.
constexpr TimeMs kLeaderSilentMs = 500;
constexpr int kMaxPermitsPerRequest = 16;
constexpr TimeMs kMaxRetryAfterMs = 3600000;
/// The sum of ten times 0.1 is slightly below 1.
constexpr double kRounding = 1e-9;

TimeMs MsUntilNextToken(double aTokens, double aPerSecond)
{
  const double ms = std::ceil((1 - aTokens) / aPerSecond * kMsPerSecond);
  return static_cast<TimeMs>(
    std::clamp(ms, 1.0, static_cast<double>(kMaxRetryAfterMs)));
}

}

RequestLimiter::RequestLimiter(Handlers aHandlers, uint32_t aSeed)
  : handlers_(std::move(aHandlers))
  , random_(aSeed)
{
}

void RequestLimiter::Bucket::Refill(double aPerSecond,
                                    double aCapacity,
                                    TimeMs aNowMs)
{
  const double seconds =
    static_cast<double>(aNowMs - atMs_) / detail::kMsPerSecond;
  atMs_ = aNowMs;
  tokens_ = std::min(tokens_ + seconds * aPerSecond, aCapacity);
}

LimitChange RequestLimiter::Apply(LimitChange aChange, uint32_t aServer)
{
  const auto account = accounts_.find(aServer);
  if (aChange != LimitChange::None && account != accounts_.end()) {
    // The wait was computed for the earlier limit.
    account->second.deniedUntilMs_ = 0;
  }
  return aChange;
}

LimitChange RequestLimiter::OnAnswer(uint32_t aServer,
                                     std::optional<double> aNamed,
                                     TimeMs aSentMs,
                                     TimeMs aNowMs)
{
  return Apply(limits_.OnAnswer(aServer, aNamed, aSentMs, aNowMs), aServer);
}

LimitChange RequestLimiter::Merge(const LimitNotice& aNotice, TimeMs aNowMs)
{
  return Apply(limits_.Merge(aNotice, aNowMs), aNotice.server_);
}

PermitDecision RequestLimiter::Check(uint32_t aServer,
                                     uint64_t aRequester,
                                     TimeMs aNowMs)
{
  if (!IsLimited(aServer, aNowMs)) {
    return {};
  }
  auto& account = accounts_[aServer];
  if (aNowMs >= account.permitsEndMs_) {
    account.permits_ = 0;
  }
  if (account.permits_ > 0) {
    return { PermitVerdict::Available, 0 };
  }
  if (aNowMs < account.deniedUntilMs_) {
    return { PermitVerdict::Denied, account.deniedUntilMs_ - aNowMs };
  }
  switch (handlers_.fleetView_().issuer_) {
    case PermitIssuer::Self:
      Credit(account, Issue({ aServer, 0, 1 }, aNowMs), aNowMs);
      return account.permits_ > 0
               ? PermitDecision{ PermitVerdict::Available, 0 }
               : PermitDecision{ PermitVerdict::Denied,
                                 account.deniedUntilMs_ - aNowMs };
    case PermitIssuer::Leader:
      return aNowMs < leaderSilentUntilMs_
               ? UseFallback(aServer, account, aNowMs)
               : AskLeader(aServer, account, aRequester, aNowMs);
    default:
      return UseFallback(aServer, account, aNowMs);
  }
}

PermitDecision RequestLimiter::AskLeader(uint32_t aServer,
                                         Account& aAccount,
                                         uint64_t aRequester,
                                         TimeMs aNowMs)
{
  if (!aAccount.asking_) {
    aAccount.asking_ = true;
    aAccount.askedMs_ = aAccount.lastSentMs_ = aNowMs;
    ++aAccount.requestNumber_;
    dueServers_.insert(aServer);
    handlers_.onRequestsDue_();
  } else if (aNowMs - aAccount.askedMs_ >= detail::kReplyTimeoutMs) {
    aAccount.asking_ = false;
    aAccount.waiting_.clear();
    leaderSilentUntilMs_ = aNowMs + detail::kLeaderSilentMs;
    return UseFallback(aServer, aAccount, aNowMs);
  } else if (aNowMs - aAccount.lastSentMs_ >= detail::kResendMs) {
    aAccount.lastSentMs_ = aNowMs;
    dueServers_.insert(aServer);
    handlers_.onRequestsDue_();
  }
  if (aRequester != kAnyRequest) {
    const auto sinceMs =
      aAccount.waitingSinceMs_.try_emplace(aRequester, aNowMs).first->second;
    if (aNowMs - sinceMs >= kMaxWaitMs) {
      aAccount.waiting_.erase(aRequester);
      return { PermitVerdict::Denied,
               detail::MsUntilNextToken(0, limits_.Rate(aServer, aNowMs)) };
    }
  }
  aAccount.waiting_.insert(aRequester);
  return { PermitVerdict::Pending, 0 };
}

double RequestLimiter::EqualShare(uint32_t aServer, TimeMs aNowMs) const
{
  return limits_.Rate(aServer, aNowMs) /
         static_cast<double>(
           std::max<size_t>(handlers_.fleetView_().gateways_, 1));
}

PermitDecision RequestLimiter::UseFallback(uint32_t aServer,
                                           Account& aAccount,
                                           TimeMs aNowMs)
{
  const double perSecond = EqualShare(aServer, aNowMs) * kFallbackShare;
  if (!aAccount.fallback_) {
    aAccount.fallback_ = { std::uniform_real_distribution(0.0, 1.0)(random_),
                           aNowMs };
  }
  auto& bucket = *aAccount.fallback_;
  bucket.Refill(perSecond, 1, aNowMs);
  if (bucket.tokens_ < 1 - detail::kRounding) {
    return { PermitVerdict::Denied,
             detail::MsUntilNextToken(bucket.tokens_, perSecond) };
  }
  bucket.tokens_ -= 1;
  aAccount.permits_ = 1;
  aAccount.permitsEndMs_ = aNowMs + detail::kPermitLifeMs;
  return { PermitVerdict::Available, 0 };
}

void RequestLimiter::Take(uint32_t aServer)
{
  const auto found = accounts_.find(aServer);
  if (found != accounts_.end() && found->second.permits_ > 0) {
    --found->second.permits_;
  }
}

std::vector<PermitRequest> RequestLimiter::TakeRequests()
{
  std::vector<PermitRequest> requests;
  for (const auto server : std::exchange(dueServers_, {})) {
    const auto& account = accounts_[server];
    if (account.asking_) {
      const auto count =
        std::clamp<int>(static_cast<int>(account.waiting_.size()),
                        1,
                        detail::kMaxPermitsPerRequest);
      requests.push_back({ server, account.requestNumber_, count });
    }
  }
  return requests;
}

PermitReply RequestLimiter::Issue(const PermitRequest& aRequest, TimeMs aNowMs)
{
  const double perSecond = limits_.Rate(aRequest.server_, aNowMs);
  const int wanted =
    std::clamp<int>(aRequest.count_, 1, detail::kMaxPermitsPerRequest);
  PermitReply reply{ aRequest.server_, aRequest.number_, wanted, 0 };
  if (perSecond == ServerLimits::kUnlimited) {
    return reply;
  }
  auto& bucket =
    buckets_.try_emplace(aRequest.server_, Bucket{ 0, aNowMs }).first->second;
  bucket.Refill(perSecond,
                detail::kBurstRequests + detail::kBurstSeconds * perSecond,
                aNowMs);
  reply.granted_ = std::min(
    wanted, static_cast<int>(std::floor(bucket.tokens_ + detail::kRounding)));
  bucket.tokens_ -= reply.granted_;
  if (reply.granted_ < wanted) {
    reply.waitMs_ = detail::MsUntilNextToken(bucket.tokens_, perSecond);
  }
  return reply;
}

void RequestLimiter::Credit(Account& aAccount,
                            const PermitReply& aReply,
                            TimeMs aNowMs)
{
  aAccount.permits_ = aReply.granted_;
  aAccount.permitsEndMs_ = aNowMs + detail::kPermitLifeMs;
  aAccount.deniedUntilMs_ = aNowMs + aReply.waitMs_;
  aAccount.fallback_.reset();
}

void RequestLimiter::OnReply(const PermitReply& aReply, TimeMs aNowMs)
{
  const auto found = accounts_.find(aReply.server_);
  if (found == accounts_.end() || !found->second.asking_ ||
      found->second.requestNumber_ != aReply.number_) {
    return;
  }
  found->second.asking_ = false;
  found->second.waiting_.clear();
  std::erase_if(found->second.waitingSinceMs_, [&](const auto& aEntry) {
    return aNowMs - aEntry.second > 2 * kMaxWaitMs;
  });
  leaderSilentUntilMs_ = 0;
  Credit(found->second, aReply, aNowMs);
}

void RequestLimiter::Expire(TimeMs aNowMs)
{
  limits_.Expire(aNowMs);
  const auto isUnlimited = [&](const auto& aEntry) {
    return limits_.Rate(aEntry.first, aNowMs) == ServerLimits::kUnlimited;
  };
  std::erase_if(accounts_, isUnlimited);
  std::erase_if(buckets_, isUnlimited);
}

}
