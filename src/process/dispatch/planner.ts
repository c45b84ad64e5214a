/**
 * Decides which waiting tasks start where. Pure: it reads the state and returns what to do.
 *
 * @remarks Steps are served in the order of their urgency. What a step is given, or waits for a permit for, is out
 * of reach of the steps behind it. A gang that does not fit yet keeps what it could use, else smaller tasks would
 * take each piece of room as it comes free and the gang would never start.
 */
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import { isHeldBack } from "./backfill.js";
import type { StepPermits } from "./permits.js";
import type { PermitWish, Plan, PlanInput, PlannedStart } from "./plan.js";
import { canEverHold, countPlaces, isAllOrNothing, PoolView } from "./pool-view.js";
import type { Slot } from "./pool-view.js";
import { choosePreemptions } from "./preemption.js";
import type { Preemption } from "./preemption.js";
import { selectWorkersToAsk } from "./question-size.js";
import type { AskableWorker } from "./question-size.js";
import { compareUrgency } from "./urgency.js";
import type { Urgency } from "./urgency.js";

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

/** A place found for a task. */
interface Placement {
    readonly task: Task;
    readonly slot: Slot;
}

/** A step on its way through a pass. */
interface WaitingStep {
    readonly urgency: Urgency;
    readonly step: Step;
    readonly pool: PoolView;
    /** Undefined where the queue needs none. */
    readonly permits: StepPermits | undefined;
    /** Workers that may run it, also those whose permit has run out. */
    readonly candidates: readonly Slot[];
}

/** What a step asks. */
interface Question {
    /** Workers that it may name. */
    readonly slots: readonly Slot[];
    /** Share of them that will probably be allowed and still have room then. */
    readonly allowedShare: number;
    readonly hasRoom: boolean;
    /** Workers on which tasks were placed that wait for a permit. */
    readonly chosen: ReadonlySet<Slot>;
}

class Pass {
    private readonly starts: PlannedStart[] = [];
    private readonly wishes: PermitWish[] = [];
    private readonly preemptions: Preemption[] = [];
    private readonly pools = new Map<string, PoolView>();
    private readonly keepers: Step[] = [];
    private preemptingGangs = 0;
    /** Priority of the most urgent gang that lacks room and could be in time. */
    private blockedPriority = Infinity;

    constructor(private readonly input: PlanInput) {}

    run(): Plan {
        const ordered = [...this.input.waiting].sort(compareUrgency);
        ordered.forEach(urgency => this.planStep(urgency));
        const { starts, wishes, preemptions, keepers } = this;
        return { starts, wishes, preemptions, keepers };
    }

    private planStep(urgency: Urgency): void {
        if (!this.input.isAdviceShort && isHeldBack(urgency, this.blockedPriority)) {
            return;
        }
        const { step, queue } = urgency;
        const pool = this.getPool(queue.pool);
        const permits = queue.advice === undefined ? undefined : this.input.getPermits(step);
        const allowed = permits === undefined ?
            pool.slots.filter(slot => slot.isSuitable(step)) :
            listAllowed(step, pool, permits);
        const refusing = this.input.listRefusing(step);
        const candidates = refusing.size === 0 ? allowed : allowed.filter(slot => !refusing.has(slot.id));
        const current: WaitingStep = { urgency, step, pool, permits, candidates };
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
    }

    private getPool(name: string): PoolView {
        const known = this.pools.get(name);
        if (known !== undefined) {
            return known;
        }
        const { workersByPool, unheardByPool, now } = this.input;
        const created = new PoolView(workersByPool.get(name) ?? [], unheardByPool.get(name) ?? [], now);
        this.pools.set(name, created);
        return created;
    }

    /** Finds places for as many tasks as possible and takes their room. */
    private placeTasks(current: WaitingStep): readonly Placement[] {
        const { step, pool } = current;
        const placements: Placement[] = [];
        if (!pool.mayFit(step.spec.demand)) {
            return placements;
        }
        for (const task of step.tasks) {
            if (task.state !== TaskState.waiting) {
                continue;
            }
            const slot = this.chooseSlot(current, task);
            if (slot === undefined) {
                // All tasks of a step need the same, so none of the others fits either.
                return placements;
            }
            slot.take(step);
            placements.push({ task, slot });
        }
        return placements;
    }

    /** Chooses the fullest worker that still fits, so that large holes stay for gangs. */
    private chooseSlot({ step, candidates, permits }: WaitingStep, task: Task): Slot | undefined {
        let best: Slot | undefined;
        let bestScore = Infinity;
        for (const slot of candidates) {
            if (!slot.canTake(step)) {
                continue;
            }
            const score = this.computeScore(step, task, slot, permits);
            if (score < bestScore) {
                best = slot;
                bestScore = score;
            }
        }
        return best;
    }

    /** Lower is better. */
    private computeScore(step: Step, task: Task, slot: Slot, permits: StepPermits | undefined): number {
        const { demand, dataRack } = step.spec;
        let score = (slot.free.cpuMillis - demand.cpuMillis) / slot.capacity.cpuMillis;
        score += SLOWNESS_WEIGHT * slot.slowness;
        if (task.failedOn.has(slot.id)) {
            score += FAILED_HERE_PENALTY;
        }
        if (dataRack !== undefined && slot.worker.record.rack !== dataRack) {
            score += FAR_DATA_PENALTY;
        }
        if (permits !== undefined && permits.getUsable(slot.id, this.input.now) === undefined) {
            score += EXPIRED_PERMIT_PENALTY;
        }
        return score;
    }

    private startOrRequest(current: WaitingStep, placements: readonly Placement[]): void {
        const { step, permits } = current;
        const found = placements.map(({ task, slot }): PlannedStart => {
            const permit = permits?.getUsable(slot.id, this.input.now);
            return { step, task, worker: slot.worker, permit };
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
        const { urgency, step, pool } = current;
        const { now, preemptionLooks } = this.input;
        const limit = Math.max(1, pool.slots.length / WORKERS_PER_PREEMPTING_GANG);
        if (urgency.lateness > 0 || this.preemptingGangs >= limit) {
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
        const unknown = pool.slots.filter(slot =>
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
        this.wishes.push({ urgency, workerIds: selectWorkersToAsk(askable, need), hasRoom });
    }
}

/** Weights in units of a whole worker's processors: a worker that failed the task is the last choice. */
const FAILED_HERE_PENALTY = 4;
const FAR_DATA_PENALTY = 2;
/**
 * Workers differ in speed by up to 1.6 to 1 for good, and by 5 to 1 in slow spells; a worker that takes twice as long is
 * chosen only where others would be left with a hole of two thirds of their processors.
 */
const SLOWNESS_WEIGHT = 1;
/** A permit that has to be asked for again costs a question of up to half a second. */
const EXPIRED_PERMIT_PENALTY = 1;

function listAllowed(step: Step, pool: PoolView, permits: StepPermits): readonly Slot[] {
    const allowed: Slot[] = [];
    for (const workerId of permits.listAllowed()) {
        const slot = pool.get(workerId);
        if (slot?.isSuitable(step) === true) {
            allowed.push(slot);
        }
    }
    return allowed;
}
