/**
 * Single calls to the store, without retries: rate limits, timeouts, counters, last contact, and the highest
 * revision seen.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { StoreAnswer, StorePort } from "../ports/index.js";
import type { StoreClient } from "../store-client.js";
import type { Metrics } from "../telemetry.js";
import { AdaptiveTimeout } from "./adaptive-timeout.js";
import { TokenBucket } from "./token-bucket.js";

/** Kinds of calls, counted separately. */
export type CallKind = "reads" | "writes" | "polls" | "leases";

/** Options of a single call. */
export interface CallOptions {
    readonly kind: CallKind;
    /** Instant by which the call must have ended. */
    readonly deadline: Millis;
    /** Whether the call is sent even if the budget is used up. */
    readonly vital?: boolean;
    /** Timeout in milliseconds; by default derived from the response times of earlier calls. */
    readonly timeout?: Millis;
}

/** This entry's share of the cell's budget until the number of members is known. */
const INITIAL_WRITES_PER_SECOND = 40;
const INITIAL_READS_PER_SECOND = 200;

const BUDGET_EXHAUSTED = { kind: "unavailable", message: "the budget of store calls is used up" } as const;
const DEADLINE_PASSED = { kind: "unavailable", message: "no time is left for a try" } as const;

/** Calls of one entry to its store. */
export class StoreCalls {
    private readonly counters: Record<keyof ReturnType<StoreClient["getCounters"]>, number> = {
        reads: 0,
        writes: 0,
        polls: 0,
        leases: 0,
        failures: 0,
        unknowns: 0,
    };
    private readonly timeout = new AdaptiveTimeout();
    private readonly writeBudget: TokenBucket;
    private readonly readBudget: TokenBucket;
    private lastContact: Millis | undefined;
    private highestRevision = 0;
    private closed = false;

    constructor(readonly port: StorePort, readonly clock: Clock, private readonly metrics: Metrics) {
        this.writeBudget = new TokenBucket(clock, INITIAL_WRITES_PER_SECOND);
        this.readBudget = new TokenBucket(clock, INITIAL_READS_PER_SECOND);
    }

    /**
     * Makes one call, waiting for the budget first.
     * @param call - Makes the call on the port with the given timeout.
     * @returns The answer; `unavailable` if the budget or the deadline did not allow the call.
     */
    async request<Value>(
        options: CallOptions,
        call: (port: StorePort, timeout: Millis) => Promise<StoreAnswer<Value>>,
    ): Promise<StoreAnswer<Value>> {
        if (!await this.takeBudget(options)) {
            return BUDGET_EXHAUSTED;
        }
        const sentAt = this.clock.now();
        const timeout = Math.min(options.timeout ?? this.timeout.get(), options.deadline - sentAt);
        if (timeout <= 0 || this.closed) {
            return DEADLINE_PASSED;
        }
        this.counters[options.kind]++;
        this.metrics.count("store.calls", 1, { kind: options.kind });
        const answer = await call(this.port, timeout);
        this.observe(options, answer, sentAt, timeout);
        return answer;
    }

    /** Returns the current adaptive timeout, in milliseconds. */
    getTimeout(): Millis {
        return this.timeout.get();
    }

    /** Records a revision reported by the store. */
    observeRevision(revision: number): void {
        this.highestRevision = Math.max(this.highestRevision, revision);
    }

    /** Returns the highest revision reported by the store so far. */
    getHighestRevision(): number {
        return this.highestRevision;
    }

    /** Returns when the last answered call was sent; undefined if none was answered. */
    getLastContact(): Millis | undefined {
        return this.lastContact;
    }

    /** Returns the numbers of calls, failures and unknown outcomes so far. */
    getCounters(): ReturnType<StoreClient["getCounters"]> {
        return { ...this.counters };
    }

    /** Sets this entry's share of the cell's call budget. */
    setBudget(writesPerSecond: number, readsPerSecond: number): void {
        this.writeBudget.setRate(writesPerSecond);
        this.readBudget.setRate(readsPerSecond);
    }

    /** Returns whether {@link close} was called. */
    isClosed(): boolean {
        return this.closed;
    }

    /** Stops all further calls and rejects those that wait for the budget. */
    close(): void {
        this.closed = true;
        this.writeBudget.close();
        this.readBudget.close();
    }

    private takeBudget(options: CallOptions): Promise<boolean> {
        if (options.kind === "leases") {
            return Promise.resolve(true);
        }
        const budget = options.kind === "writes" ? this.writeBudget : this.readBudget;
        if (options.vital ?? false) {
            budget.takeUnconditionally();
            return Promise.resolve(true);
        }
        return budget.take(options.deadline);
    }

    private observe(
        options: CallOptions,
        answer: StoreAnswer<unknown>,
        sentAt: Millis,
        timeout: Millis,
    ): void {
        const responseTime = this.clock.now() - sentAt;
        this.metrics.time("store.call_ms", responseTime, { kind: options.kind });
        if (answer.kind === "done" || answer.kind === "refused") {
            this.lastContact = Math.max(this.lastContact ?? sentAt, sentAt);
            if (options.kind !== "polls") {
                this.timeout.observeAnswer(responseTime);
            }
            return;
        }
        this.counters.failures++;
        this.metrics.count("store.failures", 1, { kind: options.kind });
        if (answer.kind === "unknown") {
            this.counters.unknowns++;
            this.metrics.count("store.unknowns", 1, { kind: options.kind });
            if (options.kind !== "polls") {
                this.timeout.observeTimeout(timeout);
            }
        }
    }
}
