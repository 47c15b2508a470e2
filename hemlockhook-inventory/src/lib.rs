//! The inventory, the rules and the publishing rule.
