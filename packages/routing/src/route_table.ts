/**
 * Matches a request's method and path against the routes of the configuration; the first match decides.
 */
import type { Configuration, Route } from "@bulrushwood/settings";

interface CompiledRoute {
  route: Route;
  parts: string[];
}

/** A route that a request matched, with the values of the route's named path segments. */
export interface RouteMatch {
  route: Route;
  captures: Map<string, string>;
}

/** The routes of one configuration, compiled for matching. */
export class RouteTable {
  readonly #routes: CompiledRoute[];

  constructor(configuration: Configuration) {
    this.#routes = configuration.routes.map((route) => ({
      route,
      parts: route.path.split("/"),
    }));
  }

  /** Returns the first route that matches a request; `path` is without the query. */
  match(method: string, path: string): RouteMatch | undefined {
    const parts = path.split("/");
    for (const candidate of this.#routes) {
      if (
        candidate.route.method === method &&
        matchesParts(candidate.parts, parts)
      ) {
        return {
          route: candidate.route,
          captures: capture(candidate.parts, parts),
        };
      }
    }
    return undefined;
  }
}

function matchesParts(pattern: string[], parts: string[]): boolean {
  if (pattern.length !== parts.length) {
    return false;
  }
  return pattern.every((part, index) =>
    part.startsWith(":") ? parts[index] !== "" : part === parts[index]
  );
}

function capture(pattern: string[], parts: string[]): Map<string, string> {
  const captures = new Map<string, string>();
  for (const [index, part] of pattern.entries()) {
    if (part.startsWith(":")) {
      captures.set(part.slice(1), decodePart(parts[index]));
    }
  }
  return captures;
}

function decodePart(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return part;
  }
}
