/** The callers of a random day: they submit jobs, some repeatedly, cancel some, and check how they ended. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { countFitting } from "../../common/resources.js";
import type { Credential } from "../../process/accounts/credential.js";
import type { JobSpec } from "../../process/jobs/job-spec.js";
import { isStepReady, listSteps, TaskState } from "../../process/jobs/job.js";
import type { Step } from "../../process/jobs/job.js";
import type { CallerReply, QueueAddress } from "../../process/leader/requests.js";
import type { DayInvariantChecker } from "./day-invariant-checker.js";
import type { DayLeaders } from "./day-leaders.js";
import { DAY_CAPACITY, DAY_QUEUES } from "./day-work.js";
import type { DayQueue } from "./day-work.js";
import { HOST, makeJobId } from "./leader-cell.js";
import type { LeaderCell } from "./leader-cell.js";

const ANSWER_TIMEOUT_MS: Millis = 2_000;
/** Number of newest jobs among which callers pick one to submit again or cancel. */
const RECENT_JOBS = 20;
/** Crashes of workers under a job's tasks after which the job may fail. */
const CRASHES_TO_FAIL = 2;

/** A job from its caller's point of view. */
export interface DayJob {
    readonly number: number;
    readonly queue: DayQueue;
    readonly spec: JobSpec;
    /** How often it was submitted. */
    submitCount: number;
    readonly replies: CallerReply[];
    /** Whether a caller has ever requested its cancellation. */
    isCancelRequested: boolean;
}

/** Options of {@link DayCallers}. */
export interface DayCallersOptions {
    readonly cell: LeaderCell;
    readonly random: Random;
    readonly leaders: DayLeaders;
    readonly checker: DayInvariantChecker;
    readonly maxJobs: number;
    /** Whether queues may be missing at the end; jobs of a missing queue are not checked then. */
    readonly allowsMissingQueues: boolean;
    /** Lists the workers that the policy allows for a step at the end of the day. */
    readonly listAllowed: (step: string) => readonly string[];
    /** Returns the key with which a job is sent, by its number. */
    readonly getCredential: (jobNumber: number) => Credential;
}

/** Submits and cancels random jobs and checks that accepted jobs end as they must. */
export class DayCallers {
    constructor(private readonly options: DayCallersOptions, private readonly jobs: Map<string, DayJob>) {}

    /** Submits a job, or several at once. */
    submitBurst(): void {
        const { random, maxJobs } = this.options;
        const count = random.pickInt(4) === 0 ? 1 + random.pickInt(5) : 1;
        for (let number = 0; number < count && this.jobs.size < maxJobs; number++) {
            const job = this.makeJob();
            this.jobs.set(makeJobId(job.number), job);
            this.send(job);
            if (random.pickInt(5) === 0) {
                this.send(job);
            }
        }
    }

    /** Submits a recent job again. */
    submitAgain(): void {
        const job = this.pickRecent();
        if (job !== undefined) {
            this.send(job);
        }
    }

    /** Cancels a recent job. */
    cancel(): void {
        const job = this.pickRecent();
        if (job === undefined) {
            return;
        }
        const { leaders } = this.options;
        job.isCancelRequested = true;
        void leaders.request(leaders.get(), { kind: "cancel", ...this.buildAddress(job) });
    }

    /** Describes the accepted jobs that have not ended as they must. */
    async listUnfinished(): Promise<readonly string[]> {
        const broken: string[] = [];
        for (const job of this.jobs.values()) {
            const fault = await this.findFault(job);
            if (fault !== undefined) {
                broken.push(`job ${job.number} of ${job.queue.config.name}: ${fault}`);
            }
        }
        return broken;
    }

    /** Lists the jobs that ran although every submission was refused. */
    listRefusedStarts(): readonly string[] {
        return [...this.jobs.values()]
            .filter(({ replies, submitCount }) => replies.length === submitCount && replies.every(isRefusal))
            .filter(({ number }) => this.options.checker.describeJob(makeJobId(number)).length > 0)
            .map(({ number }) => `refused job ${number} ran`);
    }

    private buildAddress(job: DayJob): QueueAddress {
        return { host: HOST, path: getPath(job), credential: this.options.getCredential(job.number) };
    }

    private makeJob(): DayJob {
        const { random } = this.options;
        // Short jobs are only a fifth, so that gangs and single tasks fill the workers.
        const queues = [...DAY_QUEUES, ...DAY_QUEUES.slice(1)];
        const queue = queues[random.pickInt(queues.length)] as DayQueue;
        const number = this.jobs.size + 1;
        return {
            number,
            queue,
            spec: queue.makeSpec(random),
            submitCount: 0,
            replies: [],
            isCancelRequested: false,
        };
    }

    private pickRecent(): DayJob | undefined {
        const recent = [...this.jobs.values()].slice(-RECENT_JOBS);
        return recent[this.options.random.pickInt(Math.max(1, recent.length))];
    }

    /** Occasionally submits to an earlier leader, as a node does that has not learned of the new one. */
    private send(job: DayJob): void {
        const { random, leaders } = this.options;
        const leader = random.pickInt(12) === 0 ?
            leaders.all[random.pickInt(leaders.all.length)] ?? leaders.get() :
            leaders.get();
        const request = { kind: "submit", ...this.buildAddress(job), spec: job.spec } as const;
        job.submitCount += 1;
        void leaders.request(leader, request).then(reply => job.replies.push(reply));
    }

    private async findFault(job: DayJob): Promise<string | undefined> {
        const { cell, leaders } = this.options;
        if (!job.replies.some(reply => reply.kind === "accepted")) {
            return undefined;
        }
        const request = { kind: "show", ...this.buildAddress(job) } as const;
        const reply = await cell.clock.wait(leaders.request(leaders.get(), request), ANSWER_TIMEOUT_MS);
        const phase = reply.kind === "state" ? reply.phase : reply.kind;
        switch (phase) {
            case "completed":
                return undefined;
            case "cancelled":
                return job.isCancelRequested ? undefined : "is cancelled, though no caller cancelled it";
            case "failed":
                return this.hasCauseToFail(job) ?
                    undefined :
                    "has failed without enough failed runs, crashes or losses";
            case "noQueue":
                return this.options.allowsMissingQueues ? undefined : "has no queue";
            default:
                return this.describeWaiting(job, phase);
        }
    }

    private hasCauseToFail({ number, queue }: DayJob): boolean {
        const { checker } = this.options;
        const jobId = makeJobId(number);
        return checker.countFailures(jobId) >= queue.config.maxAttempts ||
            checker.countCrashes(jobId) >= CRASHES_TO_FAIL || checker.hasLostOften(jobId);
    }

    /** Describes a job that has not ended; undefined if no allowed workers can ever run its ready steps. */
    private describeWaiting(job: DayJob, phase: string): string | undefined {
        const known = this.options.leaders.get().jobs.get(makeJobId(job.number));
        if (known === undefined) {
            return `is ${phase}, and not in the job registry`;
        }
        const steps = [...listSteps(known)]
            .filter(step => step.done < step.tasks.length && isStepReady(step));
        if (steps.length > 0 && steps.every(step => !this.canEverRun(step))) {
            return undefined;
        }
        const tasks = steps.flatMap(step =>
            step.tasks.getAll().filter(task => task.state !== TaskState.done)
        );
        const states = tasks.map(({ name, state, run, workerId }) =>
            `${name} ${state} ${run} ${workerId ?? ""}`
        );
        return `is ${phase}: ${states.join(", ")}`;
    }

    /**
     * Returns whether the allowed workers, if empty, could hold the whole gang, or one task of a step without
     * a gang.
     */
    private canEverRun(step: Step): boolean {
        const { demand, maxPerWorker, isGang, taskCount } = step.spec;
        const places = Math.min(maxPerWorker ?? Infinity, countFitting(demand, DAY_CAPACITY));
        return places * this.options.listAllowed(step.name).length >= (isGang ? taskCount : 1);
    }
}

function isRefusal({ kind }: CallerReply): boolean {
    return kind === "refused" || kind === "unauthorized";
}

function getPath({ queue, number }: DayJob): string {
    return `${queue.config.pathPrefix}${makeJobId(number)}`;
}
