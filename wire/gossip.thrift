// Datagrams between the gateways of a deployment. A datagram may be lost,
// duplicated or reordered, so each one is complete in itself.
namespace cpp cactuspitch.wire

struct OwnedRange {
  1: i32 first // first key, inclusive
  2: i32 last // last key, inclusive
  3: i32 owner // index into OwnedKeys.owners
  4: i64 fence
  5: bool active // the owner has accepted the grant
}

// Part of the key table. A range replaces ranges with a lower fence.
struct OwnedKeys {
  1: string serviceName
  2: list<string> owners
  3: list<OwnedRange> ranges
}

// Number of requests per key since the sender's last report.
struct KeyCounts {
  1: string serviceName
  2: list<i32> counts // key, requests, key, requests, ...
}

// Request that is suspected to crash the backend servers that run it.
struct SuspectRequest {
  1: i64 fingerprint // hash of method, target and body
  4: i32 expiresInMs
  // Servers that ended while they ran the request: XXH32 of the server's
  // incarnation * 4, + 2 when that is conclusive evidence against the request,
  // + 1 when the request has been cleared of it since.
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
  8: i32 coldMs // remaining time of slow responses after the server's start
  9: i64 bornMs // start time; distinguishes its incarnations
  // Store revision of the change; 0 from earlier versions, which send what is
  // current at directoryRevision.
  10: i64 revision
  // With removed: the server stays in use for this long, because it may not
  // have been able to renew its registration.
  11: i32 graceMs
}

// Request limit that a backend server names in its answers.
struct ServerLimit {
  1: i32 server // XXH32 of "ID#BORN"
  2: double perSecond // for all gateways together; the last one if ended
  3: bool ended
  4: i32 ageMs // since the answer that shows this was received
}

// Requests for permits to send requests to servers with a limit, and the
// leader's replies.
struct PermitRequest {
  1: i32 server
  2: i32 number // repeated in the reply
  3: i32 count
}
struct PermitReply {
  1: i32 server
  2: i32 number
  3: i32 granted
  4: i32 waitMs // until another permit may be available
}

// Messages between gateways and the brokers of slots
// (scheduling/SlotMessages.hpp).
// Services, routes, servers and failure domains are XXH32 of their names.
struct SlotRequest {
  1: i64 number // repeated in the answer
  2: i32 serviceHash
  3: i32 route
  4: i32 server // the only one that can run the request; 0: any
  5: i32 rank
  6: i32 objectiveMs
  7: i32 objectiveLeftMs
  8: i32 remainingMs
  9: i32 bytes
  10: bool crossing
  11: bool returned
  12: list<i32> avoided
  13: list<i32> connected
  14: i32 domain // of the servers that may run the request
  15: i32 refusedBy // domain that had no room for it, 0: none
}
struct SlotAnswer {
  1: i64 number
  2: i32 verdict
  3: i32 cause
  4: i32 server
  5: i32 domain
  6: i32 retryAfterMs
}
struct SlotEnd {
  1: i64 number
  2: i32 serviceHash
  3: i32 server
  4: i32 outcome
  5: i32 latencyMs
  6: i32 running // -1: the server reported no load
  7: i32 waiting
  8: i32 slownessPercent
}
struct SlotSummary {
  1: i32 serviceHash
  2: i32 domain
  3: i32 freeSlots // in thousandths
  4: i32 utilization // in thousandths
  5: i32 waitMs
}

// Backend server that is cold.
struct ColdServer {
  1: i32 server // XXH32 of "ID#BORN"
  2: i32 remainingMs
}

struct Gossip {
  1: string instance
  2: i64 bootId // differs for each start of the instance
  3: i64 term // highest term that the sender knows
  4: bool leading
  5: i64 configVersion
  6: list<OwnedKeys> keys
  7: list<KeyCounts> keyCounts
  8: list<SuspectRequest> suspects
  9: i64 deadTerm // the sender was leader in this term and has stopped
  // Backend servers that responded since the last report, three numbers each:
  // XXH32 of the id; mean service time in us, 0 when unknown; requests at
  // the server.
  10: list<i32> backendLoads
  11: string failureDomain
  // CPU in percent of one core; instances with more are preferred as leader.
  13: i32 cpuPercent
  // Changes of registrations, sent by an instance that watches the store.
  14: list<BackendChange> changes
  15: i64 directoryDigest // over all registrations, 0 when unknown
  16: bool storeOk // the sender watches the store and can reach it
  18: i32 storeAgeMs // age of the store's last response to the sender
  17: i32 statusPort // where /config and /directory are served
  19: bool passOn // the receiver forwards it within its failure domain
  20: i64 origin // IP and port of the first sender, 0: the sender itself
  // Gateways that the leader receives messages from, XXH32 of their names. The
  // other gateways receive messages from only a few of each other.
  21: list<i32> members
  // Owners with more requests for their keys than they can run, two numbers
  // each: XXH32 of the id, and the share of the requests that may be sent, in
  // thousandths.
  22: list<i32> admissions
  // Store revision that directoryDigest and changes reflect.
  23: i64 directoryRevision
  24: i64 suspectDigest // over requests that crashed two or more servers
  // Servers that announced that they are leaving while their registrations do
  // not show it yet, XXH32 of "ID#BORN".
  25: list<i32> leavingServers
  26: list<ServerLimit> limits
  27: list<PermitRequest> permitRequests // to the leader
  28: list<PermitReply> permitReplies // from the leader
  29: list<SlotRequest> slotRequests // to a broker
  30: list<SlotAnswer> slotAnswers // from a broker
  31: list<SlotEnd> slotEnds // to a broker
  32: list<SlotSummary> slotSummaries // among brokers
  // Failure domains whose servers are to get no requests, and the revision of
  // the store that the list reflects; 0: unknown.
  33: list<string> evacuatedDomains
  34: i64 evacuationRevision
  35: list<ColdServer> coldServers
  36: bool stopping // the sender is about to exit
  12: bool wantsKeys // the sender has just started and does not know the owners
}
