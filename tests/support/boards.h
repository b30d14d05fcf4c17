#pragma once

#include "board/blackboard.h"
#include "config/load.h"
#include "decide/configcontroller.h"
#include "members/endpointdirectory.h"
#include "members/swim.h"

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

namespace figpulley::tests
{
/// Returns an instant of virtual time, in milliseconds after its start.
[[nodiscard]] inline core::TimePoint at(std::int64_t milliseconds)
{
    return core::TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

inline constexpr const char *testPolicy = R"({
    "kind": "overload-policy", "name": "test",
    "roots": {"retry_budget": 2, "deadline_ms": 1000},
    "defaults": {"limit": "fixed", "limit_initial": 2, "queue_length": 2, "queue_ms": 100, "retry_rate": 1000, "retry_burst": 1000}
})";

inline constexpr const char *testPriorities = R"({
    "kind": "request-priorities", "name": "test",
    "levels": ["lookup", "commission"],
    "routes": [
        {"name": "lookup", "service": "motivi", "level": "lookup", "idempotent": true},
        {"name": "commission", "service": "commesse", "method": "POST", "level": "commission", "idempotent": false}
    ]
})";

/// Compiles configuration files as revision 1.
/// @throws std::runtime_error with the first problem if a file is invalid
[[nodiscard]] inline std::shared_ptr<config::Configuration> compileConfiguration(const std::vector<config::SourceFile> &files)
{
    text::Problems problems;
    auto configuration = config::load(files, problems);
    if (!configuration) {
        throw std::runtime_error(text::describe(problems.front()));
    }
    configuration->revision = 1;
    return configuration;
}

/// Returns the blackboard of a node of a service, with the given policy and the test priorities as active configuration.
[[nodiscard]] inline std::unique_ptr<board::Blackboard> makeBoard(const std::string &service, const std::string &policy = testPolicy)
{
    auto board = std::make_unique<board::Blackboard>();
    board->identity.service = service;
    board->identity.availabilityZone = "mineo";
    board->identity.controlAddress = "10.0.0.1:1";
    board->identity.ingressAddress = "10.0.0.1:2";
    board->identity.id = members::nodeIdOf(board->identity.controlAddress);
    board->identity.incarnation = core::Incarnation {100};
    decide::ConfigController().applyIfNewer(*board, compileConfiguration({{"policy.json", policy}, {"priorities.json", testPriorities}}));
    return board;
}

/// Adds endpoints of a service to a node's endpoint directory, through a membership message that announces them.
inline void addEndpoints(board::Blackboard &board, const std::string &service, int count)
{
    core::Random random(1);
    const members::Swim swim({});
    if (board.membership.read().self.controlAddress.empty()) {
        swim.start(board, at(-100000));
    }
    members::SwimMessage message;
    message.sender = "10.0.9.9:1";
    message.senderZone = "mineo";
    for (int number = 0; number < count; ++number) {
        members::Announcement announcement;
        announcement.controlAddress = "10.1." + std::to_string(service.size()) + "." + std::to_string(number) + ":1";
        announcement.ingressAddress = service + std::to_string(number);
        announcement.service = service;
        announcement.availabilityZone = "mineo";
        announcement.incarnation = core::Incarnation {5};
        announcement.node = members::nodeIdOf(announcement.controlAddress);
        message.announcements.push_back(announcement);
    }
    static_cast<void>(swim.receive(board, message, at(-100000), random));
    members::EndpointDirectory().rebuild(board);
}
} // namespace figpulley::tests
