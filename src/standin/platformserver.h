#pragma once

#include "net/httpserver.h"
#include "standin/objecttable.h"

#include <list>
#include <string>

namespace figpulley::standin
{
/// Faults that the stand-in platform shows.
struct PlatformFaults
{
    bool isDown = false; ///< every call fails
    core::Duration delay {}; ///< before each answer
    int answersToLose = 0; ///< writes that take effect and whose answer is then lost
};

/// Calls that the stand-in platform has served; a waiting watch counts as one read.
struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

/// Stand-in for the platform's object API over HTTP, in memory, with faults.
///
/// Besides `/v1/...` it serves `POST /admin/faults` (JSON: down, delay_ms, lose_answers) and `GET /admin/counts`.
class PlatformServer
{
public:
    PlatformServer(net::EventLoop &loop, const net::Address &address);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    [[nodiscard]] net::Address address() const;
    [[nodiscard]] const PlatformCounts &counts() const noexcept;
    void setFaults(const PlatformFaults &faults);

private:
    struct Watcher
    {
        std::string key;
        std::uint64_t known = 0;
        std::shared_ptr<net::HttpExchange> exchange;
        net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    };

    void handle(const std::shared_ptr<net::HttpExchange> &exchange);
    void handleObject(const std::shared_ptr<net::HttpExchange> &exchange, const std::string &key);
    void handleWatch(const std::shared_ptr<net::HttpExchange> &exchange, const std::string &key);
    void handleList(const std::shared_ptr<net::HttpExchange> &exchange);
    void handleAdmin(const std::shared_ptr<net::HttpExchange> &exchange);
    void wakeWatchers(const std::string &key);
    void reply(const std::shared_ptr<net::HttpExchange> &exchange, net::HttpResponse answer);

    net::EventLoop &loop;
    ObjectTable table;
    PlatformFaults faults;
    PlatformCounts served;
    std::list<Watcher> watchers;
    net::HttpServer server;
};
} // namespace figpulley::standin
