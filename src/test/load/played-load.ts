/**
 * Plays a load against one leader in fake time, and measures what callers get and how many runs are preempted.
 */
import type { Millis } from "../../common/clock.js";
import { NO_RESOURCES } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import { RunEnd } from "../../process/jobs/job-events.js";
import { parseTaskName } from "../../process/jobs/job-spec.js";
import type { TaskBehavior } from "../../stand-ins/index.js";
import type { AccountConfig } from "../../version/cluster-config.js";
import { AdviceFault, DayAdvice } from "../leader/day-advice.js";
import { hashToFraction } from "../leader/day-work.js";
import { HOST, LeaderCell, makeJobId } from "../leader/leader-cell.js";
import type { TestLeader } from "../leader/leader-cell.js";
import { AdviceUse } from "./advice-use.js";
import { pickJobs } from "./load-profile.js";
import type { LoadClass, LoadJob, LoadProfile, NodeLoss } from "./load-profile.js";
import { StalledJobs } from "./stalled-jobs.js";
import type { StalledJob } from "./stalled-jobs.js";

/** Time after the last submission within which ends still count. */
const DRAIN_MS: Millis = 25_000;
const POLL_INTERVAL_MS: Millis = 100;
/** A job that takes longer than this multiple of its objective is worth nothing. */
const LATE_FACTOR = 3;
const LATE_WORTH = 0.2;
/** How callers repeat a submission while there is no leader. */
const RETRY_MS: Millis = 700;
const MAX_RETRIES = 4;

/** Results of one class of jobs. */
export interface ClassResult {
    readonly name: string;
    jobs: number;
    inTime: number;
    late: number;
    refused: number;
    offeredWorth: number;
    earnedWorth: number;
    /** Number of runs that were stopped to free capacity. */
    preemptions: number;
    /** Times from submission to the first start, of the jobs that started. */
    readonly startWaits: Millis[];
}

/** Result of a played load. */
export interface LoadResult {
    readonly classes: readonly ClassResult[];
    /** Earned share of the worth of all submitted jobs. */
    readonly worth: number;
    /** Mean share of all processors in use during the profile's duration. */
    readonly utilization: number;
    /** Violations of guarantees. */
    readonly faults: readonly string[];
    /** Jobs that stood still for seconds beside free capacity, long after the load. */
    readonly stalled: readonly StalledJob[];
    /** The same, however many processors were in use. */
    readonly standing: readonly StalledJob[];
    /** Use of the advice service. */
    readonly advice: AdviceUse;
    /** Earned share of the worth that each client account submitted. */
    readonly accounts: ReadonlyMap<string, number>;
}

const DEFAULT_STOP_MS: Millis = 400;

interface GangRun {
    readonly members: Map<string, string>;
    hasStarted: boolean;
}

/** One load on one leader; an instance is played once. */
export class PlayedLoad {
    private readonly cell = new LeaderCell(0);
    private readonly jobs: readonly LoadJob[];
    private readonly byId = new Map<string, LoadJob>();
    private readonly results = new Map<LoadClass, ClassResult>();
    private readonly gangs = new Map<string, GangRun>();
    private readonly startedJobs = new Set<number>();
    private readonly open = new Set<LoadJob>();
    private readonly advice: DayAdvice;
    private readonly startedAt = new Map<string, { readonly at: Millis; readonly cpuMillis: number; }>();
    private readonly offeredByAccount = new Map<string, number>();
    private readonly earnedByAccount = new Map<string, number>();
    private usedCpuMs = 0;
    private readonly adviceUse = new AdviceUse(this.cell.clock);
    private readonly stalled: StalledJobs;
    private readonly standing: StalledJobs;
    private leader: TestLeader | undefined;

    /** @param seed - Seed from which the jobs are generated. */
    constructor(private readonly profile: LoadProfile, seed: number) {
        this.jobs = pickJobs(profile, seed);
        this.jobs.forEach(job => this.byId.set(makeJobId(job.number), job));
        for (const kind of [...profile.classes, ...profile.extraClasses ?? []]) {
            this.results.set(kind, {
                name: kind.queue.name,
                jobs: 0,
                inTime: 0,
                late: 0,
                refused: 0,
                offeredWorth: 0,
                earnedWorth: 0,
                preemptions: 0,
                startWaits: [],
            });
        }
        this.cell.resumeCostMs = profile.resumeCostMs;
        this.cell.stopMs = profile.stopMs ?? DEFAULT_STOP_MS;
        this.cell.config = {
            ...this.cell.config,
            queues: profile.classes.map(({ queue }) => queue),
            ...profile.accounts && { accounts: profile.accounts },
        };
        this.advice = new DayAdvice(this.cell.clock, step => this.findAdvice(step), () => true);
        const isAllowed = (step: string, workerId: string): boolean => this.advice.isAllowed(step, workerId);
        this.stalled = new StalledJobs(profile, isAllowed);
        this.standing = new StalledJobs(profile, isAllowed, Infinity);
        for (let number = 1; number <= profile.workers; number++) {
            this.addWorker(`w${number}`, `10.0.0.${number}:80`);
        }
    }

    /** Plays the load until all jobs have ended or {@link DRAIN_MS} after its duration. */
    async play(): Promise<LoadResult> {
        const { clock } = this.cell;
        await this.installLeader(this.profile.nodes);
        await clock.step(1_000);
        const startTime = clock.now();
        this.adviceUse.setStart(startTime);
        for (const job of this.jobs) {
            clock.schedule(startTime + job.at - clock.now(), () => void this.submit(job, 0));
        }
        const { nodeLoss, durationMs } = this.profile;
        let hasLostNodes = false;
        while (clock.now() - startTime < durationMs + DRAIN_MS) {
            await clock.step(POLL_INTERVAL_MS);
            if (!hasLostNodes && nodeLoss !== undefined && clock.now() - startTime >= nodeLoss.at) {
                hasLostNodes = true;
                await this.loseNodes(nodeLoss);
            }
            this.observeEnds(startTime);
            if (this.leader !== undefined) {
                this.stalled.observe(clock.now() - startTime, this.leader.jobs);
                this.standing.observe(clock.now() - startTime, this.leader.jobs);
            }
            if (clock.now() - startTime >= durationMs && this.open.size === 0) {
                break;
            }
        }
        return this.computeResult();
    }

    private async installLeader(nodes: number): Promise<void> {
        const leader = await this.cell.startLeader();
        for (let node = 1; node <= nodes; node++) {
            const caller = this.advice.buildCaller(`n${node}`, leader.clock);
            leader.leader.addCaller(this.adviceUse.observeCaller(caller));
        }
        this.leader = leader;
    }

    /** The leader's node is the first one; the last nodes are lost, and the leader's too if there is a vacancy. */
    private async loseNodes({ remaining, vacancyMs }: NodeLoss): Promise<void> {
        if (vacancyMs !== undefined) {
            this.leader?.clock.kill();
            this.leader = undefined;
            await this.cell.clock.step(vacancyMs);
            await this.installLeader(remaining);
            return;
        }
        for (let node = remaining + 1; node <= this.profile.nodes; node++) {
            this.advice.setFault(`n${node}`, AdviceFault.failing);
            this.leader?.leader.advice.removeCaller(`n${node}`);
        }
    }

    private async submit(job: LoadJob, retries: number): Promise<void> {
        if (retries === 0) {
            const result = this.getResult(job);
            result.jobs += 1;
            result.offeredWorth += job.worth;
            addWorth(this.offeredByAccount, this.findAccount(job)?.name, job.worth);
            this.open.add(job);
        }
        const { leader } = this;
        if (leader === undefined) {
            if (retries < MAX_RETRIES) {
                this.cell.clock.schedule(RETRY_MS, () => void this.submit(job, retries + 1));
            }
            else {
                this.open.delete(job);
            }
            return;
        }
        const path = `${job.kind.queue.pathPrefix}${makeJobId(job.number)}`;
        const credential = this.findAccount(job)?.keyDigests[0];
        const reply = await leader.leader.serve({
            kind: "submit",
            host: HOST,
            path,
            credential,
            spec: job.spec,
        });
        if (reply.kind !== "accepted") {
            this.open.delete(job);
            this.getResult(job).refused += 1;
        }
    }

    /** Records the jobs that have ended, as a polling caller sees them. */
    private observeEnds(startTime: Millis): void {
        const now = this.cell.clock.now();
        for (const job of this.open) {
            const found = this.leader?.jobs.get(makeJobId(job.number));
            if (found === undefined || found.endedAt === 0) {
                continue;
            }
            this.open.delete(job);
            const took = now - startTime - job.at;
            const objective = computeObjective(job);
            const result = this.getResult(job);
            if (found.phase !== "completed" || took > objective * LATE_FACTOR) {
                continue;
            }
            const isLate = took > objective;
            result.late += isLate ? 1 : 0;
            result.inTime += isLate ? 0 : 1;
            const worth = job.worth * (isLate ? LATE_WORTH : 1);
            result.earnedWorth += worth;
            addWorth(this.earnedByAccount, this.findAccount(job)?.name, worth);
        }
    }

    private computeResult(): LoadResult {
        const classes = [...this.results.values()];
        const offeredWorth = classes.reduce((sum, result) => sum + result.offeredWorth, 0);
        const earnedWorth = classes.reduce((sum, result) => sum + result.earnedWorth, 0);
        const availableCpuMs = this.profile.workers * this.profile.capacity.cpuMillis *
            this.profile.durationMs;
        return {
            classes,
            worth: earnedWorth / offeredWorth,
            utilization: this.usedCpuMs / availableCpuMs,
            faults: this.cell.faults,
            stalled: this.stalled.list(),
            standing: this.standing.list(),
            advice: this.adviceUse,
            accounts: new Map(
                [...this.offeredByAccount].map(([name, offered]) => [
                    name,
                    (this.earnedByAccount.get(name) ?? 0) / offered,
                ]),
            ),
        };
    }

    private findAccount({ number, kind }: LoadJob): AccountConfig | undefined {
        const { accounts } = this.profile;
        return kind.account === undefined ?
            accounts?.[number % accounts.length] :
            accounts?.find(({ name }) => name === kind.account);
    }

    private getResult({ kind }: LoadJob): ClassResult {
        const result = this.results.get(kind);
        if (result === undefined) {
            throw new Error(`queue ${kind.queue.name} is not in the load profile`);
        }
        return result;
    }

    private findJob(task: string): { readonly job: LoadJob; readonly step: number; } | undefined {
        const ref = parseTaskName(task);
        const job = this.byId.get(ref?.jobId ?? task.split(".")[0] ?? "");
        const step = ref?.step ?? Number(task.split(".")[2]);
        return job === undefined ? undefined : { job, step };
    }

    private findAdvice(step: string): ReturnType<ConstructorParameters<typeof DayAdvice>[1]> {
        const kind = this.findJob(step)?.job.kind;
        const policy = kind?.queue.advice;
        if (kind === undefined || policy === undefined) {
            return undefined;
        }
        const { adviceSlowness = 1 } = this.profile;
        const decideMs = policy.decideMs * adviceSlowness;
        const perWorkerMs = policy.perWorkerMs * adviceSlowness;
        return { policy: { ...policy, decideMs, perWorkerMs }, allowedShare: kind.allowedShare };
    }

    private addWorker(workerId: string, address: string): void {
        this.cell.addWorker(workerId, address, {
            capacity: this.profile.capacity,
            stopMs: this.profile.stopMs ?? DEFAULT_STOP_MS,
            getBehavior: (task, run) => this.describeRun(task, run),
            isPermitted: (task, permit) => this.advice.isPermitted(task, workerId, permit),
            handleStart: (task, run, used, order) => {
                this.adviceUse.observeStart(order.permit);
                this.stalled.addRun(task, run, workerId, this.findDemand(task));
                this.standing.addRun(task, run, workerId, this.findDemand(task));
                if (used.cpuMillis > this.profile.capacity.cpuMillis) {
                    this.cell.faults.push(`${workerId} is over its capacity`);
                }
                this.handleStart(task, run, address);
            },
            handleEnd: (task, run, end) => {
                this.stalled.removeRun(task, run);
                this.standing.removeRun(task, run);
                this.handleEnd(task, run, end);
            },
        });
    }

    private findDemand(task: string): Resources {
        const found = this.findJob(task);
        return found?.job.spec.steps[found.step]?.demand ?? NO_RESOURCES;
    }

    private describeRun(task: string, run: number): TaskBehavior {
        const found = this.findJob(task);
        const spec = found?.job.spec.steps[found.step];
        if (found === undefined || spec === undefined) {
            throw new Error(`task ${task} belongs to no submitted job`);
        }
        const unit = spec.isGang ? `${task.split(".").slice(0, 3).join(".")}` : task;
        const isFailing = hashToFraction(`${unit}#${run}`) < found.job.kind.failingShare;
        return {
            demand: spec.demand,
            runMs: found.job.runMs[found.step] ?? 0,
            end: isFailing ? "failed" : "done",
            savesCheckpoints: spec.savesCheckpoints,
            waitsForGang: spec.isGang,
        };
    }

    private handleStart(task: string, run: number, address: string): void {
        const found = this.findJob(task);
        if (found === undefined) {
            return;
        }
        const { job, step } = found;
        if (!this.startedJobs.has(job.number)) {
            this.startedJobs.add(job.number);
            this.getResult(job).startWaits.push(this.cell.clock.now() - 1_000 - job.at);
        }
        const spec = job.spec.steps[step];
        this.startedAt.set(`${task}#${run}`, {
            at: this.cell.clock.now(),
            cpuMillis: spec?.demand.cpuMillis ?? 0,
        });
        if (spec?.isGang !== true) {
            return;
        }
        const key = `${job.number}.${step}#${run}`;
        const gang = this.gangs.get(key) ?? { members: new Map<string, string>(), hasStarted: false };
        this.gangs.set(key, gang);
        gang.members.set(task, address);
        if (gang.members.size === spec.taskCount && !gang.hasStarted) {
            gang.hasStarted = true;
            gang.members.forEach((at, member) => this.cell.getModel(at).startWork(member, run));
        }
    }

    private handleEnd(task: string, run: number, end: RunEnd): void {
        this.addCpuUse(`${task}#${run}`);
        const found = this.findJob(task);
        if (found === undefined) {
            return;
        }
        const { job, step } = found;
        if (end === RunEnd.stopped) {
            this.getResult(job).preemptions += 1;
        }
        const gang = this.gangs.get(`${job.number}.${step}#${run}`);
        if (gang?.members.delete(task) === true && end !== RunEnd.done) {
            for (const [member, at] of [...gang.members]) {
                gang.members.delete(member);
                this.cell.getModel(at).finishRun(member, run, RunEnd.broken);
            }
        }
    }

    private addCpuUse(key: string): void {
        const started = this.startedAt.get(key);
        const end = 1_000 + this.profile.durationMs;
        if (started !== undefined) {
            const usedMs = Math.min(end, this.cell.clock.now()) - Math.min(end, started.at);
            this.usedCpuMs += usedMs * started.cpuMillis;
        }
    }
}

function addWorth(sums: Map<string, number>, account: string | undefined, worth: number): void {
    if (account !== undefined) {
        sums.set(account, (sums.get(account) ?? 0) + worth);
    }
}

function computeObjective({ kind, runMs }: LoadJob): Millis {
    return kind.queue.stretch * runMs.reduce((sum, ms) => sum + ms, 0) + kind.queue.targetMs;
}
