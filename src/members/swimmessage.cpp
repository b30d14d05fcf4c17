#include "members/swimmessage.h"

#include <nlohmann/json.hpp>

namespace figpulley::members
{
namespace
{
using nlohmann::json;

constexpr std::size_t announcementOverheadBytes = 40; // encoded size of an announcement's numbers and type markers
constexpr std::size_t maxArrayElements = 200; // maximum number of elements in an array of a message

// Encodes an announcement as an array. In an object, the field names would take two thirds of the bytes.
json toJson(const Announcement &item)
{
    return json::array({item.controlAddress, item.ingressAddress, item.service, item.availabilityZone, core::value(item.incarnation),
                        item.version, item.isLeaving, static_cast<int>(item.status)});
}

Announcement announcementFromJson(const json &item)
{
    Announcement result;
    result.controlAddress = item.at(0).get<std::string>();
    result.ingressAddress = item.at(1).get<std::string>();
    result.service = item.at(2).get<std::string>();
    result.availabilityZone = item.at(3).get<std::string>();
    result.incarnation = core::Incarnation {item.at(4).get<std::uint64_t>()};
    result.version = item.at(5).get<std::uint32_t>();
    result.isLeaving = item.at(6).get<bool>();
    const auto status = item.at(7).get<unsigned>();
    if (status > static_cast<unsigned>(MemberStatus::Dead)) {
        throw json::other_error::create(0, "the member status of an announcement is not a known value", nullptr);
    }
    result.status = static_cast<MemberStatus>(status);
    result.node = nodeIdOf(result.controlAddress);
    return result;
}

void requireBoundedArray(const json &array)
{
    if (!array.is_array() || array.size() > maxArrayElements) {
        throw json::other_error::create(0, "the field must be an array of at most 200 elements", nullptr);
    }
}
} // namespace

std::string encode(const SwimMessage &message)
{
    auto announcements = json::array();
    for (const auto &item : message.announcements) {
        announcements.push_back(toJson(item));
    }
    auto digests = json::array();
    for (const auto &digest : message.digests) {
        digests.push_back(json::array({digest.zone, digest.hash, digest.count}));
    }
    const auto document =
        json::array({static_cast<int>(message.kind), message.sequence, message.subject, message.configRevision, message.sender,
                     message.senderZone, message.zone, message.cursor, message.isLastPage, std::move(announcements), std::move(digests)});
    std::string bytes;
    json::to_msgpack(document, bytes);
    return bytes;
}

std::size_t encodedSize(const Announcement &announcement) noexcept
{
    return announcementOverheadBytes + announcement.controlAddress.size() + announcement.ingressAddress.size() + announcement.service.size()
        + announcement.availabilityZone.size();
}

std::optional<SwimMessage> decodeSwimMessage(std::string_view bytes)
{
    try {
        const auto document = json::from_msgpack(bytes.begin(), bytes.end());
        SwimMessage message;
        const auto kind = document.at(0).get<unsigned>();
        if (kind > static_cast<unsigned>(SwimKind::PullResponse)) {
            return std::nullopt;
        }
        message.kind = static_cast<SwimKind>(kind);
        message.sequence = document.at(1).get<std::uint32_t>();
        message.subject = document.at(2).get<std::string>();
        message.configRevision = document.at(3).get<std::uint64_t>();
        message.sender = document.at(4).get<std::string>();
        message.senderZone = document.at(5).get<std::string>();
        message.zone = document.at(6).get<std::string>();
        message.cursor = document.at(7).get<std::uint64_t>();
        message.isLastPage = document.at(8).get<bool>();
        requireBoundedArray(document.at(9));
        for (const auto &item : document.at(9)) {
            message.announcements.push_back(announcementFromJson(item));
        }
        requireBoundedArray(document.at(10));
        for (const auto &item : document.at(10)) {
            message.digests.push_back({item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>(), item.at(2).get<std::uint32_t>()});
        }
        return message;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}
} // namespace figpulley::members
