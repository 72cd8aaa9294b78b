#include "common/JsonText.hpp"
#include "common/ShortHash.hpp"
#include "common/Strings.hpp"
#include "gateway/GatewaySettings.hpp"
#include "gossip_types.h"
#include "platform/Names.hpp"
#include "platform/SettingsFile.hpp"
#include "tests/GatewayFixture.hpp"

#include <array>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

using Exchange = ScriptedServer::Exchange;
using Json = nlohmann::json;

/// Bytes of any value, and texts that parsers and writers treat in special
/// ways.
std::string DrawBytes()
{
  static const std::vector<std::string> kTexts = {
    "",
    "\xff",
    "5c0e7a21\xd9\x4b\xf0\xf8",
    "\xed\xa0\x80",
    "\"\\",
    "a\r\nX: y",
    std::string("a\0b", 3),
    "-1",
    "99999999999999999999",
    "1e999",
    "nan",
    "{}",
    std::string(200000, '['),
    std::string(70000, 'x'),
    "chunked",
  };
  if (*rc::gen::arbitrary<bool>()) {
    return *rc::gen::elementOf(kTexts);
  }
  return *rc::gen::container<std::string>(
    rc::gen::cast<char>(rc::gen::inRange(0, 256)));
}

std::string DrawField()
{
  static constexpr std::array<std::string_view, 6> kHttpFields = {
    "Content-Length", "Transfer-Encoding", "Connection",
    "Keep-Alive",     "Content-Encoding",  "Trailer",
  };
  std::vector<std::string> names;
  names.assign(platform::kHeaderFields.begin(), platform::kHeaderFields.end());
  names.insert(names.end(), kHttpFields.begin(), kHttpFields.end());
  return Concat(*rc::gen::elementOf(names), ": ", DrawBytes(), "\r\n");
}

/// Applies aPlace to each name in a message between gateways.
template<typename Place>
void PlaceInNames(wire::Gossip& aGossip, Place aPlace)
{
  aPlace(aGossip.instance);
  aPlace(aGossip.failureDomain);
  for (auto& keys : aGossip.keys) {
    aPlace(keys.serviceName);
    std::ranges::for_each(keys.owners, aPlace);
  }
  for (auto& counts : aGossip.keyCounts) {
    aPlace(counts.serviceName);
  }
  for (auto& change : aGossip.changes) {
    aPlace(change.id);
    aPlace(change.serviceName);
    aPlace(change.address);
    aPlace(change.failureDomain);
  }
  std::ranges::for_each(aGossip.evacuatedDomains, aPlace);
}

/// Later than the term of the gateway.
constexpr int64_t kLaterTerm = 1 << 30;

/// A message with one entry of each list, from a leader of a later term.
wire::Gossip MakeGossip(int64_t aTerm)
{
  wire::Gossip gossip;
  gossip.instance = "g2";
  gossip.failureDomain = "z";
  gossip.bootId = 7;
  gossip.term = aTerm;
  gossip.leading = true;
  gossip.storeOk = true;
  gossip.directoryRevision = INT32_MAX;
  wire::OwnedKeys keys;
  keys.serviceName = "keyed";
  keys.owners = { "k0" };
  wire::OwnedRange range;
  range.first = 0;
  range.last = 10;
  range.fence = INT64_MAX;
  range.active = true;
  keys.ranges = { range };
  gossip.keys = { keys };
  gossip.keyCounts.resize(1);
  gossip.changes.resize(1);
  gossip.changes.front().id = "i-1";
  gossip.changes.front().serviceName = "plain";
  gossip.changes.front().address = "127.0.0.1:1";
  gossip.changes.front().slots = 1;
  gossip.evacuatedDomains = { "elsewhere" };
  gossip.coldServers.resize(1);
  return gossip;
}

int32_t DrawNumber()
{
  return *rc::gen::oneOf(
    rc::gen::arbitrary<int32_t>(),
    rc::gen::element<int32_t>(-1, 0, 1, 2, 100, 3600000, INT32_MIN, INT32_MAX));
}

/// Name of a service or server that the gateway knows, or any other one.
int32_t DrawHash()
{
  return *rc::gen::arbitrary<bool>()
           ? static_cast<int32_t>(ShortHash(
               *rc::gen::element<std::string>("plain", "keyed", "p0", "k0")))
           : DrawNumber();
}

std::vector<int32_t> DrawServers()
{
  return std::vector<int32_t>(*rc::gen::element<size_t>(0, 1, 64, 65),
                              DrawHash());
}

/// One entry with drawn numbers in each list of slot messages.
void AddSlotMessages(wire::Gossip& aGossip)
{
  wire::SlotRequest request;
  request.number = DrawNumber();
  request.serviceHash = DrawHash();
  request.domain = DrawHash();
  request.route = DrawNumber();
  request.server = DrawHash();
  request.rank = DrawNumber();
  request.objectiveMs = DrawNumber();
  request.objectiveLeftMs = DrawNumber();
  request.remainingMs = DrawNumber();
  request.bytes = DrawNumber();
  request.crossing = *rc::gen::arbitrary<bool>();
  request.returned = *rc::gen::arbitrary<bool>();
  request.refusedBy = DrawHash();
  request.avoided = DrawServers();
  request.connected = DrawServers();
  aGossip.slotRequests = { request };
  wire::SlotAnswer answer;
  answer.number = DrawNumber();
  answer.verdict = DrawNumber();
  answer.cause = DrawNumber();
  answer.server = DrawHash();
  answer.domain = DrawHash();
  answer.retryAfterMs = DrawNumber();
  aGossip.slotAnswers = { answer };
  wire::SlotEnd end;
  end.number = *rc::gen::arbitrary<bool>() ? request.number : DrawNumber();
  end.serviceHash = DrawHash();
  end.server = DrawHash();
  end.outcome = DrawNumber();
  end.latencyMs = DrawNumber();
  end.running = DrawNumber();
  end.waiting = DrawNumber();
  end.slownessPercent = DrawNumber();
  aGossip.slotEnds = { end };
  wire::SlotSummary summary;
  summary.serviceHash = DrawHash();
  summary.domain = DrawHash();
  summary.freeSlots = DrawNumber();
  summary.utilization = DrawNumber();
  summary.waitMs = DrawNumber();
  aGossip.slotSummaries = { summary };
}

std::string Encode(const wire::Gossip& aGossip)
{
  using apache::thrift::transport::TMemoryBuffer;
  const auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  aGossip.write(&protocol);
  return buffer->getBufferAsString();
}

void SendDatagram(const Endpoint& aReceiver, const std::string& aBytes)
{
  const int sender = ::socket(AF_INET, SOCK_DGRAM, 0);
  const auto address = aReceiver.ToSockaddr();
  ::sendto(sender,
           aBytes.data(),
           aBytes.size(),
           0,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address);
  ::close(sender);
}

/// A gateway that gets drawn bytes on one input path after the other.
class InputFeeder
{
public:
  InputFeeder()
    : fixture_(
        [this](Exchange& aExchange) {
          aExchange.write_(answer_.empty() ? GatewayFixture::MakeResponse(
                                               aExchange.head_, "body")
                                           : answer_);
          if (closes_) {
            aExchange.close_();
          }
        },
        1)
    , peer_(fixture_.Loop(), [this](Exchange& aExchange) {
      aExchange.write_(TextResponse(200, peerBody_));
    })
  {
    fixture_.SetCommandScript([this](Exchange& aExchange) {
      aExchange.write_(Concat(
        "HTTP/1.1 200 OK\r\n", commandFields_, "Content-Length: 0\r\n\r\n"));
    });
  }

  void AnswerToRequest()
  {
    const bool isOwn = *rc::gen::arbitrary<bool>();
    answer_ = Concat("HTTP/1.1 ",
                     *rc::gen::element(100, 200, 204, 421, 500, 503),
                     " ",
                     *rc::gen::element<std::string>("OK", "\xff\xfe", ""),
                     "\r\n",
                     isOwn ? "Cactuspitch-Request-Id: x\r\n"
                             "Cactuspitch-Response-Seal: s\r\n"
                           : "",
                     DrawField(),
                     DrawField(),
                     "Content-Length: 2\r\n\r\n",
                     DrawBytes());
    closes_ = *rc::gen::arbitrary<bool>();
    fixture_.SendAndWait(
      GatewayFixture::MakeRequest("POST", "plain", "x", {}, "body"));
    answer_.clear();
    closes_ = false;
  }
  /// The leader renews leases, so that some answers are drawn to each value.
  void AnswerToCommand()
  {
    commandFields_ = DrawField();
    fixture_.RunFor(20);
  }
  void HandoverToken()
  {
    CallResult result;
    result.outcome_ = CallOutcome::Completed;
    result.head_.status_ = 200;
    result.head_.fields_ = { { std::string(platform::kHandover),
                               DrawBytes() } };
    const platform::CommandCodec codec;
    const auto response = codec.ParseResponse(result);
    KeyCommand grant;
    grant.handover_ = response.handover_;
    RC_ASSERT(ParseJson(codec.MakeCommand(grant).body_));
  }
  void CallersHead()
  {
    fixture_.SendAndWait(Concat("GET /safe/x",
                                *rc::gen::element<std::string>("", "\xff", "?"),
                                " HTTP/1.1\r\nHost: plain\r\n",
                                DrawField(),
                                DrawField(),
                                "Cactuspitch-Request-Id: x\r\n",
                                "Connection: close\r\n\r\n"));
  }
  void CallersBody()
  {
    fixture_.SendAndWait(GatewayFixture::MakeRequest(
      "POST", "plain", "x", "Connection: close\r\n", DrawBytes()));
    fixture_.SendAndWait(Concat("POST /unsafe/x HTTP/1.1\r\nHost: plain\r\n"
                                "Cactuspitch-Request-Id: x\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n",
                                DrawBytes(),
                                "\r\n\r\n"));
  }
  void Datagram()
  {
    auto gossip = MakeGossip(++term_);
    const auto bytes = DrawBytes().substr(0, kMaxNameBytes);
    const int place = *rc::gen::inRange(0, kNames);
    int index = 0;
    PlaceInNames(gossip, [&](std::string& aName) {
      if (index++ == place) {
        aName = bytes;
      }
    });
    // Only a later revision replaces the drawn domain.
    gossip.evacuationRevision =
      MakeRevision(fixture_.Store().Era(), fixture_.Store().Revision() + 1);
    gossip.coldServers.front().server = *rc::gen::element(
      static_cast<int32_t>(IncarnationHash("p0", 1)), 0, INT32_MIN);
    gossip.coldServers.front().remainingMs = *rc::gen::arbitrary<int32_t>();
    SendDatagram(fixture_.Settings().peerListen_, Encode(gossip));
    AddSlotMessages(gossip);
    SendDatagram(fixture_.Settings().peerListen_, Encode(gossip));
    auto noise = Encode(gossip);
    if (!noise.empty()) {
      noise[*rc::gen::inRange<size_t>(0, noise.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
      SendDatagram(fixture_.Settings().peerListen_, noise);
    }
    fixture_.RunFor(5);
  }
  void PeersPage()
  {
    peerBody_ = DrawBytes();
    auto gossip = MakeGossip(++term_);
    gossip.configVersion = INT32_MAX;
    gossip.statusPort = peer_.Address().port_;
    SendDatagram(fixture_.Settings().peerListen_, Encode(gossip));
    fixture_.RunFor(20);
  }
  void CallOfPeer()
  {
    for (const auto& address : { fixture_.Settings().metricsListen_,
                                 fixture_.Settings().readyListen_ }) {
      fixture_.SendToAndWait(
        address,
        Concat("GET /",
               *rc::gen::element<std::string>("directory", "config", "\xff"),
               " HTTP/1.1\r\n",
               DrawField(),
               "Connection: close\r\n\r\n"));
    }
  }
  void AnswerOfStore()
  {
    auto text = WriteJson(
      { { "items",
          { { { "metadata", { { "name", "i-1" }, { "revision", 3 } } },
              { "spec", fixture_.Store().Spec("servers", "p0") },
              { "status", nullptr } } } },
        { "has-more", false },
        { "at", 9 } });
    const auto bytes = DrawBytes();
    text.insert(*rc::gen::inRange<size_t>(0, text.size()), bytes);
    CallResult result;
    result.outcome_ = CallOutcome::Completed;
    result.head_.status_ = *rc::gen::element(200, 409);
    result.head_.fields_ = { { std::string(platform::kStoreEra),
                               DrawBytes() } };
    result.body_ = text;
    const auto response = platform::ObjectCodec().ParseResponse(result);
    for (const auto& item : response.list_.items_) {
      Findings findings;
      const auto entry =
        platform::RegistryCodec().DecodeBackend(item, findings);
      RC_ASSERT(!entry || !HasControlCharacter(entry->id_));
      RC_ASSERT(ParseJson(WriteJson(item.spec_)));
    }
  }
  void StoredEntry()
  {
    auto spec = fixture_.Store().Spec("servers", "p0");
    const auto bytes = DrawBytes();
    auto text = IsUtf8(bytes) ? bytes : Concat("i", bytes.size(), "\r\nX: y");
    spec["info"]["version"] = text;
    fixture_.Store().Put("servers", text.substr(0, kMaxNameBytes), spec);
    fixture_.RunFor(5);
  }
  void StoredEvacuation()
  {
    const auto bytes = DrawBytes().substr(0, kMaxNameBytes);
    const auto name = IsUtf8(bytes) ? bytes : Concat("i", bytes.size(), "\r\n");
    fixture_.Store().Put("evacuations",
                         name,
                         *rc::gen::element<Json>(nullptr, "x", Json::array()));
    fixture_.RunFor(5);
  }
  void SettingsOfProcess()
  {
    const auto path =
      Concat(testing::TempDir(), "untrusted-", getpid(), ".env");
    std::ofstream(path) << "CACTUSPITCH_INSTANCE=" << DrawBytes()
                        << "\nCACTUSPITCH_FAILURE_DOMAIN=" << DrawBytes()
                        << "\nCACTUSPITCH_LIMITS=" << DrawBytes() << "\n";
    platform::SettingsFindings fileFindings;
    auto environment = platform::ReadSettingsFile(path, {}, fileFindings);
    std::remove(path.c_str());
    for (const char* name : { "LISTEN",
                              "READY_LISTEN",
                              "PEER_LISTEN",
                              "METRICS_LISTEN",
                              "STORE" }) {
      environment[Concat("CACTUSPITCH_", name)] = "127.0.0.1:1";
    }
    Settings settings(GatewaySettingSpecs());
    std::string program = "gateway";
    std::array<char*, 2> arguments = { program.data(), nullptr };
    Findings findings;
    if (settings.Parse(1, arguments.data(), environment) ==
        SettingsAction::Run) {
      CheckGatewaySettings(settings, findings);
      RC_ASSERT(!findings.IsEmpty() || IsUtf8(settings.Text("instance")));
    }
  }

  bool IsServed()
  {
    return fixture_
             .SendAndWait(GatewayFixture::MakeRequest("GET", "plain", "after"))
             .find("\r\n\r\nbody") != std::string::npos;
  }

private:
  static constexpr size_t kMaxNameBytes = 1000;
  static constexpr int kNames = 10; ///< in MakeGossip()

  std::string answer_;
  std::string commandFields_;
  std::string peerBody_;
  bool closes_ = false;
  int64_t term_ = kLaterTerm;
  GatewayFixture fixture_;
  ScriptedServer peer_;
};

/// Place at which bytes of other processes come in.
struct InputPath
{
  const char* name_;
  void (InputFeeder::*feed_)();
};

constexpr std::array<InputPath, 12> kInputPaths = { {
  { "answer of a server to a request", &InputFeeder::AnswerToRequest },
  { "answer of a server to a command", &InputFeeder::AnswerToCommand },
  { "handover token", &InputFeeder::HandoverToken },
  { "head of a caller's request", &InputFeeder::CallersHead },
  { "body of a caller's request", &InputFeeder::CallersBody },
  { "datagram of another gateway", &InputFeeder::Datagram },
  { "page of another gateway", &InputFeeder::PeersPage },
  { "call of another gateway", &InputFeeder::CallOfPeer },
  { "answer of the store", &InputFeeder::AnswerOfStore },
  { "entry in the store", &InputFeeder::StoredEntry },
  { "evacuation in the store", &InputFeeder::StoredEvacuation },
  { "settings", &InputFeeder::SettingsOfProcess },
} };

// Guards against a process that ends because of bytes of another one, at any
// place where such bytes come in.
TEST(UntrustedInput, TerminatesNoGateway)
{
  // The draws share a gateway, so that what one of them leaves behind meets the
  // next.
  InputFeeder feeder;
  EXPECT_TRUE(rc::check([&] {
    for (const auto& path : kInputPaths) {
      (feeder.*path.feed_)();
      RC_ASSERT(feeder.IsServed());
    }
  }));
}

// Guards against names in datagrams that end the gateway later, when it becomes
// the leader and writes them to the store.
TEST(UntrustedInput, NamesOfOtherLeadersTerminateNoGateway)
{
  for (const char* name : { "g\xff", "g\r\nX: y" }) {
    GatewayFixture fixture([](Exchange&) {}, 1);
    auto gossip = MakeGossip(kLaterTerm);
    gossip.instance = name;
    gossip.keys.front().owners = { name };
    gossip.changes.front().id = name;
    SendDatagram(fixture.Settings().peerListen_, Encode(gossip));
    fixture.RunFor(100);
    fixture.CommandBodies().clear();
    EXPECT_TRUE(
      fixture.RunUntil([&] { return !fixture.CommandBodies().empty(); }))
      << name;
  }
}

}
}
