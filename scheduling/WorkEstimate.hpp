#pragma once

#include <cstdint>
#include <unordered_map>

namespace cactuspitch {

/// Mean work of the requests of each route, in ms on a server of average speed.
/// Does no I/O.
class WorkEstimate
{
public:
  /// Mean work of the route; that of all routes until it is measured.
  double WorkMs(uint32_t aRoute) const;
  double MeanMs() const { return all_.ms_; }
  /// A request of the route took this much work. Returns the work that counts:
  /// outliers are cut, because a single long request says little.
  double Add(uint32_t aRoute, double aWorkMs);

private:
  struct Mean
  {
    double ms_ = 0;
    int samples_ = 0;
    void Add(double aMs, double aWeight);
  };

  std::unordered_map<uint32_t, Mean> routes_;
  Mean all_{ 100, 0 };
};

}
