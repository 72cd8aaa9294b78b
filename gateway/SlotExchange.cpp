#include "gateway/SlotExchange.hpp"

#include "common/ShortHash.hpp"
#include "gateway/SlotCodec.hpp"
#include "gossip_types.h"

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kPollMs = 5;
constexpr TimeMs kIdlePollMs = 1000;
constexpr TimeMs kSummaryMs = 100;
/// Summaries are sent for this long after a broker had something to do.
constexpr TimeMs kSummaryHoldMs = 1000;
constexpr TimeMs kIdleBrokerMs = 60000;
constexpr TimeMs kGaugesMs = 250;
/// Sizes of the messages relative to each other, and what fits into a datagram:
/// 12 requests or 40 of the others.
constexpr int kRequestSize = 10;
constexpr int kSmallMessageSize = 3;
constexpr int kDatagramRoom = 120;

}

SlotExchange::Broker::Broker(SlotOptions aOptions,
                             CrossingOptions aCrossing,
                             Place aPlace,
                             uint32_t aSeed,
                             TimeMs aNowMs)
  : place_(aPlace)
  , crossing_(aCrossing, aPlace.second, aSeed)
  , scheduler_(aOptions, crossing_, aSeed)
  , usedMs_(aNowMs)
{
}

SlotExchange::SlotExchange(EventLoop& aLoop,
                           EventLog& aLog,
                           GatewayMetrics& aMetrics,
                           PeerMesh& aMesh,
                           const std::string& aInstance,
                           std::string aDomain,
                           int aCpuPercent,
                           CrossingOptions aCrossing,
                           Handlers aHandlers)
  : loop_(aLoop)
  , log_(aLog)
  , metrics_(aMetrics)
  , mesh_(aMesh)
  , self_(ShortHash(aInstance))
  , domain_(ShortHash(aDomain))
  , crossing_(aCrossing)
  , handlers_(std::move(aHandlers))
  , lookup_(aLoop, aMesh, aInstance, aDomain, aCpuPercent)
  , client_(MakeClient(aDomain))
  , pollTimer_(aLoop, [this] { Poll(); })
  , alive_(std::make_shared<SlotExchange*>(this))
{
  domainNames_[domain_] = std::move(aDomain);
}

SlotExchange::~SlotExchange() = default;

SlotClient SlotExchange::MakeClient(const std::string& aDomain)
{
  return {
    { [this](
        uint32_t aService, uint32_t aTarget, std::optional<uint32_t> aExcept) {
       return FindBroker(aService, aTarget, aExcept);
     },
      [this](uint32_t aBroker, const SlotRequest& aRequest) {
        SendRequest(aBroker, aRequest);
      },
      [this](uint32_t aBroker, const SlotEnd& aEnd) { SendEnd(aBroker, aEnd); },
      [this] {
        decidedDue_ = true;
        ScheduleFlush();
      },
      [this](uint32_t aBroker, const SlotRequest& aRequest) {
        OnSilent(aBroker, aRequest);
      } },
    self_,
    ShortHash(aDomain)
  };
}

std::optional<uint32_t> SlotExchange::FindBroker(
  uint32_t aService,
  uint32_t aDomain,
  std::optional<uint32_t> aExcept)
{
  const auto broker = lookup_.Find(aService, aDomain, aExcept);
  if (!broker) {
    metrics_.OnSlotRequest("client", "unscheduled", "no-broker");
  }
  return broker;
}

void SlotExchange::SendRequest(uint32_t aBroker, const SlotRequest& aRequest)
{
  EnsurePolling();
  if (aBroker == self_) {
    OnRequest(aRequest);
    return;
  }
  outboxes_[aBroker].requests_.push_back(aRequest);
  ScheduleFlush();
}

void SlotExchange::SendEnd(uint32_t aBroker, const SlotEnd& aEnd)
{
  if (aBroker == self_) {
    OnEnd(aEnd);
    return;
  }
  auto& outbox = outboxes_[aBroker];
  std::erase_if(outbox.requests_, [&](const SlotRequest& aRequest) {
    return aRequest.number_ == aEnd.number_;
  });
  outbox.ends_.push_back(aEnd);
  ScheduleFlush();
}

void SlotExchange::SendSummary(uint32_t aGateway, const SlotSummary& aSummary)
{
  if (aGateway == self_) {
    OnSummary(self_, aSummary);
    return;
  }
  outboxes_[aGateway].summaries_.push_back(aSummary);
  ScheduleFlush();
}

void SlotExchange::OnSilent(uint32_t aBroker, const SlotRequest& aRequest)
{
  const auto* peer = lookup_.FindPeer(aBroker);
  const bool isAlive =
    peer != nullptr && PeerMesh::IsAlive(*peer, loop_.NowMs());
  metrics_.OnSlotRequest("client", "unscheduled", "silent-broker");
  log_.Write(LogLevel::Warning,
             "slot-broker-silent",
             { { "broker", lookup_.Name(aBroker) },
               { "service", ServiceName(aRequest.service_) },
               { "domain", DomainName(aRequest.domain_) },
               { "cause", isAlive ? "no-answer" : "not-alive" } });
}

template<typename WireMessages, typename Convert, typename Handle>
void SlotExchange::ReadMessages(const WireMessages& aMessages,
                                Convert aConvert,
                                Handle aHandle)
{
  const auto count = std::min(aMessages.size(), SlotCodec::kMaxMessages);
  metrics_.OnInvalidSlotMessages(aMessages.size() - count);
  for (const auto& message : std::span(aMessages).first(count)) {
    if (const auto converted = aConvert(message)) {
      aHandle(*converted);
    } else {
      metrics_.OnInvalidSlotMessages(1);
    }
  }
}

void SlotExchange::OnReceived(const wire::Gossip& aGossip)
{
  if (aGossip.slotRequests.empty() && aGossip.slotAnswers.empty() &&
      aGossip.slotEnds.empty() && aGossip.slotSummaries.empty()) {
    return;
  }
  const auto sender = ShortHash(aGossip.instance);
  lookup_.Add(sender, aGossip.instance);
  ReadMessages(
    aGossip.slotAnswers,
    [&](const auto& aAnswer) { return SlotCodec::FromWire(aAnswer, self_); },
    [&](const SlotAnswer& aAnswer) { OnAnswer(sender, aAnswer); });
  // Before the requests, which may get the slots that are free now.
  ReadMessages(
    aGossip.slotEnds,
    [&](const auto& aEnd) { return SlotCodec::FromWire(aEnd, sender); },
    [&](const SlotEnd& aEnd) { OnEnd(aEnd); });
  ReadMessages(
    aGossip.slotRequests,
    [&](const auto& aRequest) { return SlotCodec::FromWire(aRequest, sender); },
    [&](const SlotRequest& aRequest) { OnRequest(aRequest); });
  ReadMessages(
    aGossip.slotSummaries,
    [](const auto& aSummary) { return SlotCodec::FromWire(aSummary); },
    [&](const SlotSummary& aSummary) { OnSummary(sender, aSummary); });
}

std::optional<SlotExchange::Place> SlotExchange::PlaceOf(
  const SlotRequest& aRequest) const
{
  const auto service = services_.find(aRequest.service_);
  if (service == services_.end()) {
    return std::nullopt;
  }
  if (aRequest.server_ != 0) {
    const auto server = serverPlaces_.find(aRequest.server_);
    if (server != serverPlaces_.end() &&
        server->second.first == aRequest.service_) {
      return server->second;
    }
  }
  const auto domain = aRequest.domain_ == 0 ? domain_ : aRequest.domain_;
  if (domain != domain_ && !service->second.servers_.contains(domain)) {
    return std::nullopt;
  }
  return Place{ aRequest.service_, domain };
}

void SlotExchange::OnRequest(const SlotRequest& aRequest)
{
  const auto place = PlaceOf(aRequest);
  if (!place || !handlers_.coldLimits_(ServiceName(place->first))) {
    // Another view of the directory or the configuration: the gateway decides
    // alone.
    metrics_.OnSlotRequest("broker", "ignored", "unknown-service");
    SendAnswer({ .gateway_ = aRequest.gateway_,
                 .number_ = aRequest.number_,
                 .verdict_ = SlotVerdict::Elsewhere });
    return;
  }
  auto& broker = GetBroker(*place);
  broker.usedMs_ = loop_.NowMs();
  if (aRequest.returned_ && aRequest.refusedBy_ != 0) {
    broker.crossing_.OnReturned(aRequest.refusedBy_, loop_.NowMs());
  }
  broker.scheduler_.OnRequest(aRequest, loop_.NowMs());
  SendAnswers(broker, &aRequest);
  EnsurePolling();
}

void SlotExchange::OnAnswer(uint32_t aBroker, const SlotAnswer& aAnswer)
{
  metrics_.OnSlotRequest(
    "client", EnumName(aAnswer.verdict_), EnumName(aAnswer.cause_));
  client_.OnAnswer(aBroker, aAnswer, loop_.NowMs());
}

void SlotExchange::OnEnd(const SlotEnd& aEnd)
{
  const auto server = serverPlaces_.find(aEnd.server_);
  if (server != serverPlaces_.end()) {
    const auto broker = brokers_.find(server->second);
    if (broker != brokers_.end()) {
      EndAt(broker->second, aEnd);
    }
    return;
  }
  for (auto& [place, broker] : brokers_) {
    if (aEnd.service_ == 0 || place.first == aEnd.service_) {
      EndAt(broker, aEnd);
    }
  }
}

void SlotExchange::EndAt(Broker& aBroker, const SlotEnd& aEnd)
{
  aBroker.waitingRanks_.erase({ aEnd.gateway_, aEnd.number_ });
  aBroker.scheduler_.OnEnd(aEnd, loop_.NowMs());
  SendAnswers(aBroker);
}

void SlotExchange::OnSummary(uint32_t aGateway, const SlotSummary& aSummary)
{
  const auto service = services_.find(aSummary.service_);
  if (service == services_.end()) {
    return;
  }
  const TimeMs nowMs = loop_.NowMs();
  for (const auto& [domain, name] : domainNames_) {
    const Place place{ aSummary.service_, domain };
    const bool isBroker =
      brokers_.contains(place) || (service->second.servers_.contains(domain) &&
                                   lookup_.Find(place.first, domain) == self_);
    if (domain == aSummary.domain_ || !isBroker) {
      continue;
    }
    auto& broker = GetBroker(place);
    broker.crossing_.OnSummary(aSummary, nowMs);
    // A broker without work sends no summaries of its own.
    auto& answeredMs = broker.answeredMs_[aGateway];
    if (IsQuiet(broker) && aSummary.utilization_ > 0 &&
        nowMs - answeredMs >= detail::kSummaryMs) {
      answeredMs = nowMs;
      SendSummary(aGateway, MakeSummary(broker));
    }
  }
}

bool SlotExchange::IsQuiet(const Broker& aBroker) const
{
  return aBroker.scheduler_.IsIdle() &&
         loop_.NowMs() - aBroker.usedMs_ >= detail::kSummaryHoldMs;
}

SlotSummary SlotExchange::MakeSummary(Broker& aBroker)
{
  aBroker.summaryMs_ = loop_.NowMs();
  auto summary = aBroker.scheduler_.Summary(aBroker.summaryMs_);
  summary.service_ = aBroker.place_.first;
  summary.domain_ = aBroker.place_.second;
  aBroker.crossing_.OnSummary(summary, aBroker.summaryMs_);
  return summary;
}

SlotExchange::Broker& SlotExchange::GetBroker(const Place& aPlace)
{
  const auto found = brokers_.find(aPlace);
  if (found != brokers_.end()) {
    return found->second;
  }
  const TimeMs nowMs = loop_.NowMs();
  SlotOptions options;
  options.cold_ =
    handlers_.coldLimits_(ServiceName(aPlace.first)).value_or(ColdLimits{});
  auto& broker = brokers_
                   .try_emplace(aPlace,
                                options,
                                crossing_,
                                aPlace,
                                static_cast<uint32_t>(seed_()),
                                nowMs)
                   .first->second;
  const auto& servers = services_[aPlace.first].servers_;
  const auto own = servers.find(aPlace.second);
  if (own != servers.end()) {
    broker.scheduler_.SetServers(own->second, nowMs);
  }
  LogBroker("slot-broker-started", aPlace);
  EnsurePolling();
  return broker;
}

void SlotExchange::SendAnswers(Broker& aBroker, const SlotRequest* aRequest)
{
  for (const auto& answer : aBroker.scheduler_.TakeAnswers()) {
    RecordAnswer(aBroker, answer, aRequest);
    SendAnswer(answer);
  }
}

void SlotExchange::SendAnswer(const SlotAnswer& aAnswer)
{
  if (aAnswer.gateway_ == self_) {
    OnAnswer(self_, aAnswer);
  } else {
    outboxes_[aAnswer.gateway_].answers_.push_back(aAnswer);
    ScheduleFlush();
  }
}

void SlotExchange::RecordAnswer(Broker& aBroker,
                                const SlotAnswer& aAnswer,
                                const SlotRequest* aRequest)
{
  metrics_.OnSlotRequest(
    "broker", EnumName(aAnswer.verdict_), EnumName(aAnswer.cause_));
  const RequestId id{ aAnswer.gateway_, aAnswer.number_ };
  if (aAnswer.verdict_ != SlotVerdict::Queued) {
    aBroker.waitingRanks_.erase(id);
  } else if (aRequest != nullptr &&
             id == RequestId{ aRequest->gateway_, aRequest->number_ }) {
    aBroker.waitingRanks_.insert_or_assign(id, aRequest->rank_);
  }
  if (aAnswer.verdict_ == SlotVerdict::Elsewhere) {
    metrics_.OnSlotCrossing(DomainName(aAnswer.domain_));
  }
  if (aAnswer.verdict_ == SlotVerdict::Refused &&
      log_.Allows(LogLevel::Info, "slot-refused")) {
    log_.Write(LogLevel::Info,
               "slot-refused",
               { { "gateway", lookup_.Name(aAnswer.gateway_) },
                 { "number", aAnswer.number_ },
                 { "service", ServiceName(aBroker.place_.first) },
                 { "domain", DomainName(aBroker.place_.second) },
                 { "cause", EnumName(aAnswer.cause_) },
                 { "retry_after_ms", aAnswer.retryAfterMs_ } });
  }
}

void SlotExchange::UpdateServers(const BackendPool& aPool)
{
  const TimeMs nowMs = loop_.NowMs();
  services_.clear();
  serverPlaces_.clear();
  for (const auto& [name, backends] : aPool.Services()) {
    const auto serviceHash = ShortHash(name);
    auto& service = services_[serviceHash];
    service.name_ = name;
    for (const auto& backend : backends) {
      const auto& domainName = backend->entry_.failureDomain_;
      const auto domain = ShortHash(domainName);
      domainNames_.try_emplace(domain, domainName);
      serverPlaces_[backend->idHash_] = { serviceHash, domain };
      auto& servers = service.servers_[domain];
      if (backend->IsUsable() && !handlers_.isEvacuated_(domainName)) {
        servers.push_back({ backend->idHash_,
                            backend->incarnationHash_,
                            backend->entry_.slots_,
                            backend->coldUntilMs_ });
      }
    }
  }
  for (auto& [place, broker] : brokers_) {
    const auto service = services_.find(place.first);
    const bool hasServers = service != services_.end() &&
                            service->second.servers_.contains(place.second);
    broker.scheduler_.SetColdLimits(
      handlers_.coldLimits_(ServiceName(place.first)).value_or(ColdLimits{}));
    broker.scheduler_.SetServers(hasServers
                                   ? service->second.servers_[place.second]
                                   : std::vector<SlotServer>{},
                                 nowMs);
    SendAnswers(broker);
  }
}

void SlotExchange::SendSummaries()
{
  const TimeMs nowMs = loop_.NowMs();
  for (auto& [place, broker] : brokers_) {
    if (IsQuiet(broker) || nowMs - broker.summaryMs_ < detail::kSummaryMs) {
      continue;
    }
    const auto summary = MakeSummary(broker);
    std::set<uint32_t> receivers;
    for (const auto& [domain, name] : domainNames_) {
      const auto receiver = lookup_.Find(place.first, domain);
      if (domain != place.second && receiver) {
        receivers.insert(*receiver);
      }
    }
    for (const auto receiver : receivers) {
      SendSummary(receiver, summary);
    }
  }
}

void SlotExchange::DropIdleBrokers()
{
  const TimeMs nowMs = loop_.NowMs();
  std::erase_if(brokers_, [&](const auto& aEntry) {
    const auto& [place, broker] = aEntry;
    const bool isOld = broker.scheduler_.IsIdle() &&
                       nowMs - broker.usedMs_ >= detail::kIdleBrokerMs;
    if (isOld) {
      LogBroker("slot-broker-ended", place);
    }
    return isOld;
  });
}

void SlotExchange::LogBroker(std::string_view aEvent, const Place& aPlace)
{
  log_.Write(LogLevel::Info,
             aEvent,
             { { "service", ServiceName(aPlace.first) },
               { "domain", DomainName(aPlace.second) } });
}

std::string SlotExchange::ServiceName(uint32_t aService) const
{
  const auto service = services_.find(aService);
  return service == services_.end() ? "unknown" : service->second.name_;
}

std::string SlotExchange::DomainName(uint32_t aDomain) const
{
  const auto name = domainNames_.find(aDomain);
  return name == domainNames_.end() ? "unknown" : name->second;
}

void SlotExchange::ScheduleFlush()
{
  if (!std::exchange(flushDue_, true)) {
    loop_.Defer([alive = std::weak_ptr(alive_)] {
      if (const auto exchange = alive.lock()) {
        (*exchange)->Flush();
      }
    });
  }
}

void SlotExchange::Flush()
{
  flushDue_ = false;
  if (std::exchange(decidedDue_, false)) {
    handlers_.onDecided_();
  }
  for (const auto& [gateway, outbox] : std::exchange(outboxes_, {})) {
    if (const auto* peer = lookup_.FindPeer(gateway)) {
      SendOutbox(*peer, outbox);
    }
  }
}

void SlotExchange::SendOutbox(const Peer& aPeer, const Outbox& aOutbox)
{
  auto gossip = handlers_.makeGossip_();
  int room = detail::kDatagramRoom;
  const auto append = [&](const auto& aMessages, auto aList, int aSize) {
    for (const auto& message : aMessages) {
      if (room < aSize) {
        mesh_.SendTo(aPeer.endpoint_, gossip);
        gossip = handlers_.makeGossip_();
        room = detail::kDatagramRoom;
      }
      (gossip.*aList).push_back(SlotCodec::ToWire(message));
      room -= aSize;
    }
  };
  append(
    aOutbox.answers_, &wire::Gossip::slotAnswers, detail::kSmallMessageSize);
  append(aOutbox.ends_, &wire::Gossip::slotEnds, detail::kSmallMessageSize);
  append(aOutbox.requests_, &wire::Gossip::slotRequests, detail::kRequestSize);
  append(aOutbox.summaries_,
         &wire::Gossip::slotSummaries,
         detail::kSmallMessageSize);
  mesh_.SendTo(aPeer.endpoint_, gossip);
}

void SlotExchange::EnsurePolling()
{
  if (!pollTimer_.IsActive() || !pollsOften_) {
    pollsOften_ = true;
    pollTimer_.Start(detail::kPollMs);
  }
}

void SlotExchange::Poll()
{
  const TimeMs nowMs = loop_.NowMs();
  client_.Poll(nowMs);
  for (auto& [place, broker] : brokers_) {
    broker.scheduler_.Poll(nowMs);
    SendAnswers(broker);
  }
  SendSummaries();
  DropIdleBrokers();
  pollsOften_ = IsBusy();
  if (!pollsOften_ || nowMs - gaugesMs_ >= detail::kGaugesMs) {
    gaugesMs_ = nowMs;
    UpdateGauges();
  }
  if (pollsOften_) {
    pollTimer_.Start(detail::kPollMs);
  } else if (!brokers_.empty() || client_.SlotsInUse() > 0) {
    pollTimer_.Start(detail::kIdlePollMs);
  }
}

bool SlotExchange::IsBusy() const
{
  return client_.HasPending() ||
         std::ranges::any_of(brokers_, [](const auto& aEntry) {
           return !aEntry.second.scheduler_.IsIdle();
         });
}

void SlotExchange::UpdateGauges()
{
  std::array<int, SlotCodec::kMaxRank + 1> waiting{};
  for (const auto& [place, broker] : brokers_) {
    for (const auto& [id, rank] : broker.waitingRanks_) {
      ++waiting[static_cast<size_t>(std::clamp(rank, 0, SlotCodec::kMaxRank))];
    }
  }
  for (int rank = 0; rank <= SlotCodec::kMaxRank; ++rank) {
    metrics_.SetSlotsWaiting(rank, waiting[static_cast<size_t>(rank)]);
  }
  metrics_.SetSlotsInUse(client_.SlotsInUse());
}

}
