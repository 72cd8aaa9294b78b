#include "BackendLoad.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kKeptSamplesMs = 60000;

}

void BackendLoad::Configure(const nlohmann::json& aDocument)
{
  const std::lock_guard lock(mutex_);
  lagMs_ = aDocument.value("lagMs", lagMs_);
  if (aDocument.contains("lie")) {
    lie_ = aDocument["lie"];
  }
}

void BackendLoad::Add(const Sample& aSample)
{
  const std::lock_guard lock(mutex_);
  samples_.push_back(aSample);
  while (samples_.front().timeMs_ < aSample.timeMs_ - detail::kKeptSamplesMs) {
    samples_.pop_front();
  }
}

void BackendLoad::Describe(nlohmann::json& aAnswer, TimeMs aNowMs) const
{
  const std::lock_guard lock(mutex_);
  const auto later =
    std::ranges::upper_bound(samples_, aNowMs - lagMs_, {}, &Sample::timeMs_);
  const Sample sample =
    later == samples_.begin() ? Sample{} : *std::prev(later);
  aAnswer["inFlight"] = sample.inFlight_;
  aAnswer["load"] = sample.load_;
  if (lie_.is_object()) {
    aAnswer.update(lie_);
  }
}

}
