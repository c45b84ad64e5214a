/** A store client for tests of the home: the model of the store, with one planned fault for each write. */
import type { Millis } from "../../../common/clock.js";
import type { StoreAnswer, StoreListing, StoreRecord } from "../../../process/ports/index.js";
import type { ReadResult, StoreClient, StoreWrite, WriteResult } from "../../../process/store-client.js";
import type { StoreModel } from "../../../stand-ins/store-model.js";
import type { PausableClock } from "../../fakes/pausable-clock.js";

/** What happens to one write. */
export type WriteFault =
    | "none"
    /** It takes effect, and its answer is lost for good. */
    | "doneButUnknown"
    /** It has no effect, and nobody can tell. */
    | "lostButUnknown"
    /** It takes effect, and the writer never hears of anything again. */
    | "doneThenSilent"
    | "unavailable";

/** The store as one entry reaches it; answers come through the entry's clock, so a pause holds them back. */
export class StoreForHome implements StoreClient {
    isAway = false;
    latencyMs: Millis = 1;
    writes = 0;
    private readonly faults: WriteFault[] = [];

    constructor(private readonly model: StoreModel, private readonly clock: PausableClock) {}

    /** Makes the next writes meet these faults, one each. */
    plan(...faults: readonly WriteFault[]): void {
        this.faults.push(...faults);
    }

    read(key: string): Promise<ReadResult<StoreRecord | undefined>> {
        return this.reply(() => this.isAway ? away : convertRead(this.model.read(key)));
    }

    list(prefix: string): Promise<ReadResult<StoreListing>> {
        return this.reply(() => this.isAway ? away : convertRead(this.model.list(prefix)));
    }

    write(write: StoreWrite): Promise<WriteResult> {
        const fault = this.isAway ? "unavailable" : this.faults.shift();
        if (fault === "unavailable") {
            return this.reply(() => away);
        }
        this.writes++;
        if (fault === "lostButUnknown") {
            return this.reply(() => ({ kind: "unknown", message: "the request was lost" }));
        }
        const result = convert(this.model.swap(write));
        if (fault === "doneThenSilent") {
            return new Promise(() => undefined);
        }
        if (fault === "doneButUnknown") {
            return this.reply(() => ({ kind: "unknown", message: "the answer was lost" }));
        }
        return this.reply(() => result);
    }

    watch(): never {
        throw new Error("the home watches nothing");
    }

    grantLease(): never {
        throw new Error("the home holds no lease");
    }

    renewLease(): never {
        throw new Error("the home holds no lease");
    }

    revokeLease(): never {
        throw new Error("the home holds no lease");
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

const away = { kind: "unavailable", message: "the store is down" } as const;

function convertRead<Value>(answer: StoreAnswer<Value>): ReadResult<Value> {
    return answer.kind === "done" ? answer : away;
}

function convert(answer: StoreAnswer<number>): WriteResult {
    switch (answer.kind) {
        case "done":
            return { kind: "done", revision: answer.value };
        case "refused":
            return answer.reason === "tooLarge" ?
                { kind: "tooLarge" } :
                { kind: "refused", current: answer.current };
        default:
            return away;
    }
}
