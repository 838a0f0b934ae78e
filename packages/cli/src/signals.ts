/**
 * Signals to a daemon. Their default action ends the process, so they are received from its first moment on, when it
 * has not read its settings yet, until it exits. Import this module before all others.
 */
import process from "node:process";

/** What a daemon does on signals. */
export interface SignalHandlers {
  /** Called at the first signal to stop; further ones change nothing. */
  onStop: (signal: NodeJS.Signals) => void;
  /** Called at each signal to reload the settings. */
  onReload?: () => void;
}

const STOP_SIGNALS: NodeJS.Signals[] = ["SIGTERM", "SIGINT"];

let handlers: SignalHandlers | undefined;
let stopSignal: NodeJS.Signals | undefined;
let hasReloadSignal = false;

/** Starts to receive signals for the process, and keeps it alive when the reader of its output goes. */
function receive(): void {
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => {
      if (stopSignal === undefined) {
        stopSignal = signal;
        handlers?.onStop(signal);
      }
    });
  }
  process.on("SIGHUP", () => {
    hasReloadSignal = true;
    handlers?.onReload?.();
  });
  for (const output of [process.stdout, process.stderr]) {
    output.on("error", () => {});
  }
}

/** Sets the handlers; calls them at once for the signals that have come already. */
export function handleSignals(all: SignalHandlers): void {
  handlers = all;
  if (hasReloadSignal) {
    all.onReload?.();
  }
  if (stopSignal !== undefined) {
    all.onStop(stopSignal);
  }
}

if (process.argv.includes("serve")) {
  receive();
}
