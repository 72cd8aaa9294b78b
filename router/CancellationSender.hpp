#pragma once

#include "common/BoundedRing.hpp"
#include "common/Clock.hpp"
#include "common/HttpConnection.hpp"

#include <atomic>
#include <string>
#include <thread>

namespace cactuspitch {

/// Notifies backend servers that the response to a request is no longer
/// needed. A background thread sends the notifications. Best effort: when the
/// queue is full, the notification is dropped.
class CancellationSender
{
public:
  explicit CancellationSender(const Clock& aClock);
  ~CancellationSender();
  CancellationSender(const CancellationSender&) = delete;
  CancellationSender& operator=(const CancellationSender&) = delete;

  void Cancel(const std::string& aAddress, const std::string& aRequestId);
  void Stop();
  /// Number of cancellations that a backend server responded to.
  int64_t Sent() const { return sent_.load(std::memory_order_relaxed); }

private:
  struct Message
  {
    std::string address_;
    std::string requestId_;
  };

  void Run();

  const Clock& clock_;
  BoundedRing<Message> messages_;
  std::atomic<int64_t> sent_ = 0;
  std::thread thread_;
};

}
