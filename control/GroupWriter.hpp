#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <optional>

namespace cactuspitch {

/// Runs one conditional update of the group object at a time, and follows it
/// until it is known whether the update took effect.
class GroupWriter
{
public:
  explicit GroupWriter(std::string aWriter)
    : writer_(std::move(aWriter))
  {
  }

  /// Sets the writer and a new change number in aObject.
  void Begin(TimeMs aNowMs,
             int64_t aExpectedVersion,
             GroupObject aObject,
             Actions& aActions);
  void OnResult(TimeMs aNowMs, WriteResult aResult, Actions& aActions);
  /// True when aObject, as read from the store, is the result of the pending
  /// write.
  bool IsOwn(const GroupObject& aObject) const;
  /// Call when the store holds aVersion and that version is not the pending
  /// write. A newer version shows that the write failed; the expected version
  /// leads to another attempt.
  void OnOtherVersion(TimeMs aNowMs, int64_t aVersion, Actions& aActions);
  /// Reads the object again when a result is overdue.
  void Step(TimeMs aNowMs, Actions& aActions);
  void Finish() { pending_.reset(); }

  bool IsPending() const { return pending_.has_value(); }
  const WriteGroup& Pending() const { return *pending_; }
  TimeMs StartedMs() const { return startedMs_; }
  const std::string& Writer() const { return writer_; }
  /// True when the store has certainly not applied the last write.
  bool WasNotSent() const { return notSent_; }

private:
  std::string writer_;
  std::optional<WriteGroup> pending_;
  TimeMs startedMs_ = 0;
  TimeMs lastAttemptMs_ = 0;
  int64_t change_ = 0;
  bool uncertain_ = false;
  bool notSent_ = false;
};

}
