/**
 * Runs one stand-in as a process of its own: `log` or `backend`, with its options as JSON. A backend
 * server writes a line for each piece of work that begins or ends, so that the record outlives it.
 */
import process from "node:process";
import { BackendServer, type Work } from "./backend_server.ts";
import { LogService } from "./log_service.ts";

function writeWork(work: Work): void {
  process.stdout.write(`${JSON.stringify(work)}\n`);
}

async function main(): Promise<void> {
  const [kind, options] = process.argv.slice(2);
  const settings = JSON.parse(options ?? "{}");
  const onWork = settings.writesWorks === false ? undefined : writeWork;
  const server = kind === "log"
    ? await LogService.start(settings)
    : await BackendServer.start({ ...settings, onWork });
  process.stdout.write("ready\n");
  process.on("SIGTERM", () => {
    server.close().then(() => process.exit(0));
  });
}

main().catch((error) => {
  process.stderr.write(`${error}\n`);
  process.exit(1);
});
