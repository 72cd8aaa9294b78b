#pragma once

#include "LogLine.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// Cause of a request's outcome and the log lines that relate to it, from the
/// logs of all gateways.
struct RequestExplanation
{
  bool found_ = false;  ///< some line has the id of the request
  std::string cause_;   ///< of the final response, as logged
  std::string meaning_; ///< of the cause, for an operator
  /// Lines of the request, and lines about its backend servers, its key and its
  /// gateway from about the same time; sorted by time.
  std::vector<LogLine> lines_;
};

/// aLines may come from several processes in any order.
RequestExplanation ExplainRequest(const std::vector<LogLine>& aLines,
                                  std::string_view aRequestId);

/// Text for a terminal: the cause, then one line for each log line with its
/// time in ms relative to the first line of the request.
std::string ToText(const RequestExplanation& aExplanation);

}
