//! Footers of the `--help` output. A line that begins with a space starts a new line in the output.

/// `hemlockhook --help`.
pub const COMMAND: &str = "\
Entries are set by --entry, or by HEMLOCKHOOK_ENTRIES as a comma-separated list of admin addresses; \
the log is set by --log or HEMLOCKHOOK_LOG.
 
 Exit codes:
   0  completed with a positive result
   1  completed with a negative result: problems, a refusal, an incomplete job, mixed versions
   2  the arguments, or a file that they name, are invalid
   3  the log or the entries can't be reached, and nothing was changed
   4  the outcome is unknown: a change may or may not have been made
 
 Shell completions:
   source <(hemlockhook --bpaf-complete-style-bash)
   hemlockhook --bpaf-complete-style-zsh > ~/.zsh/_hemlockhook
   hemlockhook --bpaf-complete-style-fish > ~/.config/fish/completions/hemlockhook.fish";

/// `hemlockhook status --help`.
pub const STATUS: &str = "\
The reports of several entries are merged.
 Example: two entries
   hemlockhook status --entry 127.0.0.1:7003 --entry 127.0.0.1:7013";

/// `hemlockhook drain --help` and `hemlockhook undrain --help`.
pub const DRAIN: &str = "\
One entry that reaches the upstream is enough; its running tasks are finished.
 Example: take an upstream out of service, and back in
   hemlockhook drain orders-os-1 --entry 127.0.0.1:7003
   hemlockhook undrain orders-os-1 --entry 127.0.0.1:7003";

/// `hemlockhook submit --help`.
pub const SUBMIT: &str = "\
The results of all tasks are returned together, or none at all. A key given by --key counts as sent \
before: without --stamps or --new-key, its outcome may be unknown after an entry was lost.
 Example: a job of one task
   hemlockhook submit --to 127.0.0.1:7001 --team sales-desk --service quote '{\"run_ms\":50}'";

/// `hemlockhook events --help`.
pub const EVENTS: &str = "\
Each entry numbers its events from 1 and keeps the latest.
 Example: events after number 40
   hemlockhook events --entry 127.0.0.1:7003 --since 40";

/// `hemlockhook inventory check --help`.
pub const CHECK: &str = "\
Every problem is listed with its line and column, and with a suggestion where there is one.
 Example: check a document
   hemlockhook inventory check inventories/tunelpokrov.yaml";

/// `hemlockhook inventory import --help`.
pub const IMPORT: &str = "\
Each line of the export describes an upstream instance. The first line names the columns: name, worker, \
rack, data_center, region, processors, memory_gb, accelerators (optional), services (separated by \
spaces), slots, connections. Services, teams and rules get placeholder values to be edited.
 
 Example: create a document
   hemlockhook inventory import assets.csv --deployment tunelpokrov > rules.yaml";

/// `hemlockhook inventory schema --help`.
pub const SCHEMA: &str = "\
Editors use it for completion and validation of the document.
 Example: write it to a file
   hemlockhook inventory schema > inventory.schema.json";

/// `hemlockhook config publish --help`.
pub const PUBLISH: &str = "\
The base version, from which the document was edited, is read from its first line, which `config show` \
writes, or given by --base; 0 stands for none yet. If another version is in force by then, the document is \
refused and the difference is shown. Use --restore in place of a base only if the log dropped the version \
in force while no process ran, so that it is lost.
 
 Examples: publish the first document; change it
   hemlockhook config publish inventories/tunelpokrov.yaml --base 0 --log 127.0.0.1:7100
   hemlockhook config show --log 127.0.0.1:7100 > rules.yaml
   hemlockhook config publish rules.yaml --log 127.0.0.1:7100";

/// `hemlockhook config show --help`.
pub const SHOW: &str = "\
The first line holds the version, which `config publish` reads as the base.
 Example: save it to edit it
   hemlockhook config show --log 127.0.0.1:7100 > rules.yaml";

/// `hemlockhook config history --help`.
pub const HISTORY: &str = "\
Refused changes and repeats are listed as well.
 Example: list the changes
   hemlockhook config history --log 127.0.0.1:7100";

/// `hemlockhook config diff --help`.
pub const DIFF: &str = "\
The exit code is 0 if nothing differs.
 Example: compare before publishing
   hemlockhook config diff rules.yaml --log 127.0.0.1:7100";

/// `hemlockhook config status --help`.
pub const CONFIG_STATUS: &str = "\
The exit code is 0 if one version is in force everywhere.
 Example: two entries and their agents
   hemlockhook config status --entry 127.0.0.1:7003 --entry 127.0.0.1:7013 --log 127.0.0.1:7100 --wait 7s";

/// `hemlockhook job show --help`.
pub const JOB: &str = "\
The key is prefixed by its team.
 Example: one job
   hemlockhook job show sales-desk/order-4711 --entry 127.0.0.1:7003";

/// `hemlockhook report burn --help`.
pub const BURN: &str = "\
Counts of several entries are merged, and gaps in them are listed.
 Example: a table and a page
   hemlockhook report burn --entry 127.0.0.1:7003 --log 127.0.0.1:7100 --html burn.html";
