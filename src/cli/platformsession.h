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
/// A connection to the platform for one command, with calls that wait for their answers.
class PlatformSession
{
public:
    /// @param address ip:port
    explicit PlatformSession(const std::string &address);
    ~PlatformSession();
    PlatformSession(const PlatformSession &) = delete;
    PlatformSession &operator=(const PlatformSession &) = delete;

    /// Runs an asynchronous call and waits for its result.
    /// @param start receives the store and the callback to pass on
    template<class Result>
    [[nodiscard]] Result wait(const std::function<void(store::ObjectStore &, std::function<void(const Result &)>)> &start)
    {
        std::promise<Result> done;
        this->thread.loop().post([&] { start(*this->store, [&done](const Result &result) { done.set_value(result); }); });
        return done.get_future().get();
    }

private:
    net::LoopThread thread;
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<store::HttpObjectStore> store;
};
} // namespace figpulley::cli
