#pragma once

#include "common/Clock.hpp"
#include "common/EnumNames.hpp"
#include "net/HttpParser.hpp"
#include "tests/SoakLimits.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cactuspitch {

enum class SoakRequestKind : uint8_t
{
  Safe,
  Unsafe, ///< must not run twice
  Keyed,
  Probe, ///< on a route that a configuration version added
  Crash, ///< crashes each backend server that starts it
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

/// Guarantee that a gateway violated in a soak.
enum class SoakViolation : uint8_t
{
  TwoOwners,
  RunTwice,
  FalseRefusal,
  WrongResponse,
  ChangedRequest,
  SentToLeaving,
  SentInPause,
  OverLimit,
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
    "two-owners",      "run-twice",       "false-refusal",   "wrong-answer",
    "changed-request", "sent-to-leaving", "sent-in-pause",   "over-limit",
    "sent-for-gone",   "repeated-crash",  "old-config",      "denied",
    "cut-off",         "no-final-answer", "not-served-again"
  };
};

/// One request of a SoakCaller.
struct SoakRequest
{
  std::string id_;
  SoakRequestKind kind_ = SoakRequestKind::Safe;
  int gateway_ = 0;
  uint32_t key_ = 0;
  int64_t version_ = 0; ///< configuration version; for Probe only
  std::string target_;
  std::string body_;
  TimeMs sentMs_ = 0;
  TimeMs deadlineMs_ = 0;
};

/// Time limits of the checks of a soak, in ms.
struct SoakBounds
{
  TimeMs stableWindowMs_ = 3000;
  TimeMs drainMs_ = 2000;
  TimeMs applyMs_ = 2000;
  /// Grants that arrive so soon after a gateway resumed or a store link changed
  /// do not count.
  TimeMs recoverySlackMs_ = 300;
  TimeMs pauseSlackMs_ = 500;
  /// A final response may arrive so long after the deadline.
  TimeMs responseSlackMs_ = 1000;
  /// Requests may reach servers so long after their callers disconnected.
  TimeMs disconnectSlackMs_ = 500;
};

/// Records what callers and backend servers of a soak observe, and checks each
/// event against the platform's guarantees as it arrives.
class SoakJournal
{
public:
  SoakJournal(const Clock& aClock, int aGateways);

  // Events of gateway processes and injected faults.
  void OnGatewayStarted(int aGateway);
  void OnGatewayEnded(int aGateway);
  void OnGatewayFrozen(int aGateway);
  void OnGatewayResumed(int aGateway);
  void OnGatewayStopping(int aGateway);
  /// The gateway's link to the store was cut or restored.
  void OnStoreLinkCut(int aGateway, bool aCut);
  void OnStoreFault(bool aFaulty);
  void OnConfigAccepted(int64_t aVersion);
  /// A fault of this server began or ended; excuses interrupted requests.
  void OnServerFault(const std::string& aIncarnation);
  /// True if the gateway is up, connected to a working store and has been
  /// without a fault for the stable window.
  bool IsStable(int aGateway) const;
  /// True if a gateway resumed, or the state of a store link changed, within
  /// the recovery slack.
  bool HasJustRecovered() const;

  // Events of callers.
  void OnSent(const SoakRequest& aRequest);
  void OnResponse(const std::string& aId,
                  const HttpHead& aHead,
                  const std::string& aBody);
  /// A response arrived that belongs to no outstanding request, or is invalid.
  void OnUnexpectedResponse(int aGateway);
  /// The gateway closed the connection before the response.
  void OnClosed(const std::string& aId);
  /// The caller closed its connection before the response.
  void OnCallerDisconnected(const std::string& aId);
  /// No final response arrived until well after the deadline.
  void OnOverdue(const std::string& aId);

  // Events of backend servers; aIncarnation is the id of one incarnation.
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
  /// The server starts to name a request limit, another one, or none.
  void OnLimitSet(const std::string& aIncarnation,
                  std::optional<double> aPerSecond);
  /// The response to the request named a limit.
  void OnLimitNoticeSent(const std::string& aId,
                         const std::string& aIncarnation);
  /// A request of kind Crash ended this incarnation.
  void OnCrashed(const std::string& aIncarnation);
  void OnDrainingAccepted(const std::string& aIncarnation);
  void OnKeyGranted(uint32_t aKey,
                    int64_t aFence,
                    const std::string& aIncarnation);
  void OnKeyConflict(uint32_t aKey, const std::string& aIncarnations);

  void Report(SoakViolation aViolation, const std::string& aDetail);
  /// One line per violation, with its time.
  const std::vector<std::string>& Violations() const { return violations_; }
  int64_t Count(const std::string& aWhat) const;
  std::string Summary() const;
  /// Latencies of the successful requests.
  const std::vector<TimeMs>& LatenciesMs() const { return latenciesMs_; }
  /// Numbers of successful and of all completed requests since the last call.
  std::pair<int, int> TakeServedCounts();
  /// Body that backend servers send in response to request aId.
  static std::string BodyForRequest(const std::string& aId);

private:
  struct Gateway
  {
    bool up_ = false;
    bool frozen_ = false;
    bool stopping_ = false;
    bool storeLinkCut_ = false;
    TimeMs lastFaultMs_ = 0;
    /// Last start, end, freeze or resume; each may end its connections.
    TimeMs connectionsLostMs_ = 0;
    int64_t seenVersion_ = 0; ///< newest version with an observed effect
    TimeMs seenVersionMs_ = 0;
    struct Pause
    {
      TimeMs fromMs_ = 0;
      TimeMs untilMs_ = 0;
      int requests_ = 0;
    };
    std::map<std::string, TimeMs> leaving_; ///< first notice, by incarnation
    std::map<std::string, Pause> paused_;
  };
  struct Entry
  {
    SoakRequest request_;
    int executions_ = 0;
    bool finished_ = false;
    bool refused_ = false;
    bool ended_ = false; ///< got its final response, or none is expected
    TimeMs disconnectedMs_ = 0;
    std::set<std::string> incarnations_;
    std::string leavingIncarnation_; ///< sent a leaving notice
  };

  Entry* Find(const std::string& aId);
  void ResetNotices(Gateway& aGateway);
  void CheckSuccess(Entry& aEntry,
                    const HttpHead& aHead,
                    const std::string& aBody);
  void CheckProbe(Entry& aEntry, int aStatus);
  void CheckNotices(const SoakRequest& aRequest,
                    const std::string& aIncarnation);
  void CheckCrashes(const SoakRequest& aRequest);
  void CheckLimit(const SoakRequest& aRequest, const std::string& aIncarnation);
  bool HadServerFault(const Entry& aEntry) const;
  bool HadServerFaultSince(const std::string& aIncarnation, TimeMs aMs) const;

  const Clock& clock_;
  SoakBounds bounds_;
  std::vector<Gateway> gateways_;
  std::map<std::string, Entry> requests_;
  std::map<std::string, TimeMs> serverFaultMs_; ///< last fault, by incarnation
  std::map<std::string, TimeMs> draining_;
  std::map<int64_t, TimeMs> versions_; ///< time the store accepted them
  std::map<uint32_t, std::pair<int64_t, std::string>> fences_;
  SoakLimits limits_;
  bool storeFaulty_ = false;
  TimeMs storeFaultChangedMs_ = 0;
  TimeMs recoveredMs_ = 0;
  std::vector<TimeMs> crashes_;
  int sendsAfterCrashes_ = 0;
  int closedWithoutResponse_ = 0;
  int sentAfterDisconnect_ = 0;
  int served_ = 0;
  int completed_ = 0;
  std::vector<TimeMs> latenciesMs_;
  std::map<std::string, int64_t> counts_;
  std::vector<std::string> violations_;
};

}
