#include "review/standins/Standins.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <sstream>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cactuspitch::review {

namespace {

using Json = nlohmann::json;

constexpr TimeMs kHeartbeatMs = 870;
constexpr size_t kMaxHeadBytes = 65536;
constexpr size_t kQueueLength = 24;
constexpr double kMsPerSecond = 1000;
constexpr const char* kProgram = "target/cactuspitch-gateway";

/// Fields of the platform's settings file, as far as the template uses them.
const Json& Bounds()
{
  static const Json kBounds = {
    { "seed-lag-s", 3 },      { "addr-reuse-s", 2 },
    { "stable-window-s", 3 }, { "drain-s", 2 },
    { "grace-s", 6 },         { "loss-slack-s", 0.2 },
    { "config-apply-s", 2 },  { "retry-budget-ratio", 0.2 },
    { "retry-window-s", 10 }, { "retry-budget-extra", 56 },
    { "hold-max-s", 10 }
  };
  return kBounds;
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Time that a request asks a worker to work on it, in its path: "/w500/".
TimeMs WorkMs(std::string_view aTarget)
{
  constexpr TimeMs kDefaultMs = 60;
  const auto start = aTarget.find("/w");
  if (start == std::string_view::npos) {
    return kDefaultMs;
  }
  const auto digits = aTarget.substr(start + 2);
  TimeMs workMs = kDefaultMs;
  ParseNumber(digits.substr(0, digits.find('/')), workMs);
  return workMs;
}

}

Record::Record(EventLoop& aLoop, const std::string& aPath)
  : loop_(aLoop)
  , file_(aPath, std::ios::trunc)
  , startMs_(aLoop.NowMs())
{
}

void Record::Add(std::string_view aText)
{
  file_ << SinceStartMs() << " " << aText << "\n" << std::flush;
}

void Record::AddBreach(std::string_view aText)
{
  ++breaches_;
  Add(Concat("BROKEN ", aText));
}

Gateway::Gateway(Record& aRecord,
                 std::string aFolder,
                 std::string aName,
                 std::string aZone,
                 std::string aStore)
  : record_(aRecord)
  , folder_(std::move(aFolder))
  , name_(std::move(aName))
  , zone_(std::move(aZone))
  , store_(std::move(aStore))
  , front_(FreeEndpoint())
  , ready_(FreeEndpoint())
  , peer_(FreeEndpoint())
  , metrics_(FreeEndpoint())
{
}

Gateway::~Gateway()
{
  if (pid_ > 0 && !Ended()) {
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
  }
}

std::string Gateway::SettingsText() const
{
  // The template names the free ports of a machine by their first and last.
  const std::map<std::string, std::string> values = {
    { "{{node-name}}", name_ },
    { "{{zone}}", zone_ },
    { "{{listen.front}}", front_.ToText() },
    { "{{listen.ready}}", ready_.ToText() },
    { "{{ip}}:{{internal-ports.0}}", peer_.ToText() },
    { "{{ip}}:{{internal-ports.1}}", metrics_.ToText() },
    { "{{platform.address}}", store_ },
    { "{{bounds|json}}", Bounds().dump() },
    { "{{limits|json}}",
      Json{ { "cpu-share", 0.2 }, { "cores", 1 }, { "memory-mb", 260 } }
        .dump() },
  };
  auto text = ReadFile("deploy/gateway.env");
  for (const auto& [name, value] : values) {
    if (const auto at = text.find(name); at != std::string::npos) {
      text.replace(at, name.size(), value);
    }
  }
  return text;
}

void Gateway::Start()
{
  const auto settings = Concat(folder_, "/", name_, ".env");
  std::ofstream(settings, std::ios::trunc) << SettingsText();
  const auto log = Concat(folder_, "/", name_, ".log");
  status_.reset();
  pid_ = ::fork();
  if (pid_ != 0) {
    record_.Add(Concat("platform starts ", name_, " at ", front_.ToText()));
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = ::open(
    log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
  ::dup2(fd, STDOUT_FILENO);
  ::dup2(fd, STDERR_FILENO);
  ::setenv("CACTUSPITCH_NODE_FILE", settings.c_str(), 1);
  ::execl(kProgram, kProgram, nullptr);
  ::_exit(127);
}

void Gateway::Signal(int aSignal)
{
  if (pid_ > 0 && !Ended()) {
    record_.Add(Concat("platform sends ", ::strsignal(aSignal), " to ", name_));
    ::kill(pid_, aSignal);
  }
}

std::optional<int> Gateway::Ended()
{
  int status = 0;
  if (!status_ && pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    status_ = status;
  }
  return status_;
}

int64_t Gateway::ResidentMb() const
{
  // Until it runs the program, the process has the memory of its parent.
  if (ReadFile(Concat("/proc/", pid_, "/comm")).substr(0, 11) !=
      "cactuspitch") {
    return 0;
  }
  std::ifstream file(Concat("/proc/", pid_, "/statm"));
  int64_t total = 0;
  int64_t resident = 0;
  file >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE) >> 20;
}

std::string Gateway::LogTail() const
{
  constexpr size_t kBytes = 1500;
  const auto text = ReadFile(Concat(folder_, "/", name_, ".log"));
  return text.size() > kBytes ? text.substr(text.size() - kBytes) : text;
}

Worker::Worker(EventLoop& aLoop,
               PlatformStore& aStore,
               Record& aRecord,
               Options aOptions)
  : loop_(aLoop)
  , store_(aStore)
  , record_(aRecord)
  , options_(std::move(aOptions))
  , tasks_(aLoop)
  , server_(aLoop, [this](Exchange& aExchange) { Handle(aExchange); })
  , heartbeat_(aLoop, [this] { Register(); })
  , born_(UnixNowMs())
  , keys_(options_.keyed_ ? kAllKeys : 0)
{
  Register();
}

void Worker::Register()
{
  store_.Put("servers",
             options_.id_,
             { { "address", server_.Address().ToText() },
               { "born", born_ },
               { "info",
                 { { "service", options_.service_ },
                   { "zone", options_.zone_ },
                   { "version", "1" },
                   { "slots", options_.slots_ } } },
               { "status",
                 { { "state", draining_ ? "draining" : "ready" },
                   { "seq", ++seq_ },
                   { "cold-remaining-s", 0 } } } });
  heartbeat_.Start(kHeartbeatMs);
}

void Worker::Leave(TimeMs aMs)
{
  draining_ = true;
  record_.Add(Concat(Id(), " reports draining"));
  Register();
  tasks_.After(aMs, [this] {
    up_ = false;
    heartbeat_.Stop();
    server_.Crash();
    store_.Remove("servers", options_.id_);
    record_.Add(Concat(Id(), " has ended"));
  });
}

bool Worker::Holds(uint32_t aKey) const
{
  return up_ && aKey < keys_.size() && keys_[aKey].untilMs_ > loop_.NowMs();
}

const std::string* Worker::RunningOn(uint32_t aFirst, uint32_t aLast) const
{
  const auto found = std::ranges::find_if(running_, [&](const auto& aRunning) {
    return aRunning.key_ && *aRunning.key_ >= aFirst &&
           *aRunning.key_ <= aLast &&
           keys_[*aRunning.key_].grantedUntilMs_ > loop_.NowMs();
  });
  return found == running_.end() ? nullptr : &found->id_;
}

void Worker::Answer(const Exchange& aExchange,
                    int aStatus,
                    std::string_view aFields,
                    std::string_view aBody)
{
  if (!up_) {
    return;
  }
  ++answers_;
  const auto id = aExchange.head_.Field("Cactuspitch-Request-Id");
  aExchange.write_(
    Concat("HTTP/1.1 ",
           aStatus,
           " X\r\n",
           id.empty() ? "" : Concat("Cactuspitch-Request-Id: ", id, "\r\n"),
           draining_ ? "Server-Leaving: 1\r\n" : "",
           aFields,
           "Content-Length: ",
           aBody.size(),
           "\r\n\r\n",
           aBody));
}

void Worker::Handle(Exchange& aExchange)
{
  constexpr int kBadRequest = 400;
  constexpr int kMisdirected = 421;
  constexpr std::string_view kNotRun = "Cactuspitch-Not-Executed: 1\r\n";
  if (!up_) {
    return;
  }
  const auto target = aExchange.head_.Field("Cactuspitch-Target-Instance");
  if (!target.empty() && target != options_.id_) {
    Answer(aExchange, kMisdirected, kNotRun, "");
  } else if (aExchange.head_.target_ == "/-/grant") {
    HandleGrant(aExchange);
  } else if (aExchange.head_.target_ == "/-/release") {
    HandleRelease(aExchange);
  } else if (aExchange.head_.Field("Cactuspitch-Request-Id").empty()) {
    Answer(aExchange, kBadRequest, kNotRun, "");
  } else {
    if (!stray_.empty() && aExchange.requestsBefore_ > 0) {
      record_.Add(Concat(Id(),
                         " sends bytes after its last answer on the connection "
                         "of ",
                         aExchange.head_.Field("Cactuspitch-Request-Id"),
                         ": ",
                         stray_.substr(0, stray_.find("\r\n"))));
      aExchange.write_(std::exchange(stray_, {}));
    }
    RunOrQueue(aExchange);
  }
}

void Worker::HandleGrant(Exchange& aExchange)
{
  constexpr int kOk = 200;
  constexpr int kBadRequest = 400;
  constexpr int kConflict = 409;
  const auto body = Json::parse(aExchange.body_, nullptr, false);
  if (!options_.keyed_ || !body.is_object()) {
    Answer(aExchange, kBadRequest, "", "");
    return;
  }
  const auto first = body.at("from").get<uint32_t>();
  const auto last = body.at("to").get<uint32_t>();
  const auto fence = body.at("fence").get<int64_t>();
  const TimeMs untilMs =
    loop_.NowMs() +
    static_cast<TimeMs>(body.at("hold-s").get<double>() * kMsPerSecond);
  const bool stale =
    std::any_of(keys_.begin() + first,
                keys_.begin() + last + 1,
                [&](const Key& aKey) { return aKey.fence_ > fence; });
  if (stale) {
    record_.Add(Concat(Id(), " rejects the grant ", aExchange.body_));
    Answer(aExchange, kConflict, "", "");
    return;
  }
  record_.Add(Concat(Id(), " takes the grant ", aExchange.body_));
  if (hooks_.onGranted_) {
    hooks_.onGranted_(first, last, fence);
  }
  for (uint32_t key = first; key <= last; ++key) {
    keys_[key] = { fence, untilMs, untilMs };
  }
  grantedMs_ = loop_.NowMs();
  Answer(aExchange, kOk, "", "");
}

void Worker::HandleRelease(Exchange& aExchange)
{
  record_.Add(Concat(Id(), " gets the release ", aExchange.body_));
  if (hooks_.onRelease_) {
    hooks_.onRelease_(aExchange);
  }
  const auto body = Json::parse(aExchange.body_);
  const auto first = body.at("from").get<uint32_t>();
  const auto last = body.at("to").get<uint32_t>();
  for (uint32_t key = first; key <= last; ++key) {
    keys_[key].untilMs_ = 0;
    keys_[key].fence_ =
      std::max(keys_[key].fence_, body.at("fence").get<int64_t>());
  }
  releases_.push_back({ aExchange, first, last });
  AnswerReleases();
}

void Worker::AnswerReleases()
{
  constexpr int kOk = 200;
  std::erase_if(releases_, [this](const Release& aRelease) {
    const bool busy = std::ranges::any_of(running_, [&](const auto& aRunning) {
      return aRunning.key_ && *aRunning.key_ >= aRelease.first_ &&
             *aRunning.key_ <= aRelease.last_;
    });
    if (!busy) {
      const auto token =
        hooks_.handover_ ? hooks_.handover_() : std::string("5c0e7a21d94b36f8");
      record_.Add(Concat(Id(),
                         " answers the release of ",
                         aRelease.first_,
                         " to ",
                         aRelease.last_));
      Answer(aRelease.exchange_,
             kOk,
             Concat("Cactuspitch-Handover: ", token, "\r\n"),
             "");
    }
    return !busy;
  });
}

void Worker::RunOrQueue(const Exchange& aExchange)
{
  constexpr int kUnavailable = 503;
  if (std::ssize(running_) < options_.slots_) {
    Begin(aExchange);
  } else if (waiting_.size() < kQueueLength) {
    waiting_.push_back(aExchange);
  } else {
    Answer(aExchange, kUnavailable, "Cactuspitch-Not-Executed: 1\r\n", "");
  }
}

void Worker::Begin(const Exchange& aExchange)
{
  constexpr int kMisdirected = 421;
  Running running{ std::string(aExchange.head_.Field("Cactuspitch-Request-Id")),
                   {} };
  uint32_t key = 0;
  if (ParseNumber(aExchange.head_.Field("Cactuspitch-Shard-Key"), key)) {
    running.key_ = key;
  }
  if (options_.keyed_ && (!running.key_ || !Holds(*running.key_))) {
    Answer(aExchange, kMisdirected, "Cactuspitch-Not-Executed: 1\r\n", "");
    return;
  }
  const auto& target = aExchange.head_.target_;
  record_.Add(
    Concat(Id(),
           " begins ",
           running.id_,
           " ",
           target,
           running.key_ ? Concat(" key ", *running.key_) : std::string()));
  if (hooks_.onRun_) {
    hooks_.onRun_(running.id_, target);
  }
  running_.push_back(running);
  tasks_.After(WorkMs(target), [this, exchange = aExchange, id = running.id_] {
    Finish(exchange, id);
  });
}

void Worker::Finish(const Exchange& aExchange, const std::string& aId)
{
  constexpr int kOk = 200;
  if (!up_) {
    return;
  }
  std::erase_if(running_,
                [&](const Running& aOther) { return aOther.id_ == aId; });
  record_.Add(Concat(Id(), " has run ", aId));
  Answer(aExchange,
         kOk,
         Concat("Cactuspitch-Response-Seal: 3e1b.07\r\n",
                "Cactuspitch-Server-Load: ",
                running_.size(),
                ",",
                waiting_.size(),
                ",",
                options_.slots_,
                "\r\n"),
         Concat("answer to ", aId, "\n"));
  AnswerReleases();
  if (!waiting_.empty()) {
    const auto next = waiting_.front();
    waiting_.erase(waiting_.begin());
    RunOrQueue(next);
  }
}

Client::Client(EventLoop& aLoop, Handlers aHandlers)
  : handlers_(std::move(aHandlers))
  , stream_(aLoop, *this)
  , parser_(HttpMessageType::Response, kMaxHeadBytes)
{
}

bool Client::Connect(const Endpoint& aEndpoint)
{
  return stream_.Connect(aEndpoint);
}

void Client::OnConnected()
{
  if (handlers_.onConnected_) {
    handlers_.onConnected_();
  }
}

void Client::OnInput()
{
  while (stream_.IsOpen() &&
         parser_.Parse(stream_.Input(), body_) == ParseState::Done) {
    const auto head = parser_.Head();
    const auto body = std::exchange(body_, {});
    parser_ = HttpParser(HttpMessageType::Response, kMaxHeadBytes);
    handlers_.onResponse_(head, body);
  }
}

void Client::OnStreamClosed(CloseReason aReason)
{
  if (handlers_.onClosed_) {
    handlers_.onClosed_(aReason);
  }
}

namespace {

std::string MakeFolder()
{
  auto folder =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  return folder;
}

}

Deployment::Deployment(const std::string& aRecordPath)
  : folder_(MakeFolder())
  , record_(loop_, aRecordPath)
  , store_(loop_)
  , tasks_(loop_)
{
}

Deployment::~Deployment()
{
  ShutDown();
}

void Deployment::ShutDown()
{
  gateways_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

Worker& Deployment::AddWorker(Worker::Options aOptions)
{
  workers_.push_back(
    std::make_unique<Worker>(loop_, store_, record_, std::move(aOptions)));
  return *workers_.back();
}

Gateway& Deployment::AddGateway(const std::string& aName,
                                const std::string& aZone)
{
  gateways_.push_back(std::make_unique<Gateway>(
    record_, folder_, aName, aZone, store_.Address().ToText()));
  return *gateways_.back();
}

void Deployment::PutConfig(const std::vector<Route>& aRoutes,
                           const std::vector<std::string>& aServices,
                           const std::vector<std::string>& aKeyedServices)
{
  auto services = Json::array();
  for (const auto& name : aServices) {
    Json service{ { "name", name },
                  { "health-path", "/health" },
                  { "max-connections", 110 } };
    if (std::ranges::find(aKeyedServices, name) != aKeyedServices.end()) {
      service["sharded"] = true;
      service["warm-s"] = 2.0;
    }
    services.push_back(std::move(service));
  }
  auto paths = Json::array();
  for (const auto& route : aRoutes) {
    paths.push_back({ { "name", route.name_ },
                      { "path-prefix", route.prefix_ },
                      { "kind", route.kind_ },
                      { "service", route.service_ },
                      { "timeout-s", route.timeoutS_ },
                      { "target-latency-s", 1.2 },
                      { "priority", 1 },
                      { "max-attempts", 2 } });
  }
  const auto version = Concat("r", ++version_);
  store_.Put("config",
             "main",
             { { "version", version },
               { "services", services },
               { "limits",
                 { { "max-header-bytes", 16384 },
                   { "max-body-bytes", 67108864 },
                   { "header-timeout-s", 3 },
                   { "idle-timeout-s", 15 } } },
               { "virtual-hosts",
                 Json::array({ { { "host", "review.example" },
                                 { "paths", paths } } }) } });
  record_.Add(Concat("operator writes the configuration ", version));
}

bool Deployment::RunUntil(TimeMs aMs, const std::function<bool()>& aDone)
{
  constexpr TimeMs kPollMs = 5;
  const TimeMs endMs = SteadyClock().NowMs() + aMs;
  while (!aDone()) {
    if (SteadyClock().NowMs() >= endMs) {
      return false;
    }
    RunLoopFor(loop_, kPollMs);
  }
  return true;
}

void Deployment::RunFor(TimeMs aMs)
{
  RunLoopFor(loop_, aMs);
}

bool Deployment::AwaitReady(TimeMs aMs)
{
  constexpr TimeMs kCheckMs = 200;
  const TimeMs endMs = SteadyClock().NowMs() + aMs;
  size_t ready = 0;
  while (ready < gateways_.size() && SteadyClock().NowMs() < endMs) {
    ready = 0;
    std::vector<std::unique_ptr<Client>> checks;
    for (const auto& gateway : gateways_) {
      auto& check = checks.emplace_back(std::make_unique<Client>(
        loop_,
        Client::Handlers{ {},
                          [&](const HttpHead& aHead, const std::string&) {
                            ready += aHead.status_ == 200 ? 1 : 0;
                          },
                          {} }));
      check->Connect(gateway->Ready());
      check->Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    RunLoopFor(loop_, kCheckMs);
  }
  return ready == gateways_.size();
}

std::string Deployment::NextId()
{
  return Concat("q", ++nextId_);
}

KeyedCallers::KeyedCallers(Deployment& aDeployment,
                           TimeMs aIntervalMs,
                           std::string aTarget,
                           std::string aLongTarget,
                           uint32_t aLongEvery)
  : deployment_(aDeployment)
  , timer_(aDeployment.Loop(), [this] { SendNext(); })
  , intervalMs_(aIntervalMs)
  , target_(std::move(aTarget))
  , longTarget_(std::move(aLongTarget))
  , longEvery_(aLongEvery)
{
  SendNext();
}

void KeyedCallers::SendNext()
{
  constexpr uint32_t kKeyStep = 7919;
  constexpr TimeMs kDeadlineMs = 2000;
  constexpr int kOk = 200;
  timer_.Start(intervalMs_);
  ++count_;
  const auto& target = count_ % longEvery_ == 0 ? longTarget_ : target_;
  const uint32_t key = (count_ * kKeyStep) % kAllKeys;
  const auto& gateways = deployment_.Gateways();
  const auto& gateway = *gateways[count_ % gateways.size()];
  const auto id = deployment_.NextId();
  auto& client = clients_.emplace_back(std::make_unique<Client>(
    deployment_.Loop(),
    Client::Handlers{ {},
                      [this, id](const HttpHead& aHead, const std::string&) {
                        served_ += aHead.status_ == kOk ? 1 : 0;
                        deployment_.Log().Add(
                          Concat("client gets ", aHead.status_, " for ", id));
                      },
                      {} }));
  client->Connect(gateway.Front());
  client->Send(RequestHead(
    "GET",
    target,
    id,
    kDeadlineMs,
    Concat("Connection: close\r\nCactuspitch-Shard-Key: ", key, "\r\n")));
  deployment_.Log().Add(
    Concat("client sends ", id, " key ", key, " to ", gateway.Name()));
}

bool HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

std::string RequestHead(std::string_view aMethod,
                        std::string_view aTarget,
                        std::string_view aId,
                        TimeMs aDeadlineMs,
                        std::string_view aFields)
{
  return Concat(aMethod,
                " ",
                aTarget,
                " HTTP/1.1\r\nHost: review.example\r\n"
                "Cactuspitch-Request-Id: ",
                aId,
                "\r\nCactuspitch-Deadline-Remaining: ",
                aDeadlineMs,
                "\r\n",
                aFields,
                "\r\n");
}

int RunCase(int aArgc,
            char** aArgv,
            const std::function<bool(Deployment& aDeployment)>& aCase)
{
  constexpr int kCouldNotRun = 2;
  std::signal(SIGPIPE, SIG_IGN);
  if (aArgc != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", aArgv[0]);
    return kCouldNotRun;
  }
  try {
    Deployment deployment(aArgv[1]);
    deployment.Log().Add(HasTrouble() ? "with the disruption"
                                      : "without the disruption");
    if (!aCase(deployment)) {
      deployment.Log().Add("the case couldn't run");
      return kCouldNotRun;
    }
    const int breaches = deployment.Log().Breaches();
    deployment.Log().Add(
      breaches > 0 ? Concat("rule broken, ", breaches, " times") : "rule held");
    deployment.ShutDown();
    // Without destructors: tasks that are deferred on the loop refer to objects
    // of the case.
    std::_Exit(breaches > 0 ? 1 : 0);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCouldNotRun;
  }
}

}
