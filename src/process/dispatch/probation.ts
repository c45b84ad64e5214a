/**
 * Which workers are kept, within one pass, for queues whose tasks crash workers. Pure.
 *
 * @remarks The load this answers: one queue of which a share of the tasks crash their workers, beside others that do no harm.
 * Tasks of that queue start on a bounded part of the pool, beside nothing of other queues, and one step at a time: a crash
 * then has one cause, and the harm stays with the queue.
 */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";
import type { QueueRisk } from "./crash-risk.js";
import { computeProofMs } from "./crash-risk.js";
import { canEverHold, isAllOrNothing } from "./pool-view.js";
import type { PoolView, Slot } from "./pool-view.js";
import type { Urgency } from "./urgency.js";
import { RunPhase } from "./worker-state.js";
import type { RunRecord } from "./worker-state.js";

/** Part of a pool that may be kept, or away because of a crash. */
const KEPT_SHARE = 1 / 3;
/** Part of a pool that is left to run empty of other queues at most. */
const DRAINING_SHARE = 1 / 8;
/** A worker with less of its processors free is full: it takes no new steps and is not counted. */
const MIN_FREE_SHARE = 1 / 16;
/**
 * Steps for each kept worker that are planned in a pass: one to start and one whose question is under way. The permits of
 * more would run out before their turn, and their questions would fill the advice service's line.
 */
const TURNS_PER_WORKER = 2;
/** Workers kept on top for steps that may run on none of the others. */
const MAX_EXTRA = 2;

/** What is known of queues whose tasks crash workers. */
export interface ProbationInput {
    readonly risky: ReadonlyMap<string, QueueRisk>;
    /** Counts the workers of a pool that are away because of a crash, by whether a probe or another suspect explains it. */
    readonly countAway: (pool: string, isExplained: boolean) => number;
}

/** What waits of a queue whose tasks crash workers. */
export interface RiskyBacklog {
    /** Steps with something to start. */
    readonly steps: number;
    /** Those of them that are late, or have probably crashed a worker. */
    readonly probes: number;
    /** Workers on which they may start at a time. */
    readonly workers: number;
}

/** Nothing crashes workers. */
export const NO_PROBATION: ProbationInput = { risky: new Map(), countAway: () => 0 };

/** How much a worker is in the way of a risky queue; lower is better. */
const Rank = {
    unproven: 0,
    own: 1,
    idle: 2,
    mixed: 3,
} as const;
type Rank = (typeof Rank)[keyof typeof Rank];

/** Part of the bounded part on which probes run while timely work of their queue waits. */
const PROBE_SHARE = 1 / 4;

/** Part of a pool that probes leave idle for other queues. */
const IDLE_RESERVE = 1 / 8;

/** What is left of a pool's part for risky queues in this pass. */
interface Kept {
    /** How many more may be added for steps that may run on none of them. */
    extra: number;
    /** How many more timely steps may start, or ask for permits, in this pass. */
    turns: number;
    /** The same for probes. */
    probeTurns: number;
}

/** The choice for one pass; see the module comment. */
export class Probation {
    private readonly kept = new Map<PoolView, Kept>();
    private readonly keptSlots = new Set<Slot>();
    /** Workers of each pool that risky queues may use, those that are away included. */
    private readonly parts = new Map<string, number>();
    private ordered: readonly Urgency[] = [];
    private hasTimely = false;

    /**
     * @param input - What is known of queues.
     * @param now - On our clock.
     */
    constructor(private readonly input: ProbationInput, private readonly now: Millis) {}

    /** Tells whether a queue's tasks crash workers. */
    isRisky(queue: string): boolean {
        return this.input.risky.has(queue);
    }

    /** Puts probes behind all other steps: they get what these leave idle. */
    order(ordered: readonly Urgency[]): readonly Urgency[] {
        if (this.input.risky.size === 0) {
            return ordered;
        }
        this.ordered = ordered;
        const probes = ordered.filter(urgency => this.isProbe(urgency));
        const others = ordered.filter(urgency => !this.isProbe(urgency));
        this.hasTimely = others.some(({ queue }) => this.isRisky(queue.name));
        return [...others, ...probes];
    }

    /**
     * Tells whether a step of a risky queue is too late for its caller, or has probably crashed a worker: little is lost if it
     * waits, while a crash would cost as much as any other.
     */
    isProbe({ step, queue, lateness }: Urgency): boolean {
        return this.isRisky(queue.name) &&
            (lateness === 2 || step.tasks.some(({ losses }) => losses.some(({ isEarly }) => isEarly)));
    }

    /** Collects what waits of each risky queue. */
    collectBacklogs(): ReadonlyMap<string, RiskyBacklog> {
        const backlogs = new Map<string, RiskyBacklog>();
        for (const urgency of this.ordered) {
            const { name, pool } = urgency.queue;
            if (this.isRisky(name)) {
                const { steps, probes } = backlogs.get(name) ?? { steps: 0, probes: 0 };
                const workers = this.parts.get(pool) ?? 0;
                const isProbe = this.isProbe(urgency);
                backlogs.set(name, { steps: steps + 1, probes: probes + (isProbe ? 1 : 0), workers });
            }
        }
        return backlogs;
    }

    /** Tells whether a step may start, or ask for permits, in this pass; few at a time of risky queues. */
    hasTurn(urgency: Urgency, pool: PoolView): boolean {
        if (!this.isRisky(urgency.queue.name)) {
            return true;
        }
        const { turns, probeTurns } = this.getKept(pool);
        return (this.isProbe(urgency) ? probeTurns : turns) > 0;
    }

    /** Counts a step that has started, or asked for permits, in this pass. */
    observeTurn(urgency: Urgency, pool: PoolView): void {
        if (!this.isRisky(urgency.queue.name)) {
            return;
        }
        const kept = this.getKept(pool);
        if (this.isProbe(urgency)) {
            kept.probeTurns -= 1;
        }
        else {
            kept.turns -= 1;
        }
    }

    /**
     * Selects the workers that a step may use.
     * @param urgency - The step.
     * @param pool - Its pool.
     * @param candidates - Workers that may run it.
     */
    select(urgency: Urgency, pool: PoolView, candidates: readonly Slot[]): readonly Slot[] {
        if (this.input.risky.size === 0) {
            return candidates;
        }
        const { step, queue } = urgency;
        const kept = this.getKept(pool);
        if (this.isProbe(urgency)) {
            return candidates.filter(slot => slot.isIdleBut(step));
        }
        const others = candidates.filter(slot => !this.keptSlots.has(slot));
        if (!this.isRisky(queue.name)) {
            return others;
        }
        const own = candidates.filter(slot => this.keptSlots.has(slot));
        if (isAllOrNothing(step) && !canEverHold(step, own)) {
            return candidates;
        }
        if (own.length === 0) {
            own.push(...this.addExtra(kept, others));
        }
        return own;
    }

    /** Tells whether a step may start on one of its workers now. */
    isReady(slot: Slot, urgency: Urgency): boolean {
        const isOnProbation = this.isRisky(urgency.queue.name) && this.keptSlots.has(slot);
        return !isOnProbation || this.isProbe(urgency) || this.isHarmless(slot, urgency.step);
    }

    private getKept(pool: PoolView): Kept {
        const known = this.kept.get(pool);
        if (known !== undefined) {
            return known;
        }
        const slots = this.chooseKept(pool);
        slots.forEach(slot => this.keptSlots.add(slot));
        const extra = slots.size === 0 ? 0 : MAX_EXTRA;
        const turns = (slots.size + extra) * TURNS_PER_WORKER;
        const created = { extra, turns, probeTurns: this.computeProbeTurns(pool) };
        this.kept.set(pool, created);
        return created;
    }

    /**
     * Probes that run, and workers that probes have crashed, count as turns taken. Beside these, probes may have what is idle
     * and not needed by timely work: late work has to be done in the end.
     */
    private computeProbeTurns({ name, slots }: PoolView): number {
        const limit = Math.max(1, Math.floor((this.parts.get(name) ?? 0) * PROBE_SHARE));
        const isProbing = ({ worker }: Slot): boolean => [...worker.runs.values()].some(run => run.isProbe);
        const left = limit - this.input.countAway(name, true) - slots.filter(isProbing).length;
        const idle = slots.filter(({ worker }) => worker.runs.size === 0).length;
        const kept = slots.length * (IDLE_RESERVE + (this.hasTimely ? KEPT_SHARE : 0));
        return Math.max(left, (idle - Math.floor(kept)) * TURNS_PER_WORKER);
    }

    private chooseKept(pool: PoolView): Set<Slot> {
        const { name, slots } = pool;
        const away = this.input.countAway(name, false);
        const part = Math.max(1, Math.floor((slots.length + away) * KEPT_SHARE));
        const idle = slots.filter(({ worker }) => worker.runs.size === 0).length;
        this.parts.set(name, Math.max(part, idle - part));
        const limit = Math.max(part, idle - part) - away;
        const mostDraining = Math.max(1, Math.floor(slots.length * DRAINING_SHARE));
        const ranked = this.rankSlots(slots);
        const kept = new Set<Slot>();
        let draining = 0;
        for (const { slot, rank } of ranked) {
            const isForced = rank === Rank.unproven;
            draining += rank === Rank.mixed ? 1 : 0;
            if (isForced || kept.size < limit && draining <= mostDraining) {
                kept.add(slot);
            }
        }
        return kept;
    }

    private rankSlots(slots: readonly Slot[]): readonly { readonly slot: Slot; readonly rank: Rank; }[] {
        return slots
            .map(slot => ({ slot, rank: this.rankSlot(slot), others: this.countOthers(slot) }))
            .filter(({ slot, rank }) => rank === Rank.unproven || hasRoom(slot))
            .sort((left, right) => left.rank - right.rank || left.others - right.others);
    }

    private rankSlot(slot: Slot): Rank {
        const runs = [...slot.worker.runs.values()];
        if (runs.length === 0) {
            return Rank.idle;
        }
        if (runs.some(run => this.isRisky(run.queue) && !this.isProven(run))) {
            return Rank.unproven;
        }
        return this.countOthers(slot) === 0 ? Rank.own : Rank.mixed;
    }

    private countOthers({ worker }: Slot): number {
        return [...worker.runs.values()].filter(run => !this.isRisky(run.queue)).length;
    }

    private addExtra(kept: Kept, others: readonly Slot[]): readonly Slot[] {
        const [best] = kept.extra > 0 ? this.rankSlots(others) : [];
        if (best === undefined) {
            return [];
        }
        kept.extra -= 1;
        this.keptSlots.add(best.slot);
        return [best.slot];
    }

    /** Tells whether nothing but the step itself, and runs of risky queues that have proven harmless, is on a worker. */
    private isHarmless(slot: Slot, step: Step): boolean {
        return slot.isUntakenBut(step) &&
            [...slot.worker.runs.values()].every(run =>
                run.step === step.name || this.isRisky(run.queue) && this.isProven(run)
            );
    }

    private isProven({ queue, phase, orderedAt }: RunRecord): boolean {
        const risk = this.input.risky.get(queue);
        const hasBegun = phase === RunPhase.running || phase === RunPhase.stopping;
        return risk === undefined || hasBegun && this.now - orderedAt >= computeProofMs(risk);
    }
}

function hasRoom({ free, capacity }: Slot): boolean {
    return free.cpuMillis >= capacity.cpuMillis * MIN_FREE_SHARE;
}
