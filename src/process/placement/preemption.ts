/**
 * Preemption for urgent work when no worker has enough free capacity: selects the victims that lose the least
 * work and takes them through checkpoint, throttle and stop, within a budget.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { AllocationLedger } from "./allocation-ledger.js";
import { type ItemRecord, ItemState } from "./item-record.js";
import { type Decision, PreemptionStep } from "./placement-core.js";
import type { Reservations } from "./reservations.js";
import type { WorkerRecord } from "./worker-record.js";

/** Steps in order, with the wait before the next one. Urgent work is to start within 3.3 s. */
const ESCALATION: readonly { readonly step: PreemptionStep; readonly waitMs: Millis; }[] = [
    { step: PreemptionStep.checkpoint, waitMs: 1_200 },
    { step: PreemptionStep.throttle, waitMs: 500 },
    { step: PreemptionStep.stop, waitMs: 1_000 },
];
const SAMPLED_WORKERS = 24;
/** Lifetime of the reservation for the urgent task. */
const RESERVATION_MS = 10_000;
const MINUTE_MS = 60_000;

interface Victim {
    readonly record: ItemRecord;
    readonly worker: WorkerRecord;
    readonly forItemId: string;
    /** Index of the next step in {@link ESCALATION}. */
    nextStep: number;
    nextAt: Millis;
}

/** Preemptions in progress and their budget. */
export class Preemption {
    private readonly victims = new Map<string, Victim>();
    private tokens = 0;
    private tokensAt: Millis = 0;
    private perMinute = 0;

    constructor(private readonly ledger: AllocationLedger, private readonly reservations: Reservations) {}

    /** Sets the number of victims per minute; a tenth of it, at least one, may be used at once. */
    setBudget(perMinute: number): void {
        if (this.perMinute === 0) {
            this.tokens = computeBurst(perMinute);
        }
        this.perMinute = perMinute;
    }

    /** Selects victims for an urgent task and reserves their worker for it; returns whether it did. */
    plan(record: ItemRecord, now: Millis, random: Random): boolean {
        this.refreshBudget(now);
        let best: { readonly worker: WorkerRecord; readonly victims: readonly ItemRecord[]; } | undefined;
        let bestLoss = Infinity;
        const candidates = this.ledger.listCandidates(record.item.resources);
        for (let step = 0; step < Math.min(SAMPLED_WORKERS, candidates.length); step++) {
            const worker = candidates[random.pickInt(candidates.length)];
            if (worker === undefined || !worker.open || worker.reservation !== undefined) {
                continue;
            }
            const victims = this.selectVictims(worker, record, now);
            const loss = victims === undefined ? Infinity : sumLoss(victims, now);
            if (victims !== undefined && loss < bestLoss) {
                best = { worker, victims };
                bestLoss = loss;
            }
        }
        if (best === undefined || best.victims.length > this.tokens) {
            return false;
        }
        this.tokens -= best.victims.length;
        for (const victim of best.victims) {
            this.add(victim, best.worker, record.item.id, now);
        }
        const { id, resources } = record.item;
        const reservation = {
            ownerId: id,
            unit: resources,
            count: 1,
            readyAt: now,
            expiresAt: now + RESERVATION_MS,
        };
        this.reservations.add(best.worker, reservation);
        return true;
    }

    /** Starts to preempt a task for an item or gang, unless its preemption is in progress already. */
    add(victim: ItemRecord, worker: WorkerRecord, forItemId: string, now: Millis): void {
        if (!this.victims.has(victim.item.id)) {
            this.victims.set(victim.item.id, { record: victim, worker, forItemId, nextStep: 0, nextAt: now });
        }
    }

    /** Appends decisions for the steps that are due. */
    decide(now: Millis, decisions: Decision[]): void {
        for (const [victimId, victim] of this.victims) {
            if (victim.record.state !== ItemState.running || victim.record.worker !== victim.worker) {
                this.victims.delete(victimId);
                continue;
            }
            const escalation = ESCALATION[victim.nextStep];
            if (escalation === undefined || victim.nextAt > now) {
                continue;
            }
            victim.nextStep += 1;
            victim.nextAt = now + escalation.waitMs;
            decisions.push({
                kind: "preempt",
                victimId,
                workerId: victim.worker.id,
                step: escalation.step,
                forItemId: victim.forItemId,
                reason: `least loss: ran ${Math.round(now - victim.record.startedAt)} ms`,
            });
        }
    }

    /** @returns Instant of the next step; undefined if there is none. */
    getNextAt(): Millis | undefined {
        let next: Millis | undefined;
        for (const victim of this.victims.values()) {
            if (victim.nextStep < ESCALATION.length) {
                next = Math.min(next ?? Infinity, victim.nextAt);
            }
        }
        return next;
    }

    /** @returns The cheapest running tasks that free enough capacity; undefined if all together do not. */
    private selectVictims(
        worker: WorkerRecord,
        record: ItemRecord,
        now: Millis,
    ): readonly ItemRecord[] | undefined {
        const { resources } = record.item;
        let cpu = resources.cpuMillis - worker.freeCpu;
        let memory = resources.memoryMib - worker.freeMemory;
        let accelerators = resources.accelerators - worker.freeAccelerators;
        const victims: ItemRecord[] = [];
        const candidates = [...worker.tasks.values()].filter(task => this.mayPreempt(task));
        candidates.sort((left, right) => computeLoss(left, now) - computeLoss(right, now));
        for (const task of candidates) {
            if (cpu <= 0 && memory <= 0 && accelerators <= 0) {
                break;
            }
            const { item } = task;
            const helps = cpu > 0 && item.resources.cpuMillis > 0 ||
                memory > 0 && item.resources.memoryMib > 0 ||
                accelerators > 0 && item.resources.accelerators > 0;
            if (helps) {
                victims.push(task);
                cpu -= item.resources.cpuMillis;
                memory -= item.resources.memoryMib;
                accelerators -= item.resources.accelerators;
            }
        }
        return cpu <= 0 && memory <= 0 && accelerators <= 0 ? victims : undefined;
    }

    private mayPreempt(task: ItemRecord): boolean {
        return task.state === ItemState.running && task.branch?.preemptible === true && !task.item.urgent &&
            task.item.repeatable && !this.victims.has(task.item.id);
    }

    private refreshBudget(now: Millis): void {
        const earned = Math.max(0, now - this.tokensAt) * this.perMinute / MINUTE_MS;
        this.tokens = Math.min(computeBurst(this.perMinute), this.tokens + earned);
        this.tokensAt = now;
    }
}

function computeBurst(perMinute: number): number {
    return Math.max(1, perMinute / 10);
}

/** @returns Work lost by stopping a task: its allocated processor time since the start. */
function computeLoss(task: ItemRecord, now: Millis): number {
    return (now - task.startedAt) * Math.max(1, task.item.resources.cpuMillis);
}

function sumLoss(victims: readonly ItemRecord[], now: Millis): number {
    return victims.reduce((sum, victim) => sum + computeLoss(victim, now), 0);
}
