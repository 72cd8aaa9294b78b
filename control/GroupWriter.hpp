#pragma once

#include "control/Messages.hpp"
#include "control/Timing.hpp"

#include <optional>

namespace cactuspitch {

/// One conditional update of the group object at a time, followed until it is
/// known whether it took effect.
class GroupWriter
{
public:
  explicit GroupWriter(std::string aWriter)
    : writer_(std::move(aWriter))
  {
  }

  /// aObject receives the writer and a new change number.
  void Begin(TimeMs aNowMs,
             int64_t aExpectedVersion,
             GroupObject aObject,
             Actions& aActions);
  void OnResult(TimeMs aNowMs, WriteResult aResult, Actions& aActions);
  /// The object as read from the store. True: this write took effect.
  bool IsOwn(const GroupObject& aObject) const;
  /// aVersion was read while the write was uncertain and is not this write: a
  /// newer one refutes it, the same one leads to another attempt.
  void OnOtherVersion(TimeMs aNowMs, int64_t aVersion, Actions& aActions);
  /// Reads or sends again after a time when no result came.
  void Step(TimeMs aNowMs, Actions& aActions);
  void Finish() { pending_.reset(); }

  bool IsPending() const { return pending_.has_value(); }
  const WriteGroup& Pending() const { return *pending_; }
  TimeMs StartedMs() const { return startedMs_; }
  const std::string& Writer() const { return writer_; }
  /// The last write was certainly not applied by the store.
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
