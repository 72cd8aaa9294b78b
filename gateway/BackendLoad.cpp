#include "gateway/BackendLoad.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace detail {

/// Weights of a new sample in the moving averages.
constexpr double kServiceTimeWeight = 0.08;
constexpr double kFailureWeight = 0.15;
constexpr double kOtherGatewaysWeight = 0.4;
/// Half-life of the estimated load from other gateways.
constexpr double kOtherGatewaysHalfLifeMs = 600;
/// Shared reports are about this old when they arrive, so a report to this
/// gateway takes precedence for this time.
constexpr TimeMs kOwnReportValidMs = 300;
constexpr double kFailureHalfLifeMs = 2000;
/// Hosts that are shared with others keep their speed for about this long.
constexpr double kSlownessHalfLifeMs = 250;
constexpr double kMeanSlownessWeight = 0.05;
/// A server that shed a request counts as full for this time.
constexpr TimeMs kShedBackoffMs = 60;
/// Service time of a server that has just started, relative to a warm one.
constexpr double kColdFactor = 2;
/// Cap of a sample relative to the mean, because a single slow request says
/// little.
constexpr double kMaxSampleFactor = 3;

}

BackendLoad::BackendLoad(int aSlots)
  : slots_(std::max(1, aSlots))
{
}

void BackendLoad::SetSlots(int aSlots)
{
  slots_ = std::max(1, aSlots);
}

void BackendLoad::OnSent()
{
  ++inFlight_;
}

void BackendLoad::OnEnded()
{
  inFlight_ = std::max(0, inFlight_ - 1);
}

void BackendLoad::OnResponse(double aLatencyMs,
                             double aLoadAtSend,
                             TimeMs aNowMs)
{
  failureShare_ = FailureShare(aNowMs) * (1 - detail::kFailureWeight);
  failureShareMs_ = aNowMs;
  double sample = aLatencyMs / std::max(1.0, (aLoadAtSend + 1) / slots_);
  if (aNowMs < coldUntilMs_) {
    sample /= detail::kColdFactor;
  }
  if (sampleCount_ >= kMinSamples) {
    sample = std::min(sample, serviceTimeMs_ * detail::kMaxSampleFactor);
    serviceTimeMs_ += (sample - serviceTimeMs_) * detail::kServiceTimeWeight;
  } else {
    serviceTimeMs_ =
      (serviceTimeMs_ * sampleCount_ + sample) / (sampleCount_ + 1);
  }
  ++sampleCount_;
}

void BackendLoad::OnShed(TimeMs aNowMs)
{
  lastShedMs_ = aNowMs;
  OnFailed(aNowMs);
}

void BackendLoad::OnFailed(TimeMs aNowMs)
{
  const double share = FailureShare(aNowMs);
  failureShare_ = share + (1 - share) * detail::kFailureWeight;
  failureShareMs_ = aNowMs;
}

void BackendLoad::OnReport(const ReportedLoad& aReport, TimeMs aNowMs)
{
  slots_ = std::max(1, aReport.slots_);
  const double otherGateways =
    std::max(0, aReport.running_ + aReport.waiting_ - inFlight_);
  otherGatewaysLoad_ +=
    (otherGateways - otherGatewaysLoad_) * detail::kOtherGatewaysWeight;
  reportedTotal_ = aReport.running_ + aReport.waiting_;
  reportedMs_ = aNowMs;
  if (aReport.slowness_) {
    slowness_ = *aReport.slowness_;
    meanSlowness_ += (slowness_ - meanSlowness_) * detail::kMeanSlownessWeight;
    slownessMs_ = aNowMs;
  }
}

void BackendLoad::OnSharedReport(double aLoad,
                                 double aServiceTimeMs,
                                 TimeMs aNowMs)
{
  if (aServiceTimeMs > 0) {
    sharedServiceTimeMs_ = aServiceTimeMs;
  }
  // A report to this gateway of similar age is more accurate: this gateway's
  // own requests are subtracted exactly.
  if (aNowMs - reportedMs_ < detail::kOwnReportValidMs) {
    return;
  }
  otherGatewaysLoad_ = std::max(0.0, aLoad - inFlight_);
  reportedMs_ = aNowMs;
}

double BackendLoad::Load(TimeMs aNowMs) const
{
  const double ageMs = static_cast<double>(aNowMs - reportedMs_);
  const double otherGateways =
    otherGatewaysLoad_ * std::exp2(-ageMs / detail::kOtherGatewaysHalfLifeMs);
  const double load = inFlight_ + otherGateways;
  if (lastShedMs_ != 0 && aNowMs - lastShedMs_ < detail::kShedBackoffMs) {
    return std::max(load, static_cast<double>(slots_) * 2);
  }
  return load;
}

double BackendLoad::RelativeSlowness(TimeMs aNowMs) const
{
  const double ageMs = static_cast<double>(aNowMs - slownessMs_);
  return 1 + (slowness_ / meanSlowness_ - 1) *
               std::exp2(-ageMs / detail::kSlownessHalfLifeMs);
}

double BackendLoad::ServiceTimeMs(TimeMs aNowMs) const
{
  const double sharedMs =
    sharedServiceTimeMs_ > 0 ? sharedServiceTimeMs_ : defaultServiceTimeMs_;
  const double workMs =
    (IsMeasured() ? serviceTimeMs_ : sharedMs) * RelativeSlowness(aNowMs);
  return aNowMs < coldUntilMs_ ? workMs * detail::kColdFactor : workMs;
}

double BackendLoad::ExpectedMs(TimeMs aNowMs) const
{
  return ServiceTimeMs(aNowMs) * std::max(1.0, (Load(aNowMs) + 1) / slots_);
}

double BackendLoad::FailureShare(TimeMs aNowMs) const
{
  const double ageMs = static_cast<double>(aNowMs - failureShareMs_);
  return failureShare_ * std::exp2(-ageMs / detail::kFailureHalfLifeMs);
}

}
