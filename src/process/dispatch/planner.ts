/**
 * Decides which waiting tasks start where. Pure: it reads the state and returns what to do.
 *
 * @remarks Steps are served in the order of their urgency. What a step is given, or waits for a permit for, is out
 * of reach of the steps behind it. A gang that does not fit yet keeps what it could use, else smaller tasks would
 * take each piece of room as it comes free and the gang would never start.
 */
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import { isSuspect } from "../jobs/worker-losses.js";
import { isHeldBack } from "./backfill.js";
import type { StepPermits } from "./permits.js";
import { computePlaceScore } from "./place-score.js";
import type { PermitWish, Plan, PlanInput, PlannedStart } from "./plan.js";
import { canEverHold, countPlaces, isAllOrNothing, PoolView } from "./pool-view.js";
import type { Slot } from "./pool-view.js";
import { choosePreemptions } from "./preemption.js";
import type { Preemption } from "./preemption.js";
import { Probation } from "./probation.js";
import { selectWorkersToAsk } from "./question-size.js";
import type { AskableWorker } from "./question-size.js";
import { canBecomeIdle, chooseReserved } from "./reserved-workers.js";
import { compareUrgency } from "./urgency.js";
import type { Urgency } from "./urgency.js";
import { listAllowed, putSuspectsFirst } from "./waiting-step.js";
import type { Placement, Question, WaitingStep } from "./waiting-step.js";

/**
 * What to expect of a renewal in place of the share of allowed workers: they are allowed, but by the time of the answer
 * others may have taken their room.
 */
const RENEWAL_SHARE = 0.5;
/**
 * Gangs without enough room that keep what they could use. One drains workers for the most urgent; with more, room for
 * several gangs stands idle at once.
 */
const MAX_KEEPING_GANGS = 1;
/** Workers for each gang that has less urgent work stopped: its room is whole within half a second. */
const WORKERS_PER_PREEMPTING_GANG = 60;

/**
 * Plans one pass.
 * @param input - The state.
 */
export function planStarts(input: PlanInput): Plan {
    return new Pass(input).run();
}

class Pass {
    private readonly starts: PlannedStart[] = [];
    private readonly wishes: PermitWish[] = [];
    private readonly preemptions: Preemption[] = [];
    private readonly pools = new Map<string, PoolView>();
    private readonly keepers: Step[] = [];
    /** Names of the pools of the gangs that were looked at for suspects. */
    private readonly poolsWithGangs = new Set<string>();
    /** Tasks that should run alone, for which no worker becomes idle soon. */
    private readonly besideOthers = new Set<Task>();
    private preemptingGangs = 0;
    /** Priority of the most urgent gang that lacks room and could be in time. */
    private blockedPriority = Infinity;

    private readonly probation: Probation;

    constructor(private readonly input: PlanInput) {
        this.probation = new Probation(input.probation, input.now);
    }

    run(): Plan {
        const ordered = this.probation.order([...this.input.waiting].sort(compareUrgency));
        ordered.forEach(urgency => this.reserveWorkers(urgency));
        ordered.forEach(urgency => this.planStep(urgency));
        const { starts, wishes, preemptions, keepers } = this;
        return { starts, wishes, preemptions, keepers, backlogs: this.probation.collectBacklogs() };
    }

    private planStep(urgency: Urgency): void {
        if (!this.input.isAdviceShort && isHeldBack(urgency, this.blockedPriority)) {
            return;
        }
        const { step, queue } = urgency;
        const startable = this.listStartable(step);
        if (startable.length === 0 || isAllOrNothing(step) && startable.length < step.waiting) {
            return;
        }
        const pool = this.getPool(queue.pool);
        if (!this.probation.hasTurn(urgency, pool)) {
            return;
        }
        const asked = this.wishes.length;
        const current = this.buildWaitingStep(urgency, startable);
        const placements = this.placeTasks(current);
        const isWhole = placements.length === step.waiting;
        if (isAllOrNothing(step) && !isWhole) {
            this.settleBlockedGang(current, placements);
        }
        else {
            this.startOrRequest(current, placements);
        }
        if (!isWhole) {
            this.requestUnknown(current);
        }
        if (placements.length > 0 || this.wishes.length > asked) {
            this.probation.observeTurn(urgency, pool);
        }
    }

    private listStartable(step: Step): readonly Task[] {
        return step.tasks.filter(task => task.state === TaskState.waiting && !this.input.isPaused(task));
    }

    private buildWaitingStep(urgency: Urgency, startable: readonly Task[]): WaitingStep {
        const { step, queue } = urgency;
        const pool = this.getPool(queue.pool);
        const permits = queue.advice === undefined ? undefined : this.input.getPermits(step);
        const allowed = permits === undefined ?
            pool.slots.filter(slot => slot.isSuitable(step)) :
            listAllowed(step, pool, permits);
        const refusing = this.input.listRefusing(step);
        const willing = refusing.size === 0 ? allowed : allowed.filter(slot => !refusing.has(slot.id));
        const candidates = this.probation.select(urgency, pool, willing);
        return { urgency, step, pool, permits, candidates, startable };
    }

    /** Keeps workers for tasks that must run alone, before others take the room that they need. */
    private reserveWorkers(urgency: Urgency): void {
        const { step, queue } = urgency;
        const isFirstGang = isAllOrNothing(step) && !this.poolsWithGangs.has(queue.pool);
        if (isAllOrNothing(step)) {
            this.poolsWithGangs.add(queue.pool);
        }
        if (!step.tasks.some(isSuspect) || this.probation.isRisky(queue.name)) {
            return;
        }
        const suspects = this.listStartable(step).filter(isSuspect);
        const { pool, permits, candidates } = this.buildWaitingStep(urgency, suspects);
        const { now } = this.input;
        if (!candidates.some(slot => canBecomeIdle(slot, now))) {
            suspects.forEach(task => this.besideOthers.add(task));
            return;
        }
        // Two gangs that each keep a worker which the other needs would wait for ever.
        const mayReserve = !isAllOrNothing(step) || isFirstGang && canEverHold(step, candidates);
        if (!mayReserve || permits !== undefined && permits.countFailures() > 0) {
            return;
        }
        for (let count = 0; count < suspects.length; count++) {
            chooseReserved({ step, candidates, pool, now })?.reserve(step);
        }
    }

    private getPool(name: string): PoolView {
        const known = this.pools.get(name);
        if (known !== undefined) {
            return known;
        }
        const { workersByPool, unheardByPool, now } = this.input;
        const created = new PoolView(name, workersByPool.get(name) ?? [], unheardByPool.get(name) ?? [], now);
        this.pools.set(name, created);
        return created;
    }

    /** Finds places for as many tasks as possible and takes their room. */
    private placeTasks(current: WaitingStep): readonly Placement[] {
        const { step, pool, startable } = current;
        const placements: Placement[] = [];
        if (!pool.mayFit(step.spec.demand)) {
            return placements;
        }
        // All tasks of a step need the same room, so where one does not fit no other of its kind does.
        const isFull = { alone: false, beside: false };
        for (const task of putSuspectsFirst(startable)) {
            const isAlone = isSuspect(task) && !this.besideOthers.has(task);
            const kind = isAlone ? "alone" : "beside";
            const slot = isFull[kind] ? undefined : this.chooseSlot(current, task, isAlone);
            if (slot === undefined) {
                isFull[kind] = true;
                continue;
            }
            slot.take(step, isSuspect(task));
            placements.push({ task, slot });
        }
        return placements;
    }

    /** Chooses the fullest worker that still fits, so that large holes stay for gangs. */
    private chooseSlot(
        { urgency, step, candidates, permits }: WaitingStep,
        task: Task,
        isAlone: boolean,
    ): Slot | undefined {
        const isPermitted = ({ id }: Slot): boolean =>
            permits === undefined || permits.getUsable(id, this.input.now) !== undefined;
        const isBesideOthers = this.besideOthers.has(task);
        let best: Slot | undefined;
        let bestScore = Infinity;
        for (const slot of candidates) {
            const isPossible = isAlone ? slot.canTakeAlone(step) : slot.canTake(step);
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
        const isProbe = this.probation.isProbe(current.urgency);
        const found = placements.map(({ task, slot }): PlannedStart => {
            const permit = permits?.getUsable(slot.id, this.input.now);
            return { step, task, worker: slot.worker, permit, isProbe };
        });
        if (permits === undefined) {
            this.starts.push(...found);
            return;
        }
        const lacking = found.filter(start => start.permit === undefined);
        if (!isAllOrNothing(step) || lacking.length === 0) {
            this.starts.push(...found.filter(start => start.permit !== undefined));
        }
        if (lacking.length > 0) {
            this.renewPermits(current, permits, placements, true);
            this.releaseUnanswered(current, permits, placements);
        }
    }

    /**
     * Gives back room that waits for a permit while questions fail.
     *
     * @remarks Failure guarded against: the service is away, and what needs no permit, or has one, stands still beside workers
     * that are empty and kept for a step that cannot start.
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
        const given = isAllOrNothing(step) ? placements : placements.filter(isLacking);
        given.forEach(({ slot }) => slot.release(step));
    }

    /**
     * Asks again for workers whose permit has run out, those chosen now and then the emptiest: by the time of the answer
     * others may have taken that room, and most of the service's time goes to a question as such.
     */
    private renewPermits(
        current: WaitingStep,
        permits: StepPermits,
        placements: readonly Placement[],
        hasRoom: boolean,
    ): void {
        if (!permits.canAsk(this.input.now)) {
            return;
        }
        const expired = current.candidates
            .filter(slot => permits.getUsable(slot.id, this.input.now) === undefined);
        const chosen = new Set(placements.map(({ slot }) => slot));
        this.addWish(current.urgency, { slots: expired, allowedShare: RENEWAL_SHARE, hasRoom, chosen });
    }

    /** A gang without enough room keeps what it found, or gives it back to those behind it. */
    private settleBlockedGang(current: WaitingStep, placements: readonly Placement[]): void {
        const { urgency, step, candidates, permits } = current;
        if (this.probation.isRisky(urgency.queue.name)) {
            placements.forEach(({ slot }) => slot.release(step));
            return;
        }
        const isKeeping = this.keepers.length < MAX_KEEPING_GANGS && placements.length > 0;
        const canHold = canEverHold(step, candidates);
        if (canHold && urgency.lateness === 0) {
            this.blockedPriority = Math.min(this.blockedPriority, urgency.queue.priority);
        }
        if (canHold && (this.preemptFor(current, placements.length) || isKeeping)) {
            this.keepers.push(step);
            if (permits !== undefined) {
                // Its room may come free at any moment, and must not stand idle for as long as a question takes.
                this.renewPermits(current, permits, placements, false);
            }
            return;
        }
        placements.forEach(({ slot }) => slot.release(step));
    }

    /**
     * Stops less urgent runs for a gang that can still be in time, on workers that would take it now.
     * @returns Whether its room will be whole then.
     */
    private preemptFor(current: WaitingStep, placed: number): boolean {
        const { urgency, step, pool, startable } = current;
        const { now, preemptionLooks } = this.input;
        const limit = Math.max(1, pool.slots.length / WORKERS_PER_PREEMPTING_GANG);
        // Members that must run alone need workers on which all runs end, not some.
        const isPossible = urgency.lateness === 0 && !startable.some(isSuspect);
        if (!isPossible || this.preemptingGangs >= limit) {
            return false;
        }
        const wasMakingRoom = preemptionLooks.isMakingRoom(step, now);
        if (!preemptionLooks.isDue(step, now)) {
            this.preemptingGangs += wasMakingRoom ? 1 : 0;
            return wasMakingRoom;
        }
        const isMakingRoom = this.findPreemptions(current, step.waiting - placed);
        preemptionLooks.observe(step, now, isMakingRoom);
        this.preemptingGangs += isMakingRoom ? 1 : 0;
        return isMakingRoom;
    }

    private findPreemptions(current: WaitingStep, missing: number): boolean {
        const { urgency: { queue: { priority } }, step, permits, candidates } = current;
        const usable = permits === undefined ?
            candidates :
            candidates.filter(slot => permits.getUsable(slot.id, this.input.now) !== undefined);
        const chosen = choosePreemptions(step, missing, usable, priority);
        this.preemptions.push(...chosen ?? []);
        return chosen !== undefined;
    }

    /**
     * Asks about workers that were not named yet: about the first ones at once, about more where those allowed can never
     * hold the step, or where others have room now.
     */
    private requestUnknown({ urgency, step, pool, permits, candidates }: WaitingStep): void {
        if (permits?.canAsk(this.input.now) !== true) {
            return;
        }
        const isAllWanted = candidates.length === 0 || !canEverHold(step, candidates);
        if (!isAllWanted && !pool.mayFit(step.spec.demand)) {
            return;
        }
        const unknown = this.probation.select(urgency, pool, pool.slots).filter(slot =>
            permits.isUnknown(slot.id) && (isAllWanted || slot.canTake(step)) && slot.isSuitable(step)
        );
        // An answer may have left out workers that would be allowed now, and nobody else is left to ask about.
        const isDeniedWanted = isAllWanted && unknown.length === 0;
        const wanted = isDeniedWanted ?
            pool.slots.filter(slot =>
                permits.isDenialOver(slot.id, this.input.now) && slot.isSuitable(step)
            ) :
            unknown;
        const allowedShare = this.input.getAllowedShare(urgency.queue.name);
        const needed = isAllOrNothing(step) ? step.waiting : 1;
        const hasRoom = countPlaces(step, wanted) * allowedShare >= needed;
        this.addWish(urgency, { slots: wanted, allowedShare, hasRoom, chosen: new Set() });
    }

    private addWish(urgency: Urgency, { slots, allowedShare, hasRoom, chosen }: Question): void {
        const { step, queue } = urgency;
        if (queue.advice === undefined || slots.length === 0) {
            return;
        }
        const need = { spec: step.spec, tasks: step.waiting, policy: queue.advice, allowedShare };
        const askable = slots.map((slot): AskableWorker => {
            const { id, capacity, free } = slot;
            const cpuMillis = Math.max(0, free.cpuMillis - this.input.getClaimedCpu(id));
            return { id, capacity, free: { ...free, cpuMillis }, isChosen: chosen.has(slot) };
        });
        const workerIds = this.probation.isRisky(queue.name) ?
            askable.map(({ id }) => id) :
            selectWorkersToAsk(askable, need);
        this.wishes.push({ urgency, workerIds, hasRoom });
    }
}
