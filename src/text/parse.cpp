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
inline constexpr const char *expected = nullptr;
template<>
inline constexpr auto expected<StringEnd> = "the string is not closed, or holds a control character";
template<>
inline constexpr auto expected<StringContent> = "the string is malformed";
template<>
inline constexpr auto expected<pegtl::sor<SimpleEscape, UnicodeEscape>> = "unknown escape in a string";
template<>
inline constexpr auto expected<pegtl::until<pegtl::string<'*', '/'>>> = "the comment is not closed";
template<>
inline constexpr auto expected<ArrayItems> = "expected an array item";
template<>
inline constexpr auto expected<ArrayEnd> = "expected ',' or ']' in the array";
template<>
inline constexpr auto expected<ObjectMembers> = "expected an object member";
template<>
inline constexpr auto expected<ObjectEnd> = "expected ',' or '}' in the object";
template<>
inline constexpr auto expected<Colon> = "expected ':' after the key";
template<>
inline constexpr auto expected<Space> = "expected white space";
template<>
inline constexpr auto expected<MemberValue> = "expected a value";
template<>
inline constexpr auto expected<Root> = "expected a value";
template<>
inline constexpr auto expected<pegtl::eof> = "unexpected text after the end of the document";

// A rule with a message never fails quietly: its failure ends the parse.
struct Messages
{
    template<class Rule>
    static constexpr auto message = expected<Rule>;
};

template<class Rule>
using Control = pegtl::must_if<Messages, pegtl::normal, false>::control<Rule>;
} // namespace grammar

namespace
{
// An array or object that is still open while the parser runs.
struct Frame
{
    Position position;
    Array items;
    Object members;
    std::string key;
    Position keyPosition;
    bool isObject = false;
};

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
                this->problems.push_back({this->file, this->stringPosition, fmt::format("the key \"{}\" stands twice", this->string)});
            }
        }
        frame.key = std::move(this->string);
        frame.keyPosition = this->stringPosition;
    }
};

template<class Input>
Position positionOf(const Input &input)
{
    const auto place = input.position();
    return {static_cast<std::uint32_t>(place.line), static_cast<std::uint32_t>(place.column)};
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
    if (builder.frames.size() >= static_cast<std::size_t>(maximumDepth)) {
        throw pegtl::parse_error(fmt::format("nested deeper than {} levels", maximumDepth), input);
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

// Appends the character behind `\uXXXX` (and its low surrogate) and returns the number of bytes consumed after the 'u'.
template<class Input>
std::size_t appendUnicode(std::string &out, const char *at, const char *end, const Input &input)
{
    auto code = readHex4(at);
    std::size_t used = hexDigits;
    const bool hasNext = end - at >= static_cast<std::ptrdiff_t>(2 * hexDigits + 2) && at[hexDigits] == '\\' && at[hexDigits + 1] == 'u';
    if (code >= highSurrogateFirst && code < lowSurrogateFirst && hasNext) {
        const auto low = readHex4(at + hexDigits + 2);
        if (low >= lowSurrogateFirst && low < surrogateEnd) {
            code = supplementaryFirst + ((code - highSurrogateFirst) << surrogateBits) + (low - lowSurrogateFirst);
            used += hexDigits + 2;
        }
    }
    if (!pegtl::unescape::utf8_append_utf32(out, code)) {
        throw pegtl::parse_error("unpaired surrogate in a string", input);
    }
    return used;
}

template<class Input>
void Action<grammar::StringContent>::apply(const Input &input, Builder &builder)
{
    builder.string.clear();
    for (const char *at = input.begin(); at != input.end(); ++at) {
        if (*at != '\\') {
            builder.string += *at;
            continue;
        }
        ++at;
        switch (*at) {
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
            at += appendUnicode(builder.string, at + 1, input.end(), input);
            break;
        default:
            builder.string += *at;
        }
    }
}
} // namespace

std::optional<Value> parse(const std::string &file, std::string_view source, Problems &problems)
{
    const auto before = problems.size();
    Builder builder {file, problems, {}, {}, {}, {}};
    pegtl::memory_input input(source.data(), source.size(), file);
    try {
        pegtl::parse<grammar::Text, Action, grammar::Control>(input, builder);
    } catch (const pegtl::parse_error &error) {
        const auto &place = error.positions().front();
        const Position position {static_cast<std::uint32_t>(place.line), static_cast<std::uint32_t>(place.column)};
        problems.push_back({file, position, std::string(error.message())});
    }
    if (problems.size() != before) {
        return std::nullopt;
    }
    return std::move(builder.root);
}
} // namespace figpulley::text
