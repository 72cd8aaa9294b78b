#include "FollowedTables.hpp"

#include "TableCodec.hpp"
#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

void LeaseExpiry::Extend(TimeMs aEndMs)
{
  TimeMs current = endMs_.load(std::memory_order_relaxed);
  while (current < aEndMs && !endMs_.compare_exchange_weak(
                               current, aEndMs, std::memory_order_release)) {
  }
}

const TablePtr& TableSnapshot::Find(std::string_view aService,
                                    KeyHash aHash) const
{
  static const TablePtr kNone;
  const auto found = services_.find(ToAbsl(aService));
  if (found == services_.end()) {
    return kNone;
  }
  const auto& groups = found->second;
  const auto index = static_cast<size_t>(
    (static_cast<unsigned __int128>(aHash) * groups.size()) >> 64);
  return groups[index];
}

FollowedTables::FollowedTables()
  : snapshot_(std::make_shared<TableSnapshot>())
  , config_(std::make_shared<FollowedConfig>())
{
}

wire::GetTablesRequest FollowedTables::MakeRequest() const
{
  wire::GetTablesRequest request;
  request.configVersion = config_->version_;
  for (const auto& [id, entry] : tables_) {
    // The response contains the full table of a group that is left out here.
    if (entry.needsFull_) {
      continue;
    }
    wire::KnownTable known;
    known.serviceName = id.first;
    known.group = id.second;
    known.term = entry.table_->table_.term_;
    known.sequence = entry.table_->table_.sequence_;
    request.known.push_back(known);
  }
  return request;
}

bool FollowedTables::Apply(const wire::GetTablesResponse& aResponse,
                           const TableSource& aSource,
                           TimeMs aSentMs,
                           TimeMs aReceivedMs)
{
  bool tablesChanged = false;
  for (const auto& message : aResponse.tables) {
    tablesChanged |= ApplyTable(message, aSource, aSentMs);
  }
  if (tablesChanged) {
    Publish();
  }
  // An assigner that has just started may not know the routers yet.
  if (!aResponse.routerPeers.empty()) {
    routerPeers_ = aResponse.routerPeers;
    std::ranges::sort(routerPeers_);
  }
  const bool configChanged =
    aResponse.__isset.config && ApplyConfig(aResponse.config, aReceivedMs);
  return tablesChanged || configChanged;
}

bool FollowedTables::IsComplete() const
{
  return !tables_.empty() &&
         std::ranges::none_of(tables_, [](const auto& aEntry) {
           return aEntry.second.needsFull_ || !aEntry.second.table_;
         });
}

bool FollowedTables::ApplyTable(const wire::GroupTable& aMessage,
                                const TableSource& aSource,
                                TimeMs aSentMs)
{
  constexpr int32_t kMaxGroups = 1 << 16;
  if (aMessage.group < 0 || aMessage.group >= kMaxGroups) {
    return false;
  }
  auto& entry = tables_[{ aMessage.serviceName, aMessage.group }];
  GroupTable table = entry.table_ ? entry.table_->table_ : GroupTable{};
  const std::pair version(aMessage.term, aMessage.sequence);
  const bool isNewer =
    !entry.table_ || version > std::pair(table.term_, table.sequence_);
  if (isNewer) {
    if (!ApplyWire(aMessage, table).ok()) {
      entry.needsFull_ = true;
      return false;
    }
    entry.table_ =
      std::make_shared<FollowedTable>(FollowedTable{ std::move(table), {} });
    entry.needsFull_ = false;
  } else if (version < std::pair(table.term_, table.sequence_)) {
    return false;
  }
  const auto& current = entry.table_->table_;
  if (aMessage.viewLeaseMs > 0 && (aSource.IsNamed(current.assigner_) ||
                                   aSource.IsNamed(current.deputy_))) {
    entry.table_->viewLeaseUntilMs_.Extend(aSentMs + aMessage.viewLeaseMs);
  }
  return isNewer;
}

bool FollowedTables::ApplyConfig(const wire::ConfigDocument& aMessage,
                                 TimeMs aReceivedMs)
{
  const bool isNewer = aMessage.version > config_->version_;
  if (aMessage.version < config_->version_) {
    return false;
  }
  FollowedConfig config = *config_;
  const TimeMs knownAge = config.AgeMs(aReceivedMs);
  config.version_ = aMessage.version;
  if (!aMessage.json.empty()) {
    config.json_ = aMessage.json;
  }
  const bool isFresher =
    aMessage.confirmedAgeMs >= 0 &&
    (isNewer || knownAge < 0 || aMessage.confirmedAgeMs < knownAge);
  if (isFresher || isNewer) {
    config.confirmedAgeMs_ = aMessage.confirmedAgeMs;
    config.receivedMs_ = aReceivedMs;
    config_ = std::make_shared<FollowedConfig>(std::move(config));
  }
  return isNewer;
}

void FollowedTables::Publish()
{
  auto snapshot = std::make_shared<TableSnapshot>();
  for (const auto& [id, entry] : tables_) {
    if (!entry.table_) {
      continue;
    }
    auto& groups = snapshot->services_[id.first];
    const auto index = static_cast<size_t>(id.second);
    groups.resize(std::max(groups.size(), index + 1));
    groups[index] = entry.table_;
  }
  snapshot_ = std::move(snapshot);
}

}
