#pragma once

#include "net/httpserver.h"
#include "standin/objecttable.h"

#include <list>
#include <string>

namespace figpulley::standin
{
/// Faults that the stand-in platform injects.
struct PlatformFaults
{
    bool isDown = false; ///< every call outside of /admin fails with status 503
    core::Duration delay {}; ///< delay before each response
    int responsesToLose = 0; ///< number of next writes that take effect but are answered with an error
};

/// Calls that the stand-in platform has received; each watch request counts once, however long it waits.
struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

/// Stand-in for the HTTP object API of the platform, which keeps the objects in memory and can inject faults.
///
/// In addition to `/v1/...` it serves `POST /admin/faults` (JSON: down, delay_ms, lose_answers) and `GET /admin/counts`.
class PlatformServer
{
public:
    PlatformServer(net::EventLoop &loop, const net::Address &address);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    [[nodiscard]] net::Address address() const;
    [[nodiscard]] const PlatformCounts &counts() const noexcept;
    void setFaults(const PlatformFaults &requested);

private:
    struct Watcher
    {
        std::string key;
        std::uint64_t knownVersion = 0;
        std::shared_ptr<net::HttpExchange> exchange;
        net::EventLoop::TimerId timer = net::EventLoop::noTimer;
    };

    void handle(const std::shared_ptr<net::HttpExchange> &exchange);
    void handleObject(const std::shared_ptr<net::HttpExchange> &exchange, const std::string &key);
    void handleWatch(const std::shared_ptr<net::HttpExchange> &exchange, const std::string &key);
    void handleList(const std::shared_ptr<net::HttpExchange> &exchange);
    void handleAdmin(const std::shared_ptr<net::HttpExchange> &exchange);
    void respondToWatchers(const std::string &key);
    void sendResponse(const std::shared_ptr<net::HttpExchange> &exchange, net::HttpResponse response);

    net::EventLoop &loop;
    ObjectTable table;
    PlatformFaults faults;
    PlatformCounts callCounts;
    std::list<Watcher> watchers;
    net::HttpServer server;
};
} // namespace figpulley::standin
