#include "gateway/KeyGossip.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

/// Splits ranges into parts that fit into one datagram.
class PartWriter
{
public:
  explicit PartWriter(std::string aService)
    : service_(std::move(aService))
  {
  }
  void Add(const KeySegment& aSegment, bool aActive)
  {
    if (parts_.empty() ||
        parts_.back().ranges.size() >= KeyGossip::kMaxRanges) {
      parts_.emplace_back();
      parts_.back().serviceName = service_;
      owners_.clear();
    }
    auto& part = parts_.back();
    const auto [entry, isNew] = owners_.try_emplace(
      aSegment.owner_, static_cast<int32_t>(part.owners.size()));
    if (isNew) {
      part.owners.push_back(aSegment.owner_);
    }
    wire::OwnedRange range;
    range.first = static_cast<int32_t>(aSegment.first_);
    range.last = static_cast<int32_t>(aSegment.last_);
    range.owner = entry->second;
    range.fence = aSegment.fence_;
    range.active = aActive;
    part.ranges.push_back(range);
  }
  std::vector<wire::OwnedKeys> Take() { return std::move(parts_); }

private:
  std::string service_;
  std::vector<wire::OwnedKeys> parts_;
  std::map<std::string, int32_t> owners_;
};

}

void KeyGossip::Reset()
{
  sent_.clear();
  nextSlice_.clear();
}

std::vector<wire::OwnedKeys> KeyGossip::TakeChanges(
  const std::string& aService,
  const KeyOwnership& aOwnership)
{
  detail::PartWriter writer(aService);
  auto& sent = sent_[aService];
  std::map<uint32_t, Sent> now;
  const auto& segments = aOwnership.Segments();
  for (size_t index = 0; index < segments.size(); ++index) {
    const auto& segment = segments[index];
    const bool active = aOwnership.IsActive(index);
    const Sent state{ segment.last_, segment.fence_, active };
    const auto before = sent.find(segment.first_);
    if (before == sent.end() || before->second != state) {
      writer.Add(segment, active);
    }
    now.emplace(segment.first_, state);
  }
  sent = std::move(now);
  return writer.Take();
}

wire::OwnedKeys KeyGossip::NextSlice(const std::string& aService,
                                     const KeyOwnership& aOwnership)
{
  detail::PartWriter writer(aService);
  const auto& segments = aOwnership.Segments();
  auto& next = nextSlice_[aService];
  if (next >= segments.size()) {
    next = 0;
  }
  const auto end = std::min(next + kMaxRanges, segments.size());
  for (; next < end; ++next) {
    writer.Add(segments[next], aOwnership.IsActive(next));
  }
  auto parts = writer.Take();
  return parts.empty() ? wire::OwnedKeys() : parts.front();
}

std::vector<wire::OwnedKeys> KeyGossip::All(const std::string& aService,
                                            const KeyOwnership& aOwnership)
{
  detail::PartWriter writer(aService);
  for (size_t index = 0; index < aOwnership.Segments().size(); ++index) {
    writer.Add(aOwnership.Segments()[index], aOwnership.IsActive(index));
  }
  return writer.Take();
}

bool KeyGossip::Apply(const wire::OwnedKeys& aKeys, KeyOwnerMap& aView)
{
  const auto owners = static_cast<int32_t>(aKeys.owners.size());
  bool changed = false;
  for (const auto& range : aKeys.ranges) {
    if (range.owner < 0 || range.owner >= owners || range.first < 0 ||
        range.last < range.first ||
        range.last >= static_cast<int32_t>(kKeyCount)) {
      continue;
    }
    changed |=
      aView.Apply(aKeys.serviceName,
                  { static_cast<uint32_t>(range.first),
                    static_cast<uint32_t>(range.last),
                    { aKeys.owners[range.owner], range.fence, range.active } });
  }
  return changed;
}

}
