#pragma once

#include "gateway/CommandSender.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/PlatformInterface.hpp"
#include "gateway/StoreClient.hpp"
#include "keyspace/KeyBalancer.hpp"
#include "keyspace/KeyLoad.hpp"
#include "keyspace/KeyOwnerMap.hpp"
#include "keyspace/KeyOwnership.hpp"
#include "net/HttpClient.hpp"
#include "policy/FleetLoadTable.hpp"
#include "policy/OwnerAdmission.hpp"
#include "routing/RoutingConfig.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cactuspitch {

/// Assigns keys to backend servers while this gateway is the leader: stores the
/// key table, sends grants and releases, and moves keys according to load. The
/// decisions are made in keyspace/.
class KeyCoordinator
{
public:
  struct Handlers
  {
    /// True while commands may be sent.
    std::function<bool()> maySendCommands_;
    /// The same as in CommandSender::Handlers.
    std::function<GrantScope(TimeMs aSinceMs)> grantScope_;
    std::function<void(TimeMs aSinceMs)> requireConfirmation_;
    /// Owners of keys have changed.
    std::function<void()> onChanged_;
    /// A newer leader has written the key table.
    std::function<void(std::string_view aCause)> onSuperseded_;
    /// A server rejected the present fence of a lease, so a newer leader may
    /// have been elected.
    std::function<void()> onFenceRejected_;
    /// A server announced its shutdown or named a limit in a response to a
    /// command.
    CommandSender::NoticeCallback onNotice_;
    /// Owners of a service's keys according to gossip.
    std::function<const std::vector<KeyOwnerMap::Range>&(
      const std::string& aService)>
      knownOwners_;
    /// Requests per second to which the server has limited itself for longer
    /// than a short time; infinite without a limit.
    std::function<double(const BackendEntry& aEntry)> requestLimit_;
    /// Whether the servers of the failure domain are to own no keys.
    std::function<bool(const std::string& aDomain)> isEvacuated_;
  };

  KeyCoordinator(EventLoop& aLoop,
                 EventLog& aLog,
                 StoreClient& aStore,
                 HttpClient& aClient,
                 const CommandProtocol& aProtocol,
                 const FleetLoadTable& aFleetLoads,
                 TimeMs aMaxLeaseMs,
                 Handlers aHandlers);

  /// Request that reads the key table.
  static StoreRequest TableReadRequest(const ObjectProtocol& aProtocol);

  /// Starts to assign keys as the leader of this term.
  void Start(int64_t aTerm);
  void Stop();
  /// Must be called when all earlier leaders are known to have exited or
  /// stopped leading.
  void OnEarlierLeadersEnded();
  /// Applies from the next term on.
  void SetMaxLease(TimeMs aMaxLeaseMs) { maxLeaseMs_ = aMaxLeaseMs; }

  /// The store was restored from an older copy, which lacks later tables.
  void OnStoreRestored();

  void SetKeyedServices(std::set<std::string> aKeyedServices);
  /// Updates the servers in aChanged from aEntries. A server without an entry
  /// is removed.
  void UpdateBackends(const std::map<std::string, BackendEntry>& aEntries,
                      const std::set<std::string>& aChanged);
  /// Adds a number of recent requests to the load of a key.
  void AddLoad(const std::string& aService, uint32_t aKey, int aRequests);
  /// Demand and capacity of all owners of keys, in requests per second.
  std::vector<OwnerDemand> Demands() const;

  const std::map<std::string, std::unique_ptr<KeyOwnership>>& Ownership() const
  {
    return services_;
  }

private:
  void Tick();
  void RetryLater(std::function<void()> aTask);
  void LoadTable();
  void OnTableLoaded(const StoreResponse& aResponse);
  /// Grants no keys whose owners are not known otherwise before the leases of
  /// the earlier leaders have ended.
  void WaitForUnknownOwners();
  /// Completes a table that is a copy from before the restore of the store, or
  /// cannot be read, by what gossip has shown.
  void CompleteRestoredTable(KeyTable& aTable) const;
  /// True if there were recent requests for keys of the service.
  bool HasDemand(const std::string& aService) const;
  void ProposeChanges();
  /// Writes the present segments to a store that was restored.
  void RewriteTable();
  void WriteTable(std::map<std::string, KeySegments> aProposed);
  void OnTableWritten(const StoreResponse& aResponse);
  void ResolveUnknownWrite();
  void OnCommitted(int64_t aRevision);
  void SendCommands();
  void OnCommandDone(const KeyCommand& aCommand,
                     const CommandResponse& aResponse);
  /// Reports a rejected fence, at most once per interval and server: a faulty
  /// server may reject all of them.
  void ReportRejectedFence(const KeyCommand& aCommand,
                           const KeyOwnership& aOwnership);
  void UpdateCandidates();
  /// Mean service time of a request, over the servers with measurements.
  double MeanServiceTimeMs(const std::string& aService) const;
  double MeanServiceTimeSeconds(const std::string& aService) const;
  void ReportChanges();
  std::vector<KeyOwnership::Move> PlanMoves(const std::string& aService,
                                            const KeyOwnership& aOwnership);
  void DecideTiming(const KeyTable& aEarlier);
  int64_t NextFence();

  EventLoop& loop_;
  EventLog& log_;
  StoreClient& store_;
  CommandSender sender_;
  const FleetLoadTable& fleetLoads_;
  TimeMs maxLeaseMs_; ///< longest lease that backend servers accept
  Handlers handlers_;
  Timer timer_;
  Timer retryTimer_;
  std::function<void()> retryTask_;
  bool running_ = false;
  bool loaded_ = false; ///< the earlier leader's table has been loaded
  bool earlierLeadersEnded_ = false;
  /// When the last lease of owners that the table does not show has ended; 0 if
  /// it shows all.
  TimeMs unknownLeasesEndMs_ = 0;
  uint64_t generation_ = 0; ///< responses of other generations are dropped
  int64_t term_ = 0;
  std::optional<LeaseTiming> timing_; ///< fixed for the current term
  int64_t fenceCounter_ = 0;
  int64_t writeId_ = 0;
  int64_t writtenEra_ = 0; ///< KeyTable::era_ of the last write
  int64_t revision_ = 0;
  bool writing_ = false;
  TimeMs lastWriteMs_ = 0;
  TimeMs lastBalanceMs_ = 0;
  std::map<std::string, KeySegments> written_; ///< segments in the last write
  std::set<std::string> keyedServices_;
  std::map<std::string, BackendEntry> backends_;
  std::map<std::string, std::unique_ptr<KeyOwnership>> services_;
  std::map<std::string, uint64_t> reportedRevisions_;
  /// When the rejected fence of a server was last reported.
  std::map<std::string, TimeMs> rejectionsMs_;
  std::map<std::string, KeyLoad> loads_;
};

}
