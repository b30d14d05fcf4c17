#pragma once

#include "net/httpclient.h"
#include "net/loopthread.h"
#include "store/httpobjectstore.h"

#include <functional>
#include <future>
#include <memory>
#include <string>

namespace figpulley::cli
{
/// Synchronous access to the platform's object store for a command. The client runs on an event loop of its own thread.
class PlatformSession
{
public:
    /// @param address address of the platform's object API, ip:port
    explicit PlatformSession(const std::string &address);
    ~PlatformSession();
    PlatformSession(const PlatformSession &) = delete;
    PlatformSession &operator=(const PlatformSession &) = delete;

    /// Starts an asynchronous operation and waits for its result.
    /// @param start starts the operation on the store and passes the callback on to it
    template<class Result>
    [[nodiscard]] Result wait(const std::function<void(store::ObjectStore &, std::function<void(const Result &)>)> &start)
    {
        std::promise<Result> promise;
        this->thread.loop().post([&] { start(*this->store, [&promise](const Result &result) { promise.set_value(result); }); });
        return promise.get_future().get();
    }

private:
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<store::HttpObjectStore> store;
};
} // namespace figpulley::cli
