#include "net/HttpClient.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxResponseHeadBytes = 16384;
/// A lost SYN is retransmitted after 1 s; a new call is made sooner than that.
constexpr TimeMs kConnectTimeoutMs = 900;
/// Idle connections of one kind to one server whose responses name no request;
/// as many calls to a server run at a time.
constexpr ptrdiff_t kMaxUnidentified = 3;
/// Limit of interim (1xx) responses before the final one.
constexpr int kMaxInterimResponses = 8;

std::string Serialize(const Endpoint& aServer,
                      const CallRequest& aRequest,
                      std::string_view aId)
{
  auto text = Concat(aRequest.method_,
                     " ",
                     aRequest.target_,
                     " HTTP/1.1\r\nHost: ",
                     aServer.ToText(),
                     "\r\n");
  for (const auto& [name, value] : aRequest.fields_) {
    AppendTo(text, name, ": ", value, "\r\n");
  }
  if (!aRequest.idField_.empty()) {
    AppendTo(text, aRequest.idField_, ": ", aId, "\r\n");
  }
  if (!aRequest.body_.empty() || aRequest.method_ != "GET") {
    AppendTo(text, "Content-Length: ", aRequest.body_.size(), "\r\n");
  }
  AppendTo(text, "\r\n", aRequest.body_);
  return text;
}

}

class HttpClient::Connection final
  : public StreamHandler
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(HttpClient& aClient,
             const Endpoint& aServer,
             std::string_view aKind)
    : client_(aClient)
    , server_(aServer)
    , kind_(aKind)
    , number_(++aClient.lastConnection_)
    , stream_(aClient.loop_, *this)
    , timer_(aClient.loop_,
             [this] { Finish(OutcomeWithoutResponse(), "time-out"); })
    , parser_(HttpMessageType::Response, detail::kMaxResponseHeadBytes)
  {
  }

  const Endpoint& Server() const { return server_; }
  std::string_view Kind() const { return kind_; }
  uint64_t Number() const { return number_; }
  /// False if a late copy of the last response could be taken for the response
  /// of the next call.
  bool IdentifiesResponses() const { return identifiesResponses_; }

  void Start(const CallRequest& aRequest, Callback aCallback)
  {
    callback_ = std::move(aCallback);
    parser_ =
      HttpParser(HttpMessageType::Response, detail::kMaxResponseHeadBytes);
    body_.clear();
    interimResponses_ = 0;
    isReused_ = stream_.IsOpen();
    idField_ = aRequest.idField_;
    id_ = Concat("call-", ++client_.lastCallId_);
    writtenBytesAtStart_ = stream_.WrittenBytes();
    timeoutMs_ = aRequest.timeoutMs_;
    maxResponseBytes_ = aRequest.maxResponseBytes_;
    if (isReused_) {
      timer_.Start(timeoutMs_);
    } else {
      timer_.Start(std::min(timeoutMs_, detail::kConnectTimeoutMs));
    }
    if (!isReused_ && !stream_.Connect(server_)) {
      client_.loop_.Defer([self = shared_from_this()] {
        self->Finish(CallOutcome::NotSent, "no socket");
      });
      return;
    }
    if (isReused_) {
      stream_.Write(detail::Serialize(server_, aRequest, id_));
    } else {
      unsent_ = detail::Serialize(server_, aRequest, id_);
      maySendOnNew_ = aRequest.maySendOnNew_;
    }
  }

private:
  CallOutcome OutcomeWithoutResponse() const
  {
    return stream_.WrittenBytes() == writtenBytesAtStart_
             ? CallOutcome::NotSent
             : CallOutcome::NoResponse;
  }

  void OnConnected() override
  {
    const auto maySend = std::exchange(maySendOnNew_, nullptr);
    if (maySend && !maySend()) {
      withheld_ = true;
      Finish(CallOutcome::NotSent, "withheld");
      return;
    }
    timer_.Start(timeoutMs_);
    stream_.Write(std::exchange(unsent_, {}));
  }

  void OnInput() override
  {
    if (!callback_) {
      // Unsolicited bytes: no call is in progress.
      stream_.Close();
      client_.Remove(this);
      return;
    }
    auto state = parser_.Parse(stream_.Input(), body_);
    while (state == ParseState::Done && parser_.Head().IsInterim()) {
      if (++interimResponses_ > detail::kMaxInterimResponses) {
        Finish(CallOutcome::NoResponse, "too many interim answers");
        return;
      }
      parser_ =
        HttpParser(HttpMessageType::Response, detail::kMaxResponseHeadBytes);
      state = parser_.Parse(stream_.Input(), body_);
    }
    if (body_.size() > maxResponseBytes_) {
      isTooLarge_ = true;
      Finish(CallOutcome::NoResponse, "answer too large");
    } else if (state == ParseState::Done) {
      FinishResponse();
    } else if (state == ParseState::Failed) {
      Finish(CallOutcome::NoResponse, "malformed answer");
    }
  }

  void OnStreamClosed(CloseReason aReason) override
  {
    if (!callback_) {
      client_.RecordEnd(server_);
      client_.Remove(this);
      return;
    }
    if (aReason == CloseReason::EndOfStream && parser_.FinishAtEof()) {
      FinishResponse();
    } else {
      Finish(OutcomeWithoutResponse(), EnumName(aReason));
    }
  }

  bool HasOwnId()
  {
    return idField_.empty() || parser_.Head().Field(idField_) == id_;
  }

  void FinishResponse()
  {
    const bool hasOwnId = HasOwnId();
    const bool mayLackId = !isReused_ || !identifiesResponses_;
    if (!hasOwnId && !(mayLackId && parser_.Head().Field(idField_).empty())) {
      Finish(CallOutcome::NoResponse, "answer of another call");
      return;
    }
    identifiesResponses_ = hasOwnId;
    Finish(CallOutcome::Completed);
  }

  void Finish(CallOutcome aOutcome, std::string_view aCause = {})
  {
    if (!callback_) {
      return;
    }
    timer_.Stop();
    const auto self = shared_from_this();
    CallResult result;
    result.outcome_ = aOutcome;
    result.cause_ = aCause;
    result.isTooLarge_ = isTooLarge_;
    result.connection_ = number_;
    if (aOutcome == CallOutcome::Completed) {
      result.head_ = std::move(parser_.Head());
      result.body_ = std::move(body_);
    }
    const auto callback = std::exchange(callback_, nullptr);
    if (aOutcome == CallOutcome::Completed && stream_.IsOpen() &&
        result.head_.KeepsAlive() && stream_.Input().empty()) {
      client_.Release(self);
    } else {
      if (!withheld_) {
        client_.RecordEnd(server_);
      }
      // A reset keeps the server from executing a request that is still in
      // transit.
      stream_.Abort();
      client_.Remove(this);
    }
    callback(std::move(result));
  }

  HttpClient& client_;
  Endpoint server_;
  std::string_view kind_;
  uint64_t number_;
  TcpStream stream_;
  Timer timer_;
  HttpParser parser_;
  std::string body_;
  Callback callback_;
  std::string unsent_; ///< request that waits for the connection
  std::function<bool()> maySendOnNew_;
  bool withheld_ = false;
  bool isTooLarge_ = false;
  TimeMs timeoutMs_ = 0;
  size_t maxResponseBytes_ = 0;
  int interimResponses_ = 0;
  bool isReused_ = false;
  bool identifiesResponses_ = true;
  std::string_view idField_;
  std::string id_;
  uint64_t writtenBytesAtStart_ = 0;
};

HttpClient::HttpClient(EventLoop& aLoop)
  : loop_(aLoop)
{
}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::KeyOf(const Endpoint& aServer)
{
  return (static_cast<uint64_t>(aServer.ip_) << 16) | aServer.port_;
}

void HttpClient::Call(const Endpoint& aServer,
                      const CallRequest& aRequest,
                      Callback aCallback)
{
  auto connection = TakeIdle(aServer, aRequest);
  if (connection == nullptr &&
      aRequest.connectionPolicy_ == ConnectionPolicy::ReuseOnly) {
    loop_.Defer([callback = std::move(aCallback)] {
      CallResult result;
      result.cause_ = "no idle connection to reuse";
      callback(std::move(result));
    });
    return;
  }
  if (connection == nullptr) {
    connection =
      std::make_shared<Connection>(*this, aServer, aRequest.connectionKind_);
  }
  busy_.push_back(connection);
  connection->Start(aRequest, std::move(aCallback));
}

void HttpClient::CloseIdle(const Endpoint& aServer)
{
  auto dropped = std::exchange(idle_[KeyOf(aServer)], {});
  loop_.Defer([dropped = std::move(dropped)] {});
}

TimeMs HttpClient::LastEndedMs(const Endpoint& aServer) const
{
  const auto found = endedMs_.find(KeyOf(aServer));
  return found == endedMs_.end() ? 0 : found->second;
}

void HttpClient::RecordEnd(const Endpoint& aServer)
{
  endedMs_[KeyOf(aServer)] = loop_.NowMs();
}

ConnectionState HttpClient::StateOf(const Endpoint& aServer,
                                    uint64_t aConnection) const
{
  const auto hasNumber = [&](const ConnectionPtr& aOther) {
    return aOther->Number() == aConnection && aOther->Server() == aServer;
  };
  const auto idle = idle_.find(KeyOf(aServer));
  if (idle != idle_.end() && std::ranges::any_of(idle->second, hasNumber)) {
    return ConnectionState::Idle;
  }
  return std::ranges::any_of(busy_, hasNumber) ? ConnectionState::Busy
                                               : ConnectionState::Ended;
}

HttpClient::ConnectionPtr HttpClient::TakeIdle(const Endpoint& aServer,
                                               const CallRequest& aRequest)
{
  const auto policy = aRequest.connectionPolicy_;
  if (policy == ConnectionPolicy::NewOnly) {
    return nullptr;
  }
  auto& idle = idle_[KeyOf(aServer)];
  const auto isUsable = [&](const ConnectionPtr& aIdle) {
    return aIdle->Kind() == aRequest.connectionKind_ &&
           (aRequest.connection_ == 0 ||
            aIdle->Number() == aRequest.connection_);
  };
  auto found =
    std::find_if(idle.rbegin(), idle.rend(), [&](const ConnectionPtr& aIdle) {
      return isUsable(aIdle) && aIdle->IdentifiesResponses();
    });
  if (found == idle.rend() && policy != ConnectionPolicy::ReuseOrNew) {
    found = std::find_if(idle.rbegin(), idle.rend(), isUsable);
  }
  if (found == idle.rend()) {
    return nullptr;
  }
  auto connection = std::move(*found);
  idle.erase(std::next(found).base());
  return connection;
}

void HttpClient::Release(ConnectionPtr aConnection)
{
  std::erase(busy_, aConnection);
  auto& idle = idle_[KeyOf(aConnection->Server())];
  if (!aConnection->IdentifiesResponses()) {
    const auto isUnidentified = [&](const auto& aIdle) {
      return !aIdle->IdentifiesResponses() &&
             aIdle->Kind() == aConnection->Kind();
    };
    if (std::ranges::count_if(idle, isUnidentified) >=
        detail::kMaxUnidentified) {
      const auto old = std::ranges::find_if(idle, isUnidentified);
      loop_.Defer([dropped = std::move(*old)] {});
      idle.erase(old);
    }
  }
  if (idle.size() < kMaxIdleConnections) {
    idle.push_back(std::move(aConnection));
  } else {
    loop_.Defer([aConnection = std::move(aConnection)] {});
  }
}

void HttpClient::Remove(const Connection* aConnection)
{
  const auto isSame = [&](const ConnectionPtr& aOther) {
    return aOther.get() == aConnection;
  };
  // Keeps the connection alive until the handlers of this iteration have
  // returned.
  const auto drop = [&](auto& aContainer) {
    for (auto& connection : aContainer) {
      if (isSame(connection)) {
        loop_.Defer([kept = connection] {});
      }
    }
    std::erase_if(aContainer, isSame);
  };
  drop(busy_);
  drop(idle_[KeyOf(aConnection->Server())]);
}

}
