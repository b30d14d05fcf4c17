#include "mesh/attempthead.h"

#include "text/fieldlist.h"

namespace figpulley::mesh
{
namespace
{
// The headers are encoded and decoded four times for each request, so they use plain field lists. JSON took more than half of a node's
// instructions.
constexpr std::size_t headFieldCount = 11;
constexpr std::size_t reportFieldCount = 7;

template<class Number>
bool readDuration(std::string_view field, core::Duration &duration)
{
    Number microseconds = 0;
    if (!text::readNumber(field, microseconds)) {
        return false;
    }
    duration = core::Duration(microseconds);
    return true;
}

bool readFlag(std::string_view field, bool &flag)
{
    int number = 0;
    if (!text::readNumber(field, number) || number < 0 || number > 1) {
        return false;
    }
    flag = number == 1;
    return true;
}
} // namespace

std::string encode(const AttemptHead &head)
{
    text::FieldWriter fields;
    fields.add(head.endpointId);
    fields.add(head.service);
    fields.add(head.originService);
    fields.add(head.originNode);
    fields.add(head.rank.value());
    fields.add(head.isRepeat ? 1 : 0);
    fields.add(head.isIdempotent ? 1 : 0);
    fields.add(head.isNested ? 1 : 0);
    fields.add(head.remaining.count());
    fields.add(head.objectiveLeft.count());
    fields.add(head.configVersion);
    return fields.take();
}

std::string encode(const AttemptReport &report)
{
    text::FieldWriter fields;
    fields.add(core::errorProperties(report.kind).name);
    fields.add(static_cast<int>(report.ran));
    fields.add(report.retryAfter.count());
    fields.add(report.load.running);
    fields.add(report.load.waiting);
    fields.add(report.load.slots);
    fields.add(report.configVersion);
    return fields.take();
}

std::optional<AttemptHead> decodeAttemptHead(std::string_view text)
{
    const auto fields = text::splitFields<headFieldCount>(text);
    if (!fields) {
        return std::nullopt;
    }
    AttemptHead head;
    const auto &field = *fields;
    head.endpointId = text::unescape(field[0]);
    head.service = text::unescape(field[1]);
    head.originService = text::unescape(field[2]);
    head.originNode = text::unescape(field[3]);
    std::uint32_t rank = 0;
    const bool isValid = text::readNumber(field[4], rank) && readFlag(field[5], head.isRepeat) && readFlag(field[6], head.isIdempotent)
        && readFlag(field[7], head.isNested) && readDuration<std::int64_t>(field[8], head.remaining)
        && readDuration<std::int64_t>(field[9], head.objectiveLeft) && text::readNumber(field[10], head.configVersion);
    head.rank = core::Rank(rank);
    return isValid ? std::optional(std::move(head)) : std::nullopt;
}

std::optional<AttemptReport> decodeAttemptReport(std::string_view text)
{
    const auto fields = text::splitFields<reportFieldCount>(text);
    if (!fields) {
        return std::nullopt;
    }
    AttemptReport report;
    const auto &field = *fields;
    const auto kind = core::errorKindFromName(field[0]);
    int ran = 0;
    const bool isValid = kind && text::readNumber(field[1], ran) && ran >= 0 && ran <= static_cast<int>(core::Ran::Yes)
        && readDuration<std::int64_t>(field[2], report.retryAfter) && text::readNumber(field[3], report.load.running)
        && text::readNumber(field[4], report.load.waiting) && text::readNumber(field[5], report.load.slots)
        && text::readNumber(field[6], report.configVersion);
    if (!isValid) {
        return std::nullopt;
    }
    report.kind = *kind;
    report.ran = static_cast<core::Ran>(ran);
    return report;
}
} // namespace figpulley::mesh
