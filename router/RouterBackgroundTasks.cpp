#include "RouterBackgroundTasks.hpp"

#include "PeerService.hpp"
#include "common/Log.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kRefreshIntervalMs = 100;
/// With these intervals, changes reach all instances within 2 s, even if one
/// message is lost.
constexpr TimeMs kQuarantineCheckIntervalMs = 100;
constexpr TimeMs kQuarantineResendIntervalMs = 1000;
constexpr TimeMs kReportIntervalMs = 1000;
constexpr size_t kHotKeys = 84;
/// Idle time after which a connection is closed, since servers also close idle
/// connections after some time.
constexpr TimeMs kMaxIdleConnectionMs = 30000;

}

RouterBackgroundTasks::RouterBackgroundTasks(RouterContext& aContext,
                                             std::string aOwnAddress,
                                             RouterChannelPool& aRouters,
                                             AssignerChannelPool& aAssigners)
  : context_(aContext)
  , ownAddress_(std::move(aOwnAddress))
  , routers_(aRouters)
  , assigners_(aAssigners)
{
}

RouterBackgroundTasks::~RouterBackgroundTasks()
{
  Stop();
}

void RouterBackgroundTasks::Start()
{
  threads_.emplace_back([this] { RunRefresh(); });
  threads_.emplace_back([this] { RunQuarantine(); });
  threads_.emplace_back([this] { RunReports(); });
}

void RouterBackgroundTasks::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

bool RouterBackgroundTasks::SleepFor(TimeMs aMs)
{
  std::unique_lock lock(mutex_);
  return !stopped_.wait_for(
    lock, std::chrono::milliseconds(aMs), [this] { return stopping_; });
}

void RouterBackgroundTasks::RunRefresh()
{
  do {
    Refresh();
  } while (SleepFor(detail::kRefreshIntervalMs));
}

void RouterBackgroundTasks::Refresh()
{
  const auto now = UnixNowMs();
  const auto config = context_.tables_.Config();
  if (config && config->version_ > context_.rules_.Version() &&
      config->version_ != rejectedVersion_) {
    const auto updated =
      context_.rules_.Update(config->json_, config->version_, now);
    if (updated.ok()) {
      Log(LogLevel::Info,
          "configuration applied",
          { { "version", config->version_ } });
    } else {
      rejectedVersion_ = config->version_;
      Log(LogLevel::Error,
          "configuration is malformed; keeping the previous one",
          { { "version", config->version_ },
            { "findings", std::string(updated.message()) } });
    }
  }
  context_.rules_.Expire(now);
  const auto peers = context_.tables_.RouterPeers();
  const auto count = std::max<int>(1, static_cast<int>(peers.size()));
  context_.routers_ = count;
  context_.quarantine_.SetMembers(ownAddress_, peers);
}

void RouterBackgroundTasks::RunQuarantine()
{
  FetchQuarantine();
  TimeMs lastShareMs = context_.clock_.NowMs();
  while (SleepFor(detail::kQuarantineCheckIntervalMs)) {
    const TimeMs now = context_.clock_.NowMs();
    const bool resend =
      now - lastShareMs >= detail::kQuarantineResendIntervalMs &&
      context_.quarantine_.HasSuspects();
    if (context_.quarantine_.TakeChanged() || resend) {
      ShareQuarantine();
      lastShareMs = now;
    }
  }
}

void RouterBackgroundTasks::FetchQuarantine()
{
  for (const auto& peer : context_.tables_.RouterPeers()) {
    if (peer == ownAddress_) {
      continue;
    }
    std::vector<wire::QuarantineEntry> entries;
    const auto status = routers_.Run(peer, [&](auto& aClient) {
      entries.clear();
      aClient.ListQuarantine(entries);
    });
    if (status.ok()) {
      std::vector<CrashSuspect> suspects;
      std::ranges::transform(entries, std::back_inserter(suspects), FromWire);
      context_.quarantine_.Merge(suspects);
    }
  }
}

void RouterBackgroundTasks::ShareQuarantine()
{
  std::vector<wire::QuarantineEntry> entries;
  std::ranges::transform(
    context_.quarantine_.Entries(),
    std::back_inserter(entries),
    [](const CrashSuspect& aSuspect) { return ToWire(aSuspect); });
  for (const auto& peer : context_.tables_.RouterPeers()) {
    if (peer != ownAddress_) {
      // The next periodic message makes up for a lost one.
      (void)routers_.Run(
        peer, [&](auto& aClient) { aClient.ShareQuarantine(entries); });
    }
  }
}

std::map<std::string, wire::ServerMeasurement>
RouterBackgroundTasks::MeasureServers()
{
  std::map<std::string, wire::ServerMeasurement> measurements;
  for (const auto& server : context_.registry_.Servers().All()) {
    const auto window = server->Latency().EndWindow();
    wire::ServerMeasurement measurement;
    measurement.server = server->Id();
    measurement.requests = server->requests_.exchange(0);
    measurement.refusals = server->refusals_.exchange(0);
    measurement.failures = server->failures_.exchange(0);
    measurement.meanMs = window.meanMs_;
    measurement.p99Ms = window.p99Ms_;
    measurement.inFlight = server->Pool().InFlight();
    measurements[server->Id()] = measurement;
  }
  return measurements;
}

RouterBackgroundTasks::Reports RouterBackgroundTasks::MakeReports(
  TimeMs aWindowMs)
{
  Reports reports;
  const auto measurements = MeasureServers();
  for (const auto& table : context_.tables_.Tables()) {
    auto& report =
      reports[context_.tables_.AssignerAddress(table->table_.assigner_)];
    report.instance = context_.instance_;
    report.windowMs = static_cast<int32_t>(aWindowMs);
    for (const auto& server : table->table_.servers_) {
      const auto found = measurements.find(server.id_);
      if (found != measurements.end()) {
        report.servers.push_back(found->second);
      }
    }
  }
  AddLoad(reports);
  std::vector<wire::ServerMeasurement> all;
  std::ranges::transform(measurements,
                         std::back_inserter(all),
                         [](const auto& aEntry) { return aEntry.second; });
  const std::lock_guard lock(mutex_);
  lastMeasurements_ = std::move(all);
  return reports;
}

void RouterBackgroundTasks::AddLoad(Reports& aReports)
{
  const auto window = context_.loadRecorder_.EndWindow(detail::kHotKeys);
  const auto reportOf = [&](const std::string& aService,
                            KeyHash aHash) -> wire::LoadReport* {
    const auto table = context_.tables_.Table(aService, aHash);
    if (!table) {
      return nullptr;
    }
    const auto found =
      aReports.find(context_.tables_.AssignerAddress(table->table_.assigner_));
    return found == aReports.end() ? nullptr : &found->second;
  };
  for (const auto& slice : window.slices_) {
    if (auto* report = reportOf(slice.service_, slice.begin_)) {
      wire::SliceLoad load;
      load.serviceName = slice.service_;
      load.hashBegin = static_cast<int64_t>(slice.begin_);
      load.requests = slice.requests_;
      load.busyMs = slice.busyMs_;
      report->slices.push_back(load);
    }
  }
  constexpr double kMsPerSecond = 1000;
  for (const auto& [service, keys] : window.hotKeys_) {
    for (const auto& key : keys) {
      if (auto* report = reportOf(service, key.hash_)) {
        // For a cold key, the upper bound consists mostly of the sketch's
        // error.
        const double lowerBound = key.perSecond_ - key.errorPerSecond_;
        wire::KeyLoad load;
        load.serviceName = service;
        load.keyHash = static_cast<int64_t>(key.hash_);
        load.requests =
          std::lround(lowerBound * report->windowMs / kMsPerSecond);
        report->hotKeys.push_back(load);
      }
    }
  }
}

void RouterBackgroundTasks::RunReports()
{
  TimeMs lastMs = context_.clock_.NowMs();
  while (SleepFor(detail::kReportIntervalMs)) {
    const TimeMs now = context_.clock_.NowMs();
    for (const auto& [assigner, report] : MakeReports(now - lastMs)) {
      if (assigner.empty()) {
        continue;
      }
      const auto& body = report;
      const auto status = assigners_.Run(
        assigner, [&](auto& aClient) { aClient.ReportLoad(body); });
      reportsSent_ += status.ok() ? 1 : 0;
    }
    lastMs = now;
    CloseIdleConnections();
  }
}

void RouterBackgroundTasks::CloseIdleConnections()
{
  const TimeMs limit = context_.clock_.NowMs() - detail::kMaxIdleConnectionMs;
  for (const auto& server : context_.registry_.Servers().All()) {
    server->Pool().CloseIdleUnusedSince(limit);
  }
}

std::vector<wire::ServerMeasurement> RouterBackgroundTasks::LastMeasurements()
  const
{
  const std::lock_guard lock(mutex_);
  return lastMeasurements_;
}

}
