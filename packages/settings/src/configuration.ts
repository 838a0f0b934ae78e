/**
 * The configuration that operators publish: pools, classes with their targets, and routes.
 */
import type { Result } from "true-myth";
import { Preference, Priority } from "@bulrushwood/types";
import { z } from "zod";
import { parseDocument } from "./document.ts";
import type { SettingsError } from "./fault.ts";

/** Largest number of shards of a pool. */
const SHARDS_MAX = 1_048_576;

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
  message: "a name of small letters, digits and hyphens, at most 63 long",
});

function isPowerOfTwo(value: number): boolean {
  return (value & (value - 1)) === 0;
}

const shards = z.number().int().min(1).max(SHARDS_MAX).refine(isPowerOfTwo, {
  message: "a power of two, such as 1024",
});

const pool = z.strictObject({
  keyed: z.boolean(),
  shards: shards.default(1_024),
  prefer: z.enum(Preference).default(Preference.Availability),
});

const target = z.strictObject({
  share: z.number().gt(0, { message: "a share above 0, such as 0.99" }).max(1),
  withinMs: z.number().int().min(1).max(600_000),
});

const workClass = z.strictObject({
  target,
  idempotent: z.boolean(),
  priority: z.enum(Priority).default(Priority.Foreground),
  deadlineMs: z.number().int().min(1).max(3_600_000),
});

const keySource = z.union([
  z.strictObject({ header: z.string().min(1) }),
  z.strictObject({ pathPart: z.string().min(1) }),
], { error: 'either { "header": NAME } or { "pathPart": NAME }' });

const route = z.strictObject({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  path: z.string().regex(/^\/(?:[^\s?#]*)$/, {
    message: 'a path such as "/routes/:client/quotes"',
  }),
  pool: name,
  class: name,
  key: keySource.optional(),
});

/** Schema of the operators' configuration, without the checks between its parts. */
const baseSchema = z.strictObject({
  tenantHeader: z.string().min(1).default("x-tenant"),
  pools: z.record(name, pool),
  classes: z.record(name, workClass),
  routes: z.array(route).min(1, { message: "at least one route" }),
});

/** Part of a request that holds the key: a header, or a named part of the path. */
export type KeySource = z.infer<typeof keySource>;
/** Settings of one pool of backend servers. */
export type Pool = z.infer<typeof pool>;
/** Settings of one class of work: its target, deadline and priority, and whether it is idempotent. */
export type WorkClass = z.infer<typeof workClass>;
/** Entry of the route table. The first entry that matches a request applies. */
export type Route = z.infer<typeof route>;
/** The operators' configuration: pools, classes and routes. */
export type Configuration = z.infer<typeof baseSchema>;

/** Inconsistency between parts of a configuration. */
interface Problem {
  path: (string | number)[];
  /** The expected value, as in `Fault.expected`. */
  message: string;
}

/** Returns the names of the parts that a route's path captures, without their colons. */
export function pathPartNames(path: string): string[] {
  const captures = path.split("/").filter((part) => part.startsWith(":"));
  return captures.map((part) => part.slice(1));
}

function routeProblems(configuration: Configuration, index: number): Problem[] {
  const route = configuration.routes[index];
  const problems: Problem[] = [];
  const pool = configuration.pools[route.pool];
  const base = ["routes", index];
  if (pool === undefined) {
    const names = Object.keys(configuration.pools).join(", ");
    problems.push({
      path: [...base, "pool"],
      message: `one of the pools: ${names}`,
    });
  }
  if (configuration.classes[route.class] === undefined) {
    const names = Object.keys(configuration.classes).join(", ");
    problems.push({
      path: [...base, "class"],
      message: `one of the classes: ${names}`,
    });
  }
  if (pool?.keyed && route.key === undefined) {
    problems.push({
      path: [...base, "key"],
      message: `a key source, since pool "${route.pool}" is keyed`,
    });
  }
  if (route.key !== undefined && "pathPart" in route.key) {
    const names = pathPartNames(route.path);
    if (!names.includes(route.key.pathPart)) {
      const expected = `the name of a part of ${route.path}, written there as :NAME`;
      problems.push({ path: [...base, "key", "pathPart"], message: expected });
    }
  }
  return problems;
}

function classProblems(name: string, workClass: WorkClass): Problem[] {
  if (workClass.target.withinMs <= workClass.deadlineMs) {
    return [];
  }
  const message = `at most the deadline of the class, ${workClass.deadlineMs}`;
  return [{ path: ["classes", name, "target", "withinMs"], message }];
}

/** Schema of the operators' configuration, with the checks between its parts. */
export const configurationSchema = baseSchema.superRefine(
  (configuration, context) => {
    const problems: Problem[] = [];
    for (const index of configuration.routes.keys()) {
      problems.push(...routeProblems(configuration, index));
    }
    for (const [name, workClass] of Object.entries(configuration.classes)) {
      problems.push(...classProblems(name, workClass));
    }
    for (const problem of problems) {
      context.addIssue({ code: "custom", ...problem });
    }
  },
);

/** Parses and validates the text of a configuration file; errors name it as `source`. */
export function parseConfiguration(
  text: string,
  source: string,
): Result<Configuration, SettingsError> {
  return parseDocument<Configuration>(text, source, {
    schema: configurationSchema,
  });
}

/** Lists the reasons why a configuration cannot replace an earlier one: a keyed pool that stays keeps its shards. */
export function replacementProblems(
  earlier: Configuration,
  later: Configuration,
): string[] {
  const problems: string[] = [];
  for (const [name, pool] of Object.entries(earlier.pools)) {
    const next = later.pools[name];
    if (next === undefined || !pool.keyed) {
      continue;
    }
    if (!next.keyed || next.shards !== pool.shards) {
      problems.push(
        `pools.${name} keeps keyed true and shards ${pool.shards}; make a new pool to change them`,
      );
    }
  }
  return problems;
}
