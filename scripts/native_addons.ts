/**
 * Native addons that libraries try to load; one binary cannot hold them, and all work without.
 */
import type { Plugin } from "esbuild";

/** Resolves the addons to modules that are absent. */
export const withoutNativeAddons: Plugin = {
  name: "without-native-addons",
  setup(build) {
    const filter = /^(bufferutil|utf-8-validate|msgpackr-extract)$/;
    build.onResolve({ filter }, ({ path }) => ({ path, namespace: "absent" }));
    build.onLoad({ filter: /.*/, namespace: "absent" }, ({ path }) => ({
      contents: `throw new Error("${path} is not part of the binary");`,
    }));
  },
};
