#include "GroupWriter.hpp"

namespace cactuspitch {

namespace detail {
/// Interval between reads that resolve a write with an unknown result.
constexpr TimeMs kResolveIntervalMs = 100;
/// A write without a result for this long is treated as uncertain.
constexpr TimeMs kWriteTimeoutMs = 2000;
}

void GroupWriter::Begin(TimeMs aNowMs,
                        int64_t aExpectedVersion,
                        GroupObject aObject,
                        Actions& aActions)
{
  aObject.writer_ = writer_;
  aObject.change_ = ++change_;
  pending_ = { aExpectedVersion, std::move(aObject) };
  startedMs_ = lastAttemptMs_ = aNowMs;
  uncertain_ = notSent_ = false;
  aActions.emplace_back(*pending_);
}

void GroupWriter::OnResult(TimeMs aNowMs,
                           WriteResult aResult,
                           Actions& aActions)
{
  if (!pending_) {
    return;
  }
  if (aResult == WriteResult::NotSent && !uncertain_) {
    pending_.reset();
    notSent_ = true;
    return;
  }
  // A conflict may be caused by an earlier attempt of the same write.
  uncertain_ = true;
  lastAttemptMs_ = aNowMs;
  aActions.emplace_back(ReadGroup());
}

bool GroupWriter::IsOwn(const GroupObject& aObject) const
{
  return pending_ && aObject.writer_ == writer_ &&
         aObject.change_ == pending_->object_.change_;
}

void GroupWriter::OnOtherVersion(TimeMs aNowMs,
                                 int64_t aVersion,
                                 Actions& aActions)
{
  if (!pending_) {
    return;
  }
  if (aVersion > pending_->expectedVersion_) {
    pending_.reset();
    return;
  }
  // The first attempt may still arrive. Sending it again is safe, because the
  // same conditional update cannot take effect twice.
  if (uncertain_ && aVersion == pending_->expectedVersion_) {
    uncertain_ = true;
    lastAttemptMs_ = aNowMs;
    aActions.emplace_back(*pending_);
  }
}

void GroupWriter::Step(TimeMs aNowMs, Actions& aActions)
{
  if (!pending_) {
    return;
  }
  const auto waited = aNowMs - lastAttemptMs_;
  if (waited <
      (uncertain_ ? detail::kResolveIntervalMs : detail::kWriteTimeoutMs)) {
    return;
  }
  uncertain_ = true;
  lastAttemptMs_ = aNowMs;
  aActions.emplace_back(ReadGroup());
}

}
