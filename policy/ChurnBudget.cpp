#include "policy/ChurnBudget.hpp"

#include <functional>
#include <numeric>

namespace cactuspitch {

void ChurnBudget::Record(TimeMs aNowMs, double aShare)
{
  moves_.push_back({ aNowMs, aShare });
}

double ChurnBudget::UsedShare(TimeMs aNowMs)
{
  constexpr TimeMs kWindowMs = 60000;
  while (!moves_.empty() && moves_.front().atMs_ <= aNowMs - kWindowMs) {
    moves_.pop_front();
  }
  return std::transform_reduce(
    moves_.begin(), moves_.end(), 0.0, std::plus<>(), [](const Move& aMove) {
      return aMove.share_;
    });
}

}
