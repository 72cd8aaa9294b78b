#include "RuleCache.hpp"

#include "common/Strings.hpp"

namespace cactuspitch {

namespace detail {

uint64_t NextGeneration()
{
  static std::atomic<uint64_t> last = 0;
  return last.fetch_add(1) + 1;
}

}

RuleCache::RuleCache()
{
  Install({}, 0);
}

RuleCache::ThreadCache& RuleCache::Current() const
{
  static thread_local ThreadCache cache;
  const auto generation = generation_.load(std::memory_order_acquire);
  if (cache.generation_ != generation) {
    const std::lock_guard lock(mutex_);
    cache.generation_ = generation_.load(std::memory_order_relaxed);
    cache.snapshot_ = snapshot_;
    cache.rules_.clear();
    cache.dimensions_.clear();
  }
  return cache;
}

void RuleCache::Install(FleetDocument aDocument, UnixMs aNowMs)
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->document_ = std::move(aDocument);
  snapshot->resolver_ =
    std::make_unique<RuleResolver>(snapshot->document_, aNowMs);
  const std::lock_guard lock(mutex_);
  snapshot_ = std::move(snapshot);
  generation_.store(detail::NextGeneration(), std::memory_order_release);
}

absl::Status RuleCache::Update(std::string_view aJson,
                               int64_t aVersion,
                               UnixMs aNowMs)
{
  if (aVersion <= Version()) {
    return absl::OkStatus();
  }
  Findings findings;
  auto document = ParseFleetDocument(aJson, findings);
  if (!document) {
    return findings.ToStatus();
  }
  document->version_ = aVersion;
  Install(*std::move(document), aNowMs);
  return absl::OkStatus();
}

void RuleCache::Expire(UnixMs aNowMs)
{
  const auto snapshot = Current().snapshot_;
  if (snapshot->resolver_->NextExpiryMs() <= aNowMs) {
    Install(snapshot->document_, aNowMs);
  }
}

int64_t RuleCache::Version() const
{
  return Current().snapshot_->document_.version_;
}

uint8_t RuleCache::ThreadCache::Dimensions(std::string_view aService)
{
  const auto found = dimensions_.find(ToAbsl(aService));
  if (found != dimensions_.end()) {
    return found->second;
  }
  const std::string service(aService);
  return dimensions_[service] = snapshot_->resolver_->UsedDimensions(service);
}

RuleCache::Rules RuleCache::ForServer(std::string_view aService,
                                      std::string_view aFailureDomain,
                                      std::string_view aServer) const
{
  constexpr auto kServerDimensions =
    ScopeBit(ScopeDimension::FailureDomain) | ScopeBit(ScopeDimension::Server);
  auto& cache = Current();
  const bool byServer = (cache.Dimensions(aService) & kServerDimensions) != 0;
  cache.cacheKey_ = aService;
  if (byServer) {
    cache.cacheKey_.push_back('/');
    cache.cacheKey_.append(aServer);
  }
  auto& rules = cache.rules_[cache.cacheKey_];
  if (!rules) {
    RuleScope target;
    target.service_ = aService;
    if (byServer) {
      target.failureDomain_ = aFailureDomain;
      target.server_ = aServer;
    }
    rules = std::make_shared<const ServiceRules>(
      cache.snapshot_->resolver_->Resolve(target));
  }
  return rules;
}

RuleCache::Rules RuleCache::ForKey(const Rules& aServerRules,
                                   std::string_view aService,
                                   std::string_view aFailureDomain,
                                   std::string_view aServer,
                                   std::string_view aKey) const
{
  auto& cache = Current();
  if ((cache.Dimensions(aService) & ScopeBit(ScopeDimension::Key)) == 0) {
    return aServerRules;
  }
  return std::make_shared<const ServiceRules>(
    cache.snapshot_->resolver_->Resolve({ std::string(aService),
                                          std::string(aFailureDomain),
                                          std::string(aServer),
                                          std::string(aKey) }));
}

RuleCache::Rules RuleCache::ForRequest(const GroupTable& aTable,
                                       KeyHash aHash,
                                       std::string_view aKey) const
{
  static const std::string kNone;
  const auto* owner = aTable.Server(aTable.FindSlice(aHash).owner_);
  const auto& domain = owner ? owner->failureDomain_ : kNone;
  const auto& server = owner ? owner->id_ : kNone;
  return ForKey(ForServer(aTable.service_, domain, server),
                aTable.service_,
                domain,
                server,
                aKey);
}

}
