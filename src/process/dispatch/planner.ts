/**
 * Decides which waiting tasks start where. Pure: it reads the state and returns what to do.
 *
 * @remarks Steps are served in the order of their urgency. What a step is given, or waits for a permit for, is out
 * of reach of the steps behind it. A gang that does not fit yet keeps what it could use, else smaller tasks would
 * take each piece of room as it comes free and the gang would never start.
 */
import type { Millis } from "../../common/clock.js";
import { addResources, isWithin, removeResources } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import type { StepPermits } from "./permits.js";
import { compareUrgency } from "./urgency.js";
import type { Urgency } from "./urgency.js";
import type { WorkerState } from "./worker-state.js";

/** What a pass is made from. */
export interface PlanInput {
    /** Steps with something to start, in any order. */
    readonly waiting: readonly Urgency[];
    /** Usable workers of each pool. */
    readonly workersByPool: ReadonlyMap<string, readonly WorkerState[]>;
    /** Permits of a step whose queue needs them. */
    readonly getPermits: (step: Step) => StepPermits;
    readonly now: Millis;
}

/** A run to begin. */
export interface PlannedStart {
    readonly step: Step;
    readonly task: Task;
    readonly worker: WorkerState;
    readonly permit: string | undefined;
}

/** A question to put to the advice service. */
export interface PermitWish {
    readonly urgency: Urgency;
    readonly workerIds: readonly string[];
}

/** What to do. */
export interface Plan {
    readonly starts: readonly PlannedStart[];
    readonly wishes: readonly PermitWish[];
}

/** Workers that one question may name. */
const MAX_ASKED_WORKERS = 100;
/**
 * Gangs without enough room that keep what they could use. One drains workers for the most urgent; with more, room
 * for several gangs stands idle at once.
 */
const MAX_KEEPING_GANGS = 1;

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
    readonly worker: WorkerState;
}

class Pass {
    private readonly starts: PlannedStart[] = [];
    private readonly wishes: PermitWish[] = [];
    /** Free room of workers from which this pass has taken something. */
    private readonly free = new Map<WorkerState, Resources>();
    /** Tasks of a step that this pass has put on a worker, for its limit of tasks for each. */
    private readonly placed = new Map<string, number>();
    private keepingGangs = 0;

    constructor(private readonly input: PlanInput) {}

    run(): Plan {
        const ordered = [...this.input.waiting].sort(compareUrgency);
        ordered.forEach(urgency => this.planStep(urgency));
        return { starts: this.starts, wishes: this.wishes };
    }

    private planStep(urgency: Urgency): void {
        const { step, queue } = urgency;
        const all = this.input.workersByPool.get(queue.pool) ?? [];
        const suitable = all.filter(worker => isSuitable(step, worker));
        const permits = queue.advice === undefined ? undefined : this.input.getPermits(step);
        const candidates = permits === undefined ?
            suitable :
            suitable.filter(worker => permits.isAllowed(worker.id));
        const tasks = step.tasks.filter(task => task.state === TaskState.waiting);
        const placements = this.placeTasks(step, tasks, candidates, permits);
        const isWhole = placements.length === tasks.length;
        if (step.spec.isGang && !isWhole) {
            this.settleBlockedGang(urgency, placements, candidates, permits);
        }
        else {
            this.startOrRequest(urgency, placements, candidates, permits);
        }
        if (!isWhole && permits?.canAsk(this.input.now) === true) {
            this.requestUnknown(urgency, suitable, permits);
        }
    }

    /** Finds places for as many tasks as possible and takes their room. */
    private placeTasks(
        step: Step,
        tasks: readonly Task[],
        candidates: readonly WorkerState[],
        permits: StepPermits | undefined,
    ): readonly Placement[] {
        const placements: Placement[] = [];
        for (const task of tasks) {
            const worker = this.chooseWorker(step, task, candidates, permits);
            if (worker === undefined) {
                if (step.spec.isGang) {
                    break;
                }
                continue;
            }
            this.takeRoom(step, worker);
            placements.push({ task, worker });
        }
        return placements;
    }

    /** Chooses the fullest worker that still fits, so that large holes stay for gangs. */
    private chooseWorker(
        step: Step,
        task: Task,
        candidates: readonly WorkerState[],
        permits: StepPermits | undefined,
    ): WorkerState | undefined {
        let best: WorkerState | undefined;
        let bestScore = Infinity;
        for (const worker of candidates) {
            const free = this.getFree(worker);
            if (!isWithin(step.spec.demand, free) || this.isAtLimit(step, worker)) {
                continue;
            }
            const score = this.computeScore(step, task, worker, free, permits);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    /** Lower is better. */
    private computeScore(
        step: Step,
        task: Task,
        worker: WorkerState,
        free: Resources,
        permits: StepPermits | undefined,
    ): number {
        const { demand, dataRack } = step.spec;
        let score = (free.cpuMillis - demand.cpuMillis) / worker.record.capacity.cpuMillis;
        score += SLOWNESS_WEIGHT * worker.getSlowness(this.input.now);
        if (task.failedOn.has(worker.id)) {
            score += FAILED_HERE_PENALTY;
        }
        if (dataRack !== undefined && worker.record.rack !== dataRack) {
            score += FAR_DATA_PENALTY;
        }
        if (permits !== undefined && permits.getUsable(worker.id, this.input.now) === undefined) {
            score += EXPIRED_PERMIT_PENALTY;
        }
        return score;
    }

    private startOrRequest(
        urgency: Urgency,
        placements: readonly Placement[],
        candidates: readonly WorkerState[],
        permits: StepPermits | undefined,
    ): void {
        const { step } = urgency;
        const found = placements.map(({ task, worker }): PlannedStart => {
            return { step, task, worker, permit: permits?.getUsable(worker.id, this.input.now) };
        });
        if (permits === undefined) {
            this.starts.push(...found);
            return;
        }
        const lacking = found.filter(start => start.permit === undefined);
        if (!step.spec.isGang || lacking.length === 0) {
            this.starts.push(...found.filter(start => start.permit !== undefined));
        }
        if (lacking.length > 0) {
            this.refreshPermits(urgency, candidates, permits);
        }
    }

    /**
     * Asks again for the workers whose permit has run out, the emptiest first. All of them, not only those chosen now:
     * by the time of the answer others may have taken that room, and most of the service's time goes to a question as
     * such.
     */
    private refreshPermits(
        urgency: Urgency,
        candidates: readonly WorkerState[],
        permits: StepPermits,
    ): void {
        const expired = candidates.filter(worker =>
            permits.getUsable(worker.id, this.input.now) === undefined
        );
        if (expired.length > 0 && permits.canAsk(this.input.now)) {
            this.wishes.push({ urgency, workerIds: this.listEmptiest(expired) });
        }
    }

    private listEmptiest(workers: readonly WorkerState[]): readonly string[] {
        return [...workers]
            .sort((left, right) => this.getFree(right).cpuMillis - this.getFree(left).cpuMillis)
            .slice(0, MAX_ASKED_WORKERS)
            .map(worker => worker.id);
    }

    /** A gang without enough room keeps what it found, or gives it back to those behind it. */
    private settleBlockedGang(
        urgency: Urgency,
        placements: readonly Placement[],
        candidates: readonly WorkerState[],
        permits: StepPermits | undefined,
    ): void {
        const { step } = urgency;
        const mayKeep = placements.length > 0 && this.keepingGangs < MAX_KEEPING_GANGS;
        if (mayKeep && canEverHold(step, candidates)) {
            this.keepingGangs += 1;
            if (permits !== undefined) {
                // Its room may come free at any moment, and must not stand idle for as long as a question takes.
                this.refreshPermits(urgency, candidates, permits);
            }
            return;
        }
        for (const { worker } of placements) {
            this.free.set(worker, addResources(this.getFree(worker), step.spec.demand));
        }
    }

    private requestUnknown(
        urgency: Urgency,
        suitable: readonly WorkerState[],
        permits: StepPermits,
    ): void {
        const unknown = suitable.filter(worker => permits.isUnknown(worker.id));
        if (unknown.length > 0) {
            this.wishes.push({ urgency, workerIds: this.listEmptiest(unknown) });
        }
    }

    private getFree(worker: WorkerState): Resources {
        return this.free.get(worker) ?? worker.free;
    }

    private takeRoom(step: Step, worker: WorkerState): void {
        this.free.set(worker, removeResources(this.getFree(worker), step.spec.demand));
        if (step.spec.maxPerWorker !== undefined) {
            const key = makePlacedKey(step, worker);
            this.placed.set(key, (this.placed.get(key) ?? 0) + 1);
        }
    }

    private isAtLimit(step: Step, worker: WorkerState): boolean {
        const limit = step.spec.maxPerWorker;
        if (limit === undefined) {
            return false;
        }
        return worker.countOfStep(step.name) + (this.placed.get(makePlacedKey(step, worker)) ?? 0) >= limit;
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

function makePlacedKey(step: Step, worker: WorkerState): string {
    return `${step.name}@${worker.id}`;
}

/**
 * Tells whether a gang fits onto workers that run nothing else.
 *
 * @remarks Failure guarded against: a gang that is larger than all workers that may run it keeps room for as long as it
 * waits, and everything behind it starves.
 */
function canEverHold(step: Step, workers: readonly WorkerState[]): boolean {
    const { demand, maxPerWorker, taskCount } = step.spec;
    let members = 0;
    for (const { record: { capacity } } of workers) {
        const byCpu = demand.cpuMillis === 0 ? Infinity : Math.floor(capacity.cpuMillis / demand.cpuMillis);
        const byMemory = demand.memoryMib === 0 ?
            Infinity :
            Math.floor(capacity.memoryMib / demand.memoryMib);
        const byAccelerators = demand.accelerators === 0 ?
            Infinity :
            Math.floor(capacity.accelerators / demand.accelerators);
        members += Math.min(byCpu, byMemory, byAccelerators, maxPerWorker ?? Infinity);
    }
    return members >= taskCount;
}

/** Tells whether a worker could ever run a step's tasks. */
function isSuitable(step: Step, worker: WorkerState): boolean {
    const { requiredLabel, demand } = step.spec;
    const hasLabel = requiredLabel === undefined || worker.record.labels.includes(requiredLabel);
    return hasLabel && isWithin(demand, worker.record.capacity);
}
