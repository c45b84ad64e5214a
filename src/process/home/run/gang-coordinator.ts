/**
 * Starts gangs: capacity for all tasks is reserved at placers before any task starts.
 *
 * @remarks One gang of a slice reserves at a time and asks the placers in the order of their ids. A hold that does
 * not lead to a start is released at once, and expires by itself if the release is lost. No gang waits while it
 * holds capacity, so two gangs cannot deadlock by each holding what the other needs.
 */
import type { Millis } from "../../../common/clock.js";
import { appendAll } from "../../../common/lists.js";
import { packRanges } from "../state/index.js";
import { describeMisfit } from "./dispatcher.js";
import type { JobRun } from "./job-run.js";
import type { PlacerCandidate } from "./placer-selector.js";
import { hasMarker } from "./task-engine.js";
import type { TaskEngine } from "./task-engine.js";

const FIRST_BACKOFF_MS: Millis = 500;
const MAX_BACKOFF_MS: Millis = 15_000;
/** Share of a hold's duration within which its commit must be sent; the rest covers transit and clock drift. */
const USABLE_HOLD_SHARE = 0.6;

/** A task of a gang with the placer that holds capacity for it. */
interface HeldTask {
    readonly index: number;
    readonly attempt: string;
    readonly placer: string;
}

/** Ids for the next start of a gang; discarded once its orders are sent. */
interface GangPlan {
    readonly gangId: string;
    readonly attempts: Map<number, string>;
}

interface Backoff {
    readonly until: Millis;
    readonly rounds: number;
}

/** Reserves capacity for the gangs of one slice and starts them. */
export class GangCoordinator {
    private isReserving = false;
    private lastGangNumber = 0;
    /** Ids kept between attempts to reserve, so that a placer recognizes the gang and keeps capacity for it. */
    private readonly plans = new Map<string, GangPlan>();
    private readonly backoffs = new Map<string, Backoff>();

    constructor(private readonly engine: TaskEngine, private readonly isStopped: () => boolean) {}

    /** Stops gangs of which a task must start again, and begins to reserve for the next gang that is due. */
    stepGangs(now: Millis): void {
        let next: JobRun | undefined;
        this.dropEndedJobs();
        for (const run of this.engine.runs.values()) {
            if (run.record.spec.kind !== "gang" || run.recoveredUpdates !== undefined) {
                continue;
            }
            if (run.live.size > 0) {
                this.stopBrokenGang(run);
                continue;
            }
            const isDue = run.canStart() && (this.backoffs.get(run.record.jobId)?.until ?? 0) <= now;
            if (isDue && (next === undefined || run.record.spec.urgent && !next.record.spec.urgent)) {
                next = run;
            }
        }
        if (next !== undefined && !this.isReserving && this.engine.core.mayOrder()) {
            this.isReserving = true;
            void this.startGang(next).finally(() => {
                this.isReserving = false;
            });
        }
    }

    private dropEndedJobs(): void {
        for (const jobId of [...this.backoffs.keys(), ...this.plans.keys()]) {
            if (!this.engine.runs.has(jobId)) {
                this.backoffs.delete(jobId);
                this.plans.delete(jobId);
            }
        }
    }

    /** Stops the other tasks of a gang of which one must start again, so that all can start together. */
    private stopBrokenGang(run: JobRun): void {
        if (!run.isGangBroken) {
            return;
        }
        for (const live of run.live.values()) {
            if (!live.isWithdrawn) {
                this.engine.withdrawAttempt(live);
            }
        }
    }

    private async startGang(run: JobRun): Promise<void> {
        run.isGangBroken = false;
        const { core, selector } = this.engine;
        const startedAt = core.context.clock.now();
        const plan = this.ensurePlan(run);
        const { gangId } = plan;
        const candidates = selector.listCandidates();
        const { held, missing, moreAfterMs } = await this.reserveAll(run, plan, candidates);
        if (missing > 0) {
            run.reason = describeMisfit(candidates, run.record.spec.resources) ??
                `all ${
                    held.length + missing
                } tasks must start together; there is room for ${held.length} now`;
            this.releaseAll(run, held, moreAfterMs);
            return;
        }
        const usableMs = core.options.gangHoldMs * USABLE_HOLD_SHARE;
        const getRemainingMs = () => startedAt + usableMs - core.context.clock.now();
        if (!await this.markAll(run, getRemainingMs())) {
            run.reason = "its start markers could not be written in time";
            this.releaseAll(run, held, undefined);
            return;
        }
        const mayStart = getRemainingMs() > 0 && run.canStart() && core.mayOrder() && !this.isStopped();
        if (!mayStart) {
            this.releaseAll(run, held, undefined);
            return;
        }
        // If a task fails to start, the gang waits for this backoff before it reserves again.
        this.pauseGang(run, FIRST_BACKOFF_MS);
        this.plans.delete(run.record.jobId);
        this.commitAll(run, held, gangId);
    }

    private ensurePlan(run: JobRun): GangPlan {
        const { jobId } = run.record;
        let plan = this.plans.get(jobId);
        if (plan === undefined) {
            this.lastGangNumber++;
            plan = {
                gangId: `${jobId}.${this.engine.core.epoch}.${this.lastGangNumber}`,
                attempts: new Map(),
            };
            this.plans.set(jobId, plan);
        }
        return plan;
    }

    private ensureAttempt(run: JobRun, plan: GangPlan, index: number): string {
        const attempt = plan.attempts.get(index) ?? this.engine.makeAttemptId(run, index);
        plan.attempts.set(index, attempt);
        return attempt;
    }

    private commitAll(run: JobRun, held: readonly HeldTask[], gangId: string): void {
        for (const { index, attempt, placer } of held) {
            const live = this.engine.registerAttempt(run, index, placer, attempt);
            live.gangId = gangId;
            this.engine.core.logRoute(attempt, run.record.spec.branch, placer, "gangHeld");
            this.engine.sendOrder(live);
        }
    }

    /** Asks the placers one by one to hold capacity, until all tasks are held or no placer is left. */
    private async reserveAll(
        run: JobRun,
        plan: GangPlan,
        candidates: readonly PlacerCandidate[],
    ): Promise<{
        readonly held: readonly HeldTask[];
        readonly missing: number;
        readonly moreAfterMs: Millis | undefined;
    }> {
        let waiting = run.listUnassigned().map(index => ({
            index,
            attempt: this.ensureAttempt(run, plan, index),
        }));
        const held: HeldTask[] = [];
        let moreAfterMs: Millis | undefined;
        for (const { memberId } of candidates) {
            if (waiting.length === 0 || !this.engine.core.mayOrder()) {
                break;
            }
            const answer = await this.reserveAt(run, plan.gangId, memberId, waiting);
            const accepted = waiting.slice(0, answer.held);
            appendAll(held, accepted.map(task => ({ ...task, placer: memberId })));
            waiting = waiting.slice(answer.held);
            if (answer.moreAfterMs !== undefined) {
                moreAfterMs = Math.min(moreAfterMs ?? Infinity, answer.moreAfterMs);
            }
        }
        return { held, missing: waiting.length, moreAfterMs };
    }

    private async reserveAt(
        run: JobRun,
        gangId: string,
        memberId: string,
        waiting: readonly { readonly index: number; readonly attempt: string; }[],
    ): Promise<{ readonly held: number; readonly moreAfterMs?: Millis; }> {
        const { core } = this.engine;
        const orders = waiting.map(task => ({
            ...this.engine.buildOrder(run, task.index, task.attempt, gangId),
            payload: "",
        }));
        const home = core.makeFence();
        const holdMs = core.options.gangHoldMs;
        const result = await core.context.peers.call(
            memberId,
            { kind: "reserve", gangId, home, orders, holdMs },
            core.options.callTimeoutMs,
        );
        if (result.kind === "answer" && result.body.kind === "reserved") {
            return result.body;
        }
        if (result.kind === "lost") {
            // The placer may hold the tasks, so they are withdrawn. If that is lost too, the hold expires.
            waiting.forEach(task => this.engine.outbox.addWithdrawal(memberId, task.attempt));
        }
        return { held: 0 };
    }

    /** Writes the start markers that are missing; returns whether they are durable within the timeout. */
    private async markAll(run: JobRun, timeoutMs: Millis): Promise<boolean> {
        const unmarked = run.listUnassigned().filter(index => !hasMarker(run, index));
        if (run.record.spec.repeatable || unmarked.length === 0) {
            return true;
        }
        const ranges = packRanges(unmarked);
        const entry = { kind: "tasksStarting", jobId: run.record.jobId, ranges } as const;
        const result = await this.engine.core.log.commit([entry], Math.max(1, timeoutMs));
        return result.kind === "durable";
    }

    private releaseAll(run: JobRun, held: readonly HeldTask[], moreAfterMs: Millis | undefined): void {
        for (const { attempt, placer } of held) {
            this.engine.outbox.addWithdrawal(placer, attempt);
        }
        this.pauseGang(run, moreAfterMs);
    }

    /** Delays the next attempt: exponential backoff with jitter, or the delay that placers asked for if shorter. */
    private pauseGang(run: JobRun, requestedMs: Millis | undefined): void {
        const { clock, random } = this.engine.core.context;
        const rounds = (this.backoffs.get(run.record.jobId)?.rounds ?? 0) + 1;
        const exponential = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(rounds, MAX_DOUBLINGS));
        const requested = Math.max(FIRST_BACKOFF_MS, requestedMs ?? exponential);
        const pause = Math.min(exponential, requested) * (1 + random.pickFraction());
        this.backoffs.set(run.record.jobId, { until: clock.now() + pause, rounds });
    }
}

const MAX_DOUBLINGS = 8;
