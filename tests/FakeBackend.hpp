#pragma once

#include "ReservedPort.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// In-process backend server on raw sockets, so that a test decides on every
/// byte of an answer and on how the connection ends.
class FakeBackend
{
public:
  enum class AfterResponse : uint8_t
  {
    Keep,
    Close,
    Reset,
    Hang ///< keeps the connection open and sends nothing more
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
  /// Closes the listening socket and all connections, as a crash does.
  void Crash();
  void Restart(const std::string& aIncarnation);
  /// Requests other than those to the server's own endpoints.
  std::vector<Request> Requests() const;
  std::vector<std::string> Cancelled() const;
  int Connections() const { return connections_; }
  void SetClockMs(int64_t aMs) { clockMs_ = aMs; }

  /// Whole answer with the headers of every backend server answer.
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
