/** Starts an entry with its real ports: peer mesh, HTTP server and platform clients. */
import { randomInt } from "node:crypto";
import { type Clock, type Millis, sleep } from "../common/clock.js";
import { createRandom, makeUniqueId, type Random } from "../common/random.js";
import { HttpServer, type HttpServerOptions } from "../connection/http/index.js";
import { createPeerMesh } from "../connection/index.js";
import type { EntrySettings } from "./entry-settings/index.js";
import { createEntry, type Entry } from "./entry.js";
import { HttpStorePort, HttpVmListPort, HttpWorkerPort } from "./platform/index.js";
import type { CallerGateway, Member } from "./roles.js";
import type { Log, Metrics } from "./telemetry.js";

/** Options of {@link startEntry}. */
export interface StartEntryOptions {
    readonly settings: EntrySettings;
    /** Unique per incarnation of the process; see {@link makeMemberId}. */
    readonly memberId: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** An entry that is serving requests. */
export interface RunningEntry {
    readonly entry: Entry;
    /** Its identity and addresses, as other members see them. */
    readonly self: Member;
    /** Shuts down gracefully: requests in flight may finish within the shutdown time of the settings. */
    leave(): Promise<void>;
}

/** Share of the shutdown time for the entry's roles; the rest is for sending the last answers. */
const LEAVE_SHARE = 0.6;
/** Time for the balancer to see the readiness probe fail, limited to a share of the shutdown time. */
const BALANCER_NOTICE_MS: Millis = 2_000;
const BALANCER_NOTICE_SHARE = 0.25;
const SEED_BOUND = 2 ** 31;

/** Creates a random source with an unpredictable seed. */
export function createProcessRandom(): Random {
    return createRandom(randomInt(SEED_BOUND));
}

/**
 * Makes the member id of one incarnation of an entry.
 * @param name - Name of the entry in its settings.
 */
export function makeMemberId(name: string, random: Random): string {
    return `${name}-${makeUniqueId(random)}`;
}

/**
 * Starts an entry.
 * @returns The entry, serving requests; rejects if a port cannot be bound.
 */
export async function startEntry(options: StartEntryOptions): Promise<RunningEntry> {
    const { settings, memberId, clock, random, log, metrics } = options;
    const runtime = { clock, random, log, metrics };
    const { listen, advertise, secret } = settings.peers;
    const peers = await createPeerMesh({ ...runtime, ...listen, memberId, cell: settings.cell, secret });
    // The HTTP server needs the entry, and its port is known only once it listens: `httpUrl` is set before
    // the start.
    const self = {
        memberId,
        host: advertise?.host ?? listen.host,
        peerPort: advertise?.port ?? peers.port,
        httpUrl: "",
        failureDomain: settings.failureDomain,
    };
    const ports = buildPlatformPorts(settings, clock, log);
    const entry = createEntry({
        ...runtime,
        ...ports,
        self,
        peers,
        shutdownMs: settings.shutdownMs * LEAVE_SHARE,
    });
    const http = new HttpServer(buildHttpOptions(options, entry));
    await http.open();
    self.httpUrl = buildHttpUrl(settings, http.port);
    entry.start();
    return { entry, self, leave: () => leave(options, entry, http, ports) };
}

function buildPlatformPorts(settings: EntrySettings, clock: Clock, log: Log) {
    return {
        store: new HttpStorePort({ url: settings.platform.store, clock }),
        vmList: new HttpVmListPort(settings.platform.vmList, clock, log),
        workers: new HttpWorkerPort({ clock }),
    };
}

function buildHttpOptions(options: StartEntryOptions, entry: Entry): HttpServerOptions {
    const { settings, clock, random, log, metrics } = options;
    return {
        ...settings.http.listen,
        clock,
        random,
        log,
        metrics,
        limits: settings.limits,
        operatorTokens: settings.operators.map(({ name, tokenSha256 }) => ({ name, sha256: tokenSha256 })),
        callers: trackCalls(entry),
        operators: entry.operators,
        settings: entry.settings,
    };
}

function buildHttpUrl({ http }: EntrySettings, port: number): string {
    const { host, port: advertised } = http.advertise ?? { host: http.listen.host, port: undefined };
    return `http://${host.includes(":") ? `[${host}]` : host}:${advertised ?? port}`;
}

/** Counts the calls in flight, so that a shutdown waits for their answers. */
function trackCalls(entry: Entry): CallerGateway {
    const { callers } = entry;
    async function track<Result>(call: Promise<Result>): Promise<Result> {
        const endTracking = entry.track();
        return await call.finally(endTracking);
    }
    return {
        findRefusal: () => callers.findRefusal(),
        makeJobId: (caller, spec) => callers.makeJobId(caller, spec),
        runService: request => track(callers.runService(request)),
        callHome: (jobId, request, timeoutMs) => track(callers.callHome(jobId, request, timeoutMs)),
    };
}

async function leave(
    { settings, clock }: StartEntryOptions,
    entry: Entry,
    http: HttpServer,
    ports: ReturnType<typeof buildPlatformPorts>,
): Promise<void> {
    http.startDraining();
    // The balancer sees the failing readiness probe only when it probes next, and sends requests until then.
    // They are still accepted: closing now would break connections whose requests had not been read.
    await sleep(clock, Math.min(BALANCER_NOTICE_MS, settings.shutdownMs * BALANCER_NOTICE_SHARE));
    await entry.leave();
    await http.close(settings.shutdownMs * (1 - LEAVE_SHARE - BALANCER_NOTICE_SHARE));
    await Promise.all([ports.store.close(), ports.vmList.close(), ports.workers.close()]);
}
