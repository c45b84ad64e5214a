/** Port to the platform's list of VMs that run workers. The list lags, so it is only a hint. */
import type { Millis } from "../../common/clock.js";

/** State of a VM in the list. */
export const VmState = {
    live: "live",
    leaving: "leaving",
} as const;
export type VmState = (typeof VmState)[keyof typeof VmState];

/** One VM of the list. */
export interface VmRecord {
    readonly workerId: string;
    /** `http://host:port` with an IP address. */
    readonly url: string;
    readonly rack: string;
    readonly failureDomain: string;
    readonly state: VmState;
}

/** Reads the list. */
export interface VmListPort {
    /**
     * @param timeout - Milliseconds to wait for the answer.
     * @returns All VMs, or undefined when the list could not be read.
     */
    list(timeout: Millis): Promise<readonly VmRecord[] | undefined>;
}
