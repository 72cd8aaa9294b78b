#include "gateway/EvacuationWatch.hpp"

#include "common/JsonText.hpp"
#include "common/NameCheck.hpp"
#include "common/Strings.hpp"
#include "gossip_types.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kEvacuationWatchMs = 5000;
/// Domains in each datagram: less than a kilobyte.
constexpr size_t kMaxEvacuatedDomains = 32;
/// Longest time that a starting gateway waits for the state: the leader sends
/// four times a second, and a list takes at most a second.
constexpr TimeMs kMaxSettleMs = 3000;

EvacuationSet::Domains Difference(const EvacuationSet::Domains& aLeft,
                                  const EvacuationSet::Domains& aRight)
{
  EvacuationSet::Domains difference;
  std::ranges::set_difference(
    aLeft, aRight, std::inserter(difference, difference.end()));
  return difference;
}

}

EvacuationWatch::EvacuationWatch(EventLoop& aLoop,
                                 EventLog& aLog,
                                 StoreClient& aStore,
                                 MetricsRegistry& aRegistry,
                                 std::string aKind,
                                 bool aEnabled,
                                 Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , store_(aStore)
  , domains_(aRegistry.GetGauge("cactuspitch_evacuated_domains"))
  , enabled_(aEnabled)
  , handlers_(std::move(aHandlers))
  , watcher_(
      aLoop,
      aLog,
      aStore,
      std::move(aKind),
      detail::kEvacuationWatchMs,
      ResumeMode::List,
      false,
      { [this] { listed_.clear(); },
        [this](const std::vector<StoreObject>& aObjects) { OnPage(aObjects); },
        [this](bool aComplete) { OnListEnd(aComplete); },
        [this](const std::vector<ObjectEvent>& aEvents) {
          OnEvents(aEvents);
        } })
  , startedMs_(aLoop.NowMs())
{
}

void EvacuationWatch::Start()
{
  startedMs_ = loop_.NowMs();
  if (enabled_) {
    watcher_.Start();
  }
}

void EvacuationWatch::SetActive(bool aActive)
{
  watcher_.SetActive(enabled_ && aActive);
}

void EvacuationWatch::Refresh()
{
  if (enabled_) {
    watcher_.Refresh();
  }
}

void EvacuationWatch::OnStoreRestored()
{
  watcher_.OnRestored();
}

void EvacuationWatch::Update()
{
  if (watcher_.IsActive()) {
    set_.AdvanceTo(watcher_.Revision());
  }
}

bool EvacuationWatch::IsSettled() const
{
  return !enabled_ || set_.Revision() != 0 ||
         loop_.NowMs() - startedMs_ >= detail::kMaxSettleMs;
}

bool EvacuationWatch::IsReadable(const StoreObject& aObject)
{
  const bool isDomain = IsName(aObject.name_);
  const bool isOdd = !isDomain || !aObject.spec_.is_object();
  const auto name = aObject.name_.substr(0, kMaxNameBytes);
  // The watcher has logged objects that have a fault.
  if (isOdd && aObject.fault_ == ObjectFault::None &&
      reported_.Passes(name, loop_.NowMs())) {
    log_.Write(LogLevel::Warning,
               "evacuation-unreadable",
               { { "place", Concat("evacuation ", name) },
                 { "revision", RevisionNumber(aObject.revision_) },
                 { "value", WriteJson(aObject.spec_).substr(0, 64) },
                 { "decision", isDomain ? "evacuated" : "ignored" } });
  }
  return isDomain;
}

void EvacuationWatch::OnPage(const std::vector<StoreObject>& aObjects)
{
  for (const auto& object : aObjects) {
    if (IsReadable(object)) {
      listed_.insert(object.name_);
    }
  }
}

void EvacuationWatch::OnListEnd(bool aComplete)
{
  auto domains = std::exchange(listed_, {});
  const auto before = set_.All();
  const bool changed = aComplete
                         ? set_.Replace(std::move(domains), watcher_.Revision())
                         : set_.ApplyPart(domains, {});
  if (changed) {
    Report(before, "store");
  }
}

void EvacuationWatch::OnEvents(const std::vector<ObjectEvent>& aEvents)
{
  EvacuationSet::Domains began;
  EvacuationSet::Domains ended;
  for (const auto& event : LatestEventPerObject(aEvents)) {
    if (event.removed_) {
      ended.insert(event.object_.name_);
    } else if (IsReadable(event.object_)) {
      began.insert(event.object_.name_);
    }
  }
  const auto before = set_.All();
  const bool changed = watcher_.IsCutShort()
                         ? set_.ApplyPart(began, ended)
                         : set_.Apply(began, ended, watcher_.Revision());
  if (changed) {
    Report(before, "store");
  }
}

void EvacuationWatch::AddState(wire::Gossip& aGossip) const
{
  if (enabled_ && set_.Revision() != 0) {
    aGossip.evacuatedDomains =
      set_.Select(detail::kMaxEvacuatedDomains, handlers_.hasServers_);
    aGossip.evacuationRevision = set_.Revision();
  }
}

void EvacuationWatch::OnGossip(const wire::Gossip& aGossip)
{
  // Almost all datagrams say what is known.
  if (!enabled_ || aGossip.evacuationRevision <= set_.Revision()) {
    return;
  }
  EvacuationSet::Domains reported(aGossip.evacuatedDomains.begin(),
                                  aGossip.evacuatedDomains.end());
  const auto before = set_.All();
  if (set_.Merge(reported, aGossip.evacuationRevision)) {
    Report(before, aGossip.instance);
  }
}

void EvacuationWatch::Log(std::string_view aEvent,
                          const std::string& aDomain,
                          std::string_view aSource)
{
  log_.Write(LogLevel::Warning,
             aEvent,
             { { "domain", aDomain },
               { "revision", RevisionNumber(set_.Revision()) },
               { "era", RevisionEra(set_.Revision()) },
               { "source", aSource },
               { "store_age_ms", store_.ResponseAgeMs() } });
}

void EvacuationWatch::Report(const EvacuationSet::Domains& aBefore,
                             std::string_view aSource)
{
  if (set_.All() == aBefore) {
    return;
  }
  const auto ended = detail::Difference(aBefore, set_.All());
  for (const auto& domain : detail::Difference(set_.All(), aBefore)) {
    Log("evacuation-began", domain, aSource);
  }
  for (const auto& domain : ended) {
    Log("evacuation-ended", domain, aSource);
  }
  domains_.Set(static_cast<double>(set_.All().size()));
  handlers_.onChanged_(ended, aSource == "store");
}

}
