/**
 * What requests cost at the servers of each service, as an ingress sees it: responses tell how long the server worked.
 * Servers differ in speed, so an ingress only compares the requests of a service with each other.
 */
import { RequestCosts } from "@bulrushwood/admission";
import type { RoutedResponse } from "@bulrushwood/routing";
import type { DispatchRequest } from "./dispatcher.ts";

/** Name of the estimate over all requests of a service; routes are kept apart from it by their own tables. */
const ALL_ROUTES = "*";

interface Costs {
  ofRoutes: RequestCosts;
  ofAll: RequestCosts;
}

/** Estimates of one ingress. */
export class ServiceCosts {
  readonly #services = new Map<string, Costs>();

  /** Records what a response tells of the cost of its request. */
  record(
    { head, route, body }: DispatchRequest,
    { head: { ranMs, status } }: RoutedResponse,
  ): void {
    if (typeof ranMs !== "number" || status >= 500) {
      return;
    }
    const costs = this.#services.get(head.pool) ??
      { ofRoutes: new RequestCosts(), ofAll: new RequestCosts() };
    this.#services.set(head.pool, costs);
    costs.ofRoutes.record({ route: route.name, bytes: body?.length }, ranMs);
    costs.ofAll.record({ route: ALL_ROUTES }, ranMs);
  }

  /** Expected cost of a request, as a multiple of that of its service's requests; 1 while it is not known. */
  ratioOf({ head, route, body }: DispatchRequest): number {
    const costs = this.#services.get(head.pool);
    const own = costs?.ofRoutes.expectedMs({ route: route.name, bytes: body?.length });
    const all = costs?.ofAll.expectedMs({ route: ALL_ROUTES });
    return own === undefined || all === undefined || all <= 0 ? 1 : own / all;
  }
}
