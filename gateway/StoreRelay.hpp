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

/// Keeps the store's calls independent of the number of gateways: the leader
/// and a few others watch it and tell the rest. A gateway that notices by
/// version or digest that it is behind asks the one that told it; the store is
/// asked where that fails.
class StoreRelay
{
public:
  /// Gateways that watch, the leader among them.
  static constexpr size_t kWatchers = 3;
  /// Without an answer of the store to any watcher for this long, more join: a
  /// configuration must be in force everywhere after 2 s, and all watchers may
  /// be among the instances that the store turns away.
  static constexpr TimeMs kWidenAfterMs = 1300;
  static constexpr size_t kMinWidenedWatchers = 8;
  /// Bounds of the two steps: calls do not grow with the fleet.
  static constexpr size_t kMaxWidenedWatchers = 24;
  static constexpr size_t kMaxWatchers = 72;

  struct Handlers
  {
    /// What is watched: the configuration alone, or all kinds.
    std::function<void(bool aConfig, bool aAll)> setWatching_;
    std::function<void(const std::vector<BackendEntry>&, int64_t aRevision)>
      onDirectory_;
    std::function<void(const BackendEntry&, bool aRemoved)> onBackend_;
    /// The changes up to this revision of the store were told.
    std::function<void(int64_t aRevision)> onRevision_;
    /// Another watcher saw a registration go.
    std::function<void(const std::string& aBackend)> onRemovalSeen_;
    std::function<void(const nlohmann::json& aSpec, std::string aPacked)>
      onConfig_;
    std::function<int64_t()> configVersion_;
    std::function<bool()> hasDirectory_;
    /// Makes one small call to the store.
    std::function<void()> probeStore_;
    /// Asks the store for the configuration.
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

  /// How many of the gateways watch when no watcher has had an answer of the
  /// store for aUnreachableMs: three, then a third of all, then all, within the
  /// bounds.
  static size_t WantedWatchers(TimeMs aUnreachableMs, size_t aGateways);
  /// Decides whether this gateway watches. Called regularly.
  void Update();
  void OnGossip(const wire::Gossip& aGossip, const Endpoint& aSender);
  /// True while this gateway watches the store and reaches it.
  bool IsStoreOk() const;
  /// True for a leader that does not reach the store while others do.
  bool ShouldResign() const;
  /// What is told with each datagram.
  void AddStoreState(wire::Gossip& aGossip) const;
  static void AddChange(const BackendEntry& aEntry,
                        bool aRemoved,
                        wire::Gossip& aGossip);
  /// The directory for gateways that ask.
  std::string DirectoryJson() const;

private:
  size_t Rank() const;
  /// True for about aWanted of all gateways, other ones each time: without a
  /// leader a gateway of a large fleet does not know who is alive.
  bool IsSampled(size_t aWanted) const;
  /// The answer to an own watch may be lost. The watch then hangs until its
  /// time-out, while the store answers other calls.
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
  TimeMs storeOkMs_;          ///< a watcher last reached the store
  TimeMs peerResponseMs_ = 0; ///< the store answered another gateway
  TimeMs probedMs_ = 0;
  TimeMs watchUntilMs_ = 0;
  TimeMs leaderStoreOkMs_ = 0; ///< the leader did
  int64_t leaderRevision_ = 0; ///< that the leader's directory shows
  TimeMs behindSinceMs_ = 0;   ///< since when the digests differ
  int64_t behindRevision_ = 0; ///< of the watcher that was found to be newer
};

}
