#include "node/nodesettings.h"

#include "text/objectreader.h"
#include "text/parse.h"

#include <array>

#include <fmt/format.h>

namespace figpulley::node
{
namespace
{
using text::KeySpec;
using text::KeyType;

constexpr std::array keys {
    KeySpec {"availability_zone", KeyType::String, "", 1, 64, "availability zone of this VM"},
    KeySpec {"service", KeyType::String, "\"\"", 0, 64, "service of the upstream on this VM; empty if it has none"},
    KeySpec {"entrance", KeyType::String, "", 9, 21, "ip:port for clients"},
    KeySpec {"nested", KeyType::String, "", 9, 21,
             "ip:port for calls that the upstream on this VM makes; bind it to an address that only this VM reaches"},
    KeySpec {"ingress", KeyType::String, "", 9, 21, "ip:port for calls from other nodes"},
    KeySpec {"control", KeyType::String, "", 9, 21,
             "ip:port for datagrams between nodes, and for configuration, status and metrics by HTTP"},
    KeySpec {"upstream", KeyType::String, "\"\"", 0, 21, "ip:port of the upstream on this VM; empty if it has none"},
    KeySpec {"platform", KeyType::String, "\"\"", 0, 21, "ip:port of the platform's object API; empty if there is none"},
    KeySpec {"seeds", KeyType::Strings, "[]", 0, 64, "control addresses of nodes to join through when the platform does not respond"},
    KeySpec {"keys", KeyType::Objects, "", 1, 8, "shared keys of the nodes; the last key signs messages, every key verifies them"},
    KeySpec {"log_level", KeyType::String, "\"info\"", 3, 8, "debug, info, warning, error or off"},
    KeySpec {"random_seed", KeyType::Integer, "0", 0, 9007199254740991,
             "seed of the random number generator; 0 takes one from the operating system"},
    KeySpec {"largest_body_bytes", KeyType::Integer, "1048576", 0, 1073741824, "largest request body, in bytes"},
};

constexpr std::array keyKeys {
    KeySpec {"id", KeyType::String, "", 1, 32, "name of the key"},
    KeySpec {"secret", KeyType::String, "", trust::KeyRing::minSecretBytes, 1024, "the secret; never logged"},
};

const text::SectionSpec section {"node settings", "Settings that a node's process reads at its start.", keys};
const text::SectionSpec keySection {"node settings key", "A shared key of the nodes.", keyKeys};

net::Address requiredAddress(const text::ObjectReader &reader, std::string_view key)
{
    const auto address = net::parseAddress(reader.string(key));
    if (!address && reader.find(key) != nullptr) {
        reader.report(key, fmt::format("\"{}\" must be ip:port, such as 127.0.0.1:7001", key));
    }
    return address.value_or(net::Address {});
}

std::optional<net::Address> optionalAddress(const text::ObjectReader &reader, std::string_view key)
{
    if (reader.string(key).empty()) {
        return std::nullopt;
    }
    return requiredAddress(reader, key);
}

void readKeys(const std::string &file, const text::ObjectReader &reader, NodeSettings &settings, text::Problems &problems)
{
    for (const auto *value : reader.objects("keys")) {
        const text::ObjectReader key(file, *value, keySection, problems);
        settings.keys.add(key.string("id"), key.string("secret"));
    }
}
} // namespace

const text::SectionSpec &nodeSettingsSection() noexcept
{
    return section;
}

const text::SectionSpec &sharedKeySection() noexcept
{
    return keySection;
}

std::optional<NodeSettings> readNodeSettings(const std::string &file, std::string_view source, text::Problems &problems)
{
    const auto root = text::parse(file, source, problems);
    if (!root) {
        return std::nullopt;
    }
    const text::ObjectReader reader(file, *root, section, problems);
    NodeSettings settings;
    settings.availabilityZone = reader.string("availability_zone");
    settings.service = reader.string("service");
    settings.entrance = requiredAddress(reader, "entrance");
    settings.nested = requiredAddress(reader, "nested");
    settings.ingress = requiredAddress(reader, "ingress");
    settings.control = requiredAddress(reader, "control");
    settings.upstream = optionalAddress(reader, "upstream");
    settings.platform = optionalAddress(reader, "platform");
    settings.seeds = reader.strings("seeds");
    for (const auto &seed : settings.seeds) {
        if (!net::parseAddress(seed)) {
            reader.report("seeds", fmt::format("\"seeds\" has \"{}\", but each entry must be ip:port, such as 127.0.0.1:7001", seed));
        }
    }
    if (settings.service.empty() == settings.upstream.has_value()) {
        reader.report("upstream", "\"service\" and \"upstream\" must both be set or both be empty");
    }
    readKeys(file, reader, settings, problems);
    const auto level = core::logLevelFromName(reader.string("log_level"));
    if (level) {
        settings.logLevel = *level;
    } else {
        reader.report("log_level", "\"log_level\" must be debug, info, warning, error or off");
    }
    settings.randomSeed = static_cast<std::uint64_t>(reader.integer("random_seed"));
    settings.maxBodyBytes = static_cast<std::size_t>(reader.integer("largest_body_bytes"));
    if (text::hasErrors(problems)) {
        return std::nullopt;
    }
    return settings;
}
} // namespace figpulley::node
