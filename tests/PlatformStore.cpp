#include "tests/PlatformStore.hpp"

#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

namespace {

constexpr std::string_view kPathPrefix = "/-/objects/";
/// Delay of responses in the mode Slow.
constexpr TimeMs kSlowResponseMs = 700;
constexpr TimeMs kWatchTickMs = 20;
constexpr size_t kMaxHistory = 10000;

/// Value of a numeric query parameter, -1 if it is missing or invalid.
int64_t QueryNumber(std::string_view aQuery, std::string_view aName)
{
  const auto field = Concat(aName, "=");
  const auto start = aQuery.find(field);
  if (start == std::string_view::npos) {
    return -1;
  }
  auto value = aQuery.substr(start + field.size());
  value = value.substr(0, value.find('&'));
  int64_t number = -1;
  return ParseNumber(value, number) ? number : -1;
}

}

PlatformStore::PlatformStore(EventLoop& aLoop)
  : loop_(aLoop)
  , delayed_(aLoop)
  , watchTimer_(aLoop, [this] { RespondToWatches(); })
  , server_(aLoop, [this](auto& aExchange) { Serve(aExchange); })
{
}

PlatformStore::Json PlatformStore::Item(const std::string& aKind,
                                        const std::string& aName) const
{
  const auto& object = objects_.at(aKind).at(aName);
  return { { "metadata",
             { { "name", aName }, { "revision", object.revision_ } } },
           { "spec", object.spec_ },
           { "status", object.status_ } };
}

void PlatformStore::AddEvent(const std::string& aKind,
                             const Json& aItem,
                             bool aRemoved)
{
  history_.push_back(
    { revision_, aKind, { { "object", aItem }, { "removed", aRemoved } } });
  if (history_.size() > kMaxHistory) {
    oldestRevision_ = history_.front().revision_;
    history_.pop_front();
  }
  RespondToWatches();
}

void PlatformStore::Put(const std::string& aKind,
                        const std::string& aName,
                        const Json& aSpec,
                        const Json& aStatus)
{
  objects_[aKind][aName] = { ++revision_, aSpec, aStatus };
  changes_.push_back(
    { loop_.NowMs(), revision_, aKind, aName, objects_[aKind][aName] });
  AddEvent(aKind, Item(aKind, aName), false);
}

void PlatformStore::Remove(const std::string& aKind, const std::string& aName)
{
  if (!objects_[aKind].contains(aName)) {
    return;
  }
  ++revision_;
  auto item = Item(aKind, aName);
  item["metadata"]["revision"] = revision_;
  objects_[aKind].erase(aName);
  changes_.push_back({ loop_.NowMs(), revision_, aKind, aName, std::nullopt });
  AddEvent(aKind, item, true);
}

void PlatformStore::CompactHistory()
{
  history_.clear();
  oldestRevision_ = revision_;
}

void PlatformStore::Restore(TimeMs aAgeMs)
{
  const TimeMs copiedMs = loop_.NowMs() - aAgeMs;
  std::erase_if(
    changes_, [&](const Change& aChange) { return aChange.atMs_ > copiedMs; });
  objects_.clear();
  revision_ = kFirstRevision;
  for (const auto& change : changes_) {
    revision_ = change.revision_;
    if (change.object_) {
      objects_[change.kind_][change.name_] = *change.object_;
    } else {
      objects_[change.kind_].erase(change.name_);
    }
  }
  std::erase_if(history_, [&](const Event& aEvent) {
    return aEvent.revision_ > revision_;
  });
  ++era_;
  for (const auto& watch : std::exchange(watches_, {})) {
    watch.exchange_.reset_();
  }
}

void PlatformStore::RemoveUnrenewed(const std::string& aKind, int64_t aRevision)
{
  std::vector<std::string> names;
  for (const auto& [name, object] : objects_[aKind]) {
    if (object.revision_ <= aRevision) {
      names.push_back(name);
    }
  }
  std::ranges::for_each(
    names, [&](const std::string& aName) { Remove(aKind, aName); });
}

PlatformStore::Json PlatformStore::Spec(const std::string& aKind,
                                        const std::string& aName) const
{
  const auto kind = objects_.find(aKind);
  return kind == objects_.end() || !kind->second.contains(aName)
           ? Json()
           : kind->second.at(aName).spec_;
}

std::string PlatformStore::StoreResponse(int aStatus,
                                         const std::string& aBody) const
{
  auto text = TextResponse(aStatus, aBody);
  text.insert(text.find("\r\n") + 2, Concat("Store-Era: ", era_, "\r\n"));
  return text;
}

Endpoint PlatformStore::AddView(
  std::function<std::string(std::string aResponse)> aRewrite)
{
  views_.push_back(std::make_unique<ScriptedServer>(
    loop_, [this, rewrite = std::move(aRewrite)](auto& aExchange) {
      aExchange.write_ = [rewrite,
                          write = aExchange.write_](std::string_view aText) {
        write(rewrite(std::string(aText)));
      };
      Serve(aExchange);
    }));
  return views_.back()->Address();
}

void PlatformStore::Serve(ScriptedServer::Exchange& aExchange)
{
  if (faultMode_ == StoreFaultMode::Silent) {
    return;
  }
  if (faultMode_ == StoreFaultMode::Resets) {
    aExchange.reset_();
    return;
  }
  if (faultMode_ == StoreFaultMode::Unavailable) {
    aExchange.write_(StoreResponse(503, "{}"));
    return;
  }
  const std::string_view target = aExchange.head_.target_;
  const auto queryStart = target.find('?');
  const auto path = target.substr(0, queryStart).substr(kPathPrefix.size());
  const auto query = queryStart == std::string_view::npos
                       ? std::string_view{}
                       : target.substr(queryStart);
  const auto slash = path.find('/');
  const std::string kind(path.substr(0, slash));
  const std::string name(
    slash == std::string_view::npos ? "" : path.substr(slash + 1));
  if (QueryNumber(query, "watch") >= 0) {
    StartWatch(aExchange, kind, query);
  } else if (aExchange.head_.method_ == "GET") {
    Send(aExchange, Read(kind, name));
  } else {
    Send(
      aExchange,
      Write(aExchange.head_.method_, kind, name, Json::parse(aExchange.body_)));
  }
}

void PlatformStore::Send(const ScriptedServer::Exchange& aExchange,
                         const Reply& aReply)
{
  if (faultMode_ == StoreFaultMode::LosesAnswers) {
    return;
  }
  const auto text = StoreResponse(aReply.status_, aReply.body_.dump());
  if (faultMode_ != StoreFaultMode::Slow) {
    aExchange.write_(text);
    return;
  }
  delayed_.After(kSlowResponseMs,
                 [write = aExchange.write_, text] { write(text); });
}

PlatformStore::Reply PlatformStore::Read(const std::string& aKind,
                                         const std::string& aName) const
{
  const auto kind = objects_.find(aKind);
  if (!aName.empty()) {
    const bool exists = kind != objects_.end() && kind->second.contains(aName);
    return exists ? Reply{ 200, Item(aKind, aName) }
                  : Reply{ 404, Json::object() };
  }
  auto items = Json::array();
  if (kind != objects_.end()) {
    for (const auto& [name, object] : kind->second) {
      items.push_back(Item(aKind, name));
    }
  }
  return { 200,
           { { "items", items }, { "has-more", false }, { "at", revision_ } } };
}

PlatformStore::Reply PlatformStore::Write(const std::string& aMethod,
                                          const std::string& aKind,
                                          const std::string& aName,
                                          const Json& aBody)
{
  const auto& meta = aBody.at("metadata");
  const bool isCreate = aMethod == "POST";
  const auto name = isCreate ? meta.at("name").get<std::string>() : aName;
  const bool exists = objects_[aKind].contains(name);
  const auto wanted = meta.value("revision", int64_t{ 0 });
  if (exists && (isCreate ||
                 (wanted != 0 && wanted != objects_[aKind][name].revision_))) {
    return { 409, Item(aKind, name) };
  }
  if (!exists && !isCreate) {
    return { 404, Json::object() };
  }
  if (!exists || objects_[aKind][name].spec_ != aBody.at("spec")) {
    Put(aKind, name, aBody.at("spec"));
  }
  return { 200, Item(aKind, name) };
}

void PlatformStore::StartWatch(const ScriptedServer::Exchange& aExchange,
                               const std::string& aKind,
                               std::string_view aQuery)
{
  const auto revision = QueryNumber(aQuery, "watch");
  if (revision < oldestRevision_ || revision > revision_) {
    Send(aExchange, { 410, Json::object() });
    return;
  }
  const auto waitMs = std::max<TimeMs>(0, QueryNumber(aQuery, "wait-ms"));
  watches_.push_back({ aExchange, aKind, revision, loop_.NowMs() + waitMs });
  RespondToWatches();
}

void PlatformStore::RespondToWatches()
{
  std::erase_if(watches_, [&](const Watch& aWatch) {
    const bool hasEvent =
      std::ranges::any_of(history_, [&](const Event& aEvent) {
        return aEvent.kind_ == aWatch.kind_ &&
               aEvent.revision_ > aWatch.revision_;
      });
    const bool ends = hasEvent || loop_.NowMs() >= aWatch.endMs_;
    if (ends) {
      RespondToWatch(aWatch);
    }
    return ends;
  });
  if (!watches_.empty() && !watchTimer_.IsActive()) {
    watchTimer_.Start(kWatchTickMs);
  }
}

void PlatformStore::RespondToWatch(const Watch& aWatch) const
{
  const bool responds =
    faultMode_ == StoreFaultMode::None || faultMode_ == StoreFaultMode::Slow;
  if (!responds) {
    return;
  }
  auto events = Json::array();
  for (const auto& event : history_) {
    if (event.kind_ == aWatch.kind_ && event.revision_ > aWatch.revision_) {
      events.push_back(event.event_);
    }
  }
  aWatch.exchange_.write_(StoreResponse(
    200, Json{ { "events", events }, { "at", revision_ } }.dump()));
}

}
