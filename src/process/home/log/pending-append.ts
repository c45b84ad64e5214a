/** An append to the log of a home slice and its result. */
import type { HomeEntry } from "../state/index.js";

/** Final result of an append. */
export type FinalAppendResult =
    | { readonly kind: "durable"; }
    /** Certainly not written, and never will be. */
    | { readonly kind: "notWritten"; readonly reason: "unavailable" | "tooLarge" | "closed"; }
    /** The slice was lost while the write was in flight: this entry will not learn the outcome. */
    | { readonly kind: "uncertain"; };

/** Result of an append. */
export type AppendResult =
    | Exclude<FinalAppendResult, { readonly kind: "uncertain"; }>
    /** The outcome is not known yet; `settled` resolves with the final result. */
    | { readonly kind: "uncertain"; readonly settled: Promise<FinalAppendResult>; };

/** Entries that go into the same record, and the promise of their result. */
export class PendingAppend {
    readonly bytes: number;
    readonly result: Promise<AppendResult>;
    /** Whether it is part of a write whose result is not known yet. */
    isWriting = false;
    private resolveResult: (result: AppendResult) => void = () => undefined;
    private resolveEnd: (end: FinalAppendResult) => void = () => undefined;
    private readonly end: Promise<FinalAppendResult>;
    private readonly settledCallbacks: (() => void)[] = [];

    /**
     * @param hasDeadline - Whether the caller waits with a deadline and must learn at once that the store is
     * unavailable.
     */
    constructor(readonly entries: readonly HomeEntry[], readonly hasDeadline: boolean) {
        this.bytes = Buffer.byteLength(JSON.stringify(entries));
        this.result = new Promise(resolve => {
            this.resolveResult = resolve;
        });
        this.end = new Promise(resolve => {
            this.resolveEnd = resolve;
        });
    }

    /** Calls back once the final result is set. */
    subscribe(callback: () => void): void {
        this.settledCallbacks.push(callback);
    }

    /** Sets the final result. */
    settle(finalResult: AppendResult): void {
        this.resolveEnd(finalResult.kind === "uncertain" ? { kind: "uncertain" } : finalResult);
        this.resolveResult(finalResult);
        for (const callback of this.settledCallbacks.splice(0)) {
            callback();
        }
    }

    /** Reports an uncertain result, as the deadline passed while the write was in flight. */
    settleUncertain(): void {
        this.resolveResult({ kind: "uncertain", settled: this.end });
    }
}
