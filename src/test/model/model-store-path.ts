/** The path from a modeled VM to the store: calls take the time that their bytes need on the VM's link. */
import type { Clock, Millis } from "../../common/clock.js";
import { waitForTimeout } from "../../common/clock.js";
import type { CallResult } from "../fakes/call-path.js";
import type { StorePath } from "../fakes/fake-store-port.js";
import type { ModelVm } from "./model-vm.js";

/** Time in which the store handles a call. */
const STORE_MS: Millis = 3;
/** Size of the headers of a request or an answer. */
const HEADER_BYTES = 200;
/** Growth of values by their base64 encoding. */
const ENCODED_SIZE = 4 / 3;

/** Delays store calls by the transfer time on the VM's link. */
export class ModelStorePath implements StorePath {
    /**
     * @param clock - Clock of the whole model.
     * @param vm - VM of the calling process.
     */
    constructor(private readonly clock: Clock, private readonly vm: ModelVm) {}

    request<Value>(
        effect: () => Promise<Value> | Value,
        timeout: Millis,
        characters: number,
    ): Promise<CallResult<Value>> {
        const answered = new Promise<CallResult<Value>>(resolve => {
            this.vm.send(HEADER_BYTES + characters * ENCODED_SIZE, () => {
                this.clock.schedule(STORE_MS, () => {
                    void Promise.resolve(effect()).then(value => {
                        const size = HEADER_BYTES + JSON.stringify(value).length * ENCODED_SIZE;
                        this.vm.receive(size, () => resolve({ kind: "answered", value }));
                    });
                });
            });
        });
        const lost = waitForTimeout(this.vm, timeout).then((): CallResult<Value> => ({
            kind: "unknown",
            message: `no answer within ${timeout} ms`,
        }));
        return Promise.race([answered, lost]);
    }
}
