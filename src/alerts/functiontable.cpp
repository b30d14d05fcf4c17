#include "alerts/functiontable.h"

#include <algorithm>
#include <array>

namespace figpulley::alerts
{
namespace
{
constexpr auto scalar = ValueType::Scalar;
constexpr auto vector = ValueType::Vector;
constexpr auto range = ValueType::Range;

constexpr std::array<ValueType, 0> noParameters {};
constexpr std::array oneRange {range};
constexpr std::array oneVector {vector};
constexpr std::array oneScalar {scalar};
constexpr std::array scalarVector {scalar, vector};
constexpr std::array scalarRange {scalar, range};
constexpr std::array vectorScalar {vector, scalar};
constexpr std::array vectorTwoScalars {vector, scalar, scalar};

constexpr std::array functions {
    FunctionSpec {"abs", vector, oneVector},
    FunctionSpec {"absent", vector, oneVector},
    FunctionSpec {"absent_over_time", vector, oneRange},
    FunctionSpec {"avg_over_time", vector, oneRange},
    FunctionSpec {"ceil", vector, oneVector},
    FunctionSpec {"changes", vector, oneRange},
    FunctionSpec {"clamp", vector, vectorTwoScalars},
    FunctionSpec {"clamp_max", vector, vectorScalar},
    FunctionSpec {"clamp_min", vector, vectorScalar},
    FunctionSpec {"count_over_time", vector, oneRange},
    FunctionSpec {"delta", vector, oneRange},
    FunctionSpec {"floor", vector, oneVector},
    FunctionSpec {"histogram_quantile", vector, scalarVector},
    FunctionSpec {"idelta", vector, oneRange},
    FunctionSpec {"increase", vector, oneRange},
    FunctionSpec {"irate", vector, oneRange},
    FunctionSpec {"last_over_time", vector, oneRange},
    FunctionSpec {"max_over_time", vector, oneRange},
    FunctionSpec {"min_over_time", vector, oneRange},
    FunctionSpec {"present_over_time", vector, oneRange},
    FunctionSpec {"quantile_over_time", vector, scalarRange},
    FunctionSpec {"rate", vector, oneRange},
    FunctionSpec {"resets", vector, oneRange},
    FunctionSpec {"round", vector, vectorScalar, 1},
    FunctionSpec {"scalar", scalar, oneVector},
    FunctionSpec {"sqrt", vector, oneVector},
    FunctionSpec {"sum_over_time", vector, oneRange},
    FunctionSpec {"time", scalar, noParameters},
    FunctionSpec {"vector", vector, oneScalar},
};

constexpr std::array<std::string_view, 8> aggregations {"sum", "avg", "min", "max", "count", "group", "topk", "bottomk"};
} // namespace

const FunctionSpec *findFunction(std::string_view name) noexcept
{
    const auto found = std::find_if(functions.begin(), functions.end(), [name](const FunctionSpec &spec) { return spec.name == name; });
    return found == functions.end() ? nullptr : &*found;
}

bool isAggregation(std::string_view name) noexcept
{
    return std::find(aggregations.begin(), aggregations.end(), name) != aggregations.end();
}

bool takesParameter(std::string_view aggregation) noexcept
{
    return aggregation == "topk" || aggregation == "bottomk";
}
} // namespace figpulley::alerts
