#include "StandinBackend.hpp"

#include "common/KeyHash.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include <unistd.h>

namespace cactuspitch {

namespace detail {

/// Connections for assigners and tests, in addition to those of the routers.
constexpr int kControlConnections = 16;
constexpr size_t kMaxBodyBytes = 4 << 20;
/// Longest wait for a slot, also when the request has no deadline.
constexpr TimeMs kMaxQueueWaitMs = 1000;
constexpr TimeMs kMaxRevokeWaitMs = 200;
/// A draining server receives no new requests after this time (requirement
/// I6).
constexpr TimeMs kMaxDrainMs = 3000;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;
constexpr int kCrashStatus = 134;
constexpr std::string_view kPoisonMarker = "poison-marker";

std::string NewIncarnation(const std::string& aId)
{
  return Concat(aId, "-", getpid(), "-", BootTimeUs());
}

}

struct StandinBackend::Request
{
  std::string service_;
  std::string key_;
  std::string id_;
  std::string method_;
  KeyHash hash_ = 0;
  Epoch epoch_ = 0;
  bool isDirect_ = false;
  TimeMs deadlineMs_ = INT64_MAX;
  int64_t startUs_ = 0;
  int64_t commitUs_ = 0;
  uint64_t blobBytes_ = 0;
  bool isBlob_ = false;
  bool isPoison_ = false;
  std::string body_;

  bool Parse(HttpExchange& aExchange);
};

bool StandinBackend::Request::Parse(HttpExchange& aExchange)
{
  const auto path = aExchange.DecodedSegments();
  auto body = aExchange.ReadBody(detail::kMaxBodyBytes);
  if (path.size() < 2 || !body.ok()) {
    return false;
  }
  body_ = *std::move(body);
  service_ = path[0];
  key_ = path[1];
  hash_ = HashKey(key_);
  method_ = aExchange.Method();
  id_ = aExchange.Header(header::kRequestId);
  isDirect_ = !ParseNumber(aExchange.Header(header::kSliceEpoch), epoch_);
  ParseNumber(aExchange.Header(header::kDeadlineClockMs), deadlineMs_);
  isBlob_ = path.size() > 2 && path[2] == "blob";
  ParseNumber(aExchange.QueryValue("bytes"), blobBytes_);
  isPoison_ = body_.find(detail::kPoisonMarker) != std::string::npos ||
              aExchange.Path().find(detail::kPoisonMarker) != std::string::npos;
  return true;
}

StandinBackend::StandinBackend(const Clock& aClock,
                               StandinBackendOptions aOptions)
  : clock_(aClock)
  , options_(std::move(aOptions))
  , incarnation_(detail::NewIncarnation(options_.id_))
  , startMs_(aClock.NowMs())
  , grants_(incarnation_, options_.checksFence_)
  , slots_(options_.slots_, options_.queue_)
  , history_(options_.id_, incarnation_, options_.history_)
  , serviceUs_(options_.serviceUs_)
  , server_({ .listen_ = options_.listen_,
              .threads_ = options_.connections_ + detail::kControlConnections,
              .onConnect_ =
                [this] {
                  std::this_thread::sleep_for(
                    std::chrono::milliseconds(options_.connectCostMs_));
                } },
            [this](HttpExchange& aExchange) { Handle(aExchange); })
{
}

StandinBackend::~StandinBackend()
{
  Stop();
}

absl::Status StandinBackend::Start()
{
  auto started = server_.Start();
  if (started.ok()) {
    backgroundThread_ = std::thread([this] { RunBackgroundLoop(); });
  }
  return started;
}

void StandinBackend::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (backgroundThread_.joinable()) {
    backgroundThread_.join();
  }
  server_.Stop();
}

void StandinBackend::Handle(HttpExchange& aExchange)
{
  if (!HandleControl(aExchange)) {
    HandleRequest(aExchange);
  }
}

bool StandinBackend::HandleControl(HttpExchange& aExchange)
{
  const auto path = aExchange.Path();
  if (!path.starts_with("/_")) {
    return false;
  }
  if (path == "/_cactuspitch/grant") {
    HandleGrant(aExchange);
  } else if (path == "/_cactuspitch/health") {
    aExchange.Respond(detail::kOk, CommonHeaders(), HealthStatus().dump());
  } else if (path == "/_cactuspitch/cancel") {
    Cancel(aExchange.QueryValue("id"));
    aExchange.Respond(detail::kOk, CommonHeaders(), {});
  } else if (path == "/_health" || path == "/_ready") {
    aExchange.Respond(detail::kOk, {}, "ok\n");
  } else if (path == "/_history") {
    aExchange.Respond(detail::kOk, {}, history_.Lines());
  } else if (path == "/_stats") {
    aExchange.Respond(detail::kOk, {}, Stats());
  } else if (path == "/_drain") {
    drainStartMs_ = clock_.NowMs();
    changed_.notify_all();
    aExchange.Respond(detail::kOk, {}, {});
  } else if (path == "/_fault") {
    const auto body = aExchange.ReadBody(detail::kMaxBodyBytes);
    const auto document =
      nlohmann::json::parse(body.ok() ? *body : "", nullptr, false);
    if (document.is_object()) {
      Configure(document);
    }
    aExchange.Respond(
      document.is_object() ? detail::kOk : detail::kBadRequest, {}, {});
  } else {
    aExchange.Respond(detail::kNotFound, {}, "no such resource\n");
  }
  return true;
}

void StandinBackend::HandleGrant(HttpExchange& aExchange)
{
  const auto body = aExchange.ReadBody(detail::kMaxBodyBytes);
  const auto command =
    nlohmann::json::parse(body.ok() ? *body : "", nullptr, false);
  bool applied = false;
  try {
    applied = grants_.Apply(command, NowMs(), detail::kMaxRevokeWaitMs);
  } catch (const nlohmann::json::exception& failure) {
    aExchange.Respond(
      detail::kBadRequest, CommonHeaders(), Concat(failure.what(), "\n"));
    return;
  }
  aExchange.Respond(applied ? detail::kOk : detail::kConflict,
                    CommonHeaders(),
                    HealthStatus().dump());
}

void StandinBackend::HandleRequest(HttpExchange& aExchange)
{
  Request request;
  if (!request.Parse(aExchange)) {
    aExchange.Respond(
      detail::kBadRequest, CommonHeaders(), "path must be /{service}/{key}\n");
    return;
  }
  if (server_.Connections() >
      options_.connections_ + detail::kControlConnections - 1) {
    aExchange.CloseAfterResponse();
    Reject(aExchange, NotRunReason::Busy);
    return;
  }
  auto rejection = Admit(request);
  if (!rejection) {
    rejection = RunInSlot(aExchange, request);
    if (!request.isDirect_) {
      grants_.End(request.hash_, request.epoch_);
    }
  }
  if (rejection) {
    Reject(aExchange, *rejection);
  }
}

std::optional<NotRunReason> StandinBackend::Admit(Request& aRequest)
{
  aRequest.startUs_ = BootTimeUs();
  const TimeMs now = NowMs();
  if (now >= aRequest.deadlineMs_) {
    return NotRunReason::Deadline;
  }
  const TimeMs drainStart = drainStartMs_;
  if (drainStart > 0 && clock_.NowMs() - drainStart > detail::kMaxDrainMs) {
    arrivedAfterDrain_.fetch_add(1, std::memory_order_relaxed);
    return NotRunReason::Draining;
  }
  if (drainStart > 0 && grants_.HoldsNoSlices()) {
    return NotRunReason::Draining;
  }
  if (aRequest.isDirect_) {
    return options_.acceptsDirect_ ? std::nullopt
                                   : std::optional(NotRunReason::NotOwner);
  }
  return grants_.Begin(aRequest.hash_, aRequest.epoch_, now);
}

std::optional<NotRunReason> StandinBackend::RunInSlot(HttpExchange& aExchange,
                                                      Request& aRequest)
{
  const TimeMs wait =
    std::min(aRequest.deadlineMs_ - NowMs(), detail::kMaxQueueWaitMs);
  switch (slots_.Acquire(wait)) {
    case ConcurrencyLimiter::AcquireResult::QueueFull:
      return NotRunReason::Busy;
    case ConcurrencyLimiter::AcquireResult::TimedOut:
      return NotRunReason::Deadline;
    case ConcurrencyLimiter::AcquireResult::Acquired:
      break;
  }
  if (aRequest.isPoison_) {
    std::_Exit(detail::kCrashStatus);
  }
  std::optional<NotRunReason> rejection;
  if (!Execute(aRequest)) {
    rejection = NotRunReason::Deadline;
  } else {
    // The request takes effect at the clock reading commitUs_, against which
    // both the deadline and the lease are checked.
    aRequest.commitUs_ = BootTimeUs();
    constexpr int64_t kUsPerMs = 1000;
    const TimeMs now = aRequest.commitUs_ / kUsPerMs + options_.clockOffsetMs_;
    if (now >= aRequest.deadlineMs_) {
      rejection = NotRunReason::Deadline;
    } else if (!aRequest.isDirect_) {
      rejection = grants_.Commit(aRequest.hash_, aRequest.epoch_, now);
    }
  }
  if (!rejection) {
    Respond(aExchange, aRequest);
  }
  slots_.Release();
  return rejection;
}

bool StandinBackend::Execute(const Request& aRequest)
{
  int64_t serviceUs = serviceUs_;
  const TimeMs age = clock_.NowMs() - startMs_;
  if (age < options_.coldStartMs_) {
    const double left = 1.0 - static_cast<double>(age) / options_.coldStartMs_;
    serviceUs = static_cast<int64_t>(
      serviceUs * (1.0 + left * (options_.coldFactor_ - 1.0)));
  }
  if (serviceUs == 0) {
    return true;
  }
  std::unique_lock lock(mutex_);
  const auto entry = executing_.emplace(aRequest.id_, false);
  changed_.wait_for(lock, std::chrono::microseconds(serviceUs), [&] {
    return entry->second || stopping_;
  });
  const bool cancelled = entry->second;
  executing_.erase(entry);
  return !cancelled;
}

void StandinBackend::Respond(HttpExchange& aExchange, const Request& aRequest)
{
  executed_.fetch_add(1, std::memory_order_relaxed);
  const auto text = Concat(R"({"id":")",
                           aRequest.id_,
                           R"(","key":")",
                           aRequest.key_,
                           R"(","server":")",
                           options_.id_,
                           R"("})");
  if (options_.keepsHistory_) {
    history_.Record({ aRequest.id_,
                      aRequest.method_,
                      aRequest.service_,
                      aRequest.key_,
                      aRequest.epoch_,
                      aRequest.startUs_,
                      aRequest.commitUs_,
                      text });
  }
  if (aRequest.isBlob_) {
    SendBlob(aExchange, aRequest.blobBytes_);
  } else {
    aExchange.Respond(detail::kOk, CommonHeaders(), text);
  }
}

void StandinBackend::SendBlob(HttpExchange& aExchange, uint64_t aBytes)
{
  constexpr size_t kChunkBytes = 64 * 1024;
  const std::string chunk(kChunkBytes, 'b');
  if (!aExchange.BeginResponse(detail::kOk, CommonHeaders(), aBytes)) {
    return;
  }
  while (aBytes > 0) {
    const auto size = std::min<uint64_t>(aBytes, chunk.size());
    if (!aExchange.Write(std::string_view(chunk).substr(0, size))) {
      return;
    }
    aBytes -= size;
  }
}

void StandinBackend::Reject(HttpExchange& aExchange, NotRunReason aReason)
{
  rejected_[static_cast<size_t>(aReason)].fetch_add(1,
                                                    std::memory_order_relaxed);
  auto headers = CommonHeaders();
  headers.emplace_back(header::kNotRun, EnumName(aReason));
  aExchange.Respond(detail::kServiceUnavailable, headers, {});
}

void StandinBackend::Cancel(const std::string& aId)
{
  {
    const std::lock_guard lock(mutex_);
    const auto [first, last] = executing_.equal_range(aId);
    std::for_each(first, last, [](auto& aEntry) { aEntry.second = true; });
  }
  changed_.notify_all();
}

void StandinBackend::Configure(const nlohmann::json& aDocument)
{
  serviceUs_ = aDocument.value("serviceUs", serviceUs_.load());
  if (aDocument.contains("health")) {
    loadReporter_.Configure(aDocument["health"]);
  }
}

nlohmann::json StandinBackend::HealthStatus() const
{
  auto status = nlohmann::json::object();
  grants_.AddStatus(status);
  status["clockMs"] = NowMs();
  status["draining"] = drainStartMs_ > 0;
  status["slots"] = options_.slots_;
  loadReporter_.AddStatus(status, clock_.NowMs());
  return status;
}

std::string StandinBackend::Stats() const
{
  nlohmann::json document = { { "executed", executed_.load() },
                              { "arrivedLate", arrivedAfterDrain_.load() },
                              { "connections", server_.Connections() } };
  for (size_t reason = 0; reason < rejected_.size(); ++reason) {
    const auto name = EnumName(static_cast<NotRunReason>(reason));
    document["refused"][std::string(name)] = rejected_[reason].load();
  }
  return document.dump();
}

std::string StandinBackend::RegistrationRecord() const
{
  const nlohmann::json document = {
    { "id", options_.id_ },
    { "service", options_.service_ },
    { "address",
      options_.advertise_.empty() ? options_.listen_ : options_.advertise_ },
    { "failureDomain", options_.failureDomain_ },
    { "state", drainStartMs_ > 0 ? "leaving" : "live" },
    { "slots", options_.slots_ },
    { "connections", options_.connections_ },
    { "checksFence", options_.checksFence_ },
  };
  return document.dump();
}

HttpHeaders StandinBackend::CommonHeaders() const
{
  return { { header::kClockMs, std::to_string(NowMs()) },
           { header::kIncarnation, incarnation_ } };
}

/// Samples the load and registers the server with the platform, again whenever
/// its registration record changes.
void StandinBackend::RunBackgroundLoop()
{
  constexpr auto kInterval = std::chrono::milliseconds(50);
  constexpr TimeMs kCallTimeoutMs = 500;
  HttpConnection store(clock_, options_.store_);
  std::string registered;
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    const int running = slots_.Running();
    loadReporter_.Add({ clock_.NowMs(),
                        running,
                        static_cast<double>(running) / options_.slots_ });
    const auto current = RegistrationRecord();
    if (!options_.store_.empty() && registered != current) {
      const auto response = store.Exchange(
        { "PUT", Concat("/_platform/server/", options_.id_), {}, current },
        clock_.NowMs() + kCallTimeoutMs,
        detail::kMaxBodyBytes);
      if (response.ok() && response->head_.status_ == detail::kOk) {
        registered = current;
      }
    }
    lock.lock();
    changed_.wait_for(lock, kInterval, [this] { return stopping_; });
  }
}

}
