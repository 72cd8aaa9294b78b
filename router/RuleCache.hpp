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

/// Resolves service rules from the configuration document; defaults apply until
/// there is one. Each thread caches the resolved rules, except those with
/// exceptions for single keys. Thread-safe.
class RuleCache
{
public:
  using Rules = std::shared_ptr<const ServiceRules>;

  RuleCache();

  /// Installs a document; one that is not newer is ignored. A malformed
  /// document returns an error, and the previous one stays in force.
  absl::Status Update(std::string_view aJson, int64_t aVersion, UnixMs aNowMs);
  /// Removes expired exceptions.
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
  /// Returns aServerRules when the service has no exceptions for keys.
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
  /// Rules resolved by one thread. Threads do not share reference counts.
  struct ThreadCache
  {
    uint64_t generation_ = 0;
    std::shared_ptr<const Snapshot> snapshot_;
    /// By service and, where exceptions name servers or failure domains, by
    /// server.
    absl::flat_hash_map<std::string, Rules> rules_;
    absl::flat_hash_map<std::string, uint8_t> dimensions_;
    std::string cacheKey_;

    uint8_t Dimensions(std::string_view aService);
  };

  /// Cache of the calling thread. Locks only after a change of the document.
  ThreadCache& Current() const;
  void Install(FleetDocument aDocument, UnixMs aNowMs);

  /// Unique among all snapshots of all RuleCache objects, since the thread
  /// cache is shared by all of them.
  std::atomic<uint64_t> generation_ = 0;
  mutable std::mutex mutex_;
  std::shared_ptr<const Snapshot> snapshot_;
};

}
