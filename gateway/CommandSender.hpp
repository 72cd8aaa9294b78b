#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/PlatformInterface.hpp"
#include "keyspace/KeyOwnership.hpp"
#include "net/HttpClient.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cactuspitch {

/// Sends the leader's commands to backend servers, a few at a time per server.
class CommandSender
{
public:
  /// Incarnation of a server and what its response says about the server.
  struct Notice
  {
    std::string backend_;
    int64_t startTimeMs_ = 0;
    TimeMs sentMs_ = 0; ///< when the command was sent
    bool leaving_ = false;
    std::optional<double> requestLimit_;
    /// Size of a handover token that was ignored.
    std::optional<size_t> malformedHandoverBytes_;
  };
  using NoticeCallback = std::function<void(const Notice& aNotice)>;

  struct Handlers
  {
    /// Whether all commands may be sent or only renewals on connections that
    /// are open. All requires a confirmation of the leader lease that was
    /// requested at aSinceMs or later.
    std::function<GrantScope(TimeMs aSinceMs)> grantScope_;
    /// Requests such a confirmation.
    std::function<void(TimeMs aSinceMs)> requireConfirmation_;
    /// Called once for each command, unless Reset drops it.
    std::function<void(const KeyCommand&, const CommandResponse&)> onDone_;
    /// A response announced that the server shuts down, named a limit, or had
    /// a malformed token.
    NoticeCallback onNotice_;
  };

  CommandSender(EventLoop& aLoop,
                EventLog& aLog,
                HttpClient& aClient,
                const CommandProtocol& aProtocol,
                Handlers aHandlers);

  /// Sets the address of a server. There is no removal, because a server
  /// without a registration may still hold keys.
  void SetServer(const std::string& aBackend,
                 const Endpoint& aEndpoint,
                 int64_t aStartTimeMs);
  /// Sends the command, or queues it if too many are in flight at the server.
  void Send(const KeyCommand& aCommand);
  /// Drops the commands that are queued or wait for a connection. Responses to
  /// commands in flight are ignored.
  void Reset();

private:
  struct Server
  {
    Endpoint endpoint_;
    int64_t startTimeMs_ = 0;
  };
  struct ServerQueue
  {
    int inFlight_ = 0;
    std::deque<KeyCommand> waiting_;
  };

  void SendWaiting(const std::string& aBackend);
  /// Whether the command must wait until its connection is idle.
  bool AwaitsConnection(const KeyCommand& aCommand) const;
  void SendNow(const KeyCommand& aCommand);
  void Call(const KeyCommand& aCommand, const Server& aServer);
  /// aMayConnect: whether a new connection may be opened.
  void ChooseConnection(const KeyCommand& aCommand,
                        bool aMayConnect,
                        CallRequest& aRequest) const;
  /// Reports aResult later, without having sent the command.
  void FinishUnsent(const KeyCommand& aCommand, KeyCommandResult aResult);
  /// aStartTimeMs identifies the incarnation that the command was sent to, 0 if
  /// it was not sent.
  void OnDone(const KeyCommand& aCommand,
              int64_t aStartTimeMs,
              const CommandResponse& aResponse,
              int aHttpStatus);

  EventLoop& loop_;
  EventLog& log_;
  HttpClient& client_;
  const CommandProtocol& protocol_;
  Handlers handlers_;
  uint64_t generation_ = 0; ///< incremented by Reset
  std::map<std::string, Server> servers_;
  /// Servers that did not respond to the last command.
  std::set<std::string> unresponsive_;
  std::map<std::string, ServerQueue> queues_;
};

}
