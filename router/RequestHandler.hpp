#pragma once

#include "ResponseWriter.hpp"
#include "RouterContext.hpp"
#include "ServerExchange.hpp"

#include <memory>
#include <string>

namespace cactuspitch {

/// Handles one request of a caller: validates it, forwards it to the owner of
/// its key with retries, and sends the final response. Runs on the thread of
/// the caller's connection.
class RequestHandler
{
public:
  RequestHandler(RouterContext& aContext, HttpExchange& aCaller);

  void Run();

private:
  /// Destination of the next attempt.
  struct Target
  {
    std::shared_ptr<const FollowedTable> table_;
    const SliceRecord* slice_ = nullptr;
    const BackendServerRecord* record_ = nullptr;
    BackendServer* server_ = nullptr;
  };

  /// Parses the request, looks up its table and rules, and sets its deadline.
  /// False when the request was refused; the response was then sent.
  bool ValidateAndRoute();
  /// False when the body could not be read; the response was then sent.
  bool ReadBody();
  /// Records a non-idempotent request in the request ledger. False when it must
  /// not be forwarded; the response was then sent.
  bool BeginInLedger();
  /// Runs attempts until the final response was sent.
  void RunAttempts();
  /// Sets target_ to the owner of the key. Waits while there is no usable
  /// owner; false when the final response was sent.
  bool FindTarget();
  /// True when the table may be used for this attempt. Servers that check the
  /// fence need no view lease.
  bool HasViewLease() const;
  /// False when the limit of parked requests is reached.
  bool TryReserveParkingSlot();
  /// Waits for a newer table. False when the deadline or the limit of parked
  /// requests was reached; the final response was then sent.
  bool Park(NotRunReason aReason, std::string_view aText);
  /// Waits while the quarantine delays a suspect request. False when it is
  /// refused; the final response was then sent.
  bool AwaitQuarantine();
  /// Waits for admission by the backend server's AdmissionController. False
  /// when it refuses; the final response was then sent.
  bool AwaitAdmission();
  ExchangeResult RunExchange();
  OutboundRequest MakeOutbound() const;
  /// Updates admission, measurements, crash detection and quarantine.
  void RecordAttempt(const ExchangeResult& aResult);
  /// Decides what follows an attempt: true for a retry, false when the request
  /// has ended.
  bool HandleAttemptResult(ExchangeResult& aResult);
  bool HandleRefusal(const ExchangeResult& aResult);
  /// Notifies the backend server that the response is no longer needed.
  void Cancel();
  bool CanRetry();
  /// Like CanRetry(), for an attempt that the server shed as busy.
  bool CanRetryShed();

  void EndComplete(ExchangeResult& aResult);
  /// Reports an unknown outcome instead if an earlier attempt may have run.
  void EndNotRun(NotRunReason aReason,
                 TimeMs aRetryAfterMs,
                 std::string_view aText);
  void EndUnknown(bool aTimedOut, std::string_view aText);
  void EndTruncated(const ExchangeResult& aResult);
  void FinishLedger(LedgerEntryState aState);
  /// Counts the outcome of the request. aCause is a string literal; empty when
  /// the request met its objective.
  void CountOutcome(Outcome aOutcome, std::string_view aCause);
  /// Cause counted for a complete response: "server-error", "slow" or empty.
  std::string_view CompleteCause(int aStatus) const;

  RouterContext& context_;
  HttpExchange& caller_;
  ResponseWriter response_;
  CallerRequest request_;
  ServiceState* service_ = nullptr;
  RuleCache::Rules rules_;
  HttpHeaders headers_;
  std::string body_;
  TimeMs startMs_;
  TimeMs deadlineMs_ = 0;
  TimeMs streamDeadlineMs_ = 0;
  uint64_t fingerprint_ = 0;
  LedgerTicket ticket_;
  Target target_;
  AdmissionController* admission_ = nullptr;
  int attempts_ = 0;
  bool mayHaveRun_ = false; ///< an attempt that was repeated may have run
  int shedCount_ = 0;       ///< attempts that the server refused as busy
  int parkCount_ = 0;       ///< waits for a newer table
  bool isSuspect_ = false;
};

}
