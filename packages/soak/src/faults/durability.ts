/**
 * Faults against what a daemon has acknowledged: it is killed right after the acknowledgement, alone or with others, and
 * reports arrive late.
 */
import { type Random, sleep } from "@bulrushwood/types";
import type { Deployment, Node } from "../deployment.ts";
import { pickNumber } from "../random.ts";
import type { Fault } from "./fault.ts";
import { publish } from "./manifests.ts";
import { killDaemon } from "./signals.ts";

/** Longest delay of a late report, in milliseconds. */
const LATE_MS = 2_500;
/** Time for which a server serves on after its leave, in milliseconds; past the restart of its daemon. */
const SERVE_MS = 8_000;
/** Longest time for which the store is down, in milliseconds. */
const STORE_DOWN_MS = 3_000;
/** Longest time from an acknowledgement to the kill, in milliseconds. */
const KILL_WITHIN_MS = 4;
/** Longest wait for an acknowledgement that a kill is to follow, in milliseconds. */
const ACK_WITHIN_MS = 3_000;

/** Takes the store down for a time, with all machines. */
async function stopStore(deployment: Deployment, ms: number): Promise<void> {
  const end = deployment.history.disrupt("store is down");
  deployment.store.isDown = true;
  await sleep(ms);
  deployment.store.isDown = false;
  end();
}

/** A server leaves, its daemon is killed at the acknowledgement, and a report of before arrives late. */
async function killAtLeave(deployment: Deployment, random: Random): Promise<void> {
  const isFarewell = random() < 0.6;
  const lateMs = random() * LATE_MS;
  const killMs = random() * KILL_WITHIN_MS;
  const storeDownMs = random() < 0.25 ? random() * STORE_DOWN_MS : 0;
  const node = deployment.pickNode(random);
  if (node === undefined) {
    return;
  }
  const { server } = node;
  node.isServerAway = true;
  deployment.history.add(`server ${server.id} leaves`, node.daemon.name);
  const isLateReceived = server.reportLate(lateMs);
  const isStoreBack = storeDownMs > 0 ? stopStore(deployment, storeDownMs) : undefined;
  await (isFarewell ? server.sayFarewell() : server.drain());
  await sleep(killMs);
  await killDaemon(deployment, node);
  await sleep(SERVE_MS);
  await server.close();
  await Promise.all([isLateReceived, isStoreBack]);
  await deployment.restartServer(deployment.nodes.indexOf(node));
  node.isServerAway = false;
}

/** Waits until `subscribe` calls back, then kills the daemon. */
async function killAt(
  deployment: Deployment,
  node: Node | undefined,
  subscribe: (node: Node, callback: () => void) => void,
): Promise<void> {
  if (node !== undefined) {
    const called = new Promise<boolean>((resolve) => subscribe(node, () => resolve(true)));
    const isCalled = await Promise.race([called, sleep(ACK_WITHIN_MS).then(() => false)]);
    if (isCalled) {
      await killDaemon(deployment, node);
    }
  }
}

/** A daemon is killed right after its server's first report, or a later one, was acknowledged. */
async function killAtReport(deployment: Deployment, random: Random): Promise<void> {
  const mustRestartServer = random() < 0.5;
  const node = deployment.pickNode(random);
  if (node !== undefined && mustRestartServer) {
    node.isServerAway = true;
    deployment.history.add(`server ${node.server.id} crashes`, node.daemon.name);
    await node.server.close();
    await deployment.restartServer(deployment.nodes.indexOf(node));
    node.isServerAway = false;
  }
  await killAt(deployment, node, ({ server }, callback) => server.onNextAck(callback));
}

/** A daemon is killed right after its server answered a grant or a release. */
function killAtOrder(deployment: Deployment, random: Random): Promise<void> {
  const node = deployment.pickNode(random);
  return killAt(deployment, node, ({ server }, callback) => server.onNextOrder(callback));
}

async function killSeveral(deployment: Deployment, random: Random): Promise<void> {
  const count = pickNumber(2, deployment.nodes.length, random);
  const first = pickNumber(0, deployment.nodes.length - 1, random);
  const chosen = Array.from(
    { length: count },
    (_, index) => deployment.nodes[(first + index) % deployment.nodes.length],
  );
  const running = chosen.filter(({ daemon }) => daemon.isUp);
  await Promise.all(running.map((node) => killDaemon(deployment, node)));
}

/** Several daemons are killed right after the store accepted a manifest. */
async function killAtManifest(deployment: Deployment, random: Random): Promise<void> {
  const killMs = random() * KILL_WITHIN_MS;
  await publish(deployment);
  await sleep(killMs);
  await killSeveral(deployment, random);
}

/** Faults against what a daemon has acknowledged. */
export const DURABILITY: Fault[] = [
  { name: "kill-at-leave", weight: 4, play: killAtLeave },
  { name: "kill-at-report", weight: 2, play: killAtReport },
  { name: "kill-at-order", weight: 2, play: killAtOrder },
  { name: "kill-several", weight: 0.5, play: killSeveral },
  { name: "kill-at-manifest", weight: 0.5, play: killAtManifest },
];
