#include "gateway/OrderSender.hpp"

#include <utility>

namespace cactuspitch {

namespace detail {

/// Orders to one server at a time: a release waits for running work, and must
/// not keep a renewal back.
constexpr int kOrdersPerServer = 3;

}

OrderSender::OrderSender(EventLoop& aLoop,
                         EventLog& aLog,
                         HttpClient& aClient,
                         const OrderProtocol& aProtocol,
                         Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , client_(aClient)
  , protocol_(aProtocol)
  , handlers_(std::move(aHandlers))
{
}

void OrderSender::SetServer(const std::string& aBackend,
                            const Endpoint& aEndpoint,
                            int64_t aBornMs)
{
  servers_[aBackend] = { aEndpoint, aBornMs };
}

void OrderSender::Reset()
{
  ++run_;
  lanes_.clear();
}

void OrderSender::Send(const KeyOrder& aOrder)
{
  // An overloaded server resets new connections, so its orders share the few
  // that are open; grants go first, because holds run out.
  auto& lane = lanes_[aOrder.backend_];
  if (aOrder.kind_ == OrderKind::Grant) {
    lane.waiting_.push_front(aOrder);
  } else {
    lane.waiting_.push_back(aOrder);
  }
  SendWaiting(aOrder.backend_);
}

void OrderSender::SendWaiting(const std::string& aBackend)
{
  auto& lane = lanes_[aBackend];
  while (lane.inFlight_ < detail::kOrdersPerServer && !lane.waiting_.empty()) {
    auto order = lane.waiting_.front();
    lane.waiting_.pop_front();
    ++lane.inFlight_;
    order.sentMs_ = loop_.NowMs();
    SendNow(order);
  }
}

void OrderSender::SendNow(const KeyOrder& aOrder)
{
  const auto server = servers_.find(aOrder.backend_);
  if (server == servers_.end()) {
    loop_.Defer([this, aOrder, run = run_] {
      if (run == run_) {
        OnDone(aOrder, 0, CallResult{});
      }
    });
    return;
  }
  auto request = protocol_.MakeOrder(aOrder);
  if (handlers_.scope_() == GrantScope::Renewals) {
    request.connectionPolicy_ = ConnectionPolicy::ReuseOnly;
  } else if (failing_.contains(aOrder.backend_)) {
    request.connectionPolicy_ = ConnectionPolicy::NewOnly;
  }
  client_.Call(server->second.endpoint_,
               request,
               [this, aOrder, bornMs = server->second.bornMs_, run = run_](
                 const CallResult& aResult) {
                 if (run == run_) {
                   OnDone(aOrder, bornMs, aResult);
                 }
               });
}

void OrderSender::OnDone(const KeyOrder& aOrder,
                         int64_t aBornMs,
                         const CallResult& aResult)
{
  const auto answer = protocol_.ReadAnswer(aResult);
  --lanes_[aOrder.backend_].inFlight_;
  // A silent connection says nothing good of its idle siblings. One that could
  // not be opened does not speak against those that are.
  if (answer.result_ == OrderResult::Unanswered) {
    failing_.insert(aOrder.backend_);
  } else {
    failing_.erase(aOrder.backend_);
  }
  if (answer.result_ != OrderResult::Accepted) {
    log_.Write(LogLevel::Warning,
               "order-failed",
               { { "order", EnumName(aOrder.kind_) },
                 { "result", EnumName(answer.result_) },
                 { "http", aResult.head_.status_ },
                 { "backend", aOrder.backend_ },
                 { "first", aOrder.first_ },
                 { "last", aOrder.last_ },
                 { "fence", aOrder.fence_ },
                 { "took_ms", loop_.NowMs() - aOrder.sentMs_ } });
  }
  if (answer.leaving_) {
    handlers_.onLeaving_(aOrder.backend_, aBornMs);
  }
  handlers_.onDone_(aOrder, answer);
  SendWaiting(aOrder.backend_);
}

}
