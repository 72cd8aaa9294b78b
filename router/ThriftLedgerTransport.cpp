#include "ThriftLedgerTransport.hpp"

#include <chrono>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxPendingFinishes = 16384;
/// Time limit for reporting a final state to an unreachable replica. If the
/// report never arrives, the id stays in progress at that replica, which is
/// safe.
constexpr TimeMs kFinishRetryTimeoutMs = 10000;
/// Request ids contain only printable characters, so never this one.
constexpr char kTokenSeparator = '\x1f';

ReplicaResponse ToReplicaResponse(RequestLedger::BeginResult aResult)
{
  switch (aResult) {
    case RequestLedger::BeginResult::Recorded:
      return ReplicaResponse::Recorded;
    case RequestLedger::BeginResult::Seen:
      return ReplicaResponse::Seen;
    case RequestLedger::BeginResult::Full:
      break;
  }
  return ReplicaResponse::Unreachable;
}

}

ThriftLedgerTransport::ThriftLedgerTransport(const Clock& aClock,
                                             std::string aOwnAddress,
                                             SynchronizedLedger& aLocalLedger,
                                             RouterChannelPool& aPool)
  : clock_(aClock)
  , ownAddress_(std::move(aOwnAddress))
  , localLedger_(aLocalLedger)
  , pool_(aPool)
  , pending_(detail::kMaxPendingFinishes)
  , thread_([this] { SendPendingFinishes(); })
{
}

ThriftLedgerTransport::~ThriftLedgerTransport()
{
  Stop();
}

void ThriftLedgerTransport::Stop()
{
  pending_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::string ThriftLedgerTransport::EncodeId(const LedgerId& aId)
{
  return Concat(
    aId.requestId_, std::string(1, detail::kTokenSeparator), aId.token_);
}

LedgerId ThriftLedgerTransport::DecodeId(const std::string& aService,
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

ReplicaResponse ThriftLedgerTransport::Begin(const std::string& aPeer,
                                             const LedgerId& aId,
                                             LedgerEntryState& aState)
{
  if (aPeer == ownAddress_) {
    return detail::ToReplicaResponse(localLedger_.Begin(aId, aState));
  }
  wire::BeginRequestResponse response;
  const auto status = pool_.Run(aPeer, [&](auto& aClient) {
    aClient.BeginRequest(response, aId.service_, EncodeId(aId));
  });
  if (!status.ok()) {
    return IsConnectionRefused(status) ? ReplicaResponse::Exited
                                       : ReplicaResponse::Unreachable;
  }
  aState = static_cast<LedgerEntryState>(response.state);
  return aState == LedgerEntryState::Unseen ? ReplicaResponse::Recorded
                                            : ReplicaResponse::Seen;
}

bool ThriftLedgerTransport::SendFinish(const std::string& aPeer,
                                       const LedgerId& aId,
                                       LedgerEntryState aState)
{
  const auto status = pool_.Run(aPeer, [&](auto& aClient) {
    aClient.FinishRequest(aId.service_,
                          EncodeId(aId),
                          static_cast<wire::LedgerState::type>(aState));
  });
  return status.ok();
}

void ThriftLedgerTransport::Finish(const std::string& aPeer,
                                   const LedgerId& aId,
                                   LedgerEntryState aState)
{
  if (aPeer == ownAddress_) {
    localLedger_.Finish(aId, aState);
  } else if (!SendFinish(aPeer, aId, aState)) {
    FinishAsync(aPeer, aId, aState);
  }
}

void ThriftLedgerTransport::FinishAsync(const std::string& aPeer,
                                        const LedgerId& aId,
                                        LedgerEntryState aState)
{
  if (aPeer == ownAddress_) {
    localLedger_.Finish(aId, aState);
    return;
  }
  pending_.TryPush(
    { aPeer, aId, aState, clock_.NowMs() + detail::kFinishRetryTimeoutMs });
}

void ThriftLedgerTransport::SendPendingFinishes()
{
  constexpr auto kPopTimeout = std::chrono::milliseconds(200);
  constexpr auto kRetryInterval = std::chrono::milliseconds(20);
  while (true) {
    auto pending = pending_.Pop(kPopTimeout);
    if (!pending) {
      if (pending_.IsClosed()) {
        return;
      }
      continue;
    }
    if (SendFinish(pending->peer_, pending->id_, pending->state_) ||
        clock_.NowMs() >= pending->retryUntilMs_ || pending_.IsClosed()) {
      continue;
    }
    pending_.TryPush(std::move(*pending));
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}
