#pragma once

#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// HTTP server on the event loop of the test. The script of a test decides what
/// is written for each request, and whether the connection ends.
class ScriptedServer
{
public:
  struct Exchange
  {
    ScriptedServer* server_ = nullptr;
    HttpHead head_;
    std::string body_;
    std::function<void(std::string_view)> write_;
    std::function<void()> close_;
    std::function<void()> reset_;
    int requestsBefore_ = 0; ///< on this connection
  };
  using Script = std::function<void(Exchange&)>;

  ScriptedServer(EventLoop& aLoop, Script aScript);
  ~ScriptedServer();
  Endpoint Address() const { return address_; }
  /// Resets each new connection, as a server with too many connections does.
  void SetFull(bool aFull) { full_ = aFull; }
  /// Resets all connections and refuses new ones, as when a process crashes.
  void Crash();
  /// Listens again at the same address.
  void Restart();
  int Accepted() const { return accepted_; }
  int Requests() const { return requests_; }
  /// Number of connections that their client has closed.
  int ClosedByClient() const { return closedByClient_; }

private:
  class Connection;

  EventLoop& loop_;
  Script script_;
  TcpListener listener_;
  Endpoint address_;
  int requests_ = 0;
  int closedByClient_ = 0;
  int accepted_ = 0;
  bool full_ = false;
  std::vector<std::shared_ptr<Connection>> connections_;
};

/// Returns an HTTP response with this status and body.
std::string TextResponse(int aStatus, std::string_view aBody);

void RunLoopFor(EventLoop& aLoop, TimeMs aMs);
/// Runs the loop until aDone returns true. Returns false after 5 s.
bool RunLoopUntil(EventLoop& aLoop, const std::function<bool()>& aDone);

/// Returns a loopback address that stays reserved until the test program ends.
Endpoint FreeEndpoint();

}
