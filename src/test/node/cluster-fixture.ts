/** Fixture: nodes with TCP links over loopback, on an in-memory store and worker. */
import { randomInt } from "node:crypto";
import { systemClock } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import { createRandom, makeUniqueId } from "../../common/random.js";
import { createTcpNetwork } from "../../connection/link-network.js";
import { ClusterNode } from "../../process/node/cluster-node.js";
import { ConfigHolder } from "../../process/node/config-holder.js";
import type { ConfigSource, WorkerSource } from "../../process/ports/cluster-sources.js";
import type { AdviceAnswer } from "../../process/ports/task-worker-port.js";
import { StoreModel, TaskWorkerModel } from "../../stand-ins/index.js";
import type { ClusterConfig } from "../../version/cluster-config.js";
import { CallPath } from "../fakes/call-path.js";
import { FakeStorePort } from "../fakes/fake-store-port.js";
import { FakeTaskWorkers } from "../fakes/fake-task-workers.js";
import { createFakeLog, createFakeMetrics } from "../fakes/fake-telemetry.js";
import type { FakeLog } from "../fakes/fake-telemetry.js";
import { PausableClock } from "../fakes/pausable-clock.js";
import {
    CORE,
    HOST,
    makeJobId,
    makeWorkerRecord,
    PREFIX,
    QUEUE,
    WORKER_CAPACITY,
} from "../leader/leader-cell.js";

export const CALL_MS: Millis = 8_000;
const MAX_LEASE_MS: Millis = 10_000;
const WORKER_ADDRESS = "10.0.0.1:80";

/** A node under test. */
export interface TestNode {
    readonly node: ClusterNode;
    readonly config: ConfigHolder;
    /** The node's own clock: while it is paused, no timers fire and the node sends nothing unprompted. */
    readonly clock: PausableClock;
    readonly storePath: CallPath;
    readonly log: FakeLog;
    /** Steps for which this node requested permits from the advice service. */
    readonly advisedSteps: string[];
}

/** A cluster of nodes that share a store and a worker. */
export class ClusterFixture {
    readonly store = new StoreModel(systemClock);
    readonly starts: string[] = [];
    private readonly nodes: TestNode[] = [];
    private readonly random = createRandom(5);
    private readonly model = new TaskWorkerModel({
        clock: systemClock,
        workerId: "w1",
        capacity: WORKER_CAPACITY,
        getBehavior: () => ({ demand: CORE, runMs: 50, end: "done" }),
        handleStart: task => this.starts.push(task),
    });

    /**
     * @param config - Configuration of nodes that are started without one of their own.
     */
    constructor(private readonly config: ClusterConfig = makeConfig(1)) {}

    /** Starts a node and opens its port. */
    async startNode(name: string, config: ClusterConfig = this.config, cores = 1): Promise<TestNode> {
        const clock = new PausableClock(systemClock);
        const storePath = this.createPath(clock);
        const log = createFakeLog(true);
        const holder = new ConfigHolder(log);
        const advisedSteps: string[] = [];
        const node = new ClusterNode({
            name,
            host: "127.0.0.1",
            network: createTcpNetwork(clock),
            port: 0,
            clock,
            log,
            metrics: createFakeMetrics(),
            random: this.random,
            incarnation: makeUniqueId(createRandom(randomInt(2 ** 31))),
            storePort: new FakeStorePort(this.store, storePath),
            config: holder,
            configSource: buildConfigSource(config),
            workerSource: buildWorkerSource(),
            workerPort: new FakeTaskWorkers(() => this.model, () => this.createPath(clock)),
            advicePort: {
                requestPermits(step): Promise<AdviceAnswer> {
                    advisedSteps.push(step);
                    return Promise.resolve({ kind: "done", permits: [{ workerId: "w1", token: "permit" }] });
                },
            },
            maxLeaseMs: MAX_LEASE_MS,
            stopMs: 400,
            cores,
        });
        await node.open();
        const started = { node, config: holder, clock, storePath, log, advisedSteps };
        this.nodes.push(started);
        return started;
    }

    /** Closes all nodes that are still open. */
    async close(): Promise<void> {
        await Promise.all(this.nodes.map(({ node }) => node.startDraining()));
        this.nodes.forEach(({ node }) => node.close());
    }

    private createPath(clock: PausableClock): CallPath {
        return new CallPath(systemClock, clock, { latencyMs: 1, random: this.random });
    }
}

/** Builds a configuration with the default queue. */
export function makeConfig(version: number, change: Partial<ClusterConfig> = {}): ClusterConfig {
    return {
        version,
        queues: [QUEUE],
        pools: [{ name: "pool", checksAdmission: false, maxConnections: 64 }],
        maxBodyBytes: 262_144,
        ...change,
    };
}

/** Returns the address of the n-th job. */
export function makeAddress(number: number): { host: string; path: string; } {
    return { host: HOST, path: `${PREFIX}${makeJobId(number)}` };
}

function buildConfigSource(config: ClusterConfig): ConfigSource {
    return {
        follow(accept) {
            accept(config);
            return { stop: () => undefined, confirm: () => Promise.resolve(true) };
        },
    };
}

function buildWorkerSource(): WorkerSource {
    return {
        follow(accept) {
            const record = makeWorkerRecord("w1", { address: WORKER_ADDRESS });
            accept(new Map([[record.workerId, record]]));
            return { stop: () => undefined };
        },
    };
}
