/**
 * Leaves optional native addons out of the bundles: a single executable cannot contain them, and the libraries that
 * try to load them work without them.
 */
import type { Plugin } from "esbuild";

/** Replaces the addons by modules that throw when they are loaded, so that libraries use their fallback. */
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
