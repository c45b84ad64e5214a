/** Puts steps' questions to the advice service and keeps what it says. */
import type { Millis } from "../../common/clock.js";
import type { AdviceDesk, AdviceQuestion } from "../dispatch/advice-desk.js";
import { REFRESH_MS, StepPermits } from "../dispatch/permits.js";
import type { PermitWish } from "../dispatch/plan.js";
import { AllowedShares } from "../dispatch/question-size.js";
import { RoomClaims } from "../dispatch/room-claims.js";
import type { Step } from "../jobs/job.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import type { LeaderContext } from "./context.js";

/** Time between two replacements of a question for each waiting question and each worker that it looks at. */
const REFRESH_EACH_MS: Millis = 0.06;
/** Parts into which questions of one pass are spread when they are replaced. */
const REFRESH_SPREAD = 8;

/** A question that was put. */
interface PutQuestion {
    readonly step: Step;
    readonly permits: StepPermits;
    readonly workerIds: readonly string[];
    /** Time for which its permits are valid. */
    readonly validMs: Millis;
}

/** The desk; see the module comment. */
export class PermitDesk {
    /** Room that steps with a question under way will probably take. */
    readonly claims = new RoomClaims();
    /** Which share of the workers named is allowed. */
    readonly allowedShares = new AllowedShares();
    private readonly permits = new WeakMap<Step, StepPermits>();
    /** Questions that no node has taken yet. */
    private readonly waiting = new Map<Step, AdviceQuestion>();
    /** Questions that were put or replaced. */
    private puts = 0;
    /** Workers among which a question chooses. */
    private workers = 0;
    private closed = false;

    /**
     * @param context - Shared parts.
     * @param advice - Spreads questions over the nodes.
     */
    constructor(
        private readonly context: Pick<LeaderContext, "clock" | "log" | "metrics" | "requestPass">,
        private readonly advice: AdviceDesk,
    ) {}

    /** Returns a step's permits. */
    getPermits(step: Step): StepPermits {
        const known = this.permits.get(step);
        if (known !== undefined) {
            return known;
        }
        const created = new StepPermits();
        this.permits.set(step, created);
        return created;
    }

    /**
     * Puts the questions of a pass: one for each step, unless its question is under way.
     *
     * @remarks Failure guarded against: more questions are put than the nodes can ask. One that is answered after seconds in
     * the line comes when its step's room has gone; the permits run out unused and are asked for again, until hardly any answer
     * leads to a start and jobs stand still beside empty workers. So what waits is put anew again and again with what has
     * room, and is taken out of the line once its step does not want it.
     *
     * Failure guarded against: a question grows old between the instant for which the pass looked and the end of the pass. The
     * pass did not put it anew, and it would go out of the line though its step wants it.
     * @param wishes - Questions of the pass.
     * @param now - The instant for which the pass looked.
     * @param workers - Workers among which each question chooses.
     */
    requestPermits(wishes: readonly PermitWish[], now: Millis, workers = 0): void {
        this.workers = workers;
        const stale = this.takeStale(now);
        if (wishes.length === 0 && stale.length === 0) {
            return;
        }
        // A step may want permits renewed and new workers named in one pass: what it could start with counts, then the first.
        const ordered = [...wishes].sort((left, right) => Number(right.hasRoom) - Number(left.hasRoom));
        ordered.forEach(wish => this.addQuestion(wish, now));
        stale.filter(step => !this.waiting.has(step)).forEach(step => this.getPermits(step).endQuestion());
        this.advice.replaceWaiting([...this.waiting.values()]);
    }

    /** Wants no answer any more. */
    close(): void {
        this.closed = true;
    }

    /**
     * Spreads the replacing of questions over time.
     *
     * @remarks The load this answers: hundreds of steps that wait. All replaced in one pass, several times a second, they
     * take a large part of the leader's processor time.
     */
    private computeRefreshMs(): Millis {
        this.puts += 1;
        const spread = 1 + (this.puts % REFRESH_SPREAD) / REFRESH_SPREAD;
        return Math.max(REFRESH_MS, this.waiting.size * this.workers * REFRESH_EACH_MS * spread);
    }

    private takeStale(now: Millis): readonly Step[] {
        const stale = [...this.waiting.keys()].filter(step => this.getPermits(step).isQuestionStale(now));
        stale.forEach(step => this.waiting.delete(step));
        return stale;
    }

    private addQuestion({ urgency, workerIds, hasRoom }: PermitWish, now: Millis): void {
        const { step, queue } = urgency;
        const permits = this.getPermits(step);
        if (queue.advice === undefined || this.waiting.has(step) || !permits.canAsk(now)) {
            return;
        }
        permits.startQuestion(now, workerIds.length, this.computeRefreshMs());
        const put: PutQuestion = { step, permits, workerIds, validMs: queue.advice.validMs };
        this.waiting.set(step, {
            step: step.name,
            workerIds,
            policy: queue.advice,
            priority: queue.priority,
            hasRoom,
            isFirst: !permits.hasAnswer(),
            since: permits.getWantedSince() ?? now,
            isWanted: () => !this.closed && step.job.spec !== undefined && step.waiting > 0,
            handleSent: nodeName => this.handleSent(put, nodeName),
            settle: (answer, askedAt) => this.settle(put, answer, askedAt),
        });
    }

    private handleSent({ step, permits, workerIds }: PutQuestion, nodeName: string): void {
        this.waiting.delete(step);
        this.claims.add(step, workerIds);
        permits.observeSent(nodeName, this.context.clock.now());
    }

    private settle(put: PutQuestion, answer: AdviceAnswer | undefined, askedAt: Millis): void {
        const nodeName = put.permits.getQuestion()?.nodeName;
        put.permits.endQuestion();
        this.waiting.delete(put.step);
        this.claims.remove(put.step);
        if (answer === undefined) {
            return;
        }
        this.logAnswer(put, answer, askedAt, nodeName);
        this.acceptAnswer(put, answer);
        this.context.requestPass();
    }

    private logAnswer(
        { step, workerIds }: PutQuestion,
        answer: AdviceAnswer,
        askedAt: Millis,
        nodeName: string | undefined,
    ): void {
        const { clock, log, metrics } = this.context;
        const tookMs = clock.now() - askedAt;
        metrics.time("advice.took", tookMs, { answer: answer.kind });
        log.info("adviceGiven", {
            step: step.name,
            answer: answer.kind,
            nodeName,
            asked: workerIds.length,
            allowed: answer.kind === "done" ? answer.permits.length : 0,
            tookMs: Math.round(tookMs),
        });
    }

    private acceptAnswer({ step, permits, workerIds, validMs }: PutQuestion, answer: AdviceAnswer): void {
        const now = this.context.clock.now();
        if (answer.kind !== "done") {
            permits.observeFailure(now);
            return;
        }
        if (workerIds.every(workerId => permits.isUnknown(workerId))) {
            this.allowedShares.observe(step.job.queue, workerIds.length, answer.permits.length);
        }
        permits.accept(workerIds, answer.permits, now, validMs);
    }
}
