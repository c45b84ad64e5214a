/**
 * Selects, within one pass, the workers dedicated to queues whose tasks crash workers (risky queues).
 *
 * @remarks A share of one queue's tasks may crash their workers while other queues do no harm. Tasks of such
 * a queue start on a bounded share of the pool, not beside other queues' tasks, and one step at a time on
 * each worker. A crash then has one cause, and its damage stays within the queue.
 */
import type { Millis } from "../../common/clock.js";
import { appendAll } from "../../common/lists.js";
import type { Step } from "../jobs/job.js";
import type { QueueRisk } from "./crash-risk.js";
import { canEverHold, isAllOrNothing } from "./pool-view.js";
import type { PoolView, Slot } from "./pool-view.js";
import { RiskyRuns } from "./risky-runs.js";
import type { SharedBudget, SharedInput } from "./shared-starts.js";
import { computeObjectiveMs } from "./urgency.js";
import type { Urgency } from "./urgency.js";

/** Share of a pool that may be dedicated to risky queues, including workers that are down after a crash. */
const DEDICATED_SHARE = 1 / 3;
/** Largest share of a pool that may be drained of other queues' runs. */
const DRAINING_SHARE = 1 / 8;
/**
 * A worker with a smaller share of its processors free counts as full: it takes no new steps and is not
 * dedicated.
 */
const MIN_FREE_SHARE = 1 / 16;
/**
 * Steps planned in a pass for each dedicated worker: one to start and one whose request to the advice service
 * is in flight. The permits of more would expire before they can start, and their requests would fill the
 * service's queue.
 */
const STEPS_PER_WORKER = 2;
/** Workers dedicated additionally for steps that may run on none of the others. */
const MAX_EXTRA_WORKERS = 2;

/** What is known about risky queues. */
export interface ProbationInput extends SharedInput {
    readonly risky: ReadonlyMap<string, QueueRisk>;
}

/** The waiting work of a risky queue. */
export interface RiskyBacklog {
    /** Steps with a task to start. */
    readonly steps: number;
    /** How many of them are too late for their callers or have probably crashed a worker. */
    readonly probes: number;
    /** How many of them have probably crashed a worker. */
    readonly suspects: number;
    /** Tasks to start of the other steps. */
    readonly timelyTasks: number;
    /** Mean objective of the other steps' jobs; 0 if there are none. */
    readonly objectiveMs: Millis;
    /** Tasks of such steps that started per second lately; undefined if not known yet. */
    readonly startsPerS: number | undefined;
    /** Number of workers on which they may start at a time. */
    readonly workers: number;
}

/** No queue is risky. */
export const NO_PROBATION: ProbationInput = {
    risky: new Map(),
    countCrashed: () => 0,
    countShared: () => ({ unproven: 0, proven: 0 }),
};

/** Preference of workers for a risky queue; lower is better. */
const SlotRank = {
    unproven: 0,
    own: 1,
    idle: 2,
    mixed: 3,
} as const;
type SlotRank = (typeof SlotRank)[keyof typeof SlotRank];

/** Share of the dedicated workers on which suspects run while timely work of their queue waits. */
const SUSPECT_SHARE = 1 / 3;

/** Share of a pool that suspects leave idle for other queues. */
const IDLE_RESERVE_SHARE = 1 / 8;

/** What risky queues may still start in one pool in this pass. */
interface StepBudget {
    /** Workers that may still be dedicated for steps that may run on none of the dedicated ones. */
    extraWorkers: number;
    /** Steps other than suspects that may still start, or request permits, in this pass. */
    stepsLeft: number;
    /** The same for suspects. */
    suspectsLeft: number;
}

/** Placement of risky queues in one pass. */
export class Probation {
    private readonly runs: RiskyRuns;
    private readonly budgets = new Map<PoolView, StepBudget>();
    private readonly dedicatedSlots = new Set<Slot>();
    /** Those of them that are kept for suspects. */
    private readonly suspectSlots = new Set<Slot>();
    /** Number of workers in each pool that risky queues may use, including those that are down. */
    private readonly shares = new Map<string, number>();
    /** Workers that overdue steps may use beside other runs. */
    private readonly sharedSlots = new Map<Urgency, ReadonlySet<Slot>>();
    private ordered: readonly Urgency[] = [];
    private hasTimely = false;
    /** Whether work of other queues waits. */
    private hasOthers = false;

    /**
     * @param input - What is known about risky queues.
     * @param now - On the leader's clock.
     * @param shared - Limits the starts beside other runs.
     * @param isOverdue - Tells whether a step has waited for too long.
     */
    constructor(
        private readonly input: ProbationInput,
        now: Millis,
        private readonly shared: SharedBudget,
        private readonly isOverdue: (urgency: Urgency) => boolean,
    ) {
        this.runs = new RiskyRuns(input.risky, now);
    }

    isRisky(queue: string): boolean {
        return this.input.risky.has(queue);
    }

    /** Sorts late work and suspects of risky queues behind all other steps. */
    order(ordered: readonly Urgency[]): readonly Urgency[] {
        if (this.input.risky.size === 0) {
            return ordered;
        }
        this.ordered = ordered;
        const ranks = new Map(ordered.map(urgency => [urgency, this.rankUrgency(urgency)]));
        this.hasTimely = ordered.some(urgency =>
            ranks.get(urgency) === 0 && this.isRisky(urgency.queue.name)
        );
        this.hasOthers = ordered.some(({ queue }) => !this.isRisky(queue.name));
        // The sort is stable, so steps of the same rank keep their order.
        return [...ordered].sort((left, right) => (ranks.get(left) ?? 0) - (ranks.get(right) ?? 0));
    }

    /** Tells whether a step of a risky queue has probably crashed a worker. */
    isSuspect({ step, queue }: Urgency): boolean {
        return this.isRisky(queue.name) && hasEarlyLoss(step);
    }

    /** Returns 0 for work that goes first, 1 for late work of a risky queue, 2 for its suspects. */
    private rankUrgency(urgency: Urgency): number {
        if (this.isSuspect(urgency)) {
            return 2;
        }
        return this.isRisky(urgency.queue.name) && urgency.lateness === 2 ? 1 : 0;
    }

    /** Collects the waiting work of each risky queue. */
    collectBacklogs(): ReadonlyMap<string, RiskyBacklog> {
        const backlogs = new Map<string, RiskyBacklog>();
        for (const [name, { startsPerS }] of this.input.risky) {
            const waiting = this.ordered.filter(({ queue }) => queue.name === name);
            const timely = waiting.filter(urgency => this.rankUrgency(urgency) === 0);
            const [first] = waiting;
            if (first !== undefined) {
                backlogs.set(name, {
                    steps: waiting.length,
                    probes: waiting.length - timely.length,
                    suspects: waiting.filter(urgency => this.isSuspect(urgency)).length,
                    timelyTasks: timely.reduce((sum, { step }) => sum + step.waiting, 0),
                    objectiveMs: computeMean(timely.map(computeObjectiveMs)),
                    startsPerS,
                    workers: this.shares.get(first.queue.pool) ?? 0,
                });
            }
        }
        return backlogs;
    }

    /**
     * Tells whether a step may start, or request permits, in this pass; the steps of risky queues are
     * limited.
     */
    hasBudget(urgency: Urgency, pool: PoolView): boolean {
        if (!this.isRisky(urgency.queue.name)) {
            return true;
        }
        return this.hasOwnBudget(urgency, pool) || this.isOverdue(urgency) && this.shared.countLeft(pool) > 0;
    }

    private hasOwnBudget(urgency: Urgency, pool: PoolView): boolean {
        const { stepsLeft, suspectsLeft } = this.getBudget(pool);
        return (this.isSuspect(urgency) ? suspectsLeft : stepsLeft) > 0;
    }

    /** Counts a step that has started, or requested permits, in this pass. */
    useBudget(urgency: Urgency, pool: PoolView): void {
        if (!this.isRisky(urgency.queue.name)) {
            return;
        }
        const budget = this.getBudget(pool);
        if (this.isSuspect(urgency)) {
            budget.suspectsLeft -= 1;
        }
        else {
            budget.stepsLeft -= 1;
        }
    }

    /**
     * Selects the workers that a step may use.
     * @param candidates - Workers of its pool that may run it.
     */
    select(urgency: Urgency, pool: PoolView, candidates: readonly Slot[]): readonly Slot[] {
        if (this.input.risky.size === 0) {
            return candidates;
        }
        if (!this.isOverdue(urgency)) {
            return this.selectByRisk(urgency, pool, candidates);
        }
        if (!this.isRisky(urgency.queue.name)) {
            // Without a budget the pool's dedicated workers are not chosen yet.
            this.getBudget(pool);
            return candidates.filter(slot =>
                !this.dedicatedSlots.has(slot) || this.runs.isCalm(slot, urgency.step)
            );
        }
        const own = this.hasOwnBudget(urgency, pool) ?
            this.selectByRisk(urgency, pool, candidates).filter(slot => this.isReady(slot, urgency)) :
            [];
        const shared = this.selectShared(urgency.step, pool, candidates).filter(slot => !own.includes(slot));
        this.sharedSlots.set(urgency, new Set(shared));
        return [...own, ...shared];
    }

    /** Tells whether a step starts beside other runs on a worker, as it is overdue. */
    isShared(urgency: Urgency, slot: Slot): boolean {
        return this.sharedSlots.get(urgency)?.has(slot) === true;
    }

    /** Selects workers on which little is lost if a task crashes them. A gang needs its workers at once. */
    private selectShared(step: Step, pool: PoolView, candidates: readonly Slot[]): readonly Slot[] {
        const open = candidates.filter(slot => slot.canTake(step) && this.runs.isCalm(slot, step));
        if (isAllOrNothing(step)) {
            return this.shared.isUnused(pool) ? open : [];
        }
        return open
            .sort((left, right) => left.worker.runs.size - right.worker.runs.size)
            .slice(0, Math.max(0, this.shared.countLeft(pool)));
    }

    private selectByRisk(urgency: Urgency, pool: PoolView, candidates: readonly Slot[]): readonly Slot[] {
        const { step, queue } = urgency;
        const budget = this.getBudget(pool);
        if (this.isSuspect(urgency)) {
            return candidates.filter(slot => slot.isIdleExceptFor(step));
        }
        const others = candidates.filter(slot => !this.dedicatedSlots.has(slot));
        if (!this.isRisky(queue.name)) {
            return others;
        }
        const dedicated = candidates.filter(slot =>
            this.dedicatedSlots.has(slot) && !this.suspectSlots.has(slot)
        );
        if (isAllOrNothing(step) && !canEverHold(step, dedicated)) {
            return candidates;
        }
        if (dedicated.length === 0) {
            appendAll(dedicated, this.addExtraWorker(budget, others));
        }
        return dedicated;
    }

    /** Tells whether a step may start now on a worker selected for it. */
    isReady(slot: Slot, urgency: Urgency): boolean {
        const isOnProbation = this.isRisky(urgency.queue.name) && this.dedicatedSlots.has(slot);
        return !isOnProbation || this.isSuspect(urgency) || this.isShared(urgency, slot) ||
            this.runs.isSafe(slot, urgency.step);
    }

    private getBudget(pool: PoolView): StepBudget {
        const known = this.budgets.get(pool);
        if (known !== undefined) {
            return known;
        }
        const slots = this.chooseDedicated(pool);
        slots.forEach(slot => this.dedicatedSlots.add(slot));
        this.reserveForSuspects(pool, slots);
        const extraWorkers = slots.size === 0 ? 0 : MAX_EXTRA_WORKERS;
        const stepsLeft = (slots.size + extraWorkers) * STEPS_PER_WORKER;
        const created = { extraWorkers, stepsLeft, suspectsLeft: this.computeSuspectsLeft(pool) };
        this.budgets.set(pool, created);
        return created;
    }

    /**
     * Running suspects, and workers that suspects have crashed, count against the limit. Beyond it, suspects may
     * use workers that are idle and not needed by timely work, as all accepted work has to be done in the end.
     */
    private computeSuspectsLeft({ name, slots }: PoolView): number {
        const limit = Math.max(1, Math.floor((this.shares.get(name) ?? 0) * SUSPECT_SHARE));
        const running = slots.filter(({ worker }) => this.runs.hasSuspect(worker));
        const left = limit - this.input.countCrashed(name, true) - running.length;
        const idle = slots.filter(({ worker }) => worker.runs.size === 0).length;
        const reserved = slots.length * (IDLE_RESERVE_SHARE + (this.hasTimely ? DEDICATED_SHARE : 0));
        return Math.max(left, (idle - Math.floor(reserved)) * STEPS_PER_WORKER);
    }

    /**
     * Keeps some of the dedicated workers for suspects that wait, so that they come to their end however much
     * timely work arrives.
     */
    private reserveForSuspects({ name }: PoolView, dedicated: ReadonlySet<Slot>): void {
        const waiting = this.ordered.filter(urgency =>
            urgency.queue.pool === name && this.isSuspect(urgency)
        );
        const limit = Math.floor(dedicated.size * SUSPECT_SHARE);
        const inUse = [...dedicated].filter(({ worker }) => this.runs.hasSuspect(worker)).length;
        [...dedicated]
            .filter(({ worker }) => !this.runs.hasSuspect(worker))
            .sort((left, right) => left.worker.runs.size - right.worker.runs.size)
            .slice(0, Math.max(0, Math.min(waiting.length, limit - inUse)))
            .forEach(slot => this.suspectSlots.add(slot));
    }

    private chooseDedicated(pool: PoolView): Set<Slot> {
        const { name, slots } = pool;
        const crashed = this.input.countCrashed(name, false);
        const share = this.computeShare(pool, crashed);
        this.shares.set(name, share);
        const limit = share - crashed;
        const maxDraining = Math.max(1, Math.floor(slots.length * DRAINING_SHARE));
        const ranked = this.rankSlots(slots);
        const dedicated = new Set<Slot>();
        let draining = 0;
        for (const { slot, rank } of ranked) {
            const isForced = rank === SlotRank.unproven;
            draining += rank === SlotRank.mixed ? 1 : 0;
            if (isForced || dedicated.size < limit && draining <= maxDraining) {
                dedicated.add(slot);
            }
        }
        return dedicated;
    }

    /**
     * Computes how many workers risky queues may use: a bounded share of the pool, or more if other queues leave
     * more without work of theirs.
     */
    private computeShare({ slots }: PoolView, crashed: number): number {
        const share = Math.max(1, Math.floor((slots.length + crashed) * DEDICATED_SHARE));
        const unused = slots.filter(slot => this.runs.countOthers(slot) === 0).length;
        const hasOthers = this.hasOthers || unused < slots.length;
        return Math.max(share, unused - (hasOthers ? share : 0));
    }

    private rankSlots(slots: readonly Slot[]): readonly { readonly slot: Slot; readonly rank: SlotRank; }[] {
        return slots
            .map(slot => ({ slot, rank: this.rankSlot(slot), others: this.runs.countOthers(slot) }))
            .filter(({ slot, rank }) => rank === SlotRank.unproven || hasFreeCapacity(slot))
            .sort((left, right) => left.rank - right.rank || left.others - right.others);
    }

    private rankSlot(slot: Slot): SlotRank {
        const runs = [...slot.worker.runs.values()];
        if (runs.length === 0) {
            return SlotRank.idle;
        }
        if (runs.some(run => !this.runs.isProven(run))) {
            return SlotRank.unproven;
        }
        return this.runs.countOthers(slot) === 0 ? SlotRank.own : SlotRank.mixed;
    }

    private addExtraWorker(budget: StepBudget, others: readonly Slot[]): readonly Slot[] {
        const [best] = budget.extraWorkers > 0 ? this.rankSlots(others) : [];
        if (best === undefined) {
            return [];
        }
        budget.extraWorkers -= 1;
        this.dedicatedSlots.add(best.slot);
        return [best.slot];
    }
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function hasEarlyLoss({ tasks }: Step): boolean {
    return tasks.hasTouched(({ losses }) => losses.some(({ isEarly }) => isEarly));
}

function hasFreeCapacity({ free, capacity }: Slot): boolean {
    return free.cpuMillis >= capacity.cpuMillis * MIN_FREE_SHARE;
}
