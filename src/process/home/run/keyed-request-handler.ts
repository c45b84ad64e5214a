/**
 * Service requests that must not run twice: those that are not repeatable, and those with an idempotency key.
 *
 * @remarks A start marker is durable before the request is sent to a placer, and the outcome before the caller gets
 * its reply. If a new owner finds a marker without an outcome, the request may have run.
 */
import { createHash } from "node:crypto";
import type { Millis } from "../../../common/clock.js";
import type { Outcome } from "../../../common/outcome.js";
import type { HomeReply, HomeRequest } from "../../../connection/messages.js";
import type { HomeEntry } from "../state/index.js";
import { decodeOutcome, encodeOutcome } from "../state/index.js";
import type { SliceCore } from "./core.js";
import { buildOverloaded, buildStoreUnavailable, convertNotWritten } from "./refusals.js";
import type { RequestSender } from "./request-sender.js";

/** A service request with a key, which the owner of its home slice runs. */
export type KeyedRequest = Extract<HomeRequest, { readonly kind: "runRequest"; }>;

/** Longest answer that is stored for repeats of a key, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 250_000;

interface PendingRequest {
    readonly fingerprint: string;
    readonly reply: Promise<HomeReply>;
}

/** Handles the keyed requests of one slice. */
export class KeyedRequestHandler {
    private readonly pending = new Map<string, PendingRequest>();
    /** Time, by key, until which a repeatable request whose outcome is unknown may still be running. */
    private readonly unsettledUntil = new Map<string, Millis>();

    constructor(private readonly core: SliceCore, private readonly sender: RequestSender) {}

    countPending(): number {
        return this.pending.size;
    }

    /** Settles the requests that a previous owner left without an outcome; repeatable ones may run again later. */
    recoverRequests(): void {
        const now = this.core.context.clock.now();
        for (const record of this.core.state.requests.values()) {
            if (record.outcome !== undefined) {
                continue;
            }
            if (record.repeatable) {
                this.unsettledUntil.set(record.requestKey, now + record.settleMs);
                continue;
            }
            const outcome: Outcome = { kind: "mayHaveRun", message: LOST_OWNER_MESSAGE };
            void this.core.log.commit([{ kind: "requestEnded", requestKey: record.requestKey, outcome }]);
        }
    }

    /** Forgets unsettled requests that can no longer be running. */
    expireUnsettled(): void {
        const now = this.core.context.clock.now();
        for (const [requestKey, until] of this.unsettledUntil) {
            if (until <= now) {
                this.unsettledUntil.delete(requestKey);
            }
        }
    }

    /** Runs a request, or returns the outcome of an earlier request with the same key and content. */
    async runRequest(request: KeyedRequest): Promise<HomeReply> {
        this.expireUnsettled();
        const fingerprint = makeFingerprint(request);
        const record = this.core.state.requests.get(request.requestKey);
        const pending = this.pending.get(request.requestKey);
        if (
            (record ?? pending)?.fingerprint !== undefined && (record ?? pending)?.fingerprint !== fingerprint
        ) {
            const message = "the idempotency key was used before with other content: use another key";
            return { kind: "keyConflict", message };
        }
        if (record?.outcome !== undefined) {
            return { kind: "outcome", outcome: decodeOutcome(record.outcome), repeated: true };
        }
        if (pending !== undefined) {
            return this.joinPending(pending, request.deadlineMs);
        }
        if (record !== undefined && !record.repeatable) {
            return {
                kind: "outcome",
                outcome: { kind: "mayHaveRun", message: LOST_OWNER_MESSAGE },
                repeated: true,
            };
        }
        if (this.pending.size >= this.core.options.maxOpenRequests) {
            const outcome = buildOverloaded("too many requests are under way");
            return { kind: "outcome", outcome, repeated: false };
        }
        return this.startRequest(request, fingerprint, record !== undefined);
    }

    private startRequest(
        request: KeyedRequest,
        fingerprint: string,
        hasMarker: boolean,
    ): Promise<HomeReply> {
        const execution = new RequestExecution(
            this.core,
            this.sender,
            request,
            fingerprint,
            this.unsettledUntil,
        );
        const reply = execution.run(hasMarker);
        this.pending.set(request.requestKey, { fingerprint, reply });
        void execution.settled.then(() => {
            this.pending.delete(request.requestKey);
        });
        return reply;
    }

    /** Lets a request wait for the outcome of a pending one with the same key. */
    private joinPending(pending: PendingRequest, deadlineMs: Millis): Promise<HomeReply> {
        return new Promise(resolve => {
            const timer = this.core.context.clock.schedule(deadlineMs, () => {
                const message = "the request with this key is still under way: ask again with the same key";
                resolve({ kind: "uncertain", message });
            });
            void pending.reply.then(reply => {
                timer.cancel();
                resolve(reply.kind === "outcome" ? { ...reply, repeated: true } : reply);
            });
        });
    }
}

/** The execution of one request: start marker, calls to placers, and outcome. */
class RequestExecution {
    /** Resolves when nothing of it is in progress any more, which may be after its reply. */
    readonly settled: Promise<void>;
    private finish: () => void = () => undefined;
    private readonly deadline: Millis;

    constructor(
        private readonly core: SliceCore,
        private readonly sender: RequestSender,
        private readonly request: KeyedRequest,
        private readonly fingerprint: string,
        private readonly unsettledUntil: Map<string, Millis>,
    ) {
        this.deadline = core.context.clock.now() + request.deadlineMs;
        this.settled = new Promise(resolve => {
            this.finish = resolve;
        });
    }

    async run(hasMarker: boolean): Promise<HomeReply> {
        const unsettledMs = (this.unsettledUntil.get(this.request.requestKey) ?? -Infinity) -
            this.core.context.clock.now();
        if (unsettledMs > 0) {
            this.finish();
            const message = "an earlier try with this key may still be running: ask again with the same key";
            return { kind: "uncertain", message };
        }
        if (!hasMarker) {
            const refusal = await this.writeMarker();
            if (refusal !== undefined) {
                return { kind: "outcome", outcome: refusal, repeated: false };
            }
        }
        const result = await this.sender.sendRequest(this.request, this.deadline);
        return this.settleOutcome(result);
    }

    /** @returns The refusal if the marker is not durable; the request then never runs. */
    private async writeMarker(): Promise<Outcome | undefined> {
        const { requestKey, branch, repeatable } = this.request;
        const { attemptTimeoutMs } = this.core.getBranch(branch);
        const settleMs = this.request.deadlineMs + attemptTimeoutMs * SETTLE_FACTOR;
        const { fingerprint } = this;
        const entry: HomeEntry = {
            kind: "requestStarting",
            requestKey,
            fingerprint,
            repeatable,
            settleMs,
            branch,
        };
        const timeoutMs = Math.min(this.core.options.writeTimeoutMs, this.request.deadlineMs);
        const result = await this.core.log.commit([entry], timeoutMs);
        switch (result.kind) {
            case "durable":
                return undefined;
            case "notWritten":
                this.finish();
                return convertNotWritten(result);
            case "uncertain":
                // The request is not sent in either case; if the marker was written after all, it is removed.
                void result.settled.then(end => {
                    if (end.kind === "durable") {
                        void this.dropKey();
                    }
                    else {
                        this.finish();
                    }
                });
                return buildStoreUnavailable();
        }
    }

    private async settleOutcome(outcome: Outcome): Promise<HomeReply> {
        switch (outcome.kind) {
            case "notRun":
                void this.dropKey();
                return { kind: "outcome", outcome, repeated: false };
            case "mayHaveRun":
                if (this.request.repeatable) {
                    return this.settleLostRepeatable(outcome.message);
                }
                // A marker without an outcome means the same, so the caller need not wait for the store.
                void this.writeEnd(outcome);
                return { kind: "outcome", outcome, repeated: false };
            default:
                return this.replyWhenDurable(outcome);
        }
    }

    /** Replies that the request may still be running; a repeat of the key runs it again once it no longer can be. */
    private settleLostRepeatable(message: string): HomeReply {
        const { attemptTimeoutMs } = this.core.getBranch(this.request.branch);
        const now = this.core.context.clock.now();
        const settledAt = Math.max(now, this.deadline) + attemptTimeoutMs * SETTLE_FACTOR;
        this.unsettledUntil.set(this.request.requestKey, settledAt);
        this.finish();
        return { kind: "uncertain", message };
    }

    /** Replies once the outcome is durable, so that a repeat can never get another outcome. */
    private replyWhenDurable(outcome: Outcome): Promise<HomeReply> {
        return new Promise(resolve => {
            const remainingMs = this.deadline - this.core.context.clock.now();
            const message = "it ran, but its end could not be written in time: ask again with the same key";
            const timer = this.core.context.clock.schedule(
                remainingMs,
                () => resolve({ kind: "uncertain", message }),
            );
            void this.writeEnd(outcome).then(isDurable => {
                timer.cancel();
                resolve(
                    isDurable ?
                        { kind: "outcome", outcome, repeated: false } :
                        { kind: "uncertain", message },
                );
            });
        });
    }

    private async writeEnd(outcome: Outcome): Promise<boolean> {
        const { requestKey } = this.request;
        const stored = encodeOutcome(normalizeOutcome(outcome));
        const result = await this.core.log.commit([{ kind: "requestEnded", requestKey, outcome: stored }]);
        this.finish();
        return result.kind === "durable";
    }

    private async dropKey(): Promise<void> {
        const { requestKey } = this.request;
        await this.core.log.commit([{ kind: "requestDropped", requestKey }]);
        this.finish();
    }
}

/** Margin on the attempt timeout after which a request can no longer be running. */
const SETTLE_FACTOR = 1.05;
const LOST_OWNER_MESSAGE =
    "the entry that ran it was lost before its end was written; it is not started again";

/** Replaces an answer that is too long to store by a message that the request ran; the first caller still gets it. */
function normalizeOutcome(outcome: Outcome): Outcome {
    if (outcome.kind !== "done" || outcome.answer.length <= MAX_STORED_ANSWER_BYTES) {
        return outcome;
    }
    const message =
        `it ran once and was answered; the answer of ${outcome.answer.length} bytes is too long to ` +
        "be kept for repeats";
    return { kind: "mayHaveRun", message };
}

function makeFingerprint(request: KeyedRequest): string {
    const { caller, branch, contentType, repeatable } = request;
    return createHash("sha256")
        .update(JSON.stringify([caller.team, branch, contentType, repeatable]))
        .update(request.body)
        .digest("hex")
        .slice(0, FINGERPRINT_LENGTH);
}

const FINGERPRINT_LENGTH = 32;
