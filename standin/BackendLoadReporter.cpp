#include "BackendLoadReporter.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kSampleRetentionMs = 60000;

}

void BackendLoadReporter::Configure(const nlohmann::json& aDocument)
{
  const std::lock_guard lock(mutex_);
  lagMs_ = aDocument.value("lagMs", lagMs_);
  if (aDocument.contains("lie")) {
    overrides_ = aDocument["lie"];
  }
}

void BackendLoadReporter::Add(const Sample& aSample)
{
  const std::lock_guard lock(mutex_);
  samples_.push_back(aSample);
  while (samples_.front().timeMs_ <
         aSample.timeMs_ - detail::kSampleRetentionMs) {
    samples_.pop_front();
  }
}

void BackendLoadReporter::AddStatus(nlohmann::json& aStatus,
                                    TimeMs aNowMs) const
{
  const std::lock_guard lock(mutex_);
  const auto later =
    std::ranges::upper_bound(samples_, aNowMs - lagMs_, {}, &Sample::timeMs_);
  const Sample sample =
    later == samples_.begin() ? Sample{} : *std::prev(later);
  aStatus["inFlight"] = sample.inFlight_;
  aStatus["load"] = sample.load_;
  if (overrides_.is_object()) {
    aStatus.update(overrides_);
  }
}

}
