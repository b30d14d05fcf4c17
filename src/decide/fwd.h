#pragma once

/// Forward declarations of the controllers.
namespace figpulley::decide
{
class AdmissionController;
class AttemptTable;
class CallController;
class ConfigController;
class DrainController;
class EarlyShedder;
class EndpointChooser;
class IngressController;
class Ledger;
class LimitAlgorithm;
class RetryController;
} // namespace figpulley::decide
