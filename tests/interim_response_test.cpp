#include "support/httpcall.h"
#include "support/meshtestbed.h"
#include "support/rawserver.h"
#include "support/story.h"

#include "net/loopthread.h"
#include "net/relayclient.h"

#include <future>

using namespace figpulley;
using namespace std::chrono_literals;
using core::ErrorKind;

namespace
{
constexpr core::Duration requestTimeout = 5s; // of a request whose server keeps its connection open
constexpr core::Duration atOnce = 1s;
const std::string idAndStamp = "X-Request-Id: ID\r\nX-Server-Stamp: stamp\r\n";
const std::string finalResponse = "HTTP/1.1 200 OK\r\n" + idAndStamp + "Content-Length: 2\r\n\r\nok";

/// Heads whose status can be neither a final one nor that of an interim response to these requests.
const std::vector<std::pair<std::string, std::string>> invalidHeads {
    {"000", "HTTP/1.1 000 Nothing\r\n" + idAndStamp + "Content-Length: 2\r\n\r\nok"},
    {"000 without a body", "HTTP/1.1 000 \r\n" + idAndStamp + "\r\n"},
    {"001", "HTTP/1.1 001 One\r\n" + idAndStamp + "\r\n"},
    {"099", "HTTP/1.1 099 Low\r\n" + idAndStamp + "Content-Length: 0\r\n\r\n"},
    {"101 that was not asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"},
    {"101 with a final response as its content",
     "HTTP/1.1 101 Switching Protocols\r\nContent-Length: " + std::to_string(finalResponse.size()) + "\r\n\r\n" + finalResponse},
    {"101 after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n\r\n" + finalResponse},
    {"000 before a final response", "HTTP/1.1 000 Nothing\r\n\r\n" + finalResponse},
};

const std::vector<std::pair<std::string, std::string>> interimHeads {
    {"100", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"102", "HTTP/1.1 102 Processing\r\nX-Other: y\r\n\r\n"},
    {"103", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
    {"three of them", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"},
};

// Puts the id of a request where the text has the letters ID.
std::string withId(std::string text, const std::string &request)
{
    const std::string name = "X-Request-Id: ";
    const auto at = request.find(name);
    const auto id = at == std::string::npos ? "none" : request.substr(at + name.size(), request.find("\r\n", at) - at - name.size());
    for (auto mark = text.find("ID\r\n"); mark != std::string::npos; mark = text.find("ID\r\n", mark + id.size())) {
        text.replace(mark, 2, id);
    }
    return text;
}

/// Sends requests with one of the two HTTP clients and measures the time until they end.
template<class Client>
class TimedClient
{
public:
    TimedClient()
    {
        this->thread.call([this] { this->client = std::make_unique<Client>(this->thread.loop()); });
    }

    ~TimedClient()
    {
        this->thread.call([this] { this->client.reset(); });
    }

    TimedClient(const TimedClient &) = delete;
    TimedClient &operator=(const TimedClient &) = delete;

    net::ClientResult send(const net::Address &to)
    {
        net::ClientRequest request;
        request.url = "http://" + to.toString() + "/";
        request.timeout = requestTimeout;
        std::promise<net::ClientResult> done;
        net::ClientCallbacks callbacks;
        this->status = 0;
        callbacks.onHead = [this](const net::ClientResponseHead &head) { this->status = head.status; };
        callbacks.onData = [](std::string_view) { return true; };
        callbacks.onDone = [&](const net::ClientResult &result) { done.set_value(result); };
        const auto before = core::steadyNow();
        this->thread.call([&] { this->client->send(request, std::move(callbacks)); });
        const auto result = done.get_future().get();
        this->duration = core::steadyNow() - before;
        return result;
    }

    int status = 0; ///< status of the latest response; 0 if there was none
    core::Duration duration {}; ///< time that the latest request took

private:
    net::LoopThread thread;
    std::unique_ptr<Client> client;
};

template<class Client>
void checkClient(tests::Story &story)
{
    for (const auto &[title, head] : invalidHeads) {
        story.section(title, [&, text = head] {
            tests::RawServer server([&](int, const std::string &request) { return withId(text, request); });
            TimedClient<Client> client;
            const auto result = client.send(server.address());
            story.check(result.kind == ErrorKind::AnswerLost, "the exchange to fail as one with invalid HTTP does");
            story.check(client.duration < atOnce, "it to fail at once");
            story.equal(client.status, 0, "no response to be passed on");
            static_cast<void>(client.send(server.address()));
            story.equal(server.connections.load(), 2, "the connection not to be used again");
        });
    }
    for (const auto &[title, head] : interimHeads) {
        story.section(title, [&, text = head] {
            tests::RawServer server([&](int, const std::string &request) { return withId(text + finalResponse, request); });
            TimedClient<Client> client;
            story.check(client.send(server.address()).kind == ErrorKind::None && client.status == 200, "the final response");
            story.check(client.send(server.address()).kind == ErrorKind::None, "the next one, too");
            story.equal(server.connections.load(), 1, "the connection to be used again");
        });
    }
}
} // namespace

// Guards against a head with a status below 100, or a 101 that nobody has asked for, that is taken for an interim response: its request is
// held until the timeout, and the content of a 101 is passed on as a response.
Test(interim_response, relay_client_fails_a_response_with_an_invalid_status_at_once)
{
    tests::Story story;
    checkClient<net::RelayClient>(story);
}

// The same for the client of health checks, of the store and of other nodes.
Test(interim_response, http_client_fails_a_response_with_an_invalid_status_at_once)
{
    tests::Story story;
    checkClient<net::HttpClient>(story);
}

// Guards against requests that hold a slot of their endpoint until the timeout because its response has a status that cannot be final.
Test(interim_response, client_gets_an_error_at_once_and_the_slot_is_free_again)
{
    tests::Story story;
    std::string text;
    tests::RawServer endpoint([&](int, const std::string &request) { return withId(text, request); });
    tests::MeshTestbed bed;
    bed.publish();
    bed.add("m1", "motivi");
    bed.kill("m1");
    bed.useEndpoint("m1", endpoint.address());
    bed.start("m1");
    bed.add("c1", "commesse");
    bed.heartbeat("m1", 1);
    bed.waitForReadyEndpoints("c1", 1);
    const auto inFlight = [&] { return bed.onLoop([&] { return bed.node("m1").inFlight() + bed.node("c1").inFlight(); }); };
    for (const auto &[title, head] : invalidHeads) {
        text = head;
        for (const auto *entry : {"m1", "c1"}) {
            for (const std::string method : {"GET", "POST"}) {
                story.section(fmt::format("{}, {} through {}", title, method, entry), [&, place = std::string(entry)] {
                    const auto before = core::steadyNow();
                    const auto answer = bed.request(place, method == "GET" ? "/look/1" : "/order/1", method);
                    story.equal(answer.head.status, 502, "status 502, as nobody knows whether the request has run");
                    story.check(answer.body.find("ok") != 0, "no bytes of the endpoint");
                    story.check(core::steadyNow() - before < atOnce, "the error at once");
                    story.equal(inFlight(), 0U, "no request to be left");
                });
            }
        }
    }
    for (const auto &[title, head] : interimHeads) {
        text = '!' + head + finalResponse; // closes the connection, as the server serves one at a time
        story.section(title, [&] {
            const auto answer = bed.request("c1", "/order/1", "POST");
            story.check(answer.head.status == 200 && answer.body == "ok", "the final response");
        });
    }
}

// Guards against statuses that are changed on their way: those of 600 and above are passed on as the endpoint has sent them.
Test(interim_response, statuses_above_599_are_passed_on_unchanged)
{
    tests::Story story;
    std::string text;
    tests::RawServer endpoint([&](int, const std::string &request) { return withId(text, request); });
    tests::MeshTestbed bed;
    bed.publish();
    bed.add("m1", "motivi");
    bed.kill("m1");
    bed.useEndpoint("m1", endpoint.address());
    bed.start("m1");
    bed.add("c1", "commesse");
    bed.heartbeat("m1", 1);
    bed.waitForReadyEndpoints("c1", 1);
    for (const int status : {600, 999}) {
        text = fmt::format("!HTTP/1.1 {} Other\r\n", status) + idAndStamp + "Content-Length: 2\r\n\r\nok";
        story.section(std::to_string(status), [&] {
            const auto answer = bed.request("c1", "/order/1", "POST");
            story.equal(answer.head.status, status, "the endpoint's status");
            story.check(answer.body == "ok", "the endpoint's body");
        });
    }
}
