import { Buffer } from "node:buffer";
import { expect } from "chai";
import { sleep } from "@bulrushwood/types";
import { CallerOutcomeKind } from "./caller.ts";
import { despachoInstances, findOwner, inspeccionInstances, withDeployment } from "./fixtures.ts";
import { expectGolden } from "./golden.ts";

describe("the path of a request", () => {
  it("forwards keyed requests from any daemon to the owner", async () => {
    await withDeployment({ instances: despachoInstances(3) }, async (deployment, session) => {
      for (const [index, via] of deployment.names.entries()) {
        for (const plant of ["planta-1", "planta-2", "planta-3"]) {
          const label = `booking-${plant}-${index}`;
          const path = `/plants/${plant}/bookings`;
          await session.send({ label, via, method: "POST", path, body: "slot" });
        }
      }
      for (const key of ["planta-1", "planta-2", "planta-3"]) {
        await session.recordOwner("at the end", { via: "despacho-1", pool: "despacho", key });
      }
      await session.awaitRecords();
      expectGolden("keyed_path", session.transcript());
    });
  });

  it("rejects malformed requests and names the field", async () => {
    await withDeployment({ instances: despachoInstances(3) }, async (deployment, session) => {
      const via = "despacho-1";
      const told: string[] = [];
      const send = async (method: string, path: string, headers: Record<string, string> = {}) => {
        const outcome = await session.send({
          label: `r${told.length}`,
          via,
          method,
          path,
          headers,
        });
        const { status, kind, body } = outcome;
        told.push(
          `${method} ${path.slice(0, 40)}: ${status} ${kind}: ${body.trim().slice(0, 120)}`,
        );
      };
      await send("POST", "/no/such/route");
      await send("GET", "/plants/planta-1/quotes", { "bulrushwood-deadline-ms": "soon" });
      await send("GET", "/plants/planta-1/quotes", { "bulrushwood-attempt": "first" });
      await send("GET", "/plants/planta-1/quotes", { "idempotency-key": "k".repeat(300) });
      await send("GET", `/plants/${"x".repeat(600)}/quotes`);
      await send("PUT", "/photos/drum-1", { "content-length": "99999999999" });
      await send("GET", "/plants/planta-1/quotes", { "x-large": "y".repeat(20_000) });
      expectGolden("malformed_requests", { told, ran: deployment.works.length });
    });
  });

  it("streams long bodies in both directions", async () => {
    const instances = [...despachoInstances(3), ...inspeccionInstances(2)];
    await withDeployment({ instances }, async (_deployment, session) => {
      const body = Buffer.alloc(3_000_000, "p");
      for (const via of ["despacho-1", "inspeccion-1", "inspeccion-2"]) {
        const path = "/photos/drum-7?answer_bytes=2000000";
        const label = `photo-${via}`;
        const outcome = await session.send({ label, via, method: "PUT", path, body });
        expect(outcome.kind).to.equal(CallerOutcomeKind.Responded);
        expect(outcome.body.length).to.be.greaterThan(2_000_000);
        expect(JSON.parse(outcome.body).bodyBytes).to.equal(body.length);
      }
      expect(session.audit().wrongAnswers).to.deep.equal([]);
    });
  });

  it("matches responses to their requests when they come late and out of order", async () => {
    await withDeployment({ instances: despachoInstances(3) }, async (_deployment, session) => {
      const requests = Array.from({ length: 60 }, (_, index) => {
        const serviceMs = (60 - index) * 3;
        const path = `/plants/planta-${index % 5}/quotes?service_ms=${serviceMs}`;
        const via = `despacho-${1 + index % 3}`;
        return session.send({
          label: `quote-${index}`,
          via,
          method: "GET",
          path,
          idempotent: true,
        });
      });
      const outcomes = await Promise.all(requests);
      expect(outcomes.map((one) => one.kind)).to.deep.equal(
        outcomes.map(() => CallerOutcomeKind.Responded),
      );
      expect(session.audit().wrongAnswers).to.deep.equal([]);
    });
  });

  it("never completes a response that the server broke off", async () => {
    await withDeployment({ instances: despachoInstances(3) }, async (deployment, session) => {
      const { owner, others } = await findOwner(deployment, "planta-1");
      const sizes = [100, 500_000];
      for (const via of [owner, others[0]]) {
        for (const size of sizes) {
          await deployment.controlBackend(owner, { breakAnswers: 1 });
          const path = `/plants/planta-1/bookings?answer_bytes=${size}`;
          const label = `${via === owner ? "at-owner" : "elsewhere"}-${size}`;
          await session.send({ label, via, method: "POST", path });
        }
      }
      const told = session.transcript().requests.map(({ label, told }) => ({ label, told }));
      expectGolden("broken_answers", told);
    });
  });

  it("passes cancellation on to the server", async () => {
    await withDeployment({ instances: despachoInstances(3) }, async (deployment, session) => {
      const { others } = await findOwner(deployment, "planta-1");
      const cancel = new AbortController();
      setTimeout(() => cancel.abort(), 200);
      const path = "/plants/planta-1/bookings?service_ms=3000";
      const sent = { label: "cancelled", via: others[0], method: "POST", path };
      const outcome = await session.send({ ...sent, signal: cancel.signal });
      expect(outcome.kind).to.equal(CallerOutcomeKind.Reset);
      await deployment.waitUntil(
        () => deployment.works[0]?.end === "cancelled",
        "the work to be cancelled",
        1_000,
      );
    });
  });

  it("passes deadlines on to the server", async () => {
    await withDeployment({ instances: despachoInstances(3) }, async (deployment, session) => {
      const path = "/plants/planta-1/bookings?service_ms=3000";
      const headers = { "bulrushwood-deadline-ms": "150" };
      const sent = { label: "late", via: "despacho-2", method: "POST", path, headers };
      const outcome = await session.send(sent);
      expect(`${outcome.kind} ${outcome.reason}`).to.equal("unknown deadline-passed");
      await deployment.waitUntil(
        () => deployment.works[0]?.end === "cancelled",
        "the work to be cancelled",
        1_000,
      );
      await sleep(10);
    });
  });

  it("reports not-run when the server sheds load", async () => {
    await withDeployment({ instances: despachoInstances(3) }, async (deployment, session) => {
      const { owner, others } = await findOwner(deployment, "planta-1");
      await deployment.controlBackend(owner, { shedding: true });
      const path = "/plants/planta-1/bookings";
      const outcome = await session.send({ label: "shed", via: others[0], method: "POST", path });
      expect(`${outcome.kind} ${outcome.reason}`).to.equal("not-run server-refused");
      expect(deployment.works).to.have.length(0);
    });
  });

  it("reports not-run for a long upload that the server rejects before the whole body has arrived", async () => {
    const instances = [...despachoInstances(3), ...inspeccionInstances(1)];
    await withDeployment({ instances }, async (deployment, session) => {
      await deployment.controlBackend("inspeccion-1", { shedding: true });
      for (const via of ["despacho-1", "inspeccion-1"]) {
        const body = Buffer.alloc(5_000_000, "p");
        const sent = { label: `photo-${via}`, via, method: "PUT", path: "/photos/drum-1", body };
        const outcome = await session.send(sent);
        expect(`${outcome.kind} ${outcome.reason}`, via).to.equal("not-run server-refused");
      }
      expect(deployment.works).to.have.length(0);
    });
  });
});
