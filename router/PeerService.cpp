#include "PeerService.hpp"

#include "ThriftLedgerTransport.hpp"

#include <algorithm>
#include <iterator>

#include <thrift/TApplicationException.h>

namespace cactuspitch {

static_assert(static_cast<int>(LedgerEntryState::Unseen) ==
              wire::LedgerState::Unseen);
static_assert(static_cast<int>(LedgerEntryState::InProgress) ==
              wire::LedgerState::InProgress);
static_assert(static_cast<int>(LedgerEntryState::Completed) ==
              wire::LedgerState::Completed);
static_assert(static_cast<int>(LedgerEntryState::NotRun) ==
              wire::LedgerState::NotRun);
static_assert(static_cast<int>(LedgerEntryState::Unknown) ==
              wire::LedgerState::Unknown);

wire::QuarantineEntry ToWire(const CrashSuspect& aSuspect)
{
  wire::QuarantineEntry entry;
  entry.fingerprint = static_cast<int64_t>(aSuspect.fingerprint_);
  entry.crashes = aSuspect.crashes_;
  entry.expiresInMs = static_cast<int32_t>(aSuspect.expiresInMs_);
  entry.quarantined = aSuspect.quarantined_;
  entry.reason = aSuspect.reason_;
  std::ranges::transform(
    aSuspect.crashRecords_, std::back_inserter(entry.marks), PackCrashRecord);
  return entry;
}

CrashSuspect FromWire(const wire::QuarantineEntry& aEntry)
{
  CrashSuspect suspect{ static_cast<uint64_t>(aEntry.fingerprint),
                        aEntry.crashes,
                        aEntry.quarantined,
                        aEntry.expiresInMs,
                        aEntry.reason,
                        {} };
  std::ranges::transform(
    aEntry.marks, std::back_inserter(suspect.crashRecords_), UnpackCrashRecord);
  return suspect;
}

PeerService::PeerService(SynchronizedLedger& aLedger,
                         SynchronizedQuarantine& aQuarantine,
                         SloCounters& aSlo,
                         StatusSource aStatus)
  : ledger_(aLedger)
  , quarantine_(aQuarantine)
  , slo_(aSlo)
  , status_(std::move(aStatus))
{
}

void PeerService::BeginRequest(wire::BeginRequestResponse& aResult,
                               const std::string& aServiceName,
                               const std::string& aRequestId)
{
  LedgerEntryState state = LedgerEntryState::Unseen;
  const auto id = ThriftLedgerTransport::DecodeId(aServiceName, aRequestId);
  switch (ledger_.Begin(id, state)) {
    case RequestLedger::BeginResult::Recorded:
      state = LedgerEntryState::Unseen;
      break;
    case RequestLedger::BeginResult::Seen:
      break;
    case RequestLedger::BeginResult::Full:
      throw apache::thrift::TApplicationException("request ledger is full");
  }
  aResult.state = static_cast<wire::LedgerState::type>(state);
  aResult.uptimeMs = ledger_.UptimeMs();
}

void PeerService::FinishRequest(const std::string& aServiceName,
                                const std::string& aRequestId,
                                wire::LedgerState::type aState)
{
  ledger_.Finish(ThriftLedgerTransport::DecodeId(aServiceName, aRequestId),
                 static_cast<LedgerEntryState>(aState));
}

void PeerService::ShareQuarantine(
  const std::vector<wire::QuarantineEntry>& aEntries)
{
  std::vector<CrashSuspect> suspects;
  std::ranges::transform(aEntries, std::back_inserter(suspects), FromWire);
  quarantine_.Merge(suspects);
}

void PeerService::ReleaseQuarantine(int64_t aFingerprint)
{
  quarantine_.Release(static_cast<uint64_t>(aFingerprint));
}

void PeerService::ListQuarantine(std::vector<wire::QuarantineEntry>& aResult)
{
  std::ranges::transform(
    quarantine_.Entries(),
    std::back_inserter(aResult),
    [](const CrashSuspect& aSuspect) { return ToWire(aSuspect); });
}

void PeerService::GetSloMinutes(std::vector<wire::SloMinute>& aResult,
                                int64_t aSinceMinute)
{
  for (auto& count : slo_.Since(aSinceMinute)) {
    wire::SloMinute minute;
    minute.epochMinute = count.epochMinute_;
    minute.serviceName = std::move(count.service_);
    minute.cause = std::move(count.cause_);
    minute.server = std::move(count.server_);
    minute.failureDomain = std::move(count.failureDomain_);
    minute.requests = count.requests_;
    aResult.push_back(std::move(minute));
  }
}

void PeerService::GetStatus(wire::ProcessStatus& aResult)
{
  aResult = status_();
}

}
