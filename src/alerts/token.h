#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::alerts
{
/// Kinds of tokens of the rule language.
enum class TokenKind : std::uint8_t {
    Identifier,
    Number,
    Duration,
    String,
    Symbol,
    End,
};

/// One token and where it begins.
struct Token
{
    TokenKind kind = TokenKind::End;
    std::string text; ///< content of a string without its quotes and escapes
    std::size_t column = 1; ///< in bytes, from 1
};

/// An expression that is malformed or outside the supported language.
class ExpressionError : public std::runtime_error
{
public:
    ExpressionError(std::size_t column, const std::string &message);

    [[nodiscard]] std::size_t column() const noexcept;

private:
    std::size_t at;
};

/// Splits an expression into tokens; the last one is End.
/// @throws ExpressionError
[[nodiscard]] std::vector<Token> tokenize(std::string_view expression);
} // namespace figpulley::alerts
