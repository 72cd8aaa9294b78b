#include "LeaseDuty.hpp"

#include "common/Log.hpp"
#include "common/Strings.hpp"

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr size_t kOrders = 4096;
constexpr int kLeaseWorkers = 16;
/// Longer than a backend server waits for requests of a revoked slice.
constexpr TimeMs kCallMs = 500;
constexpr size_t kMaxReplyBytes = 1 << 20;
constexpr int kOk = 200;
constexpr int kConflict = 409;

std::string OrderToJson(const ServerOrder& aOrder)
{
  auto add = nlohmann::json::array();
  for (const auto& range : aOrder.add_) {
    add.push_back({ { "begin", range.begin_ },
                    { "end", range.end_ },
                    { "epoch", range.epoch_ } });
  }
  const nlohmann::json json = {
    { "term", aOrder.term_ },
    { "sequence", aOrder.sequence_ },
    { "incarnation", aOrder.incarnation_ },
    { "validUntilMs", aOrder.validUntilMs_ },
    { "add", std::move(add) },
    { "remove", nlohmann::json::array() },
    { "full", aOrder.full_ },
  };
  return json.dump();
}

/// Throws on malformed JSON.
ServerReply ReplyFromJson(const std::string& aText)
{
  const auto json = nlohmann::json::parse(aText);
  ServerReply reply;
  json.at("incarnation").get_to(reply.incarnation_);
  json.at("clockMs").get_to(reply.clockMs_);
  json.at("term").get_to(reply.term_);
  json.at("sequence").get_to(reply.sequence_);
  reply.validUntilMs_ = json.value("validUntilMs", TimeMs{ 0 });
  reply.draining_ = json.value("draining", false);
  for (const auto& range : json.at("held")) {
    reply.held_.push_back({ range.at("begin").get<KeyHash>(),
                            range.at("end").get<KeyHash>(),
                            range.at("epoch").get<Epoch>() });
  }
  return reply;
}

}

LeaseDuty::LeaseDuty(const Clock& aClock, ControlDuty& aControl)
  : clock_(aClock)
  , control_(aControl)
  , ring_(detail::kOrders)
{
}

LeaseDuty::~LeaseDuty()
{
  Stop();
}

void LeaseDuty::Start()
{
  for (int i = 0; i < detail::kLeaseWorkers; ++i) {
    workers_.emplace_back([this] { Run(); });
  }
}

void LeaseDuty::Stop()
{
  ring_.Close();
  for (auto& worker : workers_) {
    worker.join();
  }
  workers_.clear();
}

void LeaseDuty::Send(std::string aService, ServerOrder aOrder)
{
  if (!ring_.TryPush({ std::move(aService), std::move(aOrder) })) {
    ++dropped_;
  }
}

void LeaseDuty::Run()
{
  constexpr auto kWait = std::chrono::milliseconds(1000);
  while (!ring_.IsClosed()) {
    const auto job = ring_.Pop(kWait);
    if (job) {
      Execute(*job);
    }
  }
}

void LeaseDuty::Execute(const Job& aJob)
{
  ++sent_;
  const auto& order = aJob.order_;
  const auto response = Call(aJob);
  if (!response.ok()) {
    if (absl::IsUnavailable(response.status())) {
      control_.Post(aJob.service_,
                    [server = order.server_, id = order.id_](
                      GroupController& aControl, TimeMs aNowMs, Actions&) {
                      aControl.OnRefused(aNowMs, server, id);
                    });
    }
    return;
  }
  const int status = response->head_.status_;
  if (status != detail::kOk && status != detail::kConflict) {
    Log(LogLevel::Warning,
        "backend server refused an order",
        { { "server", order.server_ }, { "status", status } });
    return;
  }
  try {
    auto reply = detail::ReplyFromJson(response->body_);
    reply.id_ = order.id_;
    reply.server_ = order.server_;
    reply.accepted_ = status == detail::kOk;
    control_.Post(aJob.service_,
                  [reply = std::move(reply)](
                    GroupController& aControl, TimeMs aNowMs, Actions&) {
                    aControl.OnReply(aNowMs, reply);
                  });
  } catch (const nlohmann::json::exception& failure) {
    Log(LogLevel::Warning,
        "malformed answer of a backend server",
        { { "server", order.server_ }, { "reason", failure.what() } });
  }
}

absl::StatusOr<HttpResponse> LeaseDuty::Call(const Job& aJob)
{
  const auto body = detail::OrderToJson(aJob.order_);
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/_cactuspitch/grant";
  request.headers_ = { { "Content-Type", "application/json" } };
  request.body_ = body;
  const auto deadlineMs = clock_.NowMs() + detail::kCallMs;
  auto connection = Take(aJob.order_.address_);
  const bool wasOpen = connection->IsOpen();
  auto response =
    connection->Exchange(request, deadlineMs, detail::kMaxReplyBytes);
  // A kept connection may have been closed by a restart; only a new one tells
  // whether the server is gone. Orders may be repeated.
  if (!response.ok() && wasOpen && clock_.NowMs() < deadlineMs) {
    connection = std::make_unique<HttpConnection>(clock_, aJob.order_.address_);
    response =
      connection->Exchange(request, deadlineMs, detail::kMaxReplyBytes);
  }
  bytes_ += static_cast<int64_t>(body.size() +
                                 (response.ok() ? response->body_.size() : 0));
  if (response.ok() && connection->IsReusable()) {
    Return(std::move(connection));
  }
  return response;
}

LeaseDuty::Connection LeaseDuty::Take(const std::string& aAddress)
{
  const std::lock_guard lock(mutex_);
  auto& idle = idle_[aAddress];
  if (idle.empty()) {
    return std::make_unique<HttpConnection>(clock_, aAddress);
  }
  auto connection = std::move(idle.back());
  idle.pop_back();
  return connection;
}

void LeaseDuty::Return(Connection aConnection)
{
  const std::lock_guard lock(mutex_);
  idle_[aConnection->Address()].push_back(std::move(aConnection));
}

}
