#pragma once

#include "common/KeyHash.hpp"
#include "common/Types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cactuspitch {

/// What a caller sent, as far as the router looks at it.
struct CallerInput
{
  std::string_view method_;
  std::string_view path_; ///< raw
  std::string_view query_;
  std::string_view requestId_;
  std::string_view deadlineMs_;
};

/// A request that passed the checks.
struct CallerRequest
{
  std::string method_;
  std::string target_; ///< raw path and query
  std::string service_;
  std::string key_; ///< decoded
  std::string requestId_;
  KeyHash hash_ = 0;
  bool isIdempotent_ = true;
  /// Absent when the caller sent none.
  std::optional<TimeMs> deadlineMs_;
};

/// Why a request is answered without being forwarded.
struct InputRefusal
{
  int status_ = 0; ///< 0: no refusal
  std::string text_;
};

struct InputLimits
{
  size_t maxPathBytes_ = 4096;
  size_t maxRequestIdBytes_ = 128;
};

/// Checks a caller's request and fills aRequest. Paths that a backend server
/// could resolve to another key or to its internal endpoints are refused.
InputRefusal ParseCallerRequest(const CallerInput& aInput,
                                const InputLimits& aLimits,
                                CallerRequest& aRequest);

}
