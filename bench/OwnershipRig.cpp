#include "OwnershipRig.hpp"

#include "common/HttpConnection.hpp"
#include "common/KeyHash.hpp"
#include "common/Strings.hpp"
#include "rpc/TableCodec.hpp"
#include "rpc/ThriftChannel.hpp"
#include "standin/ExecutionHistory.hpp"
#include "tests/HistoryChecker.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>

#include <AssignerPeer.h>
#include <nlohmann/json.hpp>
#include <thrift/TOutput.h>

namespace cactuspitch {

namespace detail {

constexpr int kPeerMs = 500;

absl::Status AskTable(const std::string& aAddress, GroupTable& aTable)
{
  ThriftChannel<wire::AssignerPeerClient> channel(aAddress, kPeerMs, kPeerMs);
  wire::GetTablesRequest request;
  request.instance = "measurement";
  request.role = "admin";
  wire::GetTablesResponse response;
  auto status =
    channel.Run([&](auto& aClient) { aClient.GetTables(response, request); });
  if (status.ok() && response.tables.empty()) {
    return absl::NotFoundError("no table");
  }
  return status.ok() ? ApplyWire(response.tables.front(), aTable) : status;
}

}

OwnershipRig::OwnershipRig(std::string aBinaryDir, DeploymentOptions aOptions)
  : instances_(aOptions.instances_)
  , service_(aOptions.services_.front().name_)
  , deployment_(std::move(aBinaryDir), std::move(aOptions))
{
  apache::thrift::GlobalOutput.setOutputFunction([](const char*) {});
}

std::string OwnershipRig::Start()
{
  auto missing = deployment_.Start();
  if (missing.empty() && !WaitStandbys(5000)) {
    missing = "slices without standby";
  }
  return missing;
}

GroupTable OwnershipRig::Table() const
{
  GroupTable newest;
  for (int i = 0; i < instances_; ++i) {
    GroupTable table;
    if (detail::AskTable(deployment_.AssignerRpc(i), table).ok() &&
        table.IsNewerThan(newest)) {
      newest = std::move(table);
    }
  }
  return newest;
}

int OwnershipRig::AssignerIndex() const
{
  const auto assigner = Table().assigner_;
  for (int i = 0; i < instances_; ++i) {
    if (deployment_.AssignerRpc(i) == assigner) {
      return i;
    }
  }
  return -1;
}

std::string OwnershipRig::OwnerOf(const std::string& aKey) const
{
  const auto table = Table();
  if (table.slices_.empty()) {
    return {};
  }
  const auto* owner = table.Server(table.FindSlice(HashKey(aKey)).owner_);
  return owner == nullptr ? std::string() : owner->id_;
}

std::string OwnershipRig::KeyOwnedBy(const std::string& aServer) const
{
  constexpr int kTrials = 5000;
  const auto table = Table();
  for (int i = 0; i < kTrials && !table.slices_.empty(); ++i) {
    auto key = Concat("key-", i);
    const auto* owner = table.Server(table.FindSlice(HashKey(key)).owner_);
    if (owner != nullptr && owner->id_ == aServer) {
      return key;
    }
  }
  return {};
}

bool OwnershipRig::WaitOwns(const std::string& aServer,
                            bool aOwns,
                            TimeMs aTimeoutMs) const
{
  return WaitFor(aTimeoutMs,
                 [&] { return KeyOwnedBy(aServer).empty() != aOwns; });
}

bool OwnershipRig::WaitStandbys(TimeMs aTimeoutMs) const
{
  return WaitFor(aTimeoutMs, [&] {
    const auto table = Table();
    return !table.slices_.empty() &&
           std::ranges::all_of(table.slices_, [](const SliceRecord& aSlice) {
             return aSlice.owner_ != kNoServer && aSlice.standby_ != kNoServer;
           });
  });
}

bool OwnershipRig::RequestMove(const std::string& aKey) const
{
  const auto assigner = Table().assigner_;
  ThriftChannel<wire::AssignerPeerClient> channel(
    assigner, detail::kPeerMs, detail::kPeerMs);
  return channel
    .Run([&](auto& aClient) {
      aClient.RequestRefresh(service_, static_cast<int64_t>(HashKey(aKey)));
    })
    .ok();
}

std::string OwnershipRig::CheckHistory() const
{
  History history;
  for (const auto& backend : deployment_.BackendNames(service_)) {
    std::ifstream file(deployment_.HistoryFile(backend));
    std::string line;
    while (std::getline(file, line)) {
      const auto json = nlohmann::json::parse(line, nullptr, false);
      // A killed process may leave a partial last line.
      if (json.is_discarded()) {
        continue;
      }
      history.owners_.push_back({ json.at("server").get<std::string>(),
                                  json.at("incarnation").get<std::string>(),
                                  HashKey(json.at("key").get<std::string>()),
                                  json.at("epoch").get<Epoch>(),
                                  json.at("startUs").get<int64_t>(),
                                  json.at("commitUs").get<int64_t>() });
    }
  }
  return ToText(HistoryChecker(history).Check());
}

CallerLoop::CallerLoop(std::string aRouter,
                       const std::string& aService,
                       const std::string& aKey,
                       TimeMs aDeadlineMs)
  : router_(std::move(aRouter))
  , target_(Concat("/", aService, "/", aKey))
  , deadlineMs_(aDeadlineMs)
  , thread_([this] { Run(); })
{
}

CallerLoop::~CallerLoop()
{
  Stop();
}

void CallerLoop::Stop()
{
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::vector<CallerLoop::Attempt> CallerLoop::Attempts() const
{
  const std::lock_guard lock(mutex_);
  return attempts_;
}

double CallerLoop::WaitServedMs(int64_t aFromUs, TimeMs aTimeoutMs) const
{
  constexpr double kUsPerMs = 1000;
  double servedMs = -1;
  WaitFor(aTimeoutMs, [&] {
    const auto attempts = Attempts();
    const auto served =
      std::ranges::find_if(attempts, [=](const Attempt& aAttempt) {
        return aAttempt.complete_ && aAttempt.startUs_ >= aFromUs;
      });
    if (served != attempts.end()) {
      servedMs = static_cast<double>(served->endUs_ - aFromUs) / kUsPerMs;
    }
    return served != attempts.end();
  });
  return servedMs;
}

void CallerLoop::Run()
{
  constexpr size_t kMaxBytes = 1 << 20;
  constexpr TimeMs kSlackMs = 500;
  constexpr auto kPause = std::chrono::milliseconds(2);
  const SteadyClock clock;
  HttpConnection connection(clock, router_);
  for (int64_t i = 0; !stopping_; ++i) {
    Attempt attempt;
    attempt.startUs_ = BootTimeUs();
    const auto answer = connection.Exchange(
      { "GET",
        target_,
        { { header::kRequestId, Concat(target_, "-", i) },
          { header::kDeadlineMs, std::to_string(deadlineMs_) } },
        {} },
      clock.NowMs() + deadlineMs_ + kSlackMs,
      kMaxBytes);
    attempt.endUs_ = BootTimeUs();
    attempt.complete_ =
      answer.ok() && answer->head_.Header(header::kOutcome) == "complete";
    if (!attempt.complete_) {
      attempt.failure_ = answer.ok()
                           ? Concat(answer->head_.Header(header::kOutcome),
                                    " ",
                                    answer->head_.Header(header::kNotRun),
                                    " ",
                                    answer->body_)
                           : answer.status().ToString();
    }
    {
      const std::lock_guard lock(mutex_);
      attempts_.push_back(attempt);
    }
    std::this_thread::sleep_for(kPause);
  }
}

}
