#include "AssignerProcess.hpp"

#include "AssignerStatus.hpp"
#include "common/Log.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <variant>

#include <unistd.h>

namespace cactuspitch {

namespace detail {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr TimeMs kProbeIntervalMs = 500;

GroupOptions GroupOptionsTemplate(const AssignerOptions& aOptions,
                                  TimeMs aStartedMs)
{
  GroupOptions options;
  options.instance_ = aOptions.instance_;
  options.failureDomain_ = aOptions.failureDomain_;
  // Differs for each run of the process, also after a reboot of the machine.
  options.writer_ = Concat(
    aOptions.instance_, "#", UnixNowMs(), ".", aStartedMs, ".", getpid());
  options.slices_ = aOptions.slices_;
  return options;
}

}

AssignerProcess::AssignerProcess(AssignerOptions aOptions)
  : options_(std::move(aOptions))
  , startedMs_(clock_.NowMs())
  , store_(clock_, { .address_ = options_.store_ })
  , control_(clock_, detail::GroupOptionsTemplate(options_, startedMs_))
  , grantSender_(clock_, control_)
  , peerClient_(control_, directory_, options_.secret_)
  , storeSync_(clock_, store_, control_, directory_, config_)
  , balancer_(clock_, control_, config_)
  , follower_(clock_,
              { .instance_ = options_.instance_,
                .role_ = "assigner",
                .assigners_ = options_.assigners_,
                .secret_ = options_.secret_ })
  , handler_(std::make_shared<PeerHandler>(clock_,
                                           control_,
                                           balancer_,
                                           directory_,
                                           config_,
                                           follower_,
                                           [this] { return Status(); }))
  , rpc_(options_.rpcListen_,
         std::make_shared<wire::AssignerPeerProcessor>(handler_),
         options_.secret_)
  , http_({ .listen_ = options_.listen_, .threads_ = 4 },
          [this](HttpExchange& aExchange) { HandleHttp(aExchange); })
{
}

AssignerProcess::~AssignerProcess()
{
  storeSync_.Stop();
  balancer_.Stop();
  grantSender_.Stop();
  peerClient_.Stop();
  follower_.Stop();
  control_.Stop();
  rpc_.Stop();
  http_.Stop();
}

absl::Status AssignerProcess::Start()
{
  auto started = http_.Start();
  if (started.ok()) {
    started = rpc_.Start();
  }
  if (!started.ok()) {
    return started;
  }
  control_.Start([this](const auto& aGroup,
                        const Action& aAction) { Dispatch(aGroup, aAction); },
                 [this] { RunPeriodic(); });
  grantSender_.Start();
  storeSync_.Start();
  balancer_.Start();
  follower_.Start();
  return absl::OkStatus();
}

void AssignerProcess::HandOver(TimeMs aTimeoutMs)
{
  stopping_ = true;
  control_.Post("", [](GroupController& aControl, TimeMs, Actions&) {
    aControl.BeginHandover();
  });
  const auto deadlineMs = clock_.NowMs() + aTimeoutMs;
  const auto isIdle = [](const std::shared_ptr<ManagedGroup>& aGroup) {
    return aGroup->WithLock(
      [](GroupController& aControl) { return aControl.IsIdle(); });
  };
  constexpr auto kCheck = std::chrono::milliseconds(20);
  do {
    std::this_thread::sleep_for(kCheck);
  } while (clock_.NowMs() < deadlineMs &&
           !std::ranges::all_of(control_.All(), isIdle));
}

void AssignerProcess::Dispatch(const std::shared_ptr<ManagedGroup>& aGroup,
                               const Action& aAction)
{
  if (const auto* command = std::get_if<GrantCommand>(&aAction)) {
    grantSender_.Send(aGroup->Service(), *command);
  } else if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&aAction)) {
    peerClient_.SendHeartbeat(*aGroup, *heartbeat);
  } else if (const auto* write = std::get_if<WriteGroup>(&aAction)) {
    Log(LogLevel::Debug,
        "writing group object",
        { { "service", aGroup->Service() },
          { "term", write->object_.table_.term_ },
          { "assigner", write->object_.table_.assigner_ },
          { "deputy", write->object_.table_.deputy_ } });
    storeSync_.Write(aGroup->Service(), *write);
  } else if (std::holds_alternative<ReadGroup>(aAction)) {
    storeSync_.Read(aGroup->Service());
  } else if (const auto* move = std::get_if<MoveRecord>(&aAction)) {
    aGroup->RecordMove(*move);
    metrics_
      .GetCounter("cactuspitch_moves_total",
                  { { "service", aGroup->Service() } })
      .Add();
    Log(LogLevel::Debug,
        "slice moved",
        { { "service", aGroup->Service() },
          { "begin", move->begin_ },
          { "epoch", move->epoch_ },
          { "from", move->from_ },
          { "to", move->to_ },
          { "reason", move->reason_ } });
  }
}

void AssignerProcess::RunPeriodic()
{
  const auto now = clock_.NowMs();
  for (const auto& followed : follower_.Tables()) {
    control_.EnsureGroup(followed->table_.service_);
    const auto group = control_.Find(followed->table_.service_);
    if (group) {
      group->WithLock([&](GroupController& aControl) {
        aControl.OnNewerTerm(followed->table_.term_);
      });
    }
  }
  const auto config = follower_.Config();
  const auto age = config->AgeMs(now);
  if (config->version_ > 0 && config_.UpdateIfNewer(config->version_,
                                                    config->json_,
                                                    age < 0 ? -1 : now - age)) {
    control_.NotifyChange();
  }
  if (now - lastProbeMs_ >= detail::kProbeIntervalMs) {
    lastProbeMs_ = now;
    peerClient_.ProbePeers(options_.instance_);
    const auto candidates = directory_.Candidates();
    for (const auto& group : control_.All()) {
      group->WithLock(
        [&](GroupController& aControl) { aControl.SetCandidates(candidates); });
    }
  }
}

void AssignerProcess::HandleHttp(HttpExchange& aExchange)
{
  const auto path = aExchange.Path();
  if (path == "/_health") {
    aExchange.Respond(detail::kOk, {}, "ok\n");
  } else if (path == "/_ready") {
    // Tables come from the store or, when the store is down, from peers.
    const bool hasTables = !control_.All().empty() || follower_.IsReady();
    aExchange.Respond(hasTables && !stopping_ ? detail::kOk
                                              : detail::kUnavailable,
                      {},
                      hasTables ? "ready\n" : "no tables yet\n");
  } else if (path == "/_metrics") {
    aExchange.Respond(
      detail::kOk, { { "Content-Type", "text/plain" } }, MetricsText());
  } else {
    aExchange.Respond(detail::kNotFound, {}, "no such resource\n");
  }
}

std::string AssignerProcess::MetricsText()
{
  const auto set = [this](const char* aName, double aValue) {
    metrics_.GetGauge(aName).Set(aValue);
  };
  set("cactuspitch_store_calls", static_cast<double>(storeSync_.Calls()));
  set("cactuspitch_store_reachable", storeSync_.IsReachable() ? 1 : 0);
  set("cactuspitch_orders_sent", static_cast<double>(grantSender_.Sent()));
  set("cactuspitch_order_bytes", static_cast<double>(grantSender_.Bytes()));
  set("cactuspitch_orders_dropped",
      static_cast<double>(grantSender_.Dropped()));
  const auto groups = control_.All();
  set("cactuspitch_groups_led",
      static_cast<double>(std::ranges::count_if(groups, [](const auto& aGroup) {
        return aGroup->WithLock([](GroupController& aControl) {
          return aControl.Role() == GroupRole::Assigner;
        });
      })));
  return metrics_.ToPrometheus();
}

wire::ProcessStatus AssignerProcess::Status() const
{
  const auto now = clock_.NowMs();
  const auto config = config_.Get();
  wire::ProcessStatus status;
  status.instance = options_.instance_;
  status.program = "cactuspitch-assigner";
  status.failureDomain = options_.failureDomain_;
  status.uptimeMs = now - startedMs_;
  status.configVersion = config.version_;
  status.configAgeMs = config.confirmedMs_ < 0 ? -1 : now - config.confirmedMs_;
  status.json = AssignerStatusJson(
    control_, balancer_, now, storeSync_.IsReachable(), storeSync_.Calls());
  return status;
}

}
