/** Finds jobs that stand still although there is free capacity, as callers judge it after the end of a load. */
import type { Millis } from "../../common/clock.js";
import { addResources, isWithin, NO_RESOURCES, removeResources } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import { countFitting } from "../../common/resources.js";
import type { JobRegistry } from "../../process/jobs/job-registry.js";
import { isStepRunnable, listSteps } from "../../process/jobs/job.js";
import type { Job, Step } from "../../process/jobs/job.js";
import type { LoadProfile } from "./load-profile.js";

/** Time after the end of the load at which jobs are observed. */
export const FINISH_MS: Millis = 14_000;
/** Duration of the observation; a job that stands still all the while has stalled. */
const STALL_MS: Millis = 3_000;
/** How many times a task, or a whole gang, must fit on workers that may run it. */
const SPARE_FACTOR = 2;
/** Work may stand still while this share of all processors is in use. */
const BUSY_SHARE = 0.5;

/** A job that stood still. */
export interface StalledJob {
    readonly jobId: string;
    readonly queue: string;
    readonly steps: readonly string[];
    /** Since the beginning of the load. */
    readonly since: Millis;
    untilAt: Millis;
}

interface Run {
    readonly workerId: string;
    readonly demand: Resources;
}

/** Observes the workers and the open jobs of a played load. */
export class StalledJobs {
    private readonly runs = new Map<string, Run>();
    private readonly standing = new Map<string, StalledJob>();
    private readonly stalled = new Map<string, StalledJob>();

    /**
     * @param isAllowed - Whether a queue's policy allows a worker for a step.
     * @param busyShare - Share of all processors in use from which work may stand still.
     */
    constructor(
        private readonly profile: LoadProfile,
        private readonly isAllowed: (step: string, workerId: string) => boolean,
        private readonly busyShare: number = BUSY_SHARE,
    ) {}

    addRun(task: string, run: number, workerId: string, demand: Resources): void {
        this.runs.set(`${task}#${run}`, { workerId, demand });
    }

    removeRun(task: string, run: number): void {
        this.runs.delete(`${task}#${run}`);
    }

    /** Must be called several times a second; `at` counts from the beginning of the load. */
    observe(at: Millis, jobs: JobRegistry): void {
        const beginAt = this.profile.durationMs + FINISH_MS;
        if (at < beginAt || at > beginAt + STALL_MS) {
            return;
        }
        const standing = new Set<string>();
        for (const { job, steps } of this.listStanding(jobs)) {
            standing.add(job.id);
            const known = this.standing.get(job.id) ??
                {
                    jobId: job.id,
                    queue: job.queue,
                    steps: steps.map(({ name }) => name),
                    since: at,
                    untilAt: at,
                };
            known.untilAt = at;
            this.standing.set(job.id, known);
            if (at - known.since >= STALL_MS) {
                this.stalled.set(job.id, known);
            }
        }
        [...this.standing.keys()].filter(id => !standing.has(id)).forEach(id => this.standing.delete(id));
    }

    list(): readonly StalledJob[] {
        return [...this.stalled.values()];
    }

    /** Lists the jobs of which nothing runs, with their steps that could start beside what runs. */
    private *listStanding(
        jobs: JobRegistry,
    ): Iterable<{ readonly job: Job; readonly steps: readonly Step[]; }> {
        const used = this.computeUsed();
        const usedCpu = [...used.values()].reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
        if (usedCpu >= this.busyShare * this.profile.workers * this.profile.capacity.cpuMillis) {
            return;
        }
        const running = new Set([...this.runs.keys()].map(key => key.split(".")[0]));
        for (const job of jobs.listOpen()) {
            const steps = [...listSteps(job)].filter(step =>
                isStepRunnable(step) && this.hasSpare(step, used)
            );
            if (!running.has(job.id) && steps.length > 0) {
                yield { job, steps };
            }
        }
    }

    private hasSpare(step: Step, used: ReadonlyMap<string, Resources>): boolean {
        let places = 0;
        for (let number = 1; number <= this.profile.workers; number++) {
            const workerId = `w${number}`;
            const free = removeResources(this.profile.capacity, used.get(workerId) ?? NO_RESOURCES);
            if (this.isAllowed(step.name, workerId) && isWithin(step.spec.demand, free)) {
                places += Math.min(step.spec.maxPerWorker ?? Infinity, countFitting(step.spec.demand, free));
            }
        }
        return places >= SPARE_FACTOR * (step.spec.isGang ? step.waiting : 1);
    }

    private computeUsed(): ReadonlyMap<string, Resources> {
        const used = new Map<string, Resources>();
        for (const { workerId, demand } of this.runs.values()) {
            used.set(workerId, addResources(used.get(workerId) ?? NO_RESOURCES, demand));
        }
        return used;
    }
}
