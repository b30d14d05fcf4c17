#include "harness.h"

#include <cstdio>
#include <filesystem>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace review;

// The last byte of a request's head arrives a little later than the rest, as it does when it is in a packet of its own.
namespace
{
constexpr int commonRequests = 100;
constexpr int splitRequests = 10;
constexpr Milliseconds pauseInHead {200}; // a retransmission takes as long; HeaderTimeoutS is 3
constexpr Milliseconds routeTimeout {800};
constexpr Milliseconds answerSlack {500};
constexpr Milliseconds clientPatience {5000}; // the client's time budget
const std::string host = "motifs.example";

struct Results
{
    int answered = 0;
    int unansweredAtTimeout = 0;
    int unansweredLater = 0;
};

/// Sends a request without a body in one piece or with the last byte of its head later, and waits for the response.
void send(Record &record, const Vm &entry, const std::string &id, bool isSplit, Results &results)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit {clientPatience.count() / 1000, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(entry.entrance);
    Stream stream(descriptor);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        record.line("client: " + id + " no connection");
        return;
    }
    const auto head = "GET /motif/" + id + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(clientPatience.count()) + "\r\n\r\n";
    const std::string_view bytes(head);
    if (isSplit) {
        stream.write(bytes.substr(0, bytes.size() - 1));
        std::this_thread::sleep_for(pauseInHead);
        stream.write(bytes.substr(bytes.size() - 1));
    } else {
        stream.write(bytes);
    }
    const auto sent = Clock::now();
    const auto line = stream.readLine();
    const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - sent);
    record.line("client: " + id + (isSplit ? " head in two pieces" : " head in one piece") + ", "
                + (line ? "answered '" + *line + "'" : std::string("closed or silent, no answer")) + " " + std::to_string(took.count())
                + " ms after its last byte");
    results.answered += line ? 1 : 0;
    results.unansweredAtTimeout += took > routeTimeout ? 1 : 0;
    results.unansweredLater += took > routeTimeout + answerSlack || !line ? 1 : 0;
}
} // namespace

int main()
{
    const auto folder = makeFolder();
    Record record("review/4/record.txt");
    Store store(record);
    const auto entry = makeVm("entry", "commesse");
    const auto motifs = makeVm("motifs", "motivi");
    store.write("config", "main",
                makeConfig(1, {{host, "/motif/", "safe", "motivi", std::chrono::duration<double>(routeTimeout).count()}}));
    const auto answer = makeBody(1500);
    const auto serve = [&](Stream &stream, const Request &request) { return answerWhole(stream, request, answer); };
    Endpoint entryEndpoint(record, entry, "i-entry", serve);
    Endpoint motifEndpoint(record, motifs, "i-motifs", serve);
    NodeProcess entryNode(record, folder, entry, store.port());
    NodeProcess motifNode(record, folder, motifs, store.port());
    entryNode.start();
    motifNode.start();
    if (!waitUntil(Milliseconds(10000), [&] { return isReady(entry) && isReady(motifs); })) {
        std::puts("the nodes did not become ready");
        return CannotRun;
    }
    entryEndpoint.startHeartbeats();
    motifEndpoint.startHeartbeats();
    if (!waitUntil(Milliseconds(10000), [&] { return store.list("figpulley-endpoints").size() == 2; })) {
        std::puts("the endpoints were not registered");
        return CannotRun;
    }
    std::this_thread::sleep_for(Milliseconds(4000)); // StabilityWindowS, and the changes of the directory
    Results common;
    for (int at = 0; at < commonRequests; ++at) {
        send(record, entry, "common-" + std::to_string(at), false, common);
    }
    std::vector<Results> splits(splitRequests);
    std::vector<std::thread> clients;
    for (int at = 0; at < splitRequests; ++at) {
        clients.emplace_back(
            [&, at] { send(record, entry, "split-" + std::to_string(at), withTrouble(), splits[static_cast<std::size_t>(at)]); });
    }
    Results split;
    for (int at = 0; at < splitRequests; ++at) {
        clients[static_cast<std::size_t>(at)].join();
        const auto &result = splits[static_cast<std::size_t>(at)];
        split.answered += result.answered;
        split.unansweredAtTimeout += result.unansweredAtTimeout;
        split.unansweredLater += result.unansweredLater;
    }
    const auto unanswered = common.unansweredAtTimeout + split.unansweredAtTimeout;
    const auto later = common.unansweredLater + split.unansweredLater;
    record.line("result: " + std::to_string(unanswered) + " requests were unanswered at the route's timeout, " + std::to_string(later)
                + " of them half a second later");
    std::printf("CONFIG: %d requests unanswered at the route's timeout, %d of them 0.5 s later; %d of %d answered at all\n", unanswered,
                later, common.answered + split.answered, commonRequests + splitRequests);
    std::filesystem::remove_all(folder);
    const bool isBroken = unanswered >= 8 && later * 2 > unanswered;
    if (isBroken) {
        return Broken;
    }
    return common.answered == commonRequests ? Held : CannotRun;
}
