#pragma once

#include "text/position.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figpulley::text
{
class Value;
struct Member;

using Array = std::vector<Value>;
using Object = std::vector<Member>; ///< members in the order of the source text

/// A JSON value with its position in the source text.
class Value
{
public:
    using Data = std::variant<std::monostate, bool, double, std::string, Array, Object>;

    Value() = default;
    Value(Position position, Data data);

    [[nodiscard]] Position position() const noexcept;

    /// @returns the content of the value if it has type T, else nullptr
    ///
    /// Example: `if (const auto *text = value.as<std::string>()) { use(*text); }`
    template<class T>
    [[nodiscard]] const T *as() const noexcept
    {
        return std::get_if<T>(&this->data);
    }

    /// Finds a member of an object.
    /// @returns nullptr if the value is not an object or lacks the key
    [[nodiscard]] const Value *find(std::string_view key) const noexcept;

    /// Name of the value's type with its article, for messages: "a string".
    [[nodiscard]] std::string_view typeName() const noexcept;

private:
    Position sourcePosition;
    Data data;
};

/// A member of an object.
struct Member
{
    std::string key;
    Position keyPosition;
    Value value;
};
} // namespace figpulley::text
