/**
 * More questions to the advice service than its nodes can put: what waits then, and for how long.
 *
 * An accepted job had one task stopped for a more urgent one. The other tasks of its step were done; this one stood still to the
 * end of the day, with most of the workers empty. Cause: questions stood in a line ordered by their queue's priority alone, were
 * sent long after they had been composed, and a part of the nodes was kept from them. Evidence: such jobs show `stepWaiting` with
 * `questionWaiting`, beside hundreds of `questions` in `leaderState`.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock, Millis } from "../../common/clock.js";
import type { AdviceCaller } from "../../process/dispatch/advice-desk.js";
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

/** A node's place in the waiting line of the service, which serves one question at a time for each node. */
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

/** Steps of gangs, by name. */
const GANG_STEPS = new Set<string>();

class Shortage {
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

    /** Submits a gang that needs all workers whole. */
    submitWideGang(): number {
        GANG_STEPS.add(`${makeJobId(this.jobs + 1)}.0.0`);
        return this.submit("/gangs/", true, {
            taskCount: 6,
            demand: WORKER_CAPACITY,
            estimateMs: WIDE_RUN_MS,
        });
    }

    /** Submits a task that may be stopped. */
    submitYieldingTask(): number {
        return this.submit("/tasks/", false, { savesCheckpoints: true, estimateMs: YIELDING_RUN_MS });
    }

    countStarts(job: number): number {
        return this.cell.countStarts(job);
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

const YIELDING_RUN_MS: Millis = 1_500;
const WIDE_RUN_MS: Millis = 2_000;

describe("a shortage of answers from the advice service", () => {
    it("does not keep a task of the last queue from starting beside empty workers", async () => {
        // A caller's job was accepted and one of its tasks stood still for over a minute, though most of the workers were
        // empty. Large gangs of the queue before it came faster than their questions to the advice service could be put, and
        // each of those went ahead of the task's question, which stood in line for as long as gangs came.
        const shortage = new Shortage();
        await shortage.start(2);
        const late: number[] = [];
        for (let half = 0; half < 60; half++) {
            shortage.submitGang();
            shortage.submitGang();
            if (half % 10 === 5) {
                late.push(shortage.submitTask());
            }
            await shortage.cell.clock.step(500);
        }
        assert.deepEqual(late.filter(job => shortage.countStarts(job) === 0), []);
    });

    it("ends soon after the load: no question is put for what cannot start", async () => {
        // Jobs came for half a minute faster than questions could be put. A quarter of a minute after the last one most of
        // the workers were empty and jobs still stood in line: permits ran out before their tasks had room, and were asked
        // for again and again.
        const shortage = new Shortage();
        await shortage.start(4);
        const jobs: number[] = [];
        for (let half = 0; half < 60; half++) {
            jobs.push(shortage.submitGang(), shortage.submitTask(), shortage.submitTask());
            await shortage.cell.clock.step(500);
        }
        await shortage.cell.clock.step(DRAIN_MS);
        assert.deepEqual(jobs.filter(job => shortage.countStarts(job) === 0), []);
    });

    it("is not made by nodes that stand idle", async () => {
        // Only large jobs came, and each waited seconds for its question, while three of eight nodes put none at all: they
        // were kept for short questions, of which there were none.
        const shortage = new Shortage();
        await shortage.start(8);
        const jobs: number[] = [];
        for (let tenth = 0; tenth < 100; tenth++) {
            jobs.push(shortage.submitGang());
            await shortage.cell.clock.step(100);
        }
        const idle = shortage.callers.filter(caller => caller.busyMs < 3_000).length;
        assert(idle <= 1, `${idle} of 8 nodes were idle for most of ten seconds`);
        await shortage.cell.clock.step(2_000);
        assert.deepEqual(jobs.filter(job => shortage.countStarts(job) === 0), []);
    });

    it("does not keep a gang from the room that stops of less urgent tasks make for it", async () => {
        // A gang of the first queue needed all workers. Tasks of the last queue ran there, which may be stopped for it, and
        // more of them came, which had room. No stop is ordered before it is known which workers may run the gang, and its
        // question stood behind those of the tasks for as long as these came: the gang never started.
        const shortage = new Shortage();
        await shortage.start(2);
        const wide = new Set<string>();
        shortage.cell.getBehavior = task => {
            const isWide = wide.has(task.split(".")[0] ?? "");
            return {
                demand: isWide ? WORKER_CAPACITY : { cpuMillis: 500, memoryMib: 64, accelerators: 0 },
                runMs: isWide ? WIDE_RUN_MS : YIELDING_RUN_MS,
                end: "done",
            };
        };
        const tasks = async (ms: Millis): Promise<void> => {
            for (let at: Millis = 0; at < ms; at += 50) {
                shortage.submitYieldingTask();
                await shortage.cell.clock.step(50);
            }
        };
        await tasks(5_000);
        const gang = shortage.submitWideGang();
        wide.add(makeJobId(gang));
        await tasks(15_000);
        assert.notEqual(shortage.countStarts(gang), 0);
    });
});
