#include "RuleBook.hpp"

#include "common/Strings.hpp"

namespace cactuspitch {

RuleBook::RuleBook()
{
  Install({}, 0);
}

std::shared_ptr<const RuleBook::Snapshot> RuleBook::Current() const
{
  const std::shared_lock lock(mutex_);
  return snapshot_;
}

void RuleBook::Install(FleetDocument aDocument, UnixMs aNowMs)
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->document_ = std::move(aDocument);
  snapshot->resolver_ =
    std::make_unique<RuleResolver>(snapshot->document_, aNowMs);
  const std::unique_lock lock(mutex_);
  snapshot_ = std::move(snapshot);
}

absl::Status RuleBook::Update(std::string_view aJson,
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

void RuleBook::Expire(UnixMs aNowMs)
{
  const auto current = Current();
  if (current->resolver_->NextExpiryMs() <= aNowMs) {
    Install(current->document_, aNowMs);
  }
}

int64_t RuleBook::Version() const
{
  return Current()->document_.version_;
}

uint8_t RuleBook::Snapshot::Dimensions(std::string_view aService) const
{
  {
    const std::shared_lock lock(mutex_);
    const auto found = dimensions_.find(ToAbsl(aService));
    if (found != dimensions_.end()) {
      return found->second;
    }
  }
  const std::string service(aService);
  const auto dimensions = resolver_->UsedDimensions(service);
  const std::unique_lock lock(mutex_);
  dimensions_[service] = dimensions;
  return dimensions;
}

RuleBook::Rules RuleBook::ForServer(std::string_view aService,
                                    std::string_view aFailureDomain,
                                    std::string_view aServer) const
{
  constexpr auto kServerDimensions =
    ScopeBit(ScopeDimension::FailureDomain) | ScopeBit(ScopeDimension::Server);
  const auto current = Current();
  const bool byServer =
    (current->Dimensions(aService) & kServerDimensions) != 0;
  static thread_local std::string name;
  name = aService;
  if (byServer) {
    name.push_back('/');
    name.append(aServer);
  }
  {
    const std::shared_lock lock(current->mutex_);
    const auto found = current->cache_.find(name);
    if (found != current->cache_.end()) {
      return found->second;
    }
  }
  RuleScope target;
  target.service_ = aService;
  if (byServer) {
    target.failureDomain_ = aFailureDomain;
    target.server_ = aServer;
  }
  auto rules =
    std::make_shared<const ServiceRules>(current->resolver_->Resolve(target));
  const std::unique_lock lock(current->mutex_);
  current->cache_[name] = rules;
  return rules;
}

RuleBook::Rules RuleBook::ForKey(const Rules& aServerRules,
                                 std::string_view aService,
                                 std::string_view aFailureDomain,
                                 std::string_view aServer,
                                 std::string_view aKey) const
{
  const auto current = Current();
  if ((current->Dimensions(aService) & ScopeBit(ScopeDimension::Key)) == 0) {
    return aServerRules;
  }
  return std::make_shared<const ServiceRules>(
    current->resolver_->Resolve({ std::string(aService),
                                  std::string(aFailureDomain),
                                  std::string(aServer),
                                  std::string(aKey) }));
}

}
