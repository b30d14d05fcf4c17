#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::discovery
{
/// Departure of an incarnation of an endpoint.
struct Departure
{
    std::string id;
    std::int64_t startedMs = 0; ///< Unix milliseconds of the incarnation's start, or of the call's arrival if that stated none
    bool includesEarlier = false; ///< all incarnations of the id that started before count as well, as the call stated no start

    [[nodiscard]] bool operator==(const Departure &) const = default;
};

/// The latest departures at a node, other than that of the incarnation in its endpoint's record.
class DepartureList
{
public:
    static constexpr std::size_t capacity = 4;

    /// Adds a departure as the latest one; the earliest is dropped if there is no room.
    void add(Departure departure);

    /// Adds the departures of an older list as long as there is room.
    void merge(const DepartureList &older);

    /// Whether an incarnation has departed.
    [[nodiscard]] bool contains(std::string_view id, std::int64_t startedMs) const noexcept;

    /// Whether an incarnation of an id has departed.
    [[nodiscard]] bool containsId(std::string_view id) const noexcept;

    /// Whether an incarnation of an id has departed that started later than a given one.
    [[nodiscard]] bool containsLater(std::string_view id, std::int64_t startedMs) const noexcept;

    /// The departures, the latest last.
    [[nodiscard]] const std::vector<Departure> &departures() const noexcept;

    [[nodiscard]] bool operator==(const DepartureList &) const = default;

private:
    std::vector<Departure> list;
};
} // namespace figpulley::discovery
