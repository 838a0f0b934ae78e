/**
 * Program that runs one `log`, one `backend` or several `backends` in its own process, with their options as JSON.
 * A backend server writes a line to standard output whenever a request starts or ends, so that its parent still has the
 * record after the process is killed.
 */
import process from "node:process";
import { BackendServer, type BackendServerOptions, type Work } from "./backend_server.ts";
import { LogService, type LogServiceOptions } from "./log_service.ts";

function writeWork(work: Work): void {
  process.stdout.write(`${JSON.stringify(work)}\n`);
}

/** Running stand-in of any kind. */
interface StandIn {
  close: () => Promise<void>;
}

/** Options of a backend server in this process. */
interface BackendSettings extends BackendServerOptions {
  /** Whether the process writes a line for each start and end of a request; it does unless this is false. */
  writesWorks?: boolean;
}

function startBackend(settings: BackendSettings): Promise<BackendServer> {
  const { writesWorks = true, ...options } = settings;
  return BackendServer.start({ ...options, onWork: writesWorks ? writeWork : undefined });
}

async function startStandIns(kind: string, settings: unknown): Promise<StandIn[]> {
  switch (kind) {
    case "log":
      return [await LogService.start(settings as LogServiceOptions)];
    case "backend":
      return [await startBackend(settings as BackendSettings)];
    case "backends": {
      const servers = settings as BackendSettings[];
      return await Promise.all(servers.map(startBackend));
    }
    default:
      throw new Error(`Unknown stand-in "${kind}"; use log, backend or backends`);
  }
}

async function main(): Promise<void> {
  const [kind, options] = process.argv.slice(2);
  const standIns = await startStandIns(kind, JSON.parse(options ?? "{}"));
  process.stdout.write("ready\n");
  process.on("SIGTERM", () => {
    Promise.all(standIns.map((standIn) => standIn.close())).then(() => process.exit(0));
  });
}

main().catch((error) => {
  process.stderr.write(`${error}\n`);
  process.exit(1);
});
