#include "BackendServer.hpp"

#include "common/KeyHash.hpp"
#include "common/Log.hpp"

#include <algorithm>
#include <random>

#include <xxhash.h>

namespace cactuspitch {

namespace detail {

/// Hash of all inputs of an admission controller. A controller is reused as
/// long as its key does not change.
uint64_t AdmissionKey(const ServiceRules& aRules,
                      const BackendServerRecord& aRecord,
                      int aRouters)
{
  uint64_t key = 1;
  for (const int64_t part : { static_cast<int64_t>(aRecord.slots_),
                              static_cast<int64_t>(aRecord.connections_),
                              static_cast<int64_t>(aRouters),
                              aRules.queueLimit_,
                              aRules.warmupMs_ }) {
    key = XXH3_64bits_withSeed(&part, sizeof(part), key);
  }
  return XXH3_64bits_withSeed(
    aRules.admissionPolicy_.data(), aRules.admissionPolicy_.size(), key);
}

}

BackendServer::BackendServer(const Clock& aClock,
                             const BackendServerRecord& aRecord)
  : clock_(aClock)
  , id_(aRecord.id_)
  , failureDomain_(aRecord.failureDomain_)
  , pool_(aClock, aRecord.address_)
{
}

AdmissionController& BackendServer::Admission(
  const ServiceRules& aRules,
  const BackendServerRecord& aRecord,
  int aRouters)
{
  const auto key = detail::AdmissionKey(aRules, aRecord, aRouters);
  auto* current = admission_.load(std::memory_order_acquire);
  if (current && admissionKey_.load(std::memory_order_relaxed) == key) {
    return *current;
  }
  const std::lock_guard lock(admissionMutex_);
  auto& admission = admissionByKey_[key];
  if (!admission) {
    admission = MakeAdmission(aRules, aRecord, aRouters);
  }
  pool_.SetLimit(aRecord.connections_ / std::max(1, aRouters));
  admissionKey_.store(key, std::memory_order_relaxed);
  admission_.store(admission.get(), std::memory_order_release);
  return *admission;
}

std::unique_ptr<AdmissionController> BackendServer::MakeAdmission(
  const ServiceRules& aRules,
  const BackendServerRecord& aRecord,
  int aRouters) const
{
  // With equal seeds, all routers would ask callers to retry at the same times.
  const uint64_t seed = std::random_device{}() ^ HashKey(id_);
  const AdmissionOptions options{ .slots_ = static_cast<double>(aRecord.slots_),
                                  .routers_ = aRouters,
                                  .warmupMs_ = aRules.warmupMs_,
                                  .seed_ = seed };
  auto policy =
    AdmissionRegistry::Global().Create(aRules.admissionPolicy_, options);
  if (!policy) {
    // The configuration is validated before it is accepted. In a fleet of
    // mixed versions it can still name a policy that this version lacks.
    Log(LogLevel::Error,
        "unknown admission policy; using static",
        { { "policy", aRules.admissionPolicy_ } });
    policy = AdmissionRegistry::Global().Create("static", options);
  }
  constexpr int32_t kWarm = 100;
  if (aRecord.warmupPercent_ < kWarm) {
    policy->OnColdStart(clock_.NowMs());
  }
  return std::make_unique<AdmissionController>(
    clock_,
    std::make_unique<ServerGate>(
      std::move(policy),
      QueueOptions{ .limit_ = static_cast<size_t>(aRules.queueLimit_) },
      seed));
}

void BackendServer::OnResponse(PooledConnection& aConnection,
                               const HttpResponseHead& aHead)
{
  TimeMs stamp = 0;
  if (ParseNumber(aHead.Header(header::kClockMs), stamp)) {
    // The server read its clock before the current millisecond of the local
    // clock ended. Subtracting 1 ms makes the offset a lower bound.
    aConnection.clockReceivedMs_ = clock_.NowMs();
    aConnection.clockOffsetMs_ = stamp - aConnection.clockReceivedMs_ - 1;
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
        "backend server restarted",
        { { "server", id_ }, { "incarnation", incarnation } });
    if (auto* admission = CurrentAdmission()) {
      admission->OnColdStart();
    }
  }
}

std::optional<TimeMs> BackendServer::ClockOffsetMs() const
{
  const auto offset = clockOffsetMs_.load(std::memory_order_relaxed);
  return offset == kClockUnknown ? std::nullopt : std::optional(offset);
}

void BackendServer::OnProcessExit()
{
  clockOffsetMs_.store(kClockUnknown, std::memory_order_relaxed);
  pool_.CloseIdleOpenedBefore(clock_.NowMs());
}

}
