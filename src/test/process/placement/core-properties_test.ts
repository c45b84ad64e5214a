/**
 * Properties of the placement core over arbitrary sequences of calls, checked against a simple model: its
 * starts never exceed capacity, nothing is placed twice, and releases are exact.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import { addResources, isWithin, NO_RESOURCES, type Resources } from "../../../common/resources.js";
import {
    createPlacementCore,
    type Decision,
    type PlacementCore,
    type WorkerView,
    type WorkItem,
} from "../../../process/placement/index.js";
import type { WorkKind } from "../../../request/work.js";
import { makeItem, makeSettings, makeWorker } from "./core-fixture.js";

const WORKERS = 5;
const SEED = 20_261_202;
const RUNS = 300;
/** Calls of `decide` at one instant, above which the core is considered to loop forever. */
const MAX_ROUNDS = 20;

interface Command {
    readonly kind:
        | "enqueue"
        | "decide"
        | "release"
        | "withdraw"
        | "adopt"
        | "resize"
        | "open"
        | "close"
        | "remove"
        | "reserve"
        | "commit"
        | "drop"
        | "shares";
    /** Arbitrary numbers; each command derives its parameters from them. */
    readonly left: number;
    readonly right: number;
}

const commands: fc.Arbitrary<readonly Command[]> = fc.array(
    fc.record({
        kind: fc.constantFrom<Command["kind"][]>(
            "enqueue",
            "enqueue",
            "enqueue",
            "enqueue",
            "decide",
            "decide",
            "decide",
            "release",
            "release",
            "withdraw",
            "adopt",
            "resize",
            "open",
            "open",
            "close",
            "remove",
            "reserve",
            "commit",
            "drop",
            "shares",
        ),
        left: fc.nat(1_000),
        right: fc.nat(1_000),
    }),
    { minLength: 20, maxLength: 160 },
);

/** Runs commands on a core and tracks what should be queued and running. */
class Model {
    readonly core: PlacementCore = createPlacementCore({ seed: 7 });
    readonly random = createRandom(11);
    readonly workers = new Map<string, WorkerView>();
    readonly open = new Set<string>();
    readonly running = new Map<string, { readonly item: WorkItem; readonly workerId: string; }>();
    readonly queued = new Set<string>();
    readonly gangs = new Map<string, readonly WorkItem[]>();
    readonly held = new Map<string, number>();
    readonly log: string[] = [];
    now = 0;
    private counter = 0;

    constructor() {
        this.core.setSettings(makeSettings({ service: { slotsPerWorker: 3 } }));
        for (let index = 0; index < WORKERS; index++) {
            this.addWorker(makeWorker(index));
        }
    }

    run(command: Command): void {
        // Fractional milliseconds, as of the real clock, whose sums are rounded.
        this.now += command.right * 0.1 + command.left * 0.001_7;
        this.handlers[command.kind](command);
    }

    private readonly handlers: Record<Command["kind"], (command: Command) => void> = {
        enqueue: command => {
            const kind = (["service", "batch", "short"] as const)[command.left % 3] ?? "batch";
            const item = this.makeNext(kind, command);
            if (this.core.enqueue(item, this.now).kind === "queued") {
                this.queued.add(item.id);
            }
        },
        decide: () => {
            for (let round = 0; round === 0 || this.core.getNextDecisionAt(this.now) === this.now; round++) {
                assert.ok(round < MAX_ROUNDS, "asks for another decide call at the same instant forever");
                this.applyDecisions(this.core.decide(this.now, this.random));
            }
        },
        release: command => {
            const id = pickKey([...this.running.keys()], command.left);
            if (id !== undefined) {
                const sample = { ranMs: command.right, failed: command.right % 5 === 0 };
                assert.equal(this.core.release(id, this.now, sample), true);
                this.running.delete(id);
                assert.equal(this.core.release(id, this.now), false, "released twice");
            }
        },
        withdraw: command => {
            const id = pickKey([...this.queued], command.left);
            if (id !== undefined) {
                assert.equal(this.core.withdraw(id), this.queued.delete(id));
                assert.equal(this.core.withdraw(id), false, "withdrawn twice");
            }
        },
        adopt: command => {
            const workerId = pickKey([...this.workers.keys()], command.left);
            if (workerId !== undefined) {
                const item = this.makeNext("batch", command);
                this.core.adopt(workerId, item, this.now);
                this.running.set(item.id, { item, workerId });
            }
        },
        resize: command => {
            const index = command.left % WORKERS;
            const foreignUse = { cpuMillis: 1_000 * (command.right % 4), memoryMib: 0, accelerators: 0 };
            const isKnown = this.workers.has(`w${index}`);
            const worker = makeWorker(index, { foreignUse });
            this.workers.set(worker.workerId, worker);
            this.core.upsertWorker(worker);
            assert.equal(isKnown || !this.open.has(worker.workerId), true);
        },
        open: command => this.setOpen(command, true),
        close: command => this.setOpen(command, false),
        remove: command => {
            const id = `w${command.left % WORKERS}`;
            const lost = this.core.removeWorker(id);
            const expected = [...this.running].filter(([, entry]) => entry.workerId === id).map(([itemId]) =>
                itemId
            );
            for (const itemId of expected) {
                assert.ok(lost.includes(itemId));
                this.running.delete(itemId);
            }
            this.workers.delete(id);
            this.open.delete(id);
        },
        reserve: command => {
            const gangId = `gang-${command.left % 3}`;
            const size = 1 + command.right % 6;
            const items = this.gangs.get(gangId) ??
                Array.from({ length: size }, () => ({ ...this.makeNext("gang", command), gangId }));
            this.gangs.set(gangId, items);
            const result = this.core.reserve(gangId, items, this.now + 200, this.now);
            assert.ok(result.held >= 0 && result.held <= items.length);
            this.held.set(gangId, result.held);
        },
        commit: command => {
            const gangId = `gang-${command.left % 3}`;
            const decisions = this.core.commitHold(gangId, this.now);
            const started = decisions.filter(decision => decision.kind === "start").length;
            assert.ok(started === 0 || started <= (this.gangs.get(gangId)?.length ?? 0));
            assert.equal(started, decisions.length);
            this.recordStarts(decisions, "held");
            this.gangs.delete(gangId);
            this.core.releaseHold(gangId);
        },
        drop: command => {
            this.core.releaseHold(`gang-${command.left % 3}`);
            this.gangs.delete(`gang-${command.left % 3}`);
        },
        shares: command => {
            const amount = { cpuMillis: 1_000 * (command.left % 30), memoryMib: 65_536, accelerators: 4 };
            this.core.setTeamShares(command.right % 2 === 0 ? new Map() : new Map([["team-a", amount]]));
        },
    };

    /** Sums the resources of everything that runs on a worker by the model. */
    sumTasks(workerId: string): Resources {
        let sum = NO_RESOURCES;
        for (const entry of this.running.values()) {
            if (entry.workerId === workerId) {
                sum = addResources(sum, entry.item.resources);
            }
        }
        return sum;
    }

    countRequests(workerId: string): number {
        const entries = [...this.running.values()];
        return entries.filter(entry => entry.workerId === workerId && entry.item.kind === "service").length;
    }

    private applyDecisions(decisions: readonly Decision[]): void {
        for (const decision of decisions) {
            if (decision.kind === "shed") {
                assert.ok(this.queued.delete(decision.item.id), "shed something that was not queued");
                assert.ok(decision.retryAfterMs > 0);
            }
        }
        this.recordStarts(decisions, "queued");
    }

    private recordStarts(decisions: readonly Decision[], from: "queued" | "held"): void {
        for (const decision of decisions) {
            if (decision.kind !== "start") {
                continue;
            }
            const { item, workerId } = decision;
            this.log.push(`${item.id}@${workerId}`);
            assert.ok(!this.running.has(item.id), "started twice");
            assert.equal(this.queued.delete(item.id), from === "queued");
            assert.equal(this.core.findWorkerOf(item.id), workerId);
            this.running.set(item.id, { item, workerId });
            if (from === "queued") {
                assert.ok(this.open.has(workerId), "started on a closed worker");
                this.assertCapacity(workerId, item);
            }
        }
    }

    /** Adopted work may exceed the capacity of a worker; starts by the core never do. */
    private assertCapacity(workerId: string, item: WorkItem): void {
        const worker = this.workers.get(workerId);
        assert.ok(worker !== undefined);
        if (item.kind === "service") {
            assert.ok(this.countRequests(workerId) <= Math.min(worker.slots, 3));
            return;
        }
        const used = addResources(this.sumTasks(workerId), worker.foreignUse);
        assert.ok(isWithin(used, worker.capacity), `${workerId} holds ${JSON.stringify(used)}`);
    }

    private setOpen(command: Command, open: boolean): void {
        const id = `w${command.left % WORKERS}`;
        this.core.setWorkerOpen(id, open);
        if (open && this.workers.has(id)) {
            this.open.add(id);
        }
        else {
            this.open.delete(id);
        }
    }

    private addWorker(worker: WorkerView): void {
        this.workers.set(worker.workerId, worker);
        this.core.upsertWorker(worker);
        this.core.setWorkerOpen(worker.workerId, true);
        this.open.add(worker.workerId);
    }

    private makeNext(kind: WorkKind, command: Command): WorkItem {
        this.counter += 1;
        const resources = kind === "service" ? NO_RESOURCES : {
            cpuMillis: 500 * (1 + command.right % 10),
            memoryMib: 512 * (1 + command.left % 12),
            accelerators: command.right % 7 === 0 ? 1 : 0,
        };
        return makeItem(`i${this.counter}`, kind, {
            resources,
            team: command.right % 3 === 0 ? "team-a" : "team-b",
            callerId: `caller-${command.left % 4}`,
            urgent: kind === "batch" && command.right % 11 === 0,
            queuedAt: this.now,
            deadline: kind === "service" ? this.now + 2_000 : undefined,
        });
    }
}

function pickKey(keys: readonly string[], number: number): string | undefined {
    return keys.length === 0 ? undefined : keys[number % keys.length];
}

describe("placement core, arbitrary sequences of calls", () => {
    it("never exceeds capacity, never places twice and releases exactly", () => {
        fc.assert(
            fc.property(commands, sequence => {
                const model = new Model();
                for (const command of sequence) {
                    model.run(command);
                }
                for (const gangId of ["gang-0", "gang-1", "gang-2"]) {
                    model.core.releaseHold(gangId);
                }
                for (const id of model.running.keys()) {
                    assert.ok(model.core.release(id, model.now));
                }
                const { free, teamUse } = model.core.getLoad();
                const open = [...model.workers.values()].filter(worker => model.open.has(worker.workerId));
                const expected = open.reduce((sum, { capacity, foreignUse }) => ({
                    cpuMillis: sum.cpuMillis + capacity.cpuMillis - foreignUse.cpuMillis,
                    memoryMib: sum.memoryMib + capacity.memoryMib - foreignUse.memoryMib,
                    accelerators: sum.accelerators + capacity.accelerators - foreignUse.accelerators,
                }), NO_RESOURCES);
                assert.deepEqual(free, expected);
                assert.deepEqual(teamUse, {});
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });

    it("makes the same decisions for the same calls and seeds", () => {
        fc.assert(
            fc.property(commands, sequence => {
                const [left, right] = [new Model(), new Model()];
                for (const command of sequence) {
                    left.run(command);
                    right.run(command);
                }
                assert.deepEqual(left.log, right.log);
            }),
            { seed: SEED, numRuns: 50 },
        );
    });
});
