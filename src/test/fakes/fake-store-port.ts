/** The store port over a {@link StoreModel}, with the faults of a {@link CallPath}. */
import type { Millis } from "../../common/clock.js";
import type {
    StoreAnswer,
    StoreChanges,
    StoreListing,
    StorePort,
    StoreRecord,
    StoreSwap,
    StoreTransaction,
} from "../../process/ports/index.js";
import type { StoreModel } from "../../stand-ins/index.js";
import type { CallResult } from "./call-path.js";

/** Timeout of a poll as a multiple of its wait time, to leave time for the round trip to a slow store. */
const POLL_LIMIT_FACTOR = 2;

/** The network path of calls to the store and their answers. */
export interface StorePath {
    /**
     * Makes a call.
     * @param effect - What the store does when the call arrives.
     * @param timeout - Milliseconds after which the call ends as `unknown`.
     * @param characters - Length of the values that the call carries.
     */
    request<Value>(
        effect: () => Promise<Value> | Value,
        timeout: Millis,
        characters: number,
    ): Promise<CallResult<Value>>;
}

/** One member's access to the store. */
export class FakeStorePort implements StorePort {
    /**
     * @param model - The store that all members share.
     * @param path - The member's path to it, with its faults.
     */
    constructor(private readonly model: StoreModel, readonly path: StorePath) {}

    get maxValueBytes(): number {
        return this.model.valueLimit;
    }

    read(key: string, timeout: Millis): Promise<StoreAnswer<StoreRecord | undefined>> {
        return this.request(() => this.model.read(key), timeout);
    }

    list(prefix: string, timeout: Millis): Promise<StoreAnswer<StoreListing>> {
        return this.request(() => this.model.list(prefix), timeout);
    }

    swap(swap: StoreSwap, timeout: Millis): Promise<StoreAnswer<number>> {
        return this.request(() => this.model.swap(swap), timeout, swap.value?.length);
    }

    transact(transaction: StoreTransaction, timeout: Millis): Promise<StoreAnswer<number>> {
        const characters = transaction.writes.reduce((sum, { value }) => sum + value.length, 0);
        return this.request(() => this.model.transact(transaction), timeout, characters);
    }

    grantLease(ttl: Millis, timeout: Millis): Promise<StoreAnswer<string>> {
        return this.request(() => this.model.grantLease(ttl), timeout);
    }

    renewLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>> {
        return this.request(() => this.model.renewLease(leaseId), timeout);
    }

    revokeLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>> {
        return this.request(() => this.model.revokeLease(leaseId), timeout);
    }

    poll(prefix: string, afterRevision: number, timeout: Millis): Promise<StoreAnswer<StoreChanges>> {
        return this.request(
            () => this.model.poll(prefix, afterRevision, timeout),
            timeout * POLL_LIMIT_FACTOR,
        );
    }

    private async request<Value>(
        effect: () => StoreAnswer<Value> | Promise<StoreAnswer<Value>>,
        timeout: Millis,
        characters = 0,
    ): Promise<StoreAnswer<Value>> {
        const end = await this.path.request(effect, timeout, characters);
        return end.kind === "answered" ? end.value : end;
    }
}
