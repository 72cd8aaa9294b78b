#include "LoadSchedule.hpp"

namespace cactuspitch {

namespace detail {

constexpr int64_t kUsPerMs = 1000;
constexpr double kUsPerSecond = 1e6;

}

LoadSchedule::LoadSchedule(const LoadOptions& aOptions, int64_t aStartUs)
  : options_(aOptions)
  , popularity_(aOptions.keys_, aOptions.zipfExponent_)
  , startUs_(aStartUs)
  , endUs_(aStartUs + aOptions.durationMs_ * detail::kUsPerMs)
  , random_(aOptions.seed_)
{
}

LoadJob LoadSchedule::Draw(int64_t aDueUs)
{
  constexpr int kPercent = 100;
  const auto shift =
    options_.hotSetChangeMs_ > 0
      ? (aDueUs - startUs_) / (options_.hotSetChangeMs_ * detail::kUsPerMs)
      : 0;
  LoadJob job;
  job.number_ = count_++;
  job.intendedUs_ = aDueUs;
  job.dueUs_ = aDueUs;
  job.isPost_ = static_cast<int>(random_() % kPercent) < options_.postPercent_;
  job.service_ = random_() % options_.services_.size();
  job.key_ = popularity_.Draw(random_, static_cast<uint64_t>(shift));
  return job;
}

std::optional<LoadJob> LoadSchedule::Next(int64_t aNowUs)
{
  if (options_.stop_ && *options_.stop_) {
    return std::nullopt;
  }
  const std::lock_guard lock(mutex_);
  const int64_t due =
    options_.rate_ > 0
      ? startUs_ + static_cast<int64_t>(static_cast<double>(count_) /
                                        options_.rate_ * detail::kUsPerSecond)
      : aNowUs;
  if (!repeats_.empty() && (due >= endUs_ || repeats_.top().dueUs_ <= due)) {
    auto job = repeats_.top();
    repeats_.pop();
    return job;
  }
  if (due >= endUs_) {
    return std::nullopt;
  }
  return Draw(due);
}

bool LoadSchedule::Repeat(LoadJob aJob, int64_t aNowUs, int64_t aDelayUs)
{
  if (aJob.send_ >= options_.maxSends_) {
    return false;
  }
  ++aJob.send_;
  aJob.dueUs_ = aNowUs + aDelayUs;
  const std::lock_guard lock(mutex_);
  repeats_.push(aJob);
  return true;
}

}
