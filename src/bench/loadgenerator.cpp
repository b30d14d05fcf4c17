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
constexpr std::size_t largestAnswer = 4UL << 20U;
constexpr std::uint64_t userCount = 100000;
constexpr int httpOk = 200;
} // namespace

/// One thread of clients; the workers share the rates evenly.
class LoadGenerator::Worker
{
public:
    Worker(const Deployment &deployment, std::vector<net::Address> entrances, Rate rate, Duration length, int clientAttempts,
           std::uint64_t seed, std::uint64_t firstWork)
        : deployment(deployment)
        , entrances(std::move(entrances))
        , rate(std::move(rate))
        , length(length)
        , clientAttempts(clientAttempts)
        , random(seed)
        , nextWork(firstWork)
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

    std::atomic<std::uint64_t> sentCount {0};

private:
    struct Pending
    {
        CallRecord record;
        std::string user;
    };

    void tick()
    {
        const auto now = core::steadyNow() - this->origin;
        const auto until = std::min(now, this->length);
        for (std::size_t index = 0; index < this->deployment.demand.size(); ++index) {
            this->sendDue(index, until);
        }
        this->isLoadOver = now >= this->length;
    }

    // Arrivals of a Poisson process whose rate may change between them.
    void sendDue(std::size_t index, Duration until)
    {
        const auto &demand = this->deployment.demand[index];
        auto &next = this->nextArrival[index];
        while (next < until) {
            const auto perSecond = this->rate(demand, next) / static_cast<double>(workerCount);
            const auto gap = -std::log(1 - core::uniform(this->random)) / std::max(perSecond, 0.01);
            if (next.count() > 0) {
                this->sendNew(index, next);
            }
            next += Duration(std::max<std::int64_t>(1, static_cast<std::int64_t>(gap * 1e6)));
        }
    }

    void sendNew(std::size_t index, Duration intended)
    {
        auto pending = std::make_shared<Pending>();
        pending->record.work = this->nextWork;
        this->nextWork += workerCount;
        pending->record.demand = static_cast<std::uint16_t>(index);
        pending->record.intended = intended;
        pending->user = fmt::format("user-{}", this->random() % userCount);
        ++this->inFlight;
        this->send(pending);
    }

    void send(const std::shared_ptr<Pending> &pending)
    {
        const auto &demand = this->deployment.demand[pending->record.demand];
        const auto &entrance = this->entrances[core::uniformIndex(this->random, this->entrances.size())];
        ++pending->record.clientAttempts;
        this->sentCount.fetch_add(1, std::memory_order_relaxed);
        net::ClientRequest request;
        request.method = demand.method;
        request.url = fmt::format("http://{}{}", entrance.toString(), demand.path);
        request.headers = {{"Host", demand.service}, {"X-User", pending->user}, {"X-Work", fmt::to_string(pending->record.work)}};
        request.body = demand.method == "POST" ? "{}" : "";
        request.timeout = clientTimeout;
        request.mayResend = false;
        this->client->fetch(request, largestAnswer, [this, pending](const net::ClientResponse &answer) { this->ended(pending, answer); });
    }

    void ended(const std::shared_ptr<Pending> &pending, const net::ClientResponse &answer)
    {
        auto &record = pending->record;
        const auto &demand = this->deployment.demand[record.demand];
        const auto retries = net::findHeader(answer.head.headers, "Figpulley-Retries");
        int spent = 0;
        std::from_chars(retries.data(), retries.data() + retries.size(), spent);
        record.retries += spent;
        const bool isOk = answer.result.kind == ErrorKind::None && answer.head.status == httpOk;
        const bool saidNotRun = net::findHeader(answer.head.headers, "Figpulley-Ran") == "no";
        record.allSaidNotRun = record.allSaidNotRun && saidNotRun;
        if (isOk) {
            const auto expected = fmt::format("work={};", record.work);
            record.isForeign = !answer.body.starts_with(expected) || answer.body.size() != std::max(demand.answerBytes, expected.size());
        }
        const bool mayRepeat = demand.isIdempotent || saidNotRun;
        if (!isOk && mayRepeat && record.clientAttempts < this->clientAttempts) {
            this->send(pending);
            return;
        }
        record.latency = core::steadyNow() - this->origin - record.intended;
        if (isOk && !record.isForeign && record.latency <= clientDeadline) {
            record.result = CallResult::Good;
        } else {
            record.result = record.allSaidNotRun ? CallResult::Shed : CallResult::Failed;
        }
        this->records.push_back(record);
        --this->inFlight;
    }

    const Deployment &deployment;
    std::vector<net::Address> entrances;
    Rate rate;
    Duration length;
    int clientAttempts;
    core::Random random;
    std::uint64_t nextWork;
    std::vector<Duration> nextArrival;
    core::TimePoint origin {};
    std::uint64_t inFlight = 0;
    bool isLoadOver = false;
    std::vector<CallRecord> records;
    net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
};

LoadGenerator::LoadGenerator(const Deployment &deployment, const std::vector<net::Address> &entrances, const Rate &rate, Duration length,
                             int clientAttempts, std::uint64_t seed)
{
    for (std::size_t at = 0; at < workerCount; ++at) {
        this->workers.push_back(std::make_unique<Worker>(deployment, entrances, rate, length, clientAttempts, seed + at * 104729, at + 1));
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
    std::vector<CallRecord> all;
    for (auto &worker : this->workers) {
        auto part = worker->finish();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

std::uint64_t LoadGenerator::sent() const noexcept
{
    std::uint64_t sum = 0;
    for (const auto &worker : this->workers) {
        sum += worker->sentCount.load(std::memory_order_relaxed);
    }
    return sum;
}
} // namespace figpulley::bench
