/** Puts steps' questions to the advice service and keeps what it says. */
import type { Millis } from "../../common/clock.js";
import type { AdviceDesk } from "../dispatch/advice-desk.js";
import { StepPermits } from "../dispatch/permits.js";
import type { PermitWish } from "../dispatch/planner.js";
import { AllowedShares } from "../dispatch/question-size.js";
import { RoomClaims } from "../dispatch/room-claims.js";
import type { Step } from "../jobs/job.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import type { LeaderContext } from "./context.js";

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
    private closed = false;

    /**
     * @param context - Shared parts.
     * @param advice - Spreads questions over the nodes.
     */
    constructor(private readonly context: LeaderContext, private readonly advice: AdviceDesk) {}

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

    /** Puts a question unless one is under way: a step may want permits renewed and new workers named in one pass. */
    requestPermits({ urgency, workerIds }: PermitWish): void {
        const { step, queue } = urgency;
        const { clock } = this.context;
        const permits = this.getPermits(step);
        if (queue.advice === undefined || permits.getQuestion() !== undefined) {
            return;
        }
        permits.startQuestion(clock.now(), workerIds.length);
        this.claims.add(step, workerIds);
        const put: PutQuestion = { step, permits, workerIds, validMs: queue.advice.validMs };
        this.advice.enqueue({
            step: step.name,
            workerIds,
            policy: queue.advice,
            priority: queue.priority,
            isFirst: !permits.hasAnswer(),
            isWanted: () => !this.closed && step.job.spec !== undefined && step.waiting > 0,
            handleSent: nodeName => permits.observeSent(nodeName, clock.now()),
            settle: (answer, askedAt) => this.settle(put, answer, askedAt),
        });
    }

    /** Wants no answer any more. */
    close(): void {
        this.closed = true;
    }

    private settle(put: PutQuestion, answer: AdviceAnswer | undefined, askedAt: Millis): void {
        const nodeName = put.permits.getQuestion()?.nodeName;
        put.permits.endQuestion();
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
