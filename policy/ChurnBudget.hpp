#pragma once

#include "common/Types.hpp"

#include <deque>

namespace cactuspitch {

/// Sums the load moved within the last minute, as a share of the total load.
class ChurnBudget
{
public:
  void Record(TimeMs aNowMs, double aShare);
  double UsedShare(TimeMs aNowMs);

private:
  struct Move
  {
    TimeMs atMs_ = 0;
    double share_ = 0;
  };
  std::deque<Move> moves_;
};

}
