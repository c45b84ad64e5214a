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
import type { CallPath } from "./call-path.js";

/** Time that a poll may take, as a multiple of its wait: the way to a slow store and back comes on top. */
const POLL_LIMIT_FACTOR = 2;

/** One member's access to the store. */
export class FakeStorePort implements StorePort {
    /**
     * @param model - The store that all members share.
     * @param path - The member's way to it, with its faults.
     */
    constructor(private readonly model: StoreModel, readonly path: CallPath) {}

    read(key: string, timeout: Millis): Promise<StoreAnswer<StoreRecord | undefined>> {
        return this.request(() => this.model.read(key), timeout);
    }

    list(prefix: string, timeout: Millis): Promise<StoreAnswer<StoreListing>> {
        return this.request(() => this.model.list(prefix), timeout);
    }

    swap(swap: StoreSwap, timeout: Millis): Promise<StoreAnswer<number>> {
        return this.request(() => this.model.swap(swap), timeout);
    }

    transact(transaction: StoreTransaction, timeout: Millis): Promise<StoreAnswer<number>> {
        return this.request(() => this.model.transact(transaction), timeout);
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
    ): Promise<StoreAnswer<Value>> {
        const end = await this.path.request(effect, timeout);
        return end.kind === "answered" ? end.value : end;
    }
}
