#include "scheduling/ServerSlots.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr int kMaxSlots = 4096;
/// Slots that were given back within this time may still count in a report.
constexpr TimeMs kReportTravelMs = 100;
constexpr double kOthersWeight = 0.4;
constexpr double kPresentWeight = 0.08;
constexpr double kMinPresentShare = 0.5;
/// Requests that wait at an owner of keys, relative to the share that is on its
/// way: the next one must be there when a slot gets free.
constexpr double kAheadFactor = 4;
constexpr double kOthersHalfLifeMs = 600;
constexpr double kServerSpeedWeight = 0.08;
constexpr double kMinSpeedFactor = 0.1;
constexpr double kMaxSpeedFactor = 10;
/// A server without requests is tried again after about this time, whatever it
/// was like.
constexpr double kSpeedHalfLifeMs = 10000;
/// Hosts that are shared with others keep their speed for about this long.
constexpr double kHostSlownessHalfLifeMs = 250;
constexpr double kHostSlownessWeight = 0.05;
constexpr double kMaxSlowness = 100;
/// Service time of a server that has just started, relative to a warm one.
constexpr double kColdTimeFactor = 2;
constexpr double kServerFailureWeight = 0.15;
constexpr double kServerFailureHalfLifeMs = 2000;
constexpr TimeMs kRejectedBackoffMs = 60;
constexpr TimeMs kUnreachableBackoffMs = 300;
/// All reports in this time must agree that a slot is free. Single ones don't
/// count requests and ends that are on their way.
constexpr TimeMs kConfirmFreeMs = 200;
/// Part of the cold limit that the scheduler uses. While brokers change, two
/// use as much; the rest is for gateways that decide without one.
constexpr double kColdShare = 0.35;
constexpr double kMsPerSecond = 1000;

double Decay(TimeMs aSinceMs, TimeMs aNowMs, double aHalfLifeMs)
{
  const auto ageMs =
    static_cast<double>(std::max<TimeMs>(0, aNowMs - aSinceMs));
  return std::exp2(-ageMs / aHalfLifeMs);
}

}

ServerSlots::ServerSlots(const SlotServer& aServer,
                         ColdLimits aCold,
                         TimeMs aNowMs)
{
  Update(aServer, aCold, aNowMs);
}

void ServerSlots::Update(const SlotServer& aServer,
                         ColdLimits aCold,
                         TimeMs aNowMs)
{
  if (aServer.incarnation_ != server_.incarnation_) {
    failureShare_ = 0;
    noStartUntilMs_ = 0;
    unreachable_ = false;
    others_ = 0;
    presentShare_ = 1;
    slowness_ = meanSlowness_ = 1;
    cold_.reset();
  }
  server_ = aServer;
  server_.slots_ = std::clamp(aServer.slots_, 1, detail::kMaxSlots);
  listed_ = true;
  coldLimits_ = aCold;
  if (!IsColdLimited(aNowMs)) {
    cold_.reset();
  } else if (!cold_) {
    cold_.emplace(aCold, detail::kColdShare, aNowMs);
  }
}

bool ServerSlots::IsColdLimited(TimeMs aNowMs) const
{
  return IsCold(aNowMs) && coldLimits_.perSecond_ > 0;
}

void ServerSlots::Take(TimeMs aNowMs)
{
  ++inUse_;
  if (cold_ && IsColdLimited(aNowMs)) {
    cold_->TryTake(aNowMs);
  }
}

void ServerSlots::Release(TimeMs aNowMs)
{
  recentInUse_ = RecentInUse(aNowMs);
  recentMs_ = aNowMs;
  inUse_ = std::max(0, inUse_ - 1);
}

int ServerSlots::RecentInUse(TimeMs aNowMs) const
{
  return aNowMs - recentMs_ < detail::kReportTravelMs
           ? std::max(inUse_, recentInUse_)
           : inUse_;
}

void ServerSlots::OnServed(TimeMs aNowMs)
{
  failureShare_ = FailureShare(aNowMs) * (1 - detail::kServerFailureWeight);
  failureMs_ = aNowMs;
  unreachable_ = false;
}

void ServerSlots::OnSpeedSample(double aFactor, TimeMs aNowMs)
{
  const double factor =
    std::clamp(aFactor / (IsCold(aNowMs) ? detail::kColdTimeFactor : 1),
               detail::kMinSpeedFactor,
               detail::kMaxSpeedFactor);
  speedFactor_ += (factor - speedFactor_) * detail::kServerSpeedWeight;
  speedMs_ = aNowMs;
}

void ServerSlots::OnRejected(const std::optional<SlotLoad>& aLoad,
                             TimeMs aNowMs)
{
  const bool hasRoom =
    aLoad && aLoad->running_ + aLoad->waiting_ < server_.slots_;
  if (hasRoom) {
    // A faulty server: waiting would not help.
    OnFailed(aNowMs);
    return;
  }
  noStartUntilMs_ =
    std::max(noStartUntilMs_, aNowMs + detail::kRejectedBackoffMs);
  if (!aLoad) {
    // What doesn't come from here must fill the server. The rejected request
    // still holds a slot here, and none at the server.
    others_ = std::max(OtherLoad(aNowMs),
                       static_cast<double>(server_.slots_ - (inUse_ - 1)));
    othersMs_ = aNowMs;
  }
}

void ServerSlots::OnFailed(TimeMs aNowMs)
{
  const double share = FailureShare(aNowMs);
  failureShare_ = share + (1 - share) * detail::kServerFailureWeight;
  failureMs_ = aNowMs;
}

void ServerSlots::OnUnreachable(TimeMs aNowMs)
{
  OnFailed(aNowMs);
  unreachable_ = true;
  noStartUntilMs_ =
    std::max(noStartUntilMs_, aNowMs + detail::kUnreachableBackoffMs);
}

int ServerSlots::OnReport(const SlotLoad& aLoad, int aOtherSlots, TimeMs aNowMs)
{
  if (aLoad.running_ < 0 || aLoad.waiting_ < 0 ||
      aLoad.running_ > detail::kMaxSlots ||
      aLoad.waiting_ > detail::kMaxSlots) {
    return 0;
  }
  if (aLoad.slowness_ > 0 && aLoad.slowness_ <= detail::kMaxSlowness) {
    slowness_ = aLoad.slowness_;
    meanSlowness_ += (slowness_ - meanSlowness_) * detail::kHostSlownessWeight;
    slownessMs_ = aNowMs;
  }
  const int total = aLoad.running_ + aLoad.waiting_;
  if (inUse_ >= server_.slots_) {
    const double present = std::min(1.0, static_cast<double>(total) / inUse_);
    presentShare_ += (present - presentShare_) * detail::kPresentWeight;
  }
  const double others = OtherLoad(aNowMs);
  others_ = others + (std::max(0, total - RecentInUse(aNowMs)) - others) *
                       detail::kOthersWeight;
  othersMs_ = aNowMs;
  const int free = std::max(0, aOtherSlots - total);
  if (free == 0 || unconfirmedFree_ == 0) {
    unconfirmedFree_ = free;
    unconfirmedMs_ = aNowMs;
    return 0;
  }
  unconfirmedFree_ = std::min(unconfirmedFree_, free);
  return aNowMs - unconfirmedMs_ < detail::kConfirmFreeMs
           ? 0
           : std::exchange(unconfirmedFree_, 0);
}

int ServerSlots::Depth() const
{
  return static_cast<int>(std::lround(
    server_.slots_ / std::clamp(presentShare_, detail::kMinPresentShare, 1.0)));
}

int ServerSlots::Room(TimeMs aNowMs) const
{
  return RoomUpTo(Depth(), aNowMs);
}

int ServerSlots::OwnerRoom(TimeMs aNowMs) const
{
  const double ahead =
    std::min(1.0, detail::kAheadFactor * (1 - presentShare_)) * server_.slots_;
  return RoomUpTo(Depth() + static_cast<int>(std::lround(ahead)), aNowMs);
}

int ServerSlots::RoomUpTo(int aDepth, TimeMs aNowMs) const
{
  if (!listed_ || noStartUntilMs_ > aNowMs) {
    return 0;
  }
  if (unreachable_) {
    return inUse_ == 0 ? 1 : 0;
  }
  const int room =
    aDepth - inUse_ - static_cast<int>(std::lround(OtherLoad(aNowMs)));
  if (room > 0 && cold_ && IsColdLimited(aNowMs)) {
    return cold_->WaitMs(aNowMs) > 0 ? 0 : 1;
  }
  return std::max(0, room);
}

double ServerSlots::UsableSlots(TimeMs aNowMs) const
{
  if (!listed_ || unreachable_) {
    return 0;
  }
  return std::max(0.5, static_cast<double>(server_.slots_) - OtherLoad(aNowMs));
}

double ServerSlots::Capacity(double aMeanWorkMs, TimeMs aNowMs) const
{
  const double capacity = UsableSlots(aNowMs) / TimeFactor(aNowMs);
  return IsColdLimited(aNowMs)
           ? std::min(capacity,
                      coldLimits_.perSecond_ * detail::kColdShare *
                        aMeanWorkMs / detail::kMsPerSecond)
           : capacity;
}

double ServerSlots::TimeFactor(TimeMs aNowMs) const
{
  return SpeedFactor(aNowMs) * Slowness(aNowMs);
}

double ServerSlots::SpeedFactor(TimeMs aNowMs) const
{
  const double speed =
    1 + (speedFactor_ - 1) *
          detail::Decay(speedMs_, aNowMs, detail::kSpeedHalfLifeMs);
  return speed * (IsCold(aNowMs) ? detail::kColdTimeFactor : 1);
}

double ServerSlots::Slowness(TimeMs aNowMs) const
{
  return 1 +
         (slowness_ / meanSlowness_ - 1) *
           detail::Decay(slownessMs_, aNowMs, detail::kHostSlownessHalfLifeMs);
}

double ServerSlots::FailureShare(TimeMs aNowMs) const
{
  return failureShare_ *
         detail::Decay(failureMs_, aNowMs, detail::kServerFailureHalfLifeMs);
}

bool ServerSlots::IsReachable(TimeMs aNowMs) const
{
  return listed_ && (!unreachable_ || noStartUntilMs_ <= aNowMs);
}

TimeMs ServerSlots::ColdWaitMs(size_t aAhead, TimeMs aNowMs) const
{
  if (!cold_ || !IsColdLimited(aNowMs)) {
    return 0;
  }
  const auto untilMs = server_.coldUntilMs_ - aNowMs;
  const auto aheadMs = static_cast<double>(aAhead) * detail::kMsPerSecond /
                       (coldLimits_.perSecond_ * detail::kColdShare);
  return std::min(untilMs,
                  cold_->WaitMs(aNowMs) +
                    static_cast<TimeMs>(std::min(aheadMs, 1e9)));
}

double ServerSlots::OtherLoad(TimeMs aNowMs) const
{
  return others_ * detail::Decay(othersMs_, aNowMs, detail::kOthersHalfLifeMs);
}

}
