#pragma once

#include "ReservedPort.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// In-process backend server on raw sockets. The test controls every byte of a
/// response and how the connection ends.
class FakeBackend
{
public:
  /// What happens to the connection after the response was sent.
  enum class AfterResponse : uint8_t
  {
    Keep,
    Close,
    Reset,
    Hang ///< keeps the connection open without sending anything
  };
  struct Response
  {
    std::string bytes_;
    AfterResponse afterResponse_ = AfterResponse::Keep;
    int delayMs_ = 0;
  };
  struct Request
  {
    std::string head_; ///< request line and headers
    std::string body_;
    std::string Path() const;
    std::string Header(const std::string& aName) const;
  };
  using Script = std::function<Response(const Request&)>;

  explicit FakeBackend(Script aScript);
  ~FakeBackend();
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;

  std::string Address() const { return port_.Address(); }
  /// Closes the listening socket and all connections, like a crash.
  void Crash();
  /// Crashes and listens again as another incarnation.
  void Restart(const std::string& aIncarnation);
  /// Received requests, except health requests and cancellations.
  std::vector<Request> Requests() const;
  /// Request ids of the received cancellations.
  std::vector<std::string> Cancelled() const;
  /// Number of connections accepted so far.
  int Connections() const { return connections_; }
  void SetClockMs(int64_t aMs) { clockMs_ = aMs; }

  /// Complete response with the headers that all backend servers send.
  Response Ok(const std::string& aBody,
              const std::string& aHeaders = {},
              int aStatus = 200) const;
  Response NotRun(const std::string& aReason) const;

private:
  void Listen();
  void Accept(int aListener);
  void Serve(int aSocket);
  Response Respond(const Request& aRequest);
  static bool ReadRequest(int aSocket, std::string& aBuffer, Request& aRequest);

  ReservedPort port_;
  Script script_;
  mutable std::mutex mutex_;
  std::string incarnation_ = "one";
  std::atomic<int64_t> clockMs_ = 1000;
  std::atomic<int> connections_ = 0;
  std::vector<Request> requests_;
  std::vector<std::string> cancelled_;
  std::vector<int> sockets_;
  std::vector<std::thread> acceptors_;
  std::vector<std::thread> threads_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
};

}
