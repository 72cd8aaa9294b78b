#include "LedgerClient.hpp"

#include "common/KeyHash.hpp"

#include <algorithm>

namespace cactuspitch {

LedgerClient::LedgerClient(LedgerPeers& aPeers)
  : peers_(aPeers)
{
}

std::vector<std::string> LedgerClient::Holders(
  const std::vector<std::string>& aRouters,
  std::string_view aRequestId)
{
  auto ranked = aRouters;
  const auto count = std::min(kHolders, ranked.size());
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
  ticket.holders_ = Holders(aRouters, aId.requestId_);
  ticket.id_ = std::move(aId);
  for (const auto& holder : ticket.holders_) {
    LedgerEntry state = LedgerEntry::Unseen;
    switch (peers_.Begin(holder, ticket.id_, state)) {
      case HolderAnswer::Recorded:
        ticket.verdict_ = LedgerTicket::Verdict::Forward;
        break;
      case HolderAnswer::Seen:
        // A holder that recorded this attempt keeps the id as in progress, so
        // the id stays refused when the other holder is lost.
        ticket.verdict_ = LedgerTicket::Verdict::AlreadySeen;
        ticket.state_ = state;
        return ticket;
      case HolderAnswer::Unreachable:
      case HolderAnswer::Count:
        break;
    }
  }
  if (ticket.verdict_ == LedgerTicket::Verdict::Unavailable) {
    // A holder may have recorded the id although its answer was lost.
    for (const auto& holder : ticket.holders_) {
      peers_.FinishLater(holder, ticket.id_, LedgerEntry::NotRun);
    }
  }
  return ticket;
}

void LedgerClient::Finish(const LedgerTicket& aTicket,
                          LedgerEntry aState,
                          bool aMayWait)
{
  for (const auto& holder : aTicket.holders_) {
    if (aState == LedgerEntry::NotRun && aMayWait) {
      peers_.Finish(holder, aTicket.id_, aState);
    } else {
      peers_.FinishLater(holder, aTicket.id_, aState);
    }
  }
}

}
