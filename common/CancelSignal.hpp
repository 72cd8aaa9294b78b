#pragma once

namespace cactuspitch {

/// Cancels the I/O calls of a DeadlineSocket from any thread.
class CancelSignal
{
public:
  CancelSignal();
  ~CancelSignal();
  CancelSignal(const CancelSignal&) = delete;
  CancelSignal& operator=(const CancelSignal&) = delete;

  void Cancel();
  /// Clears the signal for reuse.
  void Reset();
  bool IsCancelled() const;
  /// Descriptor for poll(); readable after Cancel() until Reset().
  int FileDescriptor() const { return fd_; }

private:
  int fd_;
};

}
