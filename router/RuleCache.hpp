#pragma once

#include "common/GroupTable.hpp"
#include "config/RuleResolver.hpp"
#include "config/ServiceRules.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

namespace cactuspitch {

/// Rules in force, from the configuration document; defaults until there is
/// one. Lookups of rules without exceptions for single keys are cached.
class RuleCache
{
public:
  using Rules = std::shared_ptr<const ServiceRules>;

  RuleCache();

  /// Takes a newer document over; an older one is ignored. A document that is
  /// malformed is refused and the last one stays in force.
  absl::Status Update(std::string_view aJson, int64_t aVersion, UnixMs aNowMs);
  /// Drops exceptions that have expired.
  void Expire(UnixMs aNowMs);
  int64_t Version() const;

  /// Rules of a backend server of the service, without exceptions for keys.
  Rules ForServer(std::string_view aService,
                  std::string_view aFailureDomain,
                  std::string_view aServer) const;
  /// Rules of a request to the owner of its key, exceptions for keys included.
  Rules ForRequest(const GroupTable& aTable,
                   KeyHash aHash,
                   std::string_view aKey) const;

private:
  /// aServerRules when no exception of the service names keys.
  Rules ForKey(const Rules& aServerRules,
               std::string_view aService,
               std::string_view aFailureDomain,
               std::string_view aServer,
               std::string_view aKey) const;

  struct Snapshot
  {
    FleetDocument document_;
    std::unique_ptr<const RuleResolver> resolver_;
  };
  /// What one thread has resolved; no other thread shares the reference counts.
  struct ThreadCache
  {
    uint64_t generation_ = 0;
    std::shared_ptr<const Snapshot> snapshot_;
    /// By service and, where exceptions name servers or failure domains, by
    /// server.
    absl::flat_hash_map<std::string, Rules> rules_;
    absl::flat_hash_map<std::string, uint8_t> dimensions_;
    std::string name_;

    uint8_t Dimensions(std::string_view aService);
  };

  /// Cache of this thread; a lock is taken only after a change.
  ThreadCache& Current() const;
  void Install(FleetDocument aDocument, UnixMs aNowMs);

  /// Differs between all states of all objects.
  std::atomic<uint64_t> generation_ = 0;
  mutable std::mutex mutex_;
  std::shared_ptr<const Snapshot> snapshot_;
};

}
