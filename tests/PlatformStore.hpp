#pragma once

#include "tests/DelayedTasks.hpp"
#include "tests/ScriptedServer.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Simulated fault of calls to the store.
enum class StoreFaultMode : uint8_t
{
  None,
  Unavailable, ///< responds with 503 and applies nothing
  Resets,
  Silent, ///< neither responds nor applies
  Slow,
  LosesAnswers, ///< applies, but never responds
  Count
};

template<>
struct EnumNames<StoreFaultMode>
{
  static constexpr std::string_view kNames[] = {
    "none", "unavailable", "resets", "silent", "slow", "loses-answers",
  };
};

/// Fake of the platform's object store with revisions, conditional writes,
/// lists and watches. Runs on the event loop of the test.
class PlatformStore
{
public:
  using Json = nlohmann::json;

  explicit PlatformStore(EventLoop& aLoop);

  Endpoint Address() const { return server_.Address(); }
  /// Returns another address of the store, whose responses aRewrite changes. It
  /// must keep the length of their bodies.
  Endpoint AddView(std::function<std::string(std::string aResponse)> aRewrite);
  void SetFaultMode(StoreFaultMode aFaultMode) { faultMode_ = aFaultMode; }
  StoreFaultMode FaultMode() const { return faultMode_; }
  /// Drops the history. Watches from an earlier revision get 410.
  void CompactHistory();
  /// Goes back to the state of aAgeMs ago, as a store that is restored from a
  /// copy: later writes are lost, and their revisions are given out again.
  void Restore(TimeMs aAgeMs);
  int64_t Revision() const { return revision_; }
  int64_t Era() const { return era_; }
  /// Removes the objects that have not been written since aRevision, as the
  /// platform does with registrations that are not renewed.
  void RemoveUnrenewed(const std::string& aKind, int64_t aRevision);
  /// The object's spec; null if there is none.
  Json Spec(const std::string& aKind, const std::string& aName) const;
  /// Writes an object on behalf of the platform, the operator or a backend
  /// server. Not affected by the fault mode.
  void Put(const std::string& aKind,
           const std::string& aName,
           const Json& aSpec,
           const Json& aStatus = nullptr);
  /// Removes an object in the same way.
  void Remove(const std::string& aKind, const std::string& aName);

private:
  struct Object
  {
    int64_t revision_ = 0;
    Json spec_;
    Json status_;
  };
  struct Event
  {
    int64_t revision_ = 0;
    std::string kind_;
    Json event_;
  };
  /// One write; without an object a removal.
  struct Change
  {
    TimeMs atMs_ = 0;
    int64_t revision_ = 0;
    std::string kind_;
    std::string name_;
    std::optional<Object> object_;
  };
  struct Watch
  {
    ScriptedServer::Exchange exchange_;
    std::string kind_;
    int64_t revision_ = 0;
    TimeMs endMs_ = 0;
  };
  struct Reply
  {
    int status_ = 200;
    Json body_;
  };

  void Serve(ScriptedServer::Exchange& aExchange);
  /// Response with the header that every answer of the store has.
  std::string StoreResponse(int aStatus, const std::string& aBody) const;
  Reply Read(const std::string& aKind, const std::string& aName) const;
  Reply Write(const std::string& aMethod,
              const std::string& aKind,
              const std::string& aName,
              const Json& aBody);
  void StartWatch(const ScriptedServer::Exchange& aExchange,
                  const std::string& aKind,
                  std::string_view aQuery);
  /// Responds to the watches that have events or whose wait time has ended.
  void RespondToWatches();
  void RespondToWatch(const Watch& aWatch) const;
  void Send(const ScriptedServer::Exchange& aExchange, const Reply& aReply);
  Json Item(const std::string& aKind, const std::string& aName) const;
  void AddEvent(const std::string& aKind, const Json& aItem, bool aRemoved);

  EventLoop& loop_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> changes_; ///< since the start, for Restore()
  std::deque<Event> history_;
  std::vector<Watch> watches_;
  DelayedTasks delayed_; ///< responses in the mode Slow
  Timer watchTimer_;
  static constexpr int64_t kFirstRevision = 10;
  int64_t revision_ = kFirstRevision;
  int64_t oldestRevision_ = 0; ///< earliest start of a watch
  int64_t era_ = 1;            ///< incremented by Restore()
  StoreFaultMode faultMode_ = StoreFaultMode::None;
  ScriptedServer server_;
  std::vector<std::unique_ptr<ScriptedServer>> views_;
};

}
