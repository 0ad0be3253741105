//! What a process is told and what the operator asks for: settings, configurations, their checks
