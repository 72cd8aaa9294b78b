#include "common/JsonText.hpp"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

// Guards against documents that exhaust the stack or have no value in range.
TEST(JsonText, RejectsDeepNestingAndNumbersOutOfRange)
{
  const auto nested = [](size_t aDepth) {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  };
  EXPECT_TRUE(ParseJson(nested(kMaxJsonDepth)));
  EXPECT_FALSE(ParseJson(nested(kMaxJsonDepth + 1)));
  EXPECT_FALSE(ParseJson(nested(500000)));
  EXPECT_FALSE(ParseJson(R"({"a": 1e999})"));
  EXPECT_FALSE(ParseJson(R"({"a": 1)"));
  EXPECT_FALSE(ParseJson("\"\xff\""));
  EXPECT_TRUE(ParseJson(R"({"a": "[[[\"]"})"));
}

// Guards against sequences that a JSON writer rejects but the check accepts.
TEST(JsonText, KnowsUtf8)
{
  for (const char* text : { "", "abc", "\xc3\xbc", "\xf0\x9f\x8c\xb5" }) {
    EXPECT_TRUE(IsUtf8(text)) << text;
  }
  for (const char* text : { "\xff", "\xc3", "a\xc0\xaf", "\xed\xa0\x80" }) {
    EXPECT_FALSE(IsUtf8(text)) << text;
  }
}

// Guards against an unreadable member that hides its neighbours.
TEST(JsonText, SplitsAroundUnreadableMembers)
{
  const auto members =
    SplitJsonObject(R"( { "a" : [1, {"x": "},"}] , "b":1e999,"c\"d": "e" } )");
  ASSERT_TRUE(members);
  ASSERT_EQ(members->size(), 3U);
  EXPECT_EQ((*members)[0].key_, "a");
  EXPECT_EQ((*members)[0].value_, R"([1, {"x": "},"}])");
  EXPECT_EQ((*members)[1].value_, "1e999");
  EXPECT_EQ((*members)[2].key_, "c\\\"d");
  EXPECT_TRUE(SplitJsonObject("{}")->empty());
  EXPECT_TRUE(SplitJsonArray(" [ ] ")->empty());
  EXPECT_EQ(SplitJsonArray("[1, [2, 3], {}]")->size(), 3U);
  for (const char* text :
       { "", "1", "{", "[1", "{1}", "{\"a\"}", "[\"]", "][" }) {
    EXPECT_FALSE(SplitJsonObject(text)) << text;
  }
}

// Guards against a writer that ends the process because a string that came
// from elsewhere is no UTF-8, and against text that is changed on the way.
RC_GTEST_PROP(JsonTextProperty, AnyBytesCanBeWritten, ())
{
  const auto bytes = *rc::gen::container<std::string>(
    rc::gen::cast<char>(rc::gen::inRange(0, 256)));
  const auto text = WriteJson({ { "name", bytes }, { bytes, 1 } });
  const auto json = ParseJson(text);
  RC_ASSERT(json);
  RC_ASSERT((json->at("name") == bytes) == IsUtf8(bytes));
}

// Guards against a split that differs from what the library parses.
RC_GTEST_PROP(JsonTextProperty, PartsAreThoseOfTheLibrary, ())
{
  nlohmann::json array = nlohmann::json::array();
  nlohmann::json object = nlohmann::json::object();
  for (const auto& text : *rc::gen::arbitrary<std::vector<std::string>>()) {
    const nlohmann::json value = { { "v", text.size() }, { "w", { 1, "}," } } };
    array.push_back(value);
    object[std::to_string(object.size())] = value;
  }
  // The parts refer to the text.
  const auto arrayText = array.dump();
  const auto objectText = object.dump(2);
  const auto elements = SplitJsonArray(arrayText);
  RC_ASSERT(elements && elements->size() == array.size());
  for (size_t index = 0; index < array.size(); ++index) {
    RC_ASSERT(ParseJson((*elements)[index]).value() == array[index]);
  }
  const auto members = SplitJsonObject(objectText);
  RC_ASSERT(members && members->size() == object.size());
  for (const auto& member : *members) {
    RC_ASSERT(ParseJson(member.value_).value() ==
              object.at(std::string(member.key_)));
  }
}

// Guards against reading past the end of arbitrary bytes.
RC_GTEST_PROP(JsonTextProperty,
              SurvivesArbitraryBytes,
              (const std::string& aText))
{
  ParseJson(aText);
  SplitJsonArray("[" + aText + "]");
  SplitJsonObject("{" + aText + "}");
}

}
}
