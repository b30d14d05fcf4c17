#pragma once

#include "net/httpclient.h"
#include "store/collectionstore.h"

#include <string>

namespace figpulley::platform
{
/// Client of the platform's metadata store, which holds objects by kind and name and supports revisions, conditional writes and
/// watches.
class PlatformStore : public store::CollectionStore
{
public:
    /// @param address ip:port of the store
    PlatformStore(net::HttpClient &client, std::string address);

    void list(const std::string &collection, const std::string &after, ItemsCallback callback) override;
    void watch(const std::string &collection, std::uint64_t revision, core::Duration wait, ItemsCallback callback) override;
    void get(const std::string &collection, const std::string &name, ItemCallback callback) override;
    void put(const std::string &collection, const std::string &name, const std::string &content, std::uint64_t revision,
             ItemCallback callback) override;

private:
    [[nodiscard]] net::ClientRequest request(std::string method, const std::string &path) const;

    net::HttpClient &client;
    std::string address;
};
} // namespace figpulley::platform
