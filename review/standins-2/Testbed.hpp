#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

/// Small stand-ins of a deployment's surroundings for the review scripts: the
/// platform's store, backend servers, callers and links between gateways. They
/// use threads and blocking sockets on 127.0.0.1 and share no code with the
/// project.
namespace review {

using Json = nlohmann::json;
using Millis = int64_t;

/// Milliseconds since the start of the program.
Millis NowMs();
/// Milliseconds since 1970.
Millis UnixMs();
void SleepMs(Millis aMs);
/// Random number from 0 to aLimit - 1.
uint32_t Draw(uint32_t aLimit);
/// Number of 16 hexadecimal digits, unique in this run.
std::string NewRequestId();
/// Value of TROUBLE in the environment; the default is true.
bool HasTrouble();

/// Writes lines with their time to record.txt.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& aText);

private:
  std::mutex mutex_;
  FILE* file_;
};

struct Message
{
  std::string start_; ///< request or status line
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;

  std::string Field(std::string_view aName) const;
  bool HasField(std::string_view aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

enum class ReadResult : uint8_t
{
  Complete,
  Closed, ///< the connection ended before the message began
  Broken, ///< the connection ended, or was reset, within the message
  TimedOut,
};

/// Blocking connection that reads and writes HTTP/1.1 messages.
class Socket
{
public:
  explicit Socket(int aFd);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Connects to a port of 127.0.0.1; nullptr on failure.
  static std::unique_ptr<Socket> Connect(uint16_t aPort,
                                         int aReceiveBufferBytes = 0);
  bool Write(std::string_view aBytes);
  ReadResult Read(Message& aMessage, Millis aTimeoutMs);
  /// Bytes of a message that was not complete.
  size_t PartialBytes() const { return buffer_.size(); }
  void Shutdown();

private:
  bool Fill(Millis aEndMs, ReadResult& aResult);

  int fd_;
  std::string buffer_;
};

/// HTTP server on 127.0.0.1, with a thread for each connection. Port 0 stands
/// for a free one.
class Server
{
public:
  /// Returns false to close the connection.
  using Handler = std::function<bool(Socket&, const Message&)>;

  explicit Server(Handler aHandler, uint16_t aPort = 0);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  uint16_t Port() const { return port_; }
  std::string Address() const;
  /// Stops listening and closes all connections.
  void Stop();

private:
  struct State;
  std::shared_ptr<State> state_;
  uint16_t port_ = 0;
};

std::string Response(int aStatus,
                     const std::string& aFields,
                     std::string_view aBody);

/// The platform's store. Each gateway calls a port of its own, so that the
/// address of another gateway can be that of a link.
class Store
{
public:
  /// Address at which the reader reaches the named gateway's datagrams.
  using LinkAddress = std::function<std::string(size_t aReader,
                                                const std::string& aGateway,
                                                const std::string& aAddress)>;

  Store(Record& aRecord, size_t aReaders, LinkAddress aLinkAddress);

  std::string Address(size_t aReader) const;
  void SetAnswerMs(Millis aMs) { answerMs_ = aMs; }
  /// Calls of the reader get no answer and have no effect; -1: of nobody.
  void SetSilentFor(int aReader) { silentFor_ = aReader; }
  /// The reader that has last written an object of a kind; -1: none.
  int LastWriter(const std::string& aKind);
  void Put(const std::string& aKind,
           const std::string& aName,
           const Json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);

private:
  struct Object
  {
    int64_t revision_ = 0;
    Json spec_;
  };
  struct Event
  {
    int64_t revision_ = 0;
    std::string kind_;
    std::string name_;
    bool removed_ = false;
    Object object_;
  };
  struct Reply
  {
    int status_ = 200;
    Json body_;
  };

  bool Serve(size_t aReader, Socket& aSocket, const Message& aRequest);
  Reply Read(size_t aReader,
             const std::string& aKind,
             const std::string& aName);
  Reply Write(size_t aReader,
              const std::string& aMethod,
              const std::string& aKind,
              const std::string& aName,
              const std::string& aBody);
  Reply Watch(size_t aReader,
              const std::string& aKind,
              int64_t aRevision,
              Millis aWaitMs);
  Json ToJson(size_t aReader,
              const std::string& aKind,
              const std::string& aName,
              const Object& aObject) const;
  void Store_(const std::string& aKind,
              const std::string& aName,
              const Json& aSpec);

  Record& record_;
  LinkAddress linkAddress_;
  std::atomic<Millis> answerMs_{ 4 };
  std::atomic<int> silentFor_{ -1 };
  std::map<std::string, int> lastWriters_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> history_;
  int64_t revision_ = 10;
  std::vector<std::unique_ptr<Server>> servers_;
};

/// A backend server. Runs a request for workMs_ in one of its slots, takes
/// grants of keys, and writes itself into the store.
class Worker
{
public:
  struct Options
  {
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_ = 3;
    Millis workMs_ = 60;
    bool sharded_ = false;
    size_t bodyBytes_ = 1500;
    uint16_t port_ = 0; ///< 0: a free one
  };
  struct Run
  {
    std::string requestId_;
    std::string target_;
    Millis beganMs_ = 0;
  };
  /// Answers a request that has run; returns false to close the connection.
  using Answer = std::function<bool(Worker&, Socket&, const Message&)>;

  Worker(Record& aRecord, Store& aStore, Options aOptions, Answer aAnswer = {});
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  const std::string& Id() const { return options_.id_; }
  size_t BodyBytes() const { return options_.bodyBytes_; }
  /// Answers a request with 200, the seal and aBody.
  static bool AnswerWell(Worker& aWorker,
                         Socket& aSocket,
                         const Message& aRequest);
  std::string AnswerFields(const Message& aRequest) const;
  /// Announces that it drains; ends after aEndMs.
  void Drain();
  void End();
  /// Ends without a word to the store.
  void Crash();
  /// Options of a new life under the same id, at the same address.
  Options NextLife() const;

  static constexpr uint32_t kKeys = 65536;
  struct Hold
  {
    int64_t fence_ = 0; ///< 0: does not hold the key
    Millis grantedMs_ = 0;
    Millis lastBeginMs_ = 0;
  };
  /// The hold of a key at this moment.
  Hold HoldOf(uint32_t aKey);
  /// Number of runs of each request id since the start.
  std::map<std::string, int> Runs();

private:
  bool Serve(Socket& aSocket, const Message& aRequest);
  bool ServeGrant(Socket& aSocket, const Message& aRequest);
  bool ServeRelease(Socket& aSocket, const Message& aRequest);
  bool Refuse(Socket& aSocket, const Message& aRequest, int aStatus) const;
  void Register(const char* aState);

  Record& record_;
  Store& store_;
  Options options_;
  Answer answer_;
  Millis bornMs_;
  int seq_ = 0;
  std::atomic<bool> up_{ true };
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;
  std::map<std::string, int> runs_;
  struct Key
  {
    int64_t seen_ = 0;
    int64_t fence_ = 0;
    Millis grantedMs_ = 0;
    Millis untilMs_ = 0;
    Millis lastBeginMs_ = 0;
    int running_ = 0;
  };
  std::vector<Key> keys_;
  std::unique_ptr<Server> server_;
};

/// Datagram links between pairs of gateways, which can be cut.
class Links
{
public:
  Links();
  /// Address at which aFrom reaches aTo, whose own address is aAddress.
  std::string Address(size_t aFrom, size_t aTo, const std::string& aAddress);
  /// Drops the datagrams of all links.
  void SetCut(bool aCut) { cut_ = aCut; }
  /// Drops the datagrams to and from one gateway; -1: of none.
  void SetCutOff(int aGateway) { cutOff_ = aGateway; }

private:
  struct End
  {
    int fd_ = -1;
    uint16_t port_ = 0;
    uint16_t peer_ = 0; ///< datagrams that arrive here go on to this port
    size_t other_ = 0;  ///< and leave from this end
    int from_ = -1;
    int to_ = -1;
  };
  void Run();
  bool IsCut(const End& aEnd) const;

  std::atomic<bool> cut_{ false };
  std::atomic<int> cutOff_{ -1 };
  std::mutex mutex_;
  std::vector<End> ends_;
  std::map<std::pair<size_t, size_t>, size_t> byPair_;
};

/// Figures of a site's settings that differ between deployments.
struct SiteBounds
{
  Json bounds_;
  Json limits_;
};

/// cactuspitch-gateway, started as the deploy file says, with settings that are
/// filled into deploy/gateway.env.
class Gateway
{
public:
  Gateway(Record& aRecord,
          const std::string& aName,
          const std::string& aZone,
          const std::string& aStore,
          const SiteBounds& aBounds,
          const std::string& aFolder);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  uint16_t Port() const { return listen_; }
  bool WaitUntilReady(Millis aTimeoutMs) const;
  bool IsRunning();
  void Signal(int aSignal) const;

private:
  Record& record_;
  std::string name_;
  uint16_t listen_;
  uint16_t ready_;
  uint16_t peer_;
  uint16_t metrics_;
  pid_t pid_ = -1;
};

/// Settings like those of a small site.
SiteBounds SmallSite();

/// A route as it stands in the configuration.
Json Route(const std::string& aName,
           const std::string& aPrefix,
           const std::string& aKind,
           const std::string& aService,
           double aTimeoutS,
           double aLatencyS,
           int aPriority);
Json Config(const std::vector<Json>& aServices,
            const std::vector<Json>& aRoutes);

std::string RequestText(const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aId,
                        Millis aDeadlineMs,
                        const std::string& aFields = {},
                        const std::string& aBody = {});

}
