#pragma once

#include "ControlLoop.hpp"
#include "common/BoundedRing.hpp"
#include "common/HttpConnection.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// Sends commands to backend servers over HTTP, several at once, and posts the
/// replies to the control loop. An unresponsive server blocks one worker until
/// the call times out.
class GrantSender
{
public:
  GrantSender(const Clock& aClock, ControlLoop& aControl);
  ~GrantSender();
  GrantSender(const GrantSender&) = delete;
  GrantSender& operator=(const GrantSender&) = delete;

  void Start();
  void Stop();
  void Send(std::string aService, GrantCommand aCommand);
  int64_t Sent() const { return sent_; }
  /// Bytes of all commands and replies, without headers.
  int64_t Bytes() const { return bytes_; }
  int64_t Dropped() const { return dropped_; }

private:
  struct Job
  {
    std::string service_;
    GrantCommand command_;
  };
  using Connection = std::unique_ptr<HttpConnection>;

  void Run();
  void Execute(const Job& aJob);
  absl::StatusOr<HttpResponse> Call(const Job& aJob);
  Connection AcquireConnection(const std::string& aAddress);
  void ReleaseConnection(Connection aConnection);

  const Clock& clock_;
  ControlLoop& control_;
  BoundedRing<Job> ring_;
  std::mutex mutex_;
  std::map<std::string, std::vector<Connection>> idle_;
  std::atomic<int64_t> sent_ = 0;
  std::atomic<int64_t> bytes_ = 0;
  std::atomic<int64_t> dropped_ = 0;
  std::vector<std::thread> workers_;
};

}
