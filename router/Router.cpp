#include "Router.hpp"

#include "PeerService.hpp"
#include "RequestHandler.hpp"
#include "common/Log.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace cactuspitch {

namespace detail {

/// Time that callers get to close their connections after the load balancer
/// has stopped sending new ones.
constexpr TimeMs kMaxCloseWaitMs = 1000;
constexpr TimeMs kPollIntervalMs = 5;

int64_t UnixMinute()
{
  constexpr int64_t kMsPerMinute = 60000;
  return UnixNowMs() / kMsPerMinute;
}

HttpServerOptions ServerOptions(const RouterSettings& aSettings)
{
  return { .listen_ = aSettings.listen_,
           .threads_ = aSettings.threads_,
           .requestTimeoutMs_ = aSettings.writeTimeoutMs_,
           .keepAliveTimeoutMs_ = aSettings.keepAliveMs_,
           .errorResponseHeaders_ = ResponseWriter::ErrorResponseHeaders() };
}

void AddMetric(std::string& aText,
               std::string_view aName,
               std::string_view aLabels,
               double aValue)
{
  AppendTo(aText, "cactuspitch_router_", aName);
  if (!aLabels.empty()) {
    AppendTo(aText, "{", aLabels, "}");
  }
  AppendTo(aText, " ", aValue, "\n");
}

}

Router::Router(const Clock& aClock,
               RouterSettings aSettings,
               RoutingTables& aTables)
  : clock_(aClock)
  , settings_(std::move(aSettings))
  , tables_(aTables)
  , startMs_(aClock.NowMs())
  , registry_(aClock)
  , localLedger_(aClock, settings_.ledgerEntries_)
  , routerPool_(aClock,
                settings_.peerTimeoutMs_,
                settings_.peerTimeoutMs_,
                settings_.secret_)
  , assignerPool_(aClock,
                  settings_.peerTimeoutMs_,
                  settings_.peerTimeoutMs_,
                  settings_.secret_)
  , ledgerTransport_(aClock, settings_.rpcListen_, localLedger_, routerPool_)
  , ledger_(ledgerTransport_)
  , quarantine_(aClock)
  , loadRecorder_(aClock)
  , slo_(&detail::UnixMinute)
  , cancellationSender_(aClock)
  , context_{ .clock_ = aClock,
              .tables_ = aTables,
              .registry_ = registry_,
              .rules_ = rules_,
              .ledger_ = ledger_,
              .quarantine_ = quarantine_,
              .loadRecorder_ = loadRecorder_,
              .slo_ = slo_,
              .cancellationSender_ = cancellationSender_,
              .instance_ = settings_.instance_,
              .limits_ = { .maxPathBytes_ = settings_.maxPathBytes_ },
              .maxParked_ = settings_.maxParked_ }
  , backgroundTasks_(context_, settings_.rpcListen_, routerPool_, assignerPool_)
  , rpc_(settings_.rpcListen_,
         std::make_shared<wire::RouterPeerProcessor>(
           std::make_shared<PeerService>(localLedger_,
                                         quarantine_,
                                         slo_,
                                         [this] { return Status(); })),
         settings_.secret_)
  , http_(detail::ServerOptions(settings_),
          [this](HttpExchange& aExchange) { Handle(aExchange); })
{
}

Router::~Router()
{
  backgroundTasks_.Stop();
  http_.Stop();
  rpc_.Stop();
}

absl::Status Router::Start()
{
  backgroundTasks_.Refresh();
  auto status = rpc_.Start();
  if (status.ok()) {
    status = http_.Start();
  }
  if (!status.ok()) {
    return status;
  }
  backgroundTasks_.Start();
  ready_ = true;
  return absl::OkStatus();
}

bool Router::StopGracefully()
{
  const TimeMs deadlineMs = clock_.NowMs() + settings_.stopTimeoutMs_;
  ready_ = false;
  Log(LogLevel::Info,
      "stopping",
      { { "readyFailMs", settings_.readyFailMs_ },
        { "inFlight", http_.InFlight() } });
  // From here on each response closes its connection, so few connections are
  // left when the load balancer has stopped using them.
  http_.BeginDrain();
  std::this_thread::sleep_for(
    std::chrono::milliseconds(settings_.readyFailMs_));
  // A caller may have sent a request on a connection that is still open.
  const TimeMs closeDeadlineMs =
    std::min(deadlineMs, clock_.NowMs() + detail::kMaxCloseWaitMs);
  while (http_.Connections() > 0 && clock_.NowMs() < closeDeadlineMs) {
    std::this_thread::sleep_for(
      std::chrono::milliseconds(detail::kPollIntervalMs));
  }
  const bool idle = http_.WaitIdle(deadlineMs - clock_.NowMs());
  if (!idle) {
    Log(LogLevel::Warning,
        "requests were aborted because the stop timeout expired",
        { { "inFlight", http_.InFlight() } });
  }
  http_.Stop();
  backgroundTasks_.Stop();
  ledgerTransport_.Stop();
  cancellationSender_.Stop();
  rpc_.Stop();
  return idle;
}

void Router::Handle(HttpExchange& aExchange)
{
  if (aExchange.Path().starts_with("/_")) {
    HandleInternalEndpoint(aExchange);
  } else {
    RequestHandler(context_, aExchange).Run();
  }
}

void Router::HandleInternalEndpoint(HttpExchange& aExchange)
{
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  const auto path = aExchange.Path();
  if (path == "/_health") {
    aExchange.Respond(kOk, {}, "ok\n");
  } else if (path == "/_ready") {
    const bool ready = ready_ && tables_.IsReady();
    aExchange.Respond(
      ready ? kOk : kUnavailable, {}, ready ? "ready\n" : "not ready\n");
  } else if (path == "/_metrics") {
    aExchange.Respond(
      kOk, { { "Content-Type", "text/plain; version=0.0.4" } }, MetricsText());
  } else {
    constexpr int kNotFound = 404;
    ResponseWriter(aExchange).Refuse(kNotFound, "no such endpoint");
  }
}

std::string Router::MetricsText() const
{
  std::string text;
  for (size_t i = 0; i < context_.outcomes_.size(); ++i) {
    detail::AddMetric(
      text,
      "requests_total",
      Concat("outcome=\"", EnumName(static_cast<Outcome>(i)), "\""),
      static_cast<double>(context_.outcomes_[i]));
  }
  detail::AddMetric(text, "requests_in_flight", "", http_.InFlight());
  detail::AddMetric(text, "requests_parked", "", context_.parked_);
  detail::AddMetric(
    text, "ledger_entries", "", static_cast<double>(localLedger_.Size()));
  detail::AddMetric(text,
                    "cancellations_sent_total",
                    "",
                    static_cast<double>(cancellationSender_.Sent()));
  detail::AddMetric(text,
                    "load_reports_sent_total",
                    "",
                    static_cast<double>(backgroundTasks_.ReportsSent()));
  for (const auto& server : backgroundTasks_.LastMeasurements()) {
    const auto label = Concat("server=\"", server.server, "\"");
    detail::AddMetric(text, "server_in_flight", label, server.inFlight);
    detail::AddMetric(
      text, "server_requests", label, static_cast<double>(server.requests));
    detail::AddMetric(
      text, "server_refusals", label, static_cast<double>(server.refusals));
    detail::AddMetric(
      text, "server_failures", label, static_cast<double>(server.failures));
    detail::AddMetric(text, "server_mean_ms", label, server.meanMs);
    detail::AddMetric(text, "server_p99_ms", label, server.p99Ms);
  }
  return text;
}

wire::ProcessStatus Router::Status() const
{
  wire::ProcessStatus status;
  status.instance = settings_.instance_;
  status.program = "router";
  status.failureDomain = settings_.failureDomain_;
  status.uptimeMs = clock_.NowMs() - startMs_;
  const auto config = tables_.Config();
  status.configVersion = config ? config->version_ : 0;
  status.configAgeMs = config ? config->confirmedAgeMs_ : -1;
  const auto add = [&](const char* aName, double aValue) {
    wire::NamedValue value;
    value.name = aName;
    value.value = aValue;
    status.values.push_back(value);
  };
  add("requestsInFlight", http_.InFlight());
  add("requestsParked", context_.parked_);
  add("ledgerEntries", static_cast<double>(localLedger_.Size()));
  add("rulesVersion", static_cast<double>(rules_.Version()));
  return status;
}

}
