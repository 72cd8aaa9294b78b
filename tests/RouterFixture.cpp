#include "RouterFixture.hpp"

#include <chrono>

namespace cactuspitch {

void FakeRoutingTables::Set(GroupTable aTable, TimeMs aViewLeaseUntilMs)
{
  {
    const std::lock_guard lock(mutex_);
    table_ = std::make_shared<const FollowedTable>(
      FollowedTable{ std::move(aTable), aViewLeaseUntilMs });
  }
  changed_.notify_all();
}

std::vector<std::string> FakeRoutingTables::RouterPeers() const
{
  const std::lock_guard lock(mutex_);
  return peers_;
}

void FakeRoutingTables::SetPeers(std::vector<std::string> aPeers)
{
  const std::lock_guard lock(mutex_);
  peers_ = std::move(aPeers);
}

void FakeRoutingTables::OnRefresh(std::function<void()> aAction)
{
  const std::lock_guard lock(mutex_);
  onRefresh_ = std::move(aAction);
}

std::shared_ptr<const FollowedTable> FakeRoutingTables::Table(
  std::string_view aService,
  KeyHash /*aHash*/) const
{
  const std::lock_guard lock(mutex_);
  return table_ && table_->table_.service_ == aService ? table_ : nullptr;
}

std::vector<std::shared_ptr<const FollowedTable>> FakeRoutingTables::Tables()
  const
{
  const std::lock_guard lock(mutex_);
  return { table_ };
}

bool FakeRoutingTables::WaitNewer(std::string_view /*aService*/,
                                  KeyHash /*aHash*/,
                                  Term aTerm,
                                  int64_t aSequence,
                                  TimeMs aDeadlineMs)
{
  std::unique_lock lock(mutex_);
  return changed_.wait_for(
    lock, std::chrono::milliseconds(aDeadlineMs - clock_.NowMs()), [&] {
      const auto& table = table_->table_;
      return std::tie(table.term_, table.sequence_) >
             std::tie(aTerm, aSequence);
    });
}

void FakeRoutingTables::RequestRefresh(std::string_view /*aService*/,
                                       KeyHash /*aHash*/)
{
  ++refreshes_;
  std::function<void()> action;
  {
    const std::lock_guard lock(mutex_);
    action.swap(onRefresh_);
  }
  if (action) {
    action();
  }
}

RouterFixture::RouterFixture()
  : tables_(clock_)
{
  tables_.SetPeers({ rpc_.Address() });
  RouterSettings settings;
  settings.instance_ = "entry-1";
  settings.failureDomain_ = "cairo-a";
  settings.listen_ = http_.Address();
  settings.rpcListen_ = rpc_.Address();
  settings.threads_ = 16;
  settings.maxParked_ = 8;
  settings.maxPathBytes_ = 200;
  settings.ledgerEntries_ = 1000;
  settings.keepAliveMs_ = 1000;
  settings.writeTimeoutMs_ = 2000;
  settings.stopTimeoutMs_ = 5000;
  settings.peerTimeoutMs_ = 200;
  ClearOwner();
  router_ = std::make_unique<Router>(clock_, settings, tables_);
  const auto started = router_->Start();
  if (!started.ok()) {
    throw std::runtime_error(std::string(started.message()));
  }
}

void RouterFixture::SetOwner(const FakeBackend& aBackend,
                             Epoch aEpoch,
                             bool aChecksFence,
                             TimeMs aViewLeaseUntilMs)
{
  GroupTable table;
  table.service_ = "svc";
  table.sequence_ = ++sequence_;
  BackendServerRecord record;
  record.id_ = "server-" + aBackend.Address();
  record.address_ = aBackend.Address();
  record.slots_ = 8;
  record.connections_ = 8;
  record.checksFence_ = aChecksFence;
  table.servers_ = { record };
  table.slices_ = { { 0, aEpoch, 0, kNoServer } };
  tables_.Set(std::move(table), aViewLeaseUntilMs);
}

void RouterFixture::ClearOwner(Epoch aEpoch)
{
  GroupTable table;
  table.service_ = "svc";
  table.sequence_ = ++sequence_;
  table.slices_ = { { 0, aEpoch, kNoServer, kNoServer } };
  tables_.Set(std::move(table));
}

absl::StatusOr<HttpResponse> RouterFixture::Send(const std::string& aMethod,
                                                 const std::string& aPath,
                                                 HttpHeaders aHeaders,
                                                 const std::string& aBody) const
{
  constexpr TimeMs kTimeoutMs = 10000;
  constexpr size_t kMaxBytes = 64 << 20;
  HttpConnection connection(clock_, http_.Address());
  return connection.Exchange({ aMethod, aPath, std::move(aHeaders), aBody },
                             clock_.NowMs() + kTimeoutMs,
                             kMaxBytes);
}

absl::StatusOr<HttpResponse> RouterFixture::Post(const std::string& aId,
                                                 HttpHeaders aHeaders) const
{
  aHeaders.emplace_back(header::kRequestId, aId);
  return Send("POST", "/svc/key", std::move(aHeaders), "body");
}

}
