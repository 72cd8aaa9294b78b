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
  ticket.id_ = std::move(aId);
  const auto holders = Holders(aRouters, ticket.id_.requestId_);
  size_t recorded = 0;
  size_t alive = holders.size();
  for (const auto& holder : holders) {
    ticket.holders_.push_back(holder);
    LedgerEntry state = LedgerEntry::Unseen;
    switch (peers_.Begin(holder, ticket.id_, state)) {
      case HolderAnswer::Recorded:
        ++recorded;
        break;
      case HolderAnswer::Seen:
        // A holder that recorded this attempt keeps the id as in progress, so
        // the id stays refused when the other holders are lost.
        ticket.verdict_ = LedgerTicket::Verdict::AlreadySeen;
        ticket.state_ = state;
        return ticket;
      case HolderAnswer::Gone:
        --alive;
        break;
      case HolderAnswer::Unreachable:
      case HolderAnswer::Count:
        break;
    }
    if (recorded > holders.size() / 2) {
      break;
    }
  }
  if (alive > 0 && recorded > alive / 2) {
    ticket.verdict_ = LedgerTicket::Verdict::Forward;
    return ticket;
  }
  // A holder may have recorded the id, also one whose answer was lost.
  for (const auto& holder : ticket.holders_) {
    peers_.FinishLater(holder, ticket.id_, LedgerEntry::NotRun);
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
