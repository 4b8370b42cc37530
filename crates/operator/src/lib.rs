//! Documents and settings that operators edit: reading, checking, findings.
