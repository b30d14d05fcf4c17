#include "text/value.h"

#include <array>

namespace figpulley::text
{
namespace
{
constexpr std::array<std::string_view, 6> typeNames {"null", "true or false", "a number", "a string", "an array", "an object"};
static_assert(typeNames.size() == std::variant_size_v<Value::Data>);
} // namespace

Value::Value(Position position, Data data)
    : sourcePosition(position)
    , data(std::move(data))
{
}

Position Value::position() const noexcept
{
    return this->sourcePosition;
}

const Value *Value::find(std::string_view key) const noexcept
{
    const auto *object = this->as<Object>();
    if (object == nullptr) {
        return nullptr;
    }
    for (const auto &member : *object) {
        if (member.key == key) {
            return &member.value;
        }
    }
    return nullptr;
}

std::string_view Value::typeName() const noexcept
{
    return typeNames[this->data.index()];
}
} // namespace figpulley::text
