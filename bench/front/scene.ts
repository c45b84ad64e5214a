/** The processes of the front bench: the platform's stand-ins, one entry with telemetry and one without. */
import { buildSync } from "esbuild";
import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createHash } from "node:crypto";
import { createSocket } from "node:dgram";
import { systemClock } from "../../src/common/clock.js";
import { HttpWorkerPort } from "../../src/process/platform/index.js";
import { buildServeHeaders } from "../../src/process/platform/serve-headers.js";
import { LoadClient } from "./load-client.js";
import type { LoadTarget } from "./load-client.js";
import type { EntryArguments, EntryReady, PlatformArguments, PlatformReady, UsageReply } from "./messages.js";

const WORKERS = 30;
const SLOTS = 8;
const CONNECTIONS = 128;
const SERVICE_MS = 2;
const ANSWER = "open at ten";
const BODY = Buffer.from(JSON.stringify({ serviceMs: SERVICE_MS, answer: ANSWER }));
const BRANCH = "services/catalogo-beni";
const TEAM_TOKEN = "token of the bench";
const OPERATOR_TOKEN = "token of its operator";
const LEASE_MS = 3_600_000;
const READY_TRIES = 300;
const READY_WAIT_MS = 100;

/** All processes of a run. */
export class FrontScene {
    private readonly children: ChildProcess[] = [];
    private readonly clients: LoadClient[] = [];
    private readonly sink = createSocket("udp4");
    readonly entries = new Map<
        "on" | "off",
        { readonly child: ChildProcess; readonly client: LoadClient; }
    >();
    direct: LoadClient | undefined;

    async open(): Promise<void> {
        await new Promise<void>(resolve => {
            this.sink.bind(0, "127.0.0.1", resolve);
        });
        this.direct = await this.openDirect();
        await this.openEntry("on");
        await this.openEntry("off");
    }

    async close(): Promise<void> {
        await Promise.all(this.clients.map(client => client.close()));
        this.children.forEach(child => child.disconnect());
        this.sink.close();
    }

    /** Workers that belong to no cell, attached by the bench itself. */
    private async openDirect(): Promise<LoadClient> {
        const { workerUrls } = await this.startPlatform();
        const port = new HttpWorkerPort({ clock: systemClock });
        const boots = new Map<string, string>();
        for (const url of workerUrls) {
            const order = { epoch: 1, notAfter: Number.MAX_SAFE_INTEGER, leaseMs: LEASE_MS };
            const answer = await port.attach({ workerId: url, url }, order, 5_000);
            if (answer.kind !== "done") {
                throw new Error(`a worker could not be attached: ${JSON.stringify(answer)}`);
            }
            boots.set(url, answer.value.bootId);
        }
        await port.close();
        return this.addClient({
            urls: workerUrls,
            expected: ANSWER,
            request: (url, count) => ({
                path: "/v1/serve",
                body: BODY,
                headers: buildServeHeaders({
                    epoch: 1,
                    bootId: boots.get(url),
                    notAfter: Number.MAX_SAFE_INTEGER,
                    requestId: `direct-${count}`,
                    branch: BRANCH,
                    body: BODY,
                    contentType: "application/json",
                    timeoutMs: 10_000,
                }),
            }),
        });
    }

    private async openEntry(telemetry: "on" | "off"): Promise<void> {
        const { storeUrl, vmListUrl } = await this.startPlatform();
        const settings: EntryArguments = {
            storeUrl,
            vmListUrl,
            operatorTokenHash: hashToken(OPERATOR_TOKEN),
            telemetry: telemetry === "on",
            metricsPort: this.sink.address().port,
        };
        const [child, ready] = await this.startChild<EntryReady>("entry-process.ts", settings, telemetry);
        await editTree(ready.httpUrl);
        await waitForAnswers(ready.httpUrl);
        const client = this.addClient({
            urls: [ready.httpUrl],
            expected: ANSWER,
            request: () => ({ path: `/v1/services/${BRANCH}`, body: BODY, headers: CALLER_HEADERS }),
        });
        this.entries.set(telemetry, { child, client });
    }

    private async startPlatform(): Promise<PlatformReady> {
        const settings: PlatformArguments = { workers: WORKERS, slots: SLOTS };
        const [, ready] = await this.startChild<PlatformReady>("platform-process.ts", settings, "platform");
        return ready;
    }

    /** Set `FRONT_LOAD_PROFILE` to a folder to get processor profiles of the entries there. */
    private async startChild<Ready>(
        file: string,
        settings: unknown,
        name: string,
    ): Promise<[ChildProcess, Ready]> {
        const folder = process.env["FRONT_LOAD_PROFILE"];
        const profile = folder === undefined || name === "platform" ?
            [] :
            ["--cpu-prof", `--cpu-prof-dir=${folder}`, `--cpu-prof-name=${name}.cpuprofile`];
        const child = fork(buildProcess(file), [JSON.stringify(settings)], { execArgv: profile });
        this.children.push(child);
        return [child, await receiveMessage<Ready>(child)];
    }

    private addClient(target: LoadTarget): LoadClient {
        const client = new LoadClient(target, CONNECTIONS);
        this.clients.push(client);
        return client;
    }
}

const CALLER_HEADERS = {
    authorization: `Bearer ${TEAM_TOKEN.replaceAll(" ", "-")}`,
    "x-repeatable": "true",
    "x-deadline-ms": "10000",
    "content-type": "application/json",
};
const OPERATOR_HEADERS = { authorization: `Bearer ${OPERATOR_TOKEN.replaceAll(" ", "-")}` };

/** Bundles a process of the bench, so that it runs as the shipped program does, without a loader. */
function buildProcess(file: string): string {
    const outfile = `dist/bench/${file.replace(".ts", ".mjs")}`;
    buildSync({
        entryPoints: [`bench/front/${file}`],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "esm",
        external: ["cbor-extract", "unix-dgram"],
        // Libraries in CommonJS want `require`, which a module does not have.
        banner: {
            js: "import { createRequire as createBenchRequire } from 'node:module'; " +
                "const require = createBenchRequire(import.meta.url);",
        },
        logLevel: "warning",
    });
    return outfile;
}

function hashToken(token: string): string {
    return createHash("sha256").update(token.replaceAll(" ", "-")).digest("hex");
}

function receiveMessage<Message>(child: ChildProcess): Promise<Message> {
    return new Promise((resolve, reject) => {
        child.once("message", message => resolve(message as Message));
        child.once("exit", code => reject(new Error(`a process of the bench ended with ${String(code)}`)));
    });
}

/** Asks an entry process for what it has used so far. */
export async function readUsage(child: ChildProcess): Promise<UsageReply> {
    const reply = receiveMessage<UsageReply>(child);
    child.send("usage");
    return await reply;
}

async function editTree(httpUrl: string): Promise<void> {
    const edit = {
        editId: "bench",
        baseVersion: 0,
        changes: [
            { path: "", field: "teams.bench.tokenHashes", value: [hashToken(TEAM_TOKEN)] },
            { path: "services", field: "kind", value: "service" },
            { path: BRANCH, field: "kind", value: "service" },
        ],
    };
    const send = () =>
        fetch(`${httpUrl}/v1/admin/tree/edits`, {
            method: "POST",
            headers: OPERATOR_HEADERS,
            body: JSON.stringify(edit),
        });
    await retryUntil(async () => (await send()).ok, "the edit of the tree");
}

async function waitForAnswers(httpUrl: string): Promise<void> {
    const send = () =>
        fetch(`${httpUrl}/v1/services/${BRANCH}`, { method: "POST", headers: CALLER_HEADERS, body: BODY });
    await retryUntil(async () => (await send()).ok, "the first answer of a worker");
    const countOpen = async (): Promise<number> => {
        const reply = await fetch(`${httpUrl}/v1/admin/status/workers`, { headers: OPERATOR_HEADERS });
        const { workers } = await reply.json() as {
            readonly workers: readonly { readonly state: string; }[];
        };
        return workers.filter(worker => worker.state === "open").length;
    };
    await retryUntil(async () => await countOpen() === WORKERS, "all workers");
}

async function retryUntil(isDone: () => Promise<boolean>, what: string): Promise<void> {
    for (let tries = 0; tries < READY_TRIES; tries++) {
        if (await isDone()) {
            return;
        }
        await new Promise(resolve => {
            setTimeout(resolve, READY_WAIT_MS);
        });
    }
    throw new Error(`never came about: ${what}`);
}
