/** What the advice service has said of one step: who may run it, with permits that expire. */
import type { Millis } from "../../common/clock.js";
import type { Permit } from "../ports/task-worker-port.js";

/**
 * Part of a permit's time that is kept for the answer's way here and the order's to the worker. A permit counts from
 * when the service decided: counted from the question, most of it would have passed before the answer. A worker that finds
 * a permit too old refuses the order unharmed.
 */
const PERMIT_MARGIN_MS: Millis = 300;

/** A question that waits is replaced this often at least: room comes and goes. */
export const REFRESH_MS: Millis = 250;
/** Pause after a question that failed: other nodes may still reach the service. */
const FAILURE_PAUSE_MS: Millis = 150;

/** A question that waits or is under way. */
export interface OpenQuestion {
    /** When it was first put. */
    readonly since: Millis;
    /** When it is to be replaced by what its step wants then, if it still waits. */
    readonly refreshAt: Millis;
    /** Workers that it names. */
    readonly workers: number;
    /** Node that was asked; undefined while the question waits for one. */
    nodeName: string | undefined;
    /** When that node was asked. */
    sentAt: Millis | undefined;
}

/** Time after which a worker that was left out of an answer may be named again; it doubles with each answer, up to the longest. */
const FIRST_DENIAL_MS: Millis = 1_000;
const LONGEST_DENIAL_MS: Millis = 10_000;

interface Denial {
    /** When the worker may be named again, on our clock. */
    readonly until: Millis;
    readonly pauseMs: Millis;
}

interface HeldPermit {
    readonly token: string;
    /** On our clock. */
    readonly usableUntil: Millis;
}

/** Permits of one step; see the module comment. */
export class StepPermits {
    /** The question that is waiting or under way. */
    private question: OpenQuestion | undefined;
    /** Since when an answer is wanted; undefined once there is one. */
    private wantedSince: Millis | undefined;
    private questions = 0;
    private failures = 0;
    /** After a question that failed, when the next may be put. */
    private pausedUntil: Millis = -Infinity;
    private readonly held = new Map<string, HeldPermit>();
    private readonly denied = new Map<string, Denial>();

    /**
     * Takes in that a question is put, or that one that still waits is replaced.
     * @param now - On our clock.
     * @param workers - Workers that it names.
     * @param refreshMs - Time after which it is to be replaced if it still waits.
     */
    startQuestion(now: Millis, workers: number, refreshMs: Millis = REFRESH_MS): void {
        const since = this.question?.since ?? now;
        this.questions += this.question === undefined ? 1 : 0;
        this.wantedSince ??= now;
        this.question = {
            since,
            refreshAt: now + refreshMs,
            workers,
            nodeName: undefined,
            sentAt: undefined,
        };
    }

    /** Takes in which node was asked. */
    observeSent(nodeName: string, now: Millis): void {
        if (this.question !== undefined) {
            this.question.nodeName = nodeName;
            this.question.sentAt = now;
        }
    }

    /** Returns since when an answer is wanted, through all questions that were withdrawn. */
    getWantedSince(): Millis | undefined {
        return this.wantedSince;
    }

    /** Tells whether a question waits that was put so long ago that its content may be of no use any more. */
    isQuestionStale(now: Millis): boolean {
        const { question } = this;
        return question !== undefined && question.sentAt === undefined && now >= question.refreshAt;
    }

    /** Takes in that the question is settled. */
    endQuestion(): void {
        this.question = undefined;
    }

    /** Returns the question that is waiting or under way. */
    getQuestion(): Readonly<OpenQuestion> | undefined {
        return this.question;
    }

    /** Counts the questions that were put; one that was withdrawn and put again counts twice. */
    countQuestions(): number {
        return this.questions;
    }

    /** Counts the questions that failed since the last answer. */
    countFailures(): number {
        return this.failures;
    }

    /** Counts the workers that may run the step. */
    countAllowed(): number {
        return this.held.size;
    }

    /** Counts the workers that may not run it. */
    countDenied(): number {
        return this.denied.size;
    }

    /**
     * Takes in an answer.
     *
     * @remarks Failure guarded against: an answer leaves out a worker that the service did not know at that moment. Denied
     * for good, it stays out of the step's reach, and once the allowed workers are gone the step waits for ever beside empty
     * ones. A denial ends, later each time, so a step that no worker may run costs few questions.
     *
     * An allowed worker that a renewal leaves out is denied like any other: still held, it would stay the best place of a
     * task that then waits for a permit that nobody gives.
     * @param asked - Workers that were named.
     * @param permits - Those that are allowed.
     * @param answeredAt - When the answer arrived.
     * @param validMs - How long permits are valid.
     */
    accept(asked: readonly string[], permits: readonly Permit[], answeredAt: Millis, validMs: Millis): void {
        this.failures = 0;
        this.wantedSince = undefined;
        const usableUntil = answeredAt + validMs - PERMIT_MARGIN_MS;
        const allowed = new Set(permits.map(permit => permit.workerId));
        for (const { workerId, token } of permits) {
            this.held.set(workerId, { token, usableUntil });
            this.denied.delete(workerId);
        }
        for (const workerId of asked) {
            if (!allowed.has(workerId)) {
                this.refuseWorker(workerId, answeredAt);
            }
        }
    }

    /**
     * Takes in that a question failed.
     *
     * @remarks While the service is away every question fails within milliseconds; put again at once, they would take
     * all of the leader's processor time.
     */
    observeFailure(now: Millis): void {
        this.failures += 1;
        this.pausedUntil = now + FAILURE_PAUSE_MS;
    }

    /** Tells whether a question may be put now, or put anew in place of one that waits. */
    canAsk(now: Millis): boolean {
        return (this.question === undefined || this.isQuestionStale(now)) && now >= this.pausedUntil;
    }

    /** Tells whether any question was answered. */
    hasAnswer(): boolean {
        return this.held.size + this.denied.size > 0;
    }

    /** Drops a permit that its worker did not take. */
    drop(workerId: string): void {
        const permit = this.held.get(workerId);
        if (permit !== undefined) {
            this.held.set(workerId, { ...permit, usableUntil: -Infinity });
        }
    }

    /** Tells whether a worker was neither allowed nor denied yet. */
    isUnknown(workerId: string): boolean {
        return !this.held.has(workerId) && !this.denied.has(workerId);
    }

    /** Tells whether a worker may run the step, also when its permit has run out. */
    isAllowed(workerId: string): boolean {
        return this.held.has(workerId);
    }

    /** Tells whether a worker was denied so long ago that it may be named again. */
    isDenialOver(workerId: string, now: Millis): boolean {
        const denial = this.denied.get(workerId);
        return denial !== undefined && now >= denial.until;
    }

    /** Lists the workers that may run the step, also those whose permit has run out. */
    listAllowed(): Iterable<string> {
        return this.held.keys();
    }

    /** Returns the permit for a worker if it can still be used. */
    getUsable(workerId: string, now: Millis): string | undefined {
        const permit = this.held.get(workerId);
        return permit !== undefined && now < permit.usableUntil ? permit.token : undefined;
    }

    private refuseWorker(workerId: string, now: Millis): void {
        const last = this.denied.get(workerId)?.pauseMs;
        const pauseMs = last === undefined ? FIRST_DENIAL_MS : Math.min(LONGEST_DENIAL_MS, last * 2);
        this.held.delete(workerId);
        this.denied.set(workerId, { until: now + pauseMs, pauseMs });
    }
}
