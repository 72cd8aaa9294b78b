#pragma once

#include "RequestLedger.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

/// One attempt to run a non-idempotent request.
struct LedgerId
{
  std::string service_;
  std::string requestId_;
  uint64_t token_ = 0;
};

/// Answer of one holder.
enum class ReplicaResponse : uint8_t
{
  Recorded,
  Seen,
  Unreachable, ///< not asked or no answer; it may have recorded the id
  Exited,      ///< its process has ended, and its ledger with it
  Count
};

/// Calls to the ledger of one router instance; tests fake it.
class LedgerTransport
{
public:
  virtual ~LedgerTransport() = default;
  virtual ReplicaResponse Begin(const std::string& aPeer,
                                const LedgerId& aId,
                                LedgerEntryState& aState) = 0;
  /// Reports the end now; without effect when the peer cannot be asked.
  virtual void Finish(const std::string& aPeer,
                      const LedgerId& aId,
                      LedgerEntryState aState) = 0;
  /// Reports the end later, repeating for some time until the peer confirms.
  virtual void FinishAsync(const std::string& aPeer,
                           const LedgerId& aId,
                           LedgerEntryState aState) = 0;
};

/// Permission to forward a non-idempotent request.
struct LedgerTicket
{
  enum class Verdict : uint8_t
  {
    Forward,
    AlreadySeen, ///< answer unknown with state_
    Unavailable  ///< no majority could be asked: refuse as not run
  };
  Verdict verdict_ = Verdict::Unavailable;
  LedgerEntryState state_ = LedgerEntryState::Unseen;
  LedgerId id_;
  /// The holders that were asked.
  std::vector<std::string> replicas_;
};

/// Rules of the request ledger (docs/design.md, section 6): the three holders
/// of an id are asked in the order of their rank until a majority of those
/// whose process has not ended recorded it.
/// Two majorities share a holder, so routers that reach different holders
/// cannot both forward an id.
class LedgerClient
{
public:
  explicit LedgerClient(LedgerTransport& aTransport);

  LedgerTicket Begin(const std::vector<std::string>& aRouters, LedgerId aId);
  /// Reports the end of a request that Begin allowed. NotRun waits for the
  /// holders, so that the caller's repeat is not taken for a duplicate, unless
  /// aMayWait is false.
  void Finish(const LedgerTicket& aTicket,
              LedgerEntryState aState,
              bool aMayWait = true);

  /// The holders of an id, highest rank first.
  static std::vector<std::string> Replicas(
    const std::vector<std::string>& aRouters,
    std::string_view aRequestId);
  static constexpr size_t kReplicas = 3;

private:
  LedgerTransport& transport_;
};

}
