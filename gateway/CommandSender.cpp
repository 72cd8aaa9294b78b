#include "gateway/CommandSender.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Concurrent commands per server. A release waits until running requests are
/// finished and must not delay a renewal.
constexpr int kCommandsPerServer = 3;
/// Grants have connections of their own: their fences are bound to these, and a
/// release may occupy its connection for long.
constexpr std::string_view kGrantConnections = "grant";

}

CommandSender::CommandSender(EventLoop& aLoop,
                             EventLog& aLog,
                             HttpClient& aClient,
                             const CommandProtocol& aProtocol,
                             Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , client_(aClient)
  , protocol_(aProtocol)
  , handlers_(std::move(aHandlers))
{
}

void CommandSender::SetServer(const std::string& aBackend,
                              const Endpoint& aEndpoint,
                              int64_t aStartTimeMs)
{
  servers_[aBackend] = { aEndpoint, aStartTimeMs };
}

void CommandSender::Reset()
{
  ++generation_;
  queues_.clear();
}

void CommandSender::Send(const KeyCommand& aCommand)
{
  // An overloaded server resets new connections, so its commands share the few
  // open ones. Grants go first, because leases expire.
  auto& queue = queues_[aCommand.backend_];
  if (aCommand.kind_ == KeyCommandKind::Grant) {
    queue.waiting_.push_front(aCommand);
  } else {
    queue.waiting_.push_back(aCommand);
  }
  SendWaiting(aCommand.backend_);
}

void CommandSender::SendWaiting(const std::string& aBackend)
{
  auto& queue = queues_[aBackend];
  while (queue.inFlight_ < detail::kCommandsPerServer) {
    const auto next =
      std::ranges::find_if(queue.waiting_, [this](const auto& aCommand) {
        return !AwaitsConnection(aCommand);
      });
    if (next == queue.waiting_.end()) {
      return;
    }
    auto command = std::move(*next);
    queue.waiting_.erase(next);
    ++queue.inFlight_;
    command.sentMs_ = loop_.NowMs();
    SendNow(command);
  }
}

bool CommandSender::AwaitsConnection(const KeyCommand& aCommand) const
{
  const auto server = servers_.find(aCommand.backend_);
  return aCommand.connection_ != 0 && server != servers_.end() &&
         client_.StateOf(server->second.endpoint_, aCommand.connection_) ==
           ConnectionState::Busy;
}

void CommandSender::SendNow(const KeyCommand& aCommand)
{
  const auto server = servers_.find(aCommand.backend_);
  if (server == servers_.end()) {
    FinishUnsent(aCommand, KeyCommandResult::NotSent);
    return;
  }
  // The scope may have changed while the command was queued.
  if (!aCommand.renews_ && handlers_.grantScope_(0) == GrantScope::Renewals) {
    FinishUnsent(aCommand, KeyCommandResult::Withheld);
    return;
  }
  // The process behind another connection may be a later incarnation, which
  // must not get a fence that an earlier one had.
  if (aCommand.connection_ != 0 &&
      client_.StateOf(server->second.endpoint_, aCommand.connection_) ==
        ConnectionState::Ended) {
    FinishUnsent(aCommand, KeyCommandResult::Disconnected);
    return;
  }
  Call(aCommand, server->second);
}

void CommandSender::Call(const KeyCommand& aCommand, const Server& aServer)
{
  // A new connection reaches another process if the server has restarted. Only
  // the present leader may command that one.
  const TimeMs sinceMs = client_.LastEndedMs(aServer.endpoint_);
  const bool mayConnect = handlers_.grantScope_(sinceMs) == GrantScope::All;
  if (!mayConnect) {
    handlers_.requireConfirmation_(sinceMs);
    if (aCommand.kind_ == KeyCommandKind::Grant && aCommand.connection_ == 0) {
      // An open connection may reach an incarnation that knows no fence of a
      // newer leader.
      FinishUnsent(aCommand, KeyCommandResult::Withheld);
      return;
    }
  }
  auto request = protocol_.MakeCommand(aCommand);
  ChooseConnection(aCommand, mayConnect, request);
  const auto withheld = std::make_shared<bool>(!mayConnect);
  request.maySendOnNew_ = [this, withheld, sinceMs, generation = generation_] {
    *withheld = generation != generation_ ||
                handlers_.grantScope_(sinceMs) == GrantScope::Renewals;
    return !*withheld;
  };
  client_.Call(
    aServer.endpoint_,
    request,
    [this, aCommand, withheld, server = aServer, generation = generation_](
      const CallResult& aResult) {
      if (generation != generation_) {
        return;
      }
      if (aResult.outcome_ != CallOutcome::Completed) {
        // In time for the next attempt.
        handlers_.requireConfirmation_(client_.LastEndedMs(server.endpoint_));
      }
      auto response = protocol_.ParseResponse(aResult);
      if (response.result_ == KeyCommandResult::NotSent && *withheld) {
        response.result_ = KeyCommandResult::Withheld;
      }
      response.connection_ = aResult.connection_;
      OnDone(aCommand, server.startTimeMs_, response, aResult.head_.status_);
    });
}

void CommandSender::ChooseConnection(const KeyCommand& aCommand,
                                     bool aMayConnect,
                                     CallRequest& aRequest) const
{
  auto& policy = aRequest.connectionPolicy_;
  if (aCommand.kind_ == KeyCommandKind::Grant) {
    aRequest.connectionKind_ = detail::kGrantConnections;
  }
  if (aCommand.connection_ != 0 || !aMayConnect) {
    policy = ConnectionPolicy::ReuseOnly;
    aRequest.connection_ = aCommand.connection_;
  } else if (unresponsive_.contains(aCommand.backend_)) {
    policy = ConnectionPolicy::NewOnly;
  } else if (aCommand.renews_) {
    // A late copy of an earlier response is of no harm here: the lease is
    // counted from the later time.
    policy = ConnectionPolicy::ReuseAnyOrNew;
  }
}

void CommandSender::FinishUnsent(const KeyCommand& aCommand,
                                 KeyCommandResult aResult)
{
  loop_.Defer([this, aCommand, aResult, generation = generation_] {
    if (generation == generation_) {
      CommandResponse response;
      response.result_ = aResult;
      OnDone(aCommand, 0, response, 0);
    }
  });
}

void CommandSender::OnDone(const KeyCommand& aCommand,
                           int64_t aStartTimeMs,
                           const CommandResponse& aResponse,
                           int aHttpStatus)
{
  --queues_[aCommand.backend_].inFlight_;
  // After a missing response the idle connections are probably dead as well. A
  // connection that could not be opened says nothing about the open ones.
  if (aResponse.result_ == KeyCommandResult::Unanswered) {
    unresponsive_.insert(aCommand.backend_);
  } else if (aResponse.result_ != KeyCommandResult::Withheld &&
             aResponse.result_ != KeyCommandResult::Disconnected) {
    unresponsive_.erase(aCommand.backend_);
  }
  if (aResponse.result_ != KeyCommandResult::Accepted) {
    log_.Write(LogLevel::Warning,
               "order-failed",
               { { "order", EnumName(aCommand.kind_) },
                 { "result", EnumName(aResponse.result_) },
                 { "connection", aResponse.connection_ },
                 { "http", aHttpStatus },
                 { "backend", aCommand.backend_ },
                 { "first", aCommand.first_ },
                 { "last", aCommand.last_ },
                 { "fence", aCommand.fence_ },
                 { "took_ms", loop_.NowMs() - aCommand.sentMs_ } });
  }
  if (aResponse.leaving_ || aResponse.requestLimit_ ||
      aResponse.malformedHandoverBytes_) {
    handlers_.onNotice_({ aCommand.backend_,
                          aStartTimeMs,
                          aCommand.sentMs_,
                          aResponse.leaving_,
                          aResponse.requestLimit_,
                          aResponse.malformedHandoverBytes_ });
  }
  auto command = aCommand;
  command.connection_ = aResponse.connection_;
  handlers_.onDone_(command, aResponse);
  SendWaiting(aCommand.backend_);
}

}
