#include "support/story.h"

#include "text/objectreader.h"
#include "text/parse.h"

using namespace figpulley;

Test(text, parse)
{
    tests::Story story;
    text::Problems problems;
    story.section("a file with comments and trailing commas is parsed", [&] {
        const auto root =
            text::parse("a.json", "// head\n{ \"a\": [1, 2.5e1, /* mid */ -3,], \"b\": {\"c\": \"\\u00e9\\n\"}, }\n", problems);
        cr_assert(root.has_value(), "the file is rejected: %s", problems.empty() ? "" : text::describe(problems.front()).c_str());
        story.section("values are decoded", [&] {
            const auto &numbers = *root->find("a")->as<text::Array>();
            story.equal(numbers.size(), 3U, "an array of three numbers");
            story.equal(*numbers[1].as<double>(), 25.0, "2.5e1 to be parsed as 25");
            story.equal(*root->find("b")->find("c")->as<std::string>(), std::string("\xc3\xa9\n"), "the escapes of a string to be decoded");
        });
        story.section("values have their positions", [&] {
            story.equal(root->find("b")->position(), (text::Position {2, 40}), "line 2, column 40 for the value of \"b\"");
        });
    });
    story.section("a syntax error is reported once, at its position", [&] {
        const auto expectRejected = [&](const std::string &source, text::Position position) {
            problems.clear();
            const auto root = text::parse("b.json", source, problems);
            story.check(!root && problems.size() == 1 && problems.front().position == position,
                        "one error at the position of the defect in " + source);
        };
        expectRejected("{\"a\" 1}", {1, 6});
        expectRejected("{\"a\": 1", {1, 8});
        expectRejected("[1, 2", {1, 6});
        expectRejected("{\"a\": tru}", {1, 7});
        expectRejected("{\"a\": 1, \"a\": 2}", {1, 10});
        expectRejected("{\"a\": \"x\n\"}", {1, 9});
        expectRejected("{} x", {1, 4});
        expectRejected("{\"a\": 01}", {1, 7});
        expectRejected("/* open", {1, 8});
        expectRejected(std::string(100, '['), {1, 65});
    });
}

Test(text, parse_never_crashes)
{
    tests::holds("arbitrary bytes are either parsed or reported as an error", [](const std::string &source) {
        text::Problems problems;
        const auto root = text::parse("fuzz", source, problems);
        RC_ASSERT(root.has_value() == problems.empty());
    });
    tests::holds("a mutated valid file is either parsed or reported as an error", [] {
        std::string source = R"({"kind": "overload-policy", "services": {"a": {"limit": "aimd"}}, "x": [1, true, null, "\u0041"]})";
        const auto edits = *rc::gen::inRange(1, 6);
        for (int edit = 0; edit < edits; ++edit) {
            source[*rc::gen::inRange<std::size_t>(0, source.size())] = *rc::gen::arbitrary<char>();
        }
        text::Problems problems;
        const auto root = text::parse("fuzz", source, problems);
        RC_ASSERT(root.has_value() == problems.empty());
    });
}

Test(text, closest_name)
{
    tests::Story story;
    story.section("a suggestion for a misspelt key", [&] {
        story.equal(text::findClosest("limit_inital", {"limit_initial", "limit_minimum", "queue_ms"}), "limit_initial",
                    "the known key with the smallest edit distance");
        story.equal(text::findClosest("zzzzzzzzzzzz", {"a", "queue_ms"}), "", "no suggestion when no key is similar");
    });
}
