#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/OrderSender.hpp"
#include "gateway/PlatformPort.hpp"
#include "gateway/StoreLink.hpp"
#include "keyspace/KeyBalancer.hpp"
#include "keyspace/KeyLoad.hpp"
#include "keyspace/KeyOwnership.hpp"
#include "net/HttpClient.hpp"
#include "policy/LoadBoard.hpp"
#include "policy/OwnerAdmission.hpp"
#include "routing/RoutingConfig.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cactuspitch {

/// The leader's work: it keeps the key table in the store, orders backend
/// servers to take and release keys, and moves keys by load. Decisions are in
/// keyspace/.
class KeyDirector
{
public:
  struct Handlers
  {
    /// True while orders may be sent.
    std::function<bool()> mayOrder_;
    std::function<GrantScope()> grantScope_;
    /// Owners have changed.
    std::function<void()> onChanged_;
    /// A newer leader wrote the table or fenced a server.
    std::function<void(std::string_view aCause)> onSuperseded_;
    OrderSender::LeavingCallback onLeaving_;
  };

  KeyDirector(EventLoop& aLoop,
              EventLog& aLog,
              StoreLink& aStore,
              HttpClient& aClient,
              const OrderProtocol& aProtocol,
              const LoadBoard& aBoard,
              TimeMs aMaxHoldMs,
              Handlers aHandlers);

  /// The call that reads the key table.
  static CallRequest ReadTable(const ObjectProtocol& aProtocol);

  void Start(int64_t aTerm);
  void Stop();
  void OnForeignEnded();
  /// Holds from the next term on.
  void SetMaxHold(TimeMs aMaxHoldMs) { maxHoldMs_ = aMaxHoldMs; }

  void SetServices(std::set<std::string> aKeyedServices);
  /// Takes over the entries of the named servers; one without entry is gone.
  void UpdateBackends(const std::map<std::string, BackendEntry>& aEntries,
                      const std::set<std::string>& aChanged);
  void AddLoad(const std::string& aService, uint32_t aKey, int aRequests);
  /// Demand and capacity of the owners of keys.
  std::vector<OwnerDemand> Demands() const;

  const std::map<std::string, std::unique_ptr<KeyOwnership>>& Ownership() const
  {
    return services_;
  }

private:
  void Tick();
  void RetryLater(std::function<void()> aTask);
  void Read();
  void OnRead(const StoreAnswer& aAnswer);
  /// Requests for keys of the service were seen.
  bool HasDemand(const std::string& aService) const;
  void ProposeChanges();
  void Write(std::map<std::string, KeySegments> aProposed);
  void OnWritten(const StoreAnswer& aAnswer);
  void ResolveUnknown();
  void OnCommitted(int64_t aRevision);
  void SendOrders();
  void OnOrderDone(const KeyOrder& aOrder, const OrderAnswer& aAnswer);
  void UpdateCandidates();
  /// Of a request of the service, over its measured servers.
  double MeanWorkMs(const std::string& aService) const;
  double MeanWorkSeconds(const std::string& aService) const;
  void ReportChanges();
  std::vector<KeyOwnership::Move> PlanMoves(const std::string& aService,
                                            const KeyOwnership& aOwnership);
  void DecideTiming(const KeyTable& aEarlier);
  int64_t NextFence();

  EventLoop& loop_;
  EventLog& log_;
  StoreLink& store_;
  OrderSender sender_;
  const LoadBoard& board_;
  TimeMs maxHoldMs_; ///< longest grant that backend servers accept
  Handlers handlers_;
  Timer timer_;
  Timer retryTimer_;
  std::function<void()> retry_;
  bool running_ = false;
  bool loaded_ = false; ///< the table of the earlier leader was taken over
  uint64_t run_ = 0;    ///< answers of earlier runs are ignored
  int64_t term_ = 0;
  std::optional<GrantTiming> timing_; ///< of this term
  int64_t fences_ = 0;
  int64_t writeId_ = 0;
  int64_t revision_ = 0;
  bool writing_ = false;
  TimeMs lastWriteMs_ = 0;
  TimeMs lastBalanceMs_ = 0;
  std::map<std::string, KeySegments> written_; ///< content of the last write
  std::set<std::string> keyedServices_;
  std::map<std::string, BackendEntry> backends_;
  std::map<std::string, TimeMs> warmAtMs_;
  std::map<std::string, std::unique_ptr<KeyOwnership>> services_;
  std::map<std::string, uint64_t> reported_;
  std::map<std::string, KeyLoad> loads_;
};

}
