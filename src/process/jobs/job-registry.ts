/**
 * The state of all jobs of the cluster, derived from the durable events. A leader applies each event when it
 * decides it, but performs the event's side effects only once the event is durable. A new leader applies the
 * events that it reads from the store.
 */
import { Adoptions } from "./adoptions.js";
import { buildJob, buildOccurrence } from "./build-job.js";
import { hasCertainlyBegun, JobPhase, LossKind, RunEnd } from "./job-events.js";
import type {
    JobAccepted,
    JobClosed,
    JobEvent,
    QueueConfigured,
    RunAssigned,
    RunEnded,
    TaskCleared,
} from "./job-events.js";
import { parseTaskName } from "./job-spec.js";
import { isStepRunnable, listAssignedRuns, listSteps, TaskState } from "./job.js";
import type { Job, Step, Task } from "./job.js";
import { LossIndex } from "./worker-losses.js";

/** A task and its step. */
export interface FoundTask {
    readonly step: Step;
    readonly task: Task;
}

/**
 * Returns whether the end of a run changes its task: either the task is still assigned to that run, or the
 * run had been declared lost, is now reported as done after all, and no later run was assigned.
 */
export function isEffectiveEnd({ step, task }: FoundTask, run: number, end: RunEnd): boolean {
    if (task.run !== run) {
        return false;
    }
    const isDoneAfterAll = task.state === TaskState.waiting && end === RunEnd.done &&
        !step.spec.isGang && !step.spec.isLongRunning;
    return task.state === TaskState.assigned || isDoneAfterAll;
}

/** Holds all jobs and applies events to them. */
export class JobRegistry {
    private readonly jobs = new Map<string, Job>();
    /** Jobs that have not ended, indexed so that planning passes skip the ended ones. */
    private readonly open = new Map<string, Job>();
    /** Which leader adopted which worker. Changed only by events. */
    readonly adoptions = new Adoptions();
    /** Workers that were lost while they ran tasks. Changed only by events. */
    readonly losses = new LossIndex();
    /**
     * Settings of each queue, used for its jobs if the configuration in force no longer contains the queue.
     */
    private readonly queues = new Map<string, QueueConfigured>();

    /** Returns the last settings of a queue; undefined if unknown. */
    getQueue(name: string): QueueConfigured | undefined {
        return this.queues.get(name);
    }

    /** Lists the stored settings of queues. */
    listQueues(): Iterable<QueueConfigured> {
        return this.queues.values();
    }

    /** Lists the names of the queues with open jobs. */
    listOpenQueues(): ReadonlySet<string> {
        return new Set([...this.open.values()].map(job => job.queue));
    }

    /** Lists the workers that have assigned tasks or were lost with tasks that are not yet done. */
    listConcernedWorkers(): ReadonlySet<string> {
        const workers = new Set<string>(this.losses.listWorkers());
        for (const { task: { workerId } } of this.listAssigned()) {
            if (workerId !== undefined) {
                workers.add(workerId);
            }
        }
        return workers;
    }

    /** Lists the tasks that are assigned to workers. */
    *listAssigned(): Iterable<FoundTask> {
        for (const step of this.listOpenSteps()) {
            for (const task of step.tasks.listIn(TaskState.assigned)) {
                yield { step, task };
            }
        }
    }

    get(jobId: string): Job | undefined {
        return this.jobs.get(jobId);
    }

    /** Lists the jobs that have not ended, oldest first. */
    listOpen(): Iterable<Job> {
        return this.open.values();
    }

    /** Lists all jobs, including ended ones that were not yet forgotten. */
    listAll(): Iterable<Job> {
        return this.jobs.values();
    }

    /** Counts the jobs that have not ended. */
    countOpen(): number {
        return this.open.size;
    }

    /** Finds a task by its name in orders and reports; see {@link parseTaskName}. */
    findTask(name: string): FoundTask | undefined {
        const ref = parseTaskName(name);
        const step = ref && this.jobs.get(ref.jobId)?.occurrences.get(ref.occurrence)?.steps[ref.step];
        const task = ref && step?.tasks.get(ref.index);
        return step === undefined || task === undefined ? undefined : { step, task };
    }

    /** Finds the job, open or ended, to which a task belongs by its name. */
    findJobOfTask(name: string): Job | undefined {
        const ref = parseTaskName(name);
        return ref && this.jobs.get(ref.jobId);
    }

    /** Lists the steps of open jobs that have a task or a gang to start. */
    *listRunnable(): Iterable<Step> {
        for (const step of this.listOpenSteps()) {
            if (step.waiting > 0 && isStepRunnable(step)) {
                yield step;
            }
        }
    }

    /** Counts a queue's open jobs of which no run is known to have begun. */
    countPending(queue: string): number {
        let count = 0;
        for (const job of this.open.values()) {
            if (job.queue === queue && !job.hasStarted) {
                count += 1;
            }
        }
        return count;
    }

    /**
     * Opens the next occurrence of a job that runs repeatedly. This needs no event: an occurrence of which nothing is
     * recorded is opened again by the next leader.
     */
    openNextOccurrence(job: Job): void {
        this.ensureOccurrence(job, job.nextOccurrence);
    }

    /** Applies one event. Events that do not match the current state have no effect. */
    apply(event: JobEvent): void {
        switch (event.type) {
            case "accepted":
                return this.applyAccepted(event);
            case "assigned":
                return this.applyAssigned(event);
            case "started":
                return this.startJob(this.open.get(event.jobId));
            case "ended":
                return this.applyEnded(event);
            case "cancelled":
                return this.endJob(event.jobId, JobPhase.cancelled, event.at);
            case "closed":
                return this.applyClosed(event);
            case "forgotten":
                this.jobs.delete(event.jobId);
                return;
            case "adopted":
                this.adoptions.record(event.workerId, event.epoch, event.address);
                return;
            case "workerReleased":
                this.adoptions.release(event.workerId);
                return;
            case "workerCrashed":
                this.losses.confirm(event.workerId);
                return;
            case "workerSurvived":
                this.losses.withdraw(event.workerId);
                return;
            case "taskCleared":
                return this.applyCleared(event);
            case "queueConfigured":
                this.queues.set(event.queue.name, event);
                return;
            case "queueForgotten":
                this.queues.delete(event.name);
        }
    }

    /** Restores a job from a snapshot. */
    restore(job: Job): void {
        this.jobs.set(job.id, job);
        if (job.endedAt === 0) {
            this.open.set(job.id, job);
        }
    }

    /**
     * Drops a job whose acceptance never became durable, and empties it so that plans that refer to it find
     * no work.
     */
    dropUncommitted(jobId: string): void {
        const job = this.jobs.get(jobId);
        if (job !== undefined) {
            job.spec = undefined;
            job.occurrences.clear();
        }
        this.jobs.delete(jobId);
        this.open.delete(jobId);
    }

    private *listOpenSteps(): Iterable<Step> {
        for (const job of this.open.values()) {
            yield* listSteps(job);
        }
    }

    private applyAccepted(event: JobAccepted): void {
        if (this.jobs.has(event.jobId)) {
            return;
        }
        const job = buildJob(event);
        this.jobs.set(job.id, job);
        this.open.set(job.id, job);
        if (event.spec.repeat === undefined) {
            this.ensureOccurrence(job, 0);
        }
    }

    private applyAssigned(event: RunAssigned): void {
        const ref = parseTaskName(event.task);
        const job = ref && this.open.get(ref.jobId);
        if (ref === undefined || job === undefined) {
            return;
        }
        this.ensureOccurrence(job, ref.occurrence);
        const found = this.findTask(event.task);
        if (found === undefined || found.task.state !== TaskState.waiting) {
            return;
        }
        // A gang member that could not be started joins the others in the same run, on another worker.
        const lowestRun = found.step.spec.isGang ? found.task.run : found.task.run + 1;
        if (event.run < lowestRun) {
            return;
        }
        const { step, task } = found;
        task.state = TaskState.assigned;
        task.run = event.run;
        task.workerId = event.workerId;
        if (event.epoch !== undefined) {
            this.adoptions.record(event.workerId, event.epoch, event.address);
        }
        step.waiting -= 1;
        step.assigned += 1;
    }

    private startJob(job: Job | undefined): void {
        if (job !== undefined) {
            job.hasStarted = true;
            job.phase = JobPhase.running;
        }
    }

    private applyEnded(event: RunEnded): void {
        const found = this.findTask(event.task);
        if (found === undefined || !isEffectiveEnd(found, event.run, event.end)) {
            return;
        }
        const { step, task } = found;
        if (hasCertainlyBegun(event.end)) {
            this.startJob(step.job);
        }
        if (event.end === RunEnd.done && !step.spec.isLongRunning) {
            this.finishTasks(step, step.spec.isGang ? step.tasks.getAll() : [task]);
            return;
        }
        if (event.end === RunEnd.failed) {
            countFailure(step, task, event.run);
        }
        if (event.loss !== undefined && task.workerId !== undefined) {
            const isCrash = event.loss === LossKind.crashed;
            const isEarly = event.isEarlyLoss === true;
            const isCommon = event.isCommonLoss === true;
            const { run, lostAt: at } = event;
            this.losses.add(task, { workerId: task.workerId, run, isCrash, isEarly, at, isCommon });
        }
        task.state = TaskState.waiting;
        task.workerId = undefined;
        if (event.checkpoint !== "") {
            task.checkpoint = event.checkpoint;
        }
        step.assigned -= 1;
        step.waiting += 1;
        if (step.spec.isGang && event.checkpoint !== "") {
            step.tasks.getAll().forEach(member => member.checkpoint = event.checkpoint);
        }
    }

    /** Marks tasks as done. For a gang, the caller passes all members as soon as one of them is done. */
    private finishTasks(step: Step, tasks: readonly Task[]): void {
        for (const task of tasks) {
            if (task.state === TaskState.done) {
                continue;
            }
            step[task.state === TaskState.assigned ? "assigned" : "waiting"] -= 1;
            step.done += 1;
            task.state = TaskState.done;
            task.workerId = undefined;
            task.checkpoint = "";
            this.losses.clear(task);
        }
        if (step.done === step.tasks.length) {
            step.occurrence.openSteps -= 1;
        }
        if (step.occurrence.openSteps === 0) {
            step.job.occurrences.delete(step.occurrence.number);
        }
    }

    private applyCleared({ task }: TaskCleared): void {
        const found = this.findTask(task);
        if (found !== undefined) {
            this.losses.clear(found.task);
        }
    }

    private applyClosed(event: JobClosed): void {
        this.endJob(event.jobId, event.phase, event.at);
    }

    private endJob(jobId: string, phase: JobPhase, at: number): void {
        const job = this.open.get(jobId);
        if (job === undefined) {
            return;
        }
        job.phase = phase;
        job.endedAt = at;
        this.forgetLosses(job);
        job.leftRuns = listAssignedRuns(job);
        job.spec = undefined;
        job.occurrences.clear();
        this.open.delete(jobId);
    }

    private forgetLosses(job: Job): void {
        for (const step of listSteps(job)) {
            for (const task of step.tasks.listTouched()) {
                this.losses.clear(task);
            }
        }
    }

    private ensureOccurrence(job: Job, number: number): void {
        while (job.spec !== undefined && job.nextOccurrence <= number) {
            const occurrence = buildOccurrence(job, job.spec, job.nextOccurrence);
            job.occurrences.set(job.nextOccurrence, occurrence);
            job.nextOccurrence += 1;
        }
    }
}

/** Returns whether every occurrence of a job is done. */
export function isJobDone(job: Job): boolean {
    const total = job.spec?.repeat?.count ?? 1;
    return job.nextOccurrence >= total && job.occurrences.size === 0;
}

function countFailure(step: Step, task: Task, run: number): void {
    if (task.workerId !== undefined) {
        task.failedOn = new Set([...task.failedOn, task.workerId]);
    }
    if (!step.spec.isGang) {
        task.failures += 1;
    }
    else if (run > step.lastFailedRun) {
        step.failures += 1;
        step.lastFailedRun = run;
    }
}
