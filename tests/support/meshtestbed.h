#pragma once

#include "mesh/meshnode.h"
#include "net/loopthread.h"
#include "platform/platform.h"
#include "support/httpcall.h"
#include "support/metadatastore.h"

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figpulley::tests
{
/// Returns a free port of an IP address; the socket that reserved it is closed again, so the port may be given out again.
[[nodiscard]] inline net::Address freeAddress(const std::string &ip)
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where {};
    where.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &where.sin_addr);
    bind(probe, reinterpret_cast<sockaddr *>(&where), sizeof where);
    socklen_t size = sizeof where;
    getsockname(probe, reinterpret_cast<sockaddr *>(&where), &size);
    close(probe);
    return {ip, ntohs(where.sin_port)};
}

/// Gives each of several listeners a free port of its own. Ports that were already chosen are skipped, because freeAddress() may
/// return the same port twice.
inline void chooseAddresses(const std::string &ip, std::initializer_list<net::Address *> listeners)
{
    std::set<std::uint16_t> ports;
    for (auto *address : listeners) {
        do {
            *address = freeAddress(ip);
        } while (!ports.insert(address->port).second);
    }
}

/// Runs mesh nodes with their VMs' endpoints and the platform's metadata store on one thread, connected by real sockets.
class MeshTestbed
{
public:
    /// Handles a request at an endpoint; it may respond after it has returned.
    using RequestHandler = std::function<void(const std::shared_ptr<net::HttpExchange> &)>;

    static constexpr std::size_t maxResponseBytes = 4'000'000; ///< longest response that the nodes pass on

    static constexpr const char *routes =
        R"({"Version":1,"Services":[{"Name":"motivi","HealthPath":"/testbed/health"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutS":3,"IdleTimeoutS":15},)"
        R"("VirtualHosts":[{"Host":"a.example","Paths":[)"
        R"({"Name":"look","PathPrefix":"/look/","Kind":"safe","TimeoutS":5,"TargetLatencyS":2,"Priority":2,"Service":"motivi","MaxAttempts":2},)"
        R"({"Name":"order","PathPrefix":"/order/","Kind":"unsafe","TimeoutS":5,"TargetLatencyS":2,"Priority":0,"Service":"motivi","MaxAttempts":2},)"
        R"({"Name":"brief","PathPrefix":"/brief/","Kind":"unsafe","TimeoutS":0.3,"TargetLatencyS":0.2,"Priority":0,"Service":"motivi","MaxAttempts":2}]}]})";

    static constexpr const char *healthPath = "/testbed/health"; ///< of the service motivi in the default routes

    MeshTestbed()
    {
        core::setLogLevel(core::LogLevel::Off);
        this->thread.call([this] {
            this->client = std::make_unique<net::HttpClient>(this->thread.loop());
            this->store = std::make_unique<MetadataStore>(this->thread.loop(), net::Address {"127.0.0.1", 0});
        });
    }

    ~MeshTestbed()
    {
        this->thread.call([this] {
            this->vms.clear();
            this->store.reset();
            this->client.reset();
        });
    }

    MeshTestbed(const MeshTestbed &) = delete;
    MeshTestbed &operator=(const MeshTestbed &) = delete;

    /// Writes a configuration to the metadata store.
    void publish(const std::string &text = routes)
    {
        this->thread.call([&] { this->store->write("config", "main", text); });
    }

    /// Publishes the default routes with another version number.
    void publishVersion(int number)
    {
        std::string text = routes;
        const std::string first = R"("Version":1)";
        text.replace(text.find(first), first.size(), fmt::format(R"("Version":{})", number));
        this->publish(text);
    }

    /// Waits until a version of the routes is active at a node.
    void waitForVersion(const std::string &name, int number)
    {
        this->waitUntil([&, number] {
            const auto &table = this->vms.at(name).node->board().config.read().table;
            return table != nullptr && table->version() == static_cast<std::uint64_t>(number);
        });
    }

    /// Adds a VM with an endpoint of a service and starts its node.
    /// @param handler handles the requests at the endpoint; by default it responds with 200
    void add(const std::string &name, const std::string &service, RequestHandler handler = nullptr)
    {
        this->thread.call([&] {
            auto &vm = this->vms[name];
            const std::string ip = fmt::format("127.0.0.{}", this->vms.size() + 1);
            vm.service = service;
            vm.endpoint = std::make_unique<net::HttpServer>(this->thread.loop(), net::Address {ip, 0},
                                                            [this, name, handler](const std::shared_ptr<net::HttpExchange> &exchange) {
                                                                auto &receiver = this->vms.at(name);
                                                                if (exchange->request().path == healthPath) {
                                                                    this->respondHealth(name, *exchange);
                                                                    return;
                                                                }
                                                                ++receiver.requests;
                                                                if (handler) {
                                                                    handler(exchange);
                                                                } else {
                                                                    respondOk(exchange, receiver.statements);
                                                                }
                                                            });
            auto &settings = vm.settings;
            settings.name = name;
            settings.availabilityZone = "mineo";
            settings.service = service;
            chooseAddresses(ip, {&settings.entrance, &settings.ingress, &settings.control, &settings.readiness, &settings.metrics});
            settings.upstream = vm.endpoint->address();
            settings.store = this->store->address();
            settings.heartbeatInterval = std::chrono::seconds(2);
            settings.grace = std::chrono::seconds(6);
            settings.limitProbeInterval = std::chrono::seconds(5);
            settings.maxResponseBytes = maxResponseBytes;
        });
        this->start(name);
    }

    /// Adds VMs with endpoints of a service that have sent their first heartbeat.
    void addReady(std::initializer_list<const char *> names, const std::string &service)
    {
        for (const auto *name : names) {
            this->add(name, service);
            this->heartbeat(name, 1);
        }
    }

    /// Sets what a VM's endpoint states about itself in its responses, if it has the default handler.
    /// @param limit requests per second; nothing for no limit
    void stateCondition(const std::string &name, std::optional<double> limit, bool isLeaving = false)
    {
        this->thread.call([&] {
            auto &vm = this->vms.at(name);
            vm.statements.clear();
            if (limit) {
                vm.statements.push_back({std::string(platform::names::rateLimit), fmt::format("{}", *limit)});
            }
            if (isLeaving) {
                vm.statements.push_back({std::string(platform::names::leaving), std::string(platform::names::leavingValue)});
            }
        });
    }

    /// Sets whether a VM's endpoint responds to health checks that it is in service, as it does by default, or with 503.
    void stateHealth(const std::string &name, bool isHealthy)
    {
        this->thread.call([&] { this->vms.at(name).isHealthy = isHealthy; });
    }

    /// Changes the address of a VM's endpoint; it takes effect at the next start of the VM's node.
    void useEndpoint(const std::string &name, const net::Address &address)
    {
        this->thread.call([&] { this->vms.at(name).settings.upstream = address; });
    }

    /// Changes a running node's grace period by a reload of its settings.
    void setGrace(const std::string &name, core::Duration grace)
    {
        this->thread.call([&] {
            auto &vm = this->vms.at(name);
            vm.settings.grace = grace;
            vm.node->reload(vm.settings);
        });
    }

    void start(const std::string &name)
    {
        this->thread.call([&] {
            auto &vm = this->vms.at(name);
            vm.platformStore = std::make_unique<platform::PlatformStore>(*this->client, this->store->address().toString());
            vm.node = std::make_unique<mesh::MeshNode>(this->thread.loop(), *this->client, vm.settings, this->wire, *vm.platformStore);
            vm.node->start();
        });
    }

    /// Destroys a node without draining or deregistration, as a crash of its process does.
    void kill(const std::string &name)
    {
        this->thread.call([&] { this->vms.at(name).node.reset(); });
    }

    /// Begins an orderly stop of a node.
    /// @param stopped receives the number of requests that were cut
    void stop(const std::string &name, std::promise<std::size_t> &stopped)
    {
        this->thread.call([&] { this->vms.at(name).node->stop([&stopped](std::size_t cut) { stopped.set_value(cut); }); });
    }

    /// Sends a heartbeat of a VM's endpoint to the VM's node.
    /// @returns the HTTP status of the response
    int heartbeat(const std::string &name, int sequence, const std::string &state = "ready", std::int64_t incarnation = 100)
    {
        const auto body = fmt::format(
            R"({{"Service":"{}","Address":"{}","Zone":"mineo","Version":"v1","Slots":4,"State":"{}","ColdRemainingS":0,"Seq":{},"born":{}}})",
            this->vms.at(name).service, this->upstreamOf(name).toString(), state, sequence, incarnation);
        return this->sendControlCall(name, "/v1/Instances.Heartbeat/i-" + name, body);
    }

    /// Deregisters a VM's endpoint at the VM's node.
    /// @returns the HTTP status of the response
    int deregister(const std::string &name)
    {
        return this->sendControlCall(name, "/v1/Instances.Deregister/i-" + name, "{}");
    }

    /// Sends a call of any content to a VM's control address.
    /// @returns the HTTP status of the response
    int sendControlCall(const std::string &name, const std::string &path, const std::string &body)
    {
        net::ClientRequest request;
        request.method = "POST";
        request.url = fmt::format("http://{}{}", this->vms.at(name).settings.control.toString(), path);
        request.body = body;
        return this->caller.call(request).head.status;
    }

    /// @returns the address of a VM's endpoint
    [[nodiscard]] net::Address upstreamOf(const std::string &name)
    {
        return this->thread.call([&] { return this->vms.at(name).settings.upstream; });
    }

    /// Sends a client request to a VM's entrance and waits for the response.
    /// @param parent id of the request whose run makes this one; empty for a request of a client
    [[nodiscard]] net::ClientResponse request(const std::string &name, const std::string &path, const std::string &method = "GET",
                                              const std::string &parent = {})
    {
        net::ClientRequest request;
        request.method = method;
        request.url = fmt::format("http://{}{}", this->vms.at(name).settings.entrance.toString(), path);
        request.headers = {{"Host", "a.example"},
                           {"X-Request-Id", fmt::format("{}id-{}", parent.empty() ? "" : parent + ".", ++this->nextRequest)},
                           {"X-Deadline-Ms", "4000"}};
        request.body = method == "POST" ? "order" : "";
        return this->caller.call(request);
    }

    /// @returns the HTTP status of a node's readiness listener
    [[nodiscard]] int readiness(const std::string &name)
    {
        return this->caller.get(this->vms.at(name).settings.readiness, "/v1/readiness", "x").head.status;
    }

    /// Waits until a condition holds, which is evaluated on the event loop's thread. Fails the test after 10 s.
    void waitUntil(const std::function<bool()> &condition)
    {
        for (int round = 0; round < 1000; ++round) {
            if (this->thread.call(condition)) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        cr_assert(false, "the condition did not hold within 10 s");
    }

    /// Waits until a node has a configuration and knows a number of endpoints that accept requests.
    void waitForReadyEndpoints(const std::string &name, std::size_t endpoints, const std::string &service = "motivi")
    {
        this->waitUntil([&, endpoints] {
            const auto &board = this->vms.at(name).node->board();
            return board.config.read().table != nullptr && board.directory.read().readyEndpoints(service).size() == endpoints;
        });
    }

    /// Waits until a node knows an incarnation of the endpoint on a VM.
    void waitForIncarnation(const std::string &name, const std::string &vm, std::int64_t incarnation)
    {
        this->waitUntil([&, incarnation] {
            const auto *known = this->vms.at(name).node->board().directory.read().find(this->vms.at(vm).settings.ingress.toString());
            return known != nullptr && known->record.incarnation == incarnation;
        });
    }

    /// @returns a VM's node, for use on the event loop's thread
    [[nodiscard]] const mesh::MeshNode &node(const std::string &name) const
    {
        return *this->vms.at(name).node;
    }

    /// @returns the name of the object that holds the record of a VM's endpoint
    [[nodiscard]] std::string recordName(const std::string &name) const
    {
        return mesh::recordName(this->vms.at(name).settings.ingress.toString());
    }

    /// @returns the number of requests that a VM's endpoint has received
    [[nodiscard]] int requestsAt(const std::string &name)
    {
        return this->thread.call([&] { return this->vms.at(name).requests; });
    }

    template<class Function>
    auto onLoop(Function function)
    {
        return this->thread.call(function);
    }

    /// Responds with 200 and echoes the headers that the node adds, as a correct endpoint does.
    static void respondOk(const std::shared_ptr<net::HttpExchange> &exchange, const net::Headers &statements = {})
    {
        const auto &headers = exchange->request().headers;
        net::Headers own {{"X-Request-Id", std::string(net::findHeader(headers, "X-Request-Id"))}, {"X-Server-Stamp", "stamp"}};
        own.insert(own.end(), statements.begin(), statements.end());
        exchange->respond({200, std::move(own),
                           fmt::format("expect={} caller={} host={}", net::findHeader(headers, "X-Expect-Instance"),
                                       net::findHeader(headers, "X-Caller-Service"), net::findHeader(headers, "Host"))});
    }

    std::unique_ptr<MetadataStore> store;
    int version = 1; ///< version of the routes that were published last

private:
    struct Vm
    {
        std::string service;
        mesh::MeshSettings settings;
        std::unique_ptr<net::HttpServer> endpoint;
        std::unique_ptr<platform::PlatformStore> platformStore;
        std::unique_ptr<mesh::MeshNode> node;
        net::Headers statements; // headers in which the endpoint states its limit and its departure
        bool isHealthy = true;
        int requests = 0; // without health checks
    };

    void respondHealth(const std::string &name, net::HttpExchange &exchange) const
    {
        const bool isHealthy = this->vms.at(name).isHealthy;
        exchange.respond({isHealthy ? 200 : 503, {{std::string(platform::names::instanceId), "i-" + name}}, {}});
    }

    net::LoopThread thread;
    platform::PlatformWireFormat wire;
    std::unique_ptr<net::HttpClient> client;
    std::map<std::string, Vm> vms;
    int nextRequest = 0;
    HttpCaller caller;
};
} // namespace figpulley::tests
