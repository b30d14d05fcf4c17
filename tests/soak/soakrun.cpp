#include "soak/soakrun.h"

#include "support/meshbed.h"

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

constexpr std::size_t clients = 24; // a few on each VM, so that requests overlap all the time
constexpr int thinkMs = 25;
constexpr long largestMemoryKb = 160L * 1024L; // of the smallest VMs of the users' deployments
constexpr core::Duration drainBound = 2500ms; // the users' bound for new work at an endpoint that leaves
constexpr double goodAfterwards = 0.95; // share of requests that are served once all faults are gone
constexpr int graceS = 6;
constexpr int answersPerLoss = 300; // requests for each reset of all connections to their endpoint: one or two a second
constexpr std::uint64_t addressesPerOctet = 250;

const std::string stamp = "soak";

std::string bodyOf(const std::string &id)
{
    std::string body;
    while (body.size() < 200 + id.size() * 40 % 3000) {
        body += id + "/";
    }
    return body;
}

// Routes of every version, and one that only this version and later ones have.
std::string routesOf(int version)
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
    this->isOver = true;
    for (const auto &vm : this->vms) {
        this->stopProcess(*vm, SIGKILL);
        this->waitEnd(*vm);
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
    // Addresses of its own, so that runs beside each other do not meet.
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
        R"("upstream":"{}","store":"{}","heartbeat_interval_s":0.5,"grace_s":{},"retry_ratio":0.2,"retry_slack":48,"retry_window_s":10}})",
        vm->name, number % 2 == 0 ? "mineo" : "vizzini", vm->service, vm->entrance.toString(), vm->ingress.toString(),
        vm->control.toString(), vm->readiness.toString(), vm->metrics.toString(), vm->endpointLink->address().toString(),
        vm->storeLink->address().toString(), graceS);
    settings.close();
    this->vms.push_back(std::move(vm));
}

void SoakRun::start(Vm &vm)
{
    ACE_Process_Options how;
    how.command_line("%s mesh --settings %s/%s.jsonc", this->options.binary.c_str(), this->options.folder.c_str(), vm.name.c_str());
    const int log =
        ::open(fmt::format("{}/{}.log", this->options.folder, vm.name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    how.set_handles(ACE_INVALID_HANDLE, log, log);
    ACE_Process process;
    vm.pid = process.spawn(how);
    how.release_handles();
    ::close(log);
    vm.isPaused = false;
    vm.shownVersion = 0;
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

void SoakRun::waitEnd(Vm &vm)
{
    if (vm.pid <= 0) {
        return;
    }
    int status = 0;
    const auto until = core::steadyNow() + std::chrono::seconds(graceS);
    while (waitpid(vm.pid, &status, WNOHANG) == 0) {
        if (core::steadyNow() > until) {
            this->reportTimed(fmt::format("{} was still there at the end of its grace time", vm.name));
            kill(vm.pid, SIGKILL);
            waitpid(vm.pid, &status, 0);
            break;
        }
        this->sleepMs(20);
    }
    vm.pid = 0;
}

// On the loop's thread.
void SoakRun::heartbeat(Vm &vm)
{
    if (this->isOver) {
        return;
    }
    net::ClientRequest request;
    request.method = "POST";
    request.url = fmt::format("http://{}/v1/Instances.Heartbeat/i-{}", vm.control.toString(), vm.name);
    request.timeout = 1s;
    const bool isLeaving = vm.isLeaving;
    const auto incarnation = vm.incarnation;
    request.body = fmt::format(
        R"({{"Service":"{}","Address":"{}:1","Zone":"mineo","Version":"v1","Slots":16,"State":"{}","ColdRemainingS":0,"Seq":{},"born":{}}})",
        vm.service, vm.ip, isLeaving ? "draining" : "ready", ++vm.sequence, incarnation);
    this->client->fetch(request, 4096, [&vm, isLeaving, incarnation](const net::ClientResponse &answer) {
        const bool isAcknowledged = answer.result.kind == core::ErrorKind::None && answer.head.status == 200;
        if (isAcknowledged && isLeaving && incarnation == vm.incarnation && vm.leftAt == core::TimePoint {}) {
            vm.leftAt = core::steadyNow();
        }
    });
    this->thread.loop().callAfter(500ms, [this, &vm] { this->heartbeat(vm); });
}

// On the loop's thread.
void SoakRun::serve(Vm &vm, const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto id = std::string(net::findHeader(request.headers, "X-Request-Id"));
    net::Headers headers {{"X-Request-Id", id}, {"X-Server-Stamp", stamp}};
    if (net::findHeader(request.headers, "X-Expect-Instance") != "i-" + vm.name) {
        exchange->respond({421, {{"X-Request-Id", id}, {"X-Not-Run", "1"}}, {}});
        return;
    }
    if (this->betweenOnLoop(0, 99) < 3) {
        exchange->respond({503, {{"X-Request-Id", id}, {"X-Not-Run", "1"}}, {}});
        return;
    }
    this->ledger.ran(id, request.path);
    if (vm.leftAt != core::TimePoint {} && core::steadyNow() - vm.leftAt > drainBound) {
        this->reportTimed(fmt::format("{} reached {} after its departure was acknowledged", id, vm.name));
    }
    if (!this->isCalm && this->betweenOnLoop(0, answersPerLoss) == 0) {
        this->thread.loop().post([&vm] {
            vm.endpointLink->setFault(LinkFault::Reset);
            vm.endpointLink->setFault(LinkFault::None);
        });
    }
    const auto work =
        std::chrono::milliseconds(this->betweenOnLoop(1, 100) < 4 ? this->betweenOnLoop(200, 800) : this->betweenOnLoop(2, 40));
    this->thread.loop().callAfter(work, [exchange, id, headers = std::move(headers)] { exchange->respond({200, headers, bodyOf(id)}); });
}

// On the loop's thread.
void SoakRun::clientLater(std::size_t number)
{
    this->thread.loop().callAfter(std::chrono::milliseconds(this->betweenOnLoop(1, 2 * thinkMs)),
                                  [this, number] { this->sendRequest(number); });
}

// On the loop's thread. Clients use the connections that libcurl keeps open until the process at the other end is gone.
void SoakRun::sendRequest(std::size_t number)
{
    if (this->isOver) {
        return;
    }
    auto &vm = *this->vms[number % this->vms.size()];
    const auto kind = this->betweenOnLoop(0, 9);
    const auto asked = static_cast<std::uint64_t>(this->version);
    const auto path = kind < 3 ? std::string("/order/x") : kind < 9 || asked == 0 ? std::string("/look/x") : fmt::format("/v{}/x", asked);
    const bool isVersioned = path.starts_with("/v");
    const bool isOrder = kind < 3;
    const auto id = fmt::format("s{}-{}", this->options.seed, this->nextId++);
    net::ClientRequest request;
    request.method = isOrder ? "POST" : "GET";
    request.url = fmt::format("http://{}{}", vm.entrance.toString(), path);
    request.headers = {{"Host", "a.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}};
    request.body = isOrder ? std::string(static_cast<std::size_t>(this->betweenOnLoop(1, 4000)), 'o') : std::string();
    request.timeout = 4s;
    request.mayResend = false;
    this->ledger.sent(id, path, !isOrder);
    ++this->open;
    const int pid = vm.pid;
    const bool wasCalm = this->isCalm;
    this->client->fetch(request, 1UL << 20U, [this, number, id, &vm, pid, asked, isVersioned, wasCalm](const net::ClientResponse &answer) {
        --this->open;
        const auto status = answer.result.kind == core::ErrorKind::None ? answer.head.status : 0;
        const bool isOwn = answer.body == bodyOf(id) && net::findHeader(answer.head.headers, "X-Server-Stamp") == stamp;
        // A route that is gone by now, or is not there yet, says nothing about the service.
        if (!isVersioned || status == 200) {
            this->ledger.answered(id, status, isOwn, wasCalm && this->isCalm);
        }
        if (isVersioned && pid == vm.pid) {
            if (status == 200) {
                vm.shownVersion = std::max(vm.shownVersion, asked);
            } else if (status == 404 && asked > vm.shownVersion) {
                // not there yet
            } else if (status == 404 && asked == static_cast<std::uint64_t>(this->version)) {
                this->ledger.report(fmt::format("{} went back behind version {}", vm.name, asked));
            }
        }
        this->clientLater(number);
    });
}

void SoakRun::publish()
{
    this->thread.call([this] {
        ++this->version;
        this->store->write("config", "main", routesOf(this->version));
    });
}

// Rolling restarts, changes of the configuration and departures, which overlap; nothing of it may cut a request.
void SoakRun::plannedWork()
{
    for (const auto &vm : this->vms) {
        this->publish();
        this->stopProcess(*vm, SIGTERM);
        if (this->between(0, 1) == 0) {
            this->publish();
        }
        this->sleepMs(this->between(0, 400));
        kill(this->vms[static_cast<std::size_t>(this->between(0, this->options.vms - 1))]->pid, SIGHUP);
        this->waitEnd(*vm);
        this->start(*vm);
        this->sleepMs(this->between(300, 800));
    }
    auto &leaving = *this->vms.front();
    this->thread.call([&] { leaving.isLeaving = true; });
    this->sleepMs(4000);
    this->thread.call([&] {
        leaving.isLeaving = false;
        leaving.leftAt = {};
        leaving.incarnation += 1000;
        leaving.sequence = 0;
    });
}

void SoakRun::oneFault()
{
    auto &vm = this->anyVm();
    const auto linkFault = static_cast<LinkFault>(this->between(1, 4));
    switch (this->between(0, 6)) {
    case 0:
        this->note("kill " + vm.name);
        this->stopProcess(vm, SIGKILL);
        this->waitEnd(vm);
        this->sleepMs(this->between(0, 500));
        this->start(vm);
        break;
    case 1:
        this->note("pause " + vm.name);
        kill(vm.pid, SIGSTOP);
        vm.isPaused = true;
        this->sleepMs(this->between(200, 2500));
        kill(vm.pid, SIGCONT);
        vm.isPaused = false;
        break;
    case 2:
        this->note(fmt::format("store link {} of {}", static_cast<int>(linkFault), vm.name));
        this->thread.call([&] { vm.storeLink->setFault(linkFault); });
        break;
    case 3:
        this->note(fmt::format("endpoint link {} of {}", static_cast<int>(linkFault), vm.name));
        this->thread.call([&] { vm.endpointLink->setFault(linkFault); });
        break;
    case 4: {
        const auto fault = static_cast<tests::MetadataStore::Fault>(this->between(0, 3));
        this->note(fmt::format("store fault {}", static_cast<int>(fault)));
        this->thread.call([&] { this->store->fault = fault; });
        break;
    }
    case 5:
        this->note("history gone, new version");
        this->thread.call([&] { this->store->discardHistory(); });
        this->publish();
        break;
    default:
        this->note("stop " + vm.name);
        this->stopProcess(vm, SIGTERM);
        this->sleepMs(this->between(0, 300));
        this->stopProcess(this->anyVm(), SIGHUP);
        this->waitEnd(vm);
        this->start(vm);
        break;
    }
}

void SoakRun::unplannedFaults()
{
    this->isCalm = false;
    const auto until = core::steadyNow() + std::chrono::seconds(this->options.seconds);
    while (core::steadyNow() < until) {
        this->oneFault();
        this->sleepMs(this->between(50, 900));
        auto &healed = this->anyVm();
        this->thread.call([&] {
            healed.storeLink->setFault(LinkFault::None);
            healed.endpointLink->setFault(LinkFault::None);
        });
    }
}

void SoakRun::recover()
{
    this->thread.call([this] {
        this->store->fault = tests::MetadataStore::Fault::None;
        for (const auto &vm : this->vms) {
            vm->storeLink->setFault(LinkFault::None);
            vm->endpointLink->setFault(LinkFault::None);
        }
    });
    this->publish();
    this->sleepMs(4000);
    this->ledger.restartCounts();
    this->sleepMs(2000);
    if (this->ledger.goodShare() < goodAfterwards) {
        this->reportTimed(
            fmt::format("{:.2f} of {} requests were served after all faults were gone", this->ledger.goodShare(), this->ledger.answers()));
    }
    const auto wanted = static_cast<std::uint64_t>(this->version);
    for (const auto &vm : this->vms) {
        if (this->thread.call([&] { return vm->shownVersion; }) < wanted) {
            this->reportTimed(fmt::format("{} has not shown version {} six seconds after it was written", vm->name, wanted));
        }
    }
}

void SoakRun::reportTimed(const std::string &text)
{
    if (this->options.isTimed) {
        this->ledger.report(text);
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
        if (kilobytes > largestMemoryKb) {
            this->ledger.report(fmt::format("{} holds {} KB", vm->name, kilobytes));
        }
    }
}

std::vector<std::string> SoakRun::run()
{
    this->publish();
    for (const auto &vm : this->vms) {
        this->start(*vm);
        this->thread.loop().post([this, &vm] { this->heartbeat(*vm); });
    }
    this->sleepMs(2500);
    this->thread.call([this] {
        for (std::size_t number = 0; number < clients; ++number) {
            this->clientLater(number);
        }
    });
    this->plannedWork();
    this->unplannedFaults();
    this->recover();
    this->checkMemory();
    this->isOver = true;
    for (int round = 0; this->open > 0 && round < 250; ++round) {
        this->sleepMs(20);
    }
    auto broken = this->ledger.failures();
    if (!broken.empty()) {
        broken.insert(broken.end(), this->events.begin(), this->events.end());
    }
    return broken;
}

SoakRun::Vm &SoakRun::anyVm()
{
    return *this->vms[static_cast<std::size_t>(this->between(0, this->options.vms - 1))];
}

void SoakRun::note(const std::string &what)
{
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    this->events.push_back(fmt::format("  at {}: {}", now, what));
}

void SoakRun::sleepMs(int milliseconds) const
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

int SoakRun::between(int low, int high)
{
    return low + static_cast<int>(core::uniform(this->random) * (high - low + 1));
}

int SoakRun::betweenOnLoop(int low, int high)
{
    return low + static_cast<int>(core::uniform(this->loopRandom) * (high - low + 1));
}
} // namespace figpulley::soak
