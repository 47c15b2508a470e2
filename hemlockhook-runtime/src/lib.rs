//! Executors, clock, HTTP, gRPC glue, signals, logs, metrics and settings.
