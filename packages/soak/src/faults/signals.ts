/**
 * Faults by signals to daemons: to stop, to reload and to kill, in series and at any stage of a process.
 */
import { type Random, sleep } from "@bulrushwood/types";
import type { Deployment, Node } from "../deployment.ts";
import { BOUNDS } from "../machine.ts";
import { pick, pickNumber } from "../random.ts";
import type { Fault } from "./fault.ts";

const STOP_SIGNALS: NodeJS.Signals[] = ["SIGTERM", "SIGINT"];
const REPEATED_SIGNALS: NodeJS.Signals[] = ["SIGTERM", "SIGINT", "SIGHUP"];
/** Longest time from the signal to stop to a further one, in milliseconds. */
const REPEAT_WITHIN_MS = 2_700;
const RELOAD_GAP_MS = 40;
/** Longest time from the first signal to a starting process to the next, in milliseconds. */
const START_MS = 300;
/** Longest time for which a process is suspended, in milliseconds. */
const SUSPEND_MS = 6_000;

function stopOne(deployment: Deployment, random: Random): void {
  const signal = pick(STOP_SIGNALS, random);
  deployment.pickNode(random)?.daemon.stop(signal);
}

async function stopRepeatedly(deployment: Deployment, random: Random): Promise<void> {
  const count = pickNumber(1, 4, random);
  const daemon = deployment.pickNode(random)?.daemon;
  const pid = daemon?.pid;
  daemon?.stop(pick(STOP_SIGNALS, random));
  for (let repeat = 0; repeat < count; repeat++) {
    await sleep(random() * REPEAT_WITHIN_MS / count);
    const signal = pick(REPEATED_SIGNALS, random);
    if (daemon?.pid === pid) {
      daemon?.signal(signal);
    }
  }
}

async function stopSeveral(deployment: Deployment, random: Random): Promise<void> {
  for (let count = pickNumber(2, 3, random); count > 0; count--) {
    stopOne(deployment, random);
    await sleep(random() * BOUNDS.shutdownMs / 4);
  }
}

async function reloadInSeries(deployment: Deployment, random: Random): Promise<void> {
  const count = pickNumber(1, 6, random);
  const daemon = deployment.pickNode(random)?.daemon;
  for (let repeat = 0; repeat < count; repeat++) {
    daemon?.signal("SIGHUP");
    await sleep(random() * RELOAD_GAP_MS);
  }
}

/** Stops a daemon, and sends signals to its next process as soon as it handles them. */
function signalAtStart(deployment: Deployment, random: Random): void {
  const daemon = deployment.pickNode(random)?.daemon;
  const delayMs = random() * START_MS;
  const mustStop = random() < 0.3;
  daemon?.onNextStart(async () => {
    daemon.signal("SIGHUP");
    await sleep(delayMs);
    daemon.signal("SIGHUP");
    if (mustStop) {
      daemon.stop();
    }
  });
  daemon?.stop();
}

/** Kills a daemon, and resolves when it is ready again. */
export async function killDaemon({ history }: Deployment, { daemon }: Node): Promise<void> {
  const end = history.disrupt("kill", daemon.name);
  daemon.kill();
  await daemon.waitUntilReady();
  end();
}

async function kill(deployment: Deployment, random: Random): Promise<void> {
  const node = deployment.pickNode(random);
  if (node !== undefined) {
    await killDaemon(deployment, node);
  }
}

async function suspend(deployment: Deployment, random: Random): Promise<void> {
  const ms = random() * SUSPEND_MS;
  const daemon = deployment.pickNode(random)?.daemon;
  if (daemon !== undefined) {
    const end = deployment.history.disrupt("suspension", daemon.name);
    daemon.signal("SIGSTOP");
    await sleep(ms);
    daemon.signal("SIGCONT");
    end();
  }
}

/** Faults by signals. */
export const SIGNALS: Fault[] = [
  { name: "stop", weight: 2, play: stopOne },
  { name: "stop-repeatedly", weight: 4, play: stopRepeatedly },
  { name: "stop-several", weight: 1, play: stopSeveral },
  { name: "reload-in-series", weight: 3, play: reloadInSeries },
  { name: "signal-at-start", weight: 2, play: signalAtStart },
  { name: "kill", weight: 1, play: kill },
  { name: "suspend", weight: 1, play: suspend },
];
