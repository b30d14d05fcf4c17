#include "bench/capacity.h"

#include "alerts/evaluator.h"
#include "alerts/parser.h"
#include "alerts/samplestore.h"
#include "config/load.h"
#include "decide/decide.h"
#include "members/endpointdirectory.h"
#include "members/swim.h"
#include "sync/snapshotstore.h"
#include "trust/keyring.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <memory>
#include <unordered_map>

#include <fmt/format.h>
#include <malloc.h>

namespace figpulley::bench
{
namespace
{
using namespace std::chrono_literals;
using core::TimePoint;

// Design size of the fleet, and limits on what the control role may use of one node.
constexpr double fleetNodes = 17000;
constexpr double fleetZones = 26;
constexpr double fleetServices = 590;
constexpr double nodesPerZone = fleetNodes / fleetZones;
constexpr double fleetCallsPerSecond = 6.5e6;
constexpr double configChangesPerDay = 6200;
constexpr double vmChangesPerDay = 5100 + 99;
constexpr double secondsPerDay = 86400;
constexpr double cpuLimitFraction = 0.019;
constexpr double memoryLimitBytes = 256e6;
constexpr double bytesPerSecondLimit = 4000;

constexpr core::Duration timeStep = 50ms;
constexpr int warmUpCheckSeconds = 20;
constexpr int maxWarmUpSeconds = 200;
constexpr int measuredSeconds = 40;
constexpr double measuredChangesPerSecond = 0.25;
constexpr double udpIpOverheadBytes = 28;
constexpr double signatureBytes = 45;

double readProcessorSeconds()
{
    timespec now {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

struct DecisionCore
{
    std::unique_ptr<board::Blackboard> board;
    std::unique_ptr<members::Swim> swim;
};

void activateBuiltInConfiguration(board::Blackboard &board)
{
    decide::ConfigController().applyIfNewer(board, config::builtInConfiguration());
}

// A zone of decision cores in virtual time. Datagrams are encoded, signed, verified and decoded as on the wire.
class Zone
{
public:
    explicit Zone(int members)
        : random(7)
    {
        this->keys.add("bench", "a secret for the bench only");
        for (int number = 0; number < members; ++number) {
            this->start(number, 100);
        }
    }

    void start(int number, std::uint64_t incarnation)
    {
        const auto address = fmt::format("10.{}.{}.1:7004", number / 250, number % 250);
        DecisionCore core {std::make_unique<board::Blackboard>(), nullptr};
        auto &identity = core.board->identity;
        identity.controlAddress = address;
        identity.ingressAddress = fmt::format("10.{}.{}.1:7003", number / 250, number % 250);
        identity.service = fmt::format("service-{}", number % 23);
        identity.availabilityZone = "region-1-zone-1";
        identity.id = members::nodeIdOf(address);
        identity.incarnation = core::Incarnation {incarnation};
        activateBuiltInConfiguration(*core.board);
        members::SwimOptions options;
        options.seeds = {"10.0.0.1:7004", "10.0.1.1:7004"};
        core.swim = std::make_unique<members::Swim>(options);
        core.swim->start(*core.board, this->now);
        this->cores[address] = std::move(core);
        this->addresses.resize(std::max(this->addresses.size(), static_cast<std::size_t>(number) + 1));
        this->addresses[static_cast<std::size_t>(number)] = address;
    }

    // Whether no member has gossip left to send.
    [[nodiscard]] bool hasNoPendingGossip() const
    {
        return std::all_of(this->cores.begin(), this->cores.end(),
                           [](const auto &item) { return item.second.board->membership.read().gossip.empty(); });
    }

    void advanceOneStep()
    {
        const auto arrivingDatagrams = std::move(this->inFlight);
        this->inFlight.clear();
        for (const auto &[to, signature, bytes] : arrivingDatagrams) {
            const auto target = this->cores.find(to);
            if (target == this->cores.end() || !this->keys.isValid(bytes, signature)) {
                continue;
            }
            const auto message = members::decodeSwimMessage(bytes);
            this->send(target->second.swim->receive(*target->second.board, *message, this->now, this->random));
        }
        for (const auto &address : this->addresses) {
            auto &core = this->cores[address];
            this->send(core.swim->tick(*core.board, this->now, this->random));
        }
        this->now += timeStep;
    }

    void send(const members::OutgoingMessages &list)
    {
        for (const auto &outgoing : list) {
            auto bytes = members::encode(outgoing.message);
            this->datagrams += 1;
            this->bytes += static_cast<double>(bytes.size()) + signatureBytes + udpIpOverheadBytes;
            auto signature = this->keys.sign(bytes);
            this->inFlight.push_back({outgoing.to, std::move(signature), std::move(bytes)});
        }
    }

    TimePoint now {1h};
    double datagrams = 0;
    double bytes = 0;
    std::vector<std::string> addresses;
    std::unordered_map<std::string, DecisionCore> cores;
    core::Random random;

private:
    struct DatagramInFlight
    {
        std::string to;
        std::string signature;
        std::string bytes;
    };
    std::vector<DatagramInFlight> inFlight;
    trust::KeyRing keys;
};

void runZone(Zone &zone, int seconds, double changesPerSecond)
{
    double dueChanges = 0;
    const auto steps = static_cast<int>(std::chrono::seconds(seconds) / timeStep);
    for (int count = 0; count < steps; ++count) {
        dueChanges += changesPerSecond * core::toSeconds(timeStep);
        if (dueChanges >= 1) {
            dueChanges -= 1;
            const auto number = static_cast<int>(core::uniformIndex(zone.random, zone.addresses.size()));
            zone.start(number, 1000 + static_cast<std::uint64_t>(count));
        }
        zone.advanceOneStep();
    }
}

std::unique_ptr<board::Blackboard> makeBoardWithEndpoints(int endpoints)
{
    auto board = std::make_unique<board::Blackboard>();
    board->identity.service = "motivi";
    board->identity.availabilityZone = "zone";
    board->identity.controlAddress = "10.0.0.1:1";
    board->identity.incarnation = core::Incarnation {1};
    auto files = std::vector<config::SourceFile> {{"p.json", R"({"kind": "request-priorities", "name": "x", "levels": ["low"],
        "routes": [{"name": "lookup", "service": "motivi", "level": "low", "idempotent": true}]})"}};
    text::Problems problems;
    auto configuration = config::load(files, problems);
    configuration->revision = 1;
    decide::ConfigController().applyIfNewer(*board, configuration);
    core::Random random(1);
    const members::Swim swim({});
    swim.start(*board, TimePoint {1h});
    members::SwimMessage message;
    message.sender = "10.9.9.9:1";
    message.senderZone = "zone";
    for (int number = 0; number < endpoints; ++number) {
        members::Announcement announcement;
        announcement.controlAddress = fmt::format("10.1.{}.{}:1", number / 250, number % 250);
        announcement.ingressAddress = announcement.controlAddress;
        announcement.service = "motivi";
        announcement.availabilityZone = "zone";
        announcement.node = members::nodeIdOf(announcement.controlAddress);
        message.announcements.push_back(announcement);
    }
    static_cast<void>(swim.receive(*board, message, TimePoint {1h}, random));
    members::EndpointDirectory().rebuild(*board);
    return board;
}

std::string formatRow(std::string_view role, std::string_view what, double atSize, std::string_view unit, double limit,
                      std::string_view slope)
{
    const auto limitUsage = limit > 0 ? fmt::format("{:.0f}%", atSize / limit * 100) : std::string("-");
    const auto bound = limit > 0 ? fmt::format("{:.4g} {}", limit, unit) : std::string("-");
    return fmt::format("| {} | {} | {:.4g} {} | {} | {} | {} |\n", role, what, atSize, unit, bound, limitUsage, slope);
}

std::string describeFit(const LinearFit &fit, std::string_view unit)
{
    return fmt::format("{:.4g} {} + {:.4g}, largest error {:.0f}%", fit.slope, unit, fit.intercept, fit.maxRelativeError * 100);
}
} // namespace

LinearFit fitLine(const std::vector<double> &sizes, const std::vector<double> &values)
{
    const auto count = static_cast<double>(sizes.size());
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (std::size_t at = 0; at < sizes.size(); ++at) {
        sumX += sizes[at];
        sumY += values[at];
        sumXx += sizes[at] * sizes[at];
        sumXy += sizes[at] * values[at];
    }
    LinearFit fit;
    fit.slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    fit.intercept = (sumY - fit.slope * sumX) / count;
    for (std::size_t at = 0; at < sizes.size(); ++at) {
        const auto predicted = fit.intercept + fit.slope * sizes[at];
        fit.maxRelativeError = std::max(fit.maxRelativeError, std::fabs(predicted - values[at]) / std::max(std::fabs(values[at]), 1e-12));
    }
    return fit;
}

MembershipCost measureMembership(int members)
{
    const auto heapBefore = static_cast<double>(mallinfo2().uordblks);
    Zone zone(members);
    for (int seconds = 0; seconds < maxWarmUpSeconds && !zone.hasNoPendingGossip(); seconds += warmUpCheckSeconds) {
        runZone(zone, warmUpCheckSeconds, 0);
    }
    MembershipCost cost;
    const auto heapBytes = static_cast<double>(mallinfo2().uordblks) - heapBefore;
    cost.bytesPerMember = heapBytes / members / members;
    const auto perNodeSecond = 1.0 / members / measuredSeconds;

    zone.datagrams = 0;
    zone.bytes = 0;
    auto cpuBefore = readProcessorSeconds();
    runZone(zone, measuredSeconds, 0);
    const auto idleCpu = readProcessorSeconds() - cpuBefore;
    const auto idleBytes = zone.bytes;
    cost.idleDatagramsPerSecond = zone.datagrams * perNodeSecond;
    cost.idleBytesPerSecond = idleBytes * perNodeSecond;
    cost.idleCpuFraction = idleCpu * perNodeSecond;

    // Changes are far more frequent than in production, so that their cost is measurable; it is then divided by their number.
    zone.bytes = 0;
    cpuBefore = readProcessorSeconds();
    runZone(zone, measuredSeconds, measuredChangesPerSecond);
    const auto changes = measuredChangesPerSecond * measuredSeconds;
    cost.bytesPerChange = (zone.bytes - idleBytes) / members / changes;
    cost.cpuSecondsPerChange = (readProcessorSeconds() - cpuBefore - idleCpu) / members / changes;
    return cost;
}

CallCost measureCallDecisions(int endpoints)
{
    constexpr int calls = 20000;
    auto board = makeBoardWithEndpoints(endpoints);
    core::Random random(3);
    const decide::CallController egress;
    const decide::IngressController ingress;
    decide::CallRequest request;
    request.service = "motivi";
    request.method = "GET";
    request.path = "/";
    request.user = "ana";
    auto now = TimePoint {2h};
    CallCost cost;
    auto begin = readProcessorSeconds();
    for (int call = 0; call < calls; ++call) {
        const core::CallId id {static_cast<std::uint64_t>(call)};
        static_cast<void>(egress.begin(*board, id, request, now, random));
        static_cast<void>(egress.handleAttemptResult(*board, id, {core::ErrorKind::None, core::CallOutcome {}, now + 5ms}, random));
        now += 1ms;
    }
    cost.egressUs = (readProcessorSeconds() - begin) / calls * 1e6;
    begin = readProcessorSeconds();
    for (int call = 0; call < calls; ++call) {
        decide::IngressArrival arrival;
        arrival.entry = core::EntryId {random()};
        arrival.envelope.attempt = core::AttemptId {random()};
        arrival.envelope.remaining = 1s;
        arrival.envelope.target = core::Incarnation {1};
        static_cast<void>(ingress.handleArrival(*board, arrival, now));
        core::CallOutcome outcome;
        static_cast<void>(ingress.handleCompletion(*board, arrival.entry, {core::ErrorKind::None, 200, now}, now + 5ms, outcome));
        now += 1ms;
        static_cast<void>(ingress.tick(*board, now));
    }
    cost.ingressUs = (readProcessorSeconds() - begin) / calls * 1e6;
    return cost;
}

ConfigCost measureConfigChange(int services)
{
    constexpr int changes = 5;
    sync::SnapshotStore store;
    sync::Snapshot snapshot;
    std::string policy = R"({"kind": "overload-policy", "name": "x", "services": {)";
    for (int number = 0; number < services; ++number) {
        policy += fmt::format("{}\"service-{}\": {{\"queue_ms\": 50, \"limit_initial\": 30}}", number == 0 ? "" : ",\n", number);
    }
    ConfigCost cost;
    std::string priorities = R"({"kind": "request-priorities", "name": "x", "levels": ["low", "high"], "routes": [)";
    for (int number = 0; number < services; ++number) {
        priorities += fmt::format("{}{{\"name\": \"route-{}\", \"service\": \"service-{}\", \"level\": \"low\", \"idempotent\": true}}",
                                  number == 0 ? "" : ",\n", number, number);
    }
    priorities += "]}";
    for (int change = 1; change <= changes; ++change) {
        const auto text = policy + fmt::format("}}, \"roots\": {{\"retry_budget\": {}}}}}", change);
        snapshot = {};
        snapshot.manifest.revision = static_cast<std::uint64_t>(change);
        for (const auto &[name, content] : {std::pair<std::string, std::string> {"policy.json", text}, {"priorities.json", priorities}}) {
            snapshot.manifest.parts.push_back({name, sync::contentHash(content), content.size()});
            snapshot.texts[sync::contentHash(content)] = content;
        }
        store.applyIfNewer(snapshot);
        const auto begin = readProcessorSeconds();
        text::Problems problems;
        static_cast<void>(config::load(store.current().files(), problems));
        cost.compileUs += (readProcessorSeconds() - begin) * 1e6 / changes;
    }
    cost.deltaBytes = static_cast<double>(store.encodeDelta(changes - 1).size());
    return cost;
}

double measureRuleEvaluation(int series)
{
    constexpr int evaluations = 20;
    constexpr alerts::Millis minute = alerts::Millis {60} * alerts::millisPerSecond;
    alerts::SampleStore store(60 * minute);
    for (int number = 0; number < series; ++number) {
        for (int sample = 0; sample < 20; ++sample) {
            store.add(
                {{"__name__", "figpulley_calls_total"}, {"service", fmt::format("s{}", number % 50)}, {"node", fmt::to_string(number)}},
                {alerts::Millis {sample} * 15 * alerts::millisPerSecond, static_cast<double>(sample * 10), false});
        }
    }
    const auto expression = alerts::parseExpression("sum by (service) (rate(figpulley_calls_total[5m])) > 1000");
    const alerts::Evaluator evaluator(store);
    const auto begin = readProcessorSeconds();
    for (int count = 0; count < evaluations; ++count) {
        static_cast<void>(evaluator.evaluateVector(*expression, 5 * minute));
    }
    return (readProcessorSeconds() - begin) / evaluations * 1e6;
}

std::string makeCapacityTable()
{
    std::string table =
        "| role | cost | at the design size | limit | of the limit | slope measured |\n| --- | --- | --- | --- | --- | --- |\n";
    std::vector<double> sizes;
    std::vector<double> datagrams;
    std::vector<double> idleBytes;
    std::vector<double> idleCpu;
    std::vector<double> changeBytes;
    std::vector<double> changeCpu;
    double bytesPerMember = 0;
    for (const int members : {40, 80, 160, 320}) {
        const auto cost = measureMembership(members);
        sizes.push_back(members);
        datagrams.push_back(cost.idleDatagramsPerSecond);
        idleBytes.push_back(cost.idleBytesPerSecond);
        idleCpu.push_back(cost.idleCpuFraction);
        changeBytes.push_back(cost.bytesPerChange);
        changeCpu.push_back(cost.cpuSecondsPerChange);
        bytesPerMember = std::max(bytesPerMember, cost.bytesPerMember);
    }
    const auto datagramFit = fitLine(sizes, datagrams);
    const auto byteFit = fitLine(sizes, idleBytes);
    const auto cpuFit = fitLine(sizes, idleCpu);
    const auto changeByteFit = fitLine(sizes, changeBytes);
    const auto changeCpuFit = fitLine(sizes, changeCpu);
    const auto atZone = [](const LinearFit &fit) { return fit.intercept + fit.slope * nodesPerZone; };
    // Every change in the fleet is propagated to every zone.
    const auto vmChangesPerSecond = vmChangesPerDay / secondsPerDay;
    const auto allBytes = atZone(byteFit) + vmChangesPerSecond * atZone(changeByteFit);
    const auto allCpu = atZone(cpuFit) + vmChangesPerSecond * atZone(changeCpuFit);
    table += formatRow("control: membership", "datagrams sent while nothing changes", atZone(datagramFit), "1/s", 0,
                       describeFit(datagramFit, "per member of the zone"));
    table += formatRow("control: membership", "bytes sent while nothing changes", atZone(byteFit), "B/s", bytesPerSecondLimit,
                       describeFit(byteFit, "per member of the zone"));
    table += formatRow("control: membership", "bytes sent by a node for one change", atZone(changeByteFit), "B", 0,
                       describeFit(changeByteFit, "per member of the zone"));
    table += formatRow("control: membership", "bytes sent, changes of the whole fleet", allBytes, "B/s", bytesPerSecondLimit,
                       "the two above, 5,199 changes a day");
    table += formatRow("control: membership", "processor, changes of the whole fleet", allCpu * 100, "% of a core", cpuLimitFraction * 100,
                       describeFit(cpuFit, "idle, per member of the zone"));
    table += formatRow("control: membership", "memory, all members known", bytesPerMember * fleetNodes / 1e6, "MB", memoryLimitBytes / 1e6,
                       fmt::format("{:.0f} B per member", bytesPerMember));

    std::vector<double> endpointSizes;
    std::vector<double> egress;
    std::vector<double> ingress;
    for (const int endpoints : {8, 32, 128}) {
        const auto cost = measureCallDecisions(endpoints);
        endpointSizes.push_back(endpoints);
        egress.push_back(cost.egressUs);
        ingress.push_back(cost.ingressUs);
    }
    const auto egressFit = fitLine(endpointSizes, egress);
    const auto callsPerNode = fleetCallsPerSecond / fleetNodes;
    const auto endpointsPerService = fleetNodes / fleetServices;
    const auto egressUs = egressFit.intercept + egressFit.slope * endpointsPerService;
    const auto ingressUs = *std::max_element(ingress.begin(), ingress.end());
    table += formatRow("egress", "decisions", callsPerNode * egressUs * 1e-4, "% of a core", 0,
                       describeFit(egressFit, "us per endpoint of the service"));
    table +=
        formatRow("ingress", "decisions", callsPerNode * ingressUs * 1e-4, "% of a core", 0, fmt::format("{:.2f} us per call", ingressUs));

    std::vector<double> serviceSizes;
    std::vector<double> compile;
    std::vector<double> delta;
    for (const int services : {50, 150, 590}) {
        const auto cost = measureConfigChange(services);
        serviceSizes.push_back(services);
        compile.push_back(cost.compileUs);
        delta.push_back(cost.deltaBytes);
    }
    const auto compileFit = fitLine(serviceSizes, compile);
    const auto deltaFit = fitLine(serviceSizes, delta);
    const auto changesPerSecond = configChangesPerDay / secondsPerDay;
    const auto compileUs = compileFit.intercept + compileFit.slope * fleetServices;
    const auto deltaBytes = deltaFit.intercept + deltaFit.slope * fleetServices;
    table += formatRow("control: configuration", "processor, one file for all services", changesPerSecond * compileUs * 1e-4, "% of a core",
                       cpuLimitFraction * 100, describeFit(compileFit, "us per service"));
    table += formatRow("control: configuration", "bytes received, one file for all services", changesPerSecond * deltaBytes, "B/s",
                       bytesPerSecondLimit, describeFit(deltaFit, "B per service"));
    table += formatRow("control: configuration", "bytes received, one file per service", changesPerSecond * deltaBytes / fleetServices,
                       "B/s", bytesPerSecondLimit, "the same, split");

    constexpr double relaysPerZone = 3;
    constexpr double meanWatchSeconds = 25;
    constexpr double contactSeconds = 60;
    constexpr double bridgesPerZone = 3;
    table += formatRow("platform", "reads: watches of relays", fleetZones * relaysPerZone / meanWatchSeconds, "1/s", 1000,
                       "3 relays per zone, re-armed after 25 s on average");
    const auto contactReads = fleetZones * bridgesPerZone * (1 + fleetZones) / contactSeconds + vmChangesPerSecond * (1 + fleetZones);
    table += formatRow("platform", "reads: contact points", contactReads, "1/s", 1000,
                       "3 bridges per zone read all zones' lists every 60 s, a new node once");
    table += formatRow("platform", "reads: parts after a change", changesPerSecond * fleetZones * relaysPerZone, "1/s", 1000,
                       "each relay reads each changed part");
    table += formatRow("platform", "writes: applies", changesPerSecond * 3, "1/s", 300, "part, history and root");

    std::vector<double> seriesSizes;
    std::vector<double> rule;
    for (const int series : {100, 1000, 4000}) {
        seriesSizes.push_back(series);
        rule.push_back(measureRuleEvaluation(series));
    }
    const auto ruleFit = fitLine(seriesSizes, rule);
    table += formatRow("rule evaluator", "one rule over one series per node of a zone", ruleFit.intercept + ruleFit.slope * nodesPerZone,
                       "us", 0, describeFit(ruleFit, "us per series"));
    return table;
}
} // namespace figpulley::bench
