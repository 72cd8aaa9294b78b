#pragma once

#include "LogLine.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// What the logs of all gateways tell of one request.
struct RequestExplanation
{
  bool found_ = false;
  std::string cause_;   ///< of the final answer, as logged
  std::string meaning_; ///< what the cause says and where to look next
  /// Lines of the request, and those of its backend servers, its key and the
  /// process around that time; in the order of time.
  std::vector<LogLine> lines_;
};

RequestExplanation ExplainRequest(const std::vector<LogLine>& aLines,
                                  std::string_view aRequestId);

/// As printed: the cause, then a line each with the time relative to the
/// request's first line in ms.
std::string ToText(const RequestExplanation& aExplanation);

}
