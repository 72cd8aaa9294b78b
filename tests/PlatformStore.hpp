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

/// Size of a page of a list. A page has at least one object.
struct PageLimits
{
  size_t objects_ = SIZE_MAX;
  size_t bytes_ = SIZE_MAX; ///< of all objects together
};

/// Pages of the platform's store.
inline constexpr PageLimits kPlatformPages{ 500, 1000000 };

/// Fake of the platform's object store with revisions, conditional writes,
/// lists and watches. Decodes requests strictly: a plus sign in a query is a
/// blank, and bytes that a URI must escape are refused. Runs on the event loop
/// of the test.
class PlatformStore
{
public:
  using Json = nlohmann::json;

  explicit PlatformStore(EventLoop& aLoop, PageLimits aPages = {});

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
  /// Writes an object that is sent as aText in lists, watches and reads, which
  /// need not be JSON. aName is its place in lists.
  void PutText(const std::string& aKind,
               const std::string& aName,
               std::string aText);
  /// Removes an object in the same way.
  void Remove(const std::string& aKind, const std::string& aName);
  void SetPageLimits(PageLimits aPages) { pages_ = aPages; }
  /// Number of lists and further pages that were asked for.
  int PagesServed() const { return pagesServed_; }
  /// Number of requests that were refused as malformed.
  int Refused() const { return refused_; }

private:
  struct Object
  {
    int64_t revision_ = 0;
    Json spec_;
    Json status_;
    std::string text_; ///< sent instead of the above if it is not empty
  };
  struct Event
  {
    int64_t revision_ = 0;
    std::string kind_;
    std::string text_;
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
    std::string body_;
  };
  /// Target of a request, decoded.
  struct Target
  {
    std::string kind_;
    std::string name_; ///< empty: the whole kind
    std::map<std::string, std::string> query_;
    /// Empty if there is no such parameter or it is no number.
    std::optional<int64_t> Number(const std::string& aParameter) const;
  };

  void Serve(ScriptedServer::Exchange& aExchange);
  /// Response with the header that every answer of the store has.
  std::string StoreResponse(int aStatus, const std::string& aBody) const;
  /// Empty if the target is malformed.
  static std::optional<Target> ParseTarget(std::string_view aTarget);
  Reply Read(const std::string& aKind, const std::string& aName) const;
  /// The page of objects whose names are above aAfter.
  Reply List(const std::string& aKind, const std::string& aAfter) const;
  Reply Write(const std::string& aMethod,
              const std::string& aKind,
              const std::string& aName,
              const Json& aBody);
  void StartWatch(const ScriptedServer::Exchange& aExchange,
                  const Target& aTarget);
  /// Responds to the watches that have events or whose wait time has ended.
  void RespondToWatches();
  void RespondToWatch(const Watch& aWatch) const;
  void Send(const ScriptedServer::Exchange& aExchange, const Reply& aReply);
  /// The object as it is sent.
  std::string Item(const std::string& aKind, const std::string& aName) const;
  void Store(const std::string& aKind,
             const std::string& aName,
             Object aObject);
  void AddEvent(const std::string& aKind,
                const std::string& aItem,
                bool aRemoved);

  EventLoop& loop_;
  PageLimits pages_;
  int pagesServed_ = 0;
  int refused_ = 0;
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
