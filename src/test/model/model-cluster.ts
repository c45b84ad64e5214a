/** A model of nodes on VMs over one store, in fake time, in which work takes processor time and bandwidth. */
import type { Millis } from "../../common/clock.js";
import { createRandom, makeUniqueId } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import { ClusterNode } from "../../process/node/cluster-node.js";
import { ConfigHolder } from "../../process/node/config-holder.js";
import { StoreModel } from "../../stand-ins/index.js";
import type { ClusterConfig, QueueConfig } from "../../version/cluster-config.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { FakeStorePort } from "../fakes/fake-store-port.js";
import { FakeTaskWorkers } from "../fakes/fake-task-workers.js";
import { createFakeLog, createFakeMetrics } from "../fakes/fake-telemetry.js";
import type { FakeLog } from "../fakes/fake-telemetry.js";
import { HOST, makeJobId, makeSpec, PREFIX, QUEUE } from "../leader/leader-cell.js";
import { ModelNetwork } from "./model-network.js";
import { ModelStorePath } from "./model-store-path.js";
import { ModelVm } from "./model-vm.js";
import type { VmSize } from "./model-vm.js";

const PORT = 7_720;
const MAX_LEASE_MS: Millis = 10_000;
const CALLER_TIMEOUT_MS: Millis = 3_000;

const CONFIG: ClusterConfig = {
    version: 1,
    queues: [QUEUE],
    pools: [{ name: "pool", checksAdmission: false, maxConnections: 64 }],
    maxBodyBytes: 262_144,
};

/** A node of the model and its VM. */
export interface ModelNode {
    readonly name: string;
    readonly vm: ModelVm;
    readonly node: ClusterNode;
    readonly log: FakeLog;
    /** Delivers a configuration to the node as its watch does. */
    readonly deliverConfig: (config: ClusterConfig) => void;
}

/** Starts nodes on modeled VMs and puts them under load. */
export class ModelCluster {
    readonly clock = new FakeClock();
    readonly nodes: ModelNode[] = [];
    private readonly store = new StoreModel(this.clock);
    private readonly network = new ModelNetwork();
    private readonly random: Random;
    private jobs = 0;

    /** @param seed - Seed of all random numbers. */
    constructor(seed: number) {
        this.random = createRandom(seed);
    }

    /** Starts a node on a VM of the given size. */
    async startNode(size: VmSize): Promise<void> {
        const number = this.nodes.length + 1;
        const vm = new ModelVm(this.clock, size);
        const log = createFakeLog(true);
        let accept: ModelNode["deliverConfig"] = () => undefined;
        const node = new ClusterNode({
            name: `node-${number}`,
            host: `10.0.0.${number}`,
            port: PORT,
            network: this.network.buildView(vm),
            clock: vm,
            log,
            metrics: createFakeMetrics(),
            random: this.random,
            incarnation: makeUniqueId(this.random),
            storePort: new FakeStorePort(this.store, new ModelStorePath(this.clock, vm)),
            config: new ConfigHolder(log),
            configSource: {
                follow: handle => {
                    accept = handle;
                    accept(CONFIG);
                    return { stop: () => undefined, confirm: () => Promise.resolve(true) };
                },
            },
            workerSource: {
                follow: accept => {
                    accept(new Map());
                    return { stop: () => undefined };
                },
            },
            workerPort: new FakeTaskWorkers(() => undefined, () => {
                throw new Error("the model has no workers");
            }),
            advicePort: { requestPermits: () => Promise.resolve({ kind: "busy" }) },
            maxLeaseMs: MAX_LEASE_MS,
            stopMs: 400,
            cores: size.cores,
        });
        this.nodes.push({ name: `node-${number}`, vm, node, log, deliverConfig: config => accept(config) });
        await this.clock.wait(node.open(), CALLER_TIMEOUT_MS);
    }

    /** Returns the nodes that lead and have loaded the journal, in the order of their epochs. */
    listLeaders(): readonly ModelNode[] {
        return this.nodes
            .filter(({ node, vm }) => vm.isPoweredOn() && isLeading(node))
            .sort((left, right) => getEpoch(left.node) - getEpoch(right.node));
    }

    /** Returns the leading node with the highest epoch; undefined if none leads. */
    getLeader(): ModelNode | undefined {
        return this.listLeaders().at(-1);
    }

    /**
     * Submits a job to a random node and cancels it, so that records are written while the state stays small.
     * @param payload - Payload of the job, which determines the size of its record.
     */
    submitAndCancel(payload: string): void {
        this.jobs += 1;
        const address = { host: HOST, path: `${PREFIX}${makeJobId(this.jobs)}` };
        const running = this.nodes.filter(({ vm }) => vm.isPoweredOn());
        const entry = running[this.random.pickInt(running.length)];
        const spec = { ...makeSpec({}), payload };
        void entry?.node.serve({ kind: "submit", ...address, spec }, CALLER_TIMEOUT_MS)
            .then(() => entry.node.serve({ kind: "cancel", ...address }, CALLER_TIMEOUT_MS));
    }

    /**
     * Delivers a large configuration to all nodes, to the leader later than to the others.
     * @param queueCount - Number of queues added to the configuration.
     * @param leaderDelayMs - Delay of the delivery to the leader.
     */
    publishConfig(queueCount: number, leaderDelayMs: Millis): void {
        const added = Array.from({ length: queueCount }, (_, index): QueueConfig => ({
            ...QUEUE,
            name: `queue-${index}`,
            pathPrefix: `/queue-${index}/`,
        }));
        const config = { ...CONFIG, version: 2, queues: [...CONFIG.queues, ...added] };
        const leader = this.getLeader();
        this.nodes.filter(node => node !== leader).forEach(({ deliverConfig }) => deliverConfig(config));
        this.clock.schedule(leaderDelayMs, () => leader?.deliverConfig(config));
    }

    /** Counts the log lines of an event over all nodes. */
    countLines(event: string): number {
        return this.nodes.reduce(
            (sum, { log }) => sum + log.lines.filter(line => line.event === event).length,
            0,
        );
    }

    /** Closes all nodes. */
    close(): void {
        this.nodes.forEach(({ node }) => node.close());
    }
}

function isLeading(node: ClusterNode): boolean {
    const status = node.buildStatus();
    return status.leadsEpoch !== undefined && !status.isLoading;
}

function getEpoch(node: ClusterNode): number {
    return node.buildStatus().leadsEpoch ?? 0;
}
