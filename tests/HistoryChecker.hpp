#pragma once

#include "common/Types.hpp"

#include <string>
#include <vector>

namespace cactuspitch {

/// Half-open interval [startMs_, endMs_) in which a backend server could
/// execute requests for the key, or executed one. All times of a history come
/// from one clock; its unit is up to the recorder.
struct OwnerInterval
{
  std::string server_;
  std::string incarnation_;
  KeyHash key_ = 0;
  Epoch epoch_ = 0;
  TimeMs startMs_ = 0;
  TimeMs endMs_ = 0;
};

/// The store acknowledged the assignment of the key to the server.
struct AssignmentAck
{
  KeyHash key_ = 0;
  Epoch epoch_ = 0;
  std::string server_;
  TimeMs atMs_ = 0;
};

struct ConfigObservation
{
  std::string observer_;
  int64_t version_ = 0;
  TimeMs atMs_ = 0;
};

/// One execution of a request by a backend server.
struct RequestExecution
{
  std::string requestId_;
  std::string server_;
  bool idempotent_ = false;
};

/// The response that a client received for its request.
struct ClientResponse
{
  std::string requestId_;
  Outcome outcome_ = Outcome::Unknown;
  /// Id of the request that the body responds to; empty without a body.
  std::string bodyRequestId_;
};

struct History
{
  std::vector<OwnerInterval> owners_;
  std::vector<AssignmentAck> assignments_;
  std::vector<ConfigObservation> configs_;
  std::vector<RequestExecution> executions_;
  std::vector<ClientResponse> responses_;
};

struct Violation
{
  std::string rule_;
  std::string detail_;
};

/// Checks a recorded history against the invariants of docs/design.md.
class HistoryChecker
{
public:
  explicit HistoryChecker(const History& aHistory)
    : history_(aHistory)
  {
  }

  /// Returns all violations found; call it once per checker.
  std::vector<Violation> Check();

private:
  void CheckSingleOwner();
  void CheckOwnerEpochs();
  void CheckAssignments();
  void CheckConfig();
  void CheckExecutions();
  void CheckResponses();
  void Report(std::string aRule, std::string aDetail);

  const History& history_;
  std::vector<Violation> violations_;
};

/// Formats the violations, one per line; empty when there are none.
std::string ToText(const std::vector<Violation>& aViolations);

}
