#pragma once

#include "net/eventloop.h"
#include "net/httpsender.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace figpulley::net
{
/// Sends HTTP requests on an event loop. Built on libcurl.
class HttpClient : public HttpSender
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient() override;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    TransferId send(const ClientRequest &request, ClientCallbacks callbacks) override;

    /// Sends a request and collects the whole response.
    /// @param maxBodyBytes a longer body ends the exchange at once with the result AnswerShort and `isTooLarge`
    TransferId fetch(const ClientRequest &request, std::size_t maxBodyBytes, std::function<void(ClientResponse)> onDone);

    void cancel(TransferId transfer) override;
    void resume(TransferId transfer) override;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::net
