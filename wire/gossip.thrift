// Datagrams between the gateways of a deployment. Each is complete in itself:
// it may be lost, repeated or arrive out of order.
namespace cpp cactuspitch.wire

struct OwnedRange {
  1: i32 first // key, inclusive
  2: i32 last // key, inclusive
  3: i32 owner // index into OwnedKeys.owners
  4: i64 fence
  5: bool active // the owner has taken the grant
}

// Part of the key table. A range with a higher fence replaces older ones.
struct OwnedKeys {
  1: string serviceName
  2: list<string> owners
  3: list<OwnedRange> ranges
}

// Requests of each key since the sender's last report.
struct KeyCounts {
  1: string serviceName
  2: list<i32> counts // key, requests, key, requests, ...
}

// Request that may crash the backend servers that run it.
struct SuspectRequest {
  1: i64 fingerprint // of method, target and body
  4: i32 expiresInMs
  // Servers that ended under the request: XXH32 of the life * 4, + 2 when that
  // is conclusive, + 1 when it was cleared since.
  6: list<i64> marks
}

// Registration of a backend server as the leader knows it.
struct BackendChange {
  1: string id
  2: bool removed
  3: string serviceName
  4: string address
  5: string failureDomain
  6: i32 slots
  7: bool draining
  8: i32 coldMs // how much longer the server is slow after its start
  9: i64 bornMs // tells its lives apart
}

struct Gossip {
  1: string instance
  2: i64 bootId // differs between the lives of an instance
  3: i64 term // highest that the sender knows
  4: bool leading
  5: i64 configVersion
  6: list<OwnedKeys> keys
  7: list<KeyCounts> keyCounts
  8: list<SuspectRequest> suspects
  9: i64 deadTerm // the sender led this term and has stopped
  // Backend servers that answered since the last report, three numbers each:
  // XXH32 of the id; mean work time in us, 0 when not known; requests there.
  10: list<i32> backendLoads
  11: string failureDomain
  13: i32 cpuPercent // of a core; larger instances lead first
  14: list<BackendChange> changes // of registrations, from a store watcher
  15: i64 directoryDigest // over all registrations, 0 when not known
  16: bool storeOk // the sender watches the store and reaches it
  18: i32 storeAgeMs // of the store's last answer to the sender
  17: i32 statusPort // where /config and /directory are served
  19: bool passOn // the receiver sends it to all of its failure domain
  20: i64 origin // IP and port of the first sender, 0 when it is the sender
  // Gateways that the leader hears, XXH32 of their names: the others hear few
  // of each other.
  21: list<i32> members
  // Owners of keys with more demand than they can run, two numbers each: XXH32
  // of the id, and the part of the requests that may be sent, in 1/1000.
  22: list<i32> admissions
  23: i64 directoryRevision // of the store, that directoryDigest and changes show
  24: i64 suspectDigest // over requests that crashed two servers and more
  // Servers that said that they leave, while their registrations do not, XXH32
  // of "ID#BORN".
  25: list<i32> leavingServers
  12: bool wantsKeys // the sender has just started and knows no owners
}
