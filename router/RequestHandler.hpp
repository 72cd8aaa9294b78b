#pragma once

#include "ResponseWriter.hpp"
#include "RouterContext.hpp"
#include "ServerExchange.hpp"

#include <memory>
#include <string>

namespace cactuspitch {

/// The way of one caller's request from its check to its final answer. Runs on
/// the thread of the caller's connection.
class RequestHandler
{
public:
  RequestHandler(RouterContext& aContext, HttpExchange& aCaller);

  void Run();

private:
  /// Where the next attempt goes.
  struct Target
  {
    std::shared_ptr<const FollowedTable> table_;
    const SliceRecord* slice_ = nullptr;
    const BackendServerRecord* record_ = nullptr;
    BackendServer* server_ = nullptr;
  };

  /// False when the request was refused and answered.
  bool ValidateAndRoute();
  bool ReadBody();
  bool BeginInLedger();
  /// Runs attempts until one of the final answers was given.
  void RunAttempts();
  /// Waits for an owner that may be used; false after a final answer.
  bool FindTarget();
  bool HasViewLease() const;
  /// Takes a place among the waiting requests; false when all are taken.
  bool TryReserveParkingSlot();
  /// Waits for a newer table; false after a final answer.
  bool Park(NotRunReason aReason, std::string_view aText);
  bool AwaitQuarantine();
  bool AwaitAdmission();
  ExchangeResult RunExchange();
  OutboundRequest MakeOutbound() const;
  void RecordAttempt(const ExchangeResult& aResult);
  /// Acts on the end of an attempt; false when the request has ended.
  bool HandleAttemptResult(ExchangeResult& aResult);
  bool HandleRefusal(const ExchangeResult& aResult);
  /// Tells the server that nobody waits for the answer any more.
  void Cancel();
  bool CanRetry();
  bool CanRetryShed();

  void EndComplete(ExchangeResult& aResult);
  void EndNotRun(NotRunReason aReason,
                 TimeMs aRetryAfterMs,
                 std::string_view aText);
  void EndUnknown(bool aTimedOut, std::string_view aText);
  void EndTruncated(const ExchangeResult& aResult);
  void FinishLedger(LedgerEntryState aState);
  /// Counts the end of the request; aCause is a literal.
  void Count(Outcome aOutcome, std::string_view aCause);
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
  int shedCount_ = 0; ///< attempts that the server refused as busy
  int parkCount_ = 0;
  bool isSuspect_ = false;
};

}
