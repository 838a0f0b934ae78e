/**
 * Faults by backend servers that leave, crash and return.
 */
import { type Random, sleep } from "@bulrushwood/types";
import type { Deployment, Node } from "../deployment.ts";
import { BOUNDS } from "../machine.ts";
import type { Fault } from "./fault.ts";

/** Longest time for which a leaving server serves on past its drain time, in milliseconds. */
const SERVE_MORE_MS = 1_500;
/** Longest time until a server returns, in milliseconds. */
const RETURN_MS = 3_000;

/** Takes a server away by `end`, and brings a new one back on its machine. */
async function takeAway(
  deployment: Deployment,
  random: Random,
  end: (node: Node) => Promise<void>,
): Promise<void> {
  const returnMs = random() * RETURN_MS;
  const node = deployment.pickNode(random);
  if (node === undefined) {
    return;
  }
  node.isServerAway = true;
  await end(node);
  await sleep(returnMs);
  await deployment.restartServer(deployment.nodes.indexOf(node));
  node.isServerAway = false;
}

async function leave(deployment: Deployment, random: Random): Promise<void> {
  const serveMs = BOUNDS.drainMs + random() * SERVE_MORE_MS;
  const mustStopDaemon = random() < 0.5;
  await takeAway(deployment, random, async ({ server, daemon }) => {
    deployment.history.add(`server ${server.id} leaves`, daemon.name);
    await server.leave(serveMs);
    deployment.history.add(`server ${server.id} has left`, daemon.name);
    if (mustStopDaemon) {
      daemon.stop();
    }
  });
}

async function crash(deployment: Deployment, random: Random): Promise<void> {
  await takeAway(deployment, random, async ({ server, daemon }) => {
    deployment.history.add(`server ${server.id} crashes`, daemon.name);
    await server.close();
  });
}

/** Faults by backend servers. */
export const SERVERS: Fault[] = [
  { name: "server-leaves", weight: 2, play: leave },
  { name: "server-crashes", weight: 1, play: crash },
];
