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
  2: i32 crashes
  3: bool quarantined
  4: i32 expiresInMs
  5: string reason
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
  12: bool wantsKeys // the sender has just started and knows no owners
}
