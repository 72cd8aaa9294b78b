#include "TableCodec.hpp"

#include <algorithm>
#include <iterator>

namespace cactuspitch {

namespace detail {

wire::SliceRecord ToWire(const SliceRecord& aSlice)
{
  wire::SliceRecord message;
  message.hashBegin = static_cast<int64_t>(aSlice.begin_);
  message.owner = aSlice.owner_;
  message.standby = aSlice.standby_;
  message.epoch = aSlice.epoch_;
  return message;
}

SliceRecord FromWire(const wire::SliceRecord& aMessage)
{
  return { static_cast<KeyHash>(aMessage.hashBegin),
           aMessage.epoch,
           aMessage.owner,
           aMessage.standby };
}

wire::BackendServer ToWire(const BackendServerRecord& aServer)
{
  wire::BackendServer message;
  message.id = aServer.id_;
  message.address = aServer.address_;
  message.failureDomain = aServer.failureDomain_;
  message.incarnation = aServer.incarnation_;
  message.checksFence = aServer.checksFence_;
  message.draining = aServer.draining_;
  message.slots = aServer.slots_;
  message.connections = aServer.connections_;
  message.warmupPercent = aServer.warmupPercent_;
  return message;
}

BackendServerRecord FromWire(const wire::BackendServer& aMessage)
{
  BackendServerRecord server;
  server.id_ = aMessage.id;
  server.address_ = aMessage.address;
  server.failureDomain_ = aMessage.failureDomain;
  server.incarnation_ = aMessage.incarnation;
  server.checksFence_ = aMessage.checksFence;
  server.draining_ = aMessage.draining;
  server.slots_ = aMessage.slots;
  server.connections_ = aMessage.connections;
  server.warmupPercent_ = aMessage.warmupPercent;
  return server;
}

wire::GroupTable HeadToWire(const GroupTable& aTable)
{
  wire::GroupTable message;
  message.serviceName = aTable.service_;
  message.group = aTable.group_;
  message.term = aTable.term_;
  message.sequence = aTable.sequence_;
  message.assigner = aTable.assigner_;
  message.deputy = aTable.deputy_;
  std::ranges::transform(aTable.servers_,
                         std::back_inserter(message.servers),
                         [](const auto& aServer) { return ToWire(aServer); });
  return message;
}

bool HaveSameBoundaries(const GroupTable& aLeft, const GroupTable& aRight)
{
  return std::ranges::equal(aLeft.slices_,
                            aRight.slices_,
                            {},
                            &SliceRecord::begin_,
                            &SliceRecord::begin_);
}

bool AreSlicesValid(const GroupTable& aTable)
{
  const auto& slices = aTable.slices_;
  const auto serverCount = static_cast<int32_t>(aTable.servers_.size());
  const bool sorted =
    std::ranges::adjacent_find(slices,
                               std::ranges::greater_equal{},
                               &SliceRecord::begin_) == slices.end();
  return !slices.empty() && slices.front().begin_ == 0 && sorted &&
         std::ranges::all_of(slices, [=](const SliceRecord& aSlice) {
           return aSlice.owner_ >= kNoServer && aSlice.owner_ < serverCount &&
                  aSlice.standby_ >= kNoServer && aSlice.standby_ < serverCount;
         });
}

}

wire::GroupTable ToWire(const GroupTable& aTable)
{
  auto message = detail::HeadToWire(aTable);
  message.isFull = true;
  std::ranges::transform(
    aTable.slices_,
    std::back_inserter(message.slices),
    [](const SliceRecord& aSlice) { return detail::ToWire(aSlice); });
  return message;
}

wire::GroupTable ToWireDelta(const GroupTable& aOld, const GroupTable& aNew)
{
  if (aOld.term_ != aNew.term_ || !detail::HaveSameBoundaries(aOld, aNew)) {
    return ToWire(aNew);
  }
  auto message = detail::HeadToWire(aNew);
  message.isFull = false;
  // A poll that ends without a change renews the view lease with an empty
  // delta, so most deltas contain no change.
  message.sameServers = aOld.servers_ == aNew.servers_;
  if (message.sameServers) {
    message.servers.clear();
  }
  message.baseSequence = aOld.sequence_;
  for (size_t i = 0; i < aNew.slices_.size(); ++i) {
    if (aNew.slices_[i] != aOld.slices_[i]) {
      message.slices.push_back(detail::ToWire(aNew.slices_[i]));
    }
  }
  return message;
}

absl::Status ApplyWire(const wire::GroupTable& aMessage, GroupTable& aTable)
{
  if (!aMessage.isFull && (aTable.term_ != aMessage.term ||
                           aTable.sequence_ != aMessage.baseSequence)) {
    return absl::FailedPreconditionError(
      "delta applies to another table version");
  }
  GroupTable result;
  result.service_ = aMessage.serviceName;
  result.group_ = aMessage.group;
  result.term_ = aMessage.term;
  result.sequence_ = aMessage.sequence;
  result.assigner_ = aMessage.assigner;
  result.deputy_ = aMessage.deputy;
  std::ranges::transform(
    aMessage.servers,
    std::back_inserter(result.servers_),
    [](const auto& aServer) { return detail::FromWire(aServer); });
  if (!aMessage.isFull) {
    result.slices_ = aTable.slices_;
  }
  if (!aMessage.isFull && aMessage.sameServers) {
    result.servers_ = aTable.servers_;
  }
  for (const auto& slice : aMessage.slices) {
    const auto record = detail::FromWire(slice);
    if (aMessage.isFull) {
      result.slices_.push_back(record);
      continue;
    }
    const auto found = std::ranges::lower_bound(
      result.slices_, record.begin_, {}, &SliceRecord::begin_);
    if (found == result.slices_.end() || found->begin_ != record.begin_) {
      return absl::InvalidArgumentError("delta contains an unknown slice");
    }
    *found = record;
  }
  if (!detail::AreSlicesValid(result)) {
    return absl::InvalidArgumentError(
      "slices are unsorted, incomplete or name an unknown server");
  }
  aTable = std::move(result);
  return absl::OkStatus();
}

}
