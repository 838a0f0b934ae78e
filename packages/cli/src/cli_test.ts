import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";
import { Deployment, Session } from "@bulrushwood/sessions";
import { ExitCode } from "./output.ts";

const BINARY = "dist/bulrushwood";

interface RunResult {
  code: number;
  stdout: string;
  stderr: string;
}

/** Runs the binary until it exits. */
function run(...args: string[]): Promise<RunResult> {
  return runFile(BINARY, args);
}

/** Runs a program until it exits. */
function runFile(file: string, args: string[]): Promise<RunResult> {
  return new Promise((resolve) => {
    execFile(file, args, { timeout: 30_000 }, (error, stdout, stderr) => {
      const code = error === null ? 0 : Number(error.code ?? -1);
      resolve({ code, stdout, stderr });
    });
  });
}

function fetchText(url: string, body?: string): Promise<{ status: number; text: string }> {
  return new Promise((resolve, reject) => {
    const call = request(url, { method: body === undefined ? "GET" : "POST", agent: false });
    call.on("error", reject);
    call.on("response", async (response) => {
      let text = "";
      for await (const chunk of response) {
        text += chunk;
      }
      resolve({ status: response.statusCode ?? 0, text });
    });
    call.end(body);
  });
}

describe("the command line", () => {
  const directory = mkdtempSync(join(tmpdir(), "bulrushwood-cli-"));

  after(() => rmSync(directory, { recursive: true, force: true }));

  it("has help for every command", async () => {
    const commands = ["serve", "check", "publish", "status", "watch", "explain", "drain"];
    for (const command of [...commands, "declare-lost", "explain-request"]) {
      const { code, stdout } = await run(command, "--help");
      expect(code, command).to.equal(ExitCode.Ok);
      expect(stdout).to.contain(`$ bulrushwood ${command}`);
    }
  });

  // Guards against a start that compiles the whole program, since its code cache is for other options of Node.js.
  it("runs as the deploy file says, with its code cache", async () => {
    const built = await runFile(process.execPath, ["--import=tsx", "scripts/build.ts", "--deploy"]);
    expect(built.code, built.stderr).to.equal(ExitCode.Ok);
    const command = /^run = "node (.*) serve"$/m.exec(readFileSync("deploy/system.toml", "utf8"))!;
    const { code, stdout, stderr } = await runFile(process.execPath, [
      ...command[1].split(" "),
      "--version",
    ]);
    expect([code, stderr]).to.deep.equal([ExitCode.Ok, ""]);
    expect(stdout).to.contain("bulrushwood");
    const withOthers = await runFile(process.execPath, ["target/start.cjs", "--version"]);
    expect(withOthers.stderr).to.contain("code cache");
  });

  it("validates files offline and lists every fault with its position", async () => {
    const sound = await run("check", "examples/tamborin.jsonc");
    expect([sound.code, sound.stderr]).to.deep.equal([ExitCode.Ok, ""]);
    const path = join(directory, "bad.jsonc");
    writeFileSync(
      path,
      '{\n  "pools": { "a": { "keyed": "yes" } },\n  "classes": {},\n  "routes": []\n}',
    );
    const bad = await run("check", path);
    expect(bad.code).to.equal(ExitCode.Malformed);
    expect(bad.stderr).to.contain(`${path}:2:30: pools.a.keyed: found "yes", expected`);
    expect(bad.stderr).to.contain(`${path}:4:13: routes: found [], expected`);
    const json = await run("check", path, "--json");
    expect(JSON.parse(json.stderr).faults).to.have.length(2);
    const missing = await run("check", join(directory, "no-such-file"));
    expect(missing.code).to.equal(ExitCode.Malformed);
    expect(missing.stderr).to.contain("found ENOENT, expected a file that can be read");
    const kind = await run("check", path, "--kind", "recipe");
    expect(kind.stderr).to.contain('--kind is "recipe"; it must be one of');
  });

  it("does not serve with invalid settings", async () => {
    const path = join(directory, "daemon.jsonc");
    writeFileSync(path, '{ "instance": "x" }');
    const result = await run("serve", path);
    expect(result.code).to.equal(ExitCode.Malformed);
    expect(result.stderr).to.contain("listen: found nothing, expected a value of type object");
  });

  it("explains a request from the logs of several instances and counts unreadable lines", async () => {
    const [ingress, owner] = ["in.log", "owner.log"].map((name) => join(directory, name));
    const common = { level: "info", id: "r1", message: "request-lost" };
    const late = { ...common, instance: "in", timestamp: "2026-12-04T10:00:00.300Z" };
    writeFileSync(ingress, `${JSON.stringify({ ...late, ms: 200, route: "book" })}\ncut {"a\n`);
    const early = { ...common, instance: "owner", timestamp: "2026-12-04T10:00:00.250Z" };
    writeFileSync(owner, `${JSON.stringify({ ...early, detail: "read ECONNRESET" })}\n`);
    const { code, stdout } = await run("explain-request", "r1", ingress, owner);
    expect(code).to.equal(ExitCode.Ok);
    expect(stdout.split("\n").filter((line) => line.startsWith("*"))).to.deep.equal([
      "*    150 ms owner request-lost detail=read ECONNRESET",
      "*    200 ms in    request-lost ms=200, route=book",
    ]);
    expect(stdout).to.contain("1 lines could not be read");
    const json = JSON.parse((await run("explain-request", "r1", ingress, owner, "--json")).stdout);
    expect([json.ingress, json.unreadable, json.steps.length]).to.deep.equal(["in", 1, 2]);
    const none = await run("explain-request", "r9", ingress);
    expect([none.code, none.stdout]).to.deep.equal([ExitCode.Malformed, ""]);
    expect(none.stderr).to.contain("None of 1 lines names request r9");
    const missing = await run("explain-request", "r1", join(directory, "no-such.log"));
    expect(missing.code).to.equal(ExitCode.Malformed);
    expect(missing.stderr).to.contain("Name files that exist");
  });

  it("reports an unreachable daemon", async () => {
    const result = await run("status", "--admin", "127.0.0.1:1");
    expect(result.code).to.equal(ExitCode.Unavailable);
    expect(result.stderr).to.contain("does not respond");
  });
});

describe("the binary in a deployment", () => {
  let deployment: Deployment;
  let admin: string[];

  before(async () => {
    deployment = await Deployment.start({
      instances: ["carapungo", "calderon", "pomasqui"].map((dataCentre, index) => ({
        name: `despacho-${index + 1}`,
        dataCentre,
        pool: "despacho",
      })),
      program: BINARY,
    });
    admin = ["--admin", deployment.adminAddress("despacho-2")];
  });

  after(() => deployment.close());

  it("publishes a version once and reports the conflict to a second operator", async () => {
    const first = await run("publish", "examples/tamborin.jsonc", "--expects", "0", ...admin);
    expect([first.code, first.stdout]).to.deep.equal([ExitCode.Ok, "Version 1 is accepted\n"]);
    const late = await run("publish", "examples/tamborin.jsonc", "--expects", "0", ...admin);
    expect(late.code).to.equal(ExitCode.Conflict);
    expect(late.stderr).to.contain("The configuration in force is version 1, not 0");
    const shards = join(tmpdir(), `bulrushwood-shards-${Date.now()}.jsonc`);
    const configuration = await deployment.admin("despacho-1").configuration();
    const document = configuration.isOk ? configuration.value.configuration : {};
    const text = JSON.stringify(document).replace('"shards":64', '"shards":128');
    writeFileSync(shards, text);
    const changed = await run("publish", shards, ...admin);
    rmSync(shards);
    expect(changed.code).to.equal(ExitCode.Malformed);
    expect(changed.stderr).to.contain("pools.despacho keeps keyed true and shards 64");
  });

  it("waits until a version is in force in every daemon", async () => {
    const watched = await run("watch", "1", "--timeout", "5", "--json", ...admin);
    expect(watched.code).to.equal(ExitCode.Ok);
    expect(JSON.parse(watched.stdout)).to.include({ version: 1, daemons: 3 });
    const never = await run("watch", "9", "--timeout", "0.5", ...admin);
    expect(never.code).to.equal(ExitCode.TimedOut);
    expect(never.stderr).to.contain("despacho-1 has version 1");
  });

  it("explains the owner of a key and shows the state of the system", async () => {
    await deployment.waitUntilSettled("despacho-1");
    const explained = await run("explain", "despacho", "planta-1", "--json", ...admin);
    const { owner, successor, witness } = JSON.parse(explained.stdout);
    expect([owner, successor, witness].sort()).to.deep.equal(deployment.names);
    const unknown = await run("explain", "despachos", "planta-1", ...admin);
    expect(unknown.code).to.equal(ExitCode.Malformed);
    expect(unknown.stderr).to.contain("the keyed pools are: despacho");
    const status = await run("status", ...admin);
    expect(status.stdout).to.match(/despacho-3 +pomasqui +present +despacho/);
    const json = JSON.parse((await run("status", "--json", ...admin)).stdout);
    expect(json.pools[0]).to.include({ pool: "despacho", shards: 64, unassigned: 0 });
  });

  it("serves histograms for each tenant and class, and health checks", async () => {
    const session = new Session(deployment);
    const headers = { "x-tenant": "exportadora" };
    const path = "/plants/planta-1/quotes";
    await session.send({ label: "q", via: "despacho-1", method: "GET", path, headers });
    const base = `http://${deployment.adminAddress("despacho-1")}`;
    const { text } = await fetchText(`${base}/metrics`);
    expect(text).to.contain(
      'bulrushwood_request_duration_seconds_count{tenant="exportadora",class="quoting",outcome="answered"} 1',
    );
    expect((await fetchText(`${base}/healthz`)).status).to.equal(200);
    expect((await fetchText(`${base}/readyz`)).status).to.equal(200);
    const unknown = await fetchText(`${base}/v2/status`);
    expect(unknown.status).to.equal(404);
    const malformed = await fetchText(`${base}/v1/configuration`, '{"expects":"one"}');
    expect(malformed.status).to.equal(400);
    expect(malformed.text).to.contain("expects: ");
  });

  it("skips corrupt records of the log", async () => {
    await deployment.appendToLog("not a record");
    await deployment.appendToLog('{"kind":"from-the-future","id":"1"}');
    const published = await run("publish", "examples/tamborin.jsonc", ...admin);
    expect(published.stdout).to.equal("Version 2 is accepted\n");
    const base = `http://${deployment.adminAddress("despacho-1")}`;
    const { text } = await fetchText(`${base}/metrics`);
    expect(text).to.contain("bulrushwood_log_records_damaged_total 2");
  });

  it("drains an instance, which exits with code 0", async () => {
    const drained = await run("drain", "despacho-3", ...admin);
    expect(drained.code).to.equal(ExitCode.Ok);
    expect(await deployment.daemon("despacho-3").exited()).to.equal(0);
    const unknown = await run("drain", "despacho-9", ...admin);
    expect(unknown.stderr).to.contain('Instance "despacho-9" is not known');
  });

  it("declares an instance lost", async () => {
    await deployment.killInstance("despacho-1");
    const lost = await run("declare-lost", "despacho-1", "--by", "ana", ...admin);
    expect(lost.code).to.equal(ExitCode.Ok);
    const again = await run("declare-lost", "despacho-1", ...admin);
    expect(again.code).to.equal(ExitCode.Conflict);
    expect(again.stderr).to.contain("is already declared-lost");
  });
});
