#pragma once

#include "core/random.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/loopthread.h"
#include "soak/faultproxy.h"
#include "soak/ledger.h"
#include "support/metadatastore.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace figpulley::soak
{
struct SoakOptions
{
    std::string binary; ///< of the program under test
    std::string folder; ///< for settings and logs
    std::uint64_t seed = 1;
    int vms = 5;
    int seconds = 12; ///< of unplanned faults
    bool isTimed = true; ///< whether promises with a time bound are checked; a machine under load cannot keep them
};

/// One seeded run: real nodes as processes, with endpoints, clients and the platform's store in this process, and faults that come
/// from outside: signals to the nodes, and proxies before the store and before each endpoint.
class SoakRun
{
public:
    explicit SoakRun(SoakOptions options);
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /// @returns the promises that were broken
    [[nodiscard]] std::vector<std::string> run();

private:
    struct Vm
    {
        std::string name;
        std::string service;
        std::string ip;
        std::atomic<int> pid = 0;
        bool isPaused = false;
        std::unique_ptr<net::HttpServer> endpoint;
        std::unique_ptr<FaultProxy> endpointLink;
        std::unique_ptr<FaultProxy> storeLink;
        net::Address entrance;
        net::Address ingress;
        net::Address control;
        net::Address readiness;
        net::Address metrics;
        int sequence = 0;
        std::int64_t incarnation = 1000;
        bool isLeaving = false;
        core::TimePoint leftAt {}; ///< when the departure was acknowledged
        std::uint64_t shownVersion = 0; ///< of the configuration, by its process
    };

    void addVm(int number);
    void start(Vm &vm);
    void stopProcess(Vm &vm, int signal);
    void waitEnd(Vm &vm);
    void heartbeat(Vm &vm);
    void serve(Vm &vm, const std::shared_ptr<net::HttpExchange> &exchange);
    void sendRequest(std::size_t client);
    void clientLater(std::size_t client);
    void publish();
    void plannedWork();
    void unplannedFaults();
    void oneFault();
    void recover();
    void checkMemory();
    void reportTimed(const std::string &text);
    Vm &anyVm();
    void note(const std::string &what);
    void sleepMs(int milliseconds) const;
    int between(int low, int high);
    int betweenOnLoop(int low, int high);

    SoakOptions options;
    core::Random random; // of faults, on the main thread
    core::Random loopRandom; // of clients and endpoints, on the loop's thread
    Ledger ledger;
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<tests::MetadataStore> store;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::string> events; // what was done, for the report
    std::uint64_t nextId = 1;
    std::atomic<int> version = 0;
    std::atomic<bool> isCalm {true};
    std::atomic<bool> isOver {false};
    std::atomic<int> open {0};
};
} // namespace figpulley::soak
