/**
 * Declares the commands, their options and their help.
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
      "Run the daemon beside a backend server. Without a settings file it runs on the deployment that " +
        "the environment names. Stop it with SIGTERM; it leaves gracefully.",
    )
    .example("serve /etc/bulrushwood/daemon.jsonc")
    .action(runServe);
  program
    .command("check <file>")
    .describe(
      "Check a settings or configuration file offline. Exits 1 and lists every fault found.",
    )
    .option(
      "--kind",
      "What the file is: settings, configuration or auto",
      "auto",
    )
    .example("check configuration.jsonc")
    .action(runCheck);
  program
    .command("publish <file>")
    .describe(
      "Publish a configuration. Exits 2 when another change came first.",
    )
    .option(
      "--expects",
      "Version that the file builds on; the one in force when left out",
    )
    .option("--by", "Who publishes")
    .example("publish configuration.jsonc --expects 3")
    .action(runPublish);
  program
    .command("status")
    .describe("Show all daemons, pools, classes and the three measures.")
    .action(runStatus);
  program
    .command("watch [version]")
    .describe(
      "Wait until a version is in force in every daemon, and show the measures.",
    )
    .option("--timeout", "Seconds to wait at most", "10")
    .example("watch 4 --timeout 5")
    .action(runWatch);
  program
    .command("explain <pool> <key>")
    .describe("Tell which server owns a key, who follows it, and why.")
    .example("explain despacho planta-7")
    .action(runExplain);
  program
    .command("explain-request <id>")
    .describe(
      "Tell what became of a request, from log files of several instances, or from standard input where no " +
        "file is named. Asks no daemon. Exits 1 when no line names the request.",
    )
    .example("explain-request 4ab7febb logs/*")
    .example("explain-request 4ab7febb --json < all.log")
    .action(runExplainRequest);
  program
    .command("drain <instance>")
    .describe("Let an instance finish its work, give up its keys and end.")
    .action(runDrain);
  program
    .command("declare-lost <instance>")
    .describe(
      "Vouch that an instance's process does not run any more, so that its keys may pass on.",
    )
    .option("--by", "Who vouches")
    .action(runDeclareLost);
  return program;
}
