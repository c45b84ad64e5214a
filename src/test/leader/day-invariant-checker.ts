/** Records the runs on the workers of a random day and checks that the scheduler's guarantees hold. */
import type { Clock, Millis } from "../../common/clock.js";
import { isWithin } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import { RunEnd } from "../../process/jobs/job-events.js";
import type { JobSpec, StepSpec } from "../../process/jobs/job-spec.js";
import { formatStepName, formatTaskName, parseTaskName } from "../../process/jobs/job-spec.js";
import type { EndedRun, StartOrder } from "../../process/ports/task-worker-port.js";
import type { TaskWorkerModel } from "../../stand-ins/index.js";
import { findStepSpec } from "./day-work.js";

/** Time that started members of a gang wait for the others. */
const GANG_WAIT_MS: Millis = 3_000;

/** Crashes of workers under a task after which the number of its further starts is limited. */
const CRASHES_BEFORE_LIMIT = 3;
const STARTS_AFTER_CRASHES = 2;
/** A loss counts as early until a worker's report can have shown that the run has worked for a second. */
const EARLY_MS: Millis = 2_000;
/** Number of early losses, and of all losses, after which a task may be given up. */
const EARLY_LOSSES_TO_FAIL = 3;
const LOSSES_TO_FAIL = 5;

/** A run on a worker. */
interface LiveRun {
    readonly task: string;
    readonly run: number;
    readonly workerId: string;
    readonly model: TaskWorkerModel;
    readonly startedAt: Millis;
}

/** Counts of a task's runs that were lost with their workers. */
interface LostRuns {
    count: number;
    /** Those lost within {@link EARLY_MS} of their start. */
    early: number;
}

/** A run that ended as done on a worker. */
interface Completion {
    readonly workerId: string;
    readonly task: string;
    hasLeaseExpired: boolean;
    /** Whether a leader has durably recorded it. */
    isAcknowledged: boolean;
    /** Later runs of the same task or gang. */
    readonly laterStarts: string[];
}

/** An event in the history of a task's runs. */
export interface RunEvent {
    readonly at: Millis;
    readonly text: string;
    readonly task: string;
}

/** Observes the workers of a random day; violations of guarantees are collected in {@link faults}. */
export class DayInvariantChecker {
    readonly faults: string[] = [];
    readonly events: RunEvent[] = [];
    private readonly live = new Map<string, LiveRun>();
    private readonly completions = new Map<string, Completion[]>();
    private readonly gangs = new Map<string, LiveRun[]>();
    private readonly workingGangs = new Set<string>();
    /** Newest checkpoint that a leader has recorded, by task; gangs have none here. */
    private readonly checkpoints = new Map<string, { readonly run: number; readonly workMs: number; }>();
    /** Checkpoint from which the members of a gang's run resumed. */
    private readonly gangCheckpoints = new Map<string, string>();
    private readonly failures = new Map<string, Set<number>>();
    /** Number of workers that crashed under each task. */
    private readonly crashes = new Map<string, number>();
    private readonly lostRuns = new Map<string, LostRuns>();

    /**
     * @param findSpec - Finds a job as it was submitted.
     * @param handleStopped - Called after each run that was stopped by an order.
     * @param isAccepted - Returns whether leaders accepted an end as that of the task's current run, not as a
     * late one.
     */
    constructor(
        private readonly clock: Clock,
        private readonly findSpec: (jobId: string) => JobSpec | undefined,
        private readonly handleStopped: () => void,
        private readonly isAccepted: (task: string, run: number) => boolean,
    ) {}

    /** Records the start of a run and checks what must hold then. */
    observeStart(model: TaskWorkerModel, order: StartOrder, used: Resources, capacity: Resources): void {
        const { task, run, checkpoint } = order;
        const { workerId } = model;
        this.recordEvent(
            task,
            `start ${run} on ${workerId} by epoch ${order.epoch} from ${checkpoint || "0"}`,
        );
        const spec = this.findSpec(parseTaskName(task)?.jobId ?? "");
        const step = findStepSpec(spec, task);
        if (spec === undefined || step === undefined) {
            this.faults.push(`${task} was never submitted`);
            return;
        }
        const other = this.live.get(task);
        if (other !== undefined) {
            this.faults.push(`${task} runs on ${other.workerId} and on ${workerId}`);
        }
        if (!isWithin(used, capacity)) {
            this.faults.push(`${workerId} is over its capacity`);
        }
        if (order.payload !== spec.payload) {
            this.faults.push(`${task} received another job's payload`);
        }
        this.checkOrder(task, spec);
        this.checkCheckpoint(task, step, run, checkpoint);
        for (const done of this.completions.get(getWorkUnit(task, step)) ?? []) {
            done.laterStarts.push(`${task}#${run}`);
            if (done.isAcknowledged) {
                this.faults.push(`${task}#${run} began after it was known to be done`);
            }
        }
        const started = { task, run, workerId, model, startedAt: this.clock.now() };
        this.live.set(task, started);
        if (step.isGang) {
            this.addMember(started, step);
        }
    }

    /** Records that a worker crashed under a task. */
    observeCrash(task: string): void {
        const count = this.countCrashes(task) + 1;
        this.crashes.set(task, count);
        this.recordEvent(task, `crash ${count}`);
        if (count === CRASHES_BEFORE_LIMIT + STARTS_AFTER_CRASHES + 1) {
            this.faults.push(`${task} was started ${count} times, each of which crashed its worker`);
        }
    }

    /** Returns whether a task of a job was lost with workers so often that it may be given up. */
    hasLostOften(jobId: string): boolean {
        return [...this.lostRuns].some(([task, { count, early }]) =>
            task.startsWith(jobId) && (early >= EARLY_LOSSES_TO_FAIL || count >= LOSSES_TO_FAIL)
        );
    }

    private countLoss({ task, startedAt }: LiveRun, end: RunEnd): void {
        if (end !== RunEnd.lost) {
            return;
        }
        const lost = this.lostRuns.get(task) ?? { count: 0, early: 0 };
        lost.count += 1;
        lost.early += this.clock.now() - startedAt < EARLY_MS ? 1 : 0;
        this.lostRuns.set(task, lost);
    }

    /** Counts the workers that crashed under a task, or under any task of a job. */
    countCrashes(prefix: string): number {
        const counts = [...this.crashes].filter(([task]) => task.startsWith(prefix));
        return counts.reduce((sum, [, count]) => sum + count, 0);
    }

    /** Records the end of a run. */
    observeEnd(workerId: string, task: string, run: number, end: RunEnd): void {
        this.recordEvent(task, `end ${run} on ${workerId}: ${end}`);
        const live = this.live.get(task);
        if (live?.workerId === workerId) {
            this.live.delete(task);
            this.countLoss(live, end);
        }
        const step = findStepSpec(this.findSpec(parseTaskName(task)?.jobId ?? ""), task);
        if (step === undefined) {
            return;
        }
        if (end === RunEnd.done) {
            const work = getWorkUnit(task, step);
            const done = { workerId, task, hasLeaseExpired: false, isAcknowledged: false, laterStarts: [] };
            this.completions.set(work, [...this.completions.get(work) ?? [], done]);
        }
        if (step.isGang) {
            this.endGang(task, run, end);
        }
        if (end === RunEnd.stopped) {
            this.handleStopped();
        }
    }

    /** Records that a leader acknowledged an end, so that the worker may forget it. */
    observeAcknowledged(workerId: string, { task, run, end, checkpoint }: EndedRun): void {
        const step = findStepSpec(this.findSpec(parseTaskName(task)?.jobId ?? ""), task);
        if (step === undefined) {
            return;
        }
        const work = getWorkUnit(task, step);
        const done = this.completions.get(work)?.find(other =>
            other.workerId === workerId && other.task === task
        );
        if (end === RunEnd.done && done?.hasLeaseExpired === false) {
            done.isAcknowledged = true;
            if (done.laterStarts.length > 0) {
                this.faults.push(`${task} was done, and ${done.laterStarts.join(", ")} began later`);
            }
        }
        if (end === RunEnd.failed) {
            this.failures.set(work, (this.failures.get(work) ?? new Set()).add(run));
        }
        const known = this.checkpoints.get(work);
        if (!step.isGang && checkpoint !== "" && run >= (known?.run ?? 0) && this.isAccepted(task, run)) {
            const workMs = Math.max(Number(checkpoint), known?.run === run ? known.workMs : 0);
            this.checkpoints.set(work, { run, workMs });
        }
    }

    /** Records that a worker's lease has expired: ends that it reports later need not be accepted. */
    observeLeaseExpiry(workerId: string): void {
        for (const done of [...this.completions.values()].flat()) {
            if (done.workerId === workerId) {
                done.hasLeaseExpired = true;
            }
        }
    }

    /** Returns the largest number of failed runs of any task or gang of a job. */
    countFailures(jobId: string): number {
        const counts = [...this.failures].filter(([work]) => work.startsWith(jobId)).map(([, runs]) =>
            runs.size
        );
        return Math.max(0, ...counts);
    }

    /** Lists the recorded events of a job's runs, one line each. */
    describeJob(jobId: string): readonly string[] {
        return this.events
            .filter(event => event.task.startsWith(jobId))
            .map(event => `${Math.round(event.at)} ${event.task} ${event.text}`);
    }

    private recordEvent(task: string, text: string): void {
        this.events.push({ at: this.clock.now(), task, text });
    }

    /** Checks that all tasks of the steps that a task depends on are done. */
    private checkOrder(task: string, spec: JobSpec): void {
        const ref = parseTaskName(task);
        for (const number of ref === undefined ? [] : spec.steps[ref.step]?.after ?? []) {
            const earlier = spec.steps[number];
            for (let index = 0; ref !== undefined && index < (earlier?.taskCount ?? 0); index++) {
                const name = formatTaskName({ ...ref, step: number, index });
                if (earlier !== undefined && !this.completions.has(getWorkUnit(name, earlier))) {
                    this.faults.push(`${task} began before ${name} was done`);
                }
            }
        }
    }

    /**
     * Checks that a task resumes from its newest checkpoint, and that all members of a gang resume from the
     * same one.
     */
    private checkCheckpoint(task: string, step: StepSpec, run: number, checkpoint: string): void {
        if (step.isGang) {
            const key = makeGangKey(task, run);
            const other = this.gangCheckpoints.get(key) ?? checkpoint;
            this.gangCheckpoints.set(key, other);
            if (other !== checkpoint) {
                this.faults.push(
                    `${task}#${run} resumed from ${checkpoint || "0"}, other members from ${other || "0"}`,
                );
            }
            return;
        }
        const known = this.checkpoints.get(task);
        if (known !== undefined && run > known.run && Number(checkpoint) < known.workMs) {
            this.faults.push(`${task}#${run} resumed from ${checkpoint || "0"}, not from ${known.workMs}`);
        }
    }

    private addMember(started: LiveRun, step: StepSpec): void {
        const key = makeGangKey(started.task, started.run);
        const members = this.gangs.get(key) ?? [];
        members.push(started);
        this.gangs.set(key, members);
        if (members.length === 1) {
            this.clock.schedule(GANG_WAIT_MS, () => this.endWait(key));
        }
        if (members.length === step.taskCount) {
            this.workingGangs.add(key);
            members.forEach(({ model, task, run }) => model.startWork(task, run));
        }
    }

    private endWait(key: string): void {
        if (!this.workingGangs.has(key)) {
            this.finishGang(key, RunEnd.alone);
        }
    }

    private endGang(task: string, run: number, end: RunEnd): void {
        const key = makeGangKey(task, run);
        const isWorking = this.workingGangs.has(key);
        const members = (this.gangs.get(key) ?? []).filter(member => member.task !== task);
        this.gangs.set(key, members);
        if (isWorking) {
            this.workingGangs.delete(key);
            this.finishGang(key, end === RunEnd.done ? RunEnd.done : RunEnd.broken);
        }
    }

    private finishGang(key: string, end: RunEnd): void {
        const members = this.gangs.get(key) ?? [];
        this.gangs.delete(key);
        members.forEach(({ model, task, run }) => model.finishRun(task, run, end));
    }
}

function getStepName(task: string): string {
    const ref = parseTaskName(task);
    return ref === undefined ? task : formatStepName(ref);
}

function makeGangKey(task: string, run: number): string {
    return `${getStepName(task)}#${run}`;
}

/** Returns the name of the unit that ends as a whole: the step of a gang, or else the task. */
function getWorkUnit(task: string, step: StepSpec): string {
    return step.isGang ? getStepName(task) : task;
}
