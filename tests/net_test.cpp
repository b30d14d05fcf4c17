#include "support/httpcall.h"
#include "support/rawclient.h"
#include "support/rawserver.h"
#include "support/story.h"

#include "net/loopthread.h"
#include "net/relayclient.h"
#include "net/relayserver.h"

#include "net/httpserver.h"

#include <fstream>
#include <future>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <netinet/tcp.h>

using namespace figpulley;
using core::ErrorKind;
using namespace std::chrono_literals;

namespace
{
const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

net::ClientRequest post(const net::Address &to, bool mayResend)
{
    net::ClientRequest request;
    request.method = "POST";
    request.url = "http://" + to.toString() + "/";
    request.body = "{}";
    request.mayResend = mayResend;
    return request;
}
} // namespace

Test(net, post_is_not_resent_when_a_reused_connection_fails)
{
    tests::Story story;
    // The server reads the second request and closes the connection without a response.
    const auto respondOnce = [](int number, const std::string &) { return number == 2 ? std::string() : completeResponse; };
    story.section("libcurl sends a POST twice if resending is allowed", [&] {
        tests::RawServer server(respondOnce);
        tests::HttpCaller caller;
        story.equal(caller.call(post(server.address(), true)).result.kind, ErrorKind::None, "the first request to succeed");
        story.equal(caller.call(post(server.address(), true)).result.kind, ErrorKind::None,
                    "the second request to be reported as a success");
        story.equal(server.requests.load(), 3, "the server to receive the second request twice");
    });
    story.section("libcurl sends a POST once if resending is not allowed", [&] {
        tests::RawServer server(respondOnce);
        tests::HttpCaller caller;
        story.equal(caller.call(post(server.address(), false)).result.kind, ErrorKind::None, "the first request to succeed");
        story.equal(caller.call(post(server.address(), false)).result.kind, ErrorKind::AnswerLost,
                    "the second request to be reported as AnswerLost");
        story.equal(server.requests.load(), 2, "the server to receive the second request once");
    });
}

Test(net, incomplete_response_is_an_error)
{
    tests::Story story;
    const auto resultOf = [](const std::string &response) {
        tests::RawServer server([response](int, const std::string &) { return "!" + response; });
        tests::HttpCaller caller;
        auto request = post(server.address(), false);
        request.method = "GET";
        request.body.clear();
        return caller.call(request).result.kind;
    };
    story.equal(resultOf(completeResponse), ErrorKind::None, "a complete response to succeed");
    story.equal(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok"), ErrorKind::AnswerShort,
                "a body shorter than its Content-Length to be an error");
    story.equal(resultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), ErrorKind::AnswerShort,
                "a chunked body without the last chunk to be an error");
    story.equal(resultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), ErrorKind::None,
                "a chunked body with the last chunk to succeed");
    story.equal(resultOf("HTTP/1.1 200 OK\r\n\r\nok"), ErrorKind::AnswerShort,
                "a body delimited by the close of the connection to be an error, since it may be truncated");
    story.equal(resultOf(""), ErrorKind::AnswerLost, "a connection closed without a response to be reported as AnswerLost");
    const net::Address closedPort {"127.0.0.1", 1};
    tests::HttpCaller caller;
    story.equal(caller.call(post(closedPort, false)).result.kind, ErrorKind::ConnectFailed,
                "a connection to a port without a listener to fail");
}

Test(net, server_rejects_ambiguous_framing_and_oversized_requests)
{
    tests::Story story;
    net::LoopThread thread;
    std::unique_ptr<net::HttpServer> server;
    thread.call([&] {
        server = std::make_unique<net::HttpServer>(
            thread.loop(), net::Address {"127.0.0.1", 0},
            [](const std::shared_ptr<net::HttpExchange> &exchange) {
                exchange->respond({200, {}, exchange->request().body});
            },
            net::HttpServerLimits {.bodyBytes = 100});
    });
    const auto address = thread.call([&] { return server->address(); });
    const auto statusOf = [&](const std::string &head, const std::string &body) {
        return tests::exchangeRaw(address, "POST / HTTP/1.1\r\nHost: x\r\n" + head + "\r\n" + body).substr(0, 12);
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    story.equal(statusOf("Content-Length: 5\r\n", "hello"), "HTTP/1.1 200", "an ordinary request to succeed");
    story.equal(statusOf(chunked, "5\r\nhello\r\n0\r\n\r\n"), "HTTP/1.1 200", "a chunked request to succeed");
    story.equal(statusOf("Content-Length: 200\r\n", ""), "HTTP/1.1 413", "a body over the limit to be rejected by its Content-Length");
    story.equal(statusOf(chunked, "c8\r\n" + std::string(200, 'x') + "\r\n0\r\n\r\n"), "HTTP/1.1 413",
                "a chunked body over the limit to be rejected");
    story.equal(statusOf("Content-Length: 5\r\n" + chunked, "0\r\n\r\n"), "HTTP/1.1 400",
                "Content-Length with Transfer-Encoding to be rejected");
    story.equal(statusOf("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"), "HTTP/1.1 400",
                "two Content-Length headers to be rejected");
    story.equal(statusOf("Transfer-Encoding: identity\r\n", ""), "HTTP/1.1 400", "an unknown transfer encoding to be rejected");
    story.check(statusOf("X-Flood: " + std::string(60000, 'x') + "\r\n", "") != "HTTP/1.1 200", "headers over the limit to be rejected");
    thread.call([&] { server.reset(); });
}

Test(net, client_disconnect_cancels_its_request)
{
    tests::Story story;
    net::LoopThread thread;
    std::atomic<int> handled {0};
    std::atomic<int> cancelled {0};
    std::vector<std::shared_ptr<net::HttpExchange>> openExchanges;
    std::unique_ptr<net::RelayServer> server;
    const auto address = thread.call([&] {
        server = std::make_unique<net::RelayServer>(thread.loop(), net::Address {"127.0.0.1", 0},
                                                    [&](std::shared_ptr<net::HttpExchange> exchange) {
                                                        exchange->onCancelled([&] { ++cancelled; });
                                                        openExchanges.push_back(std::move(exchange));
                                                        ++handled;
                                                    });
        return server->address();
    });
    const auto sendAndDisconnect = [&](bool isImmediate) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in serverAddress {};
        serverAddress.sin_family = AF_INET;
        serverAddress.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &serverAddress.sin_addr);
        static_cast<void>(connect(descriptor, reinterpret_cast<sockaddr *>(&serverAddress), sizeof serverAddress));
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        static_cast<void>(!write(descriptor, request.data(), request.size()));
        const int before = handled;
        for (int round = 0; !isImmediate && handled == before && round < 1000; ++round) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        close(descriptor);
    };
    const auto waitForCancelled = [&](int count) {
        for (int round = 0; cancelled < count && round < 1000; ++round) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return cancelled.load();
    };
    story.section("a disconnect while the request is processed cancels it", [&] {
        sendAndDisconnect(false);
        story.equal(waitForCancelled(1), 1, "the disconnect to be detected");
    });
    story.section("a disconnect before a busy loop reads the request prevents its start", [&] {
        thread.call([&] {
            sendAndDisconnect(true);
            return true;
        });
        sendAndDisconnect(false);
        story.equal(waitForCancelled(2), 2, "the disconnect of the later client to be detected");
        story.equal(handled.load(), 2, "the request of the earlier client not to reach the handler");
    });
    thread.call([&] {
        openExchanges.clear();
        server.reset();
        return true;
    });
}

Test(net, total_size_of_request_bodies_is_limited)
{
    tests::Story story;
    net::LoopThread thread;
    std::vector<std::shared_ptr<net::HttpExchange>> openExchanges;
    std::unique_ptr<net::RelayServer> server;
    thread.call([&] {
        net::RelayServerLimits limits;
        limits.maxBufferedBodyBytes = 1000;
        server = std::make_unique<net::RelayServer>(
            thread.loop(), net::Address {"127.0.0.1", 0},
            [&](std::shared_ptr<net::HttpExchange> exchange) {
                if (exchange->request().path == "/hold") {
                    openExchanges.push_back(std::move(exchange));
                } else {
                    exchange->respond({200, {}, "ok"});
                }
            },
            limits);
    });
    const auto address = thread.call([&] { return server->address(); });
    const auto send = [&](const std::string &path, std::size_t size) {
        tests::HttpCaller caller;
        net::ClientRequest request;
        request.method = "POST";
        request.url = "http://" + address.toString() + path;
        request.body = std::string(size, 'x');
        request.timeout = std::chrono::seconds(5);
        return caller.call(request).head.status;
    };
    std::thread pendingClient([&] { static_cast<void>(send("/hold", 800)); });
    while (thread.call([&] { return openExchanges.empty(); })) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    story.equal(send("/", 100), 200, "a small body to be accepted while a large one is buffered");
    story.equal(send("/", 500), 503, "a body over the total limit to be rejected before the request runs");
    story.equal(send("/", 0), 200, "a request without a body to be accepted");
    thread.call([&] {
        openExchanges.front()->respond({200, {}, "ok"});
        openExchanges.clear();
    });
    pendingClient.join();
    story.equal(send("/", 500), 200, "a body to be accepted after the response has released the buffered one");
    thread.call([&] { server.reset(); });
}

// Guards against a crash of the process by an empty chunked body whose last chunk arrives without the end of the trailer.
Test(net, empty_chunked_bodies_may_arrive_in_any_pieces)
{
    tests::Story story;
    net::LoopThread thread;
    const std::vector<std::vector<std::string>> splits {
        {"0\r\n", "\r\n"}, {"0\r\n\r", "\n"}, {"0\r\n", "\r", "\n"}, {"0", "\r", "\n", "\r", "\n"}};
    story.section("a request", [&] {
        std::unique_ptr<net::RelayServer> server;
        thread.call([&] {
            server = std::make_unique<net::RelayServer>(thread.loop(), net::Address {"127.0.0.1", 0},
                                                        [](const std::shared_ptr<net::HttpExchange> &exchange) {
                                                            exchange->respond({200, {}, "ok"});
                                                        });
        });
        const auto address = thread.call([&] { return server->address(); });
        for (const auto &split : splits) {
            auto pieces = split;
            pieces.front() = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + pieces.front();
            story.check(tests::exchangeRaw(address, pieces).starts_with("HTTP/1.1 200"), "the request to be served");
        }
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        story.check(tests::exchangeRaw(address, head + "5;" + std::string(200000, 'x')).starts_with("HTTP/1.1 431"),
                    "a chunk header without end to be rejected");
        thread.call([&] { server.reset(); });
    });
    story.section("a response", [&] {
        for (const auto &split : splits) {
            tests::RawServer raw(
                [&](int, const std::string &) { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + split.front(); });
            raw.laterPieces.assign(split.begin() + 1, split.end());
            std::promise<core::ErrorKind> ended;
            std::unique_ptr<net::RelayClient> client;
            thread.call([&] {
                client = std::make_unique<net::RelayClient>(thread.loop());
                net::ClientRequest request;
                request.url = "http://" + raw.address().toString() + "/";
                request.timeout = std::chrono::seconds(5);
                net::ClientCallbacks callbacks;
                callbacks.onDone = [&ended](const net::ClientResult &result) { ended.set_value(result.kind); };
                client->send(request, std::move(callbacks));
            });
            story.equal(ended.get_future().get(), core::ErrorKind::None, "the response to be complete");
            thread.call([&] { client.reset(); });
        }
    });
}

// Guards against a message that is never parsed because the last bytes of its head arrive by themselves: a request without an answer, and
// a response that is lost at the timeout.
Test(net, heads_may_arrive_in_any_pieces)
{
    tests::Story story;
    net::LoopThread thread;
    // All ways to cut a message into two pieces, and one byte in each of the last pieces.
    const auto splitsOf = [](const std::string &message) {
        std::vector<std::vector<std::string>> splits;
        for (std::size_t at = 1; at < message.size(); ++at) {
            splits.push_back({message.substr(0, at), message.substr(at)});
        }
        const auto tail = message.size() - 5;
        splits.push_back({message.substr(0, tail)});
        for (std::size_t at = tail; at < message.size(); ++at) {
            splits.back().push_back(message.substr(at, 1));
        }
        return splits;
    };
    story.section("a request", [&] {
        std::unique_ptr<net::RelayServer> server;
        thread.call([&] {
            server = std::make_unique<net::RelayServer>(
                thread.loop(), net::Address {"127.0.0.1", 0},
                [](const std::shared_ptr<net::HttpExchange> &exchange) {
                    exchange->respond({200, {}, "ok"});
                },
                net::RelayServerLimits {.headerTimeout = std::chrono::seconds(1)});
        });
        const auto address = thread.call([&] { return server->address(); });
        for (const auto &message : {std::string("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"),
                                    std::string("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")}) {
            for (const auto &pieces : splitsOf(message)) {
                story.check(tests::exchangeRaw(address, pieces).starts_with("HTTP/1.1 200"), "the request to be served: " + pieces.front());
            }
        }
        thread.call([&] { server.reset(); });
    });
    story.section("a response", [&] {
        for (const auto &message :
             {std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), std::string("HTTP/1.1 204 None\r\nX: y\r\n\r\n"),
              std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")}) {
            for (const auto &pieces : splitsOf(message)) {
                tests::RawServer raw([&](int, const std::string &) { return pieces.front(); });
                raw.laterPieces.assign(pieces.begin() + 1, pieces.end());
                std::promise<core::ErrorKind> ended;
                std::unique_ptr<net::RelayClient> client;
                thread.call([&] {
                    client = std::make_unique<net::RelayClient>(thread.loop());
                    net::ClientRequest request;
                    request.url = "http://" + raw.address().toString() + "/";
                    request.timeout = std::chrono::milliseconds(500);
                    net::ClientCallbacks callbacks;
                    callbacks.onDone = [&ended](const net::ClientResult &result) { ended.set_value(result.kind); };
                    client->send(request, std::move(callbacks));
                });
                story.equal(ended.get_future().get(), core::ErrorKind::None, "the response to be complete: " + pieces.front());
                thread.call([&] { client.reset(); });
            }
        }
    });
}

// Guards against a caller of the store, of a peer or of a health check that keeps a head without end until its timeout.
Test(net, head_without_end_is_cut_off)
{
    tests::Story story;
    const std::vector<std::pair<std::string, std::string>> cases {
        {"HTTP/1.1 200 OK\r\n", "X-Other: y\r\n"},
        {"HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxxxxxxxxxx"},
        {"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: y\r\n"},
    };
    for (const auto &[start, piece] : cases) {
        story.section(start + piece, [&, &first = start, &endless = piece] {
            tests::RawServer raw([&](int, const std::string &) { return first; });
            while (raw.endlessPiece.size() < 65536) {
                raw.endlessPiece += endless;
            }
            tests::HttpCaller caller;
            net::ClientRequest request;
            request.url = "http://" + raw.address().toString() + "/";
            request.timeout = std::chrono::seconds(5);
            const auto sent = core::steadyNow();
            story.check(caller.call(request).result.kind != core::ErrorKind::None, "no response that looks complete");
            story.check(core::steadyNow() - sent < std::chrono::seconds(4), "an end before the timeout");
            constexpr std::size_t socketBuffers = 8UL << 20U;
            story.check(raw.endlessBytes <= socketBuffers, "few bytes to be read");
        });
    }
}

// Guards against half of a response that ends with its connection and is taken for whole: the connection is reset while the request is
// still being sent, and the failed write takes the error that the next read would have reported.
Test(net, response_that_is_reset_during_an_upload_is_not_complete)
{
    tests::Story story;
    net::LoopThread thread;
    for (int round = 0; round < 5; ++round) {
        tests::RawServer raw([](int, const std::string &) { return "!HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"; });
        raw.isResettingConnections = true;
        std::promise<core::ErrorKind> ended;
        std::unique_ptr<net::RelayClient> client;
        thread.call([&] {
            client = std::make_unique<net::RelayClient>(thread.loop());
            net::ClientRequest request;
            request.method = "POST";
            request.url = "http://" + raw.address().toString() + "/";
            request.body = std::string(16'000'000, 'x'); // more than the sockets hold
            request.timeout = std::chrono::seconds(5);
            request.mayBeCloseDelimited = true;
            net::ClientCallbacks callbacks;
            callbacks.onDone = [&ended](const net::ClientResult &result) { ended.set_value(result.kind); };
            client->send(request, std::move(callbacks));
        });
        story.check(ended.get_future().get() != core::ErrorKind::None, "the response not to count as complete");
        thread.call([&] { client.reset(); });
    }
}

// Guards against a client that holds a connection for as long as it likes by sending its head byte by byte.
Test(net, head_that_takes_too_long_ends_its_connection)
{
    tests::Story story;
    net::LoopThread thread;
    std::unique_ptr<net::RelayServer> server;
    thread.call([&] {
        server = std::make_unique<net::RelayServer>(
            thread.loop(), net::Address {"127.0.0.1", 0},
            [](const std::shared_ptr<net::HttpExchange> &exchange) {
                exchange->respond({200, {}, "ok"});
            },
            net::RelayServerLimits {.headerTimeout = std::chrono::milliseconds(500)});
    });
    const auto address = thread.call([&] { return server->address(); });
    const auto drip = [](const std::string &bytes) {
        std::vector<std::string> pieces;
        for (const auto byte : bytes) {
            pieces.emplace_back(1, byte);
        }
        return pieces;
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    story.equal(tests::exchangeRaw(address, drip(head + std::string(80, 'x') + ": y\r\n\r\n")), std::string(),
                "no response to a head that takes 2 s");
    auto pieces = drip(std::string(60, 'x'));
    pieces.front() = head + "Content-Length: 60\r\n\r\nx";
    story.check(tests::exchangeRaw(address, pieces).starts_with("HTTP/1.1 200"), "a body that goes on to be taken, however long it takes");
    thread.call([&] { server.reset(); });
}

// Guards against an endpoint that is silent in the middle of its response and is taken for a client that does not read (review/12).
Test(net, silence_of_a_response_is_not_that_of_its_client)
{
    tests::Story story;
    net::LoopThread thread;
    constexpr core::Duration idleTimeout = 300ms;
    std::unique_ptr<net::RelayServer> server;
    std::shared_ptr<net::BodyPipe> pipe;
    bool isAbandoned = false;
    const std::string half(100'000, 'x');
    thread.call([&] {
        server = std::make_unique<net::RelayServer>(
            thread.loop(), net::Address {"127.0.0.1", 0},
            [&](const std::shared_ptr<net::HttpExchange> &exchange) {
                pipe = std::make_shared<net::BodyPipe>();
                pipe->onAbandoned = [&] { isAbandoned = true; };
                exchange->respondFrom(200, {}, std::nullopt, pipe);
                pipe->push(half);
                if (exchange->request().path == "/pauses") {
                    for (const auto at : {4 * idleTimeout, 8 * idleTimeout}) {
                        thread.loop().callAfter(at, [&, isLast = at == 8 * idleTimeout] {
                            pipe->push(half);
                            if (isLast) {
                                pipe->finish(true);
                            }
                        });
                    }
                }
            },
            net::RelayServerLimits {.idleTimeout = idleTimeout});
    });
    const auto address = thread.call([&] { return server->address(); });
    story.section("the client reads all the time", [&] {
        tests::HttpCaller caller;
        const auto response = caller.get(address, "/pauses", "x");
        story.equal(response.result.kind, ErrorKind::None, "the response to be complete");
        story.equal(response.body.size(), 3 * half.size(), "all of it to arrive");
    });
    story.section("the client does not read what there is", [&] {
        const int connection = socket(AF_INET, SOCK_STREAM, 0);
        const int smallBuffer = 4096;
        setsockopt(connection, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        story.equal(connect(connection, reinterpret_cast<sockaddr *>(&target), sizeof target), 0, "a connection");
        const std::string request = "GET /stalls HTTP/1.1\r\nHost: a\r\n\r\n";
        static_cast<void>(!send(connection, request.data(), request.size(), MSG_NOSIGNAL));
        const auto deadline = core::steadyNow() + 10s;
        while (core::steadyNow() < deadline && !thread.call([&] { return isAbandoned; })) {
            thread.call([&] {
                if (pipe) {
                    pipe->push(half); // more than the sockets hold
                }
            });
            std::this_thread::sleep_for(20ms);
        }
        story.check(thread.call([&] { return isAbandoned; }), "its connection to be ended, and the response abandoned");
        close(connection);
    });
    thread.call([&] { server.reset(); });
}

namespace
{
/// Returns the largest resident size that this process has had, in bytes.
std::size_t ownPeakMemory()
{
    std::ifstream status("/proc/self/status");
    const std::string key = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(key)) {
            return std::stoul(line.substr(key.size())) * 1024UL;
        }
    }
    return 0;
}
} // namespace

// Guards against a connection that keeps what its client has read, for as long as the client is behind by less than the buffers hold.
Test(net, output_of_a_client_that_never_catches_up_does_not_grow)
{
    tests::Story story;
    net::LoopThread thread;
    std::unique_ptr<net::RelayServer> server;
    std::shared_ptr<net::BodyPipe> pipe;
    thread.call([&] {
        server = std::make_unique<net::RelayServer>(thread.loop(), net::Address {"127.0.0.1", 0},
                                                    [&](const std::shared_ptr<net::HttpExchange> &exchange) {
                                                        pipe = std::make_shared<net::BodyPipe>();
                                                        exchange->respondFrom(200, {}, std::nullopt, pipe);
                                                    });
    });
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    // Keeps the sockets' buffers smaller than the output, which a socket that takes all of it would empty each time.
    const int receiveBufferBytes = 4096;
    const int segmentBytes = 536;
    setsockopt(client, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    setsockopt(client, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(thread.call([&] { return server->address(); }).port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    story.equal(connect(client, reinterpret_cast<sockaddr *>(&target), sizeof target), 0, "a connection");
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    static_cast<void>(!send(client, request.data(), request.size(), MSG_NOSIGNAL));
    std::string block(32768, 'x');
    // Pushes until the output of the connection is full.
    const auto fallBehind = [&] {
        do {
            pipe->push(block);
        } while (pipe->isEmpty());
    };
    while (!thread.call([&] { return pipe != nullptr; })) {
        std::this_thread::sleep_for(1ms);
    }
    thread.call(fallBehind);
    const auto before = ownPeakMemory();
    constexpr int blocks = 1500; // 48 MB
    bool isRead = true;
    for (int at = 0; at < blocks && isRead; ++at) {
        for (std::size_t got = 0; got < block.size() && isRead;) {
            const auto size = recv(client, block.data(), block.size() - got, 0);
            isRead = size > 0;
            got += isRead ? static_cast<std::size_t>(size) : 0;
        }
        thread.call(fallBehind);
    }
    story.check(isRead, "the connection to last");
    constexpr std::size_t allowed = 8'000'000; // far below the response, and above what the buffers of one response may hold
    story.check(ownPeakMemory() - before < allowed, fmt::format("bounded memory, not {} bytes more", ownPeakMemory() - before));
    close(client);
    thread.call([&] { server.reset(); });
}

// Guards against a response that ends with its connection and is noticed only at the timeout, because its last bytes and the end of the
// connection are reported together.
Test(net, end_of_a_connection_is_noticed_together_with_its_last_bytes)
{
    tests::Story story;
    net::LoopThread thread;
    tests::RawServer raw([&](int, const std::string &) {
        // Both arrive while the event loop is busy.
        thread.loop().post([] { std::this_thread::sleep_for(std::chrono::milliseconds(100)); });
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        return std::string("!HTTP/1.1 200 OK\r\n\r\nbody");
    });
    std::promise<core::ErrorKind> ended;
    std::unique_ptr<net::RelayClient> client;
    const auto sent = core::steadyNow();
    thread.call([&] {
        client = std::make_unique<net::RelayClient>(thread.loop());
        net::ClientRequest request;
        request.url = "http://" + raw.address().toString() + "/";
        request.timeout = std::chrono::seconds(3);
        request.mayBeCloseDelimited = true;
        net::ClientCallbacks callbacks;
        callbacks.onDone = [&ended](const net::ClientResult &result) { ended.set_value(result.kind); };
        client->send(request, std::move(callbacks));
    });
    story.equal(ended.get_future().get(), core::ErrorKind::None, "the response to be complete");
    story.check(core::steadyNow() - sent < std::chrono::seconds(2), "an end before the timeout");
    thread.call([&] { client.reset(); });
}

// Guards against a large response over a busy link that is given up although it arrives, and against a silent server that is waited for
// as long as for a large response.
Test(net, time_of_the_head_and_time_of_the_body_have_limits_of_their_own)
{
    tests::Story story;
    tests::HttpCaller caller;
    story.section("the body takes longer than the head may", [&] {
        tests::RawServer server([](int, const std::string &) { return "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"; });
        server.laterPieces.assign(40, "x"); // with a pause before each
        net::ClientRequest request;
        request.url = "http://" + server.address().toString() + "/";
        request.headTimeout = 300ms;
        request.timeout = 5s;
        const auto response = caller.call(request);
        story.check(response.result.kind == core::ErrorKind::None && response.body.size() == 40, "the whole response");
    });
    story.section("the head never comes", [&] {
        tests::RawServer server([](int, const std::string &) { return std::string("HTTP/1.1 200 OK\r\n"); });
        server.laterPieces.assign(1, "X: y\r\n");
        net::ClientRequest request;
        request.url = "http://" + server.address().toString() + "/";
        request.headTimeout = 300ms;
        request.timeout = 10s;
        const auto before = core::steadyNow();
        story.check(caller.call(request).result.kind == core::ErrorKind::DeadlineUnknown, "the request to time out");
        story.check(core::steadyNow() - before < 3s, "the head's limit to apply");
    });
}

// Guards against a client that goes on receiving a response that it will not use.
Test(net, fetch_ends_a_response_that_is_too_large)
{
    tests::Story story;
    net::LoopThread thread;
    auto client = thread.call([&] { return std::make_unique<net::HttpClient>(thread.loop()); });
    const auto fetch = [&](const net::Address &from) {
        std::promise<net::ClientResponse> done;
        net::ClientRequest request;
        request.url = "http://" + from.toString() + "/";
        request.timeout = 10s;
        thread.loop().post(
            [&] { client->fetch(request, 100'000, [&](net::ClientResponse answer) { done.set_value(std::move(answer)); }); });
        return done.get_future().get();
    };
    for (const std::string framing : {"Content-Length: 900000000", "Transfer-Encoding: chunked"}) {
        story.section(framing, [&] {
            tests::RawServer server([&](int, const std::string &) { return "HTTP/1.1 200 OK\r\nStore-Era: 4\r\n" + framing + "\r\n\r\n"; });
            server.endlessPiece = "5\r\nabcde\r\n";
            const auto response = fetch(server.address());
            story.check(response.result.isTooLarge && response.result.kind == ErrorKind::AnswerShort, "the response to be given up");
            story.check(response.body.size() <= 100'000, "no more to be kept than the limit");
            story.equal(net::findHeader(response.head.headers, "Store-Era"), std::string("4"), "its head to be known");
            for (int round = 0; round < 200 && !server.isClosedByClient; ++round) {
                std::this_thread::sleep_for(10ms);
            }
            story.check(server.isClosedByClient, "the connection to be closed");
        });
    }
    thread.call([&] { client.reset(); });
}
