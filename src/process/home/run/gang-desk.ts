/**
 * Starts gangs: room for all tasks is held at placers before any task starts.
 *
 * @remarks One gang of a slice reserves at a time and asks the placers in the order of their ids; a hold that
 * does not lead to a start is given back at once and ends by itself after its time. So no two gangs can each keep
 * what the other needs: nobody waits while holding.
 */
import type { Millis } from "../../../common/clock.js";
import { packRanges } from "../state/index.js";
import { describeMisfit } from "./dispatcher.js";
import type { JobRun } from "./job-run.js";
import type { PlacerCandidate } from "./placer-choice.js";
import { hasMarker } from "./task-engine.js";
import type { TaskEngine } from "./task-engine.js";

const FIRST_BACKOFF_MS: Millis = 500;
const MAX_BACKOFF_MS: Millis = 15_000;
/** Part of a hold's time that may have passed when its commit is sent: the rest covers the way and drift. */
const USABLE_HOLD_SHARE = 0.6;

/** A task of a gang and where it is held. */
interface HeldTask {
    readonly index: number;
    readonly attempt: string;
    readonly placer: string;
}

/** Ids of a gang's next start; used up once its orders are sent. */
interface GangPlan {
    readonly gangId: string;
    readonly attempts: Map<number, string>;
}

interface Backoff {
    readonly until: Millis;
    readonly rounds: number;
}

/** The gangs of one slice. */
export class GangDesk {
    private isReserving = false;
    private gangs = 0;
    /** Ids kept over tries to reserve, so that a placer knows the gang again and keeps room for it. */
    private readonly plans = new Map<string, GangPlan>();
    private readonly backoffs = new Map<string, Backoff>();

    constructor(private readonly engine: TaskEngine, private readonly isStopped: () => boolean) {}

    /** Looks after gangs that broke, and starts the next that is due. */
    stepGangs(now: Millis): void {
        let next: JobRun | undefined;
        this.dropEnded();
        for (const run of this.engine.runs.values()) {
            if (run.record.spec.kind !== "gang" || run.found !== undefined) {
                continue;
            }
            if (run.live.size > 0) {
                this.stopBroken(run);
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

    private dropEnded(): void {
        for (const jobId of [...this.backoffs.keys(), ...this.plans.keys()]) {
            if (!this.engine.runs.has(jobId)) {
                this.backoffs.delete(jobId);
                this.plans.delete(jobId);
            }
        }
    }

    /** A task of the gang has to start again: the others are stopped, and then all start together. */
    private stopBroken(run: JobRun): void {
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
        const { core, choice } = this.engine;
        const startedAt = core.context.clock.now();
        const plan = this.ensurePlan(run);
        const { gangId } = plan;
        const candidates = choice.listCandidates();
        const { held, missing, moreAfterMs } = await this.reserveAll(run, plan, candidates);
        if (missing > 0) {
            run.reason = describeMisfit(candidates, run.record.spec.resources) ??
                `all ${
                    held.length + missing
                } tasks must start together; there is room for ${held.length} now`;
            this.releaseAll(run, held, moreAfterMs);
            return;
        }
        const limit = core.options.gangHoldMs * USABLE_HOLD_SHARE;
        const getLeft = () => startedAt + limit - core.context.clock.now();
        if (!await this.markAll(run, getLeft())) {
            run.reason = "its start markers could not be written in time";
            this.releaseAll(run, held, undefined);
            return;
        }
        const mayStart = getLeft() > 0 && run.canStart() && core.mayOrder() && !this.isStopped();
        if (!mayStart) {
            this.releaseAll(run, held, undefined);
            return;
        }
        // Should it break at once, it does not start again at once.
        this.pauseGang(run, FIRST_BACKOFF_MS);
        this.plans.delete(run.record.jobId);
        this.commitAll(run, held, gangId);
    }

    private ensurePlan(run: JobRun): GangPlan {
        const { jobId } = run.record;
        let plan = this.plans.get(jobId);
        if (plan === undefined) {
            this.gangs++;
            plan = { gangId: `${jobId}.${this.engine.core.epoch}.${this.gangs}`, attempts: new Map() };
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

    /** Asks placer after placer for room, until all tasks are held or nobody is left. */
    private async reserveAll(
        run: JobRun,
        plan: GangPlan,
        candidates: readonly PlacerCandidate[],
    ): Promise<{
        readonly held: readonly HeldTask[];
        readonly missing: number;
        readonly moreAfterMs: Millis | undefined;
    }> {
        let waiting = run.listFree().map(index => ({
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
            const taken = waiting.slice(0, answer.held);
            held.push(...taken.map(task => ({ ...task, placer: memberId })));
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
            // It may hold them: tell it not to. If this is lost too, the hold ends by its time.
            waiting.forEach(task => this.engine.outbox.addWithdrawal(memberId, task.attempt));
        }
        return { held: 0 };
    }

    private async markAll(run: JobRun, patienceMs: Millis): Promise<boolean> {
        const open = run.listFree().filter(index => !hasMarker(run, index));
        if (run.record.spec.repeatable || open.length === 0) {
            return true;
        }
        const ranges = packRanges(open);
        const entry = { kind: "tasksStarting", jobId: run.record.jobId, ranges } as const;
        const result = await this.engine.core.log.commit([entry], Math.max(1, patienceMs));
        return result.kind === "durable";
    }

    private releaseAll(run: JobRun, held: readonly HeldTask[], moreAfterMs: Millis | undefined): void {
        for (const { attempt, placer } of held) {
            this.engine.outbox.addWithdrawal(placer, attempt);
        }
        this.pauseGang(run, moreAfterMs);
    }

    /** Holds a gang back for longer each time, or for about as long as the placers ask. */
    private pauseGang(run: JobRun, askedMs: Millis | undefined): void {
        const { clock, random } = this.engine.core.context;
        const rounds = (this.backoffs.get(run.record.jobId)?.rounds ?? 0) + 1;
        const grown = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(rounds, MAX_DOUBLINGS));
        const asked = Math.max(FIRST_BACKOFF_MS, askedMs ?? grown);
        const pause = Math.min(grown, asked) * (1 + random.pickFraction());
        this.backoffs.set(run.record.jobId, { until: clock.now() + pause, rounds });
    }
}

const MAX_DOUBLINGS = 8;
