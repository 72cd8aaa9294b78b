#include "gateway/LimitGossip.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace detail {

/// Limits in each datagram: about half a kilobyte.
constexpr size_t kMaxLimitNotices = 24;
/// Bounds of numbers in datagrams; others are dropped.
constexpr double kMaxLimitPerSecond = 1e9;
constexpr int32_t kMaxPermits = 1000;
constexpr int32_t kMaxPermitWaitMs = 3600000;

bool IsValid(const wire::ServerLimit& aLimit)
{
  return std::isfinite(aLimit.perSecond) && aLimit.perSecond > 0 &&
         aLimit.perSecond <= kMaxLimitPerSecond && aLimit.ageMs >= 0;
}

bool IsValid(const wire::PermitReply& aReply)
{
  return aReply.granted >= 0 && aReply.granted <= kMaxPermits &&
         aReply.waitMs >= 0 && aReply.waitMs <= kMaxPermitWaitMs;
}

}

LimitGossip::LimitGossip(EventLoop& aLoop,
                         EventLog& aLog,
                         GatewayMetrics& aMetrics,
                         RequestLimiter& aLimiter,
                         const BackendPool& aPool)
  : loop_(aLoop)
  , log_(aLog)
  , metrics_(aMetrics)
  , limiter_(aLimiter)
  , pool_(aPool)
{
}

void LimitGossip::AddNotices(wire::Gossip& aGossip)
{
  const TimeMs nowMs = loop_.NowMs();
  const auto notices = limiter_.TakeNotices(detail::kMaxLimitNotices, nowMs);
  std::ranges::transform(notices,
                         std::back_inserter(aGossip.limits),
                         [&](const LimitNotice& aNotice) {
                           wire::ServerLimit limit;
                           limit.server = static_cast<int32_t>(aNotice.server_);
                           limit.perSecond = aNotice.perSecond_;
                           limit.ended = aNotice.ended_;
                           limit.ageMs =
                             static_cast<int32_t>(std::clamp<TimeMs>(
                               nowMs - aNotice.shownMs_, 0, INT32_MAX));
                           return limit;
                         });
}

bool LimitGossip::AddRequests(wire::Gossip& aGossip)
{
  const auto requests = limiter_.TakeRequests();
  std::ranges::transform(requests,
                         std::back_inserter(aGossip.permitRequests),
                         [](const PermitRequest& aRequest) {
                           wire::PermitRequest request;
                           request.server =
                             static_cast<int32_t>(aRequest.server_);
                           request.number = aRequest.number_;
                           request.count = aRequest.count_;
                           return request;
                         });
  return !requests.empty();
}

bool LimitGossip::AddReplies(const wire::Gossip& aRequests,
                             wire::Gossip& aReplies)
{
  if (aRequests.permitRequests.empty() || !limiter_.IsIssuer()) {
    return false;
  }
  std::ranges::transform(aRequests.permitRequests,
                         std::back_inserter(aReplies.permitReplies),
                         [&](const wire::PermitRequest& aRequest) {
                           const auto issued = limiter_.Issue(
                             { static_cast<uint32_t>(aRequest.server),
                               aRequest.number,
                               aRequest.count },
                             loop_.NowMs());
                           wire::PermitReply reply;
                           reply.server = aRequest.server;
                           reply.number = aRequest.number;
                           reply.granted = issued.granted_;
                           reply.waitMs = static_cast<int32_t>(issued.waitMs_);
                           return reply;
                         });
  return true;
}

bool LimitGossip::ApplyNotices(const wire::Gossip& aGossip)
{
  const TimeMs nowMs = loop_.NowMs();
  bool changed = false;
  for (const auto& limit : aGossip.limits) {
    if (!detail::IsValid(limit)) {
      continue;
    }
    const auto server = static_cast<uint32_t>(limit.server);
    const auto change = limiter_.Merge(
      { server, limit.perSecond, limit.ended, nowMs - limit.ageMs }, nowMs);
    if (change != LimitChange::None) {
      changed = true;
      Report(server, change, aGossip.instance);
    }
  }
  return changed;
}

bool LimitGossip::ApplyReplies(const wire::Gossip& aGossip)
{
  for (const auto& reply : aGossip.permitReplies) {
    if (detail::IsValid(reply)) {
      limiter_.OnReply({ static_cast<uint32_t>(reply.server),
                         reply.number,
                         reply.granted,
                         reply.waitMs },
                       loop_.NowMs());
    }
  }
  return !aGossip.permitReplies.empty();
}

void LimitGossip::Report(uint32_t aIncarnation,
                         LimitChange aChange,
                         std::string_view aSource)
{
  const auto backend = pool_.FindIncarnation(aIncarnation);
  const auto notice = limiter_.Limits().Find(aIncarnation);
  if (backend == nullptr || !notice) {
    return;
  }
  const TimeMs nowMs = loop_.NowMs();
  const auto& id = backend->entry_.id_;
  const double share = limiter_.EqualShare(aIncarnation, nowMs);
  metrics_.OnServerNotice(EnumName(aChange), id);
  metrics_.SetLimit(
    id, notice->ended_ ? 0 : notice->perSecond_, notice->ended_ ? 0 : share);
  log_.Write(LogLevel::Info,
             "backend-limit-named",
             { { "backend", id },
               { "service", backend->entry_.service_ },
               { "per_second", notice->ended_ ? 0 : notice->perSecond_ },
               { "change", EnumName(aChange) },
               { "source", aSource },
               { "age_ms", nowMs - notice->shownMs_ },
               { "share", share },
               { "in_flight", backend->busy_.size() } });
}

}
