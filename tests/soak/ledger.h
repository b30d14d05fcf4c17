#pragma once

#include "core/time.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace figpulley::soak
{
/// Records what clients and endpoints observe of each request, and the violations of the guarantees that are checked against it.
/// Thread-safe.
class Ledger
{
public:
    /// Records that a client sends a request.
    void recordSent(const std::string &id, const std::string &path, bool isIdempotent)
    {
        const std::lock_guard lock(this->mutex);
        this->requests[id] = {path, isIdempotent, 0, 0, false};
    }

    /// Records that an endpoint begins to run a request. A non-idempotent request may run once at most, and none may run after a
    /// response that says that it wasn't run.
    void recordRun(const std::string &id, const std::string &path)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->requests.find(id);
        if (found == this->requests.end() || found->second.path != path) {
            this->violations.push_back(fmt::format("{} {} ran, but no client sent this id with this path", id, path));
            return;
        }
        auto &request = found->second;
        ++request.runs;
        if (!request.isIdempotent && request.runs > 1) {
            this->violations.push_back(fmt::format("{} isn't idempotent and ran {} times", id, request.runs));
        }
        if (request.isRefused) {
            this->violations.push_back(fmt::format("{} ran after a response had refused it as not run", id));
        }
    }

    /// Records the end of a request at its client.
    /// @param status HTTP status of the response, or 0 if there was no complete response
    /// @param isMatching whether a successful response has the body and the server stamp that belong to the request
    /// @param isFaultFree whether only planned operations took place while the request ran
    void recordResponse(const std::string &id, int status, bool isMatching, bool isFaultFree)
    {
        const std::lock_guard lock(this->mutex);
        auto &request = this->requests.at(id);
        request.status = status;
        ++this->total;
        this->successes += status == 200 ? 1 : 0;
        const bool isNotRunStatus = status == 408 || status == 421 || status == 429 || status == 503;
        request.isRefused = isNotRunStatus;
        if (status == 200 && !isMatching) {
            this->violations.push_back(fmt::format("{} received a response that doesn't belong to it", id));
        }
        if (isNotRunStatus && request.runs > 0 && !request.isIdempotent) {
            this->violations.push_back(fmt::format("{} was refused as not run with status {}, but ran", id, status));
        }
        if (status == 0 && isFaultFree && request.runs > 0) {
            this->violations.push_back(fmt::format("{} ran, but its response was cut although no fault was injected", id));
        }
    }

    /// Adds a violation that was found elsewhere.
    void addViolation(std::string text)
    {
        const std::lock_guard lock(this->mutex);
        this->violations.push_back(std::move(text));
    }

    /// Restarts the counts of responses; the records of requests and the violations stay.
    void restartCounts()
    {
        const std::lock_guard lock(this->mutex);
        this->total = 0;
        this->successes = 0;
    }

    /// @returns the fraction of requests with status 200 since the last restart of the counts, or 0 without requests
    [[nodiscard]] double successRatio() const
    {
        const std::lock_guard lock(this->mutex);
        return this->total == 0 ? 0 : static_cast<double>(this->successes) / this->total;
    }

    /// @returns the number of requests that ended since the last restart of the counts
    [[nodiscard]] int responseCount() const
    {
        const std::lock_guard lock(this->mutex);
        return this->total;
    }

    /// @returns one line for each violation
    [[nodiscard]] std::vector<std::string> listViolations() const
    {
        const std::lock_guard lock(this->mutex);
        return this->violations;
    }

private:
    struct Request
    {
        std::string path;
        bool isIdempotent = false;
        int runs = 0;
        int status = 0;
        bool isRefused = false; ///< whether a response said that the request was not run
    };

    mutable std::mutex mutex;
    std::map<std::string, Request> requests;
    std::vector<std::string> violations;
    int total = 0;
    int successes = 0;
};
} // namespace figpulley::soak
