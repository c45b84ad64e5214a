/** Sets up a soak run: the platform's stand-ins, proxies in front of them, and the node processes. */
import { mkdirSync, readdirSync, readFileSync } from "node:fs";
import { Agent } from "undici";
import { CallerClient } from "../../platform/stand-ins/caller-client.js";
import {
    STAND_IN_KEYS,
    STAND_IN_QUEUES,
    StandInPlatform,
} from "../../platform/stand-ins/stand-in-platform.js";
import type { StandInWorker } from "../../platform/stand-ins/stand-in-platform.js";
import { sleep, systemClock } from "../../src/common/clock.js";
import { createRandom } from "../../src/common/random.js";
import type { JobClient } from "./callers.js";
import { REVOCATION_MS, SoakChecker } from "./checker.js";
import { JobSource, WORKER_CAPACITY } from "./job-source.js";
import type { SendProbe } from "./key-prober.js";
import { NodeProcess } from "./node-process.js";
import type { SoakFixture, SoakNode, SoakWorker } from "./soak-run.js";
import { TcpProxy } from "./tcp-proxy.js";

export interface FixtureOptions {
    readonly seed: number;
    readonly nodes: number;
    readonly workers: number;
    /** Folder for settings files and logs. */
    readonly folder: string;
    /** Path of the node program. */
    readonly program: string;
    /** Program of nodes with even numbers, such as an earlier build; defaults to `program`. */
    readonly otherProgram?: string;
    /** Whether workers start again under the name that they had; false if omitted. */
    readonly keepsWorkerNames?: boolean;
}

/** A running fixture; its owner must close it. */
export interface OpenFixture extends SoakFixture {
    /** Lists the logs and records of the nodes that contain a key. */
    listLeaks(): readonly string[];
    close(): Promise<void>;
}

const CALLER_SEED_OFFSET = 2_000_003;
const PLATFORM_SEED_OFFSET = 3_000_017;
const PROBED_JOB_ID = "ffffffffffffffff";
const START_TIMEOUT_MS = 30_000;
const START_POLL_INTERVAL_MS = 50;

/** Starts all parts and waits until every node accepts callers. */
export async function openFixture(options: FixtureOptions): Promise<OpenFixture> {
    mkdirSync(options.folder, { recursive: true });
    // Separate random streams: the jobs must not depend on when callers and workers draw random numbers.
    const jobs = new JobSource(createRandom(options.seed));
    const random = createRandom(options.seed + CALLER_SEED_OFFSET);
    const checker = new SoakChecker(systemClock, jobs);
    const platform = await StandInPlatform.open({
        clock: systemClock,
        random: createRandom(options.seed + PLATFORM_SEED_OFFSET),
        workers: options.workers,
        capacity: WORKER_CAPACITY,
        getBehavior: task => jobs.getBehavior(task),
        observer: checker,
        keepsWorkerNames: options.keepsWorkerNames,
    });
    const workers = await Promise.all(platform.workers.map(openWorker));
    const nodes = await Promise.all(
        Array.from({ length: options.nodes }, (...[, index]) => openNode(options, platform, index + 1)),
    );
    const agent = new Agent();
    await waitForNodes(nodes);
    return {
        nodes,
        workers,
        services: platform,
        client: createJobClient(agent),
        sendProbe: createProbe(agent),
        listLeaks: () => listLeaks(platform, options.folder),
        jobs,
        checker,
        random,
        async close() {
            await agent.destroy();
            await Promise.all(nodes.map(({ process }) => process.close()));
            [...nodes.flatMap(node => [node.storePath, node.advicePath]), ...workers.map(({ path }) => path)]
                .forEach(path => path.close());
            await platform.close();
        },
    };
}

async function openWorker(worker: StandInWorker): Promise<SoakWorker> {
    const path = await TcpProxy.open(worker.address);
    worker.register(path.address);
    return {
        path,
        replaceIncarnation: () => worker.replaceIncarnation(),
        setDraining: isDraining => worker.setDraining(isDraining),
    };
}

async function openNode(
    { folder, program, otherProgram = program }: FixtureOptions,
    platform: StandInPlatform,
    number: number,
): Promise<SoakNode> {
    const name = `node-${number}`;
    const storePath = await TcpProxy.open(platform.storeAddress);
    const advicePath = await TcpProxy.open(platform.adviceAddress);
    const settingsPath = `${folder}/${name}.json`;
    platform.writeNodeSettings(settingsPath, {
        nodeName: name,
        storeAddress: storePath.address,
        adviceAddress: advicePath.address,
        revocationMs: REVOCATION_MS,
    });
    const process = new NodeProcess({
        name,
        program: number % 2 === 0 ? otherProgram : program,
        environment: { CACTUSRACK_NODE_FILE: settingsPath },
        logPath: `${folder}/${name}.log`,
    });
    return { process, storePath, advicePath };
}

async function waitForNodes(nodes: readonly SoakNode[]): Promise<void> {
    const begin = systemClock.now();
    while (nodes.some(({ process }) => process.getCallerAddress() === undefined)) {
        if (systemClock.now() - begin > START_TIMEOUT_MS) {
            throw new Error("a node did not accept callers within 30 s; see its log in the run's folder");
        }
        await sleep(systemClock, START_POLL_INTERVAL_MS);
    }
}

/** Creates a client that sends odd-numbered jobs to the queue that needs permits and the rest to the open queue. */
function createJobClient(agent: Agent): JobClient {
    const { host, open, advised } = STAND_IN_QUEUES;
    const openQueue = new CallerClient(agent, host, open, STAND_IN_KEYS.permanent);
    const advisedQueue = new CallerClient(agent, host, advised, STAND_IN_KEYS.permanent);
    const choose = (jobId: string): CallerClient =>
        Number.parseInt(jobId, 16) % 2 === 0 ? openQueue : advisedQueue;
    return {
        submit: (address, job) => choose(job.id).submit(address, job),
        show: (address, jobId) => choose(jobId).show(address, jobId),
        cancel: (address, jobId) => choose(jobId).cancel(address, jobId),
    };
}

/** Creates a sender of requests for jobs that do not exist. */
function createProbe(agent: Agent): SendProbe {
    const { host, open } = STAND_IN_QUEUES;
    const clients = {
        revocable: new CallerClient(agent, host, open, STAND_IN_KEYS.revocable),
        unknown: new CallerClient(agent, host, open, STAND_IN_KEYS.unknown),
    };
    return async (address, key) => await clients[key].show(address, PROBED_JOB_ID) !== undefined;
}

/** The operator's own records, which hold the keys, are left out. */
function listLeaks(platform: StandInPlatform, folder: string): readonly string[] {
    const logs = readdirSync(folder)
        .filter(name => name.endsWith(".log"))
        .map(name => ({ place: name, text: readFileSync(`${folder}/${name}`, "utf8") }));
    const records = platform.listSystemRecords().map(({ key, value }) => ({ place: key, text: value }));
    return [...logs, ...records]
        .filter(({ text }) => Object.values(STAND_IN_KEYS).some(key => text.includes(key)))
        .map(({ place }) => place);
}
