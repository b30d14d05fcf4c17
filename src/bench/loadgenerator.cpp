#include "bench/loadgenerator.h"

#include <atomic>
#include <charconv>
#include <chrono>
#include <cmath>
#include <future>
#include <thread>

#include <fmt/format.h>

namespace figpulley::bench
{
namespace
{
using namespace std::chrono_literals;
using core::Duration;
using core::ErrorKind;

constexpr std::size_t workerCount = 2;
constexpr Duration tickInterval = 1ms;
constexpr Duration clientDeadline = 2s;
constexpr Duration clientTimeout = 3s;
constexpr std::size_t maxResponseBytes = 4UL << 20U;
constexpr std::uint64_t userCount = 100000;
constexpr int httpOk = 200;
} // namespace

/// Sends an equal fraction of every rate on a thread of its own.
class LoadGenerator::Worker
{
public:
    Worker(const Deployment &deployment, std::vector<net::Address> entrances, RateFunction rate, Duration length, int maxClientAttempts,
           std::uint64_t seed, std::uint64_t firstWorkId)
        : deployment(deployment)
        , entrances(std::move(entrances))
        , rate(std::move(rate))
        , length(length)
        , maxClientAttempts(maxClientAttempts)
        , random(seed)
        , nextWorkId(firstWorkId)
        , nextArrival(deployment.demand.size())
    {
        this->thread.call([this] { this->client = std::make_unique<net::HttpClient>(this->thread.loop()); });
    }

    ~Worker()
    {
        this->thread.call([this] {
            this->thread.loop().cancel(this->timer);
            this->client.reset();
        });
    }

    void start(core::TimePoint origin)
    {
        this->thread.call([this, origin] {
            this->origin = origin;
            this->timer = this->thread.loop().callEvery(tickInterval, [this] { this->tick(); });
        });
    }

    std::vector<CallRecord> finish()
    {
        while (!this->thread.call([this] { return this->isLoadOver && this->inFlight == 0; })) {
            std::this_thread::sleep_for(20ms);
        }
        return this->thread.call([this] { return std::move(this->records); });
    }

    std::atomic<std::uint64_t> attemptsSent {0};

private:
    struct PendingCall
    {
        CallRecord record;
        std::string user;
    };

    void tick()
    {
        const auto now = core::steadyNow() - this->origin;
        const auto until = std::min(now, this->length);
        for (std::size_t index = 0; index < this->deployment.demand.size(); ++index) {
            this->sendDueCalls(index, until);
        }
        this->isLoadOver = now >= this->length;
    }

    // Starts the calls that are due. Arrivals follow a Poisson process whose rate is evaluated anew at each arrival.
    void sendDueCalls(std::size_t index, Duration until)
    {
        const auto &demand = this->deployment.demand[index];
        auto &next = this->nextArrival[index];
        while (next < until) {
            const auto perSecond = this->rate(demand, next) / static_cast<double>(workerCount);
            const auto gap = -std::log(1 - core::uniform(this->random)) / std::max(perSecond, 0.01);
            if (next.count() > 0) {
                this->startCall(index, next);
            }
            next += Duration(std::max<std::int64_t>(1, static_cast<std::int64_t>(gap * 1e6)));
        }
    }

    void startCall(std::size_t index, Duration intendedStart)
    {
        auto pending = std::make_shared<PendingCall>();
        pending->record.workId = this->nextWorkId;
        this->nextWorkId += workerCount;
        pending->record.demandIndex = static_cast<std::uint16_t>(index);
        pending->record.intendedStart = intendedStart;
        pending->user = fmt::format("user-{}", this->random() % userCount);
        ++this->inFlight;
        this->send(pending);
    }

    void send(const std::shared_ptr<PendingCall> &pending)
    {
        const auto &demand = this->deployment.demand[pending->record.demandIndex];
        const auto &entrance = this->entrances[core::uniformIndex(this->random, this->entrances.size())];
        ++pending->record.clientAttempts;
        this->attemptsSent.fetch_add(1, std::memory_order_relaxed);
        net::ClientRequest request;
        request.method = demand.method;
        request.url = fmt::format("http://{}{}", entrance.toString(), demand.path);
        request.headers = {{"Host", demand.service}, {"X-User", pending->user}, {"X-Work", fmt::to_string(pending->record.workId)}};
        request.body = demand.method == "POST" ? "{}" : "";
        request.timeout = clientTimeout;
        request.mayResend = false;
        this->client->fetch(request, maxResponseBytes,
                            [this, pending](const net::ClientResponse &response) { this->handleResponse(pending, response); });
    }

    void handleResponse(const std::shared_ptr<PendingCall> &pending, const net::ClientResponse &response)
    {
        auto &record = pending->record;
        const auto &demand = this->deployment.demand[record.demandIndex];
        const auto retries = net::findHeader(response.head.headers, "Figpulley-Retries");
        int callRetries = 0;
        std::from_chars(retries.data(), retries.data() + retries.size(), callRetries);
        record.nodeRetries += callRetries;
        const bool isOk = response.result.kind == ErrorKind::None && response.head.status == httpOk;
        const bool reportedNotRun = net::findHeader(response.head.headers, "Figpulley-Ran") == "no";
        record.allReportedNotRun = record.allReportedNotRun && reportedNotRun;
        if (isOk) {
            const auto expectedPrefix = fmt::format("work={};", record.workId);
            record.hasForeignResponse =
                !response.body.starts_with(expectedPrefix) || response.body.size() != std::max(demand.responseBytes, expectedPrefix.size());
        }
        const bool mayRetry = demand.isIdempotent || reportedNotRun;
        if (!isOk && mayRetry && record.clientAttempts < this->maxClientAttempts) {
            this->send(pending);
            return;
        }
        record.latency = core::steadyNow() - this->origin - record.intendedStart;
        if (isOk && !record.hasForeignResponse && record.latency <= clientDeadline) {
            record.result = CallResult::Good;
        } else {
            record.result = record.allReportedNotRun ? CallResult::Shed : CallResult::Failed;
        }
        this->records.push_back(record);
        --this->inFlight;
    }

    const Deployment &deployment;
    std::vector<net::Address> entrances;
    RateFunction rate;
    Duration length;
    int maxClientAttempts;
    core::Random random;
    std::uint64_t nextWorkId;
    std::vector<Duration> nextArrival;
    core::TimePoint origin {};
    std::uint64_t inFlight = 0;
    bool isLoadOver = false;
    std::vector<CallRecord> records;
    net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
};

LoadGenerator::LoadGenerator(const Deployment &deployment, const std::vector<net::Address> &entrances, const RateFunction &rate,
                             Duration length, int maxClientAttempts, std::uint64_t seed)
{
    for (std::size_t at = 0; at < workerCount; ++at) {
        this->workers.push_back(
            std::make_unique<Worker>(deployment, entrances, rate, length, maxClientAttempts, seed + at * 104729, at + 1));
    }
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start()
{
    const auto origin = core::steadyNow();
    for (auto &worker : this->workers) {
        worker->start(origin);
    }
}

std::vector<CallRecord> LoadGenerator::finish()
{
    std::vector<CallRecord> records;
    for (auto &worker : this->workers) {
        auto workerRecords = worker->finish();
        records.insert(records.end(), workerRecords.begin(), workerRecords.end());
    }
    return records;
}

std::uint64_t LoadGenerator::attemptsSent() const noexcept
{
    std::uint64_t sum = 0;
    for (const auto &worker : this->workers) {
        sum += worker->attemptsSent.load(std::memory_order_relaxed);
    }
    return sum;
}
} // namespace figpulley::bench
