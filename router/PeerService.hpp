#pragma once

#include "SloCounters.hpp"
#include "SynchronizedLedger.hpp"
#include "SynchronizedQuarantine.hpp"

#include <functional>

#include <RouterPeer.h>

namespace cactuspitch {

/// RouterPeer Thrift service: gives peers and operators access to the ledger,
/// the quarantine, the SLO counters and the status of this router.
class PeerService final : public wire::RouterPeerIf
{
public:
  using StatusSource = std::function<wire::ProcessStatus()>;

  PeerService(SynchronizedLedger& aLedger,
              SynchronizedQuarantine& aQuarantine,
              SloCounters& aSlo,
              StatusSource aStatus);

  void BeginRequest(wire::BeginRequestResponse& aResult,
                    const std::string& aServiceName,
                    const std::string& aRequestId) override;
  void FinishRequest(const std::string& aServiceName,
                     const std::string& aRequestId,
                     wire::LedgerState::type aState) override;
  void ShareQuarantine(
    const std::vector<wire::QuarantineEntry>& aEntries) override;
  void ReleaseQuarantine(int64_t aFingerprint) override;
  void ListQuarantine(std::vector<wire::QuarantineEntry>& aResult) override;
  void GetSloMinutes(std::vector<wire::SloMinute>& aResult,
                     int64_t aSinceMinute) override;
  void GetStatus(wire::ProcessStatus& aResult) override;

private:
  SynchronizedLedger& ledger_;
  SynchronizedQuarantine& quarantine_;
  SloCounters& slo_;
  StatusSource status_;
};

wire::QuarantineEntry ToWire(const CrashSuspect& aSuspect);
CrashSuspect FromWire(const wire::QuarantineEntry& aEntry);

}
