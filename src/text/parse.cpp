#include "text/parse.h"

#include <charconv>

#include <fmt/format.h>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/unescape.hpp>

namespace figpulley::text
{
namespace pegtl = tao::pegtl;

namespace grammar
{
struct LineComment : pegtl::seq<pegtl::two<'/'>, pegtl::until<pegtl::eolf>>
{
};
struct BlockComment : pegtl::if_must<pegtl::string<'/', '*'>, pegtl::until<pegtl::string<'*', '/'>>>
{
};
struct Space : pegtl::star<pegtl::sor<pegtl::one<' ', '\t', '\n', '\r'>, LineComment, BlockComment>>
{
};

struct Null : pegtl::keyword<'n', 'u', 'l', 'l'>
{
};
struct True : pegtl::keyword<'t', 'r', 'u', 'e'>
{
};
struct False : pegtl::keyword<'f', 'a', 'l', 's', 'e'>
{
};
struct Digits : pegtl::plus<pegtl::digit>
{
};
struct Exponent : pegtl::seq<pegtl::one<'e', 'E'>, pegtl::opt<pegtl::one<'+', '-'>>, Digits>
{
};
struct Fraction : pegtl::seq<pegtl::one<'.'>, Digits>
{
};
struct Number
    : pegtl::seq<pegtl::opt<pegtl::one<'-'>>, pegtl::sor<pegtl::one<'0'>, pegtl::seq<pegtl::range<'1', '9'>, pegtl::star<pegtl::digit>>>,
                 pegtl::opt<Fraction>, pegtl::opt<Exponent>, pegtl::not_at<pegtl::identifier_other>>
{
};

struct Hex4 : pegtl::rep<4, pegtl::xdigit>
{
};
struct UnicodeEscape : pegtl::list<pegtl::seq<pegtl::one<'u'>, Hex4>, pegtl::one<'\\'>>
{
};
struct SimpleEscape : pegtl::one<'"', '\\', '/', 'b', 'f', 'n', 'r', 't'>
{
};
struct Escape : pegtl::if_must<pegtl::one<'\\'>, pegtl::sor<SimpleEscape, UnicodeEscape>>
{
};
struct Plain : pegtl::utf8::not_range<0, 0x1F>
{
};
struct Character : pegtl::sor<Escape, pegtl::seq<pegtl::not_at<pegtl::one<'"'>>, Plain>>
{
};
struct StringEnd : pegtl::one<'"'>
{
};
struct StringContent : pegtl::star<Character>
{
};
struct StringBegin : pegtl::one<'"'>
{
};
struct String : pegtl::if_must<StringBegin, StringContent, StringEnd>
{
};
struct Key : pegtl::if_must<StringBegin, StringContent, StringEnd>
{
};

struct AnyValue;
struct ArrayBegin : pegtl::one<'['>
{
};
struct ArrayEnd : pegtl::one<']'>
{
};
struct Comma : pegtl::one<','>
{
};
struct ArrayItems
    : pegtl::opt<
          pegtl::list_tail<pegtl::seq<AnyValue, Space>, Comma, pegtl::sor<pegtl::one<' ', '\t', '\n', '\r'>, LineComment, BlockComment>>>
{
};
struct ArrayRule : pegtl::if_must<ArrayBegin, Space, ArrayItems, Space, ArrayEnd>
{
};
struct Colon : pegtl::one<':'>
{
};
struct MemberValue : pegtl::sor<AnyValue>
{
};
struct MemberRule : pegtl::if_must<Key, Space, Colon, Space, MemberValue, Space>
{
};
struct ObjectBegin : pegtl::one<'{'>
{
};
struct ObjectEnd : pegtl::one<'}'>
{
};
struct ObjectMembers
    : pegtl::opt<pegtl::list_tail<MemberRule, Comma, pegtl::sor<pegtl::one<' ', '\t', '\n', '\r'>, LineComment, BlockComment>>>
{
};
struct ObjectRule : pegtl::if_must<ObjectBegin, Space, ObjectMembers, Space, ObjectEnd>
{
};
struct AnyValue : pegtl::sor<String, Number, ObjectRule, ArrayRule, Null, True, False>
{
};
struct Root : pegtl::sor<AnyValue>
{
};
struct End : pegtl::must<pegtl::eof>
{
};
struct Text : pegtl::seq<Space, Root, Space, End>
{
};

template<class Rule>
inline constexpr const char *errorMessage = nullptr;
template<>
inline constexpr auto errorMessage<StringEnd> = "the string is not terminated or contains a control character";
template<>
inline constexpr auto errorMessage<StringContent> = "the string is malformed";
template<>
inline constexpr auto errorMessage<pegtl::sor<SimpleEscape, UnicodeEscape>> = "unknown escape sequence in a string";
template<>
inline constexpr auto errorMessage<pegtl::until<pegtl::string<'*', '/'>>> = "the comment is not terminated";
template<>
inline constexpr auto errorMessage<ArrayItems> = "expected an array item";
template<>
inline constexpr auto errorMessage<ArrayEnd> = "expected ',' or ']' in the array";
template<>
inline constexpr auto errorMessage<ObjectMembers> = "expected an object member";
template<>
inline constexpr auto errorMessage<ObjectEnd> = "expected ',' or '}' in the object";
template<>
inline constexpr auto errorMessage<Colon> = "expected ':' after the key";
template<>
inline constexpr auto errorMessage<Space> = "expected white space";
template<>
inline constexpr auto errorMessage<MemberValue> = "expected a value";
template<>
inline constexpr auto errorMessage<Root> = "expected a value";
template<>
inline constexpr auto errorMessage<pegtl::eof> = "unexpected text after the root value";

// Supplies the error messages to PEGTL. A rule with a message raises a parse error instead of backtracking.
struct ErrorMessages
{
    template<class Rule>
    static constexpr auto message = errorMessage<Rule>;
};

template<class Rule>
using Control = pegtl::must_if<ErrorMessages, pegtl::normal, false>::control<Rule>;
} // namespace grammar

namespace
{
// An array or object whose closing bracket has not been parsed yet.
struct Frame
{
    Position position;
    Array items;
    Object members;
    std::string key;
    Position keyPosition;
    bool isObject = false;
};

// Builds the tree of values from the actions of the grammar.
struct Builder
{
    std::string file;
    Problems &problems;
    std::vector<Frame> frames;
    std::string string;
    Position stringPosition;
    std::optional<Value> root;

    void add(Value value)
    {
        if (this->frames.empty()) {
            this->root = std::move(value);
            return;
        }
        auto &frame = this->frames.back();
        if (frame.isObject) {
            frame.members.push_back({std::move(frame.key), frame.keyPosition, std::move(value)});
        } else {
            frame.items.push_back(std::move(value));
        }
    }

    void setKey()
    {
        auto &frame = this->frames.back();
        for (const auto &member : frame.members) {
            if (member.key == this->string) {
                this->problems.push_back({this->file, this->stringPosition, fmt::format("duplicate key \"{}\"", this->string)});
            }
        }
        frame.key = std::move(this->string);
        frame.keyPosition = this->stringPosition;
    }
};

template<class Input>
Position positionOf(const Input &input)
{
    const auto position = input.position();
    return {static_cast<std::uint32_t>(position.line), static_cast<std::uint32_t>(position.column)};
}

template<class Rule>
struct Action : pegtl::nothing<Rule>
{
};

template<>
struct Action<grammar::StringBegin>
{
    template<class Input>
    static void apply(const Input &input, Builder &builder)
    {
        builder.string.clear();
        builder.stringPosition = positionOf(input);
    }
};
template<>
struct Action<grammar::Plain> : pegtl::nothing<grammar::Plain>
{
};
template<>
struct Action<grammar::StringContent>
{
    template<class Input>
    static void apply(const Input &input, Builder &builder);
};
template<>
struct Action<grammar::String>
{
    template<class Input>
    static void apply(const Input & /*input*/, Builder &builder)
    {
        builder.add(Value(builder.stringPosition, std::move(builder.string)));
    }
};
template<>
struct Action<grammar::Key>
{
    template<class Input>
    static void apply(const Input & /*input*/, Builder &builder)
    {
        builder.setKey();
    }
};
template<>
struct Action<grammar::Number>
{
    template<class Input>
    static void apply(const Input &input, Builder &builder)
    {
        double number = 0;
        const auto result = std::from_chars(input.begin(), input.end(), number);
        if (result.ec != std::errc {}) {
            builder.problems.push_back({builder.file, positionOf(input), "the number is out of range"});
        }
        builder.add(Value(positionOf(input), number));
    }
};
template<>
struct Action<grammar::True>
{
    template<class Input>
    static void apply(const Input &input, Builder &builder)
    {
        builder.add(Value(positionOf(input), true));
    }
};
template<>
struct Action<grammar::False>
{
    template<class Input>
    static void apply(const Input &input, Builder &builder)
    {
        builder.add(Value(positionOf(input), false));
    }
};
template<>
struct Action<grammar::Null>
{
    template<class Input>
    static void apply(const Input &input, Builder &builder)
    {
        builder.add(Value(positionOf(input), std::monostate {}));
    }
};

template<class Input>
void openFrame(const Input &input, Builder &builder, bool isObject)
{
    if (builder.frames.size() >= static_cast<std::size_t>(maxNestingDepth)) {
        throw pegtl::parse_error(fmt::format("arrays and objects are nested deeper than {} levels", maxNestingDepth), input);
    }
    Frame frame;
    frame.position = positionOf(input);
    frame.isObject = isObject;
    builder.frames.push_back(std::move(frame));
}
template<>
struct Action<grammar::ArrayBegin>
{
    template<class Input>
    static void apply(const Input &input, Builder &builder)
    {
        openFrame(input, builder, false);
    }
};
template<>
struct Action<grammar::ObjectBegin>
{
    template<class Input>
    static void apply(const Input &input, Builder &builder)
    {
        openFrame(input, builder, true);
    }
};
template<>
struct Action<grammar::ArrayEnd>
{
    template<class Input>
    static void apply(const Input & /*input*/, Builder &builder)
    {
        auto frame = std::move(builder.frames.back());
        builder.frames.pop_back();
        builder.add(Value(frame.position, std::move(frame.items)));
    }
};
template<>
struct Action<grammar::ObjectEnd>
{
    template<class Input>
    static void apply(const Input & /*input*/, Builder &builder)
    {
        auto frame = std::move(builder.frames.back());
        builder.frames.pop_back();
        builder.add(Value(frame.position, std::move(frame.members)));
    }
};

constexpr std::uint32_t highSurrogateFirst = 0xD800;
constexpr std::uint32_t lowSurrogateFirst = 0xDC00;
constexpr std::uint32_t surrogateEnd = 0xE000;
constexpr std::uint32_t supplementaryFirst = 0x10000;
constexpr unsigned surrogateBits = 10;
constexpr std::size_t hexDigits = 4;

std::uint32_t readHex4(const char *text) noexcept
{
    constexpr int hexadecimal = 16;
    std::uint32_t code = 0;
    std::from_chars(text, text + hexDigits, code, hexadecimal);
    return code;
}

// Decodes a `\uXXXX` escape, together with the escape of its low surrogate, and appends the character as UTF-8.
// Returns the number of bytes consumed after the 'u'.
template<class Input>
std::size_t appendUnicode(std::string &out, const char *cursor, const char *end, const Input &input)
{
    auto code = readHex4(cursor);
    std::size_t consumed = hexDigits;
    const bool hasSecondEscape =
        end - cursor >= static_cast<std::ptrdiff_t>(2 * hexDigits + 2) && cursor[hexDigits] == '\\' && cursor[hexDigits + 1] == 'u';
    if (code >= highSurrogateFirst && code < lowSurrogateFirst && hasSecondEscape) {
        const auto low = readHex4(cursor + hexDigits + 2);
        if (low >= lowSurrogateFirst && low < surrogateEnd) {
            code = supplementaryFirst + ((code - highSurrogateFirst) << surrogateBits) + (low - lowSurrogateFirst);
            consumed += hexDigits + 2;
        }
    }
    if (!pegtl::unescape::utf8_append_utf32(out, code)) {
        throw pegtl::parse_error("unpaired surrogate in a string", input);
    }
    return consumed;
}

template<class Input>
void Action<grammar::StringContent>::apply(const Input &input, Builder &builder)
{
    builder.string.clear();
    for (const char *cursor = input.begin(); cursor != input.end(); ++cursor) {
        if (*cursor != '\\') {
            builder.string += *cursor;
            continue;
        }
        ++cursor;
        switch (*cursor) {
        case 'b':
            builder.string += '\b';
            break;
        case 'f':
            builder.string += '\f';
            break;
        case 'n':
            builder.string += '\n';
            break;
        case 'r':
            builder.string += '\r';
            break;
        case 't':
            builder.string += '\t';
            break;
        case 'u':
            cursor += appendUnicode(builder.string, cursor + 1, input.end(), input);
            break;
        default:
            builder.string += *cursor;
        }
    }
}
} // namespace

std::optional<Value> parse(const std::string &file, std::string_view source, Problems &problems)
{
    const auto earlierProblems = problems.size();
    Builder builder {file, problems, {}, {}, {}, {}};
    pegtl::memory_input input(source.data(), source.size(), file);
    try {
        pegtl::parse<grammar::Text, Action, grammar::Control>(input, builder);
    } catch (const pegtl::parse_error &error) {
        const auto &errorPosition = error.positions().front();
        const Position position {static_cast<std::uint32_t>(errorPosition.line), static_cast<std::uint32_t>(errorPosition.column)};
        problems.push_back({file, position, std::string(error.message())});
    }
    if (problems.size() != earlierProblems) {
        return std::nullopt;
    }
    return std::move(builder.root);
}
} // namespace figpulley::text
