#pragma once

#include "common/KeyHash.hpp"
#include "common/Types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cactuspitch {

/// Parts of a caller's HTTP request that the router parses.
struct CallerInput
{
  std::string_view method_;
  std::string_view path_; ///< not decoded
  std::string_view query_;
  std::string_view requestId_;
  std::string_view deadlineMs_;
};

/// A validated request.
struct CallerRequest
{
  std::string method_;
  std::string target_; ///< path and query, not decoded
  std::string service_;
  std::string key_; ///< decoded
  std::string requestId_;
  KeyHash hash_ = 0; ///< of key_
  bool isIdempotent_ = true;
  /// Time the caller allows for the request; absent when it sent none.
  std::optional<TimeMs> deadlineMs_;
};

/// HTTP status and text of the response to a request that is not forwarded.
struct InputRefusal
{
  int status_ = 0; ///< 0 when the request is valid
  std::string text_;
};

struct InputLimits
{
  size_t maxPathBytes_ = 4096;
  size_t maxRequestIdBytes_ = 128;
};

/// Validates a caller's request and fills aRequest. Refuses paths that a
/// backend server could resolve to another key or to its internal endpoints.
InputRefusal ParseCallerRequest(const CallerInput& aInput,
                                const InputLimits& aLimits,
                                CallerRequest& aRequest);

}
