#include "LoadSchedule.hpp"

namespace cactuspitch {

namespace detail {

constexpr int64_t kUsPerMs = 1000;
constexpr double kUsPerSecond = 1e6;

}

LoadSchedule::LoadSchedule(const LoadOptions& aOptions, int64_t aStartUs)
  : options_(aOptions)
  , keyDistribution_(aOptions.keys_, aOptions.zipfExponent_)
  , startUs_(aStartUs)
  , endUs_(aStartUs + aOptions.durationMs_ * detail::kUsPerMs)
  , randomEngine_(aOptions.seed_)
{
}

ScheduledRequest LoadSchedule::MakeRequest(int64_t aDueUs)
{
  constexpr int kPercent = 100;
  const auto hotSetNumber =
    options_.hotSetChangeMs_ > 0
      ? (aDueUs - startUs_) / (options_.hotSetChangeMs_ * detail::kUsPerMs)
      : 0;
  ScheduledRequest request;
  request.number_ = requestCount_++;
  request.intendedUs_ = aDueUs;
  request.dueUs_ = aDueUs;
  request.isPost_ =
    static_cast<int>(randomEngine_() % kPercent) < options_.postPercent_;
  request.service_ = randomEngine_() % options_.services_.size();
  request.key_ = keyDistribution_.SampleIndex(
    randomEngine_, static_cast<uint64_t>(hotSetNumber));
  return request;
}

std::optional<ScheduledRequest> LoadSchedule::Next(int64_t aNowUs)
{
  if (options_.stop_ && *options_.stop_) {
    return std::nullopt;
  }
  const std::lock_guard lock(mutex_);
  const int64_t due =
    options_.rate_ > 0
      ? startUs_ + static_cast<int64_t>(static_cast<double>(requestCount_) /
                                        options_.rate_ * detail::kUsPerSecond)
      : aNowUs;
  if (!retries_.empty() && (due >= endUs_ || retries_.top().dueUs_ <= due)) {
    auto request = retries_.top();
    retries_.pop();
    return request;
  }
  if (due >= endUs_) {
    return std::nullopt;
  }
  return MakeRequest(due);
}

bool LoadSchedule::ScheduleRetry(ScheduledRequest aScheduled,
                                 int64_t aNowUs,
                                 int64_t aDelayUs)
{
  if (aScheduled.attempt_ >= options_.maxAttempts_) {
    return false;
  }
  ++aScheduled.attempt_;
  aScheduled.dueUs_ = aNowUs + aDelayUs;
  const std::lock_guard lock(mutex_);
  retries_.push(aScheduled);
  return true;
}

}
