/**
 * Requests of callers that have no response yet. A daemon that stops responds to all of them before it closes their
 * connections, so that callers learn that the requests may have run.
 */
import type { RoutedResponse } from "./response.ts";

/** Requests that wait for their responses. */
export class OpenRequests {
  readonly #respond = new Set<(response: RoutedResponse) => void>();

  /** Waits for the response to a request; resolves earlier if all open requests get one. */
  async waitFor(pending: Promise<RoutedResponse>): Promise<RoutedResponse> {
    return await new Promise((resolve, reject) => {
      this.#respond.add(resolve);
      pending.then(resolve, reject).finally(() => this.#respond.delete(resolve));
    });
  }

  /** Responds to all open requests. */
  respondToAll(response: RoutedResponse): void {
    this.#respond.forEach((respond) => respond(response));
  }
}
