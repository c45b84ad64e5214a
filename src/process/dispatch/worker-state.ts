/** The leader's state of one worker: its capacity and every run that may be on it. */
import type { Millis } from "../../common/clock.js";
import { addResources, isWithin, NO_RESOURCES, removeResources } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { WorkerRecord } from "../ports/task-worker-port.js";

/** Progress of a run. */
export const RunPhase = {
    /** Its demand is deducted; the assignment is not durable yet. */
    reserved: "reserved",
    /** The start order was sent; whether the worker carried it out is not known yet. */
    ordered: "ordered",
    running: "running",
    /** It must end; its demand stays deducted until a report lists its end. */
    stopping: "stopping",
} as const;
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

/** A run that may be on a worker. */
export interface RunRecord {
    readonly task: string;
    readonly run: number;
    readonly step: string;
    /** Queue of its job; empty if unknown. */
    readonly queue: string;
    /** Client account to whose quota it counts; undefined if its job is anonymous or unknown. */
    readonly account: string | undefined;
    /**
     * Resources deducted for it: its demand, or everything that could be its own if the demand is not known.
     */
    demand: Resources;
    /** False for a run whose job has ended, as the job's specification is no longer kept. */
    readonly isDemandKnown: boolean;
    phase: RunPhase;
    /**
     * On the worker's clock: a report from after this time that does not list the run proves that it is not
     * on the worker and never will be. Either the deadline of its order, or the time at which the worker
     * answered that it runs or is stopped.
     */
    settledAfter: Millis;
    /** Whether the worker ever reported it as running. */
    wasReported: boolean;
    /** Whether an earlier leader ordered it. */
    readonly isInherited: boolean;
    /**
     * Queues with a priority number below this may have it preempted; undefined if stopping it would lose its
     * progress.
     */
    readonly preemptibleBelow: number | undefined;
    /** Whether it runs until it is stopped, so that its capacity does not come free by itself. */
    readonly isOpenEnded: boolean;
    /** Whether it must run exclusively, as its task may crash the worker. */
    readonly isExclusive: boolean;
    /** Whether a worker was lost just after it had started a task of the step. */
    readonly hasEarlyLoss: boolean;
    /** Expected run time; infinite if unknown. */
    readonly expectedMs: Millis;
    checkpoint: string;
    /** When it was ordered, on the leader's clock. */
    orderedAt: Millis;
}

/**
 * The required fields of a new run's record; the others default to those of a run that was not reported yet.
 */
export type NewRun =
    & Pick<RunRecord, "task" | "run" | "step" | "demand" | "phase" | "settledAfter" | "orderedAt">
    & Partial<RunRecord>;

export function buildRunRecord(run: NewRun): RunRecord {
    return {
        queue: "",
        account: undefined,
        isDemandKnown: true,
        wasReported: false,
        isInherited: false,
        isOpenEnded: false,
        isExclusive: false,
        hasEarlyLoss: false,
        preemptibleBelow: undefined,
        expectedMs: Infinity,
        checkpoint: "",
        ...run,
    };
}

/** Weight of a new sample in a worker's slowness: single run times are off by a factor of 1.6. */
const SPEED_GAIN = 0.15;
/** Slow spells last for seconds; without new samples the slowness halves in this time. */
const SLOWNESS_HALF_LIFE_MS: Millis = 10_000;

/**
 * A tenth of all runs take more than twice their expected time, so runs of two steps on one worker rarely
 * both do.
 */
const OVERDUE_FACTOR = 2;
/** Reports of ended runs come up to one second late while a worker has nothing else to report. */
const OVERDUE_MARGIN_MS: Millis = 500;
const MIN_STALLED_STEPS = 2;
const STALLED_SHARE = 0.6;

/**
 * Returns the key of a run. The run number is part of it, as a task may have an older run on an unreachable
 * worker.
 */
export function makeRunKey(task: string, run: number): string {
    return `${task}#${run}`;
}

/**
 * State of one worker.
 *
 * @remarks Some workers start whatever they are ordered to, without admission checks, so forgetting a run too
 * early would let the next one overload the worker. Capacity is released only when the worker reports the
 * end, when the order certainly arrived too late, or when the worker's lease has certainly expired.
 */
export class WorkerState {
    readonly runs = new Map<string, RunRecord>();
    free: Resources;
    /** Whether it answers report requests, so that its runs are known. */
    isReachable = false;
    /** Whether the record that this leader extends leases on it is durable. */
    isAdopted = false;
    /** Whether leases on it are no longer extended, as it did not answer; see {@link WorkerLeases}. */
    isReleased = false;
    /** Whether it is in the worker list. */
    isListed = true;
    /** The run beside which nothing may start, if any. */
    exclusiveRun: RunRecord | undefined;
    private slowness = 0;
    private slownessAt: Millis = 0;
    /** Until when, on the leader's clock, it gets no new work because it refused or failed some. */
    avoidedUntil: Millis = -Infinity;

    /** @param record - The worker's registration. */
    constructor(public record: WorkerRecord) {
        this.free = record.capacity;
    }

    get id(): string {
        return this.record.workerId;
    }

    /**
     * Updates the slowness from one run.
     *
     * @param logRatio - Logarithm of the run's time divided by its expected time.
     */
    observeSpeed(logRatio: number, now: Millis): void {
        this.slowness = this.getSlowness(now) * (1 - SPEED_GAIN) + logRatio * SPEED_GAIN;
        this.slownessAt = now;
    }

    /**
     * Returns the logarithm of how much longer runs take here than expected; it decays while no run ends
     * here.
     */
    getSlowness(now: Millis): number {
        return this.slowness * 0.5 ** ((now - this.slownessAt) / SLOWNESS_HALF_LIFE_MS);
    }

    /** Tells whether it may be given new work. */
    isUsable(now: Millis): boolean {
        return this.isReachable && this.isAdopted && !this.isReleased && this.isListed &&
            !this.isStalled(now) &&
            !this.record.isDraining &&
            now >= this.avoidedUntil;
    }

    /**
     * Tells whether most runs here have taken far longer than expected.
     *
     * @remarks A worker whose tasks stall may still answer all calls. No run ends there, so its slowness,
     * which is derived from ended runs, does not change, and its free capacity would go on being filled.
     * Tasks of one step are alike and count once, as a single wrong estimate says nothing about the worker.
     */
    isStalled(now: Millis): boolean {
        if (this.runs.size < MIN_STALLED_STEPS) {
            return false;
        }
        const running = new Set<string>();
        const overdue = new Set<string>();
        for (const run of this.runs.values()) {
            if (run.phase === RunPhase.running && run.expectedMs !== Infinity) {
                running.add(run.step);
                if (now - run.orderedAt > run.expectedMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS) {
                    overdue.add(run.step);
                }
            }
        }
        return running.size >= MIN_STALLED_STEPS && overdue.size >= running.size * STALLED_SHARE;
    }

    /** Applies a newer registration of the same incarnation. */
    updateRecord(record: WorkerRecord): void {
        const used = removeResources(this.record.capacity, this.free);
        this.record = record;
        this.free = removeResources(record.capacity, used);
    }

    /** Adds a run and deducts its demand from the free capacity. */
    addRun(run: RunRecord): void {
        this.runs.set(makeRunKey(run.task, run.run), run);
        this.free = removeResources(this.free, run.demand);
        this.exclusiveRun = run.isExclusive ? run : this.exclusiveRun;
    }

    /**
     * Removes a run and releases its capacity.
     *
     * @remarks Runs whose demand is not known together hold all capacity that was free, until the last of
     * them has ended. If the first to end released it, the worker would seem empty while others, such as
     * further runs of a cancelled job, are still being stopped, and new work would overload it.
     */
    removeRun(task: string, run: number): RunRecord | undefined {
        const key = makeRunKey(task, run);
        const record = this.runs.get(key);
        if (record === undefined) {
            return undefined;
        }
        this.runs.delete(key);
        this.exclusiveRun = this.exclusiveRun === record ? undefined : this.exclusiveRun;
        const successor = record.isDemandKnown ? undefined : this.findRunOfUnknownDemand();
        if (successor === undefined) {
            this.free = addResources(this.free, record.demand);
        }
        else {
            successor.demand = addResources(successor.demand, record.demand);
        }
        return record;
    }

    getRun(task: string, run: number): RunRecord | undefined {
        return this.runs.get(makeRunKey(task, run));
    }

    /** Tells whether its runs exceed its capacity, which may have shrunk since they were placed. */
    isOvercommitted(): boolean {
        return !isWithin(NO_RESOURCES, this.free);
    }

    countRunsOfStep(step: string): number {
        let count = 0;
        for (const run of this.runs.values()) {
            count += run.step === step ? 1 : 0;
        }
        return count;
    }

    private findRunOfUnknownDemand(): RunRecord | undefined {
        return [...this.runs.values()].find(run => !run.isDemandKnown);
    }
}
