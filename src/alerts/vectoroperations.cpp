#include "alerts/vectoroperations.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <set>

namespace figpulley::alerts
{
namespace
{
Labels matchingSignature(const Expression &binary, const Labels &labels)
{
    return binary.matching.usesOn ? labels.only(binary.matching.labels) : labels.without(binary.matching.labels);
}

bool isFilteringComparison(const Expression &binary)
{
    return isComparison(binary.binaryOperator) && !binary.returnsBool;
}

InstantVector combineSets(const Expression &binary, const InstantVector &left, const InstantVector &right)
{
    std::set<Labels> leftSignatures;
    std::set<Labels> rightSignatures;
    for (const auto &sample : left) {
        leftSignatures.insert(matchingSignature(binary, sample.labels));
    }
    for (const auto &sample : right) {
        rightSignatures.insert(matchingSignature(binary, sample.labels));
    }
    InstantVector result;
    for (const auto &sample : left) {
        const bool hasMatch = rightSignatures.contains(matchingSignature(binary, sample.labels));
        const bool isKept = binary.binaryOperator == BinaryOperator::Or || hasMatch == (binary.binaryOperator == BinaryOperator::And);
        if (isKept) {
            result.push_back(sample);
        }
    }
    if (binary.binaryOperator == BinaryOperator::Or) {
        for (const auto &sample : right) {
            if (!leftSignatures.contains(matchingSignature(binary, sample.labels))) {
                result.push_back(sample);
            }
        }
    }
    return result;
}

Labels resultLabels(const Expression &binary, const Labels &many, const Labels &one)
{
    auto labels = isFilteringComparison(binary) ? many : many.without({});
    const auto &matching = binary.matching;
    if (matching.cardinality == MatchCardinality::OneToOne) {
        if (matching.usesOn) {
            return labels.only(matching.labels);
        }
        for (const auto &name : matching.labels) {
            labels.remove(name);
        }
        return labels;
    }
    for (const auto &name : matching.includedLabels) {
        labels.set(name, one.get(name));
    }
    return labels;
}

InstantVector combineVectors(const Expression &binary, const InstantVector &left, const InstantVector &right)
{
    const bool isSwapped = binary.matching.cardinality == MatchCardinality::OneToMany;
    const auto &many = isSwapped ? right : left;
    const auto &one = isSwapped ? left : right;
    std::map<Labels, const VectorSample *> matchesBySignature;
    for (const auto &sample : one) {
        if (!matchesBySignature.emplace(matchingSignature(binary, sample.labels), &sample).second) {
            throw EvaluationError("several elements have the labels " + matchingSignature(binary, sample.labels).toString()
                                  + " on the \"one\" side of the vector matching");
        }
    }
    std::set<Labels> seenLabels;
    InstantVector result;
    for (const auto &sample : many) {
        const auto signature = matchingSignature(binary, sample.labels);
        const auto match = matchesBySignature.find(signature);
        if (match == matchesBySignature.end()) {
            continue;
        }
        const auto leftValue = isSwapped ? match->second->value : sample.value;
        const auto rightValue = isSwapped ? sample.value : match->second->value;
        const auto value = applyOperator(binary.binaryOperator, leftValue, rightValue);
        const bool isFilter = isFilteringComparison(binary);
        if (isFilter && value == 0) {
            continue;
        }
        auto labels = resultLabels(binary, sample.labels, match->second->labels);
        const bool isOneToOne = binary.matching.cardinality == MatchCardinality::OneToOne;
        if (!seenLabels.insert(isOneToOne ? signature : labels).second) {
            throw EvaluationError("several elements match " + signature.toString()
                                  + "; many-to-one matching requires group_left or group_right");
        }
        result.push_back({std::move(labels), isFilter ? leftValue : value});
    }
    return result;
}

InstantVector combineWithScalar(const Expression &binary, const InstantVector &vector, double scalar, bool isScalarLeft)
{
    InstantVector result;
    for (const auto &sample : vector) {
        const auto value = isScalarLeft ? applyOperator(binary.binaryOperator, scalar, sample.value)
                                        : applyOperator(binary.binaryOperator, sample.value, scalar);
        if (!isFilteringComparison(binary)) {
            result.push_back({sample.labels.without({}), value});
        } else if (value != 0) {
            result.push_back(sample);
        }
    }
    return result;
}

struct Group
{
    Labels labels;
    double value = 0;
    double count = 0;
    InstantVector members; // used by topk and bottomk
};

void addToGroup(Group &group, std::string_view kind, const VectorSample &sample)
{
    const bool isFirst = group.count == 0;
    group.count += 1;
    if (kind == "sum" || kind == "avg") {
        group.value += sample.value;
    } else if (kind == "min") {
        group.value = isFirst || sample.value < group.value || std::isnan(group.value) ? sample.value : group.value;
    } else if (kind == "max") {
        group.value = isFirst || sample.value > group.value || std::isnan(group.value) ? sample.value : group.value;
    } else {
        group.members.push_back(sample);
    }
}

double groupValue(const Group &group, std::string_view kind)
{
    if (kind == "avg") {
        return group.value / group.count;
    }
    if (kind == "count") {
        return group.count;
    }
    return kind == "group" ? 1 : group.value;
}

// Appends the largest or smallest members. NaN sorts last in both cases, as the published semantics require.
void appendTopOrBottom(Group &group, bool isTop, double parameter, InstantVector &result)
{
    std::stable_sort(group.members.begin(), group.members.end(), [isTop](const VectorSample &left, const VectorSample &right) {
        if (std::isnan(left.value) || std::isnan(right.value)) {
            return !std::isnan(left.value) && std::isnan(right.value);
        }
        return isTop ? left.value > right.value : left.value < right.value;
    });
    const auto count = parameter < 1 ? 0 : std::min(static_cast<std::size_t>(parameter), group.members.size());
    result.insert(result.end(), group.members.begin(), group.members.begin() + static_cast<std::ptrdiff_t>(count));
}

struct Bucket
{
    double upperBound = 0;
    double count = 0;
};

double bucketQuantile(double quantile, std::vector<Bucket> buckets)
{
    std::sort(buckets.begin(), buckets.end(), [](const Bucket &left, const Bucket &right) { return left.upperBound < right.upperBound; });
    if (buckets.size() < 2 || !std::isinf(buckets.back().upperBound) || std::isnan(quantile)) {
        return std::nan("");
    }
    if (quantile < 0) {
        return -HUGE_VAL;
    }
    if (quantile > 1) {
        return HUGE_VAL;
    }
    for (std::size_t index = 1; index < buckets.size(); ++index) {
        buckets[index].count = std::max(buckets[index].count, buckets[index - 1].count);
    }
    const auto observations = buckets.back().count;
    if (observations == 0) {
        return std::nan("");
    }
    auto rank = quantile * observations;
    std::size_t index = 0;
    while (index + 1 < buckets.size() && buckets[index].count < rank) {
        ++index;
    }
    if (index + 1 == buckets.size()) {
        return buckets[buckets.size() - 2].upperBound;
    }
    if (index == 0 && buckets.front().upperBound <= 0) {
        return buckets.front().upperBound;
    }
    const auto lowerBound = index == 0 ? 0 : buckets[index - 1].upperBound;
    const auto previousCount = index == 0 ? 0 : buckets[index - 1].count;
    rank -= previousCount;
    return lowerBound + (buckets[index].upperBound - lowerBound) * (rank / (buckets[index].count - previousCount));
}
} // namespace

double applyOperator(BinaryOperator binaryOperator, double left, double right) noexcept
{
    switch (binaryOperator) {
    case BinaryOperator::Equal:
        return left == right ? 1 : 0;
    case BinaryOperator::NotEqual:
        return left != right ? 1 : 0;
    case BinaryOperator::Less:
        return left < right ? 1 : 0;
    case BinaryOperator::LessEqual:
        return left <= right ? 1 : 0;
    case BinaryOperator::Greater:
        return left > right ? 1 : 0;
    case BinaryOperator::GreaterEqual:
        return left >= right ? 1 : 0;
    case BinaryOperator::Add:
        return left + right;
    case BinaryOperator::Subtract:
        return left - right;
    case BinaryOperator::Multiply:
        return left * right;
    case BinaryOperator::Divide:
        return left / right;
    case BinaryOperator::Modulo:
        return std::fmod(left, right);
    case BinaryOperator::Power:
        return std::pow(left, right);
    case BinaryOperator::Or:
    case BinaryOperator::And:
    case BinaryOperator::Unless:
        break;
    }
    return std::nan("");
}

EvaluationResult combine(const Expression &binary, const EvaluationResult &left, const EvaluationResult &right)
{
    const auto *leftScalar = std::get_if<double>(&left);
    const auto *rightScalar = std::get_if<double>(&right);
    if (leftScalar != nullptr && rightScalar != nullptr) {
        return applyOperator(binary.binaryOperator, *leftScalar, *rightScalar);
    }
    if (leftScalar != nullptr) {
        return combineWithScalar(binary, std::get<InstantVector>(right), *leftScalar, true);
    }
    if (rightScalar != nullptr) {
        return combineWithScalar(binary, std::get<InstantVector>(left), *rightScalar, false);
    }
    const auto &leftVector = std::get<InstantVector>(left);
    const auto &rightVector = std::get<InstantVector>(right);
    return isSetOperator(binary.binaryOperator) ? combineSets(binary, leftVector, rightVector)
                                                : combineVectors(binary, leftVector, rightVector);
}

InstantVector aggregate(const Expression &aggregation, const InstantVector &vector, double parameter)
{
    const bool usesBy = !aggregation.usesWithout;
    std::map<Labels, Group> groups;
    for (const auto &sample : vector) {
        auto labels = usesBy ? sample.labels.only(aggregation.groupingLabels) : sample.labels.without(aggregation.groupingLabels);
        auto &group = groups[labels];
        group.labels = std::move(labels);
        addToGroup(group, aggregation.text, sample);
    }
    InstantVector result;
    for (auto &[labels, group] : groups) {
        if (aggregation.text == "topk" || aggregation.text == "bottomk") {
            appendTopOrBottom(group, aggregation.text == "topk", parameter, result);
        } else {
            result.push_back({group.labels, groupValue(group, aggregation.text)});
        }
    }
    return result;
}

InstantVector histogramQuantile(double quantile, const InstantVector &buckets)
{
    std::map<Labels, std::vector<Bucket>> histograms;
    for (const auto &sample : buckets) {
        const auto &bound = sample.labels.get("le");
        char *end = nullptr;
        const auto upperBound = std::strtod(bound.c_str(), &end);
        if (!bound.empty() && *end == '\0') {
            histograms[sample.labels.without({"le"})].push_back({upperBound, sample.value});
        }
    }
    InstantVector result;
    for (auto &[labels, histogram] : histograms) {
        result.push_back({labels, bucketQuantile(quantile, std::move(histogram))});
    }
    return result;
}
} // namespace figpulley::alerts
