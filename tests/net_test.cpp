#include "support/httpcall.h"
#include "support/rawclient.h"
#include "support/rawserver.h"
#include "support/story.h"

#include "net/loopthread.h"
#include "net/relayserver.h"

#include "net/httpserver.h"

#include <thread>

using namespace figpulley;
using core::ErrorKind;

namespace
{
const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

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

Test(net, a_reused_connection_dies)
{
    tests::Story story;
    // Every second request on a connection finds it closed after the request was read.
    const auto answerOnce = [](int number, const std::string &) { return number == 2 ? std::string() : whole; };
    story.section("libcurl on its own sends a POST twice", [&] {
        tests::RawServer server(answerOnce);
        tests::HttpCaller caller;
        story.equal(caller.call(post(server.address(), true)).result.kind, ErrorKind::None, "the first succeeds");
        story.equal(caller.call(post(server.address(), true)).result.kind, ErrorKind::None, "the second is reported as a success");
        story.equal(server.requests.load(), 3, "the server saw it twice");
    });
    story.section("with the guard it does not", [&] {
        tests::RawServer server(answerOnce);
        tests::HttpCaller caller;
        story.equal(caller.call(post(server.address(), false)).result.kind, ErrorKind::None, "the first succeeds");
        story.equal(caller.call(post(server.address(), false)).result.kind, ErrorKind::AnswerLost, "the second is reported as unknown");
        story.equal(server.requests.load(), 2, "the server saw it once");
    });
}

Test(net, answers_are_whole_or_errors)
{
    tests::Story story;
    const auto resultOf = [](const std::string &answer) {
        tests::RawServer server([answer](int, const std::string &) { return "!" + answer; });
        tests::HttpCaller caller;
        auto request = post(server.address(), false);
        request.method = "GET";
        request.body.clear();
        return caller.call(request).result.kind;
    };
    story.equal(resultOf(whole), ErrorKind::None, "a whole answer is one");
    story.equal(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok"), ErrorKind::AnswerShort, "a short body is an error");
    story.equal(resultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), ErrorKind::AnswerShort,
                "a chunked body without an end is an error");
    story.equal(resultOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), ErrorKind::None,
                "one with an end is whole");
    story.equal(resultOf("HTTP/1.1 200 OK\r\n\r\nok"), ErrorKind::AnswerShort,
                "a body that ends with the connection cannot be told from a cut one");
    story.equal(resultOf(""), ErrorKind::AnswerLost, "no answer at all");
    const net::Address nobody {"127.0.0.1", 1};
    tests::HttpCaller caller;
    story.equal(caller.call(post(nobody, false)).result.kind, ErrorKind::ConnectFailed, "nobody listens");
}

Test(net, server_refuses_smuggling)
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
    story.equal(statusOf("Content-Length: 5\r\n", "hello"), "HTTP/1.1 200", "an ordinary request is answered");
    story.equal(statusOf(chunked, "5\r\nhello\r\n0\r\n\r\n"), "HTTP/1.1 200", "so is a chunked one");
    story.equal(statusOf("Content-Length: 200\r\n", ""), "HTTP/1.1 413", "a body over the limit is refused by its announcement");
    story.equal(statusOf(chunked, "c8\r\n" + std::string(200, 'x') + "\r\n0\r\n\r\n"), "HTTP/1.1 413", "one without an announcement, too");
    story.equal(statusOf("Content-Length: 5\r\n" + chunked, "0\r\n\r\n"), "HTTP/1.1 400", "two framings are refused");
    story.equal(statusOf("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"), "HTTP/1.1 400", "two lengths are refused");
    story.equal(statusOf("Transfer-Encoding: identity\r\n", ""), "HTTP/1.1 400", "an unknown encoding is refused");
    story.check(statusOf("X-Flood: " + std::string(60000, 'x') + "\r\n", "") != "HTTP/1.1 200", "a flood of headers is refused");
    thread.call([&] { server.reset(); });
}

Test(net, a_caller_that_leaves)
{
    tests::Story story;
    net::LoopThread thread;
    std::atomic<int> handled {0};
    std::atomic<int> cancelled {0};
    std::vector<std::shared_ptr<net::HttpExchange>> held;
    std::unique_ptr<net::RelayServer> server;
    const auto address = thread.call([&] {
        server = std::make_unique<net::RelayServer>(thread.loop(), net::Address {"127.0.0.1", 0},
                                                    [&](std::shared_ptr<net::HttpExchange> exchange) {
                                                        exchange->onCancelled([&] { ++cancelled; });
                                                        held.push_back(std::move(exchange));
                                                        ++handled;
                                                    });
        return server->address();
    });
    const auto sendAndLeave = [&](bool isAtOnce) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in where {};
        where.sin_family = AF_INET;
        where.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &where.sin_addr);
        static_cast<void>(connect(descriptor, reinterpret_cast<sockaddr *>(&where), sizeof where));
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        static_cast<void>(!write(descriptor, request.data(), request.size()));
        const int before = handled;
        for (int round = 0; !isAtOnce && handled == before && round < 1000; ++round) {
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
    story.section("while its request is worked on", [&] {
        sendAndLeave(false);
        story.equal(waitForCancelled(1), 1, "is noticed");
    });
    story.section("before a busy loop has read its request", [&] {
        thread.call([&] {
            sendAndLeave(true);
            return true;
        });
        sendAndLeave(false);
        story.equal(waitForCancelled(2), 2, "another one leaves later");
        story.equal(handled.load(), 2, "and the request of the first was never begun");
    });
    thread.call([&] {
        held.clear();
        server.reset();
        return true;
    });
}

Test(net, bodies_of_all_requests_are_bounded)
{
    tests::Story story;
    net::LoopThread thread;
    std::vector<std::shared_ptr<net::HttpExchange>> open;
    std::unique_ptr<net::RelayServer> server;
    thread.call([&] {
        net::RelayServerLimits limits;
        limits.maxBufferedBodyBytes = 1000;
        server = std::make_unique<net::RelayServer>(
            thread.loop(), net::Address {"127.0.0.1", 0},
            [&](std::shared_ptr<net::HttpExchange> exchange) {
                if (exchange->request().path == "/hold") {
                    open.push_back(std::move(exchange));
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
    std::thread holder([&] { static_cast<void>(send("/hold", 800)); });
    while (thread.call([&] { return open.empty(); })) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    story.equal(send("/", 100), 200, "a small body has room beside a large one");
    story.equal(send("/", 500), 503, "a body that has none is refused as not run");
    story.equal(send("/", 0), 200, "a request without a body is not concerned");
    thread.call([&] {
        open.front()->respond({200, {}, "ok"});
        open.clear();
    });
    holder.join();
    story.equal(send("/", 500), 200, "the answer has made room");
    thread.call([&] { server.reset(); });
}
