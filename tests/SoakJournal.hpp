#pragma once

#include "common/Clock.hpp"
#include "common/EnumNames.hpp"
#include "net/HttpParser.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cactuspitch {

enum class SoakRequestKind : uint8_t
{
  Safe,
  Unsafe, ///< must not run twice
  Keyed,
  Probe, ///< on a route that a version of the configuration added
  Crash, ///< ends each backend server that begins it
  Count
};

template<>
struct EnumNames<SoakRequestKind>
{
  static constexpr std::string_view kNames[] = { "safe",
                                                 "unsafe",
                                                 "keyed",
                                                 "probe",
                                                 "crash" };
};

/// Promise that a soak found broken.
enum class SoakViolation : uint8_t
{
  TwoOwners,
  RunTwice,
  FalseRefusal,
  WrongResponse,
  ChangedRequest,
  SentToLeaving,
  SentInPause,
  SentAfterDisconnect,
  RepeatedCrash,
  OldConfig,
  ValidRequestRejected,
  ClosedWithoutResponse,
  NoFinalResponse,
  NotRecovered,
  Count
};

template<>
struct EnumNames<SoakViolation>
{
  static constexpr std::string_view kNames[] = {
    "two-owners",      "run-twice",       "false-refusal", "wrong-answer",
    "changed-request", "sent-to-leaving", "sent-in-pause", "sent-for-gone",
    "repeated-crash",  "old-config",      "denied",        "cut-off",
    "no-final-answer", "not-served-again"
  };
};

/// One request of a caller of a soak.
struct SoakRequest
{
  std::string id_;
  SoakRequestKind kind_ = SoakRequestKind::Safe;
  int gateway_ = 0;
  uint32_t key_ = 0;
  int64_t version_ = 0; ///< of the configuration, for a probe
  std::string target_;
  std::string body_;
  TimeMs sentMs_ = 0;
  TimeMs deadlineMs_ = 0;
};

/// Bounds that the promises of a soak refer to, in ms.
struct SoakBounds
{
  TimeMs stableWindowMs_ = 3000;
  TimeMs drainMs_ = 2000;
  TimeMs applyMs_ = 2000;
  /// Grants that arrive so soon after a thaw or a healed link do not count.
  TimeMs recoverySlackMs_ = 300;
  TimeMs pauseSlackMs_ = 500;
  /// A final answer may come so long after the deadline.
  TimeMs responseSlackMs_ = 1000;
  /// Requests may reach servers so long after their callers have left.
  TimeMs disconnectSlackMs_ = 500;
};

/// What callers and backend servers of a soak see, checked as it comes in.
class SoakJournal
{
public:
  SoakJournal(const Clock& aClock, int aGateways);

  // The operator and the faults.
  void OnGatewayStarted(int aGateway);
  void OnGatewayEnded(int aGateway);
  void OnGatewayFrozen(int aGateway);
  void OnGatewayResumed(int aGateway);
  void OnGatewayStopping(int aGateway);
  /// Its link to the store was cut, or has healed.
  void OnStoreLinkCut(int aGateway, bool aCut);
  void OnStoreFault(bool aFaulty);
  void OnConfigAccepted(int64_t aVersion);
  /// Troubles of a server break off its requests.
  void OnServerFault(const std::string& aIncarnation);
  bool IsStable(int aGateway) const;
  /// A gateway was thawed, or a link healed, moments ago.
  bool HasJustRecovered() const;

  // Callers.
  void OnSent(const SoakRequest& aRequest);
  void OnResponse(const std::string& aId,
                  const HttpHead& aHead,
                  const std::string& aBody);
  /// An answer without a request that waits for it.
  void OnUnexpectedResponse(int aGateway);
  void OnClosed(const std::string& aId);
  /// The caller closed its connection before it had an answer.
  void OnCallerDisconnected(const std::string& aId);
  /// No final answer came, long after the deadline.
  void OnOverdue(const std::string& aId);

  // Backend servers; aIncarnation names one life of a server.
  void OnArrived(const std::string& aId,
                 const std::string& aIncarnation,
                 const HttpHead& aHead,
                 const std::string& aBody);
  void OnExecutionStarted(const std::string& aId,
                          const std::string& aIncarnation);
  void OnExecutionFinished(const std::string& aId);
  void OnLeavingNoticeSent(const std::string& aId,
                           const std::string& aIncarnation);
  void OnPauseNoticeSent(const std::string& aId,
                         const std::string& aIncarnation,
                         TimeMs aPauseMs);
  /// A crashing request ended this life.
  void OnCrashed(const std::string& aIncarnation);
  void OnDrainingAccepted(const std::string& aIncarnation);
  void OnKeyGranted(uint32_t aKey,
                    int64_t aFence,
                    const std::string& aIncarnation);
  void OnKeyConflict(uint32_t aKey, const std::string& aIncarnations);

  void Report(SoakViolation aViolation, const std::string& aDetail);
  /// A line for each broken promise.
  const std::vector<std::string>& Violations() const { return violations_; }
  int64_t Count(const std::string& aWhat) const;
  std::string Summary() const;
  /// Of the requests that were answered well.
  const std::vector<TimeMs>& LatenciesMs() const { return latenciesMs_; }
  /// Requests answered well since the last call, and all that ended.
  std::pair<int, int> TakeServedCounts();
  /// Body of the server's answer to that request.
  static std::string BodyForRequest(const std::string& aId);

private:
  struct Gateway
  {
    bool up_ = false;
    bool frozen_ = false;
    bool stopping_ = false;
    bool storeLinkCut_ = false;
    TimeMs lastFaultMs_ = 0;
    TimeMs connectionsLostMs_ = 0; ///< or frozen: its connections may end
    int64_t seenVersion_ = 0;      ///< newest version whose effect was seen
    TimeMs seenVersionMs_ = 0;
    struct Pause
    {
      TimeMs fromMs_ = 0;
      TimeMs untilMs_ = 0;
      int requests_ = 0;
    };
    std::map<std::string, TimeMs> leaving_; ///< told so, by life
    std::map<std::string, Pause> paused_;
  };
  struct Entry
  {
    SoakRequest request_;
    int executions_ = 0;
    bool finished_ = false;
    bool refused_ = false;
    bool ended_ = false; ///< has its final answer, or none will come
    TimeMs disconnectedMs_ = 0;
    std::set<std::string> incarnations_;
    std::string leavingIncarnation_; ///< said in its answer that it leaves
  };

  Entry* Find(const std::string& aId);
  void ResetNotices(Gateway& aGateway) const;
  void CheckSuccess(Entry& aEntry,
                    const HttpHead& aHead,
                    const std::string& aBody);
  void CheckProbe(Entry& aEntry, int aStatus);
  void CheckNotices(const SoakRequest& aRequest,
                    const std::string& aIncarnation);
  void CheckCrashes(const SoakRequest& aRequest);
  bool HadServerFault(const Entry& aEntry) const;
  bool HadServerFaultSince(const std::string& aIncarnation, TimeMs aMs) const;

  const Clock& clock_;
  SoakBounds bounds_;
  std::vector<Gateway> gateways_;
  std::map<std::string, Entry> requests_;
  std::map<std::string, TimeMs> serverFaultMs_; ///< last trouble of a life
  std::map<std::string, TimeMs> draining_;
  std::map<int64_t, TimeMs> versions_; ///< accepted by the store
  std::map<uint32_t, std::pair<int64_t, std::string>> fences_;
  bool storeFaulty_ = false;
  TimeMs storeFaultChangedMs_ = 0;
  TimeMs recoveredMs_ = 0;
  std::vector<TimeMs> crashes_;
  int sendsAfterCrashes_ = 0;
  int closedUnanswered_ = 0;
  int sentAfterDisconnect_ = 0;
  int served_ = 0;
  int completed_ = 0;
  std::vector<TimeMs> latenciesMs_;
  std::map<std::string, int64_t> counts_;
  std::vector<std::string> violations_;
};

}
