#include "PeerHandler.hpp"

#include "PeerClient.hpp"
#include "rpc/TableCodec.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

constexpr int32_t kMaxWaitMs = 5000;
/// Tables received from other assigners do not wake a waiting GetTables call,
/// so waiting calls check for them at this interval.
constexpr TimeMs kFollowedCheckIntervalMs = 50;

const wire::KnownTable* FindKnown(const wire::GetTablesRequest& aRequest,
                                  const std::string& aService,
                                  int32_t aGroup)
{
  const auto found =
    std::ranges::find_if(aRequest.known, [&](const wire::KnownTable& aKnown) {
      return aKnown.serviceName == aService && aKnown.group == aGroup;
    });
  return found == aRequest.known.end() ? nullptr : &*found;
}

}

PeerHandler::PeerHandler(const Clock& aClock,
                         ControlLoop& aControl,
                         SliceBalancer& aBalancer,
                         const FleetDirectory& aDirectory,
                         const FleetConfig& aConfig,
                         const TableFollower& aFollower,
                         std::function<wire::ProcessStatus()> aStatus)
  : clock_(aClock)
  , control_(aControl)
  , balancer_(aBalancer)
  , directory_(aDirectory)
  , config_(aConfig)
  , follower_(aFollower)
  , status_(std::move(aStatus))
{
}

void PeerHandler::Heartbeat(wire::HeartbeatResponse& aResponse,
                            const wire::HeartbeatRequest& aRequest)
{
  const auto group = control_.Find(aRequest.serviceName);
  if (!group) {
    aResponse.granted = false;
    aResponse.term = 0;
    return;
  }
  aResponse = ToWire(group->WithLock([&](GroupController& aControl) {
    return aControl.OnHeartbeat(clock_.NowMs(), FromWire(aRequest));
  }));
}

void PeerHandler::GetTables(wire::GetTablesResponse& aResponse,
                            const wire::GetTablesRequest& aRequest)
{
  const auto deadlineMs =
    clock_.NowMs() + std::clamp(aRequest.waitMs, 0, detail::kMaxWaitMs);
  auto seen = control_.ChangeCount();
  while (!FillResponse(aResponse, aRequest) && clock_.NowMs() < deadlineMs) {
    seen = control_.WaitForChange(
      seen,
      std::min(deadlineMs - clock_.NowMs(), detail::kFollowedCheckIntervalMs));
  }
  aResponse.routerPeers = directory_.RouterAddresses();
  if (aResponse.routerPeers.empty()) {
    aResponse.routerPeers = follower_.RouterPeers();
  }
}

bool PeerHandler::FillResponse(wire::GetTablesResponse& aResponse,
                               const wire::GetTablesRequest& aRequest)
{
  aResponse = {};
  bool newer = false;
  for (const auto& group : control_.All()) {
    newer |= FillGroup(aResponse, aRequest, *group);
  }
  for (const auto& followed : follower_.Tables()) {
    if (control_.Find(followed->table_.service_) == nullptr) {
      newer |= FillFollowed(aResponse, aRequest, followed->table_);
    }
  }
  return FillConfig(aResponse, aRequest) || newer;
}

bool PeerHandler::FillGroup(wire::GetTablesResponse& aResponse,
                            const wire::GetTablesRequest& aRequest,
                            ManagedGroup& aGroup)
{
  const auto* known =
    detail::FindKnown(aRequest, aGroup.Service(), aGroup.Group());
  const bool isRouter = aRequest.role == "router";
  const auto view = aGroup.GetView(clock_.NowMs(),
                                   isRouter ? aRequest.instance : std::string(),
                                   known == nullptr ? 0 : known->term,
                                   known == nullptr ? 0 : known->sequence);
  if (!view.isAssigner_) {
    const auto followed = follower_.Table(aGroup.Service(), 0);
    const bool followedIsNewer =
      followed && (!view.table_ || followed->table_.IsNewerThan(*view.table_));
    if (followedIsNewer) {
      return FillFollowed(aResponse, aRequest, followed->table_);
    }
  }
  if (!view.table_) {
    return false;
  }
  const bool isNewer =
    known == nullptr || std::pair(view.table_->term_, view.table_->sequence_) >
                          std::pair(known->term, known->sequence);
  if (!isNewer && view.leaseMs_ == 0) {
    return false;
  }
  auto message =
    view.base_ ? ToWireDelta(*view.base_, *view.table_) : ToWire(*view.table_);
  message.assigner = AddressOrName(message.assigner);
  message.deputy = AddressOrName(message.deputy);
  message.viewLeaseMs = static_cast<int32_t>(view.leaseMs_);
  aResponse.tables.push_back(std::move(message));
  return isNewer;
}

bool PeerHandler::FillFollowed(wire::GetTablesResponse& aResponse,
                               const wire::GetTablesRequest& aRequest,
                               const GroupTable& aTable) const
{
  const auto* known =
    detail::FindKnown(aRequest, aTable.service_, aTable.group_);
  if (known != nullptr && std::pair(aTable.term_, aTable.sequence_) <=
                            std::pair(known->term, known->sequence)) {
    return false;
  }
  aResponse.tables.push_back(ToWire(aTable));
  return true;
}

bool PeerHandler::FillConfig(wire::GetTablesResponse& aResponse,
                             const wire::GetTablesRequest& aRequest) const
{
  const auto document = config_.Get();
  const bool isNewer = document.version_ > aRequest.configVersion;
  aResponse.config.version = document.version_;
  aResponse.config.confirmedAgeMs =
    document.confirmedMs_ < 0 ? -1 : clock_.NowMs() - document.confirmedMs_;
  if (isNewer) {
    aResponse.config.json = document.json_;
  }
  aResponse.__isset.config = document.version_ >= aRequest.configVersion;
  return isNewer;
}

std::string PeerHandler::AddressOrName(const std::string& aInstance) const
{
  const auto address = directory_.AssignerAddress(aInstance);
  return address.empty() ? aInstance : address;
}

void PeerHandler::ReportLoad(const wire::LoadReport& aReport)
{
  balancer_.AddReport(aReport);
}

void PeerHandler::RequestRefresh(const std::string& aService, int64_t aKeyHash)
{
  control_.Post(aService,
                [hash = static_cast<KeyHash>(aKeyHash)](
                  GroupController& aControl, TimeMs, Actions&) {
                  const auto& table = aControl.State().Table();
                  if (table.slices_.empty()) {
                    return;
                  }
                  const auto* standby =
                    table.Server(table.FindSlice(hash).standby_);
                  if (standby != nullptr) {
                    aControl.MoveSlice(hash, standby->id_, "requested");
                  }
                });
}

void PeerHandler::GetStatus(wire::ProcessStatus& aStatus)
{
  aStatus = status_();
}

}
