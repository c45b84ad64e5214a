/** The store as a VM of a model reaches it: calls take the time that their bytes need on the VM's link. */
import type { Clock, Millis } from "../../common/clock.js";
import { sleep } from "../../common/clock.js";
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
import type { ModelVm } from "./model-vm.js";

/** Time that the store takes for a call. */
const STORE_MS: Millis = 3;
/** Headers of a request or an answer. */
const HEAD_BYTES = 200;
/** Values travel as base64. */
const ENCODED_SIZE = 4 / 3;

/** The port; see the module comment. */
export class ModelStorePort implements StorePort {
    constructor(
        private readonly clock: Clock,
        private readonly vm: ModelVm,
        private readonly model: StoreModel,
    ) {}

    read(key: string, timeout: Millis): Promise<StoreAnswer<StoreRecord | undefined>> {
        return this.request(0, () => this.model.read(key), timeout);
    }

    list(prefix: string, timeout: Millis): Promise<StoreAnswer<StoreListing>> {
        return this.request(0, () => this.model.list(prefix), timeout);
    }

    swap(swap: StoreSwap, timeout: Millis): Promise<StoreAnswer<number>> {
        return this.request(swap.value?.length ?? 0, () => this.model.swap(swap), timeout);
    }

    transact(transaction: StoreTransaction, timeout: Millis): Promise<StoreAnswer<number>> {
        const bytes = transaction.writes.reduce((sum, { value }) => sum + value.length, 0);
        return this.request(bytes, () => this.model.transact(transaction), timeout);
    }

    grantLease(ttl: Millis, timeout: Millis): Promise<StoreAnswer<string>> {
        return this.request(0, () => this.model.grantLease(ttl), timeout);
    }

    renewLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>> {
        return this.request(0, () => this.model.renewLease(leaseId), timeout);
    }

    revokeLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>> {
        return this.request(0, () => this.model.revokeLease(leaseId), timeout);
    }

    poll(prefix: string, afterRevision: number, timeout: Millis): Promise<StoreAnswer<StoreChanges>> {
        return this.request(0, () => this.model.poll(prefix, afterRevision, timeout), timeout * 2);
    }

    private async request<Value>(
        bytes: number,
        effect: () => StoreAnswer<Value> | Promise<StoreAnswer<Value>>,
        timeout: Millis,
    ): Promise<StoreAnswer<Value>> {
        const answered = new Promise<StoreAnswer<Value>>(resolve => {
            this.vm.send(HEAD_BYTES + bytes * ENCODED_SIZE, () => {
                this.clock.schedule(STORE_MS, () => {
                    void Promise.resolve(effect()).then(answer => {
                        const size = HEAD_BYTES + JSON.stringify(answer).length * ENCODED_SIZE;
                        this.vm.receive(size, () => resolve(answer));
                    });
                });
            });
        });
        const lost = sleep(this.vm, timeout).then((): StoreAnswer<Value> => ({
            kind: "unknown",
            message: `no answer within ${timeout} ms`,
        }));
        return Promise.race([answered, lost]);
    }
}
