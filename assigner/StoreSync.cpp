#include "StoreSync.hpp"

#include "common/JsonField.hpp"
#include "common/Log.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <map>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr size_t kQueueCapacity = 256;
constexpr TimeMs kRetryIntervalMs = 200;
constexpr TimeMs kRoleCheckIntervalMs = 200;
const char* const kGroupKind = "group";

std::string GroupName(const std::string& aService)
{
  return Concat(aService, ".0");
}

/// Service of a group object's name "{service}.{n}"; empty when the name has
/// another form.
std::string ServiceOf(const std::string& aName)
{
  const auto dot = aName.rfind('.');
  return dot == std::string::npos ? std::string() : aName.substr(0, dot);
}

/// Version stated in the document; 0 when the document is malformed. The
/// version of the store object is a different number, since not every store
/// counts from 1.
int64_t ConfigVersion(const std::string& aText)
{
  return FieldOr(
    nlohmann::json::parse(aText, nullptr, false), "version", int64_t{ 0 });
}

WriteResult ToResult(const absl::Status& aStatus)
{
  switch (aStatus.code()) {
    case absl::StatusCode::kOk:
      return WriteResult::Written;
    case absl::StatusCode::kFailedPrecondition:
      return WriteResult::Conflict;
    case absl::StatusCode::kUnavailable:
      return WriteResult::NotSent;
    default:
      return WriteResult::Unknown;
  }
}

/// True when the store responded, whatever the result was.
bool HasResponded(const absl::Status& aStatus)
{
  return aStatus.ok() || absl::IsNotFound(aStatus) ||
         absl::IsFailedPrecondition(aStatus);
}

}

StoreSync::StoreSync(const Clock& aClock,
                     ObjectStore& aStore,
                     ControlLoop& aControl,
                     FleetDirectory& aDirectory,
                     FleetConfig& aConfig)
  : clock_(aClock)
  , store_(aStore)
  , control_(aControl)
  , directory_(aDirectory)
  , config_(aConfig)
  , ring_(detail::kQueueCapacity)
{
}

StoreSync::~StoreSync()
{
  Stop();
}

const std::vector<StoreSync::WatchSpec>& StoreSync::WatchSpecs()
{
  // The watch of the groups also serves as a probe of the store, so its calls
  // are shorter than those of the other watches. The loss of the store must be
  // noticed, and the deputy armed, before a second process is lost.
  static const std::vector<WatchSpec> kWatches = {
    { "group", 3000, &StoreSync::AcceptGroups, &StoreSync::NeedsStoreState },
    { "config", 5000, &StoreSync::AcceptConfig, &StoreSync::NeedsConfig },
    { "instance", 30000, &StoreSync::AcceptInstances, nullptr },
    { "server", 10000, &StoreSync::AcceptServers, &StoreSync::NeedsStoreState },
  };
  return kWatches;
}

void StoreSync::Start()
{
  threads_.emplace_back([this] { RunJobs(); });
  for (const auto& watch : WatchSpecs()) {
    threads_.emplace_back([this, &watch] { RunWatch(watch); });
  }
}

void StoreSync::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopChanged_.notify_all();
  ring_.Close();
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void StoreSync::Write(const std::string& aService, const WriteGroup& aWrite)
{
  ring_.TryPush({ aService, true, aWrite });
}

void StoreSync::Read(const std::string& aService)
{
  ring_.TryPush({ aService, false, {} });
}

void StoreSync::RunJobs()
{
  constexpr auto kWait = std::chrono::milliseconds(1000);
  while (!ring_.IsClosed()) {
    const auto job = ring_.Pop(kWait);
    if (job) {
      Execute(*job);
    }
  }
}

void StoreSync::Execute(const Job& aJob)
{
  ++calls_;
  const auto name = detail::GroupName(aJob.service_);
  if (!aJob.isWrite_) {
    const auto object = store_.Get(detail::kGroupKind, name);
    SetReachable(object.status());
    if (object.ok()) {
      PostObject(*object);
    } else if (absl::IsNotFound(object.status())) {
      control_.Post(
        aJob.service_,
        [](GroupController& aControl, TimeMs aNowMs, Actions& aActions) {
          aControl.OnObjectMissing(aNowMs, aActions);
        });
    }
    return;
  }
  const auto& write = aJob.write_;
  const auto text = EncodeGroup(write.object_);
  if (!text.ok()) {
    Log(LogLevel::Error,
        "group object not written",
        { { "group", name }, { "reason", text.status().message() } });
    return;
  }
  const auto version =
    store_.Put(detail::kGroupKind, name, write.expectedVersion_, *text);
  SetReachable(version.status());
  control_.Post(aJob.service_,
                [change = write.object_.change_,
                 result = detail::ToResult(version.status()),
                 written = version.ok() ? *version : 0](
                  GroupController& aControl, TimeMs aNowMs, Actions& aActions) {
                  aControl.OnWriteResult(
                    aNowMs, change, result, written, aActions);
                });
}

void StoreSync::RunWatch(const WatchSpec& aSpec)
{
  int64_t since = 0;
  bool first = true;
  while (!WaitForStop(0)) {
    if (!first && aSpec.isNeeded_ != nullptr && !(this->*aSpec.isNeeded_)()) {
      WaitForStop(detail::kRoleCheckIntervalMs);
      continue;
    }
    ++calls_;
    int64_t revision = since;
    // The first call returns the current state without waiting.
    const auto objects =
      store_.Watch(aSpec.kind_, since, first ? 0 : aSpec.waitMs_, revision);
    SetReachable(objects.status());
    if (!objects.ok()) {
      WaitForStop(detail::kRetryIntervalMs);
      continue;
    }
    // The revision is also taken when it is lower: a store that lost its state
    // starts again with lower revisions.
    since = revision;
    (this->*aSpec.accept_)(*objects, first);
    first = false;
  }
}

void StoreSync::PostObject(const StoredObject& aObject)
{
  const auto service = detail::ServiceOf(aObject.name_);
  auto group = DecodeGroup(aObject.value_);
  if (!group.ok() || service.empty()) {
    Log(LogLevel::Error,
        "malformed group object",
        { { "group", aObject.name_ }, { "reason", group.status().message() } });
    return;
  }
  control_.EnsureGroup(service);
  control_.Post(service,
                [version = aObject.version_, group = std::move(*group)](
                  GroupController& aControl, TimeMs aNowMs, Actions& aActions) {
                  aControl.OnObject(aNowMs, version, group, aActions);
                });
}

void StoreSync::AcceptGroups(const Objects& aObjects, bool)
{
  std::ranges::for_each(
    aObjects, [this](const StoredObject& aObject) { PostObject(aObject); });
}

void StoreSync::AcceptConfig(const Objects& aObjects, bool)
{
  const auto now = clock_.NowMs();
  config_.Confirm(now);
  for (const auto& object : aObjects) {
    if (object.name_ == "fleet" &&
        config_.UpdateIfNewer(
          detail::ConfigVersion(object.value_), object.value_, now)) {
      control_.NotifyChange();
    }
  }
}

absl::StatusOr<StoreSync::Objects> StoreSync::ListAll(const char* aKind)
{
  ++calls_;
  // A watch does not report removed objects, so the whole list is read again.
  auto objects = store_.List(aKind);
  SetReachable(objects.status());
  return objects;
}

void StoreSync::AcceptInstances(const Objects& aObjects, bool aFirst)
{
  if (aObjects.empty() && !aFirst) {
    return;
  }
  const auto objects = ListAll("instance");
  if (!objects.ok()) {
    return;
  }
  std::vector<InstanceEntry> instances;
  for (const auto& object : *objects) {
    auto entry = ParseInstance(object.value_);
    if (entry.ok()) {
      instances.push_back(std::move(*entry));
    }
  }
  directory_.SetInstances(std::move(instances));
  control_.Post("",
                [candidates = directory_.Candidates()](
                  GroupController& aControl, TimeMs, Actions&) {
                  aControl.SetCandidates(candidates);
                });
}

void StoreSync::AcceptServers(const Objects& aObjects, bool aFirst)
{
  if (aObjects.empty() && !aFirst) {
    return;
  }
  const auto objects = ListAll("server");
  if (!objects.ok()) {
    return;
  }
  std::map<std::string, std::vector<BackendServerRecord>> services;
  for (const auto& object : *objects) {
    auto entry = ParseServer(object.value_);
    if (entry.ok()) {
      services[entry->service_].push_back(std::move(entry->record_));
    }
  }
  for (auto& [service, servers] : services) {
    const bool isNew = control_.EnsureGroup(service);
    control_.Post(
      service,
      [servers = std::move(servers), candidates = directory_.Candidates()](
        GroupController& aControl, TimeMs, Actions&) {
        aControl.SetServers(servers);
        aControl.SetCandidates(candidates);
      });
    if (isNew) {
      control_.Post(service,
                    [reachable = reachable_.load()](
                      GroupController& aControl, TimeMs aNowMs, Actions&) {
                      aControl.SetStoreReachable(aNowMs, reachable);
                    });
      Read(service);
    }
  }
}

void StoreSync::SetReachable(const absl::Status& aStatus)
{
  const bool reachable = detail::HasResponded(aStatus);
  if (reachable_.exchange(reachable) != reachable) {
    Log(reachable ? LogLevel::Info : LogLevel::Warning,
        reachable ? "store reachable" : "store unreachable",
        { { "reason", aStatus.message() } });
  }
  control_.Post(
    "", [reachable](GroupController& aControl, TimeMs aNowMs, Actions&) {
      aControl.SetStoreReachable(aNowMs, reachable);
    });
}

bool StoreSync::NeedsStoreState() const
{
  const auto groups = control_.All();
  return groups.empty() || directory_.Candidates().empty() ||
         std::ranges::any_of(groups, [](const auto& aGroup) {
           return aGroup->WithLock([](GroupController& aControl) {
             return aControl.Role() != GroupRole::None ||
                    aControl.CandidateRank() < kMonitoringCandidates;
           });
         });
}

bool StoreSync::NeedsConfig() const
{
  const auto groups = control_.All();
  return groups.empty() || directory_.Candidates().empty() ||
         std::ranges::any_of(groups, [](const auto& aGroup) {
           return aGroup->WithLock([](GroupController& aControl) {
             return aControl.Role() == GroupRole::Assigner;
           });
         });
}

bool StoreSync::WaitForStop(TimeMs aTimeoutMs)
{
  std::unique_lock lock(mutex_);
  return stopChanged_.wait_for(
    lock, std::chrono::milliseconds(aTimeoutMs), [this] { return stopping_; });
}

}
