/**
 * Counts the calls to the store: the store limits how many calls all daemons together may make.
 */
import type { Store } from "@bulrushwood/deployment";

/** Kinds of calls to the store. */
export enum StoreCall {
  Append = "append",
  Read = "read",
  ReadNewest = "read-newest",
}

/** Returns a store that calls `onCall` before each call to another store. */
export function countCalls(store: Store, onCall: (call: StoreCall) => void): Store {
  return {
    append: (topic, item, options) => {
      onCall(StoreCall.Append);
      return store.append(topic, item, options);
    },
    read: (topic, from, options) => {
      onCall(StoreCall.Read);
      return store.read(topic, from, options);
    },
    readNewest: (topic, options) => {
      onCall(StoreCall.ReadNewest);
      return store.readNewest(topic, options);
    },
    close: () => store.close(),
  };
}
