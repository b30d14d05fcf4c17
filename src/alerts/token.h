#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::alerts
{
/// Token kinds of the rule language.
enum class TokenKind : std::uint8_t {
    Identifier,
    Number,
    Duration,
    String,
    Symbol,
    End,
};

/// Token and the column where it starts.
struct Token
{
    TokenKind kind = TokenKind::End;
    std::string text; ///< source text; for a string, its content with quotes removed and escapes resolved
    std::size_t column = 1; ///< in bytes, from 1
};

/// Error in an expression that is malformed or not supported.
class ExpressionError : public std::runtime_error
{
public:
    ExpressionError(std::size_t column, const std::string &message);

    [[nodiscard]] std::size_t column() const noexcept;

private:
    std::size_t errorColumn;
};

/// Splits an expression into tokens, followed by an End token.
/// @throws ExpressionError if a character or an escape sequence is not part of the language
[[nodiscard]] std::vector<Token> tokenize(std::string_view expression);
} // namespace figpulley::alerts
