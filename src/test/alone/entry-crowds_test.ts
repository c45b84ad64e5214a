/** Clients that do not behave, against one entry as a real process. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { buildEntryProgram } from "../../../bench/faults/entry-child.js";
import { systemClock } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import { startStoreStandIn, startVmListStandIn } from "../../stand-ins/index.js";
import { checkCrowd, installCrowdTests } from "./crowd-check.js";
import type { CrowdCase } from "./crowd-check.js";
import { ClientEnd } from "./crowd-order.js";
import { requestStatus, startSubject } from "./crowd-subject.js";
import type { Subject } from "./crowd-subject.js";
import { HOST } from "./crowd.js";

/** Memory of the VM; the heap has the same share of it as on the users' VMs. */
const MEMORY_MIB = 210;
const ENTRY_ARGUMENTS = ["--max-old-space-size=200"];
const MAX_BODY_BYTES = 262_144;
const MAX_CONNECTIONS = 200;
/** Connections of callers and operators, and as many for everything else. */
const MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS;
const VM_LIST_LAG_MS: Millis = 1_000;

interface Ports {
    readonly http: number;
    readonly peers: number;
}

const HEALTH = { path: "/healthz" };
const NOWHERE = { path: "/nowhere" };
const JOBS = { path: "/v1/jobs" };
const { stay, reset, halfClose } = ClientEnd;

const cases: readonly CrowdCase<keyof Ports>[] = [
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

installCrowdTests({
    name: "an entry under a crowd that does not behave",
    cases,
    buildProgram: buildEntryProgram,
    async checkCase(crowd, program, folder, name) {
        const entry = await startEntryProcess(program, folder, name);
        try {
            await checkCrowd(crowd, {
                ...entry,
                port: entry.ports[crowd.port],
                target: { host: HOST, path: crowd.path, maxBodyBytes: MAX_BODY_BYTES },
                maxMemoryMib: MEMORY_MIB,
                maxDescriptors: MAX_DESCRIPTORS,
            });
        }
        finally {
            await entry.close();
        }
    },
});

async function startEntryProcess(program: string, folder: string, name: string): Promise<Subject<Ports>> {
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
    const entry = await startSubject<Ports>({
        commandLine: [...ENTRY_ARGUMENTS, program, "entry", "--settings", settingsPath],
        environment: {},
        logPath: join(folder, `${name}.log`),
        parsePorts,
        buildRequests: ({ http }) => ({
            "a health check": async () => await requestStatus(http, HEALTH.path) === 200,
            "an ordinary request": async () => await requestStatus(http, "/v1/jobs/unknown") === 401,
        }),
    });
    return {
        ...entry,
        async close() {
            await entry.close();
            await Promise.all([store.close(), vmList.close()]);
        },
    };
}

function parsePorts(line: string): Ports | undefined {
    const { httpUrl, peerPort } = JSON.parse(line) as { httpUrl?: string; peerPort?: number; };
    return httpUrl === undefined || peerPort === undefined ?
        undefined :
        { http: Number(new URL(httpUrl).port), peers: peerPort };
}
