/** A store client for tests of the home: a model of the store, with a fault that a test may plan for each write. */
import type { Millis } from "../../../common/clock.js";
import type { StoreAnswer, StoreListing, StoreRecord } from "../../../process/ports/index.js";
import type { ReadResult, StoreClient, StoreWrite, WriteResult } from "../../../process/store-client.js";
import type { StoreModel } from "../../../stand-ins/store-model.js";
import type { PausableClock } from "../../fakes/pausable-clock.js";

/** What happens to a write. */
export type WriteFault =
    | "none"
    /** It takes effect, and the writer is told that its result is unknown. */
    | "doneButUnknown"
    /** It has no effect, and the writer is told that its result is unknown. */
    | "lostButUnknown"
    /** It takes effect, and the writer never gets an answer. */
    | "doneThenSilent"
    | "unavailable";

/** The store client of one entry; answers come through its clock, so a suspension of the entry delays them. */
export class FaultInjectingStore implements StoreClient {
    isUnavailable = false;
    latencyMs: Millis = 1;
    writes = 0;
    private readonly faults: WriteFault[] = [];

    constructor(private readonly model: StoreModel, private readonly clock: PausableClock) {}

    /** Plans the faults of the next writes, one each. */
    plan(...faults: readonly WriteFault[]): void {
        this.faults.push(...faults);
    }

    read(key: string): Promise<ReadResult<StoreRecord | undefined>> {
        return this.reply(() => this.isUnavailable ? unavailable : convertRead(this.model.read(key)));
    }

    list(prefix: string): Promise<ReadResult<StoreListing>> {
        return this.reply(() => this.isUnavailable ? unavailable : convertRead(this.model.list(prefix)));
    }

    write(write: StoreWrite): Promise<WriteResult> {
        const fault = this.isUnavailable ? "unavailable" : this.faults.shift();
        if (fault === "unavailable") {
            return this.reply(() => unavailable);
        }
        this.writes++;
        if (fault === "lostButUnknown") {
            return this.reply(() => ({ kind: "unknown", message: "the request was lost" }));
        }
        const result = convertWrite(this.model.swap(write));
        if (fault === "doneThenSilent") {
            return new Promise(() => undefined);
        }
        if (fault === "doneButUnknown") {
            return this.reply(() => ({ kind: "unknown", message: "the answer was lost" }));
        }
        return this.reply(() => result);
    }

    watch(): never {
        throw new Error("unexpected call: the home role does not watch keys");
    }

    grantLease(): never {
        throw new Error("unexpected call: the home role uses no leases");
    }

    renewLease(): never {
        throw new Error("unexpected call: the home role uses no leases");
    }

    revokeLease(): never {
        throw new Error("unexpected call: the home role uses no leases");
    }

    getLastWatchContact(): undefined {
        return undefined;
    }

    getLastContact(): undefined {
        return undefined;
    }

    setBudget(): void {
        return;
    }

    getCounters() {
        return { reads: 0, writes: this.writes, polls: 0, leases: 0, failures: 0, unknowns: 0 };
    }

    close(): void {
        return;
    }

    private reply<Value>(make: () => Value): Promise<Value> {
        return new Promise(resolve => {
            this.clock.schedule(this.latencyMs, () => resolve(make()));
        });
    }
}

const unavailable = { kind: "unavailable", message: "the store is down" } as const;

function convertRead<Value>(answer: StoreAnswer<Value>): ReadResult<Value> {
    return answer.kind === "done" ? answer : unavailable;
}

function convertWrite(answer: StoreAnswer<number>): WriteResult {
    switch (answer.kind) {
        case "done":
            return { kind: "done", revision: answer.value };
        case "refused":
            return answer.reason === "tooLarge" ?
                { kind: "tooLarge" } :
                { kind: "refused", current: answer.current };
        default:
            return unavailable;
    }
}
