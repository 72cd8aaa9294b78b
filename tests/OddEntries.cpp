#include "tests/OddEntries.hpp"

#include "common/Strings.hpp"

#include <absl/strings/str_replace.h>

namespace cactuspitch {

std::vector<OddEntry> OddNames()
{
  return {
    { "a&b", {} },  { "a+b", {} },       { "a#b", {} },
    { "a%b", {} },  { "a b", {} },       { "a/b", {} },
    { "a?b", {} },  { "a=b", {} },       { "a%41b", {} },
    { "a\"b", {} }, { "a\\b", {} },      { "a\r\nX: y", {} },
    { "\r\n", {} }, { "&", {} },         { "\xc3\xa9t\xc3\xa9", {} },
    { "/", {} },    { "a&after=z", {} }, { "a&after=z&watch=1", {} },
  };
}

std::vector<OddEntry> OddMetadata()
{
  return {
    { "a1", R"({"spec":{}})" },
    { "a2", R"({"metadata":null,"spec":{}})" },
    { "a3", R"({"metadata":{"revision":@}})" },
    { "a4", R"({"metadata":{"name":7,"revision":@}})" },
    { "a5", R"({"metadata":{"name":"$"}})" },
    { "a6", R"({"metadata":{"name":"$","revision":"seven"}})" },
    { "a7", "{\"metadata\":{\"name\":\"$\xff\",\"revision\":@}}" },
    { "a8",
      "{\"metadata\":{\"name\":\"$\",\"revision\":@,\"created-at\":\"\xff\"},"
      "\"spec\":{}}" },
    { "a9", "7" },
  };
}

std::vector<OddEntry> OddContent()
{
  const auto entry = [](const char* aName, const std::string& aSpec) {
    return OddEntry{
      aName,
      Concat(R"({"metadata":{"name":"$","revision":@},"spec":)", aSpec, "}")
    };
  };
  constexpr size_t kDeep = 100000;
  constexpr size_t kLarge = 1000000;
  return {
    entry("a1", "null"),
    entry("a2", "1e999"),
    entry("a3", "\"\xff\""),
    entry("a4", std::string(kDeep, '[') + std::string(kDeep, ']')),
    entry("a5", Concat("\"", std::string(kLarge, 'x'), "\"")),
    entry("a6",
          R"({"address":7,"info":[],"status":"?","peer":{},"version":1})"),
  };
}

std::string PutOddEntry(PlatformStore& aStore,
                        const std::string& aKind,
                        const std::string& aPrefix,
                        const OddEntry& aEntry)
{
  auto name = Concat(aPrefix, aEntry.name_);
  if (aEntry.text_.empty()) {
    aStore.Put(aKind, name, { { "note", "of another writer" } });
  } else {
    aStore.PutText(
      aKind,
      name,
      absl::StrReplaceAll(
        aEntry.text_,
        { { "$", name }, { "@", Concat(aStore.Revision() + 1) } }));
  }
  return name;
}

}
