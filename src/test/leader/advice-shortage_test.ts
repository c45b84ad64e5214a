/**
 * Overload of the advice service: more requests than the nodes can send.
 *
 * A preempted task of an accepted job was never started again, although most workers were empty: pending
 * requests were ordered by queue priority alone, sent long after they had been built, and kept from some of
 * the nodes. Such jobs log `stepWaiting` with `questionWaiting`, beside hundreds of `questions` in
 * `leaderState`.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock, Millis } from "../../common/clock.js";
import type { AdviceCaller } from "../../process/dispatch/advice-dispatcher.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { CallerReply } from "../../process/leader/requests.js";
import type { AdvicePolicy, QueueConfig } from "../../version/cluster-config.js";
import { HOST, LeaderCell, makeJobId, makeSpec, QUEUE, WORKER_CAPACITY } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const GANG_POLICY: AdvicePolicy = { decideMs: 590, perWorkerMs: 8, validMs: 2_500 };
const TASK_POLICY: AdvicePolicy = { decideMs: 117, perWorkerMs: 2, validMs: 2_500 };
const GANGS: QueueConfig = {
    ...QUEUE,
    name: "gangs",
    pathPrefix: "/gangs/",
    priority: 1,
    advice: GANG_POLICY,
};
const TASKS: QueueConfig = {
    ...QUEUE,
    name: "tasks",
    pathPrefix: "/tasks/",
    priority: 2,
    advice: TASK_POLICY,
};
const RUN_MS: Millis = 200;
const DRAIN_MS: Millis = 14_000;

/** A node that calls an advice service which answers one request at a time for each node. */
class SerialCaller implements AdviceCaller {
    private freeAt: Millis = 0;
    busyMs: Millis = 0;

    constructor(readonly nodeName: string, private readonly clock: Clock) {}

    async requestPermits(
        step: string,
        workerIds: readonly string[],
    ): ReturnType<AdviceCaller["requestPermits"]> {
        const policy = GANG_STEPS.has(step) ? GANG_POLICY : TASK_POLICY;
        const tookMs = policy.decideMs + policy.perWorkerMs * workerIds.length;
        this.freeAt = Math.max(this.freeAt, this.clock.now()) + tookMs;
        this.busyMs += tookMs;
        await new Promise<void>(resolve => void this.clock.schedule(this.freeAt - this.clock.now(), resolve));
        const permits = workerIds.map(workerId => ({ workerId, token: `${step}@${workerId}` }));
        return { kind: "done", permits };
    }
}

/** Names of the steps that are gangs. */
const GANG_STEPS = new Set<string>();

class ShortageFixture {
    readonly cell = new LeaderCell(6);
    readonly replies: CallerReply[] = [];
    callers: readonly SerialCaller[] = [];
    private leader: TestLeader | undefined;
    private jobs = 0;

    async start(nodes: number): Promise<void> {
        this.cell.config = { ...this.cell.config, queues: [GANGS, TASKS] };
        this.cell.getBehavior = () => ({
            demand: { cpuMillis: 500, memoryMib: 64, accelerators: 0 },
            runMs: RUN_MS,
            end: "done",
        });
        this.leader = await this.cell.startLeader();
        this.callers = Array.from(
            { length: nodes },
            (...[, index]) => new SerialCaller(`node-${index}`, this.cell.clock),
        );
        this.callers.forEach(caller => this.leader?.leader.addCaller(caller));
        await this.cell.clock.step(200);
    }

    submitGang(): number {
        GANG_STEPS.add(`${makeJobId(this.jobs + 1)}.0.0`);
        return this.submit("/gangs/", true);
    }

    submitTask(): number {
        return this.submit("/tasks/", false);
    }

    /** Submits a gang that needs the full capacity of every worker. */
    submitWideGang(): number {
        GANG_STEPS.add(`${makeJobId(this.jobs + 1)}.0.0`);
        return this.submit("/gangs/", true, {
            taskCount: 6,
            demand: WORKER_CAPACITY,
            estimateMs: WIDE_RUN_MS,
        });
    }

    /** Submits a task that may be preempted. */
    submitPreemptibleTask(): number {
        return this.submit("/tasks/", false, { savesCheckpoints: true, estimateMs: PREEMPTIBLE_RUN_MS });
    }

    /** Submits a wide gang while preemptible tasks arrive, from five seconds before it until some time after it. */
    async playWideGang(afterMs: Millis): Promise<number> {
        const wide = new Set<string>();
        this.cell.getBehavior = task => {
            const isWide = wide.has(task.split(".")[0] ?? "");
            return {
                demand: isWide ? WORKER_CAPACITY : { cpuMillis: 500, memoryMib: 64, accelerators: 0 },
                runMs: isWide ? WIDE_RUN_MS : PREEMPTIBLE_RUN_MS,
                end: "done",
            };
        };
        await this.submitTasks(5_000);
        const gang = this.submitWideGang();
        wide.add(makeJobId(gang));
        await this.submitTasks(afterMs);
        return gang;
    }

    countStarts(job: number): number {
        return this.cell.countStarts(job);
    }

    private async submitTasks(ms: Millis): Promise<void> {
        for (let at: Millis = 0; at < ms; at += 50) {
            this.submitPreemptibleTask();
            await this.cell.clock.step(50);
        }
    }

    private submit(prefix: string, isGang: boolean, change: Partial<StepSpec> = {}): number {
        this.jobs += 1;
        const path = `${prefix}${makeJobId(this.jobs)}`;
        const demand = { cpuMillis: 500, memoryMib: 64, accelerators: 0 };
        const spec = makeSpec({ taskCount: isGang ? 2 : 1, isGang, demand, estimateMs: RUN_MS, ...change });
        void this.leader?.leader.serve({ kind: "submit", host: HOST, path, spec })
            .then(reply => this.replies.push(reply));
        return this.jobs;
    }
}

const PREEMPTIBLE_RUN_MS: Millis = 1_500;
const WIDE_RUN_MS: Millis = 2_000;

describe("an overloaded advice service", () => {
    it("does not keep a task of the least urgent queue from starting on empty workers", async () => {
        // A task of an accepted job stalled for over a minute although most workers were empty: large gangs
        // of a more urgent queue arrived faster than their advice requests could be sent, and each went ahead
        // of the task's request.
        const shortage = new ShortageFixture();
        await shortage.start(2);
        const late: number[] = [];
        for (let tick = 0; tick < 60; tick++) {
            shortage.submitGang();
            shortage.submitGang();
            if (tick % 10 === 5) {
                late.push(shortage.submitTask());
            }
            await shortage.cell.clock.step(500);
        }
        assert.deepEqual(late.filter(job => shortage.countStarts(job) === 0), []);
    });

    it("recovers soon after the load: no request is sent for what cannot start", async () => {
        // Jobs arrived for 30 s faster than requests could be sent. 15 s after the last one most workers were
        // empty and jobs still waited: permits expired before there was capacity for their tasks, and were
        // requested again and again.
        const shortage = new ShortageFixture();
        await shortage.start(4);
        const jobs: number[] = [];
        for (let halfSecond = 0; halfSecond < 60; halfSecond++) {
            jobs.push(shortage.submitGang(), shortage.submitTask(), shortage.submitTask());
            await shortage.cell.clock.step(500);
        }
        await shortage.cell.clock.step(DRAIN_MS);
        assert.deepEqual(jobs.filter(job => shortage.countStarts(job) === 0), []);
    });

    it("leaves no nodes idle", async () => {
        // Only large jobs arrived, and each waited seconds for its request, while three of eight nodes sent
        // none at all: they were reserved for short requests, of which there were none.
        const shortage = new ShortageFixture();
        await shortage.start(8);
        const jobs: number[] = [];
        for (let round = 0; round < 100; round++) {
            jobs.push(shortage.submitGang());
            await shortage.cell.clock.step(100);
        }
        const idle = shortage.callers.filter(caller => caller.busyMs < 3_000).length;
        assert(idle <= 1, `${idle} of 8 nodes were idle for most of ten seconds`);
        await shortage.cell.clock.step(2_000);
        assert.deepEqual(jobs.filter(job => shortage.countStarts(job) === 0), []);
    });

    it("does not keep a gang from the capacity that preemption of less urgent tasks frees for it", async () => {
        // A gang of the more urgent queue needed all workers, where preemptible tasks of the other queue ran
        // and more of them kept arriving and fitting. Nothing is preempted before it is known which workers
        // may run the gang, and its request waited behind those of the tasks for as long as they arrived: the
        // gang never started.
        const shortage = new ShortageFixture();
        await shortage.start(2);
        const gang = await shortage.playWideGang(15_000);
        assert.notEqual(shortage.countStarts(gang), 0);
    });

    // Guards against capacity that is freed for a gang piece by piece and taken by others: runs were stopped ten times a
    // second, for as long as tasks arrived.
    it("starts a gang in time on the capacity that preemption frees for it", async () => {
        const shortage = new ShortageFixture();
        await shortage.start(2);
        const gang = await shortage.playWideGang(GANGS.stretch * WIDE_RUN_MS + GANGS.targetMs - WIDE_RUN_MS);
        assert.notEqual(shortage.countStarts(gang), 0);
    });
});
