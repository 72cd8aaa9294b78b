#include "GrantSender.hpp"

#include "common/JsonText.hpp"
#include "common/Log.hpp"
#include "common/Strings.hpp"

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr size_t kQueueCapacity = 4096;
constexpr int kWorkers = 16;
/// Longer than a backend server waits for requests of a revoked slice.
constexpr TimeMs kCallTimeoutMs = 500;
constexpr size_t kMaxReplyBytes = 1 << 20;
constexpr int kOk = 200;
constexpr int kConflict = 409;

std::string CommandToJson(const GrantCommand& aCommand)
{
  auto add = nlohmann::json::array();
  for (const auto& range : aCommand.add_) {
    add.push_back({ { "begin", range.begin_ },
                    { "end", range.end_ },
                    { "epoch", range.epoch_ } });
  }
  const nlohmann::json json = {
    { "term", aCommand.term_ },
    { "sequence", aCommand.sequence_ },
    { "incarnation", aCommand.incarnation_ },
    { "validUntilMs", aCommand.validUntilMs_ },
    { "add", std::move(add) },
    { "remove", nlohmann::json::array() },
    { "full", aCommand.full_ },
  };
  return WriteJson(json);
}

/// Throws on malformed JSON.
GrantReply ReplyFromJson(const std::string& aText)
{
  const auto json = nlohmann::json::parse(aText);
  GrantReply reply;
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

GrantSender::GrantSender(const Clock& aClock, ControlLoop& aControl)
  : clock_(aClock)
  , control_(aControl)
  , ring_(detail::kQueueCapacity)
{
}

GrantSender::~GrantSender()
{
  Stop();
}

void GrantSender::Start()
{
  for (int i = 0; i < detail::kWorkers; ++i) {
    workers_.emplace_back([this] { Run(); });
  }
}

void GrantSender::Stop()
{
  ring_.Close();
  for (auto& worker : workers_) {
    worker.join();
  }
  workers_.clear();
}

void GrantSender::Send(std::string aService, GrantCommand aCommand)
{
  if (!ring_.TryPush({ std::move(aService), std::move(aCommand) })) {
    ++dropped_;
  }
}

void GrantSender::Run()
{
  constexpr auto kWait = std::chrono::milliseconds(1000);
  while (!ring_.IsClosed()) {
    const auto job = ring_.Pop(kWait);
    if (job) {
      Execute(*job);
    }
  }
}

void GrantSender::Execute(const Job& aJob)
{
  ++sent_;
  const auto& command = aJob.command_;
  const auto response = Call(aJob);
  if (!response.ok()) {
    if (absl::IsUnavailable(response.status())) {
      control_.Post(aJob.service_,
                    [server = command.server_, id = command.id_](
                      GroupController& aControl, TimeMs aNowMs, Actions&) {
                      aControl.OnConnectionRefused(aNowMs, server, id);
                    });
    }
    return;
  }
  const int status = response->head_.status_;
  if (status != detail::kOk && status != detail::kConflict) {
    Log(LogLevel::Warning,
        "backend server rejected a command",
        { { "server", command.server_ }, { "status", status } });
    return;
  }
  try {
    auto reply = detail::ReplyFromJson(response->body_);
    reply.id_ = command.id_;
    reply.server_ = command.server_;
    reply.accepted_ = status == detail::kOk;
    control_.Post(aJob.service_,
                  [reply = std::move(reply)](
                    GroupController& aControl, TimeMs aNowMs, Actions&) {
                    aControl.OnReply(aNowMs, reply);
                  });
  } catch (const nlohmann::json::exception& failure) {
    Log(LogLevel::Warning,
        "malformed reply from backend server",
        { { "server", command.server_ }, { "reason", failure.what() } });
  }
}

absl::StatusOr<HttpResponse> GrantSender::Call(const Job& aJob)
{
  const auto body = detail::CommandToJson(aJob.command_);
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/_cactuspitch/grant";
  request.headers_ = { { "Content-Type", "application/json" } };
  request.body_ = body;
  const auto deadlineMs = clock_.NowMs() + detail::kCallTimeoutMs;
  auto connection = AcquireConnection(aJob.command_.address_);
  const bool wasOpen = connection->IsOpen();
  auto response =
    connection->Exchange(request, deadlineMs, detail::kMaxReplyBytes);
  // A kept-alive connection may have been closed by a restart of the server.
  // Only a new connection shows whether the server has exited. Repeating a
  // command is safe.
  if (!response.ok() && wasOpen && clock_.NowMs() < deadlineMs) {
    connection =
      std::make_unique<HttpConnection>(clock_, aJob.command_.address_);
    response =
      connection->Exchange(request, deadlineMs, detail::kMaxReplyBytes);
  }
  bytes_ += static_cast<int64_t>(body.size() +
                                 (response.ok() ? response->body_.size() : 0));
  if (response.ok() && connection->IsReusable()) {
    ReleaseConnection(std::move(connection));
  }
  return response;
}

GrantSender::Connection GrantSender::AcquireConnection(
  const std::string& aAddress)
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

void GrantSender::ReleaseConnection(Connection aConnection)
{
  const std::lock_guard lock(mutex_);
  idle_[aConnection->Address()].push_back(std::move(aConnection));
}

}
