//! Flags of the command-line tool; their doc comments are the help texts.

#![expect(
    missing_docs,
    reason = "the macro's items carry the help texts instead"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Operates a deployment of papayatray.
    ///
    /// Exit codes: 0 success; 1 refused or failed; 2 invalid usage or input; 3 another change was
    /// accepted first; 4 change made, but not in force everywhere before the time-out.
    cmd papayatray {
        /// Address of any entry, or for `show`, `evacuate` and `readmit` the operator address of any control
        /// replica of the gateway; by default from PAPAYATRAY_ADDRESS.
        optional --address address: SocketAddr
        /// File with the operator's key; by default the key itself is read from PAPAYATRAY_KEY.
        optional --key-file key_file: PathBuf
        /// Output format: text or json.
        optional --format format: String
        /// Reason for the change, recorded in the history.
        optional --why why: String
        /// Returns without waiting for the change to be in force everywhere.
        optional --no-wait

        /// Explains a request from log files, or from standard input: `papayatray explain ID *.log`.
        cmd explain {
            required id: String
            repeated files: PathBuf
        }

        /// Generates a key and prints it with its digest for the settings.
        cmd new-key {}

        /// Organisations: create, add-key, drop-key, allow, class, quality, limit, delete.
        cmd org {
            /// Creates an organisation: `papayatray org create mill --class paying`.
            cmd create {
                required name: String
                /// Class: paying (default) or trial.
                optional --class class: String
            }
            /// Adds a new key to an organisation and prints it once.
            cmd add-key {
                required name: String
                required label: String
            }
            /// Removes the key with a label from an organisation.
            cmd drop-key {
                required name: String
                required label: String
            }
            /// Sets the models, or versions as MODEL@VERSION, that an organisation may use.
            cmd allow {
                required name: String
                repeated grants: String
            }
            /// Sets the class of an organisation: paying or trial.
            cmd class {
                required name: String
                required class: String
            }
            /// Sets the minimum quality, in thousandths, as an exception with a reason.
            cmd quality {
                required name: String
                required quality: u32
                required --reason reason: String
            }
            /// Sets the maximum number of requests in flight, as an exception with a reason.
            cmd limit {
                required name: String
                required limit: u32
                required --reason reason: String
            }
            /// Removes an organisation and its keys.
            cmd delete {
                required name: String
            }
        }
        /// Lists organisations.
        cmd orgs {}

        /// Versions: declare, offer, roll-out, step, pause, unpause, halt, resume, withdraw.
        cmd version {
            /// Declares a version: `papayatray version declare drafter@2 --price-in 100`.
            cmd declare {
                required version: String
                /// Price of 1,000 prompt tokens in millionths of the currency; 0 by default.
                optional --price-in price_in: u32
                /// Price of 1,000 generated tokens in millionths of the currency; 0 by default.
                optional --price-out price_out: u32
                /// Prior quality, assumed before any rating, in thousandths; 700 by default.
                optional --prior prior: u32
            }
            /// Offers a version without a limit on its exposure.
            cmd offer {
                required version: String
            }
            /// Starts a roll-out; each step gives the total number of exposures allowed up to it.
            cmd roll-out {
                required version: String
                repeated steps: u32
            }
            /// Advances a roll-out to its next step.
            cmd step {
                required version: String
            }
            /// Pauses a roll-out: no new exposures.
            cmd pause {
                required version: String
            }
            /// Ends the pause of a roll-out.
            cmd unpause {
                required version: String
            }
            /// Halts a version: serves its existing sessions, but no new ones.
            cmd halt {
                required version: String
                required --reason reason: String
            }
            /// Resumes a halted version at the stage where it was halted.
            cmd resume {
                required version: String
            }
            /// Withdraws a version permanently: rejects its existing sessions as well.
            cmd withdraw {
                required version: String
            }
        }
        /// Lists versions.
        cmd versions {}

        /// Declares a service without models.
        cmd service {
            required name: String
            /// Method that may be retried, in addition to GET and HEAD; can be given several times.
            repeated --repeatable repeatable: String
            /// Price of one call in millionths of the currency; 0 by default.
            optional --price price: u32
        }
        /// Removes a service.
        cmd forget-service {
            required name: String
        }

        /// Sets the default of a class, paying or trial; values without a flag stay as they are.
        cmd default {
            required class: String
            /// Minimum quality, in thousandths.
            optional --quality quality: u32
            /// Maximum number of requests in flight for one organisation.
            optional --in-flight in_flight: u32
            /// Model, or version as MODEL@VERSION, that may be used; can be given several times.
            repeated --grant grant: String
        }

        /// Lists exceptions with their reasons.
        cmd exceptions {}
        /// Adds an exception; `org quality` and `org limit` add exceptions of other kinds.
        cmd exception {
            required organisation: String
            /// Version, as MODEL@VERSION, that the organisation must not use.
            optional --deny deny: String
            /// Excludes the organisation from roll-outs.
            optional --no-roll-out
            /// Reason for the exception.
            required --reason reason: String
        }
        /// Removes an exception by its number, which `papayatray exceptions` lists.
        cmd lift {
            required number: u64
        }

        /// Shows the changes that a plan file would make.
        cmd diff {
            required file: PathBuf
        }
        /// Applies a plan file: `papayatray apply site.toml`.
        cmd apply {
            required file: PathBuf
        }
        /// Shows VMs, roles, the leader and the revision in force.
        cmd status {}
        /// Lists endpoints.
        cmd endpoints {}
        /// Lists the totals billed to organisations by day and subject (version or service).
        cmd bills {
            /// Organisation whose bills are listed; all by default.
            optional --org org: String
            /// Lists single bills in addition to the totals.
            optional --lines
            /// Prints comma-separated values.
            optional --csv
        }
        /// Lists accepted configuration changes.
        cmd history {
            /// Revision after which changes are listed.
            optional --after after: u64
        }
        /// Shows the spans of the trace with a hexadecimal id.
        cmd trace {
            required trace: String
        }
        /// Shows the gateway's evacuated data centres, its format level and that of each process.
        cmd show {}
        /// Orders that endpoints of a data centre get no new requests from the gateway.
        cmd evacuate {
            required data_centre: String
        }
        /// Revokes the order of `evacuate`.
        cmd readmit {
            required data_centre: String
        }
        /// Drains the process of a VM and stops it.
        cmd drain {
            required vm: String
        }
        /// Replaces the lost replica of one VM by the blank replica of another or the same VM.
        cmd replace {
            /// VM whose replica is lost.
            required lost: String
            /// VM of the blank replica.
            required newcomer: String
        }
    }
}
