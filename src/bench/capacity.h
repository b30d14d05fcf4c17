#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace figpulley::bench
{
/// A straight line fitted to measured points.
struct LinearFit
{
    double slope = 0;
    double intercept = 0;
    double maxRelativeError = 0; ///< largest deviation of a point from the line, as a fraction of the value of the point
};

/// Fits a line by least squares.
[[nodiscard]] LinearFit fitLine(const std::vector<double> &sizes, const std::vector<double> &values);

/// Cost of the membership protocol of one zone to each of its nodes.
struct MembershipCost
{
    double idleDatagramsPerSecond = 0; ///< datagrams sent by one node while no member changes
    double idleBytesPerSecond = 0; ///< bytes sent by one node while no member changes
    double idleCpuFraction = 0; ///< fraction of one core for decisions, encoding and signatures of sent and received datagrams
    double bytesPerChange = 0; ///< bytes sent by one node for each change of a member
    double cpuSecondsPerChange = 0; ///< processor time of one node for each change of a member
    double bytesPerMember = 0; ///< heap memory of one node for each member that it knows
};

/// Measures the membership protocol of a zone of decision cores in virtual time.
/// @param members number of nodes in the zone
[[nodiscard]] MembershipCost measureMembership(int members);

/// Processor time that the decisions for one call take at the egress and at the ingress, in microseconds.
struct CallCost
{
    double egressUs = 0;
    double ingressUs = 0;
};

/// Measures the decisions for calls to a service.
/// @param endpoints number of endpoints that the service has
[[nodiscard]] CallCost measureCallDecisions(int endpoints);

/// Cost of a configuration change to a node.
struct ConfigCost
{
    double deltaBytes = 0; ///< size of the encoded change that the node receives
    double compileUs = 0; ///< processor time for loading the configuration, in microseconds
};

/// Measures the change of a policy file.
/// @param services number of services that the file configures
[[nodiscard]] ConfigCost measureConfigChange(int services);

/// Measures the processor time that one evaluation of an alerting rule takes, in microseconds.
/// @param series number of time series that the rule reads
[[nodiscard]] double measureRuleEvaluation(int series);

/// Measures all costs at several sizes and makes the table of docs/CAPACITY.md as Markdown.
[[nodiscard]] std::string makeCapacityTable();
} // namespace figpulley::bench
