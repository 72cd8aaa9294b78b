#pragma once

#include "LedgerClient.hpp"
#include "ServerExchange.hpp"
#include "common/HttpServer.hpp"
#include "common/Types.hpp"

#include <string_view>

namespace cactuspitch {

/// Writes the final response to a caller. Each response has an X-Outcome
/// header.
class ResponseWriter
{
public:
  explicit ResponseWriter(HttpExchange& aCaller)
    : caller_(aCaller)
  {
  }

  /// Forwards the response of the backend server. False when the caller has
  /// disconnected.
  bool Complete(ExchangeResult& aResult);
  /// Responds with 503 to a request that was not executed. aRetryAfterMs gets
  /// jitter, so that refused callers do not retry at the same time.
  void NotRun(NotRunReason aReason,
              TimeMs aRetryAfterMs,
              std::string_view aText);
  /// Responds with 504 (aTimedOut) or 502 when the request may have been
  /// executed.
  void Unknown(bool aTimedOut, std::string_view aText);
  /// Responds with 409 when the request ledger already has the request id.
  void Duplicate(LedgerEntryState aState);
  /// Rejects a request that cannot be forwarded.
  void Refuse(int aStatus, std::string_view aText);

  /// Headers of responses to malformed requests that never reach a handler.
  static HttpHeaders ErrorResponseHeaders();
  /// Random time between 0.5 and 1.5 times aMs, at least 1 ms.
  static TimeMs Jitter(TimeMs aMs);

private:
  static HttpHeaders NotRunHeaders(TimeMs aRetryAfterMs);

  HttpExchange& caller_;
};

}
