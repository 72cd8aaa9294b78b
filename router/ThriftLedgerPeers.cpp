#include "ThriftLedgerPeers.hpp"

#include <chrono>

namespace cactuspitch {

namespace detail {

constexpr size_t kPendingFinishes = 16384;
/// A finish that does not reach its holder leaves the id in progress there,
/// which is safe; this bounds the work for a lost holder.
constexpr TimeMs kFinishRetryMs = 10000;
/// Request ids are printable, so the separator cannot be part of one.
constexpr char kTokenSeparator = '\x1f';

HolderAnswer ToAnswer(RequestLedger::BeginResult aResult)
{
  switch (aResult) {
    case RequestLedger::BeginResult::Recorded:
      return HolderAnswer::Recorded;
    case RequestLedger::BeginResult::Seen:
      return HolderAnswer::Seen;
    case RequestLedger::BeginResult::Full:
      break;
  }
  return HolderAnswer::Unreachable;
}

}

ThriftLedgerPeers::ThriftLedgerPeers(const Clock& aClock,
                                     std::string aOwnAddress,
                                     LedgerHolder& aOwn,
                                     RouterPeerPool& aPool)
  : clock_(aClock)
  , ownAddress_(std::move(aOwnAddress))
  , own_(aOwn)
  , pool_(aPool)
  , pending_(detail::kPendingFinishes)
  , thread_([this] { RunFinishes(); })
{
}

ThriftLedgerPeers::~ThriftLedgerPeers()
{
  Stop();
}

void ThriftLedgerPeers::Stop()
{
  pending_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::string ThriftLedgerPeers::EncodeId(const LedgerId& aId)
{
  return Concat(
    aId.requestId_, std::string(1, detail::kTokenSeparator), aId.token_);
}

LedgerId ThriftLedgerPeers::DecodeId(const std::string& aService,
                                     const std::string& aText)
{
  LedgerId id{ aService, aText, 0 };
  const auto separator = aText.rfind(detail::kTokenSeparator);
  if (separator != std::string::npos) {
    id.requestId_ = aText.substr(0, separator);
    ParseNumber(std::string_view(aText).substr(separator + 1), id.token_);
  }
  return id;
}

HolderAnswer ThriftLedgerPeers::Begin(const std::string& aPeer,
                                      const LedgerId& aId,
                                      LedgerEntry& aState)
{
  if (aPeer == ownAddress_) {
    return detail::ToAnswer(own_.Begin(aId, aState));
  }
  wire::BeginRequestResponse response;
  const auto status = pool_.Run(aPeer, [&](auto& aClient) {
    aClient.BeginRequest(response, aId.service_, EncodeId(aId));
  });
  if (!status.ok()) {
    return IsConnectionRefused(status) ? HolderAnswer::Gone
                                       : HolderAnswer::Unreachable;
  }
  aState = static_cast<LedgerEntry>(response.state);
  return aState == LedgerEntry::Unseen ? HolderAnswer::Recorded
                                       : HolderAnswer::Seen;
}

bool ThriftLedgerPeers::SendFinish(const std::string& aPeer,
                                   const LedgerId& aId,
                                   LedgerEntry aState)
{
  const auto status = pool_.Run(aPeer, [&](auto& aClient) {
    aClient.FinishRequest(aId.service_,
                          EncodeId(aId),
                          static_cast<wire::LedgerState::type>(aState));
  });
  return status.ok();
}

void ThriftLedgerPeers::Finish(const std::string& aPeer,
                               const LedgerId& aId,
                               LedgerEntry aState)
{
  if (aPeer == ownAddress_) {
    own_.Finish(aId, aState);
  } else if (!SendFinish(aPeer, aId, aState)) {
    FinishLater(aPeer, aId, aState);
  }
}

void ThriftLedgerPeers::FinishLater(const std::string& aPeer,
                                    const LedgerId& aId,
                                    LedgerEntry aState)
{
  if (aPeer == ownAddress_) {
    own_.Finish(aId, aState);
    return;
  }
  pending_.TryPush(
    { aPeer, aId, aState, clock_.NowMs() + detail::kFinishRetryMs });
}

void ThriftLedgerPeers::RunFinishes()
{
  constexpr auto kPopTimeout = std::chrono::milliseconds(200);
  constexpr auto kRetryPause = std::chrono::milliseconds(20);
  while (true) {
    auto pending = pending_.Pop(kPopTimeout);
    if (!pending) {
      if (pending_.IsClosed()) {
        return;
      }
      continue;
    }
    if (SendFinish(pending->peer_, pending->id_, pending->state_) ||
        clock_.NowMs() >= pending->giveUpMs_ || pending_.IsClosed()) {
      continue;
    }
    pending_.TryPush(std::move(*pending));
    std::this_thread::sleep_for(kRetryPause);
  }
}

}
