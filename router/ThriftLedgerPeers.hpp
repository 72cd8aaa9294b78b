#pragma once

#include "LedgerClient.hpp"
#include "LedgerHolder.hpp"
#include "PeerPool.hpp"
#include "common/BoundedRing.hpp"

#include <string>
#include <thread>

#include <RouterPeer.h>

namespace cactuspitch {

using RouterPeerPool = PeerPool<wire::RouterPeerClient>;

/// Ledgers of all routers: the own one directly, others over Thrift.
class ThriftLedgerPeers final : public LedgerPeers
{
public:
  /// aOwnAddress is the Thrift address under which peers know this router.
  ThriftLedgerPeers(const Clock& aClock,
                    std::string aOwnAddress,
                    LedgerHolder& aOwn,
                    RouterPeerPool& aPool);
  ~ThriftLedgerPeers() override;

  HolderAnswer Begin(const std::string& aPeer,
                     const LedgerId& aId,
                     LedgerEntry& aState) override;
  void Finish(const std::string& aPeer,
              const LedgerId& aId,
              LedgerEntry aState) override;
  void FinishLater(const std::string& aPeer,
                   const LedgerId& aId,
                   LedgerEntry aState) override;
  void Stop();

  /// Request id and token as one string of the wire protocol.
  static std::string EncodeId(const LedgerId& aId);
  static LedgerId DecodeId(const std::string& aService,
                           const std::string& aText);

private:
  struct PendingFinish
  {
    std::string peer_;
    LedgerId id_;
    LedgerEntry state_ = LedgerEntry::Unknown;
    TimeMs giveUpMs_ = 0;
  };

  bool SendFinish(const std::string& aPeer,
                  const LedgerId& aId,
                  LedgerEntry aState);
  void RunFinishes();

  const Clock& clock_;
  const std::string ownAddress_;
  LedgerHolder& own_;
  RouterPeerPool& pool_;
  BoundedRing<PendingFinish> pending_;
  std::thread thread_;
};

}
