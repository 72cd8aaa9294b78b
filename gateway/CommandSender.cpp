#include "gateway/CommandSender.hpp"

#include <memory>
#include <utility>

namespace cactuspitch {

namespace detail {

/// Concurrent commands per server. A release waits until running requests are
/// finished and must not delay a renewal.
constexpr int kCommandsPerServer = 3;

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
  while (queue.inFlight_ < detail::kCommandsPerServer &&
         !queue.waiting_.empty()) {
    auto command = queue.waiting_.front();
    queue.waiting_.pop_front();
    ++queue.inFlight_;
    command.sentMs_ = loop_.NowMs();
    SendNow(command);
  }
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
  Call(aCommand, server->second);
}

void CommandSender::Call(const KeyCommand& aCommand, const Server& aServer)
{
  // A new connection reaches another process if the server has restarted. Only
  // the present leader may command that one.
  const TimeMs sinceMs = client_.LastEndedMs(aServer.endpoint_);
  const bool mayConnect = handlers_.grantScope_(sinceMs) == GrantScope::All;
  auto request = protocol_.MakeCommand(aCommand);
  if (!mayConnect) {
    handlers_.requireConfirmation_(sinceMs);
    request.connectionPolicy_ = ConnectionPolicy::ReuseOnly;
  } else if (unresponsive_.contains(aCommand.backend_)) {
    request.connectionPolicy_ = ConnectionPolicy::NewOnly;
  }
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
      OnDone(aCommand, server.startTimeMs_, response, aResult.head_.status_);
    });
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
  } else if (aResponse.result_ != KeyCommandResult::Withheld) {
    unresponsive_.erase(aCommand.backend_);
  }
  if (aResponse.result_ != KeyCommandResult::Accepted) {
    log_.Write(LogLevel::Warning,
               "order-failed",
               { { "order", EnumName(aCommand.kind_) },
                 { "result", EnumName(aResponse.result_) },
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
  handlers_.onDone_(aCommand, aResponse);
  SendWaiting(aCommand.backend_);
}

}
