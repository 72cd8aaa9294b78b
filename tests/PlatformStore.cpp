#include "tests/PlatformStore.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include <absl/strings/ascii.h>

namespace cactuspitch {

namespace {

constexpr std::string_view kPathPrefix = "/-/objects/";
/// Delay of responses in the mode Slow.
constexpr TimeMs kSlowResponseMs = 700;
constexpr TimeMs kWatchTickMs = 20;
constexpr size_t kMaxHistory = 10000;

/// True for the bytes that a URI may hold unescaped in a path or a query.
bool IsUriByte(char aByte)
{
  constexpr std::string_view kPunctuation = "-._~!$&'()*+,;=:@/?%";
  return absl::ascii_isalnum(static_cast<unsigned char>(aByte)) ||
         kPunctuation.find(aByte) != std::string_view::npos;
}

/// Decodes percent escapes. Empty if one is malformed.
std::optional<std::string> DecodeEscapes(std::string_view aText)
{
  constexpr size_t kDigits = 2;
  constexpr int kHex = 16;
  std::string result;
  for (size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] != '%') {
      result += aText[at];
      continue;
    }
    const auto digits = aText.substr(at + 1, kDigits);
    uint8_t byte = 0;
    const auto* end = digits.data() + digits.size();
    const auto [last, error] = std::from_chars(digits.data(), end, byte, kHex);
    if (digits.size() != kDigits || error != std::errc() || last != end) {
      return std::nullopt;
    }
    result += static_cast<char>(byte);
    at += kDigits;
  }
  return result;
}

/// Splits aText at the first aMark. The second part is empty without one.
std::pair<std::string_view, std::string_view> SplitAt(std::string_view aText,
                                                      char aMark)
{
  const auto at = aText.find(aMark);
  return at == std::string_view::npos
           ? std::pair(aText, std::string_view())
           : std::pair(aText.substr(0, at), aText.substr(at + 1));
}

/// Empty if the query is malformed or has an unknown parameter.
std::optional<std::map<std::string, std::string>> ParseQuery(
  std::string_view aQuery)
{
  static constexpr std::string_view kParameters[] = {
    "after", "serializable", "watch", "wait-ms", "revision",
  };
  std::map<std::string, std::string> query;
  while (!aQuery.empty()) {
    const auto [parameter, rest] = SplitAt(aQuery, '&');
    const auto [name, text] = SplitAt(parameter, '=');
    std::string form(text);
    std::ranges::replace(form, '+', ' ');
    const auto value = DecodeEscapes(form);
    const bool isKnown =
      std::ranges::find(kParameters, name) != std::end(kParameters);
    if (!value || !isKnown ||
        !query.try_emplace(std::string(name), *value).second) {
      return std::nullopt;
    }
    aQuery = rest;
  }
  return query;
}

std::string ObjectText(const PlatformStore::Json& aJson)
{
  return aJson.dump(
    -1, ' ', false, PlatformStore::Json::error_handler_t::replace);
}

}

PlatformStore::PlatformStore(EventLoop& aLoop, PageLimits aPages)
  : loop_(aLoop)
  , pages_(aPages)
  , delayed_(aLoop)
  , watchTimer_(aLoop, [this] { RespondToWatches(); })
  , server_(aLoop, [this](auto& aExchange) { Serve(aExchange); })
{
}

std::string PlatformStore::Item(const std::string& aKind,
                                const std::string& aName) const
{
  const auto& object = objects_.at(aKind).at(aName);
  return object.text_.empty()
           ? ObjectText(
               { { "metadata",
                   { { "name", aName }, { "revision", object.revision_ } } },
                 { "spec", object.spec_ },
                 { "status", object.status_ } })
           : object.text_;
}

void PlatformStore::AddEvent(const std::string& aKind,
                             const std::string& aItem,
                             bool aRemoved)
{
  history_.push_back({ revision_,
                       aKind,
                       Concat(R"({"object":)",
                              aItem,
                              R"(,"removed":)",
                              aRemoved ? "true" : "false",
                              "}") });
  if (history_.size() > kMaxHistory) {
    oldestRevision_ = history_.front().revision_;
    history_.pop_front();
  }
  RespondToWatches();
}

void PlatformStore::Store(const std::string& aKind,
                          const std::string& aName,
                          Object aObject)
{
  aObject.revision_ = ++revision_;
  objects_[aKind][aName] = aObject;
  changes_.push_back(
    { loop_.NowMs(), revision_, aKind, aName, std::move(aObject) });
  AddEvent(aKind, Item(aKind, aName), false);
}

void PlatformStore::Put(const std::string& aKind,
                        const std::string& aName,
                        const Json& aSpec,
                        const Json& aStatus)
{
  Store(aKind, aName, { 0, aSpec, aStatus, {} });
}

void PlatformStore::PutText(const std::string& aKind,
                            const std::string& aName,
                            std::string aText)
{
  Store(aKind, aName, { 0, nullptr, nullptr, std::move(aText) });
}

void PlatformStore::Remove(const std::string& aKind, const std::string& aName)
{
  if (!objects_[aKind].contains(aName)) {
    return;
  }
  objects_[aKind][aName].revision_ = ++revision_;
  const auto item = Item(aKind, aName);
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
  const auto target = ParseTarget(aExchange.head_.target_);
  if (!target) {
    ++refused_;
    aExchange.write_(StoreResponse(400, "{}"));
  } else if (target->query_.contains("watch")) {
    StartWatch(aExchange, *target);
  } else if (aExchange.head_.method_ != "GET") {
    Send(aExchange,
         Write(aExchange.head_.method_,
               target->kind_,
               target->name_,
               Json::parse(aExchange.body_)));
  } else if (!target->name_.empty()) {
    Send(aExchange, Read(target->kind_, target->name_));
  } else {
    ++pagesServed_;
    const auto after = target->query_.find("after");
    Send(
      aExchange,
      List(target->kind_, after == target->query_.end() ? "" : after->second));
  }
}

std::optional<int64_t> PlatformStore::Target::Number(
  const std::string& aParameter) const
{
  const auto found = query_.find(aParameter);
  int64_t number = 0;
  return found != query_.end() && ParseNumber(found->second, number)
           ? std::optional(number)
           : std::nullopt;
}

std::optional<PlatformStore::Target> PlatformStore::ParseTarget(
  std::string_view aTarget)
{
  if (!aTarget.starts_with(kPathPrefix) ||
      !std::ranges::all_of(aTarget, IsUriByte)) {
    return std::nullopt;
  }
  const auto [path, queryText] =
    SplitAt(aTarget.substr(kPathPrefix.size()), '?');
  const auto [kindText, nameText] = SplitAt(path, '/');
  const auto kind = DecodeEscapes(kindText);
  const auto name = DecodeEscapes(nameText);
  const auto query = ParseQuery(queryText);
  if (!kind || kind->empty() || !name || !query ||
      nameText.find('/') != std::string_view::npos) {
    return std::nullopt;
  }
  return Target{ *kind, *name, *query };
}

void PlatformStore::Send(const ScriptedServer::Exchange& aExchange,
                         const Reply& aReply)
{
  if (faultMode_ == StoreFaultMode::LosesAnswers) {
    return;
  }
  const auto text = StoreResponse(aReply.status_, aReply.body_);
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
  const bool exists = kind != objects_.end() && kind->second.contains(aName);
  return exists ? Reply{ 200, Item(aKind, aName) } : Reply{ 404, "{}" };
}

PlatformStore::Reply PlatformStore::List(const std::string& aKind,
                                         const std::string& aAfter) const
{
  std::string items;
  size_t count = 0;
  bool hasMore = false;
  if (const auto kind = objects_.find(aKind); kind != objects_.end()) {
    for (auto next = kind->second.upper_bound(aAfter);
         next != kind->second.end() && !hasMore;
         ++next) {
      const auto item = Item(aKind, next->first);
      hasMore = count > 0 && (count >= pages_.objects_ ||
                              items.size() + item.size() > pages_.bytes_);
      if (!hasMore) {
        AppendTo(items, count++ == 0 ? "" : ",", item);
      }
    }
  }
  return { 200,
           Concat(R"({"items":[)",
                  items,
                  R"(],"has-more":)",
                  hasMore ? "true" : "false",
                  R"(,"at":)",
                  revision_,
                  "}") };
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
    return { 404, "{}" };
  }
  if (!exists || objects_[aKind][name].spec_ != aBody.at("spec")) {
    Put(aKind, name, aBody.at("spec"));
  }
  return { 200, Item(aKind, name) };
}

void PlatformStore::StartWatch(const ScriptedServer::Exchange& aExchange,
                               const Target& aTarget)
{
  const auto revision = aTarget.Number("watch").value_or(-1);
  if (revision < oldestRevision_ || revision > revision_) {
    Send(aExchange, { 410, "{}" });
    return;
  }
  const auto waitMs =
    std::max<TimeMs>(0, aTarget.Number("wait-ms").value_or(0));
  watches_.push_back(
    { aExchange, aTarget.kind_, revision, loop_.NowMs() + waitMs });
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
  std::string events;
  for (const auto& event : history_) {
    if (event.kind_ == aWatch.kind_ && event.revision_ > aWatch.revision_) {
      AppendTo(events, events.empty() ? "" : ",", event.text_);
    }
  }
  aWatch.exchange_.write_(StoreResponse(
    200, Concat(R"({"events":[)", events, R"(],"at":)", revision_, "}")));
}

}
