#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace figpulley::bench
{
/// A straight line through measured points.
struct Slope
{
    double perUnit = 0;
    double offset = 0;
    double largestError = 0; ///< of a point, as a share of its value
};

/// Fits a line by least squares.
[[nodiscard]] Slope fitLine(const std::vector<double> &sizes, const std::vector<double> &values);

/// What the membership of one zone costs a node.
struct MembershipCost
{
    double idleDatagrams = 0; ///< sent by one node per second while nothing changes
    double idleBytes = 0; ///< sent by one node per second while nothing changes
    double idleCpuShare = 0; ///< of one core: decisions, codec and signatures, sent and received
    double bytesPerChange = 0; ///< sent by one node for each change of a member
    double cpuPerChange = 0; ///< seconds of one node for each change of a member
    double bytesPerMember = 0; ///< heap of one node for each member that it knows
};

/// Measures a zone of decision cores in virtual time.
/// @param members nodes in the zone
[[nodiscard]] MembershipCost measureMembership(int members);

/// What one call costs an egress and an ingress in decisions alone, in microseconds of processor time.
struct CallCost
{
    double egressUs = 0;
    double ingressUs = 0;
};

/// Measures decisions with a number of endpoints known.
[[nodiscard]] CallCost measureCalls(int endpoints);

/// What a change of configuration costs a node.
struct ConfigCost
{
    double deltaBytes = 0;
    double compileUs = 0;
};

/// Measures a change of one file among a number of services.
[[nodiscard]] ConfigCost measureConfig(int services);

/// What one evaluation of a rule costs, in microseconds.
/// @param series that the rule reads
[[nodiscard]] double measureRule(int series);

/// Measures all slopes and writes the table of docs/CAPACITY.md as Markdown.
[[nodiscard]] std::string capacityTable();
} // namespace figpulley::bench
