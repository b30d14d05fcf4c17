#include "cli/platformsession.h"

#include <chrono>

namespace figpulley::cli
{
namespace
{
constexpr core::Duration platformTimeout = std::chrono::seconds(5);
}

PlatformSession::PlatformSession(const std::string &address)
{
    this->thread.call([&] {
        this->client = std::make_unique<net::HttpClient>(this->thread.loop());
        this->store = std::make_unique<store::HttpObjectStore>(*this->client, address, platformTimeout);
    });
}

PlatformSession::~PlatformSession()
{
    this->thread.call([this] {
        this->store.reset();
        this->client.reset();
    });
}
} // namespace figpulley::cli
