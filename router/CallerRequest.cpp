#include "CallerRequest.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>

namespace cactuspitch {

namespace detail {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUriTooLong = 414;

struct MethodRule
{
  std::string_view name_;
  bool idempotent_;
};

/// Only lookups count as idempotent (docs/design.md, section 1.2).
constexpr std::array kMethods = {
  MethodRule{ "GET", true },     MethodRule{ "HEAD", true },
  MethodRule{ "POST", false },   MethodRule{ "PUT", false },
  MethodRule{ "DELETE", false }, MethodRule{ "PATCH", false },
};

int HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(aDigit));
  constexpr int kTen = 10;
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + kTen : -1;
}

/// Percent-decodes one path segment. False for a malformed escape, a control
/// character, a dot segment or an encoded separator: a backend server could
/// resolve these to another path.
bool DecodeSegment(std::string_view aText, std::string& aResult)
{
  constexpr int kHexBase = 16;
  aResult.clear();
  for (size_t i = 0; i < aText.size(); ++i) {
    char byte = aText[i];
    if (byte == '%') {
      const int high = i + 2 < aText.size() ? HexDigit(aText[i + 1]) : -1;
      const int low = high < 0 ? -1 : HexDigit(aText[i + 2]);
      if (low < 0) {
        return false;
      }
      byte = static_cast<char>(high * kHexBase + low);
      i += 2;
    }
    if (byte == '/' || byte == '\\' ||
        absl::ascii_iscntrl(static_cast<unsigned char>(byte))) {
      return false;
    }
    aResult.push_back(byte);
  }
  return aResult != "." && aResult != "..";
}

/// Reads service and key from the path. False when a segment is invalid.
bool ParsePath(std::string_view aPath, CallerRequest& aRequest)
{
  std::string segment;
  size_t index = 0;
  aPath.remove_prefix(1);
  while (true) {
    const auto slash = aPath.find('/');
    if (!DecodeSegment(aPath.substr(0, slash), segment)) {
      return false;
    }
    if (index < 2) {
      (index == 0 ? aRequest.service_ : aRequest.key_) = segment;
    }
    ++index;
    if (slash == std::string_view::npos) {
      return true;
    }
    aPath.remove_prefix(slash + 1);
  }
}

bool IsPrintable(std::string_view aText)
{
  return std::ranges::all_of(aText, [](char aByte) {
    return absl::ascii_isgraph(static_cast<unsigned char>(aByte));
  });
}

InputRefusal CheckPath(const CallerInput& aInput,
                       const InputLimits& aLimits,
                       CallerRequest& aRequest)
{
  if (aInput.path_.size() + aInput.query_.size() > aLimits.maxPathBytes_) {
    return { kUriTooLong, "path is too long" };
  }
  if (!aInput.path_.starts_with('/') || !ParsePath(aInput.path_, aRequest)) {
    return { kBadRequest, "path is malformed" };
  }
  if (aRequest.service_.empty() || aRequest.service_.starts_with('_')) {
    return { kNotFound, "unknown service" };
  }
  if (aRequest.key_.empty()) {
    return { kBadRequest, "key is missing: the path is /{service}/{key}" };
  }
  return {};
}

InputRefusal CheckHeaders(const CallerInput& aInput,
                          const InputLimits& aLimits,
                          CallerRequest& aRequest)
{
  if (aInput.requestId_.size() > aLimits.maxRequestIdBytes_ ||
      !IsPrintable(aInput.requestId_)) {
    return { kBadRequest, Concat(header::kRequestId, " is malformed") };
  }
  if (aInput.requestId_.empty() && !aRequest.isIdempotent_) {
    return { kBadRequest,
             Concat(aInput.method_, " needs ", header::kRequestId) };
  }
  aRequest.requestId_ = aInput.requestId_;
  if (!aInput.deadlineMs_.empty()) {
    TimeMs deadline = 0;
    if (!ParseNumber(aInput.deadlineMs_, deadline) || deadline <= 0) {
      return { kBadRequest,
               Concat(header::kDeadlineMs, " is not a positive number") };
    }
    aRequest.deadlineMs_ = deadline;
  }
  return {};
}

}

InputRefusal ParseCallerRequest(const CallerInput& aInput,
                                const InputLimits& aLimits,
                                CallerRequest& aRequest)
{
  const auto* method = std::ranges::find(
    detail::kMethods, aInput.method_, &detail::MethodRule::name_);
  if (method == detail::kMethods.end()) {
    return { detail::kMethodNotAllowed, "method is not supported" };
  }
  aRequest.method_ = aInput.method_;
  aRequest.isIdempotent_ = method->idempotent_;
  if (auto refusal = detail::CheckPath(aInput, aLimits, aRequest);
      refusal.status_ != 0) {
    return refusal;
  }
  if (auto refusal = detail::CheckHeaders(aInput, aLimits, aRequest);
      refusal.status_ != 0) {
    return refusal;
  }
  aRequest.hash_ = HashKey(aRequest.key_);
  aRequest.target_ = aInput.query_.empty()
                       ? std::string(aInput.path_)
                       : Concat(aInput.path_, "?", aInput.query_);
  return {};
}

}
