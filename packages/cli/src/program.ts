/**
 * Declares the commands, their options and their help texts.
 */
import sade, { type Sade } from "sade";
import { runCheck } from "./check.ts";
import { runDeclareLost, runDrain } from "./instances.ts";
import { runExplain } from "./explain.ts";
import { runExplainRequest } from "./explain_request.ts";
import { runPublish } from "./publish.ts";
import { runServe } from "./serve.ts";
import { runStatus } from "./status.ts";
import { runWatch } from "./watch.ts";

/** Version of the program. */
export const VERSION = "0.1.0";
const DEFAULT_ADMIN = "127.0.0.1:9000";

/** Declares all commands. */
export function createProgram(): Sade {
  const program = sade("bulrushwood").version(VERSION);
  program
    .option("--json", "Write machine-readable output")
    .option(
      "--admin",
      "Address of a daemon's administration API",
      DEFAULT_ADMIN,
    );
  program
    .command("serve [settings]")
    .describe(
      "Run the daemon beside a backend server. Without a settings file it uses the deployment that " +
        "the environment names. SIGTERM stops it gracefully.",
    )
    .example("serve /etc/bulrushwood/daemon.jsonc")
    .action(runServe);
  program
    .command("check <file>")
    .describe(
      "Validate a settings or configuration file offline. Lists every fault and exits with 1.",
    )
    .option(
      "--kind",
      "Kind of the file: settings, configuration or auto",
      "auto",
    )
    .example("check configuration.jsonc")
    .action(runCheck);
  program
    .command("publish <file>")
    .describe(
      "Publish a configuration. Exits with 2 when another change was accepted first.",
    )
    .option(
      "--expects",
      "Version that the file replaces; defaults to the version in force",
    )
    .option("--by", "Name of the operator; defaults to the user name")
    .example("publish configuration.jsonc --expects 3")
    .action(runPublish);
  program
    .command("status")
    .describe("Show all daemons, pools and classes, with imbalance, churn and unavailability.")
    .action(runStatus);
  program
    .command("watch [version]")
    .describe(
      "Wait until a version is in force in every daemon, then show the status.",
    )
    .option("--timeout", "Longest time to wait, in seconds", "10")
    .example("watch 4 --timeout 5")
    .action(runWatch);
  program
    .command("explain <pool> <key>")
    .describe("Show which backend server owns a key, its successor and witness, and why.")
    .example("explain despacho planta-7")
    .action(runExplain);
  program
    .command("explain-request <id>")
    .describe(
      "Show the timeline of a request from the log files of several instances, or from standard input when " +
        "no file is named. Calls no daemon. Exits with 1 when no line names the request.",
    )
    .example("explain-request 4ab7febb logs/*")
    .example("explain-request 4ab7febb --json < all.log")
    .action(runExplainRequest);
  program
    .command("drain <instance>")
    .describe("Drain an instance: it finishes its work, releases its keys and exits.")
    .action(runDrain);
  program
    .command("declare-lost <instance>")
    .describe(
      "Confirm that an instance's process no longer runs, so that its keys may move to other instances.",
    )
    .option("--by", "Name of the operator; defaults to the user name")
    .action(runDeclareLost);
  return program;
}
