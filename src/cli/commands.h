#pragma once

#include <string>
#include <vector>

namespace figpulley::cli
{
int runNode(const std::vector<std::string> &arguments);
int runMesh(const std::vector<std::string> &arguments);
int runCheck(const std::vector<std::string> &arguments);
int runApply(const std::vector<std::string> &arguments);
int runStatus(const std::vector<std::string> &arguments);
int runHistory(const std::vector<std::string> &arguments);
int runExplain(const std::vector<std::string> &arguments);
int runTestAlerts(const std::vector<std::string> &arguments);
int runCapacity(const std::vector<std::string> &arguments);
int runBench(const std::vector<std::string> &arguments);
int runDemo(const std::vector<std::string> &arguments);
int runStandin(const std::vector<std::string> &arguments);
int runReference(const std::vector<std::string> &arguments);
int runHelp(const std::vector<std::string> &arguments);
} // namespace figpulley::cli
