/** Overdue work of the least urgent queue after a period of high load. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { Permit } from "../../process/ports/task-worker-port.js";
import { HOST, LeaderCell, makeJobId, makeSpec, QUEUE } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const WORKERS = 12;
const ADVICE = { decideMs: 82, perWorkerMs: 1.2, validMs: 2_500 };
const ALLOWED_SHARE = 0.45;
const CALLERS = 3;
const BUSY_MS: Millis = 8_000;
const LOW_MS: Millis = 25_000;
/** Step of the jobs submitted to the least urgent queue under high load; workers have four cores. */
const LATE = { demand: { cpuMillis: 2_950, memoryMib: 100, accelerators: 0 }, savesCheckpoints: true };
const GANG = { demand: { cpuMillis: 2_000, memoryMib: 100, accelerators: 0 }, isGang: true, taskCount: 6 };
const RUN_MS: Millis = 900;
/** Intervals between gangs: one demands more than all workers can do, the other less than half of that. */
const BUSY_GANG_EVERY_MS: Millis = 200;
const LOW_GANG_EVERY_MS: Millis = 2_000;
const LATE_EVERY_MS: Millis = 400;
const LATE_FROM = 1;
const GANG_FROM = 1_000;

/** Submits jobs at a constant rate, with consecutive numbers. */
class Traffic {
    private nextGang = GANG_FROM;
    nextLate = LATE_FROM;

    constructor(private readonly cell: LeaderCell, private readonly leader: TestLeader) {}

    async run(duration: Millis, gangEveryMs: Millis, lateEveryMs: Millis): Promise<void> {
        for (let passed = 0; passed < duration; passed += 100) {
            if (passed % gangEveryMs === 0) {
                this.send("/first/", this.nextGang, GANG);
                this.nextGang += 1;
            }
            if (passed % lateEveryMs === 0) {
                this.send("/last/", this.nextLate, { ...LATE, taskCount: 4 });
                this.nextLate += 1;
            }
            await this.cell.clock.step(100);
        }
    }

    private send(prefix: string, number: number, step: Partial<StepSpec>): void {
        const path = `${prefix}${makeJobId(number)}`;
        const spec = makeSpec({ ...step, estimateMs: RUN_MS });
        void this.leader.leader.serve({ kind: "submit", host: HOST, path, spec });
    }
}

/** Adds nodes that call an advice service which answers one request of each node at a time. */
function addCallers(cell: LeaderCell, { leader }: TestLeader, random: Random): void {
    const allowed = new Map<string, boolean>();
    const isAllowed = (key: string): boolean => {
        const known = allowed.get(key) ?? random.pickFraction() < ALLOWED_SHARE;
        allowed.set(key, known);
        return known;
    };
    for (let number = 1; number <= CALLERS; number++) {
        let freeAt: Millis = 0;
        leader.addCaller({
            nodeName: `node-${number}`,
            requestPermits: async (step, workerIds) => {
                const now = cell.clock.now();
                freeAt = Math.max(freeAt, now) + ADVICE.decideMs + ADVICE.perWorkerMs * workerIds.length;
                await sleep(cell.clock, freeAt - now);
                const permits = workerIds
                    .filter(workerId => isAllowed(`${step} ${workerId}`))
                    .map((workerId): Permit => ({ workerId, token: "token" }));
                return { kind: "done", permits };
            },
        });
    }
}

describe("overdue work of the least urgent queue", () => {
    for (const seed of [1, 2, 3]) {
        it(`is done within half a minute after high load, with seed ${seed}`, async () => {
            // Gangs of the more urgent queue preempt tasks of the other one and keep arriving. Work that
            // waited through the high load must start once most of the capacity is free: reservations,
            // repeated advice requests and preemption must not starve it.
            const cell = new LeaderCell(WORKERS);
            const queue = { ...QUEUE, advice: ADVICE };
            cell.config = {
                ...cell.config,
                queues: [
                    { ...queue, name: "first", pathPrefix: "/first/", priority: 0 },
                    { ...queue, name: "last", pathPrefix: "/last/", priority: 2 },
                ],
            };
            cell.getBehavior = task => {
                const isGang = Number.parseInt(task.slice(0, 16), 16) >= GANG_FROM;
                return { demand: isGang ? GANG.demand : LATE.demand, runMs: RUN_MS, end: "done" };
            };
            const leader = await cell.startLeader();
            addCallers(cell, leader, createRandom(seed));
            await cell.clock.step(300);
            const traffic = new Traffic(cell, leader);
            await traffic.run(BUSY_MS, BUSY_GANG_EVERY_MS, LATE_EVERY_MS);
            await traffic.run(LOW_MS, LOW_GANG_EVERY_MS, Infinity);
            const open: number[] = [];
            for (let number = LATE_FROM; number < traffic.nextLate; number++) {
                const path = `/last/${makeJobId(number)}`;
                const reply = await leader.leader.serve({ kind: "show", host: HOST, path });
                if (reply.kind !== "state" || reply.phase !== "completed") {
                    open.push(number);
                }
            }
            const preempted = leader.log.lines.filter(line => line.event === "runPreempted");
            assert.ok(preempted.length > 0, "no run was preempted");
            assert.deepEqual(open, []);
            assert.deepEqual(cell.faults, []);
        });
    }
});
