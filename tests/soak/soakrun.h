#pragma once

#include "core/random.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/loopthread.h"
#include "soak/faultproxy.h"
#include "soak/ledger.h"
#include "soak/statementcheck.h"
#include "support/metadatastore.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figpulley::soak
{
struct SoakOptions
{
    std::string binary; ///< path of the program under test
    std::string folder; ///< folder for settings and logs
    std::uint64_t seed = 1;
    int vms = 5;
    int seconds = 12; ///< duration of the fault injection
    bool isTimed = true; ///< whether guarantees with a time bound are checked, which fail on a machine under load
};

/// A soak run with one seed. The nodes run as processes; their endpoints, the clients and the platform's metadata store run in this
/// process. Faults are injected by signals to the nodes and by proxies in front of the store and of each endpoint.
class SoakRun
{
public:
    explicit SoakRun(SoakOptions options);
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /// @returns the guarantees that were violated, followed by the injected faults if there are any violations
    [[nodiscard]] std::vector<std::string> run();

private:
    struct Vm
    {
        std::string name;
        std::string service;
        std::string ip;
        std::atomic<int> pid = 0;
        std::atomic<bool> isPaused = false;
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
        bool isDraining = false;
        bool isSilent = false; ///< whether the endpoint sends no heartbeats
        core::TimePoint drainAcknowledgedAt {}; ///< when the node acknowledged the heartbeat that reports draining
        std::optional<double> rateLimit; ///< limit that the endpoint states, in requests per second
        bool isStatingDeparture = false; ///< whether the responses state that the endpoint is leaving
        StatementCheck statements;
        std::uint64_t servedVersion = 0; ///< highest configuration version of which the current process has served a route
    };

    void addVm(int number);
    void startProcess(Vm &vm);
    void stopProcess(Vm &vm, int signal);
    void waitForExit(Vm &vm);
    void sendHeartbeat(Vm &vm);
    void serve(Vm &vm, const std::shared_ptr<net::HttpExchange> &exchange);
    void sendRequest(std::size_t clientNumber);
    void recordStatements(const Vm &node, int pid, const net::ClientResponse &answer);
    void scheduleRequest(std::size_t clientNumber);
    void publish();
    void runPlannedOperations();
    void injectFaults();
    void injectFault();
    void restoreStore();
    void writeOddObject(const Vm &vm);
    void sendOddHeartbeat(const Vm &vm);
    void departWithoutDraining(Vm &vm);
    void checkRecords();
    void checkRecovery();
    void checkMemory();
    void setRateLimit(Vm &vm, std::optional<double> perSecond);
    void startNextIncarnation(Vm &vm);
    void excuseNode(const Vm &vm);
    void reportTimingViolation(const std::string &text);
    Vm &randomVm();
    std::optional<double> randomRateLimit();
    void recordEvent(const std::string &what);
    void sleepMs(int milliseconds) const;
    int randomInt(int low, int high);
    int randomIntOnLoop(int low, int high);

    SoakOptions options;
    core::Random random; // chooses faults, on the main thread
    core::Random loopRandom; // chooses what clients and endpoints do, on the event loop's thread
    Ledger ledger;
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<tests::MetadataStore> store;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::string> events; // log of the injected faults, printed after violations
    std::map<std::string, std::pair<std::string, core::TimePoint>> origins; // node and time of each open request, by id
    std::uint64_t nextId = 1;
    std::atomic<int> version = 0;
    std::atomic<bool> isFaultFree {true};
    std::atomic<bool> isStopping {false};
    std::atomic<int> openRequests {0};
};
} // namespace figpulley::soak
