#pragma once

#include <string_view>

/// Headers, paths and fields of the platform's wire formats. Only the platform adapter uses them.
namespace figpulley::platform::names
{
// Headers of requests and responses.
inline constexpr std::string_view requestId = "X-Request-Id"; ///< identifier of one attempt of a client, not of the whole request
inline constexpr char callSeparator = '.'; ///< separates the id of a request from the suffix that a nested call adds to it
inline constexpr std::string_view deadline = "X-Deadline-Ms"; ///< milliseconds until the deadline, not an instant
inline constexpr std::string_view stamp = "X-Server-Stamp"; ///< signature by which an endpoint marks its own responses
inline constexpr std::string_view expectInstance = "X-Expect-Instance";
inline constexpr std::string_view notRun = "X-Not-Run";
inline constexpr std::string_view rateLimit = "Server-Limit"; ///< requests per second that an endpoint accepts, as a decimal number
inline constexpr std::string_view leaving = "Server-Leaving"; ///< marks the responses of an endpoint that is leaving
inline constexpr std::string_view leavingValue = "1";
inline constexpr std::string_view instanceId = "X-Instance-Id"; ///< id of the endpoint that answers a health check
inline constexpr std::string_view caller = "X-Caller-Service"; ///< service of the VM where the request entered the system

// Paths of the calls that endpoints and the platform make to a node.
inline constexpr std::string_view readinessPath = "/v1/readiness";
inline constexpr std::string_view heartbeatPath = "/v1/Instances.Heartbeat/";
inline constexpr std::string_view deregistrationPath = "/v1/Instances.Deregister/";

// Fields of a heartbeat.
inline constexpr const char *service = "Service";
inline constexpr const char *address = "Address";
inline constexpr const char *zone = "Zone";
inline constexpr const char *version = "Version"; ///< version of the endpoint's software in a heartbeat, of the configuration elsewhere
inline constexpr const char *slots = "Slots";
inline constexpr const char *state = "State";
inline constexpr const char *coldRemaining = "ColdRemainingS";
inline constexpr const char *sequence = "Seq";
inline constexpr const char *incarnation = "born"; ///< Unix milliseconds of the endpoint's start
inline constexpr std::string_view stateReady = "ready";
inline constexpr std::string_view stateDraining = "draining";

// Object store.
inline constexpr std::string_view storeEra = "Store-Era"; ///< number that rises each time the store is restored from a backup
inline constexpr std::string_view objectsPath = "/v1/objects/";
inline constexpr const char *items = "items";
inline constexpr const char *events = "events";
inline constexpr const char *hasMore = "HasMore";
inline constexpr const char *currentRevision = "CurrentRev"; ///< revision of the store, not of an object
inline constexpr const char *object = "Object";
inline constexpr const char *deleted = "Deleted";
inline constexpr const char *metadata = "Metadata";
inline constexpr const char *name = "Name";
inline constexpr const char *revision = "Revision"; ///< revision of an object's last change
inline constexpr const char *spec = "Spec";
inline constexpr const char *status = "Status";
inline constexpr const char *finalizers = "Finalizers";
inline constexpr std::string_view watchParameter = "Watch";
inline constexpr std::string_view waitParameter = "WaitMs";
inline constexpr std::string_view afterParameter = "after";

// Configuration written by the operators.
inline constexpr const char *configKind = "config";
inline constexpr const char *configName = "main";
inline constexpr const char *virtualHosts = "VirtualHosts";
inline constexpr const char *host = "Host";
inline constexpr const char *paths = "Paths";
inline constexpr const char *pathPrefix = "PathPrefix";
inline constexpr const char *kind = "Kind";
inline constexpr const char *timeout = "TimeoutS";
inline constexpr const char *targetLatency = "TargetLatencyS";
inline constexpr const char *priority = "Priority";
inline constexpr const char *maxAttempts = "MaxAttempts"; ///< number of endpoints that one attempt of a client may be sent to
inline constexpr const char *split = "TrafficSplit";
inline constexpr const char *weight = "Weight";
inline constexpr const char *services = "Services";
inline constexpr const char *healthPath = "HealthPath";
inline constexpr const char *maxConnections = "MaxConnections";
inline constexpr const char *limits = "Limits";
inline constexpr const char *headerBytes = "MaxHeaderBytes";
inline constexpr const char *bodyBytes = "MaxBodyBytes";
inline constexpr const char *headerTimeout = "HeaderTimeoutS";
inline constexpr const char *idleTimeout = "IdleTimeoutS";
} // namespace figpulley::platform::names
