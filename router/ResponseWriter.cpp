#include "ResponseWriter.hpp"

#include "HeaderFilter.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <random>

namespace cactuspitch {

namespace detail {

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kNotRunStatus = 503;
constexpr int kGatewayTimeout = 504;
constexpr TimeMs kMsPerSecond = 1000;
/// Retry time sent with the rejection of a malformed request, which an early
/// retry would not help.
constexpr TimeMs kRejectionRetryMs = 10000;

}

bool ResponseWriter::Complete(ExchangeResult& aResult)
{
  auto headers = HeaderFilter::ForCaller(std::move(aResult.head_.headers_));
  headers.emplace_back(header::kOutcome, EnumName(Outcome::Complete));
  const auto& head = aResult.head_;
  if (caller_.Method() != "HEAD") {
    return caller_.Respond(head.status_, headers, aResult.body_);
  }
  return caller_.BeginResponse(
    head.status_, headers, head.contentLength_.value_or(0));
}

TimeMs ResponseWriter::Jitter(TimeMs aMs)
{
  static thread_local std::minstd_rand random(std::random_device{}());
  std::uniform_int_distribution<TimeMs> spread(aMs / 2, aMs + aMs / 2);
  return std::max<TimeMs>(1, spread(random));
}

HttpHeaders ResponseWriter::ErrorResponseHeaders()
{
  return NotRunHeaders(detail::kRejectionRetryMs);
}

HttpHeaders ResponseWriter::NotRunHeaders(TimeMs aRetryAfterMs)
{
  const auto retryMs = Jitter(aRetryAfterMs);
  const auto seconds =
    (retryMs + detail::kMsPerSecond - 1) / detail::kMsPerSecond;
  return { { header::kOutcome, std::string(EnumName(Outcome::NotRun)) },
           { "Retry-After", std::to_string(seconds) },
           { header::kRetryAfterMs, std::to_string(retryMs) } };
}

void ResponseWriter::NotRun(NotRunReason aReason,
                            TimeMs aRetryAfterMs,
                            std::string_view aText)
{
  auto headers = NotRunHeaders(aRetryAfterMs);
  headers.emplace_back(header::kNotRun, EnumName(aReason));
  caller_.Respond(detail::kNotRunStatus,
                  headers,
                  Concat("not run (", EnumName(aReason), "): ", aText, "\n"));
}

void ResponseWriter::Unknown(bool aTimedOut, std::string_view aText)
{
  const HttpHeaders headers = { { header::kOutcome,
                                  std::string(EnumName(Outcome::Unknown)) } };
  caller_.Respond(aTimedOut ? detail::kGatewayTimeout : detail::kBadGateway,
                  headers,
                  Concat("outcome is unknown: ", aText, "\n"));
}

void ResponseWriter::Duplicate(LedgerEntryState aState)
{
  const HttpHeaders headers = { { header::kOutcome,
                                  std::string(EnumName(Outcome::Unknown)) } };
  caller_.Respond(detail::kConflict,
                  headers,
                  Concat("a request with this ",
                         header::kRequestId,
                         " was received before; its state is ",
                         EnumName(aState),
                         "\n"));
}

void ResponseWriter::Refuse(int aStatus, std::string_view aText)
{
  caller_.Respond(
    aStatus, NotRunHeaders(detail::kRejectionRetryMs), Concat(aText, "\n"));
}

}
