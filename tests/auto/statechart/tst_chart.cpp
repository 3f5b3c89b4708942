#include "statechart/state_machine.h"

#include "gtest/gtest.h"

namespace camphorsaddle::statechart {

namespace {

    constexpr absl::string_view door = R"({
        "name": "door", "initial": "closed", "final": ["removed"],
        "states": {
            "closed": [ { "event": "open", "guard": "unlocked", "actions": ["ring", "ring"], "target": "opened" },
                        { "event": "remove", "target": "removed" } ],
            "opened": [ { "event": "close", "target": "closed" } ]
        } })";

    struct door_context {
        bool unlocked = false;
        int rings = 0;
    };

    chart_functions<door_context> doorFunctions()
    {
        return { .guards = { { "unlocked", [](const door_context& context) {
                                  return context.unlocked;
                              } } },
            .actions = { { "ring", [](door_context& context) {
                              ++context.rings;
                          } } } };
    }

    TEST(state_machine, TakesDeclaredTransitionsAndRefusesOthers)
    {
        const auto definition = parseChart(door, "door.json");
        ASSERT_TRUE(definition.ok()) << definition.status();
        const auto bound = bound_chart<door_context>::bind(*definition, doorFunctions());
        ASSERT_TRUE(bound.ok());
        const auto open = *findEvent(*definition, "open");
        state_machine<door_context> instance(*bound);
        door_context context;
        EXPECT_TRUE(absl::IsFailedPrecondition(instance.fire(open, context)));
        EXPECT_EQ(instance.stateName(), "closed");
        context.unlocked = true;
        EXPECT_TRUE(instance.fire(open, context).ok());
        EXPECT_EQ(instance.stateName(), "opened");
        EXPECT_EQ(context.rings, 2);
        EXPECT_TRUE(absl::IsFailedPrecondition(instance.fire(open, context)));
        EXPECT_TRUE(instance.fire(*findEvent(*definition, "close"), context).ok());
        EXPECT_TRUE(instance.fire(*findEvent(*definition, "remove"), context).ok());
        EXPECT_TRUE(instance.isFinal());
    }

    TEST(bound_chart, RefusesNamesWithoutFunctions)
    {
        auto functions = doorFunctions();
        functions.guards.clear();
        EXPECT_TRUE(absl::IsInvalidArgument(bound_chart<door_context>::bind(*parseChart(door, "door.json"), functions).status()));
        functions = doorFunctions();
        functions.actions.clear();
        EXPECT_TRUE(absl::IsInvalidArgument(bound_chart<door_context>::bind(*parseChart(door, "door.json"), functions).status()));
    }

    struct invalid_chart_case {
        std::string name;
        std::string text;
        std::string cause;
    };

    class invalid_chart : public testing::TestWithParam<invalid_chart_case> { };

    TEST_P(invalid_chart, IsRefusedWithFileAndCause)
    {
        const auto result = parseChart(GetParam().text, "wrong.json");
        ASSERT_FALSE(result.ok());
        EXPECT_EQ(utils::errorPeer(result.status()), "wrong.json");
        EXPECT_NE(result.status().message().find(GetParam().cause), std::string::npos) << result.status();
    }

    INSTANTIATE_TEST_SUITE_P(files, invalid_chart,
        testing::Values(
            invalid_chart_case { "invalid_json", "{", "parse error" },
            invalid_chart_case { "no_initial", R"({"name":"x","final":["a"],"states":{}})", "initial" },
            invalid_chart_case { "undeclared_initial", R"({"name":"x","initial":"b","final":["a"],"states":{}})", "state b is not declared" },
            invalid_chart_case { "undeclared_target", R"({"name":"x","initial":"a","final":[],"states":{"a":[{"event":"e","target":"b"}]}})", "state b is not declared" },
            invalid_chart_case { "unreachable", R"({"name":"x","initial":"a","final":["b"],"states":{"a":[{"event":"e","target":"a"}]}})", "state b is not reachable" },
            invalid_chart_case { "dead_end", R"({"name":"x","initial":"a","final":[],"states":{"a":[]}})", "has no transitions" },
            invalid_chart_case { "declared_twice", R"({"name":"x","initial":"a","final":["a"],"states":{"a":[{"event":"e","target":"a"}]}})", "declared twice" },
            invalid_chart_case { "unknown_field", R"({"name":"x","initial":"a","final":[],"states":{"a":[{"event":"e","gard":"g","target":"a"}]}})", "unknown field gard" }),
        [](const auto& info) { return info.param.name; });

    class embedded_chart : public testing::TestWithParam<const char*> { };

    TEST_P(embedded_chart, IsValid)
    {
        const auto result = embeddedChart(GetParam());
        ASSERT_TRUE(result.ok()) << result.status();
        EXPECT_EQ(result->name, GetParam());
    }

    INSTANTIATE_TEST_SUITE_P(charts, embedded_chart, testing::Values("request", "task"));

    TEST(embedded_chart_lookup, RefusesUnknownNames)
    {
        EXPECT_TRUE(absl::IsNotFound(embeddedChart("none").status()));
    }

} // namespace

} // namespace camphorsaddle::statechart
