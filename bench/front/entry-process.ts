/** A process with one entry, as the program runs it, for the front bench. */
import { openSync } from "node:fs";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { systemClock } from "../../src/common/clock.js";
import { createRandom } from "../../src/common/random.js";
import { HttpServer } from "../../src/connection/http/index.js";
import { createPeerMesh } from "../../src/connection/index.js";
import { createEntry } from "../../src/process/entry.js";
import { HttpStorePort, HttpVmListPort, HttpWorkerPort } from "../../src/process/platform/index.js";
import {
    createDescriptorOutput,
    createPinoLog,
    createSilentLog,
    createSilentMetrics,
    createStatsMetrics,
} from "../../src/process/sinks/index.js";
import type { EntryArguments, EntryReady, UsageReply } from "./messages.js";

const HOST = "127.0.0.1";
const US_PER_MS = 1_000;
const NS_PER_MS = 1_000_000;

const settings: EntryArguments = JSON.parse(process.argv[2] ?? "{}");
const clock = systemClock;
const random = createRandom(process.pid);
const memberId = `bench-${process.pid}`;
const log = settings.telemetry ?
    createPinoLog({
        level: "info",
        memberId,
        clock,
        output: createDescriptorOutput(openSync("/dev/null", "w"), clock),
    }) :
    createSilentLog();
const metrics = settings.telemetry ?
    createStatsMetrics({ host: HOST, port: settings.metricsPort }) :
    createSilentMetrics();
const peers = await createPeerMesh({
    memberId,
    cell: "bench",
    secret: "secret of the bench",
    host: HOST,
    port: 0,
    clock,
    random,
    log,
    metrics,
});
const entry = createEntry({
    self: {
        memberId,
        host: HOST,
        peerPort: peers.port,
        httpUrl: "http://bench",
        failureDomain: "sala-verona",
    },
    clock,
    random,
    log,
    metrics,
    store: new HttpStorePort({ url: settings.storeUrl, clock }),
    peers,
    workers: new HttpWorkerPort({ clock }),
    vmList: new HttpVmListPort(settings.vmListUrl, clock, log),
    shutdownMs: 1_000,
});
const server = new HttpServer({
    host: HOST,
    port: 0,
    clock,
    random,
    log,
    metrics,
    callers: entry.callers,
    operators: entry.operators,
    settings: entry.settings,
    operatorTokens: [{ name: "bench", sha256: settings.operatorTokenHash }],
});
entry.start();
await server.open();
const ready: EntryReady = { httpUrl: `http://${HOST}:${server.port}` };
process.send?.(ready);
const loopDelay = monitorEventLoopDelay({ resolution: 1 });
loopDelay.enable();
process.on("message", () => {
    const { user, system } = process.cpuUsage();
    const reply: UsageReply = {
        cpuMs: (user + system) / US_PER_MS,
        rssBytes: process.memoryUsage().rss,
        loopP99Ms: loopDelay.percentile(99) / NS_PER_MS,
    };
    loopDelay.reset();
    process.send?.(reply);
});
process.on("disconnect", () => process.exit(0));
