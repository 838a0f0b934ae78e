/**
 * Faults of the network: a daemon's connections to the store or to its backend server are delayed, reset, cut in one
 * direction, or go silent without a reset. None of them is a reason to leave a caller without a response, so they excuse
 * no lost request; a daemon whose path to the store is harmed may learn of a manifest late.
 */
import { type Random, sleep } from "@bulrushwood/types";
import { Direction, type TcpProxy } from "@bulrushwood/stand_ins";
import type { Deployment } from "../deployment.ts";
import type { Paths } from "../machine.ts";
import { pick } from "../random.ts";
import type { Fault } from "./fault.ts";

/** Longest delay of what passes, in milliseconds. */
const DELAY_MS = 400;
/** Longest time of a fault, in milliseconds. */
const FAULT_MS = 4_000;
/** Longest time between two resets, in milliseconds. */
const RESET_GAP_MS = 300;
const RESETS = 4;

const PATHS: (keyof Paths)[] = ["store", "server"];

/** Harms one path of a daemon: `harm` gets its proxy, and resolves when the harm is over. */
async function harmOne(
  deployment: Deployment,
  random: Random,
  options: { what: string; harm: (proxy: TcpProxy) => Promise<void> | void },
): Promise<void> {
  const path = pick(PATHS, random);
  const node = pick(deployment.nodes, random);
  const proxy = node.machine.paths?.[path];
  if (proxy === undefined) {
    return;
  }
  const { history } = deployment;
  const what = `${options.what}: path to the ${path}`;
  const end = path === "store"
    ? history.disrupt(what, node.machine.name, { isOfStore: true })
    : history.begin(what, node.machine.name);
  await options.harm(proxy);
  end();
}

async function delay(deployment: Deployment, random: Random): Promise<void> {
  const [ms, forMs] = [random() * DELAY_MS, random() * FAULT_MS];
  await harmOne(deployment, random, {
    what: `delay of ${Math.round(ms)} ms`,
    harm: async (proxy) => {
      proxy.delay(ms);
      await sleep(forMs);
      proxy.delay(0);
    },
  });
}

async function reset(deployment: Deployment, random: Random): Promise<void> {
  const gaps = Array.from({ length: RESETS }, () => random() * RESET_GAP_MS);
  await harmOne(deployment, random, {
    what: "resets",
    harm: async (proxy) => {
      for (const gapMs of gaps) {
        proxy.reset();
        await sleep(gapMs);
      }
    },
  });
}

async function cutOneWay(deployment: Deployment, random: Random): Promise<void> {
  const direction = pick(Object.values(Direction), random);
  const forMs = random() * FAULT_MS;
  await harmOne(deployment, random, {
    what: `cut ${direction}`,
    harm: async (proxy) => {
      const heal = proxy.cut(direction);
      await sleep(forMs);
      heal();
    },
  });
}

async function silence(deployment: Deployment, random: Random): Promise<void> {
  await harmOne(deployment, random, { what: "silence", harm: (proxy) => proxy.silence() });
}

/** Faults of the network. */
export const NETWORK: Fault[] = [
  { name: "delay", weight: 1, needsProxies: true, play: delay },
  { name: "reset", weight: 1, needsProxies: true, play: reset },
  { name: "cut-one-way", weight: 1, needsProxies: true, play: cutOneWay },
  { name: "silence", weight: 2, needsProxies: true, play: silence },
];
