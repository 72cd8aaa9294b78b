#include "scheduling/WorkEstimate.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

constexpr double kRouteWeight = 0.03;
constexpr double kAllRoutesWeight = 0.01;
/// Cap of a sample relative to the mean.
constexpr double kMaxWorkFactor = 4;
constexpr int kMinWorkSamples = 8;
/// Routes beyond this many use the mean of all routes.
constexpr size_t kMaxRoutes = 256;

}

void WorkEstimate::Mean::Add(double aMs, double aWeight)
{
  ms_ += (aMs - ms_) * std::max(aWeight, 1.0 / (samples_ + 1));
  samples_ = std::min(samples_ + 1, 1 << 20);
}

double WorkEstimate::WorkMs(uint32_t aRoute) const
{
  const auto found = routes_.find(aRoute);
  return found == routes_.end() ? all_.ms_ : found->second.ms_;
}

double WorkEstimate::Add(uint32_t aRoute, double aWorkMs)
{
  auto route = routes_.find(aRoute);
  if (route == routes_.end() && routes_.size() < detail::kMaxRoutes) {
    route = routes_.try_emplace(aRoute).first;
  }
  Mean& mean = route == routes_.end() ? all_ : route->second;
  const double workMs = mean.samples_ >= detail::kMinWorkSamples
                          ? std::min(aWorkMs, mean.ms_ * detail::kMaxWorkFactor)
                          : aWorkMs;
  all_.Add(workMs, detail::kAllRoutesWeight);
  if (route != routes_.end()) {
    mean.Add(workMs, detail::kRouteWeight);
  }
  return workMs;
}

}
