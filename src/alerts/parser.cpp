#include "alerts/parser.h"

#include "alerts/functiontable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <optional>

#include <fmt/format.h>

namespace figpulley::alerts
{
namespace
{
using ExpressionPtr = std::unique_ptr<Expression>;

struct OperatorSpec
{
    std::string_view text;
    BinaryOperator value;
    int precedence;
};

constexpr std::array<OperatorSpec, 15> operators {{
    {"or", BinaryOperator::Or, 1},
    {"and", BinaryOperator::And, 2},
    {"unless", BinaryOperator::Unless, 2},
    {"==", BinaryOperator::Equal, 3},
    {"!=", BinaryOperator::NotEqual, 3},
    {"<", BinaryOperator::Less, 3},
    {"<=", BinaryOperator::LessEqual, 3},
    {">", BinaryOperator::Greater, 3},
    {">=", BinaryOperator::GreaterEqual, 3},
    {"+", BinaryOperator::Add, 4},
    {"-", BinaryOperator::Subtract, 4},
    {"*", BinaryOperator::Multiply, 5},
    {"/", BinaryOperator::Divide, 5},
    {"%", BinaryOperator::Modulo, 5},
    {"^", BinaryOperator::Power, 6},
}};

constexpr int powerPrecedence = 6;
constexpr int unaryPrecedence = 5; // binds looser than ^ and as tight as *
constexpr int deepest = 200; // of nested expressions
constexpr std::array<std::string_view, 8> reserved {"by", "without", "on", "ignoring", "group_left", "group_right", "offset", "bool"};

class Parser
{
public:
    explicit Parser(std::string_view text)
        : tokens(tokenize(text))
    {
    }

    ExpressionPtr parse()
    {
        auto expression = this->parseBinary(0);
        if (this->peek().kind != TokenKind::End) {
            this->fail("unexpected \"" + this->peek().text + "\"");
        }
        return expression;
    }

private:
    [[nodiscard]] const Token &peek() const
    {
        return this->tokens[this->next];
    }

    const Token &take()
    {
        const auto &token = this->tokens[this->next];
        if (token.kind != TokenKind::End) {
            ++this->next;
        }
        return token;
    }

    [[noreturn]] void fail(const std::string &message) const
    {
        throw ExpressionError(this->peek().column, message);
    }

    [[nodiscard]] bool isSymbol(std::string_view text) const
    {
        return this->peek().kind == TokenKind::Symbol && this->peek().text == text;
    }

    [[nodiscard]] bool isWord(std::string_view text) const
    {
        return this->peek().kind == TokenKind::Identifier && this->peek().text == text;
    }

    void expectSymbol(std::string_view text)
    {
        if (!this->isSymbol(text)) {
            this->fail(fmt::format("expected \"{}\"", text));
        }
        this->take();
    }

    [[nodiscard]] const OperatorSpec *peekOperator() const
    {
        const auto &token = this->peek();
        if (token.kind != TokenKind::Symbol && token.kind != TokenKind::Identifier) {
            return nullptr;
        }
        const auto found =
            std::find_if(operators.begin(), operators.end(), [&](const OperatorSpec &spec) { return spec.text == token.text; });
        return found == operators.end() ? nullptr : &*found;
    }

    // Operators of a higher precedence bind tighter; ^ associates to the right, the others to the left.
    ExpressionPtr parseBinary(int lowest)
    {
        const DepthGuard guard(*this);
        auto left = this->parseUnary();
        while (true) {
            const auto *spec = this->peekOperator();
            if (spec == nullptr || spec->precedence < std::max(lowest, 1)) {
                return left;
            }
            auto binary = std::make_unique<Expression>();
            binary->kind = ExpressionKind::Binary;
            binary->column = this->take().column;
            binary->binaryOperator = spec->value;
            this->parseModifiers(*binary);
            const bool isRightAssociative = spec->precedence == powerPrecedence;
            auto right = this->parseBinary(isRightAssociative ? spec->precedence : spec->precedence + 1);
            binary->arguments.push_back(std::move(left));
            binary->arguments.push_back(std::move(right));
            checkBinary(*binary);
            left = std::move(binary);
        }
    }

    void parseModifiers(Expression &binary)
    {
        if (this->isWord("bool")) {
            if (!isComparison(binary.binaryOperator)) {
                this->fail("bool goes with comparisons only");
            }
            this->take();
            binary.returnsBool = true;
        }
        if (!this->isWord("on") && !this->isWord("ignoring")) {
            return;
        }
        binary.matching.isOn = this->take().text == "on";
        binary.matching.labels = this->parseNames();
        const bool isLeft = this->isWord("group_left");
        if (!isLeft && !this->isWord("group_right")) {
            return;
        }
        if (isSetOperator(binary.binaryOperator)) {
            this->fail("grouping does not go with set operators");
        }
        this->take();
        binary.matching.grouping = isLeft ? Grouping::Left : Grouping::Right;
        if (this->isSymbol("(")) {
            binary.matching.included = this->parseNames();
        }
    }

    static void checkBinary(Expression &binary)
    {
        const auto left = binary.arguments[0]->type;
        const auto right = binary.arguments[1]->type;
        const auto isOperand = [](ValueType type) { return type == ValueType::Scalar || type == ValueType::Vector; };
        if (!isOperand(left) || !isOperand(right)) {
            throw ExpressionError(binary.column, "operators take scalars and instant vectors only");
        }
        const bool isScalar = left == ValueType::Scalar && right == ValueType::Scalar;
        const bool isVectors = left == ValueType::Vector && right == ValueType::Vector;
        if (isSetOperator(binary.binaryOperator) && !isVectors) {
            throw ExpressionError(binary.column, "set operators take two instant vectors");
        }
        if (isScalar && isComparison(binary.binaryOperator) && !binary.returnsBool) {
            throw ExpressionError(binary.column, "comparisons between scalars need bool");
        }
        const bool hasMatching = binary.matching.isOn || !binary.matching.labels.empty();
        if (hasMatching && !isVectors) {
            throw ExpressionError(binary.column, "on and ignoring go between two instant vectors only");
        }
        binary.type = isScalar ? ValueType::Scalar : ValueType::Vector;
    }

    ExpressionPtr parseUnary()
    {
        if (!this->isSymbol("-") && !this->isSymbol("+")) {
            return this->parseOperand();
        }
        const DepthGuard guard(*this);
        const auto &sign = this->take();
        auto operand = this->parseBinary(unaryPrecedence + 1);
        if (operand->type != ValueType::Scalar && operand->type != ValueType::Vector) {
            throw ExpressionError(sign.column, "a sign goes before scalars and instant vectors only");
        }
        if (sign.text == "+") {
            return operand;
        }
        auto negation = std::make_unique<Expression>();
        negation->kind = ExpressionKind::Negation;
        negation->column = sign.column;
        negation->type = operand->type;
        negation->arguments.push_back(std::move(operand));
        return negation;
    }

    ExpressionPtr parseOperand()
    {
        const auto &token = this->peek();
        switch (token.kind) {
        case TokenKind::Number:
            return this->makeNumber(this->take());
        case TokenKind::String:
            return this->makeString(this->take());
        case TokenKind::Duration:
            this->fail("a duration stands only in [] and after offset");
        case TokenKind::End:
            this->fail("the expression ends too early");
        case TokenKind::Symbol:
            return this->parseSymbolOperand();
        case TokenKind::Identifier:
            return this->parseWordOperand();
        }
        this->fail("unexpected \"" + token.text + "\"");
    }

    ExpressionPtr parseSymbolOperand()
    {
        if (this->isSymbol("(")) {
            this->take();
            auto inner = this->parseBinary(0);
            this->expectSymbol(")");
            if (this->isSymbol("[")) {
                this->fail("subqueries are not supported");
            }
            return inner;
        }
        if (this->isSymbol("{")) {
            return this->parseSelector({}, this->peek().column);
        }
        this->fail("unexpected \"" + this->peek().text + "\"");
    }

    ExpressionPtr parseWordOperand()
    {
        const auto word = this->take();
        if (const auto number = numberWord(word.text); number && !this->isSymbol("{")) {
            auto expression = std::make_unique<Expression>();
            expression->column = word.column;
            expression->number = *number;
            return expression;
        }
        const bool isGrouped = this->isSymbol("(") || this->isWord("by") || this->isWord("without");
        if (isAggregation(word.text) && isGrouped) {
            return this->parseAggregation(word);
        }
        if (this->isSymbol("(")) {
            return this->parseCall(word);
        }
        if (std::find(reserved.begin(), reserved.end(), word.text) != reserved.end()) {
            throw ExpressionError(word.column, fmt::format("unexpected \"{}\"", word.text));
        }
        return this->parseSelector(word.text, word.column);
    }

    static std::optional<double> numberWord(std::string word)
    {
        std::transform(word.begin(), word.end(), word.begin(),
                       [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        if (word == "inf") {
            return HUGE_VAL;
        }
        if (word == "nan") {
            return std::nan("");
        }
        return std::nullopt;
    }

    static ExpressionPtr makeNumber(const Token &token)
    {
        auto expression = std::make_unique<Expression>();
        expression->column = token.column;
        expression->number = std::strtod(token.text.c_str(), nullptr);
        return expression;
    }

    static ExpressionPtr makeString(const Token &token)
    {
        auto expression = std::make_unique<Expression>();
        expression->kind = ExpressionKind::String;
        expression->type = ValueType::String;
        expression->column = token.column;
        expression->text = token.text;
        return expression;
    }

    std::vector<std::string> parseNames()
    {
        std::vector<std::string> names;
        this->expectSymbol("(");
        while (!this->isSymbol(")")) {
            if (this->peek().kind != TokenKind::Identifier) {
                this->fail("expected a label name");
            }
            names.push_back(this->take().text);
            if (!this->isSymbol(")")) {
                this->expectSymbol(",");
            }
        }
        this->take();
        return names;
    }

    ExpressionPtr parseAggregation(const Token &word)
    {
        auto aggregation = std::make_unique<Expression>();
        aggregation->kind = ExpressionKind::Aggregation;
        aggregation->type = ValueType::Vector;
        aggregation->column = word.column;
        aggregation->text = word.text;
        const bool isBefore = this->parseGrouping(*aggregation);
        this->expectSymbol("(");
        this->parseArguments(*aggregation);
        if (!isBefore) {
            this->parseGrouping(*aggregation);
        }
        const std::size_t wanted = takesParameter(word.text) ? 2 : 1;
        if (aggregation->arguments.size() != wanted) {
            throw ExpressionError(word.column, fmt::format("{} takes {} argument{}", word.text, wanted, wanted == 1 ? "" : "s"));
        }
        if (wanted == 2) {
            requireType(*aggregation->arguments.front(), ValueType::Scalar);
        }
        requireType(*aggregation->arguments.back(), ValueType::Vector);
        return aggregation;
    }

    bool parseGrouping(Expression &aggregation)
    {
        if (!this->isWord("by") && !this->isWord("without")) {
            return false;
        }
        aggregation.isWithout = this->take().text == "without";
        aggregation.grouping = this->parseNames();
        return true;
    }

    void parseArguments(Expression &call)
    {
        while (!this->isSymbol(")")) {
            call.arguments.push_back(this->parseBinary(0));
            if (!this->isSymbol(")")) {
                this->expectSymbol(",");
            }
        }
        this->take();
    }

    static void requireType(const Expression &argument, ValueType wanted)
    {
        if (argument.type != wanted) {
            throw ExpressionError(argument.column, fmt::format("expected a value of type {}, not {}", name(wanted), name(argument.type)));
        }
    }

    ExpressionPtr parseCall(const Token &word)
    {
        const auto *spec = findFunction(word.text);
        if (spec == nullptr) {
            throw ExpressionError(word.column, fmt::format("the function {} is not supported", word.text));
        }
        auto call = std::make_unique<Expression>();
        call->kind = ExpressionKind::Call;
        call->type = spec->result;
        call->column = word.column;
        call->text = word.text;
        this->expectSymbol("(");
        this->parseArguments(*call);
        const auto given = call->arguments.size();
        if (given > spec->parameters.size() || given + spec->optional < spec->parameters.size()) {
            throw ExpressionError(
                word.column,
                fmt::format("{} takes {} argument{}", word.text, spec->parameters.size(), spec->parameters.size() == 1 ? "" : "s"));
        }
        for (std::size_t index = 0; index < given; ++index) {
            requireType(*call->arguments[index], spec->parameters[index]);
        }
        return call;
    }

    ExpressionPtr parseSelector(const std::string &metric, std::size_t column)
    {
        auto selector = std::make_unique<Expression>();
        selector->kind = ExpressionKind::Selector;
        selector->type = ValueType::Vector;
        selector->column = column;
        if (!metric.empty()) {
            selector->matchers.emplace_back(std::string(nameLabel), MatchKind::Equal, metric);
        }
        if (this->isSymbol("{")) {
            this->parseMatchers(*selector);
        }
        const bool isBounded = std::any_of(selector->matchers.begin(), selector->matchers.end(),
                                           [](const Matcher &matcher) { return !matcher.matchesEmpty(); });
        if (!isBounded) {
            throw ExpressionError(column, "a selector needs a name or a matcher that does not match the empty string");
        }
        if (this->isSymbol("[")) {
            this->take();
            selector->range = this->parsePositiveDuration();
            selector->type = ValueType::Range;
            this->expectSymbol("]");
        }
        this->parseOffset(*selector);
        return selector;
    }

    void parseOffset(Expression &selector)
    {
        if (this->isSymbol("@")) {
            this->fail("the @ modifier is not supported");
        }
        if (!this->isWord("offset")) {
            return;
        }
        this->take();
        const bool isNegative = this->isSymbol("-");
        if (isNegative) {
            this->take();
        }
        const auto duration = this->parsePositiveDuration();
        selector.offset = isNegative ? -duration : duration;
    }

    Millis parsePositiveDuration()
    {
        const auto &token = this->peek();
        const auto duration = token.kind == TokenKind::Duration ? parseDuration(token.text) : std::nullopt;
        if (!duration || *duration <= 0) {
            this->fail("expected a duration such as 5m");
        }
        this->take();
        return *duration;
    }

    void parseMatchers(Expression &selector)
    {
        this->take();
        while (!this->isSymbol("}")) {
            if (this->peek().kind != TokenKind::Identifier) {
                this->fail("expected a label name");
            }
            const auto label = this->take().text;
            const auto kind = this->parseMatchKind();
            const auto &pattern = this->peek();
            if (pattern.kind != TokenKind::String) {
                this->fail("expected a string");
            }
            try {
                selector.matchers.emplace_back(label, kind, pattern.text);
            } catch (const std::regex_error &) {
                this->fail("the regular expression is malformed or not supported");
            }
            this->take();
            if (!this->isSymbol("}")) {
                this->expectSymbol(",");
            }
        }
        this->take();
    }

    MatchKind parseMatchKind()
    {
        constexpr std::array<std::string_view, 4> texts {"=", "!=", "=~", "!~"};
        for (std::size_t index = 0; index < texts.size(); ++index) {
            if (this->isSymbol(texts[index])) {
                this->take();
                return static_cast<MatchKind>(index);
            }
        }
        this->fail("expected =, !=, =~ or !~");
    }

    // Deep nesting would overflow the stack, in the parser and in everything that walks the tree.
    struct DepthGuard
    {
        explicit DepthGuard(Parser &parser)
            : parser(parser)
        {
            if (++parser.depth > deepest) {
                parser.fail("the expression is nested too deeply");
            }
        }
        ~DepthGuard()
        {
            --this->parser.depth;
        }
        DepthGuard(const DepthGuard &) = delete;
        DepthGuard &operator=(const DepthGuard &) = delete;
        Parser &parser;
    };

    std::vector<Token> tokens;
    std::size_t next = 0;
    int depth = 0;
};
} // namespace

std::unique_ptr<Expression> parseExpression(std::string_view text)
{
    return Parser(text).parse();
}
} // namespace figpulley::alerts
