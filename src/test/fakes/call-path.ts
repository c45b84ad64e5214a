/** The network path of calls from one member to one part of the platform, with injectable faults. */
import type { Clock, Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { PausableClock } from "./pausable-clock.js";

/** Result of a call: `unavailable` had no effect for certain, `unknown` may have had one. */
export type CallResult<Value> =
    | { readonly kind: "answered"; readonly value: Value; }
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

/** A fault of one call; planned faults apply to the next calls in order. */
export type CallFault =
    /** The request is lost in transit: it has no effect, and the caller can't tell. */
    | { readonly kind: "dropRequest"; }
    /** The answer is lost: the effect has happened. */
    | { readonly kind: "dropAnswer"; }
    /** The request arrives late, possibly long after the caller has timed out. */
    | { readonly kind: "delayRequest"; readonly ms: Millis; }
    | { readonly kind: "delayAnswer"; readonly ms: Millis; }
    /** The connection is refused. */
    | { readonly kind: "refuseConnection"; };

/** Persistent faults of a path; a test may change them at any time. */
export interface PathFaults {
    /** Nothing passes in either direction; connections fail. */
    unreachable: boolean;
    /** Connections are reset as soon as a call is sent over them. */
    resets: boolean;
    /** Added to each direction, in milliseconds. */
    slowMs: Millis;
    /** Fractions of calls, from 0 to 1, to which the fault applies at random. */
    dropRequestShare: number;
    dropAnswerShare: number;
    delayShare: number;
    /** Upper bound of a random delay, in milliseconds. */
    delayLimitMs: Millis;
}

/** Latency of a path, and the source of its random faults. */
export interface CallPathOptions {
    /** One-way latency in milliseconds. */
    readonly latencyMs: Millis;
    readonly random: Random;
}

/** Calls of one member to one target. */
export class CallPath {
    readonly faults: PathFaults = {
        unreachable: false,
        resets: false,
        slowMs: 0,
        dropRequestShare: 0,
        dropAnswerShare: 0,
        delayShare: 0,
        delayLimitMs: 0,
    };
    private readonly planned: CallFault[] = [];
    /** Number of calls made so far. */
    calls = 0;

    /**
     * @param base - The clock of the whole test: calls in flight proceed while a member is paused.
     * @param member - The clock of the calling member: answers are delivered through it.
     */
    constructor(
        private readonly base: Clock,
        private readonly member: PausableClock,
        private readonly options: CallPathOptions,
    ) {}

    /** Applies these faults to the next calls, one each. */
    plan(...faults: readonly CallFault[]): void {
        this.planned.push(...faults);
    }

    /** Applies a fault to the next call, before the faults already planned. */
    planNext(fault: CallFault): void {
        this.planned.unshift(fault);
    }

    /**
     * Makes a call.
     * @param effect - What the target does when the request arrives; it never settles if the target dies.
     * @param timeout - Milliseconds after which the call ends as `unknown`.
     */
    request<Value>(
        effect: () => Promise<Value> | Value,
        timeout: Millis,
    ): Promise<CallResult<Value>> {
        this.calls += 1;
        const fault = this.planned.shift() ?? this.pickFault();
        if (this.faults.unreachable || fault?.kind === "refuseConnection") {
            return this.finishLater(this.options.latencyMs, {
                kind: "unavailable",
                message: "connection refused",
            });
        }
        if (this.faults.resets) {
            return this.finishLater(this.options.latencyMs, {
                kind: "unknown",
                message: "connection reset",
            });
        }
        return new Promise(resolve => {
            const timer = this.member.schedule(timeout, () => {
                resolve({ kind: "unknown", message: `no answer within ${timeout} ms` });
            });
            const deliver = (value: Value): void => {
                timer.cancel();
                resolve({ kind: "answered", value });
            };
            if (fault?.kind === "dropRequest") {
                return;
            }
            this.base.schedule(this.getDelay(fault, "delayRequest"), () => {
                void this.handleArrival(effect, fault, deliver);
            });
        });
    }

    private async handleArrival<Value>(
        effect: () => Promise<Value> | Value,
        fault: CallFault | undefined,
        deliver: (value: Value) => void,
    ): Promise<void> {
        if (this.faults.unreachable && fault?.kind !== "delayRequest") {
            return;
        }
        const value = await effect();
        if (fault?.kind === "dropAnswer") {
            return;
        }
        this.base.schedule(this.getDelay(fault, "delayAnswer"), () => {
            if (!this.faults.unreachable) {
                this.member.post(() => deliver(value));
            }
        });
    }

    private finishLater<Value>(delay: Millis, end: CallResult<Value>): Promise<CallResult<Value>> {
        return new Promise(resolve => {
            this.member.schedule(delay, () => resolve(end));
        });
    }

    private getDelay(fault: CallFault | undefined, kind: "delayRequest" | "delayAnswer"): Millis {
        const extra = fault?.kind === kind ? fault.ms : 0;
        return this.options.latencyMs + this.faults.slowMs + extra;
    }

    private pickFault(): CallFault | undefined {
        const { dropRequestShare, dropAnswerShare, delayShare, delayLimitMs } = this.faults;
        if (dropRequestShare + dropAnswerShare + delayShare === 0) {
            return undefined;
        }
        const draw = this.options.random.pickFraction();
        if (draw < dropRequestShare) {
            return { kind: "dropRequest" };
        }
        if (draw < dropRequestShare + dropAnswerShare) {
            return { kind: "dropAnswer" };
        }
        if (draw < dropRequestShare + dropAnswerShare + delayShare) {
            const ms = this.options.random.pickFraction() * delayLimitMs;
            return { kind: this.options.random.pickInt(2) === 0 ? "delayRequest" : "delayAnswer", ms };
        }
        return undefined;
    }
}
