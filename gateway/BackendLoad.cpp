#include "gateway/BackendLoad.hpp"

#include <algorithm>
#include <cmath>

namespace cactuspitch {

namespace detail {

/// Weight of a new sample in the means.
constexpr double kWorkWeight = 0.08;
constexpr double kFailureWeight = 0.15;
constexpr double kOthersWeight = 0.4;
/// Reports of other gateways' requests lose half of their weight in this time.
constexpr double kOthersHalfLifeMs = 600;
/// Shared reports are about as old as this when they arrive.
constexpr TimeMs kOwnReportMs = 300;
constexpr double kFailureHalfLifeMs = 2000;
/// A server that shed a request counts as full for this long.
constexpr TimeMs kShedMs = 60;
/// A server that has just started works about half as fast.
constexpr double kColdFactor = 2;
/// Samples far from the mean are cut, one slow request says little.
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

void BackendLoad::OnAnswered(double aLatencyMs,
                             double aLoadAtSend,
                             TimeMs aNowMs)
{
  failures_ = FailureShare(aNowMs) * (1 - detail::kFailureWeight);
  failureMs_ = aNowMs;
  double sample = aLatencyMs / std::max(1.0, (aLoadAtSend + 1) / slots_);
  if (aNowMs < coldUntilMs_) {
    sample /= detail::kColdFactor;
  }
  if (samples_ >= kMinSamples) {
    sample = std::min(sample, serviceTimeMs_ * detail::kMaxSampleFactor);
    serviceTimeMs_ += (sample - serviceTimeMs_) * detail::kWorkWeight;
  } else {
    serviceTimeMs_ = (serviceTimeMs_ * samples_ + sample) / (samples_ + 1);
  }
  ++samples_;
}

void BackendLoad::OnShed(TimeMs aNowMs)
{
  shedMs_ = aNowMs;
  OnFailed(aNowMs);
}

void BackendLoad::OnFailed(TimeMs aNowMs)
{
  const double share = FailureShare(aNowMs);
  failures_ = share + (1 - share) * detail::kFailureWeight;
  failureMs_ = aNowMs;
}

void BackendLoad::OnReport(const ReportedLoad& aReport, TimeMs aNowMs)
{
  slots_ = std::max(1, aReport.slots_);
  const double others =
    std::max(0, aReport.running_ + aReport.waiting_ - inFlight_);
  others_ += (others - others_) * detail::kOthersWeight;
  reportedTotal_ = aReport.running_ + aReport.waiting_;
  reportedMs_ = aNowMs;
}

void BackendLoad::OnSharedReport(double aLoad, double aWorkMs, TimeMs aNowMs)
{
  if (aWorkMs > 0) {
    sharedWorkMs_ = aWorkMs;
  }
  // An own report that is as new is exact about the own share.
  if (aNowMs - reportedMs_ < detail::kOwnReportMs) {
    return;
  }
  others_ = std::max(0.0, aLoad - inFlight_);
  reportedMs_ = aNowMs;
}

double BackendLoad::Load(TimeMs aNowMs) const
{
  const double ageMs = static_cast<double>(aNowMs - reportedMs_);
  const double others = others_ * std::exp2(-ageMs / detail::kOthersHalfLifeMs);
  const double load = inFlight_ + others;
  if (shedMs_ != 0 && aNowMs - shedMs_ < detail::kShedMs) {
    return std::max(load, static_cast<double>(slots_) * 2);
  }
  return load;
}

double BackendLoad::ServiceTimeMs(TimeMs aNowMs) const
{
  const double sharedMs = sharedWorkMs_ > 0 ? sharedWorkMs_ : defaultWorkMs_;
  const double workMs = IsMeasured() ? serviceTimeMs_ : sharedMs;
  return aNowMs < coldUntilMs_ ? workMs * detail::kColdFactor : workMs;
}

double BackendLoad::ExpectedMs(TimeMs aNowMs) const
{
  return ServiceTimeMs(aNowMs) * std::max(1.0, (Load(aNowMs) + 1) / slots_);
}

double BackendLoad::FailureShare(TimeMs aNowMs) const
{
  const double ageMs = static_cast<double>(aNowMs - failureMs_);
  return failures_ * std::exp2(-ageMs / detail::kFailureHalfLifeMs);
}

}
