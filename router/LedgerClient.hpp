#pragma once

#include "RequestLedger.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// Identifies one attempt to execute a non-idempotent request.
struct LedgerId
{
  std::string service_;
  std::string requestId_;
  /// Distinguishes attempts with the same request id.
  uint64_t token_ = 0;
};

/// Response of one ledger replica to Begin.
enum class ReplicaResponse : uint8_t
{
  Recorded,
  Seen,
  Unreachable, ///< no response; the replica may have recorded the id
  Exited,      ///< the process has exited, so its ledger is lost
  Count
};

/// Calls to the ledger replicas on router instances; tests use a fake.
class LedgerTransport
{
public:
  virtual ~LedgerTransport() = default;
  virtual ReplicaResponse Begin(const std::string& aPeer,
                                const LedgerId& aId,
                                LedgerEntryState& aState) = 0;
  /// Reports the final state and waits for the replica. Best effort.
  virtual void Finish(const std::string& aPeer,
                      const LedgerId& aId,
                      LedgerEntryState aState) = 0;
  /// Reports the final state in the background, with retries for a limited
  /// time.
  virtual void FinishAsync(const std::string& aPeer,
                           const LedgerId& aId,
                           LedgerEntryState aState) = 0;
};

/// Result of LedgerClient::Begin(): whether a non-idempotent request may be
/// forwarded.
struct LedgerTicket
{
  enum class Verdict : uint8_t
  {
    Forward,
    AlreadySeen, ///< a duplicate: its recorded state is state_
    Unavailable  ///< no majority of replicas was reached; refuse as not run
  };
  Verdict verdict_ = Verdict::Unavailable;
  LedgerEntryState state_ = LedgerEntryState::Unseen;
  LedgerId id_;
  /// Replicas that were called.
  std::vector<std::string> replicas_;
};

/// Client of the request ledger (docs/design.md, section 6), which keeps a
/// request id on three router instances, its replicas. Begin() calls them in
/// rank order until a majority of those whose process has not exited recorded
/// the id. Two majorities share a replica, so two routers that reach different
/// replicas cannot both forward the request.
class LedgerClient
{
public:
  explicit LedgerClient(LedgerTransport& aTransport);

  /// Records the id as in progress. aRouters are the live routers.
  LedgerTicket Begin(const std::vector<std::string>& aRouters, LedgerId aId);
  /// Reports the final state of a request that Begin() allowed. With NotRun the
  /// call waits for the replicas, so that they do not take a retry of the
  /// caller for a duplicate, unless aMayWait is false.
  void Finish(const LedgerTicket& aTicket,
              LedgerEntryState aState,
              bool aMayWait = true);

  /// Routers that keep the id, highest rank first (rendezvous hashing).
  static std::vector<std::string> Replicas(
    const std::vector<std::string>& aRouters,
    std::string_view aRequestId);
  static constexpr size_t kReplicas = 3;

private:
  LedgerTransport& transport_;
};

}
