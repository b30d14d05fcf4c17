#pragma once

#include "net/address.h"
#include "net/httpclient.h"
#include "net/loopthread.h"

#include <chrono>
#include <future>
#include <memory>

namespace figpulley::tests
{
/// Blocking HTTP client that runs on a thread of its own.
class HttpCaller
{
public:
    HttpCaller()
    {
        this->thread.call([this] { this->client = std::make_unique<net::HttpClient>(this->thread.loop()); });
    }

    ~HttpCaller()
    {
        this->thread.call([this] { this->client.reset(); });
    }

    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// Sends a request and waits for its response; a request without a timeout gets one of 20 s.
    [[nodiscard]] net::ClientResponse call(net::ClientRequest request)
    {
        if (request.timeout.count() == 0) {
            request.timeout = std::chrono::seconds(20);
        }
        std::promise<net::ClientResponse> done;
        this->thread.loop().post(
            [&] { this->client->fetch(request, 64UL << 20U, [&done](net::ClientResponse answer) { done.set_value(std::move(answer)); }); });
        return done.get_future().get();
    }

    [[nodiscard]] net::ClientResponse get(const net::Address &to, const std::string &path, const std::string &host)
    {
        net::ClientRequest request;
        request.url = "http://" + to.toString() + path;
        request.headers = {{"Host", host}, {"X-User", "ana"}, {"X-Work", "1"}};
        return this->call(request);
    }

private:
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
};
} // namespace figpulley::tests
