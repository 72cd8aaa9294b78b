#include "BackendServer.hpp"

#include "common/KeyHash.hpp"
#include "common/Log.hpp"

#include <algorithm>

namespace cactuspitch {

BackendServer::BackendServer(const Clock& aClock,
                             const BackendServerRecord& aRecord)
  : clock_(aClock)
  , id_(aRecord.id_)
  , failureDomain_(aRecord.failureDomain_)
  , silence_(aClock)
  , pool_(aClock, aRecord.address_, silence_)
{
}

std::shared_ptr<AdmissionGate> BackendServer::Gate(
  const ServiceRules& aRules,
  const BackendServerRecord& aRecord,
  int aRouters)
{
  const std::lock_guard lock(gateMutex_);
  const bool isCurrent = gate_ && gateSlots_ == aRecord.slots_ &&
                         gateRouters_ == aRouters &&
                         gateQueueLimit_ == aRules.queueLimit_ &&
                         gate_->PolicyName() == aRules.admissionPolicy_;
  if (isCurrent) {
    return gate_;
  }
  const AdmissionOptions options{ .slots_ = static_cast<double>(aRecord.slots_),
                                  .routers_ = aRouters,
                                  .warmupMs_ = aRules.warmupMs_,
                                  .seed_ = HashKey(id_) };
  auto policy =
    AdmissionRegistry::Global().Create(aRules.admissionPolicy_, options);
  if (!policy) {
    // The configuration is validated before it is accepted; a mixed fleet can
    // still name a policy that this version does not have.
    Log(LogLevel::Error,
        "unknown admission policy, using static",
        { { "policy", aRules.admissionPolicy_ } });
    policy = AdmissionRegistry::Global().Create("static", options);
  }
  gateSlots_ = aRecord.slots_;
  gateRouters_ = aRouters;
  gateQueueLimit_ = aRules.queueLimit_;
  pool_.SetLimit(aRecord.connections_ / std::max(1, aRouters));
  gate_ = std::make_shared<AdmissionGate>(
    clock_,
    std::make_unique<ServerGate>(
      std::move(policy),
      QueueOptions{ .limit_ = static_cast<size_t>(aRules.queueLimit_) },
      HashKey(id_)),
    aRules.admissionPolicy_);
  return gate_;
}

std::shared_ptr<AdmissionGate> BackendServer::CurrentGate() const
{
  const std::lock_guard lock(gateMutex_);
  return gate_;
}

void BackendServer::OnAnswer(PooledConnection& aConnection,
                             const HttpResponseHead& aHead)
{
  TimeMs stamp = 0;
  if (ParseNumber(aHead.Header(header::kClockMs), stamp)) {
    // The stamp was taken before this millisecond of the local clock ended.
    aConnection.clockOffsetMs_ = stamp - clock_.NowMs() - 1;
    aConnection.clockKnown_ = true;
    clockOffsetMs_.store(aConnection.clockOffsetMs_, std::memory_order_relaxed);
  }
  const auto incarnation = aHead.Header(header::kIncarnation);
  if (incarnation.empty()) {
    return;
  }
  aConnection.incarnation_ = HashKey(incarnation);
  const auto before =
    incarnation_.exchange(aConnection.incarnation_, std::memory_order_relaxed);
  if (before != 0 && before != aConnection.incarnation_) {
    Log(LogLevel::Info,
        "backend server has a new incarnation",
        { { "server", id_ }, { "incarnation", incarnation } });
    if (const auto gate = CurrentGate()) {
      gate->OnColdStart();
    }
  }
}

std::optional<TimeMs> BackendServer::ClockOffsetMs() const
{
  const auto offset = clockOffsetMs_.load(std::memory_order_relaxed);
  return offset == kClockUnknown ? std::nullopt : std::optional(offset);
}

void BackendServer::OnProcessGone()
{
  clockOffsetMs_.store(kClockUnknown, std::memory_order_relaxed);
  pool_.CloseIdleOpenedBefore(clock_.NowMs());
}

void BackendServer::AddInFlight(uint64_t aFingerprint)
{
  const std::lock_guard lock(crashMutex_);
  inFlightRequests_.push_back(aFingerprint);
}

void BackendServer::RemoveInFlight(uint64_t aFingerprint)
{
  const std::lock_guard lock(crashMutex_);
  const auto found = std::ranges::find(inFlightRequests_, aFingerprint);
  if (found != inFlightRequests_.end()) {
    *found = inFlightRequests_.back();
    inFlightRequests_.pop_back();
  }
}

int BackendServer::InFlight() const
{
  const std::lock_guard lock(crashMutex_);
  return static_cast<int>(inFlightRequests_.size());
}

std::vector<uint64_t> BackendServer::TakeCrash(uint64_t aIncarnation)
{
  const std::lock_guard lock(crashMutex_);
  if (crashedIncarnation_ == aIncarnation) {
    return {};
  }
  crashedIncarnation_ = aIncarnation;
  // Several callers of one request count as one crash.
  auto requests = inFlightRequests_;
  std::ranges::sort(requests);
  requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
  return requests;
}

}
