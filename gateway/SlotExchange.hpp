#pragma once

#include "gateway/BackendPool.hpp"
#include "gateway/BrokerLookup.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/GatewayMetrics.hpp"
#include "gateway/PeerMesh.hpp"
#include "scheduling/ColdRate.hpp"
#include "scheduling/DomainCrossing.hpp"
#include "scheduling/SlotClient.hpp"
#include "scheduling/SlotScheduler.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactuspitch {

namespace wire {
class Gossip;
}

/// Carries slot requests and answers between this gateway and the brokers, and
/// runs the schedulers of the services and failure domains whose broker this
/// gateway is. Gets no requests in a small fleet.
class SlotExchange
{
public:
  struct Handlers
  {
    /// A datagram with the state that every datagram carries.
    std::function<wire::Gossip()> makeGossip_;
    /// A broker has decided on requests that were pending.
    std::function<void()> onDecided_;
    /// Limits of the service's cold servers; none without a configuration.
    std::function<std::optional<ColdLimits>(const std::string& aService)>
      coldLimits_;
    /// Whether the servers of the failure domain are to get no requests.
    std::function<bool(const std::string& aDomain)> isEvacuated_;
  };

  SlotExchange(EventLoop& aLoop,
               EventLog& aLog,
               GatewayMetrics& aMetrics,
               PeerMesh& aMesh,
               const std::string& aInstance,
               std::string aDomain,
               int aCpuPercent,
               CrossingOptions aCrossing,
               Handlers aHandlers);
  ~SlotExchange();

  /// Whether brokers schedule the slots: the fleet is large.
  bool IsActive() const { return mesh_.IsLarge(); }
  SlotClient& Client() { return client_; }
  /// To be called when servers, their states or the evacuated domains changed.
  void UpdateServers(const BackendPool& aPool);
  /// This gateway is about to exit, and hands its places over.
  void SetStopping() { lookup_.SetStopping(); }
  /// Handles the slot messages in a datagram of another gateway.
  void OnReceived(const wire::Gossip& aGossip);

private:
  /// Service and failure domain.
  using Place = std::pair<uint32_t, uint32_t>;
  /// Gateway and number.
  using RequestId = std::pair<uint32_t, int64_t>;

  /// The broker of one place.
  struct Broker
  {
    Broker(SlotOptions aOptions,
           CrossingOptions aCrossing,
           Place aPlace,
           uint32_t aSeed,
           TimeMs aNowMs);

    Place place_;
    DomainCrossing crossing_;
    SlotScheduler scheduler_;
    std::map<RequestId, int> waitingRanks_;
    TimeMs usedMs_;
    TimeMs summaryMs_ = 0; ///< when the last summary was made
    /// When a summary was last sent back to each broker of other domains.
    std::map<uint32_t, TimeMs> answeredMs_;
  };
  struct Service
  {
    std::string name_;
    /// Usable servers, by failure domain.
    std::map<uint32_t, std::vector<SlotServer>> servers_;
  };
  /// Messages for another gateway that are sent at the end of this turn.
  struct Outbox
  {
    std::vector<SlotRequest> requests_;
    std::vector<SlotAnswer> answers_;
    std::vector<SlotEnd> ends_;
    std::vector<SlotSummary> summaries_;
  };

  SlotClient MakeClient(const std::string& aDomain);
  std::optional<uint32_t> FindBroker(uint32_t aService,
                                     uint32_t aDomain,
                                     std::optional<uint32_t> aExcept);
  void SendRequest(uint32_t aBroker, const SlotRequest& aRequest);
  void SendEnd(uint32_t aBroker, const SlotEnd& aEnd);
  void SendSummary(uint32_t aGateway, const SlotSummary& aSummary);
  void OnSilent(uint32_t aBroker, const SlotRequest& aRequest);

  void OnRequest(const SlotRequest& aRequest);
  void OnAnswer(uint32_t aBroker, const SlotAnswer& aAnswer);
  void OnEnd(const SlotEnd& aEnd);
  void OnSummary(uint32_t aGateway, const SlotSummary& aSummary);
  /// Converts and handles the messages of one kind in a datagram.
  template<typename WireMessages, typename Convert, typename Handle>
  void ReadMessages(const WireMessages& aMessages,
                    Convert aConvert,
                    Handle aHandle);

  std::optional<Place> PlaceOf(const SlotRequest& aRequest) const;
  Broker& GetBroker(const Place& aPlace);
  void EndAt(Broker& aBroker, const SlotEnd& aEnd);
  /// Sends the scheduler's answers. aRequest is the one that it just got.
  void SendAnswers(Broker& aBroker, const SlotRequest* aRequest = nullptr);
  void SendAnswer(const SlotAnswer& aAnswer);
  void RecordAnswer(Broker& aBroker,
                    const SlotAnswer& aAnswer,
                    const SlotRequest* aRequest);
  void SendSummaries();
  SlotSummary MakeSummary(Broker& aBroker);
  /// Had nothing to do for some time.
  bool IsQuiet(const Broker& aBroker) const;
  void DropIdleBrokers();
  void LogBroker(std::string_view aEvent, const Place& aPlace);
  std::string ServiceName(uint32_t aService) const;
  std::string DomainName(uint32_t aDomain) const;

  void ScheduleFlush();
  void Flush();
  void SendOutbox(const Peer& aPeer, const Outbox& aOutbox);
  void EnsurePolling();
  void Poll();
  bool IsBusy() const;
  void UpdateGauges();

  EventLoop& loop_;
  EventLog& log_;
  GatewayMetrics& metrics_;
  PeerMesh& mesh_;
  uint32_t self_;
  uint32_t domain_;
  CrossingOptions crossing_;
  Handlers handlers_;
  BrokerLookup lookup_;
  SlotClient client_;
  std::map<Place, Broker> brokers_;
  std::unordered_map<uint32_t, Service> services_;
  std::unordered_map<uint32_t, Place> serverPlaces_;
  std::unordered_map<uint32_t, std::string> domainNames_;
  std::unordered_map<uint32_t, Outbox> outboxes_;
  bool flushDue_ = false;
  bool decidedDue_ = false; ///< Handlers::onDecided_ is due
  Timer pollTimer_;
  bool pollsOften_ = false;
  TimeMs gaugesMs_ = 0;
  std::random_device seed_;
  /// Deferred calls check whether this object still exists.
  std::shared_ptr<SlotExchange*> alive_;
};

}
