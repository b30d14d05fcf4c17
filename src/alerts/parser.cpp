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
constexpr int unaryPrecedence = 5; // same as *, lower than ^
constexpr int maxNestingDepth = 200;
constexpr std::array<std::string_view, 8> reservedWords {"by", "without", "on", "ignoring", "group_left", "group_right", "offset", "bool"};

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
        return this->tokens[this->position];
    }

    const Token &consume()
    {
        const auto &token = this->tokens[this->position];
        if (token.kind != TokenKind::End) {
            ++this->position;
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

    [[nodiscard]] bool isIdentifier(std::string_view text) const
    {
        return this->peek().kind == TokenKind::Identifier && this->peek().text == text;
    }

    void expectSymbol(std::string_view text)
    {
        if (!this->isSymbol(text)) {
            this->fail(fmt::format("expected \"{}\"", text));
        }
        this->consume();
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

    // Parses a chain of binary operators by precedence climbing. Only ^ is right-associative.
    ExpressionPtr parseBinary(int minPrecedence)
    {
        const DepthGuard guard(*this);
        auto left = this->parseUnary();
        while (true) {
            const auto *spec = this->peekOperator();
            if (spec == nullptr || spec->precedence < std::max(minPrecedence, 1)) {
                return left;
            }
            auto binary = std::make_unique<Expression>();
            binary->kind = ExpressionKind::Binary;
            binary->column = this->consume().column;
            binary->binaryOperator = spec->value;
            this->parseModifiers(*binary);
            const bool isRightAssociative = spec->precedence == powerPrecedence;
            auto right = this->parseBinary(isRightAssociative ? spec->precedence : spec->precedence + 1);
            binary->arguments.push_back(std::move(left));
            binary->arguments.push_back(std::move(right));
            checkBinaryTypes(*binary);
            left = std::move(binary);
        }
    }

    void parseModifiers(Expression &binary)
    {
        if (this->isIdentifier("bool")) {
            if (!isComparison(binary.binaryOperator)) {
                this->fail("bool is allowed after comparison operators only");
            }
            this->consume();
            binary.returnsBool = true;
        }
        if (!this->isIdentifier("on") && !this->isIdentifier("ignoring")) {
            return;
        }
        binary.matching.usesOn = this->consume().text == "on";
        binary.matching.labels = this->parseLabelNames();
        const bool isGroupLeft = this->isIdentifier("group_left");
        if (!isGroupLeft && !this->isIdentifier("group_right")) {
            return;
        }
        if (isSetOperator(binary.binaryOperator)) {
            this->fail("group_left and group_right are not allowed with set operators");
        }
        this->consume();
        binary.matching.cardinality = isGroupLeft ? MatchCardinality::ManyToOne : MatchCardinality::OneToMany;
        if (this->isSymbol("(")) {
            binary.matching.includedLabels = this->parseLabelNames();
        }
    }

    static void checkBinaryTypes(Expression &binary)
    {
        const auto left = binary.arguments[0]->type;
        const auto right = binary.arguments[1]->type;
        const auto isOperand = [](ValueType type) { return type == ValueType::Scalar || type == ValueType::Vector; };
        if (!isOperand(left) || !isOperand(right)) {
            throw ExpressionError(binary.column, "binary operators take scalars and instant vectors only");
        }
        const bool areScalars = left == ValueType::Scalar && right == ValueType::Scalar;
        const bool areVectors = left == ValueType::Vector && right == ValueType::Vector;
        if (isSetOperator(binary.binaryOperator) && !areVectors) {
            throw ExpressionError(binary.column, "set operators take two instant vectors");
        }
        if (areScalars && isComparison(binary.binaryOperator) && !binary.returnsBool) {
            throw ExpressionError(binary.column, "comparisons between scalars require the bool modifier");
        }
        const bool hasMatching = binary.matching.usesOn || !binary.matching.labels.empty();
        if (hasMatching && !areVectors) {
            throw ExpressionError(binary.column, "on and ignoring are allowed between two instant vectors only");
        }
        binary.type = areScalars ? ValueType::Scalar : ValueType::Vector;
    }

    ExpressionPtr parseUnary()
    {
        if (!this->isSymbol("-") && !this->isSymbol("+")) {
            return this->parseOperand();
        }
        const DepthGuard guard(*this);
        const auto &sign = this->consume();
        auto operand = this->parseBinary(unaryPrecedence + 1);
        if (operand->type != ValueType::Scalar && operand->type != ValueType::Vector) {
            throw ExpressionError(sign.column, "a sign is allowed before scalars and instant vectors only");
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
            return this->makeNumber(this->consume());
        case TokenKind::String:
            return this->makeString(this->consume());
        case TokenKind::Duration:
            this->fail("a duration is allowed only in [] and after offset");
        case TokenKind::End:
            this->fail("unexpected end of the expression");
        case TokenKind::Symbol:
            return this->parseSymbolOperand();
        case TokenKind::Identifier:
            return this->parseIdentifierOperand();
        }
        this->fail("unexpected \"" + token.text + "\"");
    }

    ExpressionPtr parseSymbolOperand()
    {
        if (this->isSymbol("(")) {
            this->consume();
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

    ExpressionPtr parseIdentifierOperand()
    {
        const auto word = this->consume();
        if (const auto number = parseNumberWord(word.text); number && !this->isSymbol("{")) {
            auto expression = std::make_unique<Expression>();
            expression->column = word.column;
            expression->number = *number;
            return expression;
        }
        const bool isGrouped = this->isSymbol("(") || this->isIdentifier("by") || this->isIdentifier("without");
        if (isAggregation(word.text) && isGrouped) {
            return this->parseAggregation(word);
        }
        if (this->isSymbol("(")) {
            return this->parseCall(word);
        }
        if (std::find(reservedWords.begin(), reservedWords.end(), word.text) != reservedWords.end()) {
            throw ExpressionError(word.column, fmt::format("unexpected \"{}\"", word.text));
        }
        return this->parseSelector(word.text, word.column);
    }

    static std::optional<double> parseNumberWord(std::string word)
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

    std::vector<std::string> parseLabelNames()
    {
        std::vector<std::string> names;
        this->expectSymbol("(");
        while (!this->isSymbol(")")) {
            if (this->peek().kind != TokenKind::Identifier) {
                this->fail("expected a label name");
            }
            names.push_back(this->consume().text);
            if (!this->isSymbol(")")) {
                this->expectSymbol(",");
            }
        }
        this->consume();
        return names;
    }

    ExpressionPtr parseAggregation(const Token &word)
    {
        auto aggregation = std::make_unique<Expression>();
        aggregation->kind = ExpressionKind::Aggregation;
        aggregation->type = ValueType::Vector;
        aggregation->column = word.column;
        aggregation->text = word.text;
        const bool hasLeadingGrouping = this->parseGrouping(*aggregation);
        this->expectSymbol("(");
        this->parseArguments(*aggregation);
        if (!hasLeadingGrouping) {
            this->parseGrouping(*aggregation);
        }
        const std::size_t expected = takesParameter(word.text) ? 2 : 1;
        if (aggregation->arguments.size() != expected) {
            throw ExpressionError(word.column, fmt::format("{} takes {} argument{}", word.text, expected, expected == 1 ? "" : "s"));
        }
        if (expected == 2) {
            requireType(*aggregation->arguments.front(), ValueType::Scalar);
        }
        requireType(*aggregation->arguments.back(), ValueType::Vector);
        return aggregation;
    }

    bool parseGrouping(Expression &aggregation)
    {
        if (!this->isIdentifier("by") && !this->isIdentifier("without")) {
            return false;
        }
        aggregation.usesWithout = this->consume().text == "without";
        aggregation.groupingLabels = this->parseLabelNames();
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
        this->consume();
    }

    static void requireType(const Expression &argument, ValueType expected)
    {
        if (argument.type != expected) {
            throw ExpressionError(argument.column, fmt::format("expected a value of type {}, not {}", name(expected), name(argument.type)));
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
        if (given > spec->parameters.size() || given + spec->optionalParameters < spec->parameters.size()) {
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
        const bool excludesEmptyLabels = std::any_of(selector->matchers.begin(), selector->matchers.end(),
                                                     [](const Matcher &matcher) { return !matcher.matchesEmpty(); });
        if (!excludesEmptyLabels) {
            throw ExpressionError(column, "a selector requires a metric name or a matcher that does not match the empty string");
        }
        if (this->isSymbol("[")) {
            this->consume();
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
        if (!this->isIdentifier("offset")) {
            return;
        }
        this->consume();
        const bool isNegative = this->isSymbol("-");
        if (isNegative) {
            this->consume();
        }
        const auto duration = this->parsePositiveDuration();
        selector.offset = isNegative ? -duration : duration;
    }

    Millis parsePositiveDuration()
    {
        const auto &token = this->peek();
        const auto duration = token.kind == TokenKind::Duration ? parseDuration(token.text) : std::nullopt;
        if (!duration || *duration <= 0) {
            this->fail("expected a positive duration such as 5m");
        }
        this->consume();
        return *duration;
    }

    void parseMatchers(Expression &selector)
    {
        this->consume();
        while (!this->isSymbol("}")) {
            if (this->peek().kind != TokenKind::Identifier) {
                this->fail("expected a label name");
            }
            const auto label = this->consume().text;
            const auto kind = this->parseMatchKind();
            const auto &pattern = this->peek();
            if (pattern.kind != TokenKind::String) {
                this->fail("expected a quoted string");
            }
            try {
                selector.matchers.emplace_back(label, kind, pattern.text);
            } catch (const std::regex_error &) {
                this->fail("the regular expression is malformed or not supported");
            }
            this->consume();
            if (!this->isSymbol("}")) {
                this->expectSymbol(",");
            }
        }
        this->consume();
    }

    MatchKind parseMatchKind()
    {
        constexpr std::array<std::string_view, 4> texts {"=", "!=", "=~", "!~"};
        for (std::size_t index = 0; index < texts.size(); ++index) {
            if (this->isSymbol(texts[index])) {
                this->consume();
                return static_cast<MatchKind>(index);
            }
        }
        this->fail("expected =, !=, =~ or !~");
    }

    // Limits the nesting depth, because deep nesting overflows the stack in the parser and in functions that traverse the tree.
    struct DepthGuard
    {
        explicit DepthGuard(Parser &parser)
            : parser(parser)
        {
            if (++parser.depth > maxNestingDepth) {
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
    std::size_t position = 0;
    int depth = 0;
};
} // namespace

std::unique_ptr<Expression> parseExpression(std::string_view text)
{
    return Parser(text).parse();
}
} // namespace figpulley::alerts
