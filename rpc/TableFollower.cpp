#include "TableFollower.hpp"

#include "TablePoller.hpp"
#include "common/Settings.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace cactuspitch {

namespace detail {

/// The table snapshot that this thread used last. A process has one follower
/// but tests have several, so the entry records which follower it belongs to.
struct SnapshotCache
{
  uint64_t follower_ = 0;
  uint64_t version_ = 0;
  std::shared_ptr<const TableSnapshot> snapshot_;
};

uint64_t NextFollowerId()
{
  static std::atomic<uint64_t> last = 0;
  return ++last;
}

}

struct TableFollower::Impl
{
  Impl(const Clock& aClock, TableFollowerOptions aOptions)
    : clock_(aClock)
    , options_(std::move(aOptions))
    , id_(detail::NextFollowerId())
  {
  }

  const TableSnapshot& Snapshot() const;
  wire::GetTablesRequest MakeRequest();
  /// Returns true when a table or the configuration became newer.
  bool OnResponse(const TableResponse& aResponse);
  std::set<std::string> WantedAddresses();
  std::string NextBootstrap(const std::set<std::string>& aNamed);
  void ReconcilePollers();
  void RunManager();
  void RunRefresh();
  std::vector<std::string> RefreshTargets();
  TablePoller::Callbacks Callbacks();

  const Clock& clock_;
  const TableFollowerOptions options_;
  const uint64_t id_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  FollowedTables tables_;
  /// Instance names by Thrift address, as reported by the processes themselves.
  std::map<std::string, std::string> instances_;
  std::atomic<uint64_t> version_ = 1;
  bool running_ = false;
  bool refreshWanted_ = false;

  /// The following members are used by the manager thread only.
  std::map<std::string, std::unique_ptr<TablePoller>> pollers_;
  std::string bootstrap_;
  size_t nextBootstrap_ = 0;

  std::thread manager_;
  std::thread refresher_;
};

const TableSnapshot& TableFollower::Impl::Snapshot() const
{
  thread_local detail::SnapshotCache cache;
  const uint64_t version = version_.load(std::memory_order_acquire);
  if (cache.follower_ != id_ || cache.version_ != version) {
    const std::lock_guard lock(mutex_);
    cache = { id_, version, tables_.Snapshot() };
  }
  return *cache.snapshot_;
}

wire::GetTablesRequest TableFollower::Impl::MakeRequest()
{
  const std::lock_guard lock(mutex_);
  auto request = tables_.MakeRequest();
  request.instance = options_.instance_;
  request.role = options_.role_;
  return request;
}

bool TableFollower::Impl::OnResponse(const TableResponse& aResponse)
{
  {
    const std::lock_guard lock(mutex_);
    instances_[aResponse.source_.address_] = aResponse.source_.instance_;
    if (!tables_.Apply(aResponse.response_,
                       aResponse.source_,
                       aResponse.sentMs_,
                       clock_.NowMs())) {
      return false;
    }
    version_.fetch_add(1, std::memory_order_release);
  }
  changed_.notify_all();
  return true;
}

/// Addresses of the assigners and deputies that the tables name.
std::set<std::string> TableFollower::Impl::WantedAddresses()
{
  const std::lock_guard lock(mutex_);
  std::set<std::string> addresses;
  const auto add = [&](const std::string& aName) {
    if (IsValidAddress(aName)) {
      addresses.insert(aName);
    }
    for (const auto& [address, instance] : instances_) {
      if (!aName.empty() && instance == aName) {
        addresses.insert(address);
      }
    }
  };
  for (const auto& [service, groups] : tables_.Snapshot()->services_) {
    for (const auto& table : groups) {
      if (table) {
        add(table->table_.assigner_);
        add(table->table_.deputy_);
      }
    }
  }
  return addresses;
}

/// Selects the bootstrap assigner to poll. The current one is kept while it
/// responds and is not polled already as an assigner or deputy.
std::string TableFollower::Impl::NextBootstrap(
  const std::set<std::string>& aNamed)
{
  const auto& all = options_.assigners_;
  const auto current = pollers_.find(bootstrap_);
  const bool isResponsive =
    current != pollers_.end() && !current->second->IsSilent();
  if (isResponsive && !aNamed.contains(bootstrap_)) {
    return bootstrap_;
  }
  for (size_t tried = 0; tried < all.size(); ++tried) {
    const auto& candidate = all[nextBootstrap_++ % all.size()];
    if (candidate != bootstrap_ && !aNamed.contains(candidate)) {
      return candidate;
    }
  }
  return all.empty() ? std::string() : all[nextBootstrap_ % all.size()];
}

void TableFollower::Impl::ReconcilePollers()
{
  auto wanted = WantedAddresses();
  bootstrap_ = NextBootstrap(wanted);
  if (!bootstrap_.empty()) {
    wanted.insert(bootstrap_);
  }
  for (const auto& address : wanted) {
    auto& poller = pollers_[address];
    if (!poller || poller->HasEnded()) {
      poller =
        std::make_unique<TablePoller>(clock_, options_, address, Callbacks());
    }
  }
  for (const auto& [address, poller] : pollers_) {
    if (!wanted.contains(address)) {
      poller->RequestStop();
    }
  }
  std::erase_if(pollers_, [&](const auto& aEntry) {
    return !wanted.contains(aEntry.first) && aEntry.second->HasEnded();
  });
}

void TableFollower::Impl::RunManager()
{
  constexpr auto kInterval = std::chrono::milliseconds(100);
  while (true) {
    ReconcilePollers();
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kInterval, [this] { return !running_; });
    if (!running_) {
      break;
    }
  }
  for (const auto& [address, poller] : pollers_) {
    poller->RequestStop();
  }
  pollers_.clear();
}

std::vector<std::string> TableFollower::Impl::RefreshTargets()
{
  const auto named = WantedAddresses();
  std::vector<std::string> targets(named.begin(), named.end());
  if (targets.empty()) {
    targets = options_.assigners_;
  }
  return targets;
}

void TableFollower::Impl::RunRefresh()
{
  // Limits the requests that a burst of refusals causes.
  constexpr auto kMinInterval = std::chrono::milliseconds(20);
  std::map<std::string, std::unique_ptr<TableClient>> clients;
  std::unique_lock lock(mutex_);
  while (running_) {
    changed_.wait(lock, [this] { return refreshWanted_ || !running_; });
    if (!running_) {
      return;
    }
    refreshWanted_ = false;
    lock.unlock();
    for (const auto& address : RefreshTargets()) {
      auto& client = clients[address];
      if (!client) {
        client = std::make_unique<TableClient>(clock_, options_, address);
      }
      const auto response = client->Fetch(MakeRequest(), 0);
      if (response.ok()) {
        OnResponse(*response);
      }
    }
    std::this_thread::sleep_for(kMinInterval);
    lock.lock();
  }
}

TablePoller::Callbacks TableFollower::Impl::Callbacks()
{
  return { [this] { return MakeRequest(); },
           [this](const TableResponse& aResponse) {
             return OnResponse(aResponse);
           } };
}

TableFollower::TableFollower(const Clock& aClock, TableFollowerOptions aOptions)
  : impl_(std::make_unique<Impl>(aClock, std::move(aOptions)))
{
}

TableFollower::~TableFollower()
{
  Stop();
}

void TableFollower::Start()
{
  {
    const std::lock_guard lock(impl_->mutex_);
    impl_->running_ = true;
  }
  impl_->manager_ = std::thread([this] { impl_->RunManager(); });
  impl_->refresher_ = std::thread([this] { impl_->RunRefresh(); });
}

void TableFollower::Stop()
{
  {
    const std::lock_guard lock(impl_->mutex_);
    impl_->running_ = false;
  }
  impl_->changed_.notify_all();
  if (impl_->manager_.joinable()) {
    impl_->manager_.join();
    impl_->refresher_.join();
  }
}

std::shared_ptr<const FollowedTable> TableFollower::Table(
  std::string_view aService,
  KeyHash aHash) const
{
  return impl_->Snapshot().Find(aService, aHash);
}

std::vector<std::shared_ptr<const FollowedTable>> TableFollower::Tables() const
{
  std::vector<TablePtr> tables;
  for (const auto& [service, groups] : impl_->Snapshot().services_) {
    std::ranges::copy_if(
      groups, std::back_inserter(tables), [](const TablePtr& aTable) {
        return aTable != nullptr;
      });
  }
  return tables;
}

std::shared_ptr<const FollowedConfig> TableFollower::Config() const
{
  const std::lock_guard lock(impl_->mutex_);
  return impl_->tables_.Config();
}

std::vector<std::string> TableFollower::RouterPeers() const
{
  const std::lock_guard lock(impl_->mutex_);
  return impl_->tables_.RouterPeers();
}

std::string TableFollower::AssignerAddress(const std::string& aName) const
{
  if (IsValidAddress(aName)) {
    return aName;
  }
  const std::lock_guard lock(impl_->mutex_);
  const auto found =
    std::ranges::find_if(impl_->instances_, [&](const auto& aEntry) {
      return !aName.empty() && aEntry.second == aName;
    });
  return found == impl_->instances_.end() ? std::string() : found->first;
}

bool TableFollower::IsReady() const
{
  const std::lock_guard lock(impl_->mutex_);
  return impl_->tables_.IsComplete();
}

bool TableFollower::WaitNewer(std::string_view aService,
                              KeyHash aHash,
                              Term aTerm,
                              int64_t aSequence,
                              TimeMs aDeadlineMs)
{
  std::unique_lock lock(impl_->mutex_);
  while (true) {
    const auto& table = impl_->tables_.Snapshot()->Find(aService, aHash);
    if (table && std::pair(table->table_.term_, table->table_.sequence_) >
                   std::pair(aTerm, aSequence)) {
      return true;
    }
    const TimeMs left = aDeadlineMs - impl_->clock_.NowMs();
    if (left <= 0) {
      return false;
    }
    impl_->changed_.wait_for(lock, std::chrono::milliseconds(left));
  }
}

void TableFollower::RequestRefresh(std::string_view /*aService*/,
                                   KeyHash /*aHash*/)
{
  {
    const std::lock_guard lock(impl_->mutex_);
    impl_->refreshWanted_ = true;
  }
  impl_->changed_.notify_all();
}

}
