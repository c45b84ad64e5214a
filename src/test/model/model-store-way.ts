/** The way of a VM of a model to the store: calls take the time that their bytes need on the VM's link. */
import type { Clock, Millis } from "../../common/clock.js";
import { waitForTimeout } from "../../common/clock.js";
import type { CallEnd } from "../fakes/call-path.js";
import type { StoreWay } from "../fakes/fake-store-port.js";
import type { ModelVm } from "./model-vm.js";

/** Time that the store takes for a call. */
const STORE_MS: Millis = 3;
/** Headers of a request or an answer. */
const HEAD_BYTES = 200;
/** Values travel as base64. */
const ENCODED_SIZE = 4 / 3;

/** The way; see the module comment. */
export class ModelStoreWay implements StoreWay {
    /**
     * @param clock - Of the whole model.
     * @param vm - The caller's.
     */
    constructor(private readonly clock: Clock, private readonly vm: ModelVm) {}

    request<Value>(
        effect: () => Promise<Value> | Value,
        timeout: Millis,
        characters: number,
    ): Promise<CallEnd<Value>> {
        const answered = new Promise<CallEnd<Value>>(resolve => {
            this.vm.send(HEAD_BYTES + characters * ENCODED_SIZE, () => {
                this.clock.schedule(STORE_MS, () => {
                    void Promise.resolve(effect()).then(value => {
                        const size = HEAD_BYTES + JSON.stringify(value).length * ENCODED_SIZE;
                        this.vm.receive(size, () => resolve({ kind: "answered", value }));
                    });
                });
            });
        });
        const lost = waitForTimeout(this.vm, timeout).then((): CallEnd<Value> => ({
            kind: "unknown",
            message: `no answer within ${timeout} ms`,
        }));
        return Promise.race([answered, lost]);
    }
}
