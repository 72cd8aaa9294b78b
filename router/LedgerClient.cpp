#include "LedgerClient.hpp"

#include "common/KeyHash.hpp"

#include <algorithm>

namespace cactuspitch {

LedgerClient::LedgerClient(LedgerTransport& aTransport)
  : transport_(aTransport)
{
}

std::vector<std::string> LedgerClient::Replicas(
  const std::vector<std::string>& aRouters,
  std::string_view aRequestId)
{
  auto ranked = aRouters;
  const auto count = std::min(kReplicas, ranked.size());
  std::ranges::partial_sort(ranked,
                            ranked.begin() + static_cast<ptrdiff_t>(count),
                            std::ranges::greater{},
                            [aRequestId](const std::string& aRouter) {
                              return RendezvousScore(aRequestId, aRouter);
                            });
  ranked.resize(count);
  return ranked;
}

LedgerTicket LedgerClient::Begin(const std::vector<std::string>& aRouters,
                                 LedgerId aId)
{
  LedgerTicket ticket;
  ticket.id_ = std::move(aId);
  const auto replicas = Replicas(aRouters, ticket.id_.requestId_);
  size_t recorded = 0;
  size_t alive = replicas.size();
  for (const auto& replica : replicas) {
    ticket.replicas_.push_back(replica);
    LedgerEntryState state = LedgerEntryState::Unseen;
    switch (transport_.Begin(replica, ticket.id_, state)) {
      case ReplicaResponse::Recorded:
        ++recorded;
        break;
      case ReplicaResponse::Seen:
        // Replicas that recorded this attempt keep the id as in progress, so
        // that it stays refused when the other replicas are lost.
        ticket.verdict_ = LedgerTicket::Verdict::AlreadySeen;
        ticket.state_ = state;
        return ticket;
      case ReplicaResponse::Exited:
        --alive;
        break;
      case ReplicaResponse::Unreachable:
      case ReplicaResponse::Count:
        break;
    }
    if (recorded > replicas.size() / 2) {
      break;
    }
  }
  if (alive > 0 && recorded > alive / 2) {
    ticket.verdict_ = LedgerTicket::Verdict::Forward;
    return ticket;
  }
  // A replica may have recorded the id even if its response was lost.
  for (const auto& replica : ticket.replicas_) {
    transport_.FinishAsync(replica, ticket.id_, LedgerEntryState::NotRun);
  }
  return ticket;
}

void LedgerClient::Finish(const LedgerTicket& aTicket,
                          LedgerEntryState aState,
                          bool aMayWait)
{
  for (const auto& replica : aTicket.replicas_) {
    if (aState == LedgerEntryState::NotRun && aMayWait) {
      transport_.Finish(replica, aTicket.id_, aState);
    } else {
      transport_.FinishAsync(replica, aTicket.id_, aState);
    }
  }
}

}
