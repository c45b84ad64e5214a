/** Clients that do not behave, against one entry as a real process. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { after, before, describe, it } from "node:test";
import { Agent, request } from "undici";
import { buildEntryProgram } from "../../../bench/faults/entry-child.js";
import { systemClock } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import { startStoreStandIn, startVmListStandIn } from "../../stand-ins/index.js";
import { checkCrowd } from "./crowd-check.js";
import type { CrowdCase, ProcessUnderTest } from "./crowd-check.js";
import { ClientEnd } from "./crowd-order.js";
import { endProcess, waitFor } from "./crowd.js";

const HOST = "127.0.0.1";
/** Memory of the VM; the heap has the same share of it as on the users' VMs. */
const MEMORY_MIB = 210;
const ENTRY_ARGUMENTS = ["--max-old-space-size=200"];
const MAX_BODY_BYTES = 262_144;
const MAX_CONNECTIONS = 200;
/** Connections of callers and operators, and as many for everything else. */
const MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS;
/** After this an ordinary client asks again. */
const PATIENCE_MS: Millis = 3_000;
const VM_LIST_LAG_MS: Millis = 1_000;

type Port = "http" | "peers";

const HEALTH = { path: "/healthz" };
const NOWHERE = { path: "/nowhere" };
const JOBS = { path: "/v1/jobs" };
const { stay, reset, halfClose } = ClientEnd;

const cases: readonly CrowdCase<Port>[] = [
    {
        port: "http",
        payload: "tinyChunks",
        ...JOBS,
        connections: 200,
        end: stay,
        guards: "chunk objects fill the heap",
    },
    {
        port: "http",
        payload: "largeChunks",
        ...JOBS,
        connections: 400,
        end: stay,
        guards: "unfinished bodies fill the memory",
    },
    {
        port: "http",
        payload: "almostWholeBody",
        ...JOBS,
        connections: 400,
        end: halfClose,
        guards: "unfinished bodies outlive a half-closed connection",
    },
    {
        port: "http",
        payload: "silent",
        ...JOBS,
        connections: 600,
        end: stay,
        guards: "silent connections shut ordinary callers out",
    },
    {
        port: "http",
        payload: "openHeaders",
        ...JOBS,
        connections: 600,
        end: stay,
        guards: "headers without end shut ordinary callers out",
    },
    {
        port: "http",
        payload: "requestsAhead",
        ...HEALTH,
        connections: 150,
        end: stay,
        guards: "health checks sent ahead fill the memory",
    },
    {
        port: "http",
        payload: "requestsAhead",
        ...NOWHERE,
        connections: 150,
        end: stay,
        guards: "requests sent ahead to no route fill the memory",
    },
    {
        port: "http",
        payload: "requestsAhead",
        ...NOWHERE,
        connections: 150,
        end: reset,
        guards: "requests sent ahead outlive their connection",
    },
    {
        port: "http",
        payload: "bodiesAhead",
        ...JOBS,
        connections: 150,
        end: halfClose,
        guards: "unread answers outlive a half-closed connection",
    },
    {
        port: "peers",
        payload: "silent",
        path: "",
        connections: 600,
        end: stay,
        guards: "silent peers keep all descriptors",
    },
    {
        port: "peers",
        payload: "partialFrame",
        path: "",
        connections: 60,
        end: stay,
        guards: "unfinished frames of unknown peers fill the memory",
    },
];

let folder: string;
let program: string;
let failed = false;
before(() => {
    folder = mkdtempSync(join(tmpdir(), "cactusrack-entry-crowds-"));
    program = join(folder, "main.cjs");
    buildEntryProgram(program);
});
after(() => {
    if (!failed) {
        rmSync(folder, { recursive: true, force: true });
    }
});

describe("an entry under a crowd that does not behave", () => {
    for (const [index, crowdCase] of cases.entries()) {
        const { connections, payload, port, path, end, guards } = crowdCase;
        it(`${connections} x ${payload} at ${port}${path}, ${end}: not that ${guards}`, async () => {
            failed = true;
            await checkCase(crowdCase, `case-${index}`);
            failed = false;
        });
    }
});

async function checkCase(crowdCase: CrowdCase<Port>, name: string): Promise<void> {
    const entry = await startEntryProcess(name);
    try {
        await checkCrowd(crowdCase, {
            ...entry,
            port: entry.ports[crowdCase.port],
            target: { host: HOST, path: crowdCase.path, maxBodyBytes: MAX_BODY_BYTES },
            maxMemoryMib: MEMORY_MIB,
            maxDescriptors: MAX_DESCRIPTORS,
        });
    }
    finally {
        await entry.close();
    }
}

interface StartedEntry extends Pick<ProcessUnderTest, "pid" | "isServing" | "getExit"> {
    readonly ports: Readonly<Record<Port, number>>;
    close(): Promise<void>;
}

async function startEntryProcess(name: string): Promise<StartedEntry> {
    const store = await startStoreStandIn({ clock: systemClock });
    const vmList = await startVmListStandIn({ clock: systemClock, lagMs: VM_LIST_LAG_MS });
    const settingsPath = join(folder, `${name}.json`);
    const settings = {
        memberName: name,
        cell: "crowds",
        failureDomain: "loopback",
        peers: { listen: { host: HOST, port: 0 }, secret: "a-secret-of-the-crowd-tests" },
        http: { listen: { host: HOST, port: 0 } },
        platform: { store: store.url, vmList: vmList.url },
        operators: [{ name: "crowds", tokenSha256: "0".repeat(64) }],
        limits: { maxBodyBytes: MAX_BODY_BYTES, maxConnections: MAX_CONNECTIONS },
    };
    writeFileSync(settingsPath, JSON.stringify(settings));
    const log = createWriteStream(join(folder, `${name}.log`));
    const child = spawn(
        process.execPath,
        [...ENTRY_ARGUMENTS, program, "entry", "--settings", settingsPath],
        { stdio: ["ignore", "pipe", "pipe"] },
    );
    child.stderr.pipe(log, { end: false });
    const ports = readPorts(child, line => log.write(`${line}\n`));
    let exit: string | undefined;
    child.once("exit", (code, signal) => exit = `code ${String(code)}, signal ${String(signal)}`);
    const { http, peers } = await ports;
    const isServing = async (): Promise<boolean> => {
        try {
            await waitFor(
                "a health check",
                async () => exit !== undefined || await requestStatus(http, HEALTH.path) === 200,
            );
            await waitFor(
                "an ordinary request",
                async () => exit !== undefined || await requestStatus(http, "/v1/jobs/unknown") === 401,
            );
            return exit === undefined;
        }
        catch {
            return false;
        }
    };
    assert.ok(await isServing(), "the entry does not serve before the crowd comes");
    return {
        pid: child.pid ?? 0,
        ports: { http, peers },
        isServing,
        getExit: () => exit,
        async close() {
            await endProcess(child);
            log.end();
            await Promise.all([store.close(), vmList.close()]);
        },
    };
}

function readPorts(
    child: ChildProcess,
    writeLine: (line: string) => void,
): Promise<Readonly<Record<Port, number>>> {
    return new Promise((resolve, reject) => {
        child.once("exit", () => reject(new Error(`the entry did not start; its log is in ${folder}`)));
        createInterface({ input: child.stdout as NodeJS.ReadableStream }).on("line", line => {
            writeLine(line);
            const { httpUrl, peerPort } = JSON.parse(line) as { httpUrl?: string; peerPort?: number; };
            if (httpUrl !== undefined && peerPort !== undefined) {
                resolve({ http: Number(new URL(httpUrl).port), peers: peerPort });
            }
        });
    });
}

/** Sends a request on a connection of its own. */
async function requestStatus(port: number, path: string): Promise<number> {
    const dispatcher = new Agent({ pipelining: 0 });
    try {
        const url = `http://${HOST}:${port}${path}`;
        const { statusCode, body } = await request(url, { dispatcher, headersTimeout: PATIENCE_MS });
        await body.dump();
        return statusCode;
    }
    finally {
        await dispatcher.destroy();
    }
}
