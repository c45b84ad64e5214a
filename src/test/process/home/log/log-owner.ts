/** Fixture: an owner of a home slice's log, without the rest of the home role. */
import { createRandom } from "../../../../common/random.js";
import { CommitPacer, openSlice, SliceLog } from "../../../../process/home/log/index.js";
import type { FinalAppendResult, OpenResult } from "../../../../process/home/log/index.js";
import type { HomeEntry } from "../../../../process/home/state/index.js";
import type { StoreClient } from "../../../../process/store-client.js";
import type { StoreModel } from "../../../../stand-ins/store-model.js";
import type { FakeClock } from "../../../fakes/fake-clock.js";
import { createFakeLog, createFakeMetrics } from "../../../fakes/fake-telemetry.js";
import { PausableClock } from "../../../fakes/pausable-clock.js";
import { FaultInjectingStore } from "../fault-injecting-store.js";

export const SLICE = 5;
const PACER_RATE = 10_000;

/** A commit of an owner and its final result; `open` until the result is known. */
export interface TrackedCommit {
    readonly key: string;
    result: FinalAppendResult["kind"] | "open";
}

/** One owner of the slice. */
export class LogOwner {
    readonly clock: PausableClock;
    /** The store client that is used unless another one was given. */
    readonly store: FaultInjectingStore;
    private readonly client: StoreClient;
    log: SliceLog | undefined;
    result: OpenResult | undefined;
    isFenced = false;

    constructor(
        base: FakeClock,
        model: StoreModel,
        readonly epoch: number,
        private readonly slots: number,
        makeClient?: (clock: PausableClock) => StoreClient,
    ) {
        this.clock = new PausableClock(base);
        this.store = new FaultInjectingStore(model, this.clock);
        this.client = makeClient?.(this.clock) ?? this.store;
    }

    /** Opens the slice; once this resolves, `log` is set unless the slice could not be opened. */
    async open(): Promise<void> {
        const context = {
            store: this.client,
            clock: this.clock,
            random: createRandom(this.epoch),
            log: createFakeLog(),
            metrics: createFakeMetrics(),
        };
        const scope = { context, isStopped: () => this.isFenced };
        const writer = { slice: SLICE, epoch: this.epoch, writer: `m${this.epoch}` };
        this.result = await openSlice(scope, writer, this.slots);
        if (this.result.kind === "open") {
            const pacer = new CommitPacer(this.clock, () => PACER_RATE);
            this.log = new SliceLog(scope, writer, this.result.opened, pacer, {
                handleFenced: () => {
                    this.isFenced = true;
                },
            });
        }
    }

    /** Commits one entry and tracks its result. */
    commitKey(key: string, size = 0, timeoutMs?: number): TrackedCommit {
        const tracked: TrackedCommit = { key, result: "open" };
        void this.log?.commit([makeEntry(key, size)], timeoutMs).then(async result => {
            tracked.result = result.kind === "uncertain" ? (await result.settled).kind : result.kind;
        });
        return tracked;
    }
}

/** An entry that stays in the state: the start marker of a request. */
export function makeEntry(key: string, size = 0): HomeEntry {
    return {
        kind: "requestStarting",
        requestKey: key,
        fingerprint: "f".repeat(size),
        repeatable: false,
        settleMs: 1,
        branch: "services/catalogo-beni",
    };
}
