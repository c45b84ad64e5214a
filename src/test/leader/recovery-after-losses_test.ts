/** Service after workers were lost, with and without the nodes losing power as well. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { CrashCell } from "./crash-cell.js";
import { CORE, HOST, makeJobId, makeSpec, QUEUE, readJobNumber } from "./leader-cell.js";

const WORKERS = 32;
const DOWN_MS: Millis = 3_600;
const TICK_MS: Millis = 50;
/** When all nodes lose power. */
const NODES_LOST_AT: Millis = 30_000;
const NODES_DOWN_MS: Millis = 1_700;
/** Time after the last loss by which service has to be back. */
const RECOVERY_MS: Millis = 12_000;
/** Time over which the service is then measured. */
const MEASURED_MS: Millis = 4_000;
const FINISH_MS: Millis = 14_000;
/** Least share of jobs that are served while no worker is lost. */
const NEARLY_ALL = 0.9;
/** Least share of jobs that are served while jobs of their queue go on crashing workers. */
const A_QUARTER = 0.25;

/** A queue with the jobs that arrive on it. */
interface Traffic {
    readonly queue: QueueConfig;
    readonly everyMs: Millis;
    readonly runMs: Millis;
    readonly step: Partial<StepSpec>;
}

function makeQueue(name: string, change: Partial<QueueConfig>): QueueConfig {
    return { ...QUEUE, name, pathPrefix: `/${name}/`, ...change };
}

function makeDemand(cpuMillis: number): Resources {
    return { cpuMillis, memoryMib: 64, accelerators: 0 };
}

const SHORT: Traffic = {
    queue: makeQueue("short", { priority: 0, stretch: 1.5, targetMs: 250 }),
    everyMs: 50,
    runMs: 1_000,
    step: { taskCount: 2, demand: makeDemand(350) },
};
/** All traffic; together it needs three quarters of the workers. */
const TRAFFIC: readonly Traffic[] = [
    SHORT,
    {
        queue: makeQueue("wide", { priority: 2, stretch: 4, targetMs: 3_000 }),
        everyMs: 250,
        runMs: 3_400,
        step: { taskCount: 12, demand: makeDemand(250) },
    },
    {
        queue: makeQueue("large", { priority: 1, stretch: 2.2, targetMs: 1_000 }),
        everyMs: 800,
        runMs: 5_000,
        step: { taskCount: 6, demand: makeDemand(1_100), isGang: true },
    },
];

interface Case {
    readonly name: string;
    /** When half of the workers lose power at once. */
    readonly workersLostAt?: readonly Millis[];
    /** Whether the nodes lose power after that. */
    readonly areNodesLost?: boolean;
    /** Whether all workers lose power in the same moment. */
    readonly areWorkersLostToo?: boolean;
    /** Every how many of the jobs crash their workers, from when to when. */
    readonly crashing?: { readonly every: number; readonly from: Millis; readonly until: Millis; };
    readonly minServed: number;
}

const LOSSES: readonly Millis[] = [5_000, 11_000, 17_000, 23_000, 29_000];

const CASES: readonly Case[] = [
    {
        name: "half of the workers lost power several times",
        workersLostAt: LOSSES,
        minServed: NEARLY_ALL,
    },
    {
        name: "workers lost power several times, and then the nodes",
        workersLostAt: LOSSES,
        areNodesLost: true,
        minServed: NEARLY_ALL,
    },
    {
        name: "workers lost power several times, and then the nodes together with all workers",
        workersLostAt: LOSSES,
        areNodesLost: true,
        areWorkersLostToo: true,
        minServed: NEARLY_ALL,
    },
    {
        name: "a tenth of the jobs crashed workers until the nodes lost power",
        crashing: { every: 10, from: 26_000, until: NODES_LOST_AT },
        areNodesLost: true,
        minServed: NEARLY_ALL,
    },
    {
        name: "a third of the jobs crashed workers until the nodes and all workers lost power",
        crashing: { every: 3, from: 24_000, until: NODES_LOST_AT },
        areNodesLost: true,
        areWorkersLostToo: true,
        minServed: NEARLY_ALL,
    },
    {
        name: "the nodes lost power while a tenth of the jobs crash workers",
        crashing: { every: 10, from: 26_000, until: Infinity },
        areNodesLost: true,
        minServed: A_QUARTER,
    },
    {
        name: "a tenth of the jobs have begun to crash workers",
        crashing: { every: 10, from: 26_000, until: Infinity },
        minServed: A_QUARTER,
    },
];

const NO_CRASHES = { every: 1, from: Infinity, until: Infinity };

/** Plays a steady load and returns what became of those that arrive after the recovery time. */
class Play {
    private readonly crashCell: CrashCell;
    private readonly traffic = new Map<number, Traffic>();
    private readonly crashing = new Set<number>();
    private readonly accepted = new Set<number>();

    constructor(private readonly options: Case) {
        this.crashCell = new CrashCell({
            workers: WORKERS,
            downMs: DOWN_MS,
            isCrashing: task => this.crashing.has(readJobNumber(task)),
        });
        const { cell } = this.crashCell;
        cell.config = { ...cell.config, queues: TRAFFIC.map(({ queue }) => queue) };
        cell.getBehavior = task => {
            const { step, runMs } = this.traffic.get(readJobNumber(task)) ?? SHORT;
            return { demand: step.demand ?? CORE, runMs, end: "done" };
        };
    }

    async run(): Promise<{ readonly servedShare: number; readonly faults: readonly string[]; }> {
        const { crashCell, options } = this;
        const { cell } = crashCell;
        await crashCell.startLeader();
        await this.submitFor(NODES_LOST_AT, at => {
            if (options.workersLostAt?.includes(at) === true) {
                this.killWorkers(2);
            }
        });
        if (options.areNodesLost === true) {
            crashCell.leader.clock.kill();
            if (options.areWorkersLostToo === true) {
                this.killWorkers(1);
            }
            await cell.clock.step(NODES_DOWN_MS);
            await crashCell.startLeader();
        }
        await this.submitFor(RECOVERY_MS);
        const before = new Set(this.traffic.keys());
        await this.submitFor(MEASURED_MS);
        const measured = [...this.traffic.keys()].filter(job => !before.has(job) && !this.crashing.has(job));
        await cell.clock.step(FINISH_MS);
        const served = measured.filter(job => this.isServed(job));
        return { servedShare: served.length / measured.length, faults: cell.faults };
    }

    private async submitFor(
        duration: Millis,
        handleTick: (passed: Millis) => void = () => undefined,
    ): Promise<void> {
        for (let passed = 0; passed < duration; passed += TICK_MS) {
            handleTick(passed);
            TRAFFIC.filter(({ everyMs }) => passed % everyMs === 0).forEach(traffic => this.submit(traffic));
            await this.crashCell.cell.clock.step(TICK_MS);
        }
    }

    private submit(traffic: Traffic): void {
        const { cell, leader } = this.crashCell;
        const job = this.traffic.size + 1;
        this.traffic.set(job, traffic);
        const { every, from, until } = this.options.crashing ?? NO_CRASHES;
        const now = cell.clock.now();
        if (traffic === SHORT && now >= from && now < until && job % every === 0) {
            this.crashing.add(job);
        }
        const path = `${traffic.queue.pathPrefix}${makeJobId(job)}`;
        const spec = makeSpec({ estimateMs: traffic.runMs, ...traffic.step });
        void leader.leader.serve({ kind: "submit", host: HOST, path, spec })
            .then(({ kind }) => kind === "accepted" && this.accepted.add(job));
    }

    /** Kills every n-th worker. */
    private killWorkers(every: number): void {
        const { cell } = this.crashCell;
        [...cell.records.keys()]
            .filter((_, index) => index % every === 0)
            .forEach(workerId => this.crashCell.killWorker(workerId));
    }

    private isServed(job: number): boolean {
        return this.accepted.has(job) &&
            this.crashCell.leader.jobs.get(makeJobId(job))?.phase === "completed";
    }
}

describe("service is back within the recovery time", () => {
    for (const testCase of CASES) {
        it(`after ${testCase.name}`, async () => {
            const { servedShare, faults } = await new Play(testCase).run();
            assert.deepEqual(faults, []);
            assert.ok(servedShare >= testCase.minServed, `${servedShare.toFixed(2)} of the jobs were served`);
        });
    }
});
