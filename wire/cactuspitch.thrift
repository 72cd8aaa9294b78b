// Messages between cactuspitch processes. Times are in milliseconds, and they
// are durations: the clocks of different processes are not comparable.
namespace cpp cactuspitch.wire

struct SliceRecord {
  1: i64 hashBegin // inclusive; an unsigned 64-bit hash stored in an i64
  2: i32 owner // index into GroupTable.servers, -1: none
  3: i32 standby // index into GroupTable.servers, -1: none
  4: i64 epoch
}

struct BackendServer {
  1: string id
  2: string address // host:port
  3: string failureDomain
  4: string incarnation
  5: bool checksFence
  6: bool draining
  7: i32 slots
  8: i32 connections
  9: i32 warmupPercent // 100 when the server has warmed up
}

// The table of one assignment group, ordered by (term, sequence).
struct GroupTable {
  1: string serviceName
  2: i32 group
  3: i64 term
  4: i64 sequence
  5: string assigner
  6: string deputy
  7: list<BackendServer> servers
  // All slices when isFull is set, otherwise those that changed since
  // baseSequence.
  8: list<SliceRecord> slices
  9: bool isFull
  10: i32 viewLeaseMs // 0: no view lease is granted
  11: i64 baseSequence // the sequence that a delta applies to
  // The servers are those of the base table, and the list is left empty. Set
  // only in a delta.
  12: bool sameServers
}

struct KnownTable {
  1: string serviceName
  2: i32 group
  3: i64 term
  4: i64 sequence
}

struct ConfigDocument {
  1: i64 version
  2: string json
  3: i64 confirmedAgeMs // since the store confirmed it as newest, -1: never
}

struct GetTablesRequest {
  1: string instance
  2: list<KnownTable> known
  3: i64 configVersion
  4: i32 waitMs
  5: string role // router, assigner or admin
}

struct GetTablesResponse {
  1: list<GroupTable> tables
  2: optional ConfigDocument config
  3: list<string> routerPeers // Thrift addresses of live routers
}

struct HeartbeatRequest {
  1: string instance
  2: string serviceName
  3: i32 group
  4: i64 term
  5: bool storeReachable
  6: bool arm
  7: bool disarm
  8: list<string> stopRenewing // backend server ids
  9: string deputy // the intended receiver; any other instance refuses
}

struct HeartbeatResponse {
  // The deputy does not take over, so the assigner may renew leases.
  1: bool granted
  2: i64 term
  3: bool armed
  4: bool storeReachable
  5: list<string> stoppedRenewing
}

struct KeyLoad {
  1: string serviceName
  2: i64 keyHash
  3: i64 requests
}

struct SliceLoad {
  1: string serviceName
  2: i64 hashBegin
  3: i64 requests
  4: double busyMs
}

struct ServerMeasurement {
  1: string server
  2: i64 requests
  3: i64 refusals
  4: i64 failures
  5: double meanMs
  6: double p99Ms
  7: i32 inFlight
}

struct LoadReport {
  1: string instance
  2: i32 windowMs
  3: list<KeyLoad> hotKeys
  4: list<SliceLoad> slices
  5: list<ServerMeasurement> servers
}

struct NamedValue {
  1: string name
  2: double value
}

struct ProcessStatus {
  1: string instance
  2: string program
  3: string failureDomain
  4: i64 uptimeMs
  5: i64 configVersion
  6: i64 configAgeMs
  7: list<NamedValue> values
  8: string json // program-specific details
}

service AssignerPeer {
  HeartbeatResponse Heartbeat(1: HeartbeatRequest request)
  GetTablesResponse GetTables(1: GetTablesRequest request)
  void ReportLoad(1: LoadReport report)
  // Asks the assigner of the group to move the slice that contains keyHash to
  // its standby.
  void RequestRefresh(1: string serviceName, 2: i64 keyHash)
  ProcessStatus GetStatus()
}

enum LedgerState {
  Unseen = 0,
  InProgress = 1,
  Completed = 2,
  NotRun = 3,
  Unknown = 4
}

struct BeginRequestResponse {
  // Unseen: the request is now recorded and may be forwarded.
  1: LedgerState state
  2: i64 uptimeMs
}

struct QuarantineEntry {
  1: i64 fingerprint
  2: i32 crashes
  3: i32 expiresInMs
  4: bool quarantined
  5: string reason
  // Servers that ended while they ran the request: XXH32 of the server's
  // incarnation * 4, + 2 when that is conclusive evidence against the request,
  // + 1 when the request has been cleared of it since.
  6: list<i64> marks
}

// Request counters of one minute, for the SLO burn report.
struct SloMinute {
  1: i64 epochMinute
  2: string serviceName
  3: string cause // empty: the requests met the objective
  4: string server
  5: string failureDomain
  6: i64 requests
}

service RouterPeer {
  BeginRequestResponse BeginRequest(1: string serviceName, 2: string requestId)
  void FinishRequest(1: string serviceName, 2: string requestId, 3: LedgerState state)
  void ShareQuarantine(1: list<QuarantineEntry> entries)
  void ReleaseQuarantine(1: i64 fingerprint)
  list<QuarantineEntry> ListQuarantine()
  list<SloMinute> GetSloMinutes(1: i64 sinceMinute)
  ProcessStatus GetStatus()
}
