/** One append that waits to be written. */
import type { HomeEntry } from "../state/index.js";

/** Result of an append that is certain, or never will be. */
export type AppendEnd =
    | { readonly kind: "durable"; }
    /** Surely not written and never will be. */
    | { readonly kind: "notWritten"; readonly reason: "unavailable" | "tooLarge" | "closed"; }
    /** Nobody here will learn it: the slice was lost while the write was under way. */
    | { readonly kind: "uncertain"; };

/** Result of an append. */
export type AppendResult =
    | Exclude<AppendEnd, { readonly kind: "uncertain"; }>
    /** Nobody can tell yet; `settled` tells later. */
    | { readonly kind: "uncertain"; readonly settled: Promise<AppendEnd>; };

/** Entries that go into one record together, and whoever waits for them. */
export class Ticket {
    readonly bytes: number;
    readonly result: Promise<AppendResult>;
    /** Whether it is in a write whose result is not known yet. */
    isWriting = false;
    private resolveResult: (result: AppendResult) => void = () => undefined;
    private resolveEnd: (end: AppendEnd) => void = () => undefined;
    private readonly end: Promise<AppendEnd>;
    private readonly settledCallbacks: (() => void)[] = [];

    /**
     * @param isHasty - Whether somebody waits with a deadline, who is to be told at once that the store is away.
     */
    constructor(readonly entries: readonly HomeEntry[], readonly isHasty: boolean) {
        this.bytes = Buffer.byteLength(JSON.stringify(entries));
        this.result = new Promise(resolve => {
            this.resolveResult = resolve;
        });
        this.end = new Promise(resolve => {
            this.resolveEnd = resolve;
        });
    }

    /** Calls back once the ticket has a result. */
    subscribe(callback: () => void): void {
        this.settledCallbacks.push(callback);
    }

    /** Gives the final result. */
    settle(result: AppendResult): void {
        this.resolveEnd(result.kind === "uncertain" ? { kind: "uncertain" } : result);
        this.resolveResult(result);
        for (const callback of this.settledCallbacks.splice(0)) {
            callback();
        }
    }

    /** The waiter's time is over while the write is under way. */
    settleUncertain(): void {
        this.resolveResult({ kind: "uncertain", settled: this.end });
    }
}
