#include "alerts/token.h"

#include <fmt/format.h>
#include <tao/pegtl.hpp>

namespace figpulley::alerts
{
namespace pegtl = tao::pegtl;

namespace grammar
{
struct Comment : pegtl::seq<pegtl::one<'#'>, pegtl::until<pegtl::eolf>>
{
};
struct Space : pegtl::sor<pegtl::space, Comment>
{
};
struct Unit : pegtl::sor<pegtl::string<'m', 's'>, pegtl::one<'y', 'w', 'd', 'h', 'm', 's'>>
{
};
struct Duration : pegtl::seq<pegtl::plus<pegtl::plus<pegtl::digit>, Unit>, pegtl::not_at<pegtl::identifier_other>>
{
};
struct Exponent : pegtl::seq<pegtl::one<'e', 'E'>, pegtl::opt<pegtl::one<'+', '-'>>, pegtl::plus<pegtl::digit>>
{
};
struct Hexadecimal : pegtl::seq<pegtl::one<'0'>, pegtl::one<'x', 'X'>, pegtl::plus<pegtl::xdigit>>
{
};
struct Decimal : pegtl::seq<pegtl::sor<pegtl::seq<pegtl::plus<pegtl::digit>, pegtl::opt<pegtl::one<'.'>, pegtl::star<pegtl::digit>>>,
                                       pegtl::seq<pegtl::one<'.'>, pegtl::plus<pegtl::digit>>>,
                            pegtl::opt<Exponent>>
{
};
struct Number : pegtl::seq<pegtl::sor<Hexadecimal, Decimal>, pegtl::not_at<pegtl::identifier_other>>
{
};
struct Identifier
    : pegtl::seq<pegtl::sor<pegtl::identifier_first, pegtl::one<':'>>, pegtl::star<pegtl::sor<pegtl::identifier_other, pegtl::one<':'>>>>
{
};
template<char Quote>
struct QuotedString
    : pegtl::seq<pegtl::one<Quote>, pegtl::star<pegtl::sor<pegtl::seq<pegtl::one<'\\'>, pegtl::any>, pegtl::not_one<Quote, '\\', '\n'>>>,
                 pegtl::one<Quote>>
{
};
struct RawString : pegtl::seq<pegtl::one<'`'>, pegtl::star<pegtl::not_one<'`'>>, pegtl::one<'`'>>
{
};
struct String : pegtl::sor<QuotedString<'"'>, QuotedString<'\''>, RawString>
{
};
struct TwoCharacterSymbol : pegtl::sor<pegtl::string<'=', '='>, pegtl::string<'!', '='>, pegtl::string<'<', '='>, pegtl::string<'>', '='>,
                                       pegtl::string<'=', '~'>, pegtl::string<'!', '~'>>
{
};
struct Symbol
    : pegtl::sor<TwoCharacterSymbol, pegtl::one<'+', '-', '*', '/', '%', '^', '(', ')', '{', '}', '[', ']', ',', '=', '<', '>', '@'>>
{
};
struct AnyToken : pegtl::sor<Space, Duration, Number, Identifier, String, Symbol>
{
};
struct TokenSequence : pegtl::seq<pegtl::star<AnyToken>, pegtl::must<pegtl::eof>>
{
};
} // namespace grammar

namespace
{
template<TokenKind Kind>
struct AppendToken
{
    template<class Input>
    static void apply(const Input &input, std::vector<Token> &tokens)
    {
        tokens.push_back({Kind, input.string(), input.position().byte + 1});
    }
};

char unescape(char character, std::size_t column)
{
    switch (character) {
    case 'n':
        return '\n';
    case 't':
        return '\t';
    case 'r':
        return '\r';
    case '\\':
    case '"':
    case '\'':
        return character;
    default:
        throw ExpressionError(column, fmt::format("unknown escape sequence \\{} in a string", character));
    }
}

std::string unquote(std::string_view quoted, std::size_t column)
{
    const bool isRaw = quoted.front() == '`';
    const auto inner = quoted.substr(1, quoted.size() - 2);
    std::string content;
    for (std::size_t index = 0; index < inner.size(); ++index) {
        if (inner[index] != '\\' || isRaw) {
            content += inner[index];
            continue;
        }
        ++index;
        content += unescape(inner[index], column + index);
    }
    return content;
}

template<class Rule>
struct Action : pegtl::nothing<Rule>
{
};
template<>
struct Action<grammar::Duration> : AppendToken<TokenKind::Duration>
{
};
template<>
struct Action<grammar::Number> : AppendToken<TokenKind::Number>
{
};
template<>
struct Action<grammar::Identifier> : AppendToken<TokenKind::Identifier>
{
};
template<>
struct Action<grammar::Symbol> : AppendToken<TokenKind::Symbol>
{
};
template<>
struct Action<grammar::String>
{
    template<class Input>
    static void apply(const Input &input, std::vector<Token> &tokens)
    {
        const auto column = input.position().byte + 1;
        tokens.push_back({TokenKind::String, unquote(input.string_view(), column), column});
    }
};
} // namespace

ExpressionError::ExpressionError(std::size_t column, const std::string &message)
    : std::runtime_error(message)
    , errorColumn(column)
{
}

std::size_t ExpressionError::column() const noexcept
{
    return this->errorColumn;
}

std::vector<Token> tokenize(std::string_view expression)
{
    std::vector<Token> tokens;
    pegtl::memory_input input(expression.data(), expression.size(), "expression");
    try {
        pegtl::parse<grammar::TokenSequence, Action>(input, tokens);
    } catch (const pegtl::parse_error &error) {
        const auto column = error.positions().front().byte + 1;
        throw ExpressionError(column, fmt::format("unexpected character '{}'", expression[column - 1]));
    }
    tokens.push_back({TokenKind::End, "", expression.size() + 1});
    return tokens;
}
} // namespace figpulley::alerts
