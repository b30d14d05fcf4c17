#pragma once

#include "core/time.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace figpulley::soak
{
/// What callers and endpoints have seen of each request, and the promises that are checked against it. Safe to use from any thread.
class Ledger
{
public:
    /// A client has sent a request.
    void sent(const std::string &id, const std::string &path, bool isIdempotent)
    {
        const std::lock_guard lock(this->mutex);
        this->requests[id] = {path, isIdempotent, 0, 0, false};
    }

    /// An endpoint has begun to run a request.
    void ran(const std::string &id, const std::string &path)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->requests.find(id);
        if (found == this->requests.end() || found->second.path != path) {
            this->broken.push_back(fmt::format("{} {} ran, but no client sent it so", id, path));
            return;
        }
        auto &request = found->second;
        ++request.runs;
        if (!request.isIdempotent && request.runs > 1) {
            this->broken.push_back(fmt::format("{} may run once at most and has run {} times", id, request.runs));
        }
        if (request.isRefused) {
            this->broken.push_back(fmt::format("{} ran after it was refused as not run", id));
        }
    }

    /// A client has got an answer, or none.
    /// @param status 0 if the connection ended without a whole answer
    /// @param isOwn whether a success bears the body and the mark that belong to the request
    /// @param isCalm nothing but planned work went on
    void answered(const std::string &id, int status, bool isOwn, bool isCalm)
    {
        const std::lock_guard lock(this->mutex);
        auto &request = this->requests.at(id);
        request.status = status;
        ++this->total;
        this->good += status == 200 ? 1 : 0;
        const bool isPromise = status == 408 || status == 421 || status == 429 || status == 503;
        request.isRefused = isPromise;
        if (status == 200 && !isOwn) {
            this->broken.push_back(fmt::format("{} got an answer that is not its own", id));
        }
        if (isPromise && request.runs > 0 && !request.isIdempotent) {
            this->broken.push_back(fmt::format("{} was refused with {}, but has run", id, status));
        }
        if (status == 0 && isCalm && request.runs > 0) {
            this->broken.push_back(fmt::format("{} ran, and a planned stop cut its answer", id));
        }
    }

    /// Something else that was promised did not hold.
    void report(std::string text)
    {
        const std::lock_guard lock(this->mutex);
        this->broken.push_back(std::move(text));
    }

    /// Counts from now on.
    void restartCounts()
    {
        const std::lock_guard lock(this->mutex);
        this->total = 0;
        this->good = 0;
    }

    [[nodiscard]] double goodShare() const
    {
        const std::lock_guard lock(this->mutex);
        return this->total == 0 ? 0 : static_cast<double>(this->good) / this->total;
    }

    [[nodiscard]] int answers() const
    {
        const std::lock_guard lock(this->mutex);
        return this->total;
    }

    [[nodiscard]] std::vector<std::string> failures() const
    {
        const std::lock_guard lock(this->mutex);
        return this->broken;
    }

private:
    struct Request
    {
        std::string path;
        bool isIdempotent = false;
        int runs = 0;
        int status = 0;
        bool isRefused = false;
    };

    mutable std::mutex mutex;
    std::map<std::string, Request> requests;
    std::vector<std::string> broken;
    int total = 0;
    int good = 0;
};
} // namespace figpulley::soak
