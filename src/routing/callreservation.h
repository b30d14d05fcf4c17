#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace figpulley::routing
{
/// Retries that were acquired in advance for the calls which the run of a repeated request will make, by service. Returns what the run has
/// not used when it ends.
class CallReservation
{
public:
    /// Numbers of calls by service.
    using Calls = std::map<std::string, int>;

    CallReservation() = default;

    /// @param onUnused receives the calls that were not taken, unless there are none
    CallReservation(Calls calls, std::function<void(const Calls &)> onUnused)
        : calls(std::move(calls))
        , onUnused(std::move(onUnused))
    {
    }

    ~CallReservation()
    {
        this->release();
    }

    CallReservation(const CallReservation &) = delete;
    CallReservation &operator=(const CallReservation &) = delete;

    CallReservation(CallReservation &&other) noexcept
        : calls(std::exchange(other.calls, {}))
        , onUnused(std::exchange(other.onUnused, nullptr))
    {
    }

    CallReservation &operator=(CallReservation &&other) noexcept
    {
        if (this != &other) {
            this->release();
            this->calls = std::exchange(other.calls, {});
            this->onUnused = std::exchange(other.onUnused, nullptr);
        }
        return *this;
    }

    /// Takes one call of a service.
    /// @returns false if none is left
    [[nodiscard]] bool take(const std::string &service)
    {
        const auto found = this->calls.find(service);
        if (found == this->calls.end()) {
            return false;
        }
        if (--found->second == 0) {
            this->calls.erase(found);
        }
        return true;
    }

private:
    void release()
    {
        if (this->onUnused && !this->calls.empty()) {
            this->onUnused(this->calls);
        }
    }

    Calls calls;
    std::function<void(const Calls &)> onUnused;
};
} // namespace figpulley::routing
