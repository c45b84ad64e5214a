/**
 * A randomized simulation of a cluster with three queues ("random day"): bursts of jobs, gangs that preempt
 * less urgent runs, advice, cancellations, and faults of leaders, store, workers, worker list, advice service
 * and configuration. Then all faults end, and every accepted job must end.
 */
import type { Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import { NO_RESOURCES } from "../../common/resources.js";
import { parseTaskName } from "../../process/jobs/job-spec.js";
import type { TaskBehavior } from "../../stand-ins/index.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import type { CallFault } from "../fakes/call-path.js";
import { DayAccounts } from "./day-accounts.js";
import { AdviceFault, DayAdvice } from "./day-advice.js";
import type { StepAdvice } from "./day-advice.js";
import { DayCallers } from "./day-callers.js";
import type { DayJob } from "./day-callers.js";
import { DayInvariantChecker } from "./day-invariant-checker.js";
import { DAY_NODES, DayLeaders } from "./day-leaders.js";
import { DAY_QUEUES, describeRun, findStepSpec, hashToFraction } from "./day-work.js";
import { DayWorkers } from "./day-workers.js";
import type { DayWorker, WorkerHooks } from "./day-workers.js";
import { LeaderCell } from "./leader-cell.js";

/** Time after the last action within which all temporary faults end by themselves. */
const RECOVERY_MS: Millis = 15_000;
/** Time within which every job must end once there are no more faults. */
const SETTLE_MS: Millis = 120_000;
const SETTLE_STEP_MS: Millis = 2_000;
/** Time from the start of a crashing task to its worker's crash, and mean time until the worker restarts. */
const CRASH_AFTER_MS: Millis = 10;
const CRASH_DOWN_MS: Millis = 3_000;

/** Options of a {@link RandomDay}. */
export interface DayOptions {
    readonly actionCount: number;
    readonly maxJobs: number;
    /** Longest time between two actions. */
    readonly maxGapMs: Millis;
    /** Whether a dropped queue may be missing at the end; its jobs are not checked then. */
    readonly leavesQueuesDropped: boolean;
    /** Whether the advice service allows only workers that are in the worker list at that moment. */
    readonly advisesByList: boolean;
    /** Share of the jobs with a task that crashes each worker that starts it. */
    readonly crashingShare: number;
    /** Whether the capacity of workers shrinks and grows again. */
    readonly shrinksWorkers: boolean;
    /** Whether jobs are sent by client accounts with quotas, which change. */
    readonly hasAccounts: boolean;
    /** Whether workers start again under the name that they had. */
    readonly keepsWorkerNames: boolean;
}

/** Lengths and loads of days; the seed selects one. */
const SHAPES: readonly Pick<DayOptions, "actionCount" | "maxJobs" | "maxGapMs">[] = [
    { actionCount: 150, maxJobs: 110, maxGapMs: 450 },
    { actionCount: 300, maxJobs: 200, maxGapMs: 450 },
    { actionCount: 150, maxJobs: 60, maxGapMs: 900 },
    { actionCount: 100, maxJobs: 160, maxGapMs: 200 },
];

type Action = () => Promise<void> | void;

/** Returns the options of a seed's day. */
export function chooseDayOptions(seed: number, change: Partial<DayOptions> = {}): DayOptions {
    const shape = SHAPES[seed % SHAPES.length] as (typeof SHAPES)[number];
    return {
        ...shape,
        leavesQueuesDropped: false,
        advisesByList: false,
        crashingShare: 0,
        shrinksWorkers: false,
        hasAccounts: false,
        keepsWorkerNames: false,
        ...change,
    };
}

/** Runs one random day and reports the violated guarantees. */
export class RandomDay {
    readonly checker: DayInvariantChecker;
    readonly leaders: DayLeaders;
    private readonly cell = new LeaderCell(0);
    private readonly random: Random;
    private readonly advice: DayAdvice;
    private readonly jobs = new Map<string, DayJob>();
    private readonly workers: DayWorkers;
    private readonly callers: DayCallers;
    private readonly accounts: DayAccounts | undefined;
    private readonly actions: readonly Action[];
    private configVersion = 1;
    /** Time until all work had ended once all was well. */
    settledMs: Millis = 0;

    /**
     * @param seed - Determines the whole day together with the options.
     */
    constructor(seed: number, private readonly options: DayOptions = chooseDayOptions(seed)) {
        const { cell } = this;
        this.random = createRandom(seed);
        this.advice = new DayAdvice(
            cell.clock,
            step => this.findAdvice(step),
            workerId => !options.advisesByList || this.workers.isListed(workerId),
        );
        this.leaders = new DayLeaders(cell, this.random, this.advice);
        this.checker = new DayInvariantChecker(
            cell.clock,
            jobId => this.jobs.get(jobId)?.spec,
            () => this.leaders.handleStopped(),
            (task, run) => this.leaders.hasAcceptedEnd(task, run),
        );
        this.workers = new DayWorkers(
            cell,
            this.random,
            (worker, workerId) => this.buildHooks(worker, workerId),
            this.leaders,
            options.keepsWorkerNames,
        );
        const { random, leaders, checker } = this;
        this.accounts = options.hasAccounts ? new DayAccounts(cell.clock, checker.faults) : undefined;
        this.callers = new DayCallers({
            cell,
            random,
            leaders,
            checker,
            maxJobs: options.maxJobs,
            allowsMissingQueues: options.leavesQueuesDropped,
            listAllowed: step => this.listAllowed(step),
            getCredential: number => this.accounts?.getCredential(number),
        }, this.jobs);
        cell.config = {
            ...cell.config,
            queues: DAY_QUEUES.map(queue => queue.config),
            ...this.accounts && { accounts: this.accounts.buildConfig() },
        };
        this.actions = this.chooseActions();
    }

    /**
     * Runs the day.
     * @returns Violated guarantees and unfinished jobs; empty if there are none.
     */
    async run(): Promise<readonly string[]> {
        await this.leaders.install();
        for (let index = 0; index < this.options.actionCount; index++) {
            await this.pick(this.actions)();
            await this.cell.clock.step(this.random.pickInt(this.options.maxGapMs));
            await this.leaders.ensure();
        }
        await this.heal();
        const unfinished = await this.settle();
        return [...this.checker.faults, ...this.callers.listRefusedStarts(), ...unfinished];
    }

    /** Summarizes the day in one line. */
    describe(): string {
        const events = ["runPreempted", "snapshotWritten", "foreignRunStopped", "runsLost"];
        return [
            `${this.jobs.size} jobs, ${this.leaders.all.length} leaders`,
            `${Math.round(this.cell.clock.now() / 1_000)} s, settled after ${this.settledMs / 1_000} s`,
            ...events.map(event => `${event} ${this.leaders.countLines(event)}`),
        ].join(", ");
    }

    /** Chooses a random subset of the kinds of faults, so that one kind does not always hide another. */
    private chooseActions(): readonly Action[] {
        const { leaders, workers, callers } = this;
        const kinds: readonly { readonly weight: number; readonly action: Action; }[] = [
            { weight: 4, action: () => leaders.replace() },
            { weight: 2, action: () => leaders.planLossAtStop() },
            { weight: 4, action: () => this.breakStore() },
            { weight: 6, action: () => this.breakWorkerPath() },
            { weight: 3, action: () => workers.dropFromList() },
            { weight: 2, action: () => workers.restart() },
            { weight: 2, action: () => workers.break() },
            { weight: 4, action: () => this.breakAdvice() },
            { weight: 1, action: () => this.dropQueue() },
            ...this.options.hasAccounts ? [{ weight: 3, action: () => this.applyRandomQuotas() }] : [],
            ...this.options.shrinksWorkers ? [{ weight: 6, action: () => workers.cutCapacity() }] : [],
            { weight: 4, action: () => callers.cancel() },
            { weight: 4, action: () => callers.submitAgain() },
        ];
        const faults = kinds.flatMap(({ weight, action }) => {
            const isEnabled = this.random.pickInt(5) < 3;
            return Array.from({ length: isEnabled ? weight : 0 }, () => action);
        });
        const submissions = Math.max(20, faults.length * 2);
        return [...faults, ...Array.from({ length: submissions }, () => () => callers.submitBurst())];
    }

    private pick<Value>(values: readonly Value[]): Value {
        return values[this.random.pickInt(values.length)] as Value;
    }

    private findAdvice(step: string): StepAdvice | undefined {
        const queue = this.jobs.get(step.split(".")[0] ?? "")?.queue;
        const policy = queue?.config.advice;
        return queue === undefined || policy === undefined ?
            undefined :
            { policy, allowedShare: queue.allowedShare };
    }

    private listAllowed(step: string): readonly string[] {
        return this.workers.all
            .map(({ workerId }) => workerId)
            .filter(workerId => this.advice.isAllowed(step, workerId));
    }

    private buildHooks(worker: DayWorker, workerId: string): WorkerHooks {
        const { checker, advice, cell } = this;
        return {
            isPermitted: (task, permit) => advice.isPermitted(task, workerId, permit),
            getBehavior: (task, run) => this.describeTask(task, run, worker.slowness),
            handleStart: (...[task, run, used, order]) => {
                const { demand } = this.describeTask(task, run, worker.slowness);
                this.accounts?.observeStart(workerId, task, demand);
                checker.observeStart(cell.getModel(worker.address), order, used, worker.allowedCapacity);
                if (this.isCrashing(task)) {
                    cell.clock.schedule(CRASH_AFTER_MS, () => this.killWorker(worker, workerId, task));
                }
            },
            handleEnd: (task, run, end) => {
                this.accounts?.observeEnd(workerId, task);
                checker.observeEnd(workerId, task, run, end);
            },
            handleAcknowledged: ended => checker.observeAcknowledged(workerId, ended),
            handleLapse: () => checker.observeLeaseExpiry(workerId),
        };
    }

    /** Returns whether a task crashes each worker that starts it; only the first task of a first step can. */
    private isCrashing(task: string): boolean {
        const ref = parseTaskName(task);
        return ref?.step === 0 && ref.index === 0 &&
            hashToFraction(`crash ${ref.jobId}`) < this.options.crashingShare;
    }

    private killWorker(worker: DayWorker, workerId: string, task: string): void {
        if (worker.workerId !== workerId || !worker.isAlive) {
            return;
        }
        this.checker.observeCrash(task);
        const downMs = CRASH_DOWN_MS * (0.5 + hashToFraction(`${task} ${workerId}`));
        this.workers.killIncarnation(worker, Math.round(downMs), true);
    }

    private describeTask(task: string, run: number, slowness: number): TaskBehavior {
        const step = findStepSpec(this.jobs.get(parseTaskName(task)?.jobId ?? "")?.spec, task);
        return step === undefined ?
            { demand: NO_RESOURCES, runMs: 0, end: "done" } :
            describeRun(step, task, run, slowness);
    }

    private pickCallFault(): CallFault {
        const faults: readonly CallFault[] = [
            { kind: "dropAnswer" },
            { kind: "dropRequest" },
            { kind: "delayRequest", ms: 200 + this.random.pickInt(6_000) },
            { kind: "delayAnswer", ms: 200 + this.random.pickInt(3_000) },
        ];
        return this.pick(faults);
    }

    private breakStore(): void {
        const { storePath } = this.leaders.get();
        const storeFaults: readonly Action[] = [
            () => {
                storePath.faults.unreachable = true;
                this.cell.clock.schedule(300 + this.random.pickInt(9_000), () => {
                    storePath.faults.unreachable = false;
                });
            },
            () => storePath.faults.slowMs = this.random.pickInt(120),
            () => storePath.faults.dropAnswerShare = 0.3,
            () => Object.assign(storePath.faults, { slowMs: 0, dropAnswerShare: 0 }),
            () => storePath.plan(this.pickCallFault(), this.pickCallFault()),
            () => storePath.plan(this.pickCallFault(), this.pickCallFault()),
        ];
        void this.pick(storeFaults)();
    }

    private breakWorkerPath(): void {
        const path = this.leaders.get().workers.getPath(this.workers.pick().address);
        const plan: Action = () =>
            path.plan(this.pickCallFault(), this.pickCallFault(), this.pickCallFault());
        const lossy = { dropAnswerShare: 0.2, delayShare: 0.1, delayLimitMs: 4_000 };
        const pathFaults: readonly Action[] = [
            () => {
                path.faults.unreachable = true;
                this.cell.clock.schedule(300 + this.random.pickInt(12_000), () => {
                    path.faults.unreachable = false;
                });
            },
            () => Object.assign(path.faults, lossy),
            () => Object.assign(path.faults, { dropAnswerShare: 0, delayShare: 0 }),
            plan,
            plan,
            plan,
        ];
        void this.pick(pathFaults)();
    }

    private breakAdvice(): void {
        const node = this.pick(DAY_NODES);
        const fail: Action = () => this.advice.setFault(node, this.pick(Object.values(AdviceFault)));
        const adviceFaults: readonly Action[] = [
            () => {
                this.leaders.removeCaller(node);
                this.cell.clock.schedule(this.random.pickInt(4_000), () => this.leaders.addCaller(node));
            },
            () => this.leaders.addCaller(node),
            () => this.advice.heal(),
            fail,
            fail,
        ];
        void this.pick(adviceFaults)();
    }

    private dropQueue(): void {
        const dropped = this.pick(DAY_QUEUES).config.name;
        this.applyConfig(name => name !== dropped);
        if (!this.options.leavesQueuesDropped || this.random.pickInt(2) === 0) {
            this.cell.clock.schedule(200 + this.random.pickInt(8_000), () => this.applyConfig(() => true));
        }
    }

    private applyConfig(isKept: (name: string) => boolean): void {
        this.publishConfig(DAY_QUEUES.map(queue => queue.config).filter(queue => isKept(queue.name)));
    }

    private applyRandomQuotas(): void {
        this.accounts?.setRandomQuotas(this.random);
        this.publishConfig(this.cell.config.queues);
    }

    private publishConfig(queues: readonly QueueConfig[]): void {
        this.configVersion += 1;
        this.cell.config = {
            ...this.cell.config,
            version: this.configVersion,
            queues,
            ...this.accounts && { accounts: this.accounts.buildConfig() },
        };
        this.leaders.publishConfig();
    }

    /** Ends all faults. The current leader is kept where possible, as the fault may be in its memory. */
    private async heal(): Promise<void> {
        await this.cell.clock.step(RECOVERY_MS);
        if (this.accounts !== undefined) {
            this.accounts.heal();
            this.publishConfig(this.cell.config.queues);
        }
        this.advice.heal();
        this.leaders.heal();
        await this.leaders.ensure();
        this.workers.heal();
    }

    private async settle(): Promise<readonly string[]> {
        const begin = this.cell.clock.now();
        let unfinished = await this.callers.listUnfinished();
        while (unfinished.length > 0 && this.cell.clock.now() < begin + SETTLE_MS) {
            await this.cell.clock.step(SETTLE_STEP_MS);
            await this.leaders.ensure();
            unfinished = await this.callers.listUnfinished();
        }
        this.settledMs = this.cell.clock.now() - begin;
        return unfinished;
    }
}
