#pragma once

#include "LedgerClient.hpp"
#include "PeerChannelPool.hpp"
#include "SynchronizedLedger.hpp"
#include "common/BoundedRing.hpp"

#include <string>
#include <thread>

#include <RouterPeer.h>

namespace cactuspitch {

using RouterChannelPool = PeerChannelPool<wire::RouterPeerClient>;

/// Calls the local ledger directly and the ledgers of other routers over
/// Thrift.
class ThriftLedgerTransport final : public LedgerTransport
{
public:
  /// aOwnAddress is the Thrift address that peers use for this router.
  ThriftLedgerTransport(const Clock& aClock,
                        std::string aOwnAddress,
                        SynchronizedLedger& aLocalLedger,
                        RouterChannelPool& aPool);
  ~ThriftLedgerTransport() override;

  ReplicaResponse Begin(const std::string& aPeer,
                        const LedgerId& aId,
                        LedgerEntryState& aState) override;
  void Finish(const std::string& aPeer,
              const LedgerId& aId,
              LedgerEntryState aState) override;
  void FinishAsync(const std::string& aPeer,
                   const LedgerId& aId,
                   LedgerEntryState aState) override;
  void Stop();

  /// Joins request id and token to one string for the wire protocol.
  static std::string EncodeId(const LedgerId& aId);
  static LedgerId DecodeId(const std::string& aService,
                           const std::string& aText);

private:
  struct PendingFinish
  {
    std::string peer_;
    LedgerId id_;
    LedgerEntryState state_ = LedgerEntryState::Unknown;
    TimeMs retryUntilMs_ = 0;
  };

  bool SendFinish(const std::string& aPeer,
                  const LedgerId& aId,
                  LedgerEntryState aState);
  void SendPendingFinishes();

  const Clock& clock_;
  const std::string ownAddress_;
  SynchronizedLedger& localLedger_;
  RouterChannelPool& pool_;
  BoundedRing<PendingFinish> pending_;
  std::thread thread_;
};

}
