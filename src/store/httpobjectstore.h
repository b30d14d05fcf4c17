#pragma once

#include "net/httpclient.h"
#include "store/objectstore.h"

namespace figpulley::store
{
/// Client of the platform's object API over HTTP: `/v1/objects/KEY` with `If-Match`, `/v1/watch/KEY`, `/v1/list`.
class HttpObjectStore : public ObjectStore
{
public:
    /// @param address ip:port of the platform
    /// @param timeout timeout of one call; a watch has its own
    HttpObjectStore(net::HttpClient &client, std::string address, core::Duration timeout);

    void get(const std::string &key, Callback callback) override;
    void put(const std::string &key, const std::string &value, WriteCondition condition, Callback callback) override;
    void watch(const std::string &key, std::uint64_t knownVersion, core::Duration timeout, Callback callback) override;
    void list(const std::string &prefix, ListCallback callback) override;

private:
    [[nodiscard]] net::ClientRequest request(std::string method, const std::string &path) const;

    net::HttpClient &client;
    std::string address;
    core::Duration timeout;
};
} // namespace figpulley::store
