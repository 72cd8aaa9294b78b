#pragma once

#include "common/BoundedRing.hpp"
#include "common/Clock.hpp"
#include "common/HttpConnection.hpp"

#include <atomic>
#include <string>
#include <thread>

namespace cactuspitch {

/// Tells backend servers on a thread of its own that nobody waits for the
/// answer of a request any more. Best effort: a full ring drops the message.
class CancellationSender
{
public:
  explicit CancellationSender(const Clock& aClock);
  ~CancellationSender();
  CancellationSender(const CancellationSender&) = delete;
  CancellationSender& operator=(const CancellationSender&) = delete;

  void Cancel(const std::string& aAddress, const std::string& aRequestId);
  void Stop();
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
