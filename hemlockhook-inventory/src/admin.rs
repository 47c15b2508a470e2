//! Reports that entries give to operators over their admin port, as JSON.
