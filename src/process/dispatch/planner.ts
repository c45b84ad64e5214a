/**
 * Decides which waiting tasks start on which workers. It has no side effects.
 *
 * @remarks Steps are served in the order of their urgency. Capacity that a step is given, or for which it
 * waits for a permit, is not available to the steps behind it. A gang that does not fit yet reserves what it
 * could use, as otherwise smaller tasks would use all capacity that comes free and the gang would never
 * start.
 */
import { appendAll } from "../../common/lists.js";
import type { Step, Task } from "../jobs/job.js";
import { isSuspect } from "../jobs/worker-losses.js";
import { computeDeferrableShare, isDeferred } from "./backfill.js";
import { GangReservations } from "./gang-reservations.js";
import { isGapLeft } from "./headroom.js";
import { PermitPlanner } from "./permit-planner.js";
import type { StepPermits } from "./permits.js";
import { computePlaceScore } from "./place-score.js";
import type { Plan, PlanInput, PlannedStart } from "./plan.js";
import { canEverHold, countNeeded, isAllOrNothing } from "./pool-view.js";
import type { Slot } from "./pool-view.js";
import { PoolViews } from "./pool-views.js";
import { choosePreemptions } from "./preemption.js";
import type { Preemption } from "./preemption.js";
import { Probation } from "./probation.js";
import { canBecomeIdle, chooseReserved } from "./reserved-workers.js";
import { isOverdue, Safeguard } from "./safeguards.js";
import { SharedBudget } from "./shared-starts.js";
import { compareUrgency } from "./urgency.js";
import type { Urgency } from "./urgency.js";
import {
    countPlannable,
    listAllowed,
    listStartable,
    listSuspects,
    sortSuspectsFirst,
} from "./waiting-step.js";
import type { Placement, WaitingStep } from "./waiting-step.js";
import { WithheldRecorder } from "./withholding.js";

/**
 * Gangs without enough free capacity that reserve what they could use. One drains workers for the most urgent
 * gang; with more, the capacity for several gangs would stand idle at once.
 */
const MAX_RESERVING_GANGS = 1;
/** Workers in the pool for each preempting gang, whose capacity is complete within half a second. */
const WORKERS_PER_PREEMPTING_GANG = 60;

/** Plans one pass. */
export function planStarts(input: PlanInput): Plan {
    return new Pass(input).run();
}

class Pass {
    private readonly starts: PlannedStart[] = [];
    private readonly preemptions: Preemption[] = [];
    private readonly pools: PoolViews;
    private readonly reservations: GangReservations;
    private readonly withheld: WithheldRecorder;
    /** Names of the pools in which a gang was already considered for reserved workers. */
    private readonly poolsWithGangs = new Set<string>();
    /** Tasks that should run exclusively, but for which no worker becomes idle soon. */
    private readonly nonExclusive = new Set<Task>();
    private preemptingGangs = 0;
    /** Priority of the most urgent gang that lacks capacity and could be in time. */
    private blockedGangPriority = Infinity;

    private readonly shared: SharedBudget;
    private readonly probation: Probation;
    private readonly permitPlanner: PermitPlanner;

    constructor(private readonly input: PlanInput) {
        this.pools = new PoolViews(input);
        this.reservations = new GangReservations(input.quotas);
        this.shared = new SharedBudget(input.probation);
        this.probation = new Probation(
            input.probation,
            input.now,
            this.shared,
            urgency => this.isOverdue(urgency),
        );
        this.permitPlanner = new PermitPlanner(input, this.probation);
        this.withheld = new WithheldRecorder(input, this.probation, this.reservations);
        const pools = new Map(input.waiting.map(({ step, queue }) => [step, queue.pool]));
        input.freedCapacity.holdAll(pools, name => this.pools.get(name), input.now);
        this.preemptingGangs = input.freedCapacity.count();
    }

    run(): Plan {
        const ordered = this.probation.order([...this.input.waiting].sort(compareUrgency));
        ordered.forEach(urgency => this.reserveWorkers(urgency));
        ordered.forEach(urgency => this.planStep(urgency));
        const { starts, preemptions } = this;
        return {
            starts,
            permitRequests: this.permitPlanner.requests,
            preemptions,
            reservingGangs: this.reservations.listGangs(),
            withheld: this.withheld.safeguards,
            backlogs: this.probation.collectBacklogs(),
        };
    }

    private planStep(urgency: Urgency): void {
        if (this.isOverdue(urgency)) {
            this.reservations.runWithout(() => this.planTasks(urgency));
        }
        else {
            this.planTasks(urgency);
        }
    }

    private planTasks(urgency: Urgency): void {
        const mayBeDeferred = !this.input.isAdviceOverloaded && !this.isOverdue(urgency);
        if (mayBeDeferred && isDeferred(urgency, this.blockedGangPriority)) {
            this.withheld.record(urgency, Safeguard.deferral);
            return;
        }
        const { step, queue } = urgency;
        const { quotas } = this.input;
        const quotaPlaces = quotas.countPlaces(step.job.account, step.spec.demand);
        const pool = this.pools.get(queue.pool);
        const limit = Math.min(quotaPlaces, countPlannable(step, pool));
        const startable = listStartable(step, this.input.isPaused, limit);
        if (startable.length === 0 || isAllOrNothing(step) && startable.length < step.waiting) {
            const isPaused = limit >= countNeeded(step);
            this.withheld.record(urgency, isPaused ? Safeguard.lossBackoff : undefined);
            return;
        }
        if (!this.probation.hasBudget(urgency, pool)) {
            this.withheld.record(urgency, Safeguard.probation);
            return;
        }
        const requestsBefore = this.permitPlanner.requests.length;
        this.input.freedCapacity.release(step, pool);
        const current = this.buildWaitingStep(urgency, startable);
        const placements = this.placeTasks(current);
        const isWhole = placements.length >= Math.min(step.waiting, quotaPlaces);
        if (isAllOrNothing(step) && !isWhole) {
            this.settleBlockedGang(current, placements);
        }
        else {
            this.startOrRequest(current, placements);
        }
        if (!isWhole) {
            this.permitPlanner.requestUnknown(current);
            if (!this.reservations.has(step)) {
                this.withheld.find(current, placements);
            }
        }
        if (placements.length > 0 || this.permitPlanner.requests.length > requestsBefore) {
            this.probation.useBudget(urgency, pool);
        }
    }

    private isOverdue(urgency: Urgency): boolean {
        const { usedShare } = this.pools.get(urgency.queue.pool);
        return isOverdue(urgency, { usedShare, sinceSubmitMs: this.input.sinceSubmitMs }, this.input.now);
    }

    private mayDeferOthers({ queue }: Urgency): boolean {
        const { freedCapacity, waiting } = this.input;
        return computeDeferrableShare(waiting, queue, this.pools.get(queue.pool)) <=
            freedCapacity.maxDeferredShare;
    }

    private buildWaitingStep(urgency: Urgency, startable: readonly Task[]): WaitingStep {
        const { step, queue } = urgency;
        const pool = this.pools.get(queue.pool);
        const permits = queue.advice === undefined ? undefined : this.input.getPermits(step);
        const allowed = permits === undefined ?
            pool.slots.filter(slot => slot.isSuitable(step)) :
            listAllowed(step, pool, permits);
        const refusing = this.input.listRefusing(step);
        const willing = refusing.size === 0 ? allowed : allowed.filter(slot => !refusing.has(slot.id));
        const candidates = this.probation.select(urgency, pool, willing);
        return { urgency, step, pool, permits, willing, candidates, startable };
    }

    /** Reserves workers for tasks that must run exclusively, before others use their capacity. */
    private reserveWorkers(urgency: Urgency): void {
        const { step, queue } = urgency;
        const isFirstGang = isAllOrNothing(step) && !this.poolsWithGangs.has(queue.pool);
        if (isAllOrNothing(step)) {
            this.poolsWithGangs.add(queue.pool);
        }
        if (!step.tasks.hasTouched(isSuspect) || this.probation.isRisky(queue.name)) {
            return;
        }
        if (this.input.quotas.countPlaces(step.job.account, step.spec.demand) < countNeeded(step)) {
            return;
        }
        const suspects = listSuspects(step, this.input.isPaused);
        const { pool, permits, candidates } = this.buildWaitingStep(urgency, suspects);
        const { now } = this.input;
        const isIdle = candidates.some(slot => slot.canTakeAlone(step));
        const isWorthWaiting = !this.isOverdue(urgency) && candidates.some(slot => canBecomeIdle(slot, now));
        if (!isIdle && !isWorthWaiting) {
            // The members of a gang start at once, so that only one gang may be tried out at a time.
            if (!isAllOrNothing(step) || this.shared.isUnused(pool)) {
                suspects.forEach(task => this.nonExclusive.add(task));
            }
            return;
        }
        // Two gangs that each reserve a worker which the other needs would wait forever.
        const mayReserve = !isAllOrNothing(step) || isFirstGang && canEverHold(step, candidates);
        if (!mayReserve || permits !== undefined && permits.countFailures() > 0) {
            return;
        }
        for (let count = 0; count < suspects.length; count++) {
            chooseReserved({ step, candidates, pool, now })?.reserve(step);
        }
    }

    /** Finds places for as many tasks as possible and deducts their capacity. */
    private placeTasks(current: WaitingStep): readonly Placement[] {
        const { step, pool, startable } = current;
        const placements: Placement[] = [];
        if (!pool.mayFit(step.spec.demand)) {
            return placements;
        }
        // All tasks of a step have the same demand, so where one does not fit no other of its kind does.
        const isExhausted = { alone: false, beside: false };
        for (const task of sortSuspectsFirst(startable)) {
            const isAlone = isSuspect(task) && !this.nonExclusive.has(task);
            const kind = isAlone ? "alone" : "beside";
            const slot = isExhausted[kind] ? undefined : this.chooseSlot(current, task, isAlone);
            if (slot === undefined) {
                isExhausted[kind] = true;
                continue;
            }
            if (this.isShared(current, task, slot)) {
                this.shared.use(pool, slot);
            }
            slot.take(step, isSuspect(task));
            placements.push({ task, slot });
        }
        return placements;
    }

    /** Tells whether a task that may crash its worker starts beside other runs. */
    private isShared({ urgency }: WaitingStep, task: Task, slot: Slot): boolean {
        const isBesideRuns = this.nonExclusive.has(task) && slot.worker.runs.size > 0;
        return isBesideRuns || this.probation.isShared(urgency, slot);
    }

    /** Chooses the fullest worker that still fits, so that large gaps remain for gangs. */
    private chooseSlot(
        { urgency, step, pool, candidates, permits }: WaitingStep,
        task: Task,
        isAlone: boolean,
    ): Slot | undefined {
        const isPermitted = ({ id }: Slot): boolean =>
            permits === undefined || permits.getUsable(id, this.input.now) !== undefined;
        const isBesideOthers = this.nonExclusive.has(task);
        const isOverdue = this.isOverdue(urgency);
        const gap = isOverdue ?
            undefined :
            this.input.headroom?.findGap(step, urgency.queue, this.input.now);
        let best: Slot | undefined;
        let bestScore = Infinity;
        for (const slot of candidates) {
            const isPossible = (isAlone ? slot.canTakeAlone(step) : slot.canTake(step, isOverdue)) &&
                isGapLeft(slot.id, slot.free, step.spec.demand, gap) &&
                (!isBesideOthers || isAllOrNothing(step) || this.shared.mayUse(pool, slot));
            if (!isPossible || !this.probation.isReady(slot, urgency)) {
                continue;
            }
            const score = isBesideOthers ?
                slot.worker.runs.size :
                computePlaceScore({ step, task, slot, isPermitted: isPermitted(slot) });
            if (score < bestScore) {
                best = slot;
                bestScore = score;
            }
        }
        return best;
    }

    private startOrRequest(current: WaitingStep, placements: readonly Placement[]): void {
        const { step, permits } = current;
        placements.forEach(() => this.input.quotas.take(step.job.account, step.spec.demand));
        const hasEarlyLoss = this.probation.isSuspect(current.urgency);
        const planned = placements.map(({ task, slot }): PlannedStart => {
            const permit = permits?.getUsable(slot.id, this.input.now);
            const isShared = this.isShared(current, task, slot);
            return { step, task, worker: slot.worker, permit, hasEarlyLoss, isShared };
        });
        if (permits === undefined) {
            appendAll(this.starts, planned);
            return;
        }
        const unpermitted = planned.filter(start => start.permit === undefined);
        if (!isAllOrNothing(step) || unpermitted.length === 0) {
            appendAll(this.starts, planned.filter(start => start.permit !== undefined));
        }
        if (unpermitted.length > 0) {
            this.permitPlanner.renew(current, permits, placements, true);
            this.releaseUnanswered(current, permits, placements);
        }
    }

    /**
     * Releases capacity that waits for a permit while requests fail.
     *
     * @remarks If the service is unavailable, tasks that need no permit, or have one, would otherwise wait
     * beside empty workers that are reserved for a step that cannot start.
     */
    private releaseUnanswered(
        { step }: WaitingStep,
        permits: StepPermits,
        placements: readonly Placement[],
    ): void {
        if (permits.countFailures() === 0) {
            return;
        }
        const isLacking = ({ slot }: Placement): boolean =>
            permits.getUsable(slot.id, this.input.now) === undefined;
        const released = isAllOrNothing(step) ? placements : placements.filter(isLacking);
        released.forEach(({ slot }) => this.releaseTask(step, slot));
    }

    private releaseTask(step: Step, slot: Slot): void {
        slot.release(step);
        this.input.quotas.release(step.job.account, step.spec.demand);
    }

    /** Reserves what a gang without enough free capacity found, or releases it to the steps behind. */
    private settleBlockedGang(current: WaitingStep, placements: readonly Placement[]): void {
        const { urgency, step, candidates, permits } = current;
        if (this.probation.isRisky(urgency.queue.name)) {
            placements.forEach(({ slot }) => slot.release(step));
            return;
        }
        const isReserving = this.reservations.listGangs().length < MAX_RESERVING_GANGS &&
            placements.length > 0 && urgency.isBeyondShare !== true;
        const isAssembled = this.input.freedCapacity.has(step);
        const canHold = canEverHold(step, candidates);
        if (canHold && urgency.lateness === 0 && this.mayDeferOthers(urgency)) {
            this.blockedGangPriority = Math.min(this.blockedGangPriority, urgency.queue.priority);
        }
        if (canHold && (this.preemptFor(current, placements) || isReserving)) {
            this.reservations.add(step, isAssembled ? [] : placements.map(({ slot }) => slot));
            if (permits !== undefined) {
                // Its capacity may come free at any time and must not stand idle for the time of a request.
                this.permitPlanner.renew(current, permits, placements, false);
            }
            return;
        }
        placements.forEach(({ slot }) => slot.release(step));
    }

    /**
     * Preempts less urgent runs for a gang that can still be in time, on workers that would accept it now.
     * @returns Whether the gang will have all its capacity then.
     */
    private preemptFor(current: WaitingStep, placements: readonly Placement[]): boolean {
        const { urgency, step, pool, startable } = current;
        const { now, freedCapacity } = this.input;
        if (freedCapacity.has(step)) {
            // It waits for the places that were chosen for it; what is free elsewhere is left to others.
            placements.forEach(({ slot }) => slot.release(step));
            return freedCapacity.hold(step, pool, now);
        }
        const limit = Math.max(1, pool.slots.length / WORKERS_PER_PREEMPTING_GANG);
        // Members that must run exclusively need workers on which all runs end, not some.
        // An account beyond its share gets it back with the next starts, not at the cost of others.
        const isPossible = urgency.lateness === 0 && urgency.isBeyondShare !== true &&
            !startable.some(isSuspect);
        if (!isPossible || this.preemptingGangs >= limit) {
            return false;
        }
        if (freedCapacity.isDue(step, now)) {
            freedCapacity.observe(step, now, this.findPreemptions(current, placements));
        }
        const isPreempting = freedCapacity.hold(step, pool, now);
        this.preemptingGangs += isPreempting ? 1 : 0;
        return isPreempting;
    }

    /** Preempts runs; returns the worker of each member afterwards, undefined if the gang would not fit. */
    private findPreemptions(
        current: WaitingStep,
        placements: readonly Placement[],
    ): readonly Slot[] | undefined {
        const { urgency: { queue: { priority } }, step, permits, candidates } = current;
        const { now, freedCapacity: { leadMs } } = this.input;
        const isUsable = ({ id }: Slot): boolean =>
            permits === undefined || permits.getUsable(id, now + leadMs) !== undefined;
        const placed = placements.map(({ slot }) => slot).filter(slot => leadMs === 0 || isUsable(slot));
        const missing = step.waiting - placed.length;
        const plan = choosePreemptions(step, missing, candidates.filter(isUsable), priority);
        appendAll(this.preemptions, plan?.preemptions ?? []);
        return plan && [...placed, ...plan.slots];
    }
}
