#pragma once

#include "common/Metrics.hpp"
#include "common/RepeatFilter.hpp"
#include "gateway/EventLog.hpp"
#include "gateway/StoreClient.hpp"
#include "gateway/StoreWatcher.hpp"
#include "membership/EvacuationSet.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

namespace wire {
class Gossip;
}

/// Follows the operator's evacuations of failure domains in the store and in
/// the datagrams of other gateways. Keeps the last known state while the store
/// is unavailable.
class EvacuationWatch
{
public:
  struct Handlers
  {
    /// aEnded may get requests again. aFromStore: other gateways may not know.
    std::function<void(const EvacuationSet::Domains& aEnded, bool aFromStore)>
      onChanged_;
    /// Whether a server is registered in the failure domain.
    std::function<bool(const std::string& aDomain)> hasServers_;
  };

  /// Does nothing if not aEnabled.
  EvacuationWatch(EventLoop& aLoop,
                  EventLog& aLog,
                  StoreClient& aStore,
                  MetricsRegistry& aRegistry,
                  std::string aKind,
                  bool aEnabled,
                  Handlers aHandlers);

  void Start();
  void SetActive(bool aActive);
  void Refresh();
  void OnStoreRestored();
  /// To be called periodically.
  void Update();
  /// Adds the state that is part of every datagram.
  void AddState(wire::Gossip& aGossip) const;
  void OnGossip(const wire::Gossip& aGossip);
  /// False while a gateway that has just started may still learn of
  /// evacuations from the store or another gateway.
  bool IsSettled() const;
  bool IsEvacuated(const std::string& aDomain) const
  {
    return set_.Contains(aDomain);
  }
  const EvacuationSet& Set() const { return set_; }

private:
  void OnPage(const std::vector<StoreObject>& aObjects);
  void OnListEnd(bool aComplete);
  void OnEvents(const std::vector<ObjectEvent>& aEvents);
  /// Whether the object stands for a failure domain. Its content does not
  /// matter; an unreadable one is logged.
  bool IsReadable(const StoreObject& aObject);
  void Report(const EvacuationSet::Domains& aBefore, std::string_view aSource);
  void Log(std::string_view aEvent,
           const std::string& aDomain,
           std::string_view aSource);

  EventLoop& loop_;
  EventLog& log_;
  StoreClient& store_;
  Gauge& domains_;
  bool enabled_;
  Handlers handlers_;
  EvacuationSet set_;
  EvacuationSet::Domains listed_; ///< so far by the current list
  RepeatFilter reported_;         ///< unreadable evacuations, by name
  StoreWatcher watcher_;
  TimeMs startedMs_;
};

}
