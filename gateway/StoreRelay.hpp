#pragma once

#include "gateway/EventLog.hpp"
#include "gateway/LeaderElection.hpp"
#include "gateway/PeerMesh.hpp"
#include "gateway/StoreClient.hpp"
#include "membership/BackendDirectory.hpp"
#include "net/HttpClient.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cactuspitch {

/// Registration that a watcher has read to be removed.
struct RemovedBackend
{
  std::string id_;
  int64_t revision_ = 0; ///< of the store, at which it was missing
  TimeMs graceMs_ = 0;   ///< its server stays in use for this long
};

/// Keeps the number of calls to the store independent of the number of
/// gateways: the leader and a few other gateways (watchers) watch the store and
/// send the changes to all others. A gateway that is behind, as a version or
/// digest in gossip shows, fetches the state from the sender of that gossip. If
/// it cannot fetch the configuration there, it reads it from the store.
class StoreRelay
{
public:
  /// Number of watchers, including the leader, while the store is reachable.
  static constexpr size_t kWatchers = 3;
  /// More gateways become watchers if no watcher has received a response of the
  /// store for this long. A configuration must be in force everywhere within
  /// 2 s, and the store may be rejecting exactly the instances that watch.
  static constexpr TimeMs kWidenAfterMs = 1300;
  static constexpr size_t kMinWidenedWatchers = 8;
  /// Limits of the two steps, so that calls do not grow with the fleet.
  static constexpr size_t kMaxWidenedWatchers = 24;
  static constexpr size_t kMaxWatchers = 72;

  struct Handlers
  {
    /// Starts and stops the watches of the configuration and of all kinds.
    std::function<void(bool aConfig, bool aAll)> setWatching_;
    /// The complete directory was fetched from another gateway.
    std::function<void(const DirectorySnapshot&)> onDirectory_;
    /// A watcher sent a changed registration.
    std::function<void(const BackendEntry&)> onBackend_;
    /// A watcher sent a removed one.
    std::function<void(const RemovedBackend&)> onRemoved_;
    /// All changes up to this revision of the store have been passed on.
    std::function<void(int64_t aRevision)> onRevision_;
    /// Another watcher is certain of the removal of a registration.
    std::function<void(const RemovedBackend&)> onRemovalSeen_;
    /// The configuration was fetched from another gateway, which sent it as
    /// aCompressed.
    std::function<void(const nlohmann::json& aSpec, std::string aCompressed)>
      onConfig_;
    std::function<int64_t()> configVersion_;
    std::function<bool()> hasDirectory_;
    /// True while the last list of the store was cut short.
    std::function<bool()> isDirectoryPartial_;
    /// Makes one small call to find out if the store is reachable.
    std::function<void()> probeStore_;
    /// Reads the configuration from the store.
    std::function<void()> fetchConfigFromStore_;
  };

  StoreRelay(EventLoop& aLoop,
             EventLog& aLog,
             HttpClient& aClient,
             const StoreClient& aStore,
             const PeerMesh& aMesh,
             const LeaderElection& aElection,
             const BackendDirectory& aDirectory,
             std::string aSelf,
             int aCpuPercent,
             Handlers aHandlers);

  /// Number of watchers when no watcher has received a response of the store
  /// for aUnreachableMs: kWatchers, then a third of all gateways, then all
  /// gateways, within the limits.
  static size_t WantedWatchers(TimeMs aUnreachableMs, size_t aGateways);
  /// Decides if this gateway is a watcher. Must be called periodically.
  void Update();
  void OnGossip(const wire::Gossip& aGossip, const Endpoint& aSender);
  /// True while this gateway watches the store and receives its responses.
  bool IsStoreOk() const;
  /// True if this gateway cannot reach the store while another one can. A
  /// leader must resign then.
  bool ShouldResign() const;
  /// Adds the state that is part of every datagram.
  void AddStoreState(wire::Gossip& aGossip) const;
  /// Adds a changed registration to aGossip.
  static void AddChange(const BackendEntry& aEntry, wire::Gossip& aGossip);
  static void AddRemoval(const RemovedBackend& aRemoved, wire::Gossip& aGossip);
  /// The directory as JSON, for gateways that fetch it.
  std::string DirectoryJson() const;

private:
  /// Notes whether peers reach the store that this gateway has lost.
  void TrackPeersStore(TimeMs aResponseMs);
  /// Number of living gateways, without the leader, that come before this one
  /// in the choice of watchers.
  size_t Rank() const;
  /// True on about aWanted of all gateways, with another sample in each
  /// interval. Replaces the rank in a large fleet without a leader, where a
  /// gateway does not know which others are alive.
  bool IsSampled(size_t aWanted) const;
  /// Fetches the directory of a watcher that has had a newer revision for a
  /// while. The response to this gateway's own watch may be lost, and the watch
  /// then hangs until its timeout although the store responds to other calls.
  void SyncWithNewerWatcher(const wire::Gossip& aGossip,
                            const Endpoint& aStatus);
  void FetchDirectory(const Endpoint& aPeer);
  void FetchConfig(const Endpoint& aPeer, int64_t aVersion);

  EventLoop& loop_;
  EventLog& log_;
  HttpClient& client_;
  const StoreClient& store_;
  const PeerMesh& mesh_;
  const LeaderElection& election_;
  const BackendDirectory& directory_;
  std::string self_;
  int cpuPercent_;
  Handlers handlers_;
  bool watching_ = false;
  bool watchingAll_ = false;
  bool fetchingDirectory_ = false;
  bool fetchingConfig_ = false;
  TimeMs startedMs_;
  TimeMs storeOkMs_; ///< last response of the store to any watcher
  /// When a peer first reported a response that it received since this gateway
  /// lost the store; 0 while this gateway reaches it.
  TimeMs peerRegainedMs_ = 0;
  TimeMs probedMs_ = 0;
  TimeMs watchUntilMs_ = 0;
  TimeMs leaderStoreOkMs_ = 0; ///< the leader last reported a reachable store
  int64_t leaderRevision_ = 0; ///< revision of the leader's directory
  TimeMs behindSinceMs_ = 0;   ///< when the digests began to differ, 0 if equal
  int64_t behindRevision_ = 0; ///< newer revision seen at another watcher
};

}
