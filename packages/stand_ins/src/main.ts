/**
 * Runs stand-ins as a process of their own: `log`, `backend`, or several `backends`, with their options as
 * JSON. A backend
 * server writes a line for each piece of work that begins or ends, so that the record outlives it.
 */
import process from "node:process";
import { BackendServer, type BackendServerOptions, type Work } from "./backend_server.ts";
import { LogService, type LogServiceOptions } from "./log_service.ts";

function writeWork(work: Work): void {
  process.stdout.write(`${JSON.stringify(work)}\n`);
}

/** What every stand-in can do. */
interface Service {
  close: () => Promise<void>;
}

/** A backend server whose process may write down its work. */
interface BackendSettings extends BackendServerOptions {
  writesWorks?: boolean;
}

function startBackend(settings: BackendSettings): Promise<BackendServer> {
  const { writesWorks = true, ...options } = settings;
  return BackendServer.start({ ...options, onWork: writesWorks ? writeWork : undefined });
}

async function startServices(kind: string, settings: unknown): Promise<Service[]> {
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
      throw new Error(`There is no stand-in "${kind}"; use log, backend or backends`);
  }
}

async function main(): Promise<void> {
  const [kind, options] = process.argv.slice(2);
  const services = await startServices(kind, JSON.parse(options ?? "{}"));
  process.stdout.write("ready\n");
  process.on("SIGTERM", () => {
    Promise.all(services.map((service) => service.close())).then(() => process.exit(0));
  });
}

main().catch((error) => {
  process.stderr.write(`${error}\n`);
  process.exit(1);
});
