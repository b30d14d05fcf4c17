#include "soak/soakrun.h"

#include "support/meshtestbed.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>

#include <ace/Process.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

namespace figpulley::soak
{
namespace
{
using namespace std::chrono_literals;

constexpr std::size_t minClients = 24; // several clients on each VM of a small run, so that requests overlap all the time
constexpr int meanThinkTimeMs = 25;
constexpr long maxResidentKb = 160L * 1024L; // memory for the node on the smallest VMs of the users' deployments
constexpr core::Duration maxDrainDelay = 2500ms; // users' upper bound for new requests at a draining endpoint
constexpr double minSuccessRatioAfterFaults = 0.95; // fraction of requests that succeed after all faults ended
constexpr int gracePeriodS = 6;
// Mean number of requests between resets of all connections to an endpoint, which gives one or two resets a second.
constexpr int requestsPerConnectionReset = 300;
constexpr std::uint64_t addressesPerOctet = 250;

const std::string serverStamp = "soak";
const std::string endpointHeader = "X-Endpoint"; // name of the VM whose endpoint has made a response

std::string responseBody(const std::string &id)
{
    std::string body;
    while (body.size() < 200 + id.size() * 40 % 3000) {
        body += id + "/";
    }
    return body;
}

// Returns the configuration of a version: the routes of all versions, and one route whose path only this version has.
std::string makeRoutes(int version)
{
    std::string paths =
        R"({"Name":"look","PathPrefix":"/look/","Kind":"safe","TimeoutS":3,"TargetLatencyS":1,"Priority":2,"Service":"motivi","MaxAttempts":2},)"
        R"({"Name":"order","PathPrefix":"/order/","Kind":"unsafe","TimeoutS":3,"TargetLatencyS":1,"Priority":0,"Service":"commesse","MaxAttempts":2})";
    paths += fmt::format(
        R"(,{{"Name":"v","PathPrefix":"/v{}/","Kind":"safe","TimeoutS":3,"TargetLatencyS":1,"Priority":2,"Service":"motivi","MaxAttempts":2}})",
        version);
    return fmt::format(
        R"({{"Version":{},"Services":[],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutS":3,"IdleTimeoutS":15}},)"
        R"("VirtualHosts":[{{"Host":"a.example","Paths":[{}]}}]}})",
        version, paths);
}
} // namespace

SoakRun::SoakRun(SoakOptions soakOptions)
    : options(std::move(soakOptions))
    , random(this->options.seed)
    , loopRandom(this->options.seed + 1)
{
    this->thread.call([this] {
        this->client = std::make_unique<net::HttpClient>(this->thread.loop());
        this->store = std::make_unique<tests::MetadataStore>(this->thread.loop(), net::Address {"127.0.0.1", 0});
    });
    for (int number = 0; number < this->options.vms; ++number) {
        this->addVm(number);
    }
}

SoakRun::~SoakRun()
{
    this->isStopping = true;
    for (const auto &vm : this->vms) {
        this->stopProcess(*vm, SIGKILL);
        this->waitForExit(*vm);
    }
    this->thread.call([this] {
        this->client.reset();
        this->vms.clear();
        this->store.reset();
    });
}

void SoakRun::addVm(int number)
{
    auto vm = std::make_unique<Vm>();
    vm->name = fmt::format("vm-{}", number);
    vm->service = number % 5 < 3 ? "motivi" : "commesse";
    // Each run has its own IP addresses, so that parallel runs don't use the same ports.
    vm->ip = fmt::format("127.{}.{}.{}", 1 + this->options.seed / addressesPerOctet % addressesPerOctet,
                         this->options.seed % addressesPerOctet, number + 1);
    this->thread.call([&] {
        auto &loop = this->thread.loop();
        auto *self = vm.get();
        vm->endpoint = std::make_unique<net::HttpServer>(
            loop, net::Address {vm->ip, 0},
            [this, self](const std::shared_ptr<net::HttpExchange> &exchange) { this->serve(*self, exchange); });
        vm->endpointLink = std::make_unique<FaultProxy>(loop, net::Address {vm->ip, 0}, vm->endpoint->address());
        vm->storeLink = std::make_unique<FaultProxy>(loop, net::Address {vm->ip, 0}, this->store->address());
    });
    tests::chooseAddresses(vm->ip, {&vm->entrance, &vm->ingress, &vm->control, &vm->readiness, &vm->metrics});
    std::ofstream settings(fmt::format("{}/{}.jsonc", this->options.folder, vm->name));
    settings << fmt::format(
        R"({{"name":"{}","availability_zone":"{}","service":"{}","entrance":"{}","ingress":"{}","control":"{}","readiness":"{}","metrics":"{}",)"
        R"("upstream":"{}","store":"{}","heartbeat_interval_s":0.5,"grace_s":{},"retry_ratio":0.2,"retry_slack":48,"retry_window_s":10,"limit_probe_interval_s":1.5}})",
        vm->name, number % 2 == 0 ? "mineo" : "vizzini", vm->service, vm->entrance.toString(), vm->ingress.toString(),
        vm->control.toString(), vm->readiness.toString(), vm->metrics.toString(), vm->endpointLink->address().toString(),
        vm->storeLink->address().toString(), gracePeriodS);
    settings.close();
    this->vms.push_back(std::move(vm));
}

void SoakRun::startProcess(Vm &vm)
{
    ACE_Process_Options processOptions;
    processOptions.command_line("%s mesh --settings %s/%s.jsonc", this->options.binary.c_str(), this->options.folder.c_str(),
                                vm.name.c_str());
    const int log =
        ::open(fmt::format("{}/{}.log", this->options.folder, vm.name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    processOptions.set_handles(ACE_INVALID_HANDLE, log, log);
    ACE_Process process;
    vm.pid = std::max<pid_t>(0, process.spawn(processOptions)); // -1 would address all processes
    if (vm.pid == 0) {
        this->ledger.addViolation("the process of " + vm.name + " could not be started");
    }
    processOptions.release_handles();
    ::close(log);
    vm.isPaused = false;
    vm.servedVersion = 0;
    this->excuseNode(vm);
}

// What a node knows of the endpoints' statements ends with its process, and a paused node learns nothing new.
void SoakRun::excuseNode(const Vm &vm)
{
    this->thread.call([&] {
        for (const auto &other : this->vms) {
            other->statements.excuse(vm.name);
        }
    });
}

void SoakRun::setRateLimit(Vm &vm, std::optional<double> perSecond)
{
    this->thread.call([&] {
        vm.rateLimit = perSecond;
        vm.statements.setLimit(perSecond, core::steadyNow());
    });
}

void SoakRun::startNextIncarnation(Vm &vm)
{
    this->thread.call([&] {
        vm.isDraining = false;
        vm.isSilent = false;
        vm.isStatingDeparture = false;
        vm.drainAcknowledgedAt = {};
        vm.incarnation += 1000;
        vm.sequence = 0;
        vm.rateLimit.reset();
        vm.statements.restart();
    });
}

void SoakRun::stopProcess(Vm &vm, int signal)
{
    if (vm.pid > 0) {
        kill(vm.pid, signal);
        if (vm.isPaused) {
            kill(vm.pid, SIGCONT);
            vm.isPaused = false;
        }
    }
}

void SoakRun::waitForExit(Vm &vm)
{
    if (vm.pid <= 0) {
        return;
    }
    int status = 0;
    const auto deadline = core::steadyNow() + std::chrono::seconds(gracePeriodS);
    while (waitpid(vm.pid, &status, WNOHANG) == 0) {
        if (core::steadyNow() > deadline) {
            this->reportTimingViolation(fmt::format("{} was still running at the end of its grace period", vm.name));
            kill(vm.pid, SIGKILL);
            waitpid(vm.pid, &status, 0);
            break;
        }
        this->sleepMs(20);
    }
    if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) {
        this->ledger.addViolation(fmt::format("{} ended by signal {}", vm.name, WTERMSIG(status)));
    }
    vm.pid = 0;
}

// Runs on the event loop's thread.
void SoakRun::sendHeartbeat(Vm &vm)
{
    if (this->isStopping) {
        return;
    }
    if (vm.isSilent) {
        this->thread.loop().callAfter(500ms, [this, &vm] { this->sendHeartbeat(vm); });
        return;
    }
    net::ClientRequest request;
    request.method = "POST";
    request.url = fmt::format("http://{}/v1/Instances.Heartbeat/i-{}", vm.control.toString(), vm.name);
    request.timeout = 1s;
    const bool isDraining = vm.isDraining;
    const auto incarnation = vm.incarnation;
    request.body = fmt::format(
        R"({{"Service":"{}","Address":"{}","Zone":"mineo","Version":"v1","Slots":16,"State":"{}","ColdRemainingS":0,"Seq":{},"born":{}}})",
        vm.service, vm.endpointLink->address().toString(), isDraining ? "draining" : "ready", ++vm.sequence, incarnation);
    this->client->fetch(request, 4096, [&vm, isDraining, incarnation](const net::ClientResponse &answer) {
        const bool isAcknowledged = answer.result.kind == core::ErrorKind::None && answer.head.status == 200;
        if (isAcknowledged && isDraining && incarnation == vm.incarnation && vm.drainAcknowledgedAt == core::TimePoint {}) {
            vm.drainAcknowledgedAt = core::steadyNow();
        }
    });
    this->thread.loop().callAfter(500ms, [this, &vm] { this->sendHeartbeat(vm); });
}

// Runs on the event loop's thread.
void SoakRun::serve(Vm &vm, const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto id = std::string(net::findHeader(request.headers, "X-Request-Id"));
    net::Headers headers {{"X-Request-Id", id}, {"X-Server-Stamp", serverStamp}, {endpointHeader, vm.name}};
    if (vm.rateLimit) {
        headers.push_back({std::string(platform::names::rateLimit), fmt::format("{}", *vm.rateLimit)});
    }
    if (vm.isDraining || vm.isStatingDeparture) {
        headers.push_back({std::string(platform::names::leaving), std::string(platform::names::leavingValue)});
    }
    if (net::findHeader(request.headers, "X-Expect-Instance") != "i-" + vm.name) {
        exchange->respond({421, {{"X-Request-Id", id}, {"X-Not-Run", "1"}}, {}});
        return;
    }
    if (const auto origin = this->origins.find(id); origin != this->origins.end()) {
        const auto violation = vm.statements.recordArrival(origin->second.first, origin->second.second, core::steadyNow());
        if (!violation.empty()) {
            this->ledger.addViolation(fmt::format("{} received {} ({})", vm.name, violation, id));
        }
    }
    if (this->randomIntOnLoop(0, 99) < 3) {
        headers.push_back({"X-Not-Run", "1"});
        exchange->respond({503, std::move(headers), {}});
        return;
    }
    this->ledger.recordRun(id, request.path);
    if (vm.drainAcknowledgedAt != core::TimePoint {} && core::steadyNow() - vm.drainAcknowledgedAt > maxDrainDelay) {
        this->reportTimingViolation(fmt::format("{} reached {} after the node acknowledged that its endpoint is draining", id, vm.name));
    }
    if (!this->isFaultFree && this->randomIntOnLoop(0, requestsPerConnectionReset) == 0) {
        this->thread.loop().post([&vm] {
            vm.endpointLink->setFault(LinkFault::Reset);
            vm.endpointLink->setFault(LinkFault::None);
        });
    }
    const auto runTime =
        std::chrono::milliseconds(this->randomIntOnLoop(1, 100) < 4 ? this->randomIntOnLoop(200, 800) : this->randomIntOnLoop(2, 40));
    this->thread.loop().callAfter(runTime, [exchange, id, headers = std::move(headers)] {
        exchange->respond({200, headers, responseBody(id)});
    });
}

// Runs on the event loop's thread.
void SoakRun::scheduleRequest(std::size_t number)
{
    this->thread.loop().callAfter(std::chrono::milliseconds(this->randomIntOnLoop(1, 2 * meanThinkTimeMs)),
                                  [this, number] { this->sendRequest(number); });
}

// Runs on the event loop's thread. Clients reuse the connections that libcurl keeps open until the node's process ends.
void SoakRun::sendRequest(std::size_t number)
{
    if (this->isStopping) {
        return;
    }
    auto &vm = *this->vms[number % this->vms.size()];
    const auto kind = this->randomIntOnLoop(0, 9);
    const auto publishedVersion = static_cast<std::uint64_t>(this->version);
    const bool isOlderWanted = publishedVersion > 1 && this->randomIntOnLoop(0, 2) == 0;
    const auto requestedVersion = isOlderWanted ? publishedVersion - 1 : publishedVersion;
    const auto path = kind < 3              ? std::string("/order/x")
        : kind < 9 || requestedVersion == 0 ? std::string("/look/x")
                                            : fmt::format("/v{}/x", requestedVersion);
    const bool isVersioned = path.starts_with("/v");
    const bool isOrder = kind < 3;
    const auto id = fmt::format("s{}-{}", this->options.seed, this->nextId++);
    net::ClientRequest request;
    request.method = isOrder ? "POST" : "GET";
    request.url = fmt::format("http://{}{}", vm.entrance.toString(), path);
    request.headers = {{"Host", "a.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}};
    request.body = isOrder ? std::string(static_cast<std::size_t>(this->randomIntOnLoop(1, 4000)), 'o') : std::string();
    request.timeout = 4s;
    request.mayResend = false;
    this->ledger.recordSent(id, path, !isOrder);
    this->origins[id] = {vm.name, core::steadyNow()};
    ++this->openRequests;
    const int pid = vm.pid;
    const auto servedBefore = vm.servedVersion;
    const bool wasFaultFree = this->isFaultFree;
    this->client->fetch(
        request, 1UL << 20U,
        [this, number, id, &vm, pid, requestedVersion, servedBefore, isVersioned, wasFaultFree](const net::ClientResponse &answer) {
            --this->openRequests;
            this->origins.erase(id);
            this->recordStatements(vm, pid, answer);
            const auto status = answer.result.kind == core::ErrorKind::None ? answer.head.status : 0;
            const bool isMatching =
                answer.body == responseBody(id) && net::findHeader(answer.head.headers, "X-Server-Stamp") == serverStamp;
            // A versioned route may have been removed already or may not be active yet, so that only its success counts.
            if (!isVersioned || status == 200) {
                this->ledger.recordResponse(id, status, isMatching, wasFaultFree && this->isFaultFree);
            }
            if (isVersioned && pid == vm.pid) {
                if (status == 200 && requestedVersion < servedBefore) {
                    this->ledger.addViolation(
                        fmt::format("{} served version {} and then a route of version {}", vm.name, servedBefore, requestedVersion));
                }
                if (status == 200) {
                    vm.servedVersion = std::max(vm.servedVersion, requestedVersion);
                } else if (status == 404 && requestedVersion > vm.servedVersion) {
                    // The version isn't active at this node yet.
                } else if (status == 404 && requestedVersion == static_cast<std::uint64_t>(this->version)) {
                    this->ledger.addViolation(
                        fmt::format("{} served version {} and returned to an earlier one", vm.name, requestedVersion));
                }
            }
            this->scheduleRequest(number);
        });
}

// Runs on the event loop's thread. Records the statements of an endpoint in a response that a node has passed on.
void SoakRun::recordStatements(const Vm &node, int pid, const net::ClientResponse &answer)
{
    const auto endpoint = net::findHeader(answer.head.headers, endpointHeader);
    if (endpoint.empty() || pid != node.pid || node.isPaused) {
        return;
    }
    const bool hasLimit = !net::findHeader(answer.head.headers, platform::names::rateLimit).empty();
    const bool isLeaving = !net::findHeader(answer.head.headers, platform::names::leaving).empty();
    for (const auto &vm : this->vms) {
        // A response that an earlier incarnation has made may arrive after the next one has started.
        const bool isCurrent = vm->name == endpoint && (!isLeaving || vm->isDraining || vm->isStatingDeparture);
        if (isCurrent) {
            vm->statements.recordPassedOn(node.name, hasLimit, isLeaving, core::steadyNow());
        }
    }
}

void SoakRun::publish()
{
    this->thread.call([this] {
        ++this->version;
        this->store->write("config", "main", makeRoutes(this->version));
    });
}

// Runs a rolling restart with overlapping configuration changes, then drains one endpoint. None of this may cut a request.
void SoakRun::runPlannedOperations()
{
    for (const auto &vm : this->vms) {
        this->publish();
        auto &limited = this->randomVm();
        this->setRateLimit(limited, this->randomRateLimit());
        this->stopProcess(*vm, SIGTERM);
        if (this->randomInt(0, 1) == 0) {
            this->publish();
        }
        this->sleepMs(this->randomInt(0, 400));
        this->stopProcess(this->randomVm(), SIGHUP);
        this->waitForExit(*vm);
        this->startProcess(*vm);
        this->sleepMs(this->randomInt(300, 800));
    }
    auto &draining = *this->vms.front();
    this->thread.call([&] { draining.isDraining = true; });
    this->sleepMs(4000);
    this->startNextIncarnation(draining);
}

void SoakRun::injectFault()
{
    auto &vm = this->randomVm();
    const auto linkFault = static_cast<LinkFault>(this->randomInt(1, 4));
    const auto endpointFault = static_cast<LinkFault>(this->randomInt(1, 6));
    switch (this->randomInt(0, 12)) {
    case 0:
        this->recordEvent("kill " + vm.name);
        this->stopProcess(vm, SIGKILL);
        this->waitForExit(vm);
        this->sleepMs(this->randomInt(0, 500));
        this->startProcess(vm);
        break;
    case 1:
        this->recordEvent("pause " + vm.name);
        this->stopProcess(vm, SIGSTOP);
        vm.isPaused = true;
        this->sleepMs(this->randomInt(200, 2500));
        this->excuseNode(vm);
        this->stopProcess(vm, SIGCONT);
        vm.isPaused = false;
        break;
    case 2:
        this->recordEvent(fmt::format("store link {} of {}", static_cast<int>(linkFault), vm.name));
        this->thread.call([&] { vm.storeLink->setFault(linkFault); });
        break;
    case 3:
        this->recordEvent(fmt::format("endpoint link {} of {}", static_cast<int>(endpointFault), vm.name));
        this->thread.call([&] { vm.endpointLink->setFault(endpointFault); });
        break;
    case 4: {
        const auto fault = static_cast<tests::MetadataStore::Fault>(this->randomInt(0, 3));
        this->recordEvent(fmt::format("store fault {}", static_cast<int>(fault)));
        this->thread.call([&] { this->store->fault = fault; });
        break;
    }
    case 5:
        this->recordEvent("discard store history and publish new version");
        this->thread.call([&] { this->store->discardHistory(); });
        this->publish();
        break;
    case 6: {
        const auto limit = this->randomRateLimit();
        this->recordEvent(fmt::format("limit of {}: {}", vm.name, limit ? fmt::format("{}", *limit) : "none"));
        this->setRateLimit(vm, limit);
        break;
    }
    case 8:
        this->restoreStore();
        break;
    case 9:
        this->writeOddObject(vm);
        break;
    case 10:
        this->sendOddHeartbeat(vm);
        break;
    case 11:
        this->departWithoutDraining(vm);
        break;
    case 7:
        this->recordEvent("departure stated by " + vm.name);
        this->thread.call([&] { vm.isStatingDeparture = true; });
        this->sleepMs(this->randomInt(500, 3500));
        this->startNextIncarnation(vm);
        break;
    default:
        this->recordEvent("stop " + vm.name);
        this->stopProcess(vm, SIGTERM);
        this->sleepMs(this->randomInt(0, 300));
        this->stopProcess(this->randomVm(), SIGHUP);
        this->waitForExit(vm);
        this->startProcess(vm);
        break;
    }
}

// Writes what other writers may leave: next to the records of endpoints, in place of one, or in place of the configuration.
void SoakRun::writeOddObject(const Vm &vm)
{
    constexpr std::size_t levels = 200'000; // exhausts the stack of a recursive reader
    const std::vector<std::string> specs {std::string(levels, '[') + std::string(levels, ']'), R"({"slots":1e999})", "\"\xff\"", "{}",
                                          R"({"node":"127.0.0.1:70000"})"};
    const auto &spec = specs[static_cast<std::size_t>(this->randomInt(0, static_cast<int>(specs.size()) - 1))];
    const auto place = this->randomInt(0, 2);
    this->recordEvent(fmt::format("odd object {} at place {} ({})", spec.substr(0, 20), place, vm.name));
    this->thread.call([&] {
        if (place == 0) {
            this->store->writeRaw(mesh::LocalRegistrar::collection, fmt::format("odd-{}", this->randomInt(0, 9)), spec);
        } else if (place == 1) {
            this->store->writeRaw(mesh::LocalRegistrar::collection, mesh::recordName(vm.ingress.toString()), spec);
        } else {
            this->store->writeRaw("config", "main", spec);
        }
    });
    if (place == 2) {
        this->sleepMs(this->randomInt(0, 600));
        this->publish();
    }
}

// Sends a heartbeat of another writer, of a later start than the endpoint's.
void SoakRun::sendOddHeartbeat(const Vm &vm)
{
    const std::vector<std::string> fields {R"("Zone":"mineo")", R"("Zone":7)", R"("Zone":"mineo","Version":"v","ColdRemainingS":"x")",
                                           R"("Zone":"mineo","Version":"v","ColdRemainingS":1e9)"};
    const auto &odd = fields[static_cast<std::size_t>(this->randomInt(0, static_cast<int>(fields.size()) - 1))];
    this->recordEvent(fmt::format("odd heartbeat {} at {}", odd, vm.name));
    net::ClientRequest request;
    request.method = "POST";
    request.url = fmt::format("http://{}/v1/Instances.Heartbeat/odd", vm.control.toString());
    request.timeout = 1s;
    request.body = fmt::format(R"({{"Service":"{}","Address":"{}","Slots":16,"State":"ready","Seq":1,"born":900000,{}}})", vm.service,
                               vm.endpointLink->address().toString(), odd);
    this->thread.call([&] { this->client->fetch(request, 4096, [](const net::ClientResponse &) {}); });
}

// Deregisters an endpoint that serves on without heartbeats, perhaps while the store is down, and may restart its node.
void SoakRun::departWithoutDraining(Vm &vm)
{
    const bool isStoreDown = this->randomInt(0, 1) == 0;
    this->recordEvent(fmt::format("{} deregisters, store {}", vm.name, isStoreDown ? "down" : "as it is"));
    this->thread.call([&] {
        vm.isSilent = true;
        if (isStoreDown) {
            this->store->fault = tests::MetadataStore::Fault::Busy;
        }
    });
    this->sleepMs(100);
    net::ClientRequest request;
    request.method = "POST";
    request.url = fmt::format("http://{}/v1/Instances.Deregister/i-{}", vm.control.toString(), vm.name);
    request.timeout = 1s;
    this->thread.call([&] {
        request.body = fmt::format(R"({{"born":{}}})", vm.incarnation);
        this->client->fetch(request, 4096, [&vm, incarnation = vm.incarnation](const net::ClientResponse &answer) {
            const bool isAcknowledged = answer.result.kind == core::ErrorKind::None && answer.head.status == 200;
            if (isAcknowledged && incarnation == vm.incarnation) {
                vm.drainAcknowledgedAt = core::steadyNow();
            }
        });
    });
    this->sleepMs(this->randomInt(700, 1100));
    if (this->randomInt(0, 1) == 0) {
        const int signal = this->randomInt(0, 1) == 0 ? SIGKILL : SIGTERM;
        this->recordEvent(fmt::format("signal {} to {}", signal, vm.name));
        this->stopProcess(vm, signal);
        this->waitForExit(vm);
        this->startProcess(vm);
    }
    this->sleepMs(this->randomInt(200, 1500));
    this->thread.call([&] { this->store->fault = tests::MetadataStore::Fault::None; });
    this->sleepMs(this->randomInt(500, 4000));
    this->startNextIncarnation(vm);
}

// Restores the store from a copy made before an endpoint drains and the configuration changes, with or without an outage that nodes
// notice. The operator writes the configuration again some time later; the draining endpoint's node may be killed at any point.
void SoakRun::restoreStore()
{
    auto &draining = this->randomVm();
    const bool watchesGoOn = this->randomInt(0, 1) == 0;
    const auto outage = static_cast<tests::MetadataStore::Fault>(this->randomInt(0, 2));
    this->recordEvent(fmt::format("copy of the store, then {} drains", draining.name));
    this->thread.call([&] {
        this->store->copy();
        draining.isDraining = true;
    });
    for (int changes = this->randomInt(0, 3); changes > 0; --changes) {
        this->publish();
        this->sleepMs(this->randomInt(50, 600));
    }
    this->sleepMs(this->randomInt(0, 1000));
    const bool isKilledBefore = this->randomInt(0, 2) == 0;
    if (isKilledBefore) {
        this->recordEvent("kill " + draining.name);
        this->stopProcess(draining, SIGKILL);
        this->waitForExit(draining);
    }
    this->thread.call([&] { this->store->fault = outage; });
    this->sleepMs(outage == tests::MetadataStore::Fault::None ? 0 : this->randomInt(100, 2000));
    this->recordEvent(fmt::format("restore, outage {}, watches {}", static_cast<int>(outage), watchesGoOn ? "go on" : "end"));
    this->thread.call([&] {
        this->store->restore(watchesGoOn);
        this->store->fault = tests::MetadataStore::Fault::None;
    });
    if (isKilledBefore) {
        this->startProcess(draining);
    }
    auto &restarted = this->randomVm();
    if (this->randomInt(0, 1) == 0) {
        this->recordEvent("kill " + restarted.name);
        this->stopProcess(restarted, SIGKILL);
        this->waitForExit(restarted);
        this->startProcess(restarted);
    }
    this->sleepMs(this->randomInt(0, 700));
    this->thread.call([&] { this->store->write("config", "main", makeRoutes(this->version)); });
    this->sleepMs(this->randomInt(500, 3000));
    this->startNextIncarnation(draining);
}

void SoakRun::injectFaults()
{
    this->isFaultFree = false;
    this->restoreStore();
    const auto deadline = core::steadyNow() + std::chrono::seconds(this->options.seconds);
    while (core::steadyNow() < deadline) {
        this->injectFault();
        this->sleepMs(this->randomInt(50, 900));
        auto &repaired = this->randomVm();
        this->thread.call([&] {
            repaired.storeLink->setFault(LinkFault::None);
            repaired.endpointLink->setFault(LinkFault::None);
        });
    }
}

void SoakRun::checkRecovery()
{
    this->thread.call([this] {
        this->store->fault = tests::MetadataStore::Fault::None;
        for (const auto &vm : this->vms) {
            vm->storeLink->setFault(LinkFault::None);
            vm->endpointLink->setFault(LinkFault::None);
        }
    });
    for (const auto &vm : this->vms) {
        this->setRateLimit(*vm, std::nullopt);
    }
    this->publish();
    this->sleepMs(4000);
    this->ledger.restartCounts();
    this->sleepMs(2000);
    if (this->ledger.successRatio() < minSuccessRatioAfterFaults) {
        this->reportTimingViolation(fmt::format("success ratio of {:.2f} over {} requests after all faults ended",
                                                this->ledger.successRatio(), this->ledger.responseCount()));
    }
    this->checkRecords();
    const auto expectedVersion = static_cast<std::uint64_t>(this->version);
    for (const auto &vm : this->vms) {
        if (this->thread.call([&] { return vm->servedVersion; }) < expectedVersion) {
            this->reportTimingViolation(
                fmt::format("{} did not serve version {} within six seconds of its publication", vm->name, expectedVersion));
        }
    }
}

// Each endpoint's record has to be in the store again, whatever the restores have lost.
void SoakRun::checkRecords()
{
    for (const auto &vm : this->vms) {
        const auto [text, incarnation] = this->thread.call([&] {
            const auto name = mesh::recordName(vm->ingress.toString());
            return std::pair(this->store->read(mesh::LocalRegistrar::collection, name), vm->incarnation);
        });
        const auto record = discovery::decodeEndpointRecord(text);
        if (!record || record->incarnation != incarnation || record->state != discovery::EndpointState::Ready) {
            this->reportTimingViolation(fmt::format("the record of {} in the store is {}", vm->name, text.empty() ? "missing" : text));
        }
    }
}

void SoakRun::reportTimingViolation(const std::string &text)
{
    if (this->options.isTimed) {
        this->ledger.addViolation(text);
    }
}

void SoakRun::checkMemory()
{
    for (const auto &vm : this->vms) {
        std::ifstream sizes(fmt::format("/proc/{}/statm", vm->pid));
        long pages = 0;
        long resident = 0;
        sizes >> pages >> resident;
        const auto kilobytes = resident * sysconf(_SC_PAGESIZE) / 1024;
        if (kilobytes > maxResidentKb) {
            this->ledger.addViolation(fmt::format("{} uses {} KB of resident memory", vm->name, kilobytes));
        }
    }
}

std::vector<std::string> SoakRun::run()
{
    this->publish();
    for (const auto &vm : this->vms) {
        this->startProcess(*vm);
        this->thread.loop().post([this, &vm] { this->sendHeartbeat(*vm); });
    }
    this->sleepMs(2500);
    this->thread.call([this] {
        for (std::size_t number = 0; number < std::max(minClients, this->vms.size()); ++number) {
            this->scheduleRequest(number);
        }
    });
    this->runPlannedOperations();
    this->injectFaults();
    this->checkRecovery();
    this->checkMemory();
    this->isStopping = true;
    for (int round = 0; this->openRequests > 0 && round < 250; ++round) {
        this->sleepMs(20);
    }
    auto violations = this->ledger.listViolations();
    if (!violations.empty()) {
        violations.insert(violations.end(), this->events.begin(), this->events.end());
    }
    return violations;
}

SoakRun::Vm &SoakRun::randomVm()
{
    return *this->vms[static_cast<std::size_t>(this->randomInt(0, this->options.vms - 1))];
}

// Returns no limit in a quarter of all cases, and otherwise one between 0 and 20 requests per second.
std::optional<double> SoakRun::randomRateLimit()
{
    return this->randomInt(0, 3) == 0 ? std::nullopt : std::optional(this->randomInt(0, 200) / 10.0);
}

void SoakRun::recordEvent(const std::string &what)
{
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    this->events.push_back(fmt::format("  at {}: {}", now, what));
}

void SoakRun::sleepMs(int milliseconds) const
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

int SoakRun::randomInt(int low, int high)
{
    return low + static_cast<int>(core::uniform(this->random) * (high - low + 1));
}

int SoakRun::randomIntOnLoop(int low, int high)
{
    return low + static_cast<int>(core::uniform(this->loopRandom) * (high - low + 1));
}
} // namespace figpulley::soak
