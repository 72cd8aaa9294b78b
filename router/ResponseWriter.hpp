#pragma once

#include "LedgerClient.hpp"
#include "ServerExchange.hpp"
#include "common/HttpServer.hpp"
#include "common/Types.hpp"

#include <string_view>

namespace cactuspitch {

/// Final answers to a caller; each carries X-Outcome.
class ResponseWriter
{
public:
  explicit ResponseWriter(HttpExchange& aCaller)
    : caller_(aCaller)
  {
  }

  /// False when the caller is gone.
  bool Complete(ExchangeResult& aResult);
  /// aRetryAfterMs is spread by jitter, so that refused callers do not come
  /// back together.
  void NotRun(NotRunReason aReason,
              TimeMs aRetryAfterMs,
              std::string_view aText);
  void Unknown(bool aTimedOut, std::string_view aText);
  /// The request ledger knows the id already.
  void Repeated(LedgerEntryState aState);
  /// Input that cannot be forwarded.
  void Refuse(int aStatus, std::string_view aText);

  /// Headers of answers to input that never reaches a handler.
  static HttpHeaders ErrorResponseHeaders();
  /// Between half of and one and a half times aMs, at least 1.
  static TimeMs Jitter(TimeMs aMs);

private:
  static HttpHeaders NotRunHeaders(TimeMs aRetryAfterMs);

  HttpExchange& caller_;
};

}
