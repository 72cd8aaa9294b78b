#include "FailureRun.hpp"

#include "common/KeyHash.hpp"
#include "common/Strings.hpp"
#include "standin/ZipfKeyDistribution.hpp"
#include "tests/HistoryChecker.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <tuple>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr char kService[] = "inspection-ledger";
constexpr size_t kKeys = 200;

template<typename Visit>
void VisitLines(const std::string& aFile, Visit&& aVisit)
{
  std::ifstream file(aFile);
  for (std::string line; std::getline(file, line);) {
    // A killed process may leave its last line incomplete; such a line is
    // skipped.
    const auto document = nlohmann::json::parse(line, nullptr, false);
    if (document.is_object()) {
      aVisit(document);
    }
  }
}

RecordedExecution ToExecution(const nlohmann::json& aLine)
{
  return { aLine.value("server", ""),
           aLine.value("incarnation", ""),
           aLine.value("id", ""),
           aLine.value("method", ""),
           aLine.value("service", ""),
           aLine.value("key", ""),
           aLine.value("epoch", Epoch{}),
           aLine.value("startUs", int64_t{}),
           aLine.value("commitUs", int64_t{}) };
}

/// Ownership intervals, each from the first to the last commit of a key by one
/// process under one epoch. The times are in microseconds, although the members
/// of OwnerInterval end in Ms.
std::vector<OwnerInterval> ToOwners(
  const std::vector<RecordedExecution>& aExecutions)
{
  using Id = std::tuple<KeyHash, Epoch, std::string>;
  std::map<Id, OwnerInterval> owners;
  for (const auto& run : aExecutions) {
    const auto key = HashKey(Concat(run.service_, "/", run.key_));
    const auto [entry, isFirst] =
      owners.try_emplace({ key, run.epoch_, run.incarnation_ },
                         OwnerInterval{ run.server_,
                                        run.incarnation_,
                                        key,
                                        run.epoch_,
                                        run.commitUs_,
                                        run.commitUs_ + 1 });
    auto& owner = entry->second;
    owner.startMs_ = std::min(owner.startMs_, run.commitUs_);
    owner.endMs_ = std::max(owner.endMs_, run.commitUs_ + 1);
  }
  std::vector<OwnerInterval> list;
  for (auto& [id, owner] : owners) {
    list.push_back(std::move(owner));
  }
  return list;
}

/// Merges the sends of each request into one response. NotRun holds only if
/// every send ended as not run or unreachable; Complete wins, and any other
/// result makes the outcome Unknown.
std::vector<ClientResponse> ToResponses(const std::vector<RecordedSend>& aSends)
{
  std::map<std::string, ClientResponse> answers;
  for (const auto& send : aSends) {
    const auto outcome =
      send.outcome_ == "complete" ? Outcome::Complete
      : send.outcome_ == "not-run" || send.outcome_ == "unreachable"
        ? Outcome::NotRun
        : Outcome::Unknown;
    const auto [entry, isFirst] = answers.try_emplace(
      send.requestId_,
      ClientResponse{ send.requestId_, outcome, send.requestId_ });
    auto& known = entry->second.outcome_;
    if (outcome == Outcome::Complete || known == Outcome::NotRun) {
      known = outcome;
    }
  }
  std::vector<ClientResponse> list;
  for (auto& [id, answer] : answers) {
    list.push_back(std::move(answer));
  }
  return list;
}

}

std::string CheckHistories(const std::vector<RecordedExecution>& aExecutions,
                           const std::vector<RecordedSend>& aSends)
{
  History history;
  history.owners_ = detail::ToOwners(aExecutions);
  history.responses_ = detail::ToResponses(aSends);
  for (const auto& run : aExecutions) {
    const bool isIdempotent = run.method_ != "POST";
    // A router appends the attempt number to the id of an idempotent request,
    // e.g. "id.2".
    const auto id = isIdempotent
                      ? run.requestId_.substr(0, run.requestId_.find('.'))
                      : run.requestId_;
    history.executions_.push_back({ id, run.server_, isIdempotent });
  }
  auto violations = ToText(HistoryChecker(history).Check());
  for (const auto& send : aSends) {
    if (send.outcome_ == "unanswered" || send.outcome_ == "mismatched") {
      AppendTo(violations, send.requestId_, " ", send.outcome_, "\n");
    }
  }
  return violations;
}

DeploymentOptions FailureRun::DefaultOptions()
{
  DeploymentOptions options;
  options.services_ = { { .name_ = detail::kService, .backends_ = 4 } };
  return options;
}

FailureRun::FailureRun(std::string aBinaryDir, DeploymentOptions aOptions)
  : deployment_(std::move(aBinaryDir), std::move(aOptions))
{
  load_.services_ = { detail::kService };
  load_.rate_ = 200;
  load_.durationMs_ = 60000;
  load_.connections_ = 24;
  load_.keys_ = detail::kKeys;
  load_.zipfExponent_ = 0.5;
  load_.postPercent_ = 40;
  load_.deadlineMs_ = 1500;
  load_.maxAttempts_ = 10;
}

FailureRun::~FailureRun()
{
  if (loadThread_.joinable()) {
    stop_ = true;
    loadThread_.join();
  }
}

std::string FailureRun::Start()
{
  auto missing = deployment_.Start();
  if (!missing.empty()) {
    return missing;
  }
  const auto routers = deployment_.Routers();
  load_.targets_ = routers;
  if (!routers_.empty()) {
    load_.targets_.clear();
    for (const int index : routers_) {
      load_.targets_.push_back(routers[static_cast<size_t>(index)]);
    }
  }
  load_.history_ = Concat(Fleet().LogDirectory(), "/callers.history");
  load_.stop_ = &stop_;
  loadThread_ = std::thread([this] { report_ = RunLoad(clock_, load_); });
  return {};
}

void FailureRun::SleepFor(TimeMs aTimeMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTimeMs));
}

std::string FailureRun::OwnerOf(const std::string& aKey)
{
  std::string owner;
  WaitFor(10000, [&] {
    const auto answer = HttpCall("GET",
                                 deployment_.Routers().front(),
                                 Concat("/", detail::kService, "/", aKey));
    if (answer) {
      owner = nlohmann::json::parse(*answer).value("server", "");
    }
    return !owner.empty();
  });
  return owner;
}

std::optional<int> FailureRun::InstanceIndex(const char* aMember)
{
  const auto text = HttpCall("GET",
                             deployment_.StoreAddress(),
                             Concat("/objects/group/", detail::kService, ".0"));
  const auto group = nlohmann::json::parse(text.value_or(""), nullptr, false);
  if (!group.is_object()) {
    return std::nullopt;
  }
  const auto name = group.value(aMember, std::string());
  int index = -1;
  ParseNumber(std::string_view(name).substr(name.empty() ? 0 : 1), index);
  return index < 0 ? std::nullopt : std::optional(index);
}

std::optional<int> FailureRun::AssignerIndex()
{
  return InstanceIndex("assigner");
}

std::optional<int> FailureRun::DeputyIndex()
{
  return InstanceIndex("deputy");
}

bool FailureRun::AllKeysServed()
{
  constexpr TimeMs kServedMs = 15000;
  const auto& routers = load_.targets_;
  for (size_t key = 0; key < detail::kKeys; ++key) {
    const auto target =
      Concat("/", detail::kService, "/", ZipfKeyDistribution::KeyName(key));
    const bool served = WaitFor(kServedMs, [&] {
      return std::ranges::any_of(routers, [&](const std::string& aRouter) {
        return HttpCall("GET", aRouter, target).has_value();
      });
    });
    if (!served) {
      return false;
    }
  }
  return true;
}

std::string FailureRun::Finish()
{
  if (!loadThread_.joinable()) {
    return "the load generator was not started\n";
  }
  stop_ = true;
  loadThread_.join();
  auto violations = CheckHistories(Executions(), Sends());
  if (report_->Count(LoadOutcome::Complete) == 0) {
    violations += "no request completed\n";
  }
  return violations;
}

std::vector<RecordedExecution> FailureRun::Executions() const
{
  std::vector<RecordedExecution> executions;
  for (const auto& name : deployment_.BackendNames(detail::kService)) {
    detail::VisitLines(deployment_.HistoryFile(name),
                       [&](const nlohmann::json& aLine) {
                         executions.push_back(detail::ToExecution(aLine));
                       });
  }
  return executions;
}

std::vector<RecordedSend> FailureRun::Sends() const
{
  std::vector<RecordedSend> sends;
  detail::VisitLines(load_.history_, [&](const nlohmann::json& aLine) {
    sends.push_back({ aLine.value("id", ""),
                      aLine.value("method", ""),
                      aLine.value("outcome", ""),
                      aLine.value("reason", "") });
  });
  return sends;
}

}
