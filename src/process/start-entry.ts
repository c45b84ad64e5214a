/** Starts an entry with its real ports: the sockets of the running system around {@link createEntry}. */
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

/** What an entry is started with. */
export interface StartEntryOptions {
    readonly settings: EntrySettings;
    /** Unique for this life of the process: see {@link makeMemberId}. */
    readonly memberId: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** An entry that serves. */
export interface RunningEntry {
    readonly entry: Entry;
    /** Its addresses as others know them. */
    readonly self: Member;
    /** Leaves in order: no request in flight is cut off within the settings' shutdown time. */
    leave(): Promise<void>;
}

/** Share of the shutdown time that the entry's roles get; the rest is for the last answers. */
const LEAVE_SHARE = 0.6;
/** Time for the balancer to see that the readiness check fails, and its part of the shutdown time at most. */
const BALANCER_NOTICE_MS: Millis = 2_000;
const BALANCER_NOTICE_SHARE = 0.25;
const SEED_BOUND = 2 ** 31;

/** Creates a random source with a seed that nobody can foresee. */
export function createProcessRandom(): Random {
    return createRandom(randomInt(SEED_BOUND));
}

/**
 * Makes the id of one life of an entry.
 * @param name - Name of the entry in its settings.
 * @param random - Random source of the process.
 */
export function makeMemberId(name: string, random: Random): string {
    return `${name}-${makeUniqueId(random)}`;
}

/**
 * Starts an entry.
 * @param options - Settings and tools.
 * @returns The entry, serving; rejects if a port cannot be had.
 */
export async function startEntry(options: StartEntryOptions): Promise<RunningEntry> {
    const { settings, memberId, clock, random, log, metrics } = options;
    const tools = { clock, random, log, metrics };
    const { listen, advertise, secret } = settings.peers;
    const peers = await createPeerMesh({ ...tools, ...listen, memberId, cell: settings.cell, secret });
    // The address is known once the server listens, and the server needs the entry: it is filled in before start.
    const self = {
        memberId,
        host: advertise?.host ?? listen.host,
        peerPort: advertise?.port ?? peers.port,
        httpUrl: "",
        failureDomain: settings.failureDomain,
    };
    const ports = buildPlatformPorts(settings, clock);
    const entry = createEntry({
        ...tools,
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

function buildPlatformPorts(settings: EntrySettings, clock: Clock) {
    return {
        store: new HttpStorePort({ url: settings.platform.store, clock }),
        vmList: new HttpVmListPort(settings.platform.vmList, clock),
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

/** Counts calls under way, so that a shutdown waits for their answers. */
function trackCalls(entry: Entry): CallerGateway {
    const { callers } = entry;
    async function track<Result>(call: Promise<Result>): Promise<Result> {
        const end = entry.track();
        return await call.finally(end);
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
    // The balancer notices the failed readiness check only at its next look. What it sends until then is still taken:
    // closing at once shows as connections that break under requests that were never read.
    await sleep(clock, Math.min(BALANCER_NOTICE_MS, settings.shutdownMs * BALANCER_NOTICE_SHARE));
    await entry.leave();
    await http.close(settings.shutdownMs * (1 - LEAVE_SHARE - BALANCER_NOTICE_SHARE));
    await Promise.all([ports.store.close(), ports.vmList.close(), ports.workers.close()]);
}
